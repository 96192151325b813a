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

var update = flag.Bool("update", false, "rewrite the golden files in testdata with the current results")

// compareGolden compares lines with a file in testdata, or rewrites the file if -update is set.
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

// Guards against unintended changes of decisions: during an upgrade, builds that decide differently on the same
// evidence would eject endpoints and return them to use at different times. The trace covers each message, attempt,
// sampled penalty, status and count of a seeded run.
func TestGoldenTraces(t *testing.T) {
	lines := []string{}
	for seed := range uint64(4) {
		lines = append(lines, fmt.Sprint("seed ", seed, " ", goldenRun(t, seed)))
	}
	compareGolden(t, "traces.golden", lines)
}

// goldenRun simulates 25 s in which members stop, restart and report false counts, and the network loses, delays and
// duplicates messages. It returns the hash of the trace.
func goldenRun(t *testing.T, seed uint64) string {
	s := newSimulation(t, 100+seed, 6+int(seed)*3, 40, 1+int(seed)%4)
	s.trace = sha256.New()
	members := slices.Clone(s.detectors[0].members)
	reads, misses := make([]int, len(s.detectors)), make([]int, len(s.detectors))
	missShare := 0.05
	for step := range 2500 {
		if step%40 == 0 {
			endpoint, n := s.random.IntN(len(s.endpoints)), s.random.IntN(len(s.detectors))
			switch s.random.IntN(14) {
			case 0, 1:
				s.failureRates[endpoint] = 1
			case 2:
				s.failureRates[endpoint] = s.random.Float64()
			case 3, 4:
				clear(s.failureRates)
			case 5:
				s.disconnected[n] = !s.disconnected[n]
			case 6:
				s.lossRate, s.repeatRate = s.random.Float64()*0.6, s.random.Float64()*0.5
				s.messageDelay = 1 + s.random.Int64N(2000*millisecond)
			case 7:
				s.alive[n] = !s.alive[n]
			case 8: // Restart: a new process of the same member, without state.
				s.detectors[n] = New(members[n], s.detectors[n].incarnation+1)
				s.detectors[n].SetMembers(members)
				s.detectors[n].SetEndpoints(s.endpoints)
				reads[n], misses[n] = 0, 0
			case 9: // Half of the members and endpoints are removed; case 10 restores them.
				s.detectors[n].SetMembers(members[:len(members)/2])
				s.detectors[n].SetEndpoints(s.endpoints[:len(s.endpoints)/2])
			case 10:
				for _, detector := range s.detectors {
					detector.SetMembers(members)
					detector.SetEndpoints(s.endpoints)
					detector.SetMessageDelay(s.random.Int64N(6000*millisecond) - 100*millisecond)
				}
			case 11:
				missShare = 0.6 - missShare
			case 12: // More endpoints fail than fit into a message.
				for at := range s.failureRates {
					if at%3 != 0 {
						s.failureRates[at] = float64(step / 40 % 2)
					}
				}
			case 13:
				s.misreportingMember = n
			}
		}
		s.tick(1.5)
		for n, detector := range s.detectors {
			for at, id := range s.endpoints {
				if (at+step)%4 != 0 {
					continue
				}
				if penalty := detector.Penalty(s.now, id); penalty != 0 {
					fmt.Fprintf(s.trace, "penalty %d %d %d %v\n", s.now, n, at, penalty)
				}
			}
			if step%5 == 0 {
				reads[n] += s.random.IntN(30)
				misses[n] += int(missShare * float64(s.random.IntN(40)))
				fmt.Fprintf(s.trace, "misses %d %t\n", n, detector.UpdateMissRate(s.now, reads[n], misses[n]))
			}
			if step%20 == 0 {
				traceStatus(t, s, n)
			}
		}
	}
	return hex.EncodeToString(s.trace.Sum(nil))
}

func traceStatus(t *testing.T, s *simulation, n int) {
	detector := s.detectors[n]
	detector.Observe(s.now, 77, Failure) // Not a listed endpoint.
	detector.Observe(s.now, s.endpoints[0], Inconclusive)
	status := detector.Status(s.now)
	slices.SortFunc(status, func(a, b EndpointStatus) int { return cmp.Compare(a.ID, b.ID) })
	for i := range status {
		status[i].Endpoint = fmt.Sprint(status[i].ID)
	}
	text, err := json.Marshal(status)
	if err != nil {
		t.Fatal(err)
	}
	var ejections []string
	detector.EachEjection(s.now, func(id uint32, penalty float64) {
		ejections = append(ejections, fmt.Sprint(id, " ", penalty))
	})
	slices.Sort(ejections)
	fmt.Fprintf(s.trace, "status %d %s %s %d %d %d %d\n", n, text, ejections,
		detector.MessagesSent, detector.MessagesAccepted, detector.MessagesStale, detector.MessagesFromUnknown)
}

// Guards against changes of the encoding: during an upgrade, processes of different builds exchange these messages, and
// others would reject those of a build with a different encoding.
func TestGoldenMessages(t *testing.T) {
	full := &Message{From: 1<<32 - 1, Incarnation: 1<<64 - 1, Seq: 1<<32 - 1, Zone: 1<<16 - 1, MissPercent: 100}
	for n := range uint32(maxReportsPerMessage) {
		report := Report{Endpoint: 70000 * n, ConsecutiveFailures: uint8(n * 11), AgeMillis: uint16(n * 3000)}
		full.Reports = append(full.Reports, report)
	}
	reports := []Report{{Endpoint: 9, ConsecutiveFailures: 2, AgeMillis: 40}, {Endpoint: 10}}
	lines := []string{fmt.Sprint("names ", HashName(""), " ", HashName("cache-3"), " ",
		MaxMessageBytes, " ", UnknownZone, " ", MaxMembers)}
	for _, m := range []*Message{
		{},
		{From: 7, Incarnation: 1 << 40, Seq: 3, Zone: 2, Reports: reports},
		{MissPercent: 33, Reports: []Report{}},
		full,
	} {
		bytes := m.Encode()
		lines = append(lines, hex.EncodeToString(bytes))
		decoded, err := DecodeMessage(bytes)
		if err != nil || hex.EncodeToString(decoded.Encode()) != hex.EncodeToString(bytes) {
			t.Errorf("%x does not survive a round trip: %v", bytes, err)
		}
	}
	for outcome := range policy.Outcome(16) {
		lines = append(lines, fmt.Sprintf("outcome %d: %d %d %d", outcome,
			Classify(outcome, 0, 1000), Classify(outcome, 499, 1000), Classify(outcome, 500, 1000)))
	}
	compareGolden(t, "messages.golden", lines)
	many := &Message{Reports: make([]Report, maxReportsPerMessage+1)}
	for name, bytes := range map[string][]byte{
		"empty":      {},
		"a map":      {0xa0},
		"short":      {0x81, 0x01},
		"trailing":   append(full.Encode(), 0),
		"large":      make([]byte, MaxMessageBytes+1),
		"many":       many.Encode(),
		"indefinite": {0x9f, 0xff},
		"tagged":     {0xc1, 0x86, 1, 1, 1, 1, 0x80, 1},
	} {
		if m, err := DecodeMessage(bytes); err == nil {
			t.Errorf("%s: %x is decoded as %+v, want an error", name, bytes, m)
		}
	}
}

// Guards against changes in which reports are evicted when the store is full, as builds that evict differently would
// count different reporters. The members learn each other's zones from messages.
func TestGoldenFullTables(t *testing.T) {
	detector, now, sum := New(Member{1, UnknownZone}, 1), int64(1e15), sha256.New()
	var members []Member
	var endpoints []uint32
	for n := range uint32(500) {
		members, endpoints = append(members, Member{n + 1, UnknownZone}), append(endpoints, 5000+n)
	}
	detector.SetMembers(members)
	detector.SetEndpoints(endpoints)
	for round := range uint32(3) {
		for from := uint32(2); from <= 500; from++ {
			for first := uint32(0); first < 180; first += maxReportsPerMessage {
				m := &Message{From: from, Incarnation: 1, Seq: round*1000 + first + 1, Zone: uint16(from % 7)}
				for h := first; h < first+maxReportsPerMessage; h++ {
					m.Reports = append(m.Reports, Report{
						Endpoint:            5000 + (h*31+round*97)%500,
						ConsecutiveFailures: uint8((from + h + round) % 5),
						AgeMillis:           uint16(from * h % 4000),
					})
				}
				detector.HandleMessage(now, m)
				now += millisecond / 10
			}
		}
		detector.Tick(now)
		s := &simulation{now: now, detectors: []*Detector{detector}, endpoints: endpoints, trace: sum}
		traceStatus(t, s, 0)
		now += 600 * millisecond
	}
	for id := uint32(10_000); len(endpoints) < 9000; id++ {
		endpoints = append(endpoints, id)
	}
	detector.SetEndpoints(endpoints)
	for _, id := range endpoints[8190:8194] { // Only the first two are within maxEndpoints.
		detector.Observe(now, id, ConnectFailure)
	}
	traceStatus(t, &simulation{now: now, detectors: []*Detector{detector}, endpoints: endpoints, trace: sum}, 0)
	compareGolden(t, "full.golden", []string{hex.EncodeToString(sum.Sum(nil))})
}
