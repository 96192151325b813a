package policy

import "testing"

// All requests are for one hot key. They must be spread over all three of its candidates, as one endpoint could not
// serve them, and reach no other endpoint, as each one that is used stores a copy.
func TestKeySpreadsOverItsCandidates(t *testing.T) {
	h := newHarness(t, 1, 12, nil)
	for range 90 {
		h.endAttempt(h.request(Safe, 77, second), 0, OK)
		h.advance(20 * ms)
	}
	if len(h.sendCounts) != 3 {
		t.Fatalf("one key was sent to %d endpoints, want 3", len(h.sendCounts))
	}
	for index, n := range h.sendCounts {
		if n < 10 {
			t.Fatalf("endpoint %d received %d of 90 attempts, want at least 10", index, n)
		}
	}
}

// The endpoint list states weights that change with load. Ranking by the weights as stated would move keys to other
// endpoints with each list, and the reads would miss there. A key must keep its three candidates while loads change.
func TestKeysStayWhileWeightsFollowLoad(t *testing.T) {
	h := newHarness(t, 1, 0, map[string]any{"weights": "live"})
	updateWeightedList(h, 20, 0, func(int) float64 { return 0 })
	for range 90 {
		updateWeightedList(h, 20, 0, func(int) float64 { return 5 * h.balancer.random.float64() })
		h.endAttempt(h.request(Safe, 77, second), 0, OK)
		h.advance(20 * ms)
	}
	if len(h.sendCounts) != 3 {
		t.Fatalf("one key was sent to %d endpoints, want 3", len(h.sendCounts))
	}
}

// A zone is evacuated in part. The excluded keys, which are the same at all balancers, must not be sent to the zone;
// the others must. When the evacuation ends, the keys must return, although the miss rate is high and a key then
// normally stays at the endpoint that answered it last.
func TestPartialEvacuationMovesTheSameKeys(t *testing.T) {
	h := newHarness(t, 5, 8, nil)
	countInZone := func(endpointByKey map[uint64]int, isExcluded bool) (in, all int) {
		for key, index := range endpointByKey {
			if keyPosition(key) < 0.5 == isExcluded {
				if all++; index%2 == 0 {
					in++
				}
			}
		}
		return in, all
	}
	h.balancer.SetEvacuation(0, 0.5, second)
	_, endpointByKey := h.sendKeys(400, 2)
	if in, all := countInZone(endpointByKey, true); in != 0 || all < 100 {
		t.Errorf("%d of %d excluded keys were sent to the zone, want 0 of at least 100", in, all)
	}
	if in, all := countInZone(endpointByKey, false); in < all/4 {
		t.Errorf("%d of %d other keys were sent to the zone, want at least a quarter", in, all)
	}
	h.balancer.SetEvacuation(0, 0, second)
	_, endpointByKey = h.sendKeys(400, 2)
	if in, all := countInZone(endpointByKey, true); in < all/4 {
		t.Errorf("%d of %d keys returned to the zone after its evacuation, want at least a quarter", in, all)
	}
	h.balancer.SetEvacuation(0, 1, second)
	if sends, _ := h.sendKeys(100, 1); sends[0]+sends[2]+sends[4]+sends[6] != 0 {
		t.Errorf("attempts were sent to a fully evacuated zone, by endpoint: %v", sends)
	}
}

// All zones are evacuated at once, as when two operators evacuate one zone each. Requests must still be sent: an
// evacuated zone is better than no endpoint at all.
func TestEvacuatedZonesServeWhenAllAreEvacuated(t *testing.T) {
	h := newHarness(t, 6, 4, nil)
	h.balancer.SetEvacuation(0, 1, second)
	h.balancer.SetEvacuation(1, 1, second)
	sends, _ := h.sendKeys(100, 1)
	if n := sends[0] + sends[1] + sends[2] + sends[3]; n != 100 {
		t.Errorf("%d of 100 attempts were sent, want all", n)
	}
}
