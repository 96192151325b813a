package policy

import "testing"

// An endpoint drains, and is then listed with a machine type that no ready endpoint has, or with none. An attempt that
// ends there must find a place for what it tells: it once ran past the end of a slice.
func TestAttemptMayEndAtUnknownMachineType(t *testing.T) {
	h := newHarness(t, 1, 3, nil)
	i := h.request(Safe, 77, second)
	for _, machineType := range []int{7, -1} {
		h.balancer.BeginEndpointUpdate(FullList)
		for index := range 3 {
			h.balancer.UpdateEndpoint(h.now, index, EndpointInfo{Health: Draining, MachineType: machineType})
		}
		h.balancer.CommitEndpointUpdate(h.now)
		h.balancer.HandleAttemptEnded(h.now, i, AttemptResult{Endpoint: h.requests[i].attempts[0].endpoint, CacheResult: 1, Outcome: Errored, Latency: ms, IsAnswered: true})
	}
}

// An endpoint that failed is removed, and a new one gets its index. Nothing that was observed of the old one counts for
// the new one.
func TestReusedIndexStartsClean(t *testing.T) {
	h := newHarness(t, 1, 2, nil)
	for range 50 {
		h.advance(20 * ms)
		h.endAttempt(h.request(Safe, h.balancer.random.uint64(), second), 0, Errored)
	}
	hash := h.balancer.endpoints[1].hash
	h.updateList(FullList, 2, func(index int) (Health, int64) { return []Health{Ready, Removed}[index], 0 })
	h.balancer.RemoveEndpoint(1)
	h.balancer.BeginEndpointUpdate(IncrementalList)
	h.balancer.UpdateEndpoint(h.now, 1, EndpointInfo{Address: "10.0.9.9:80", Health: Ready, StartedAt: h.now})
	h.balancer.CommitEndpointUpdate(h.now)
	endpoint := h.balancer.endpoints[1]
	if endpoint.hash == hash || len(h.balancer.ready) != 2 {
		t.Fatalf("the new endpoint is not in the list: %+v", endpoint)
	}
	if endpoint.outlier.outcomes.failures.Value != 0 || endpoint.attempts.Value != 0 || endpoint.retries.tokens != 1 {
		t.Fatalf("observations of the old endpoint count: %+v", endpoint)
	}
}

// Calls for the list fail in a row. Each is followed by a further one within 8 s, and by one only: discovery is not
// flooded.
func TestFailedListCallIsRepeatedOnce(t *testing.T) {
	h := newHarness(t, 1, 3, nil)
	for n := range 4 {
		h.balancer.BeginEndpointUpdate(UpdateFailed)
		h.balancer.CommitEndpointUpdate(h.now)
		h.advance(8 * second)
		if h.watchCalls != n+2 {
			t.Fatalf("%d calls after %d failures", h.watchCalls, n+1)
		}
	}
}

// Discovery has been away for long. However often calls have failed, the next one comes within 3 s of the last: a
// change counts as told 6 s after discovery could be reached, and one more call may fail.
func TestListBackoffIsBounded(t *testing.T) {
	for seed := range uint64(20) {
		h := newHarness(t, seed, 3, map[string]any{"invariants.askEvery": 10000.0})
		for n := range 12 {
			h.balancer.BeginEndpointUpdate(UpdateFailed)
			h.balancer.CommitEndpointUpdate(h.now)
			h.advance(3 * second)
			if h.watchCalls != n+2 {
				t.Fatalf("seed %d: %d calls after %d failures", seed, h.watchCalls, n+1)
			}
		}
	}
}

// The list is pushed, and its watch breaks again and again. What the agent has counts as told whether it is heard or
// not, so however often a watch has failed, the next one begins well within the grace of a drain.
func TestPushedListBackoffStaysWithinDrainGrace(t *testing.T) {
	const grace = 2500
	h := newHarness(t, 1, 3, map[string]any{"registryMode": "automatic", "invariants.askEvery": 10000.0, "invariants.drainGrace": float64(grace)})
	for n := range 12 {
		h.balancer.BeginEndpointUpdate(UpdateFailed)
		h.balancer.CommitEndpointUpdate(h.now)
		h.advance(grace / 5 * ms)
		if h.watchCalls != n+1 {
			t.Fatalf("%d calls after %d failures", h.watchCalls, n+1)
		}
	}
}

// The list does not prove what is up, and drops an endpoint that still answers. Where only draining binds, one that is
// gone from the list may be sent to. One that drained may not, until it is listed as ready again.
func TestRemovedEndpointServesWhereOnlyDrainingBinds(t *testing.T) {
	for _, binds := range []bool{true, false} {
		h := newHarness(t, 1, 2, map[string]any{"invariants.onlyDrainingBinds": binds})
		show := func(health Health) { h.updateList(FullList, 1, func(int) (Health, int64) { return health, 0 }) }
		uses := func() bool { // Endpoint 1 is left out of the list, and does not answer.
			for range 300 {
				i := h.request(Safe, h.balancer.random.uint64(), second)
				for number := range h.requests[i].attempts {
					h.endAttempt(i, number, []Outcome{OK, ConnectFailed}[h.requests[i].attempts[number].endpoint])
				}
				h.advance(10 * ms)
			}
			used := h.sendCounts[0] > 0
			clear(h.sendCounts)
			return used
		}
		h.health[1] = Removed
		if show(Removed); uses() != binds {
			t.Errorf("only draining binds %v: an endpoint listed as removed", binds)
		}
		show(Draining)
		if show(Removed); uses() { // The harness would say so, too.
			t.Errorf("only draining binds %v: an endpoint that drained and is removed is used", binds)
		}
		if show(Ready); !uses() {
			t.Errorf("only draining binds %v: an endpoint that is ready again is not used", binds)
		}
	}
}
