package policy

import (
	"fmt"
	"math"
	"testing"
)

// quiet is a Host that does nothing.
type quiet struct{ sent []int }

func (q *quiet) Send(i, s int, until int64) { q.sent = append(q.sent, s) }
func (q *quiet) Reject(int, Reason, int64)  {}
func (q *quiet) Fail(int, Reason)           {}
func (q *quiet) Cancel(int, int)            {}
func (q *quiet) Wake(int, int64)            {}
func (q *quiet) Subscribe()                 {}

func bareValues() map[string]any {
	return map[string]any{"workloads": 1.0, "workloads.0.group": "all", "workloads.0.expectedTime": 600.0, "workloads.0.effect": "free",
		"allowed.mostTrips": 3.0, "allowed.cancelling": true, "balancers": 1.0, "hostTypes": 1.0, "tenants": 1.0, "tenants.0.quotaRps": 50.0,
		"invariants.startCapacity": 0.2, "invariants.warmUp": 20000.0, "invariants.fallMultiple": 2.5, "invariants.tipAfter": 3000.0}
}

// young is a module with servers that started when it says.
func young(now int64, started ...int64) (*Balancer, *quiet) {
	q := &quiet{}
	b := New(now, 7, bareValues(), q)
	b.Listing(now, Whole)
	for s, at := range started {
		b.Row(now, s, fmt.Sprint("s-", s), Ready, at, 0, 0, 0, 1)
	}
	b.Listed(now)
	return b, q
}

// works has a module see some traffic: server 0 always fails.
func works(b *Balancer, q *quiet, from int64, n int) (now int64) {
	now = from
	for k := range n {
		now += 5 * ms
		q.sent = q.sent[:0]
		b.Asked(now, 0, 1500*ms, 0, 0, uint64(k%200+1), true, false, 0)
		for attempt := 0; attempt < len(q.sent); attempt++ {
			s, how := q.sent[attempt], OK
			if s == 0 {
				how = Errored
			}
			b.Ended(now+ms, 0, attempt, s, 1, how, 20*ms, how == OK)
		}
	}
	return now + ms
}

const unix = int64(1_800_000_000_000_000_000)

// What was learnt acts as if it had stayed where it was, over the gap too.
func TestWhatWasLearntGoesOn(t *testing.T) {
	started := []int64{0, 0, 0, 0, 0}
	old, q := young(unix, started...)
	now := works(old, q, unix, 2000)
	var s State
	old.Learnt(now, &s)
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	const gap = 700 * ms
	for what, step := range map[string]int64{"the clock as it was": 0, "an hour ahead": 3600 * second, "an hour back": -3600 * second} {
		then := now + gap
		b, _ := young(then+step, started...)
		if known := b.Learn(then+step, &s, gap); known != len(started) {
			t.Fatalf("%s: %d servers are known", what, known)
		}
		old.passes(then)
		for n, own := range b.scalars() {
			if want := old.scalars()[n].ValueAt(old.seen); math.Abs(own.ValueAt(b.seen)-want) > 1e-3*want+1e-6 {
				t.Errorf("%s: sum %d is %v, not %v", what, n, own.Value, want)
			}
		}
		for i := range b.servers {
			x, y := &b.servers[i], &old.servers[i]
			if math.Abs(x.good.ValueAt(b.seen)-y.good.ValueAt(old.seen)) > 1e-2 || math.Abs(x.bad.ValueAt(b.seen)-y.bad.ValueAt(old.seen)) > 1e-2 {
				t.Errorf("%s: server %d: %+v, not %+v", what, i, x.good, y.good)
			}
		}
		if !b.Avoids(0) || b.Avoids(1) {
			t.Errorf("%s: the server that fails is not doubted", what)
		}
		if b.known != old.known || b.began != old.began+step || b.now != then+step {
			t.Errorf("%s: keys are not known, or times are not those of this clock", what)
		}
	}
}

// Guards cold hosts: one that restarted between the snapshot and the start, by either's news, is not taken for warm.
func TestWhoRestartedIsCold(t *testing.T) {
	old, q := young(unix, 0, 0, 0, 0, 0)
	now := works(old, q, unix, 2000)
	again := now - second
	old.Listing(now, Incremental)
	old.Row(now, 2, "s-2", Ready, again, 0, 0, 0, 1) // The snapshot knows that 2 has.
	old.Listed(now)
	var s State
	old.Learnt(now, &s)
	b, _ := young(now, 0, again, 0, 0, 0) // The list knows that 1 has.
	b.Learn(now, &s, 0)
	if !b.cold(now, 1) || !b.cold(now, 2) || b.cold(now, 3) {
		t.Errorf("cold: %t, %t, and one that never restarted %t", b.cold(now, 1), b.cold(now, 2), b.cold(now, 3))
	}
	if h := &b.servers[1]; h.good.Value > 0 || h.sent.Value > 0 || h.credit != 1 {
		t.Errorf("what was learnt of it before it restarted counts: %+v", h)
	}
	for _, r := range b.known {
		if r.key != 0 && r.server == 1 {
			t.Fatalf("key %d is known at a server that is empty", r.key)
		}
	}
	if warm := b.servers[3].good.Value; warm == 0 {
		t.Error("nothing was learnt of the others")
	}
}

// A process that sends a part of the attempts has that part of the room for cold servers.
func TestColdRoomIsShared(t *testing.T) {
	room := func(part float64) float64 {
		b, q := young(unix, 0, 0, 0, 0, 0)
		b.Share(part)
		now := works(b, q, unix, 2000)
		b.Listing(now, Incremental)
		b.Row(now, 1, "s-1", Ready, now-second, 0, 0, 0, 1)
		b.Listed(now)
		b.servers[1].room, b.servers[1].roomAt = 0, now
		return b.coldRoom(now+300*ms, 1)
	}
	if whole, half := room(1), room(0.5); whole <= 0 || math.Abs(half/whole-0.5) > 1e-6 {
		t.Errorf("the whole is %v, the half %v", whole, half)
	}
}

func BenchmarkLearnt(b *testing.B) {
	started := make([]int64, 5000)
	old, q := young(unix, started...)
	now := unix
	for k := range 100_000 {
		now += ms / 10
		q.sent = q.sent[:0]
		old.Asked(now, 0, 1500*ms, 0, 0, uint64(k+1), true, false, 0)
		for attempt, s := range q.sent {
			old.Ended(now, 0, attempt, s, 1, OK, 20*ms, true)
		}
	}
	var s State
	b.ResetTimer()
	for range b.N {
		old.Learnt(now, &s)
	}
}
