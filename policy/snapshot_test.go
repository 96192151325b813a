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
	executor := &discardExecutor{}
	b := New(now, 7, snapshotSettings(), executor)
	b.BeginEndpointUpdate(FullList)
	for index, at := range started {
		b.UpdateEndpoint(now, index, EndpointInfo{Address: fmt.Sprint("s-", index), Health: Ready, StartedAt: at, Weight: 1})
	}
	b.CommitEndpointUpdate(now)
	return b, executor
}

// driveTraffic sends n requests, 5 ms apart, and returns the time after the last. Endpoint 0 always fails.
func driveTraffic(b *Balancer, executor *discardExecutor, from int64, n int) (now int64) {
	now = from
	for k := range n {
		now += 5 * ms
		executor.sentTo = executor.sentTo[:0]
		b.HandleRequest(now, 0, RequestInfo{Remaining: 1500 * ms, Key: uint64(k%200 + 1), HasKey: true})
		for attempt := 0; attempt < len(executor.sentTo); attempt++ {
			index, outcome := executor.sentTo[attempt], OK
			if index == 0 {
				outcome = Errored
			}
			b.HandleAttemptEnded(now+ms, 0, AttemptResult{Attempt: attempt, Endpoint: index, CacheResult: 1, Outcome: outcome, Latency: 20 * ms, IsAnswered: outcome == OK})
		}
	}
	return now + ms
}

// A process restarts, and its clock may have been set in between. What it restores counts as much as it would have had
// the process gone on, over the gap too: an endpoint that failed is still an outlier, and keys are known where they
// were read last.
func TestRestoredStateDecidesAsBefore(t *testing.T) {
	started := []int64{0, 0, 0, 0, 0}
	old, executor := newSnapshotBalancer(unixStart, started...)
	now := driveTraffic(old, executor, unixStart, 2000)
	var state State
	old.SaveState(now, &state)
	if err := state.Check(); err != nil {
		t.Fatal(err)
	}
	const gap = 700 * ms
	for what, step := range map[string]int64{"the clock as it was": 0, "an hour ahead": 3600 * second, "an hour back": -3600 * second} {
		then := now + gap
		b, _ := newSnapshotBalancer(then+step, started...)
		if known := b.RestoreState(then+step, &state, gap); known != len(started) {
			t.Fatalf("%s: %d endpoints are known", what, known)
		}
		old.advanceClock(then)
		for n, own := range b.sums() {
			if want := old.sums()[n].ValueAt(old.clock.evidence); math.Abs(own.ValueAt(b.clock.evidence)-want) > 1e-3*want+1e-6 {
				t.Errorf("%s: sum %d is %v, not %v", what, n, own.Value, want)
			}
		}
		for i := range b.endpoints {
			got, want := &b.endpoints[i].outlier.outcomes, &old.endpoints[i].outlier.outcomes
			successes := got.successes.ValueAt(b.clock.evidence) - want.successes.ValueAt(old.clock.evidence)
			failures := got.failures.ValueAt(b.clock.evidence) - want.failures.ValueAt(old.clock.evidence)
			if math.Abs(successes) > 1e-2 || math.Abs(failures) > 1e-2 {
				t.Errorf("%s: endpoint %d has %g successes and %g failures more than before", what, i, successes, failures)
			}
		}
		if !b.IsLikelyOutlier(0) || b.IsLikelyOutlier(1) {
			t.Errorf("%s: the endpoint that fails is no outlier", what)
		}
		if b.recentKeys != old.recentKeys || b.clock.startedAt != old.clock.startedAt+step || b.clock.now != then+step {
			t.Errorf("%s: keys are not known, or times are not those of this clock", what)
		}
	}
}

// An endpoint restarts around the time at which a process does, and either the snapshot or the list knows of it. It is
// not taken for warm, nothing that was learned of it before counts, and no key is known to be there.
func TestRestoreKeepsRestartedEndpointsCold(t *testing.T) {
	old, executor := newSnapshotBalancer(unixStart, 0, 0, 0, 0, 0)
	now := driveTraffic(old, executor, unixStart, 2000)
	again := now - second
	old.BeginEndpointUpdate(IncrementalList)
	// The snapshot knows that 2 has restarted.
	old.UpdateEndpoint(now, 2, EndpointInfo{Address: "s-2", Health: Ready, StartedAt: again, Weight: 1})
	old.CommitEndpointUpdate(now)
	var state State
	old.SaveState(now, &state)
	b, _ := newSnapshotBalancer(now, 0, again, 0, 0, 0) // The list knows that 1 has restarted.
	b.RestoreState(now, &state, 0)
	if !b.isWarmingUp(now, 1) || !b.isWarmingUp(now, 2) || b.isWarmingUp(now, 3) {
		t.Errorf("warming up: %t, %t, and one that never restarted %t", b.isWarmingUp(now, 1), b.isWarmingUp(now, 2), b.isWarmingUp(now, 3))
	}
	if endpoint := &b.endpoints[1]; endpoint.outlier.outcomes.successes.Value > 0 || endpoint.attempts.Value > 0 || endpoint.retries.tokens != 1 {
		t.Errorf("what was learned of it before it restarted counts: %+v", endpoint)
	}
	for _, record := range b.recentKeys {
		if record.key != 0 && record.endpoint == 1 {
			t.Fatalf("key %d is known at an endpoint that is empty", record.key)
		}
	}
	if warm := b.endpoints[3].outlier.outcomes.successes.Value; warm == 0 {
		t.Error("nothing was learned of the others")
	}
}

// BenchmarkSaveState saves the state of 5,000 endpoints after 100,000 requests.
func BenchmarkSaveState(b *testing.B) {
	started := make([]int64, 5000)
	old, executor := newSnapshotBalancer(unixStart, started...)
	now := unixStart
	for k := range 100_000 {
		now += ms / 10
		executor.sentTo = executor.sentTo[:0]
		old.HandleRequest(now, 0, RequestInfo{Remaining: 1500 * ms, Key: uint64(k + 1), HasKey: true})
		for attempt, index := range executor.sentTo {
			old.HandleAttemptEnded(now, 0, AttemptResult{Attempt: attempt, Endpoint: index, CacheResult: 1, Outcome: OK, Latency: 20 * ms, IsAnswered: true})
		}
	}
	var state State
	b.ResetTimer()
	for range b.N {
		old.SaveState(now, &state)
	}
}
