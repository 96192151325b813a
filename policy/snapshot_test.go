package policy

import (
	"fmt"
	"math"
	"testing"
)

// unixStart is the time at which these tests begin, as nanoseconds since 1970.
const unixStart = int64(1_800_000_000_000_000_000)

// snapshotSettings are settings with one class, which is safe, and one tenant.
func snapshotSettings() map[string]any {
	return map[string]any{"workloads": 1.0, "workloads.0.group": "all", "workloads.0.expectedTime": 600.0, "workloads.0.effect": "free",
		"allowed.mostTrips": 3.0, "allowed.cancelling": true, "balancers": 1.0, "hostTypes": 1.0, "tenants": 1.0, "tenants.0.quotaRps": 50.0,
		"invariants.startCapacity": 0.2, "invariants.warmUp": 20000.0, "invariants.fallMultiple": 2.5, "invariants.tipAfter": 3000.0}
}

// newSnapshotBalancer returns a Balancer before one endpoint for each start given; 0: long ago.
func newSnapshotBalancer(now int64, started ...int64) (*Balancer, *discardExecutor) {
	q := &discardExecutor{}
	b := New(now, 7, snapshotSettings(), q)
	b.BeginEndpointUpdate(FullList)
	for s, at := range started {
		b.UpdateEndpoint(now, s, EndpointInfo{Address: fmt.Sprint("s-", s), Health: Ready, StartedAt: at, Weight: 1})
	}
	b.CommitEndpointUpdate(now)
	return b, q
}

// driveTraffic sends n requests, 5 ms apart, and returns the time after the last. Endpoint 0 always fails.
func driveTraffic(b *Balancer, q *discardExecutor, from int64, n int) (now int64) {
	now = from
	for k := range n {
		now += 5 * ms
		q.sentTo = q.sentTo[:0]
		b.HandleRequest(now, 0, RequestInfo{Remaining: 1500 * ms, Key: uint64(k%200 + 1), HasKey: true})
		for attempt := 0; attempt < len(q.sentTo); attempt++ {
			s, how := q.sentTo[attempt], OK
			if s == 0 {
				how = Errored
			}
			b.HandleAttemptEnded(now+ms, 0, AttemptResult{Attempt: attempt, Endpoint: s, CacheResult: 1, Outcome: how, Latency: 20 * ms, IsAnswered: how == OK})
		}
	}
	return now + ms
}

// A process restarts, and its clock may have been set in between. What it restores counts as much as it would have had the process gone on, over the gap too: an endpoint
// that failed is still an outlier, and keys are known where they were read last.
func TestRestoredStateDecidesAsBefore(t *testing.T) {
	started := []int64{0, 0, 0, 0, 0}
	old, q := newSnapshotBalancer(unixStart, started...)
	now := driveTraffic(old, q, unixStart, 2000)
	var s State
	old.SaveState(now, &s)
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	const gap = 700 * ms
	for what, step := range map[string]int64{"the clock as it was": 0, "an hour ahead": 3600 * second, "an hour back": -3600 * second} {
		then := now + gap
		b, _ := newSnapshotBalancer(then+step, started...)
		if known := b.RestoreState(then+step, &s, gap); known != len(started) {
			t.Fatalf("%s: %d servers are known", what, known)
		}
		old.advanceClock(then)
		for n, own := range b.sums() {
			if want := old.sums()[n].ValueAt(old.clock.evidence); math.Abs(own.ValueAt(b.clock.evidence)-want) > 1e-3*want+1e-6 {
				t.Errorf("%s: sum %d is %v, not %v", what, n, own.Value, want)
			}
		}
		for i := range b.endpoints {
			x, y := &b.endpoints[i], &old.endpoints[i]
			if math.Abs(x.outlier.outcomes.successes.ValueAt(b.clock.evidence)-y.outlier.outcomes.successes.ValueAt(old.clock.evidence)) > 1e-2 || math.Abs(x.outlier.outcomes.failures.ValueAt(b.clock.evidence)-y.outlier.outcomes.failures.ValueAt(old.clock.evidence)) > 1e-2 {
				t.Errorf("%s: server %d: %+v, not %+v", what, i, x.outlier.outcomes.successes, y.outlier.outcomes.successes)
			}
		}
		if !b.IsLikelyOutlier(0) || b.IsLikelyOutlier(1) {
			t.Errorf("%s: the server that fails is not doubted", what)
		}
		if b.recentKeys != old.recentKeys || b.clock.startedAt != old.clock.startedAt+step || b.clock.now != then+step {
			t.Errorf("%s: keys are not known, or times are not those of this clock", what)
		}
	}
}

// An endpoint restarts around the time at which a process does, and either the snapshot or the list knows of it. It is not taken for warm, nothing that was learnt of it
// before counts, and no key is known to be there.
func TestRestoreKeepsRestartedEndpointsCold(t *testing.T) {
	old, q := newSnapshotBalancer(unixStart, 0, 0, 0, 0, 0)
	now := driveTraffic(old, q, unixStart, 2000)
	again := now - second
	old.BeginEndpointUpdate(IncrementalList)
	old.UpdateEndpoint(now, 2, EndpointInfo{Address: "s-2", Health: Ready, StartedAt: again, Weight: 1}) // The snapshot knows that 2 has.
	old.CommitEndpointUpdate(now)
	var s State
	old.SaveState(now, &s)
	b, _ := newSnapshotBalancer(now, 0, again, 0, 0, 0) // The list knows that 1 has.
	b.RestoreState(now, &s, 0)
	if !b.isWarmingUp(now, 1) || !b.isWarmingUp(now, 2) || b.isWarmingUp(now, 3) {
		t.Errorf("cold: %t, %t, and one that never restarted %t", b.isWarmingUp(now, 1), b.isWarmingUp(now, 2), b.isWarmingUp(now, 3))
	}
	if h := &b.endpoints[1]; h.outlier.outcomes.successes.Value > 0 || h.attempts.Value > 0 || h.retries.tokens != 1 {
		t.Errorf("what was learnt of it before it restarted counts: %+v", h)
	}
	for _, r := range b.recentKeys {
		if r.key != 0 && r.endpoint == 1 {
			t.Fatalf("key %d is known at a server that is empty", r.key)
		}
	}
	if warm := b.endpoints[3].outlier.outcomes.successes.Value; warm == 0 {
		t.Error("nothing was learnt of the others")
	}
}

// BenchmarkSaveState saves the state of 5,000 endpoints after 100,000 requests.
func BenchmarkSaveState(b *testing.B) {
	started := make([]int64, 5000)
	old, q := newSnapshotBalancer(unixStart, started...)
	now := unixStart
	for k := range 100_000 {
		now += ms / 10
		q.sentTo = q.sentTo[:0]
		old.HandleRequest(now, 0, RequestInfo{Remaining: 1500 * ms, Key: uint64(k + 1), HasKey: true})
		for attempt, s := range q.sentTo {
			old.HandleAttemptEnded(now, 0, AttemptResult{Attempt: attempt, Endpoint: s, CacheResult: 1, Outcome: OK, Latency: 20 * ms, IsAnswered: true})
		}
	}
	var s State
	b.ResetTimer()
	for range b.N {
		old.SaveState(now, &s)
	}
}
