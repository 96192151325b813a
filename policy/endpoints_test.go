package policy

import "testing"

// An endpoint drains, and is then listed with a machine type that no ready endpoint has, or with none. An attempt that ends there must find a place for what it tells:
// it once ran past the end of a slice.
func TestAttemptMayEndAtUnknownMachineType(t *testing.T) {
	w := newHarness(t, 1, 3, nil)
	i := w.request(Safe, 77, second)
	for _, kind := range []int{7, -1} {
		w.balancer.BeginEndpointUpdate(FullList)
		for s := range 3 {
			w.balancer.UpdateEndpoint(w.now, s, EndpointInfo{Health: Draining, MachineType: kind})
		}
		w.balancer.CommitEndpointUpdate(w.now)
		w.balancer.HandleAttemptEnded(w.now, i, AttemptResult{Endpoint: w.requests[i].attempts[0].endpoint, CacheResult: 1, Outcome: Errored, Latency: ms, IsAnswered: true})
	}
}

// An endpoint that failed is removed, and a new one gets its index. Nothing that was observed of the old one counts for the new one.
func TestReusedIndexStartsClean(t *testing.T) {
	w := newHarness(t, 1, 2, nil)
	for range 50 {
		w.advance(20 * ms)
		w.endAttempt(w.request(Safe, w.balancer.random.uint64(), second), 0, Errored)
	}
	hash := w.balancer.endpoints[1].hash
	w.updateList(FullList, 2, func(s int) (Health, int64) { return []Health{Ready, Removed}[s], 0 })
	w.balancer.RemoveEndpoint(1)
	w.balancer.BeginEndpointUpdate(IncrementalList)
	w.balancer.UpdateEndpoint(w.now, 1, EndpointInfo{Address: "10.0.9.9:80", Health: Ready, StartedAt: w.now})
	w.balancer.CommitEndpointUpdate(w.now)
	if h := w.balancer.endpoints[1]; h.hash == hash || h.outlier.outcomes.failures.Value != 0 || h.attempts.Value != 0 || h.retries.tokens != 1 || len(w.balancer.ready) != 2 {
		t.Fatalf("%+v", h)
	}
}

// Calls for the list fail in a row. Each is followed by a further one within 8 s, and by one only: discovery is not flooded.
func TestListCallsBackOff(t *testing.T) {
	w := newHarness(t, 1, 3, nil)
	for n := range 4 {
		w.balancer.BeginEndpointUpdate(UpdateFailed)
		w.balancer.CommitEndpointUpdate(w.now)
		w.advance(8 * second)
		if w.watchCalls != n+2 {
			t.Fatalf("asked %d times after %d failures", w.watchCalls, n+1)
		}
	}
}

// Discovery has been away for long. However often calls have failed, the next one comes within 3 s of the last: a change counts as told 6 s after discovery could be
// reached, and one more call may fail.
func TestListBackoffIsBounded(t *testing.T) {
	for seed := range uint64(20) {
		w := newHarness(t, seed, 3, map[string]any{"invariants.askEvery": 10000.0})
		for n := range 12 {
			w.balancer.BeginEndpointUpdate(UpdateFailed)
			w.balancer.CommitEndpointUpdate(w.now)
			w.advance(3 * second)
			if w.watchCalls != n+2 {
				t.Fatalf("seed %d: asked %d times after %d failures", seed, w.watchCalls, n+1)
			}
		}
	}
}

// The list is pushed, and its watch breaks again and again. What the agent has counts as told whether it is heard or not, so however often a watch has failed, the next
// one begins well within the grace of a drain.
func TestPushedListBackoffStaysWithinDrainGrace(t *testing.T) {
	const grace = 2500
	w := newHarness(t, 1, 3, map[string]any{"registryMode": "automatic", "invariants.askEvery": 10000.0, "invariants.drainGrace": float64(grace)})
	for n := range 12 {
		w.balancer.BeginEndpointUpdate(UpdateFailed)
		w.balancer.CommitEndpointUpdate(w.now)
		w.advance(grace / 5 * ms)
		if w.watchCalls != n+1 {
			t.Fatalf("asked %d times after %d failures", w.watchCalls, n+1)
		}
	}
}

// The list does not prove what is up, and drops an endpoint that still answers. Where only draining binds, one that is gone from the list may be sent to. One that
// drained may not, until it is listed as ready again.
func TestRemovedEndpointServesWhereOnlyDrainingBinds(t *testing.T) {
	for _, binds := range []bool{true, false} {
		w := newHarness(t, 1, 2, map[string]any{"invariants.onlyDrainingBinds": binds})
		show := func(zero Health) { w.updateList(FullList, 1, func(int) (Health, int64) { return zero, 0 }) }
		uses := func() bool { // Server 1 is left out of the list, and does not answer.
			for range 300 {
				i := w.request(Safe, w.balancer.random.uint64(), second)
				for t := range w.requests[i].attempts {
					w.endAttempt(i, t, []Outcome{OK, ConnectFailed}[w.requests[i].attempts[t].endpoint])
				}
				w.advance(10 * ms)
			}
			used := w.sendCounts[0] > 0
			clear(w.sendCounts)
			return used
		}
		w.health[1] = Removed
		if show(Removed); uses() != binds {
			t.Errorf("only draining binds %v: a server listed as gone", binds)
		}
		show(Draining)
		if show(Removed); uses() { // The watcher would say so, too.
			t.Errorf("only draining binds %v: a server that drained and is gone is used", binds)
		}
		if show(Ready); !uses() {
			t.Errorf("only draining binds %v: a server that is ready again is not used", binds)
		}
	}
}
