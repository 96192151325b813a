package policy

import (
	"math"
	"testing"
)

// Nine requests for one key arrive at once. A purely random choice would give one of its three candidates more than its
// share; each must get three.
func TestEndpointOverMeanLoadIsPassedOver(t *testing.T) {
	h := newHarness(t, 1, 12, nil)
	for range 9 {
		h.request(Safe, 5, second)
	}
	for index, n := range h.sendCounts {
		if n != 3 {
			t.Fatalf("endpoint %d received %d of 9 attempts, want 3", index, n)
		}
	}
}

// An endpoint accepts attempts and answers none, while deadlines are seconds away. Because of its attempts in flight,
// it must lose its traffic before the first attempt times out.
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
		t.Fatalf("%d of 300 attempts were sent to an endpoint that does not answer, want at most 6", toSilent)
	}
	if h.sendCounts[silent] == 0 {
		t.Fatal("no attempt was sent to the endpoint that does not answer")
	}
}

// The endpoints of one machine type are five times slower, and the balancer, one of 300, sees too few answers to judge
// a single endpoint. The latency measured for the machine type must move traffic away from its endpoints.
func TestSlowMachineTypeLosesTraffic(t *testing.T) {
	h := newHarness(t, 1, 0, map[string]any{"balancers": 300.0})
	if slow := attemptsAtSlowType(h, 90, 60*ms, 240*ms); slow > 75 {
		t.Fatalf("a machine type five times slower received %d of 300 attempts, want at most 75", slow)
	}
}

// With cache-aside, the endpoints of one machine type are twice as slow. Their keys must stay, as each key that moves
// misses at its new endpoint and costs an extra attempt and an origin fetch.
func TestCacheAsideSlowMachineTypeKeepsKeys(t *testing.T) {
	h := newHarness(t, 1, 0, map[string]any{"extra.mode": "aside", "extra.originKind": 2.0, "balancers": 300.0})
	if slow := attemptsAtSlowType(h, 91, 50*ms, 50*ms); slow < 100 {
		t.Errorf("a machine type twice as slow received %d of 300 attempts, want at least 100", slow)
	}
}

// attemptsAtSlowType sends 300 requests and returns the number of attempts at endpoints with an odd index. These are of
// one machine type and answer after latency + slower, the others after latency. With 91 endpoints, the last one has
// a machine type of its own, that of the origin.
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

// Traffic between zones is expensive, so candidates in the balancer's own zone are preferred. Then that zone is lost
// and refuses connections. Still preferring it would lose half of all requests, so the other zone must be used.
func TestLocalZoneIsPreferredUntilItFails(t *testing.T) {
	h := newHarness(t, 1, 0, map[string]any{"zones": 2.0, "zones.0": "a", "zones.1": "b", "zone": "b"})
	h.updateList(FullList, 12, func(int) (Health, int64) { return Ready, 0 })
	answeredByOtherZone := func(ownZoneOutcome Outcome) (n int) {
		for range 200 {
			h.balancer.retries.tokens = maxRetryTokens
			i := h.request(Safe, h.balancer.random.uint64(), second)
			h.advance(10 * ms)
			for attempt := 0; attempt < len(h.requests[i].attempts); attempt++ {
				if h.requests[i].attempts[attempt].endpoint%2 == 0 {
					h.endAttempt(i, attempt, OK)
					n++
				} else {
					h.endAttempt(i, attempt, ownZoneOutcome)
				}
			}
		}
		return n
	}
	if n := answeredByOtherZone(OK); n > 50 { // An eighth of the keys has all three candidates in the other zone.
		t.Fatalf("%d of 200 attempts were sent to the other zone, want at most 50", n)
	}
	if answeredByOtherZone(ConnectFailed); len(h.requests[len(h.requests)-1].attempts) == 0 {
		t.Fatal("the last request had no attempt")
	}
	h.sendCounts = map[int]int{}
	if n := answeredByOtherZone(ConnectFailed); n < 180 {
		t.Fatalf("other zone answered %d of 200 requests while the own zone was lost, want at least 180; attempts by endpoint: %v", n, h.sendCounts)
	}
}

// Caches were flushed and reads miss at all balancers. If each balancer chose a candidate at random, a key would be
// fetched once for each candidate. While misses are widespread, two balancers with different seeds and zones must
// choose the same endpoint for a key; otherwise they choose different ones for some keys.
func TestWidespreadMissesKeepOneOrder(t *testing.T) {
	var endpointByKey [2]map[uint64]int // by balancer
	for _, areWidespread := range []bool{true, false} {
		differ := 0
		for seed := range 2 {
			h := newHarness(t, uint64(seed+1), 9, map[string]any{"zones": 2.0, "zones.0": "a", "zones.1": "b", "zone": []string{"a", "b"}[seed]})
			h.sendKeys(60, 2) // Raises the miss rate.
			h.balancer.SetWidespreadMisses(areWidespread)
			_, endpointByKey[seed] = h.sendKeys(200, 2)
		}
		for key, index := range endpointByKey[0] {
			if endpointByKey[1][key] != index {
				differ++
			}
		}
		if areWidespread && differ > 0 || !areWidespread && differ < 20 {
			t.Errorf("widespread misses %t: the balancers chose different endpoints for %d of 200 keys", areWidespread, differ)
		}
	}
}

// A zone returns from an evacuation with empty caches. Its answers are slow as they need origin fetches, and caches
// that are passed over for that would never fill. So they are not passed over for a time, while a slow endpoint is
// without an evacuation.
func TestFillingCacheIsNotPassedOver(t *testing.T) {
	slowEndpointShare := func(wasEvacuated bool) float64 {
		h := newHarness(t, 8, 6, nil)
		if h.sendKeys(200, 1); wasEvacuated {
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
			for end := h.now + took; h.now < end; h.now += ms { // The attempt is in flight until then.
			}
			h.requests[i].attempts[0].inFlight, h.requests[i].isOpen = false, false
			h.balancer.HandleAttemptEnded(h.now, i, AttemptResult{Endpoint: index, CacheResult: 1, Outcome: OK, Latency: took, IsAnswered: true})
		}
		return float64(sent) / float64(all)
	}
	if without, with := slowEndpointShare(false), slowEndpointShare(true); with < 0.12 || without > with/2 {
		t.Errorf("a slow endpoint received a share of %.3f of the attempts while its cache fills, want at least 0.12; %.3f otherwise, want at most half of that", with, without)
	}
}

// The average load of an endpoint follows the number of attempts in flight with the time constant: a change counts in
// full only after it has lasted for a while.
func TestLoadMeterAveragesOverTime(t *testing.T) {
	var meter loadMeter
	meter.advanceAverage(0)
	meter.inFlight = 10
	meter.advanceAverage(timeConstant)
	meter.inFlight = 0
	want := 10 * (1 - 1/math.E)
	if got := meter.average.Update(timeConstant, 0); math.Abs(got-want) > 1e-9 {
		t.Errorf("average = %g after one time constant with 10 attempts in flight, want %g", got, want)
	}
	if got := meter.average.Update(2*timeConstant, 0); math.Abs(got-want/math.E) > 1e-9 {
		t.Errorf("average = %g after one more time constant with none in flight, want %g", got, want/math.E)
	}
}

// A machine type with few answers is assumed to be as fast as the others, until it has enough answers of its own. Each
// rejection counts as an attempt that took the time constant, as an endpoint that rejects is full.
func TestMeanLatencyLeansOnOthersWhileLittleIsKnown(t *testing.T) {
	others := float64(50 * ms)
	for _, c := range []struct {
		name              string
		answers, rejected float64
		latency, want     float64
	}{
		{"no observations", 0, 0, 0, others},
		{"as many answers as the prior", priorAttempts, 0, float64(150 * ms), float64(100 * ms)},
		{"as many rejections as the prior", 0, priorAttempts, 0, (others + float64(timeConstant)) / 2},
	} {
		record := latencyRecord{answers: sum{Value: c.answers}, time: sum{Value: c.answers * c.latency}, rejected: sum{Value: c.rejected}}
		if got := record.mean(0, others); math.Abs(got-c.want) > 1 {
			t.Errorf("%s: mean = %g ns, want %g", c.name, got, c.want)
		}
	}
}
