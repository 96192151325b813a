package policy

import (
	"math"
	"testing"
)

// Nothing answers and requests keep coming. Queues would fill with work that nobody waits for any more: most are
// rejected at once.
func TestOverloadRejectsAtOnce(t *testing.T) {
	h := newHarness(t, 1, 8, nil)
	for range 400 {
		h.request(Safe, h.balancer.random.uint64(), 3*second)
		h.advance(ms)
	}
	if h.rejected < 300 {
		t.Fatalf("only %d of 400 rejected while nothing answers", h.rejected)
	}
}

// Attempts hang at dead endpoints, and what is in flight looks like overload, while load reports say that endpoints are
// idle. Then nothing is rejected for overload; it is where reports say that they are busy.
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
			t.Errorf("%d of 400 rejected while endpoints report %g", h.rejected, c.report)
		}
	}
}

// Endpoints are full and reject half of what they get. Rejections come fast, and taken for answers they would add
// capacity for more of the same: they shrink what may be in flight.
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
	latency, evidence := &h.balancer.fleetwide.latency, h.balancer.clock.evidence
	latency.rejected.Add(evidence, latency.answers.ValueAt(evidence))
	if after := capacity(); after > before*2/3 {
		t.Errorf("capacity for %d attempts while half is rejected, for %d before", after, before)
	}
}

// Cache-aside, incident i762552: caches slow down while they answer misses as fast as ever. Misses counted as answers
// added capacity for ever more attempts, which piled up unanswered. They add none.
func TestCacheMissesAddNoCapacity(t *testing.T) {
	h := newHarness(t, 1, 0, map[string]any{"extra.mode": "aside", "extra.originKind": 1.0, "balancers": 20.0})
	h.updateOriginList(8)
	for n := range 1500 {
		i := h.request(Safe, uint64(n%500), 3*second)
		h.advance(2 * ms)
		for attempt := 0; attempt < len(h.requests[i].attempts); attempt++ {
			isOrigin := h.requests[i].attempts[attempt].endpoint == 8
			isHit := n < 600 && n%4 == 0 // Later, caches answer misses alone.
			switch {
			case isOrigin || isHit:
				h.endAttempt(i, attempt, OK)
			case n%4 > 0:
				h.endAttempt(i, attempt, CacheMiss)
			}
		}
	}
	if h.balancer.load.inFlight > 40 {
		t.Fatalf("%d attempts in flight that nothing answers", h.balancer.load.inFlight)
	}
}

// A balancer in a fleet of a hundred sees half of all traffic, and an even share of a quota would be a hundredth. Load
// reports tell what its traffic is a part of: tenants within their quotas are served. Where they tell that it is a
// small part, or tell nothing, its small share of each quota binds.
func TestLoadReportsTellTrafficShare(t *testing.T) {
	for _, c := range []struct {
		rate     float64 // that each of ten endpoints reports
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
			h.balancer.quotas.Restore(0, nil) // As while attempts fail.
		}
		if h.rejected > 150 != c.rejected {
			t.Errorf("%d of 1500 rejected where endpoints report %g a second", h.rejected, c.rate)
		}
	}
}

// One attempt of all is slow, or latency has risen for good. The base latency follows a lower mean at once; a higher
// one it follows slowly, as it may be that attempts are queued.
func TestBaseLatencyFallsAtOnceAndRisesSlowly(t *testing.T) {
	a := admissionLimiter{baseLatency: float64(second)}
	a.recordAnswer(0, 10*ms)
	if a.baseLatency != float64(10*ms) {
		t.Errorf("a base latency of %g ns after one answer of 10 ms", a.baseLatency)
	}
	a.recordAnswer(0, 90*ms)
	if want := float64(10*ms) * baseLatencyGrowth; a.baseLatency != want {
		t.Errorf("a base latency of %g ns after a slow answer, not %g", a.baseLatency, want)
	}
	for range 10_000 {
		a.recordAnswer(0, 90*ms)
	}
	if a.baseLatency < float64(89*ms) || a.baseLatency > float64(90*ms) {
		t.Errorf("a base latency of %g ns once answers take 90 ms for good", a.baseLatency)
	}
}

// Endpoints restart one after the other, as load may have brought them down. Restarts that come together count once,
// the tolerance keeps a floor, and it recovers with time.
func TestOverloadToleranceFallsAndRecovers(t *testing.T) {
	a := admissionLimiter{tolerance: 1}
	now := second
	a.lowerTolerance(now)
	a.lowerTolerance(now + restartSpacing)
	if a.tolerance != restartTolerance {
		t.Errorf("a tolerance of %g after two restarts at once, not %g", a.tolerance, restartTolerance)
	}
	for range 20 {
		now += restartSpacing + 1
		a.lowerTolerance(now)
	}
	if a.tolerance != minOverloadTolerance {
		t.Errorf("a tolerance of %g after many restarts, not %g", a.tolerance, minOverloadTolerance)
	}
	a.recover(toleranceRecovery / 2)
	if want := minOverloadTolerance + 0.5; a.tolerance != want {
		t.Errorf("a tolerance of %g after half of the recovery, not %g", a.tolerance, want)
	}
	if a.recover(toleranceRecovery); a.tolerance != 1 {
		t.Errorf("a tolerance of %g after the recovery", a.tolerance)
	}
}

// A few endpoints hang, and what is in flight there would look like overload. It counts for nothing while most
// endpoints answer; where most hang, nothing tells that it is not load, and it counts.
func TestUnresponsiveEndpointsAreAMinority(t *testing.T) {
	for _, c := range []struct{ hanging, attempts, endpoints int }{{0, 0, 0}, {2, 10, 2}, {3, 0, 0}, {5, 0, 0}} {
		b, _ := newSnapshotBalancer(unixStart, 0, 0, 0, 0, 0)
		for index := range b.endpoints {
			b.endpoints[index].load.inFlight = 5
			if index < c.hanging {
				b.endpoints[index].outlier.silentSince = unixStart
			}
		}
		if attempts, endpoints := b.unresponsive(); attempts != c.attempts || endpoints != c.endpoints {
			t.Errorf("%d of 5 hang: %d attempts at %d endpoints, not %d at %d", c.hanging, attempts, endpoints, c.attempts, c.endpoints)
		}
	}
}
