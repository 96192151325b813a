package policy

import "testing"

// An attempt may end at a draining endpoint whose machine type no ready endpoint has, or that has none. Recording its
// outcome once indexed past the end of the slice of machine types.
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

// A failing endpoint is removed, and a new endpoint gets its index. The statistics of the old endpoint must not count
// for the new one.
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
		t.Fatalf("the new endpoint is not listed: %+v", endpoint)
	}
	if endpoint.outlier.outcomes.failures.Value != 0 || endpoint.attempts.Value != 0 || endpoint.retries.tokens != 1 {
		t.Fatalf("the new endpoint has statistics of the old one: %+v", endpoint)
	}
}

// Each of several consecutive failed calls for the list is retried exactly once within 8 s, so that discovery is not
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

// After a long outage of discovery, the list is still called for within 3 s of the last failed call. A change counts as
// known 6 s after discovery is reachable again, and one more call may fail until then.
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

// The watch of a pushed list breaks repeatedly. A pushed change counts as known whether the balancer received it or
// not, so the next watch must start well within the grace period of a drain, regardless of how many have failed.
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

// Discovery may drop an endpoint that still answers. With mayUseRemoved, an endpoint that is missing from the list
// may be sent to, unless it drained before; then it may not until it is listed as ready again.
func TestRemovedEndpointServesWhereItMayBeUsed(t *testing.T) {
	for _, mayUseRemoved := range []bool{true, false} {
		h := newHarness(t, 1, 2, map[string]any{"invariants.onlyDrainingBinds": mayUseRemoved})
		listAs := func(health Health) { h.updateList(FullList, 1, func(int) (Health, int64) { return health, 0 }) }
		isUsed := func() bool { // Endpoint 1 is not listed, and no connection to it succeeds.
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
		if listAs(Removed); isUsed() != mayUseRemoved {
			t.Errorf("mayUseRemoved %v: an endpoint listed as removed is used: %v", mayUseRemoved, !mayUseRemoved)
		}
		listAs(Draining)
		if listAs(Removed); isUsed() { // The harness checks this, too.
			t.Errorf("mayUseRemoved %v: an endpoint that drained and was removed is used", mayUseRemoved)
		}
		if listAs(Ready); !isUsed() {
			t.Errorf("mayUseRemoved %v: an endpoint that is ready again is not used", mayUseRemoved)
		}
	}
}
