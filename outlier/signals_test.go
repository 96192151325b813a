package outlier

import (
	"fmt"
	"hash"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// town is a fleet of boards before hosts, under one clock: trips, and a network that loses, delays and repeats.
type town struct {
	t       testing.TB
	chance  *rand.Rand
	now     int64
	boards  []*Detector
	alive   []bool
	hosts   []uint32
	fails   []float64 // by host: the chance that a trip fails
	broken  []bool    // by balancer: all its trips fail
	flying  []flight
	loss    float64
	delay   int64
	silent  bool // no message arrives
	bad     int  // trips that failed at hosts that fail
	took    int64
	bytes   int
	liar    int // tells 100 times what it saw; -1: nobody
	repeats float64
	trace   hash.Hash // of all messages and attempts, where one is kept
}

type flight struct {
	at   int64
	to   int
	what []byte
}

func newTown(t testing.TB, seed uint64, balancers, hosts, zones int) *town {
	w := &town{t: t, chance: rand.New(rand.NewPCG(seed, 9)), now: 1e12, took: 400 * ms, delay: 20 * ms, liar: -1}
	var all []Member
	for n := range balancers {
		all = append(all, Member{uint32(n + 1), uint16(n % zones)})
	}
	for h := range hosts {
		w.hosts, w.fails = append(w.hosts, uint32(1000+h)), append(w.fails, 0)
	}
	for _, m := range all {
		b := New(m, 1)
		b.SetMembers(all)
		b.SetEndpoints(w.hosts)
		w.boards, w.alive, w.broken = append(w.boards, b), append(w.alive, true), append(w.broken, false)
	}
	return w
}

// send puts a message on its way to all others.
func (w *town) send(from int, bytes []byte) {
	w.bytes += len(bytes) * (len(w.boards) - 1)
	if w.trace != nil {
		fmt.Fprintf(w.trace, "message %d %d %x\n", w.now, from, bytes)
	}
	for to := range w.boards {
		for again := true; again && to != from; again = w.chance.Float64() < w.repeats {
			if !w.silent && w.chance.Float64() >= w.loss {
				w.flying = append(w.flying, flight{w.now + w.chance.Int64N(w.delay+1) + w.delay/2, to, bytes})
			}
		}
	}
}

// tick plays 10 ms: each balancer sends so many trips to hosts by chance, passing by what others' word or its own sight speaks against.
func (w *town) tick(trips float64) {
	w.now += 10 * ms
	rest := w.flying[:0]
	for _, f := range w.flying {
		if f.at > w.now {
			rest = append(rest, f)
			continue
		}
		m, err := DecodeMessage(f.what)
		if err != nil {
			w.t.Fatal(err)
		}
		if w.alive[f.to] {
			w.boards[f.to].HandleMessage(w.now, m)
		}
	}
	w.flying = rest
	for n, b := range w.boards {
		if !w.alive[n] {
			continue
		}
		b.Tick(w.now)
		if m := b.NextMessage(w.now); m != nil {
			if bytes := m.Encode(); len(bytes) > MaxMessageBytes {
				w.t.Fatalf("%d bytes", len(bytes))
			}
			if w.liar == n {
				for i := range m.Words {
					m.Words[i].Run = 200
				}
			}
			w.send(n, m.Encode())
		}
		for todo := trips; todo > 0; todo-- {
			if w.chance.Float64() >= todo {
				continue
			}
			at := w.chance.IntN(len(w.hosts))
			id := w.hosts[at]
			h := b.hosts[id]
			if h == nil {
				continue
			}
			part := b.Part(w.now, id)
			if w.chance.Float64() < part || part >= 0 && h.run >= 2 && w.now-h.failed < 3000*ms && w.chance.Float64() < 0.9 {
				continue
			}
			penalty, ejected := b.RecordAttempt(w.now, id)
			if w.trace != nil {
				fmt.Fprintf(w.trace, "attempt %d %d %d %v %t\n", w.now, n, id, penalty, ejected)
			}
			if w.chance.Float64() < w.fails[at] || w.broken[n] {
				if w.fails[at] > 0 {
					w.bad++
				}
				b.Observe(w.now, id, Fails)
			} else {
				b.Observe(w.now, id, Settles)
			}
		}
	}
}

func (w *town) run(over int64, trips float64) {
	for end := w.now + over; w.now < end; {
		w.tick(trips)
	}
}

// held is how many balancers hold back a host on others' word.
func (w *town) held(host int) (n int) {
	for i, b := range w.boards {
		if w.alive[i] && b.Part(w.now, w.hosts[host]) > 0 {
			n++
		}
	}
	return n
}

// A host that fails is left by all but those who have its turn, for a small part of the failures that each alone pays, and found well again soon.
func TestAllLeaveAHostThatFails(t *testing.T) {
	paid := map[bool]int{}
	for _, silent := range []bool{true, false} {
		w := newTown(t, 1, 12, 24, 3)
		w.silent = silent
		w.run(5000*ms, 0.25)
		w.fails[3] = 1
		w.run(20000*ms, 0.25) // One trip a balancer and second at each host.
		paid[silent] = w.bad
		if held := w.held(3); !silent && held < 12-5 {
			t.Errorf("%d of 12 hold it back", held)
		}
		w.fails[3] = 0
		w.run(15000*ms, 0.25)
		if held := w.held(3); held != 0 {
			t.Errorf("%d still hold it back 15 s after it was well", held)
		}
	}
	t.Logf("failures paid: %d alone, %d with signals", paid[true], paid[false])
	if paid[false] > paid[true]/2 {
		t.Errorf("%d failures with signals, %d without", paid[false], paid[true])
	}
}

// One whose own network fails, and one that lies, take no host from the others: not alone, nor with all of one zone.
func TestOneAloneIsNotHeeded(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(w *town)
	}{
		{"a broken cable", func(w *town) { w.broken[4] = true }},
		{"a liar", func(w *town) { w.broken[4], w.liar = true, 4 }},
		{"a zone that is cut off", func(w *town) {
			for n := 0; n < 12; n += 3 {
				w.broken[n] = true
			}
		}},
	} {
		w := newTown(t, 2, 12, 24, 3)
		w.run(3000*ms, 2)
		c.do(w)
		for range 100 {
			w.run(100*ms, 2)
			for h := range w.hosts {
				for n, b := range w.boards {
					if !w.broken[n] && b.Part(w.now, w.hosts[h]) > 0 {
						t.Fatalf("%s: balancer %d holds host %d back", c.name, n, h)
					}
				}
			}
		}
	}
}

// What fails everywhere is behind all hosts: none is left for it, and never more than a half of them.
func TestWhatFailsEverywhereIsNoHosts(t *testing.T) {
	for _, fails := range []float64{0.9, 1} {
		w := newTown(t, 3, 12, 24, 3)
		for h := range w.fails {
			w.fails[h] = fails
		}
		for tenth := range 100 {
			w.run(100*ms, 2)
			for n, b := range w.boards {
				left := 0
				for _, id := range w.hosts {
					if b.Part(w.now, id) > 0 {
						left++
					}
				}
				if left > len(w.hosts)/2 || left > 0 && fails == 1 && tenth > 20 {
					t.Fatalf("balancer %d holds %d hosts back", n, left)
				}
			}
		}
	}
}

// Who has the turn and is gone is passed over; when nobody speaks any more, no host is held back for longer than Lasts and a return.
func TestTurnsOfTheDead(t *testing.T) {
	w := newTown(t, 4, 12, 24, 1)
	w.fails[5] = 1
	w.run(5000*ms, 1)
	if w.held(5) == 0 {
		t.Fatal("nobody holds it back")
	}
	// The first three in its order are gone, and nobody knows yet: it is found well all the same.
	at := slices.Clone(w.boards)
	slices.SortFunc(at, func(x, y *Detector) int {
		if mix(w.hosts[5], x.me.ID) > mix(w.hosts[5], y.me.ID) {
			return -1
		}
		return 1
	})
	for n, b := range w.boards {
		w.alive[n] = !slices.Contains(at[:3], b)
	}
	w.fails[5] = 0
	w.run(mostWait+4*leastStep+backOver+1000*ms, 1)
	if held := w.held(5); held != 0 {
		t.Errorf("%d hold it back", held)
	}
	// Nobody speaks any more.
	w.fails[5] = 1
	w.run(5000*ms, 1)
	if w.held(5) == 0 {
		t.Fatal("nobody holds it back")
	}
	w.fails[5], w.silent = 0, true
	w.run(Lasts+2*backOver+1000*ms, 1)
	if held := w.held(5); held != 0 {
		t.Errorf("%d hold it back though nobody has said anything for longer than %v", held, Lasts)
	}
}

// Messages in any order, repeated, lost and late make the same of the same: what counts is the last word of each.
func TestMergingHasNoOrder(t *testing.T) {
	chance := rand.New(rand.NewPCG(5, 5))
	for range 200 {
		var all []*Message
		for from := range 6 {
			for seq := range 4 {
				m := &Message{From: uint32(from + 2), Life: 1, Seq: uint32(seq + 1), Zone: uint16(from % 2)}
				for h := range 5 { // All words in each: what is in a later one is all that counts of an earlier one.
					m.Words = append(m.Words, Word{Host: uint32(1000 + h), Run: uint8(chance.IntN(5)), Age: uint16(chance.IntN(2000))})
				}
				all = append(all, m)
			}
		}
		parts := func(order []*Message) string {
			var members []Member
			for id := range 8 {
				members = append(members, Member{uint32(id + 1), uint16(id % 2)})
			}
			b := New(members[0], 1)
			b.SetMembers(members)
			b.SetEndpoints([]uint32{1000, 1001, 1002, 1003, 1004})
			for _, m := range order {
				b.HandleMessage(1e12, m)
			}
			b.Tick(1e12)
			text := ""
			for h := range 5 {
				text += fmt.Sprint(b.hosts[uint32(1000+h)].since != 0, " ")
			}
			return text
		}
		want := parts(all)
		mixed := append(slices.Clone(all), all[:8]...)
		chance.Shuffle(len(mixed), func(i, j int) { mixed[i], mixed[j] = mixed[j], mixed[i] })
		if got := parts(mixed); got != want {
			t.Fatalf("%s in another order %s", want, got)
		}
	}
}

// No herd: a host that fails for as long as more than a half of the fleet uses it. With signals late by up to 2 s, of what is left no more than
// a quarter comes back in one delay, and returns that do not hold come ever slower.
func TestNoHerd(t *testing.T) {
	for _, delay := range []int64{0, 200 * ms, 1000 * ms, 2000 * ms} {
		w := newTown(t, 6, 40, 24, 1)
		w.delay = delay
		for _, b := range w.boards {
			b.SetMessageDelay(delay * 3 / 2)
		}
		w.fails[7] = 1
		w.run(8000*ms+4*delay, 1)
		w.fails[7] = 0
		most, over := 0, max(1, delay/(10*ms))
		var held []int
		for range 2000 {
			w.tick(1)
			held = append(held, w.held(7))
			if n := len(held); n > int(over) {
				most = max(most, held[n-1-int(over)]-held[n-1])
			}
		}
		t.Logf("delay %d ms: at most %d of 40 come back within one", delay/ms, most)
		if most > 40/4+4 { // A quarter, and what the draw of places varies by.
			t.Errorf("delay %d ms: %d of 40 come back within one", delay/ms, most)
		}
		if held[len(held)-1] != 0 {
			t.Errorf("delay %d ms: %d are still away after 20 s", delay/ms, held[len(held)-1])
		}
	}
}

// Seeded random runs: members come, go, break and lie; the network loses, delays, repeats. No host is held back without as many witnesses as
// are needed, at some time lately; all that is kept has its bound; when all is well again nothing is held back.
func TestSeededRuns(t *testing.T) {
	steps := 3000
	if n, err := strconv.Atoi(os.Getenv("HOLLYLEVER_STEPS")); err == nil {
		steps = n
	}
	for seed := range uint64(4) {
		w := newTown(t, 10+seed, 5+int(seed)*7, 16, 1+int(seed%3))
		for step := range steps {
			if step%50 == 0 {
				h, n := w.chance.IntN(len(w.hosts)), w.chance.IntN(len(w.boards))
				switch w.chance.IntN(8) {
				case 0, 1:
					w.fails[h] = w.chance.Float64()
				case 2, 3:
					w.fails[h] = 0
				case 4:
					w.broken[n] = !w.broken[n]
				case 5:
					w.loss, w.repeats, w.delay = w.chance.Float64()*0.6, w.chance.Float64()*0.5, 1+w.chance.Int64N(2000*ms)
				case 6:
					w.alive[n] = !w.alive[n]
				case 7: // A new life, which knows nothing.
					old := w.boards[n]
					w.boards[n] = New(old.me, old.life+1)
					w.boards[n].SetMembers(old.all)
					w.boards[n].SetEndpoints(w.hosts)
				}
			}
			var before [64][16]int64
			for n, b := range w.boards {
				for h, id := range w.hosts {
					before[n][h] = b.hosts[id].since
				}
			}
			w.tick(0.5)
			for n, b := range w.boards {
				if len(b.spoke) > len(b.all) || len(b.active) > len(w.hosts) {
					t.Fatalf("seed %d step %d: %d speakers, %d hosts", seed, step, len(b.spoke), len(b.active))
				}
				for h, id := range w.hosts {
					o := b.hosts[id]
					if o.since == w.now && before[n][h] != w.now && w.alive[n] && o.good < w.now {
						if e := b.said(w.now, o, freshFor+20*ms); e.witnesses < 2 || e.zones < min(2, b.zones) {
							t.Fatalf("seed %d step %d: balancer %d heeds %+v on host %d", seed, step, n, e, h)
						}
					}
					if part := b.Part(w.now, id); part < 0 && part != Try || part > mostPart || len(o.words) > len(b.all) {
						t.Fatalf("seed %d step %d: part %v, %d words", seed, step, part, len(o.words))
					}
				}
			}
		}
		for n := range w.boards {
			w.alive[n], w.broken[n] = true, false
		}
		clear(w.fails)
		w.loss, w.delay = 0, 20*ms
		w.run(Lasts+mostBack+5000*ms, 0.5)
		for h := range w.hosts {
			if held := w.held(h); held > 0 {
				t.Errorf("seed %d: %d hold host %d back though all is well", seed, held, h)
			}
		}
	}
}

// Reads that miss for a third of the members of two zones are said to miss for all, for as long as enough say so; one alone, or one zone, is not heeded.
func TestReadsThatMissForAll(t *testing.T) {
	for _, c := range []struct {
		from []uint32
		is   bool
	}{{[]uint32{2}, false}, {[]uint32{4, 7, 10}, false}, {[]uint32{2, 3, 4, 5}, true}, {[]uint32{2, 3}, false}} {
		b := New(Member{1, 0}, 1)
		var all []Member
		for id := range uint32(12) {
			all = append(all, Member{id + 1, uint16(id % 3)})
		}
		b.SetMembers(all)
		now := int64(1e12)
		for seq := range uint32(2) {
			for _, from := range c.from {
				b.HandleMessage(now, &Message{From: from, Life: 1, Seq: seq + 1, Zone: uint16((from - 1) % 3), Miss: 60})
			}
		}
		own := 10
		if len(c.from) == 3 && !c.is {
			own = 90 // Of the same zone as these.
		}
		if is := b.UpdateMissRate(now, 100, own); is != c.is {
			t.Errorf("%v: %t", c.from, is)
		}
		if b.UpdateMissRate(now+missFor+1, 300, own+20) {
			t.Errorf("%v: it does not end", c.from)
		}
	}
	b := New(Member{1, 0}, 1)
	b.UpdateMissRate(1e12, 100, 50)
	if m := b.NextMessage(1e12); m == nil || m.Miss != 50 || len(m.Encode()) > 40 {
		t.Errorf("%+v", m)
	}
}

// A life that is over does not speak for the one after it.
func TestLatePastLives(t *testing.T) {
	b := New(Member{1, 0}, 1)
	b.SetMembers([]Member{{2, 0}, {3, 0}})
	b.SetEndpoints([]uint32{1000})
	b.HandleMessage(1e12, &Message{From: 2, Life: 5, Seq: 1, Words: []Word{{Host: 1000, Run: 0}}})
	b.HandleMessage(1e12, &Message{From: 2, Life: 4, Seq: 9, Words: []Word{{Host: 1000, Run: 9}}})
	b.HandleMessage(1e12, &Message{From: 9, Life: 4, Seq: 9, Words: []Word{{Host: 1000, Run: 9}}})
	b.HandleMessage(1e12, &Message{From: 1, Life: 4, Seq: 9, Words: []Word{{Host: 1000, Run: 9}}})
	if b.MessagesAccepted != 1 || b.MessagesStale != 1 || b.MessagesFromUnknown != 2 {
		t.Errorf("%d taken, %d late, %d of nobody", b.MessagesAccepted, b.MessagesStale, b.MessagesFromUnknown)
	}
}

func FuzzUnpack(f *testing.F) {
	f.Add((&Message{From: 7, Life: 1 << 40, Seq: 3, Zone: 2, Words: []Word{{Host: 9, Run: 2, Age: 40}}}).Encode())
	f.Add([]byte{0x85, 0xff})
	f.Fuzz(func(t *testing.T, bytes []byte) {
		m, err := DecodeMessage(bytes)
		if err != nil {
			return
		}
		b := New(Member{1, 0}, 1)
		b.SetMembers([]Member{{m.From, 0}})
		for _, w := range m.Words {
			b.SetEndpoints([]uint32{w.Host})
		}
		b.HandleMessage(1e12, m)
		b.Tick(1e12)
		b.Status(1e12)
	})
}

// TestSizes is not for CI: what signals spare and cost at sizes that processes do not reach. HOLLYLEVER_SIZES names the numbers of balancers.
func TestSizes(t *testing.T) {
	sizes := os.Getenv("HOLLYLEVER_SIZES")
	if sizes == "" {
		t.Skip("only where it is asked for")
	}
	for _, word := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(word)
		if err != nil {
			t.Fatal(err)
		}
		var paid, bytes [2]int
		for on := range 2 {
			w := newTown(t, 1, n, 2*n, 3)
			w.silent = on == 0
			w.run(2000*ms, 0.5)
			w.fails[3] = 1
			w.bytes = 0
			w.run(20000*ms, 0.5)
			paid[on], bytes[on] = w.bad, w.bytes
		}
		t.Logf("%d balancers, %d hosts, 50 trips a second each, one host fails for 20 s: %d failures alone, %d with signals; %.0f bytes a balancer and second sent", n, 2*n,
			paid[0], paid[1], float64(bytes[1])/20/float64(n))
	}
}
