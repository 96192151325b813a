package policy

import (
	"math"
	"testing"
)

// If nothing answers while requests keep coming, queues fill with requests whose clients no longer wait. Most of the
// requests must be rejected on arrival instead.
func TestOverloadRejectsAtOnce(t *testing.T) {
	h := newHarness(t, 1, 8, nil)
	for range 400 {
		h.request(Safe, h.balancer.random.uint64(), 3*second)
		h.advance(ms)
	}
	if h.rejected < 300 {
		t.Fatalf("%d of 400 requests rejected while no endpoint answers, want at least 300", h.rejected)
	}
}

// Attempts that hang at dead endpoints look like overload. While load reports show idle endpoints, no request may be
// rejected for overload; while they show busy ones, requests are.
func TestNoOverloadWhileEndpointsReportIdle(t *testing.T) {
	for _, c := range []struct {
		report   float64
		rejected bool
	}{{0.2, false}, {1, true}, {math.NaN(), false}} {
		h := newHarness(t, 1, 8, map[string]any{"report.fields": 1.0, "report.fields.0": "cpu_share"})
		for n := range 400 {
			h.balancer.HandleLoadReport(n%8, []float64{0.2})
			h.balancer.HandleLoadReport(n%8, []float64{c.report})
			h.request(Safe, h.balancer.random.uint64(), 3*second)
			h.advance(ms)
		}
		if h.rejected > 300 != c.rejected {
			t.Errorf("%d of 400 requests rejected while endpoints report a strain of %g", h.rejected, c.report)
		}
	}
}

// Full endpoints reject half of their attempts. Rejections return quickly; if they were counted as answers, they would
// raise the capacity and draw in more attempts. They must lower it.
func TestRejectionsShrinkCapacity(t *testing.T) {
	h := newHarness(t, 1, 0, nil)
	answerWeightedTraffic(h)
	capacity := func() int {
		request := &requestState{isWrite: true}
		for h.balancer.load.inFlight = 0; !h.balancer.isOverloaded(h.now, request); {
			h.balancer.load.inFlight++
		}
		return h.balancer.load.inFlight
	}
	before := capacity()
	latency, activityTime := &h.balancer.fleetwide.latency, h.balancer.clock.activityTime
	latency.rejected.Add(activityTime, latency.answers.ValueAt(activityTime))
	if after := capacity(); after > before*2/3 {
		t.Errorf("capacity is %d attempts with half of them rejected, and %d with none; want at most 2/3 of that", after, before)
	}
}

// Cache-aside, incident i762552: the caches slowed down but still answered misses quickly. Misses were counted as
// answers and raised the capacity, so that more and more attempts piled up unanswered. Misses must add no capacity.
func TestCacheMissesAddNoCapacity(t *testing.T) {
	h := newHarness(t, 1, 0, map[string]any{"extra.mode": "aside", "extra.originKind": 1.0, "balancers": 20.0})
	h.updateOriginList(8)
	for n := range 1500 {
		i := h.request(Safe, uint64(n%500), 3*second)
		h.advance(2 * ms)
		for attempt := 0; attempt < len(h.requests[i].attempts); attempt++ {
			isOrigin := h.requests[i].attempts[attempt].endpoint == 8
			isHit := n < 600 && n%4 == 0 // After that, caches answer only misses.
			switch {
			case isOrigin || isHit:
				h.endAttempt(i, attempt, OK)
			case n%4 > 0:
				h.endAttempt(i, attempt, CacheMiss)
			}
		}
	}
	if h.balancer.load.inFlight > 40 {
		t.Fatalf("%d attempts in flight at caches that no longer answer, want at most 40", h.balancer.load.inFlight)
	}
}

// A balancer in a fleet of 100 receives half of all traffic, where an even share of a quota would be a hundredth. If
// load reports show that its traffic is a large part of the total, requests of tenants within their quotas are not
// rejected. If they show that it is a small part, or if there are none, the small share of each quota is enforced.
func TestLoadReportsDetermineTrafficShare(t *testing.T) {
	for _, c := range []struct {
		rate     float64 // requests per second that each of ten endpoints reports
		rejected bool
	}{{20, false}, {400, true}, {math.NaN(), true}} {
		h := newHarness(t, 1, 10, map[string]any{"tenants": 2.0, "tenants.0.quotaRps": 300.0, "tenants.1.quotaRps": 300.0,
			"balancers": 100.0, "report.fields": 1.0, "report.fields.0": "served_ps"})
		h.balancer.quotas.Restore(0, nil)
		for n := range 1500 {
			h.requests = append(h.requests, testRequest{isOpen: true, clientGoneAt: h.now + second})
			i := len(h.requests) - 1
			h.balancer.HandleRequest(h.now, i, RequestInfo{Remaining: second, Tenant: min(1, n%8), Key: h.balancer.random.uint64(), HasKey: true})
			h.advance(10 * ms)
			for attempt := range h.requests[i].attempts {
				h.balancer.HandleLoadReport(h.requests[i].attempts[attempt].endpoint, []float64{c.rate})
				h.endAttempt(i, attempt, OK)
			}
			h.balancer.quotas.Restore(0, nil) // Quotas are enforced as they are while attempts fail.
		}
		if h.rejected > 150 != c.rejected {
			t.Errorf("%d of 1500 requests rejected where each endpoint reports %g requests per second", h.rejected, c.rate)
		}
	}
}

// A lower mean latency may replace the base latency at once. A higher one may come from queueing as well as from a
// permanent change, so that the base latency rises only slowly and one slow answer hardly changes it.
func TestBaseLatencyFallsAtOnceAndRisesSlowly(t *testing.T) {
	a := admissionLimiter{baseLatency: float64(second)}
	a.recordAnswer(0, 10*ms)
	if a.baseLatency != float64(10*ms) {
		t.Errorf("base latency is %g ns after one answer of 10 ms", a.baseLatency)
	}
	a.recordAnswer(0, 90*ms)
	if want := float64(10*ms) * baseLatencyGrowth; a.baseLatency != want {
		t.Errorf("base latency is %g ns after a slow answer, want %g", a.baseLatency, want)
	}
	for range 10_000 {
		a.recordAnswer(0, 90*ms)
	}
	if a.baseLatency < float64(89*ms) || a.baseLatency > float64(90*ms) {
		t.Errorf("base latency is %g ns after 10,000 answers of 90 ms, want 89 to 90 ms", a.baseLatency)
	}
}

// Load may have caused the restarts of endpoints, so that each lowers the capacity factor. Restarts close
// together count as one, the factor never falls below its minimum, and it recovers over time.
func TestCapacityFactorFallsAndRecovers(t *testing.T) {
	a := admissionLimiter{capacityFactor: 1}
	now := second
	a.lowerCapacityFactor(now)
	a.lowerCapacityFactor(now + restartSpacing)
	if a.capacityFactor != restartCapacityFactor {
		t.Errorf("capacity factor is %g after two restarts close together, want %g", a.capacityFactor, restartCapacityFactor)
	}
	for range 20 {
		now += restartSpacing + 1
		a.lowerCapacityFactor(now)
	}
	if a.capacityFactor != minCapacityFactor {
		t.Errorf("capacity factor is %g after many restarts, want %g", a.capacityFactor, minCapacityFactor)
	}
	a.recoverCapacityFactor(capacityFactorRecovery / 2)
	if want := minCapacityFactor + 0.5; a.capacityFactor != want {
		t.Errorf("capacity factor is %g after half of the recovery time, want %g", a.capacityFactor, want)
	}
	if a.recoverCapacityFactor(capacityFactorRecovery); a.capacityFactor != 1 {
		t.Errorf("capacity factor is %g after the recovery time, want 1", a.capacityFactor)
	}
}

// Attempts that hang at a few endpoints would look like overload. They are left out of the count while most endpoints
// answer. If most endpoints hang, overload may be the cause, and all attempts are counted.
func TestUnresponsiveEndpointsAreCountedAsMinorityOnly(t *testing.T) {
	for _, c := range []struct{ hanging, attempts, endpoints int }{{0, 0, 0}, {2, 10, 2}, {3, 0, 0}, {5, 0, 0}} {
		b, _ := newSnapshotBalancer(unixStart, 0, 0, 0, 0, 0)
		for index := range b.endpoints {
			b.endpoints[index].load.inFlight = 5
			if index < c.hanging {
				b.endpoints[index].outlier.lastUnresponsiveAt = unixStart
			}
		}
		if attempts, endpoints := b.countUnresponsive(); attempts != c.attempts || endpoints != c.endpoints {
			t.Errorf("%d of 5 endpoints hang: %d attempts at %d endpoints are unresponsive, want %d at %d", c.hanging, attempts, endpoints, c.attempts, c.endpoints)
		}
	}
}
