package policy

import (
	"math"
	"testing"
)

// Nine requests of one key come at once, and chance alone would give one of its three endpoints more than its share.
// Each gets three.
func TestEndpointOverMeanLoadIsPassedOver(t *testing.T) {
	h := newHarness(t, 1, 12, nil)
	for range 9 {
		h.request(Safe, 5, second)
	}
	for index, n := range h.sendCounts {
		if n != 3 {
			t.Fatalf("endpoint %d has %d of nine, not three", index, n)
		}
	}
}

// An endpoint accepts attempts and answers none. Deadlines are seconds away: it loses its traffic before the first
// attempt times out, by what is in flight there.
func TestSilentEndpointLosesTraffic(t *testing.T) {
	h := newHarness(t, 1, 8, nil)
	silent, toSilent := 3, 0
	for n := range 600 {
		i := h.request([]Effect{Safe, NonIdempotent}[n%2], h.balancer.random.uint64(), 3*second)
		h.advance(10 * ms)
		for attempt := range h.requests[i].attempts {
			if h.requests[i].attempts[attempt].endpoint != silent {
				h.endAttempt(i, attempt, OK)
			} else if n > 300 {
				toSilent++
			}
		}
	}
	if toSilent > 6 {
		t.Fatalf("%d of 300 attempts went to a silent endpoint", toSilent)
	}
	if h.sendCounts[silent] == 0 {
		t.Fatal("the silent endpoint was never tried")
	}
}

// A machine type is five times slower, and the balancer is one of 300: it sees so few answers that it knows no endpoint
// by itself. What it knows of the type takes traffic from its endpoints.
func TestSlowMachineTypeLosesTraffic(t *testing.T) {
	h := newHarness(t, 1, 0, map[string]any{"balancers": 300.0})
	if slow := attemptsAtSlowType(h, 90, 60*ms, 240*ms); slow > 75 {
		t.Fatalf("a machine type five times slower got %d of 300 attempts", slow)
	}
}

// Cache-aside: a machine type is twice as slow. Its keys stay: elsewhere they would miss, and each would cost an
// attempt and a fetch of the origin.
func TestCacheAsideSlowMachineTypeKeepsKeys(t *testing.T) {
	h := newHarness(t, 1, 0, map[string]any{"extra.mode": "aside", "extra.originKind": 2.0, "balancers": 300.0})
	if slow := attemptsAtSlowType(h, 91, 50*ms, 50*ms); slow < 100 {
		t.Errorf("a machine type that takes twice as long got %d of 300 attempts", slow)
	}
}

// attemptsAtSlowType sends 300 requests and returns how many attempts go to the caches of odd index. These are of one
// machine type and take latency + slower, the others latency. Of 91 endpoints the last is the origin.
func attemptsAtSlowType(h *harness, endpoints int, latency, slower int64) (slow int) {
	h.balancer.BeginEndpointUpdate(FullList)
	for index := range endpoints {
		h.health[index] = Ready
		h.balancer.UpdateEndpoint(h.now, index, EndpointInfo{Address: testAddress(index), Health: Ready, MachineType: index%2 + index/90*2})
	}
	h.balancer.CommitEndpointUpdate(h.now)
	for range 300 {
		i := h.request(Safe, h.balancer.random.uint64(), second)
		if index := h.requests[i].attempts[0].endpoint; index%2 == 1 {
			slow++
			h.advance(slower)
		}
		h.advance(latency)
		h.endAttempt(i, 0, OK)
		h.advance(150 * ms)
	}
	return slow
}

// Crossing zones costs, so the candidates of the balancer's own zone go first. Then that zone is lost and refuses
// connections: keeping to it would lose half of all requests, so the others are used.
func TestLocalZoneIsPreferredUntilItFails(t *testing.T) {
	h := newHarness(t, 1, 0, map[string]any{"zones": 2.0, "zones.0": "a", "zones.1": "b", "zone": "b"})
	h.updateList(FullList, 12, func(int) (Health, int64) { return Ready, 0 })
	cross := func(outcome Outcome) (n int) {
		for range 200 {
			h.balancer.retries.tokens = maxRetryTokens
			i := h.request(Safe, h.balancer.random.uint64(), second)
			h.advance(10 * ms)
			for attempt := 0; attempt < len(h.requests[i].attempts); attempt++ {
				if h.requests[i].attempts[attempt].endpoint%2 == 0 {
					h.endAttempt(i, attempt, OK)
					n++
				} else {
					h.endAttempt(i, attempt, outcome)
				}
			}
		}
		return n
	}
	if n := cross(OK); n > 50 { // An eighth of the keys has all three elsewhere.
		t.Fatalf("%d of 200 attempts crossed zones", n)
	}
	if cross(ConnectFailed); len(h.requests[len(h.requests)-1].attempts) == 0 {
		t.Fatal("nothing is sent")
	}
	h.sendCounts = map[int]int{}
	if n := cross(ConnectFailed); n < 180 {
		t.Fatalf("%d of 200 were answered elsewhere while the own zone is lost: %v", n, h.sendCounts)
	}
}

// Caches were flushed and reads miss at all balancers. Were each to choose among a key's candidates at random, the key
// would be fetched for each of them: two balancers with other seeds and in other zones agree on one endpoint for a key,
// and without the agreement they do not.
func TestWidespreadMissesKeepOneOrder(t *testing.T) {
	var at [2]map[uint64]int
	for n, scarce := range []bool{true, false} {
		differ := 0
		for seed := range 2 {
			h := newHarness(t, uint64(seed+1), 9, map[string]any{"zones": 2.0, "zones.0": "a", "zones.1": "b", "zone": []string{"a", "b"}[seed]})
			h.sendKeys(60, 2) // Many miss.
			h.balancer.SetWidespreadMisses(scarce)
			_, at[seed] = h.sendKeys(200, 2)
		}
		for key, index := range at[0] {
			if at[1][key] != index {
				differ++
			}
		}
		if scarce && differ > 0 || !scarce && differ < 20 {
			t.Errorf("case %d: %d of 200 keys go to two endpoints", n, differ)
		}
	}
}

// A zone comes back from an evacuation with empty caches. Its answers are fetches and slow, and passed over for that
// its caches would never fill: for a time they are not passed over. Without an evacuation a slow endpoint is.
func TestFillingCacheIsNotPassedOver(t *testing.T) {
	shares := func(left bool) (share float64) {
		h := newHarness(t, 8, 6, nil)
		if h.sendKeys(200, 1); left {
			h.balancer.SetEvacuation(0, 1, 0)
			h.balancer.SetEvacuation(0, 0, 60*second)
		}
		sent, all := 0, 0
		for k := range uint64(600) {
			i := h.request(Safe, k+1000, 1500*ms)
			index := h.requests[i].attempts[0].endpoint
			took := 5 * ms
			if index == 0 {
				took = 40 * ms
			}
			if all++; index == 0 {
				sent++
			}
			for end := h.now + took; h.now < end; h.now += ms { // It is in flight for so long.
			}
			h.requests[i].attempts[0].inFlight, h.requests[i].isOpen = false, false
			h.balancer.HandleAttemptEnded(h.now, i, AttemptResult{Endpoint: index, CacheResult: 1, Outcome: OK, Latency: took, IsAnswered: true})
		}
		return float64(sent) / float64(all)
	}
	if without, with := shares(false), shares(true); with < 0.12 || without > with/2 {
		t.Errorf("it has %.3f of the attempts while it fills, %.3f otherwise", with, without)
	}
}

// The load of an endpoint is an average over time: what was in flight for long counts, what came a moment ago hardly
// does.
func TestLoadMeterAveragesOverTime(t *testing.T) {
	var meter loadMeter
	meter.settle(0)
	meter.inFlight = 10
	meter.settle(timeConstant)
	meter.inFlight = 0
	want := 10 * (1 - 1/math.E)
	if got := meter.average.Update(timeConstant, 0); math.Abs(got-want) > 1e-9 {
		t.Errorf("an average of %g after one time constant at 10, not %g", got, want)
	}
	if got := meter.average.Update(2*timeConstant, 0); math.Abs(got-want/math.E) > 1e-9 {
		t.Errorf("an average of %g after one more at 0, not %g", got, want/math.E)
	}
}

// A machine type has answered little. It is taken for one like all others until its own answers tell, and each
// rejection counts as taking long, as one that rejects is full.
func TestMeanLatencyLeansOnOthersWhileLittleIsKnown(t *testing.T) {
	others := float64(50 * ms)
	for _, c := range []struct {
		name              string
		answers, rejected float64
		latency, want     float64
	}{
		{"nothing known", 0, 0, 0, others},
		{"as many answers as the prior", priorAttempts, 0, float64(150 * ms), float64(100 * ms)},
		{"as many rejections as the prior", 0, priorAttempts, 0, (others + float64(timeConstant)) / 2},
	} {
		record := latencyRecord{answers: sum{Value: c.answers}, time: sum{Value: c.answers * c.latency}, rejected: sum{Value: c.rejected}}
		if got := record.mean(0, others); math.Abs(got-c.want) > 1 {
			t.Errorf("%s: a mean of %g ns, not %g", c.name, got, c.want)
		}
	}
}
