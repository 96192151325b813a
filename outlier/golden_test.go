package outlier

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"hollylever/policy"
)

var update = flag.Bool("update", false, "write the golden files in testdata from what the code does now")

// compareGolden holds lines against a file in testdata.
func compareGolden(t *testing.T, name string, lines []string) {
	t.Helper()
	path, got := "testdata/"+name, strings.Join(lines, "\n")+"\n"
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: got\n%swant\n%s", path, got, want)
	}
}

// A build that decides otherwise than its neighbours over the same evidence ejects or returns endpoints at other times than they do. Each message,
// attempt, penalty, status and count of a seeded run is part of the trace.
func TestGoldenTraces(t *testing.T) {
	lines := []string{}
	for seed := range uint64(4) {
		lines = append(lines, fmt.Sprint("seed ", seed, " ", goldenRun(t, seed)))
	}
	compareGolden(t, "traces.golden", lines)
}

// goldenRun plays 25 s with members that come, go and lie, and a network that loses, delays and repeats; it gives the hash of all that is seen.
func goldenRun(t *testing.T, seed uint64) string {
	w := newTown(t, 100+seed, 6+int(seed)*3, 40, 1+int(seed)%4)
	w.trace = sha256.New()
	members, reads, misses := slices.Clone(w.boards[0].all), make([]int, len(w.boards)), make([]int, len(w.boards))
	missing := 0.05
	for step := range 2500 {
		if step%40 == 0 {
			h, n := w.chance.IntN(len(w.hosts)), w.chance.IntN(len(w.boards))
			switch w.chance.IntN(14) {
			case 0, 1:
				w.fails[h] = 1
			case 2:
				w.fails[h] = w.chance.Float64()
			case 3, 4:
				clear(w.fails)
			case 5:
				w.broken[n] = !w.broken[n]
			case 6:
				w.loss, w.repeats, w.delay = w.chance.Float64()*0.6, w.chance.Float64()*0.5, 1+w.chance.Int64N(2000*ms)
			case 7:
				w.alive[n] = !w.alive[n]
			case 8: // A new process under the same name.
				w.boards[n] = New(members[n], w.boards[n].life+1)
				w.boards[n].SetMembers(members)
				w.boards[n].SetEndpoints(w.hosts)
				reads[n], misses[n] = 0, 0
			case 9: // Members and endpoints that are gone, and come again.
				w.boards[n].SetMembers(members[:len(members)/2])
				w.boards[n].SetEndpoints(w.hosts[:len(w.hosts)/2])
			case 10:
				for _, b := range w.boards {
					b.SetMembers(members)
					b.SetEndpoints(w.hosts)
					b.SetMessageDelay(w.chance.Int64N(6000*ms) - 100*ms)
				}
			case 11:
				missing = 0.6 - missing
			case 12: // More fail than a message holds.
				for at := range w.fails {
					if at%3 != 0 {
						w.fails[at] = float64(step / 40 % 2)
					}
				}
			case 13:
				w.liar = n
			}
		}
		w.tick(1.5)
		for n, b := range w.boards {
			for at, id := range w.hosts {
				if (at+step)%4 != 0 {
					continue
				}
				if part := b.Part(w.now, id); part != 0 {
					fmt.Fprintf(w.trace, "penalty %d %d %d %v\n", w.now, n, at, part)
				}
			}
			if step%5 == 0 {
				reads[n] += w.chance.IntN(30)
				misses[n] += int(missing * float64(w.chance.IntN(40)))
				fmt.Fprintf(w.trace, "misses %d %t\n", n, b.UpdateMissRate(w.now, reads[n], misses[n]))
			}
			if step%20 == 0 {
				traceStatus(t, w, n)
			}
		}
	}
	return hex.EncodeToString(w.trace.Sum(nil))
}

func traceStatus(t *testing.T, w *town, n int) {
	b := w.boards[n]
	b.Observe(w.now, 77, Fails) // An endpoint that is not listed.
	b.Observe(w.now, w.hosts[0], Inconclusive)
	status := b.Status(w.now)
	slices.SortFunc(status, func(a, b EndpointStatus) int { return cmp.Compare(a.ID, b.ID) })
	for i := range status {
		status[i].Endpoint = fmt.Sprint(status[i].ID)
	}
	text, err := json.Marshal(status)
	if err != nil {
		t.Fatal(err)
	}
	var held []string
	b.EachEjection(w.now, func(id uint32, part float64) { held = append(held, fmt.Sprint(id, " ", part)) })
	slices.Sort(held)
	fmt.Fprintf(w.trace, "status %d %s %s %d %d %d %d\n", n, text, held, b.MessagesSent, b.MessagesAccepted, b.MessagesStale, b.MessagesFromUnknown)
}

// Processes of two builds exchange these bytes over an upgrade: one that wrote them otherwise would be heard by nobody.
func TestGoldenMessages(t *testing.T) {
	full := &Message{From: 1<<32 - 1, Life: 1<<64 - 1, Seq: 1<<32 - 1, Zone: 1<<16 - 1, Miss: 100}
	for n := range uint32(mostWords) {
		full.Words = append(full.Words, Word{Host: 70000 * n, Run: uint8(n * 11), Age: uint16(n * 3000)})
	}
	lines := []string{fmt.Sprint("names ", HashName(""), " ", HashName("cache-3"), " ", MaxMessageBytes, " ", UnknownZone, " ", MaxMembers)}
	for _, m := range []*Message{{}, {From: 7, Life: 1 << 40, Seq: 3, Zone: 2, Words: []Word{{Host: 9, Run: 2, Age: 40}, {Host: 10}}}, {Miss: 33, Words: []Word{}}, full} {
		bytes := m.Encode()
		lines = append(lines, hex.EncodeToString(bytes))
		back, err := DecodeMessage(bytes)
		if err != nil || hex.EncodeToString(back.Encode()) != hex.EncodeToString(bytes) {
			t.Errorf("%x does not come back: %v", bytes, err)
		}
	}
	for how := range policy.Outcome(16) {
		lines = append(lines, fmt.Sprintf("outcome %d: %d %d %d", how, Classify(how, 0, 1000), Classify(how, 499, 1000), Classify(how, 500, 1000)))
	}
	compareGolden(t, "messages.golden", lines)
	many := &Message{Words: make([]Word, mostWords+1)}
	for name, bytes := range map[string][]byte{"empty": {}, "a map": {0xa0}, "short": {0x81, 0x01}, "trailing": append(full.Encode(), 0), "large": make([]byte, MaxMessageBytes+1),
		"many": many.Encode(), "indefinite": {0x9f, 0xff}, "tagged": {0xc1, 0x86, 1, 1, 1, 1, 0x80, 1}} {
		if m, err := DecodeMessage(bytes); err == nil {
			t.Errorf("%s: %x is taken as %+v", name, bytes, m)
		}
	}
}

// A table that is full and evicts another witness than its neighbours do calls another number of witnesses. Members learn each other's zones from messages.
func TestGoldenFullTables(t *testing.T) {
	b, now, sum := New(Member{1, UnknownZone}, 1), int64(1e15), sha256.New()
	var members []Member
	var hosts []uint32
	for n := range uint32(500) {
		members, hosts = append(members, Member{n + 1, UnknownZone}), append(hosts, 5000+n)
	}
	b.SetMembers(members)
	b.SetEndpoints(hosts)
	for round := range uint32(3) {
		for from := uint32(2); from <= 500; from++ {
			for first := uint32(0); first < 180; first += mostWords {
				m := &Message{From: from, Life: 1, Seq: round*1000 + first + 1, Zone: uint16(from % 7)}
				for h := first; h < first+mostWords; h++ {
					m.Words = append(m.Words, Word{Host: 5000 + (h*31+round*97)%500, Run: uint8((from + h + round) % 5), Age: uint16(from * h % 4000)})
				}
				b.HandleMessage(now, m)
				now += ms / 10
			}
		}
		b.Tick(now)
		w := &town{now: now, boards: []*Detector{b}, hosts: hosts, trace: sum}
		traceStatus(t, w, 0)
		now += 600 * ms
	}
	for id := uint32(10_000); len(hosts) < 9000; id++ {
		hosts = append(hosts, id)
	}
	b.SetEndpoints(hosts)
	for _, id := range hosts[8190:8194] { // The first two of these are the last that are known.
		b.Observe(now, id, Refuses)
	}
	traceStatus(t, &town{now: now, boards: []*Detector{b}, hosts: hosts, trace: sum}, 0)
	compareGolden(t, "full.golden", []string{hex.EncodeToString(sum.Sum(nil))})
}
