package policy

import "testing"

// Nine requests of one key come at once, and chance alone would give one of its three endpoints more than its share. Each gets three.
func TestEndpointOverMeanLoadIsPassedOver(t *testing.T) {
	w := newHarness(t, 1, 12, nil)
	for range 9 {
		w.request(Safe, 5, second)
	}
	for s, n := range w.sendCounts {
		if n != 3 {
			t.Fatalf("server %d holds %d of nine, not three", s, n)
		}
	}
}

// An endpoint accepts attempts and answers none. Deadlines are seconds away: it loses its traffic before the first attempt times out, by what is in flight there.
func TestSilentEndpointLosesTraffic(t *testing.T) {
	w := newHarness(t, 1, 8, nil)
	hung, late := 3, 0
	for n := range 600 {
		i := w.request([]Effect{Safe, NonIdempotent}[n%2], w.balancer.random.uint64(), 3*second)
		w.advance(10 * ms)
		for attempt := range w.requests[i].attempts {
			if w.requests[i].attempts[attempt].endpoint != hung {
				w.endAttempt(i, attempt, OK)
			} else if n > 300 {
				late++
			}
		}
	}
	if late > 6 {
		t.Fatalf("%d of 300 attempts went to a silent server", late)
	}
	if w.sendCounts[hung] == 0 {
		t.Fatal("the silent server was never tried")
	}
}

// A machine type is five times slower, and the balancer is one of 300: it sees so few answers that it knows no endpoint by itself. What it knows of the type takes
// traffic from its endpoints.
func TestSlowMachineTypeLosesTraffic(t *testing.T) {
	w := newHarness(t, 1, 0, map[string]any{"balancers": 300.0})
	if slow := attemptsAtSlowType(w, 90, 60*ms, 240*ms); slow > 75 {
		t.Fatalf("a kind five times slower got %d of 300 attempts", slow)
	}
}

// Cache-aside: a machine type is twice as slow. Its keys stay: elsewhere they would miss, and each would cost an attempt and a fetch of the origin.
func TestCacheAsideSlowMachineTypeKeepsKeys(t *testing.T) {
	w := newHarness(t, 1, 0, map[string]any{"extra.mode": "aside", "extra.originKind": 2.0, "balancers": 300.0})
	if slow := attemptsAtSlowType(w, 91, 50*ms, 50*ms); slow < 100 {
		t.Errorf("a kind that takes twice as long got %d of 300 attempts", slow)
	}
}

// attemptsAtSlowType sends 300 requests and returns how many attempts go to the caches of odd index. These are of one machine type and take latency + slower, the others
// latency. Of 91 endpoints the last is the origin.
func attemptsAtSlowType(w *harness, servers int, each, longer int64) (slow int) {
	w.balancer.BeginEndpointUpdate(FullList)
	for s := range servers {
		w.health[s] = Ready
		w.balancer.UpdateEndpoint(w.now, s, EndpointInfo{Address: string(rune('a' + s)), Health: Ready, MachineType: s%2 + s/90*2})
	}
	w.balancer.CommitEndpointUpdate(w.now)
	for range 300 {
		i := w.request(Safe, w.balancer.random.uint64(), second)
		if s := w.requests[i].attempts[0].endpoint; s%2 == 1 {
			slow++
			w.advance(longer)
		}
		w.advance(each)
		w.endAttempt(i, 0, OK)
		w.advance(150 * ms)
	}
	return slow
}

// Crossing zones costs, so the candidates of the balancer's own zone go first. Then that zone is lost and refuses connections: keeping to it would lose half of all
// requests, so the others are used.
func TestLocalZoneIsPreferredUntilItFails(t *testing.T) {
	w := newHarness(t, 1, 0, map[string]any{"zones": 2.0, "zones.0": "a", "zones.1": "b", "zone": "b"})
	w.updateList(FullList, 12, func(int) (Health, int64) { return Ready, 0 })
	cross := func(how Outcome) (n int) {
		for range 200 {
			w.balancer.retries.tokens = maxRetryTokens
			i := w.request(Safe, w.balancer.random.uint64(), second)
			w.advance(10 * ms)
			for attempt := 0; attempt < len(w.requests[i].attempts); attempt++ {
				if w.requests[i].attempts[attempt].endpoint%2 == 0 {
					w.endAttempt(i, attempt, OK)
					n++
				} else {
					w.endAttempt(i, attempt, how)
				}
			}
		}
		return n
	}
	if n := cross(OK); n > 50 { // An eighth of the keys has all three elsewhere.
		t.Fatalf("%d of 200 attempts crossed", n)
	}
	if cross(ConnectFailed); len(w.requests[len(w.requests)-1].attempts) == 0 {
		t.Fatal("nothing is sent")
	}
	w.sendCounts = map[int]int{}
	if n := cross(ConnectFailed); n < 180 {
		t.Fatalf("%d of 200 were settled elsewhere while the own zone is lost: %v", n, w.sendCounts)
	}
}

// Caches were flushed and reads miss at all balancers. Were each to choose among a key's candidates at random, the key would be fetched for each of them: two balancers
// with other seeds and in other zones agree on one endpoint for a key, and without the agreement they do not.
func TestWidespreadMissesKeepOneOrder(t *testing.T) {
	var at [2]map[uint64]int
	for n, scarce := range []bool{true, false} {
		differ := 0
		for seed := range 2 {
			w := newHarness(t, uint64(seed+1), 9, map[string]any{"zones": 2.0, "zones.0": "a", "zones.1": "b", "zone": []string{"a", "b"}[seed]})
			w.sendKeys(60, 2) // Many miss.
			w.balancer.SetWidespreadMisses(scarce)
			_, at[seed] = w.sendKeys(200, 2)
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

// A zone comes back from an evacuation with empty caches. Its answers are fetches and slow, and passed over for that its caches would never fill: for a time they are
// not passed over. Without an evacuation a slow endpoint is.
func TestFillingCacheIsNotPassedOver(t *testing.T) {
	shares := func(left bool) (share float64) {
		w := newHarness(t, 8, 6, nil)
		if w.sendKeys(200, 1); left {
			w.balancer.SetEvacuation(0, 1, 0)
			w.balancer.SetEvacuation(0, 0, 60*second)
		}
		sent, all := 0, 0
		for k := range uint64(600) {
			i := w.request(Safe, k+1000, 1500*ms)
			s := w.requests[i].attempts[0].endpoint
			took := 5 * ms
			if s == 0 {
				took = 40 * ms
			}
			if all++; s == 0 {
				sent++
			}
			for end := w.now + took; w.now < end; w.now += ms { // It is in flight for so long.
			}
			w.requests[i].attempts[0].inFlight, w.requests[i].isOpen = false, false
			w.balancer.HandleAttemptEnded(w.now, i, AttemptResult{Endpoint: s, CacheResult: 1, Outcome: OK, Latency: took, IsAnswered: true})
		}
		return float64(sent) / float64(all)
	}
	if without, with := shares(false), shares(true); with < 0.12 || without > with/2 {
		t.Errorf("it has %.3f of the attempts while it fills, %.3f otherwise", with, without)
	}
}
