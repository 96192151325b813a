package policy

import "testing"

// One key is hot. Its requests go to three endpoints, no more, as each holds a copy, and to each of the three, as one
// alone could not bear it.
func TestKeySpreadsOverItsCandidates(t *testing.T) {
	h := newHarness(t, 1, 12, nil)
	for range 90 {
		h.endAttempt(h.request(Safe, 77, second), 0, OK)
		h.advance(20 * ms)
	}
	if len(h.sendCounts) != 3 {
		t.Fatalf("one key went to %d endpoints, not three", len(h.sendCounts))
	}
	for index, n := range h.sendCounts {
		if n < 10 {
			t.Fatalf("endpoint %d got %d of 90", index, n)
		}
	}
}

// The list states weights that move with load, and each list once sent keys to other endpoints, whose caches lacked
// them. A key stays with its three candidates while loads change.
func TestKeysStayWhileWeightsFollowLoad(t *testing.T) {
	h := newHarness(t, 1, 0, map[string]any{"weights": "live"})
	updateWeightedList(h, 20, 0, func(int) float64 { return 0 })
	for range 90 {
		updateWeightedList(h, 20, 0, func(int) float64 { return 5 * h.balancer.random.float64() })
		h.endAttempt(h.request(Safe, 77, second), 0, OK)
		h.advance(20 * ms)
	}
	if len(h.sendCounts) != 3 {
		t.Fatalf("one key went to %d endpoints, not three", len(h.sendCounts))
	}
}

// A zone is evacuated in part. The keys that leave it are the same for all balancers, and none of them is sent there;
// the others go there as ever. On the way back the keys return, though many reads miss and keys are then kept where
// they were read last.
func TestPartialEvacuationMovesTheSameKeys(t *testing.T) {
	h := newHarness(t, 5, 8, nil)
	zone := func(by map[uint64]int, away bool) (in, all int) {
		for key, index := range by {
			if keyPosition(key) < 0.5 == away {
				if all++; index%2 == 0 {
					in++
				}
			}
		}
		return in, all
	}
	h.balancer.SetEvacuation(0, 0.5, second)
	_, by := h.sendKeys(400, 2)
	if in, all := zone(by, true); in != 0 || all < 100 {
		t.Errorf("%d of %d keys that stay away go there", in, all)
	}
	if in, all := zone(by, false); in < all/4 {
		t.Errorf("%d of %d others go there", in, all)
	}
	h.balancer.SetEvacuation(0, 0, second)
	_, by = h.sendKeys(400, 2)
	if in, all := zone(by, true); in < all/4 {
		t.Errorf("%d of %d keys are back", in, all)
	}
	h.balancer.SetEvacuation(0, 1, second)
	if sends, _ := h.sendKeys(100, 1); sends[0]+sends[2]+sends[4]+sends[6] != 0 {
		t.Errorf("an evacuated zone is sent to: %v", sends)
	}
}

// All zones are evacuated at once, as two operators each leave one. An evacuated zone is still better than no endpoint
// at all.
func TestEvacuatedZonesServeWhenNothingElseIs(t *testing.T) {
	h := newHarness(t, 6, 4, nil)
	h.balancer.SetEvacuation(0, 1, second)
	h.balancer.SetEvacuation(1, 1, second)
	sends, _ := h.sendKeys(100, 1)
	if n := sends[0] + sends[1] + sends[2] + sends[3]; n != 100 {
		t.Errorf("%d of 100 were sent", n)
	}
}
