package policy

import "testing"

// goes asks for n keys, each settled at once, and gives how often each server was sent to.
func (w *watcher) goes(n int, note int) (sends map[int]int, by map[uint64]int) {
	sends, by = map[int]int{}, map[uint64]int{}
	for k := range uint64(n) {
		i := w.ask(Safe, k+1, 1500*ms)
		for t := 0; t < len(w.asked[i].attempts); t++ {
			s := w.asked[i].attempts[t].server
			sends[s]++
			by[k+1] = s
			w.asked[i].attempts[t].out, w.asked[i].live = false, false
			w.b.HandleAttemptEnded(w.now+ms, i, AttemptResult{Attempt: t, Endpoint: s, CacheResult: note, Outcome: OK, Latency: 5 * ms, IsAnswered: true})
		}
		w.now += ms
	}
	return sends, by
}

// What others' word takes in full is sent nothing, however many keys it has; who has the turn tries it, also in own doubt, and first.
func TestOthersWord(t *testing.T) {
	w := plain(t, 3, 6, nil)
	if sends, _ := w.goes(300, 1); sends[2] == 0 {
		t.Fatal("it has no keys")
	}
	w.b.UpdatePeerVerdict(2, 1)
	if sends, _ := w.goes(300, 1); sends[2] != 0 {
		t.Errorf("%d went there", sends[2])
	}
	for range 20 {
		w.b.endpoints[2].outlier.outcomes.failures.Add(w.b.clock.evidence, 1)
	}
	w.b.UpdatePeerVerdict(2, 0)
	doubted, _ := w.goes(30, 1)
	w.b.UpdatePeerVerdict(2, -1)
	if turn, _ := w.goes(30, 1); turn[2] < 10 || doubted[2] > turn[2]/2 {
		t.Errorf("in doubt %d went there, with the turn %d", doubted[2], turn[2])
	}
}

// What must not run twice is never the try.
func TestNoOneShotIsTheTry(t *testing.T) {
	w := plain(t, 9, 6, nil)
	w.goes(60, 1)
	w.b.UpdatePeerVerdict(2, -1)
	for k := range uint64(200) {
		i := w.ask(NonIdempotent, k+1, 1500*ms)
		if w.asked[i].attempts[0].server == 2 {
			t.Fatalf("one-shot %d goes there", i)
		}
		w.answer(i, 0, OK)
	}
	if sends, _ := w.goes(60, 1); sends[2] == 0 {
		t.Error("nothing tries it")
	}
}

// While reads miss for all, a key goes to the first of its ranking alone: two balancers with other chances agree on it.
func TestReadsThatMissForAllKeepOneOrder(t *testing.T) {
	var at [2]map[uint64]int
	for n, scarce := range []bool{true, false} {
		differ := 0
		for seed := range 2 {
			w := plain(t, uint64(seed+1), 9, map[string]any{"zones": 2.0, "zones.0": "a", "zones.1": "b", "zone": []string{"a", "b"}[seed]})
			w.goes(60, 2) // Many miss.
			w.b.SetWidespreadMisses(scarce)
			_, at[seed] = w.goes(200, 2)
		}
		for key, s := range at[0] {
			if at[1][key] != s {
				differ++
			}
		}
		if scarce && differ > 0 || !scarce && differ < 20 {
			t.Errorf("case %d: %d of 200 keys go to two servers", n, differ)
		}
	}
}

// A zone that is left in part: the keys that stay away are the same for all, and go nowhere near it; the others go as ever. On the way back they are free
// of where they were read last, though many reads miss.
func TestZoneLeftInPart(t *testing.T) {
	w := plain(t, 5, 8, nil)
	zone := func(by map[uint64]int, away bool) (in, all int) {
		for key, s := range by {
			if keyPosition(key) < 0.5 == away {
				if all++; s%2 == 0 {
					in++
				}
			}
		}
		return in, all
	}
	w.b.SetEvacuation(0, 0.5, second)
	_, by := w.goes(400, 2)
	if in, all := zone(by, true); in != 0 || all < 100 {
		t.Errorf("%d of %d keys that stay away go there", in, all)
	}
	if in, all := zone(by, false); in < all/4 {
		t.Errorf("%d of %d others go there", in, all)
	}
	w.b.SetEvacuation(0, 0, second)
	_, by = w.goes(400, 2)
	if in, all := zone(by, true); in < all/4 {
		t.Errorf("%d of %d keys are back", in, all)
	}
	w.b.SetEvacuation(0, 1, second)
	if sends, _ := w.goes(100, 1); sends[0]+sends[2]+sends[4]+sends[6] != 0 {
		t.Errorf("%v", sends)
	}
}

// Where nothing else is there, a left zone is still better than nothing.
func TestTheOnlyZoneServesThoughItIsLeft(t *testing.T) {
	w := plain(t, 6, 4, nil)
	w.b.SetEvacuation(0, 1, second)
	w.b.SetEvacuation(1, 1, second)
	sends, _ := w.goes(100, 1)
	if n := sends[0] + sends[1] + sends[2] + sends[3]; n != 100 {
		t.Errorf("%d of 100 were sent", n)
	}
}

// Portion goes before the number of balancers that the settings state.
func TestPortion(t *testing.T) {
	w := plain(t, 7, 4, nil)
	if w.b.SetFleetShare(0.1); w.b.fleetSize != 10 {
		t.Error(w.b.fleetSize)
	}
	if w.b.SetFleetShare(7); w.b.fleetSize != 1 {
		t.Error(w.b.fleetSize)
	}
}

// A server whose answers are fetches, as its cache is empty, is passed over as slow; after its zone was left it is not, until the time is over.
func TestACacheThatFillsIsNotPassedOver(t *testing.T) {
	shares := func(left bool) (share float64) {
		w := plain(t, 8, 6, nil)
		if w.goes(200, 1); left {
			w.b.SetEvacuation(0, 1, 0)
			w.b.SetEvacuation(0, 0, 60*second)
		}
		sent, all := 0, 0
		for k := range uint64(600) {
			i := w.ask(Safe, k+1000, 1500*ms)
			s := w.asked[i].attempts[0].server
			took := 5 * ms
			if s == 0 {
				took = 40 * ms
			}
			if all++; s == 0 {
				sent++
			}
			for end := w.now + took; w.now < end; w.now += ms { // It is in flight for so long.
			}
			w.asked[i].attempts[0].out, w.asked[i].live = false, false
			w.b.HandleAttemptEnded(w.now, i, AttemptResult{Endpoint: s, CacheResult: 1, Outcome: OK, Latency: took, IsAnswered: true})
		}
		return float64(sent) / float64(all)
	}
	if without, with := shares(false), shares(true); with < 0.12 || without > with/2 {
		t.Errorf("it has %.3f of the attempts while it fills, %.3f otherwise", with, without)
	}
}
