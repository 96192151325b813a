package policy

import (
	"fmt"
	"math"
	"testing"
)

// unixStart is the time at which these tests start, in nanoseconds since 1970.
const unixStart = int64(1_800_000_000_000_000_000)

// snapshotSettings returns settings with one tenant and one class, whose requests are safe to repeat.
func snapshotSettings() map[string]any {
	return map[string]any{"workloads": 1.0, "workloads.0.group": "all", "workloads.0.expectedTime": 600.0, "workloads.0.effect": "free",
		"allowed.mostTrips": 3.0, "allowed.cancelling": true, "balancers": 1.0, "hostTypes": 1.0, "tenants": 1.0, "tenants.0.quotaRps": 50.0,
		"invariants.startCapacity": 0.2, "invariants.warmUp": 20000.0, "invariants.fallMultiple": 2.5, "invariants.tipAfter": 3000.0}
}

// newSnapshotBalancer returns a Balancer with one ready endpoint for each start time; 0: long ago.
func newSnapshotBalancer(now int64, startTimes ...int64) (*Balancer, *discardExecutor) {
	executor := &discardExecutor{}
	b := New(now, 7, snapshotSettings(), executor)
	b.BeginEndpointUpdate(FullList)
	for index, at := range startTimes {
		b.UpdateEndpoint(now, index, EndpointInfo{Address: fmt.Sprint("s-", index), Health: Ready, StartedAt: at, Weight: 1})
	}
	b.CommitEndpointUpdate(now)
	return b, executor
}

// driveTraffic sends n requests, 5 ms apart, and returns the time after the last one. Endpoint 0 fails all attempts.
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

// A process restarts, and the system clock may be set in between. Restored statistics must have the values that they
// would have if the process had kept running: a failing endpoint is still an outlier, and the endpoints of recent keys
// are known.
func TestRestoredStateDecidesAsBefore(t *testing.T) {
	startTimes := []int64{0, 0, 0, 0, 0}
	old, executor := newSnapshotBalancer(unixStart, startTimes...)
	now := driveTraffic(old, executor, unixStart, 2000)
	var state State
	old.SaveState(now, &state)
	if err := state.Check(); err != nil {
		t.Fatal(err)
	}
	const gap = 700 * ms
	for name, clockStep := range map[string]int64{"clock unchanged": 0, "clock an hour ahead": 3600 * second, "clock an hour back": -3600 * second} {
		then := now + gap
		b, _ := newSnapshotBalancer(then+clockStep, startTimes...)
		if known := b.RestoreState(then+clockStep, &state, gap); known != len(startTimes) {
			t.Fatalf("%s: %d endpoints restored, want %d", name, known, len(startTimes))
		}
		old.advanceClock(then)
		for n, restored := range b.sums() {
			if want := old.sums()[n].ValueAt(old.clock.activityTime); math.Abs(restored.ValueAt(b.clock.activityTime)-want) > 1e-3*want+1e-6 {
				t.Errorf("%s: sum %d is %v, want %v", name, n, restored.Value, want)
			}
		}
		for i := range b.endpoints {
			got, want := &b.endpoints[i].outlier.outcomes, &old.endpoints[i].outlier.outcomes
			successes := got.successes.ValueAt(b.clock.activityTime) - want.successes.ValueAt(old.clock.activityTime)
			failures := got.failures.ValueAt(b.clock.activityTime) - want.failures.ValueAt(old.clock.activityTime)
			if math.Abs(successes) > 1e-2 || math.Abs(failures) > 1e-2 {
				t.Errorf("%s: endpoint %d has %g successes and %g failures more than before", name, i, successes, failures)
			}
		}
		if !b.IsLikelyOutlier(0) {
			t.Errorf("%s: the failing endpoint is not an outlier", name)
		}
		if b.IsLikelyOutlier(1) {
			t.Errorf("%s: a healthy endpoint is an outlier", name)
		}
		if b.recentKeys != old.recentKeys {
			t.Errorf("%s: recent keys are not restored", name)
		}
		if want := old.clock.startedAt + clockStep; b.clock.startedAt != want {
			t.Errorf("%s: the start is %d by the new process's clock, want %d", name, b.clock.startedAt, want)
		}
		if want := then + clockStep; b.clock.now != want {
			t.Errorf("%s: the new process's clock shows %d, want %d", name, b.clock.now, want)
		}
	}
}

// An endpoint restarts at about the same time as the balancer, and only the snapshot or only the list shows it. In
// both cases the endpoint must not be taken for warm. If only the list shows the restart, earlier statistics must not
// count and no recent key may point to the endpoint.
func TestRestoreKeepsRestartedEndpointsCold(t *testing.T) {
	old, executor := newSnapshotBalancer(unixStart, 0, 0, 0, 0, 0)
	now := driveTraffic(old, executor, unixStart, 2000)
	restartedAt := now - second
	old.BeginEndpointUpdate(IncrementalList)
	// Only the snapshot shows the restart of endpoint 2.
	old.UpdateEndpoint(now, 2, EndpointInfo{Address: "s-2", Health: Ready, StartedAt: restartedAt, Weight: 1})
	old.CommitEndpointUpdate(now)
	var state State
	old.SaveState(now, &state)
	b, _ := newSnapshotBalancer(now, 0, restartedAt, 0, 0, 0) // Only the list shows the restart of endpoint 1.
	b.RestoreState(now, &state, 0)
	if !b.isWarmingUp(now, 1) || !b.isWarmingUp(now, 2) || b.isWarmingUp(now, 3) {
		t.Errorf("endpoints 1, 2 and 3 are warming up: %t, %t, %t, want true, true, false", b.isWarmingUp(now, 1), b.isWarmingUp(now, 2), b.isWarmingUp(now, 3))
	}
	if endpoint := &b.endpoints[1]; endpoint.outlier.outcomes.successes.Value > 0 || endpoint.attempts.Value > 0 || endpoint.retries.tokens != 1 {
		t.Errorf("statistics of endpoint 1 from before its restart were restored: %+v", endpoint)
	}
	for _, record := range b.recentKeys {
		if record.key != 0 && record.endpoint == 1 {
			t.Fatalf("key %d is recorded at an endpoint whose cache is empty", record.key)
		}
	}
	if warm := b.endpoints[3].outlier.outcomes.successes.Value; warm == 0 {
		t.Error("the statistics of an endpoint that did not restart were not restored")
	}
}

// BenchmarkSaveState saves the state of 5,000 endpoints after 100,000 requests.
func BenchmarkSaveState(b *testing.B) {
	startTimes := make([]int64, 5000)
	old, executor := newSnapshotBalancer(unixStart, startTimes...)
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
