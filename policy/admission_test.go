package policy

import (
	"math"
	"testing"
)

// Nothing answers and requests keep coming. Queues would fill with work that nobody waits for any more: most are rejected at once.
func TestOverloadRejectsAtOnce(t *testing.T) {
	w := newHarness(t, 1, 8, nil)
	for range 400 {
		w.request(Safe, w.balancer.random.uint64(), 3*second)
		w.advance(ms)
	}
	if w.rejected < 300 {
		t.Fatalf("only %d of 400 rejected while nothing answers", w.rejected)
	}
}

// Attempts hang at dead endpoints, and what is in flight looks like overload, while load reports say that endpoints are idle. Then nothing is rejected for overload; it
// is where reports say that they are busy.
func TestNoOverloadWhileEndpointsReportIdle(t *testing.T) {
	for _, c := range []struct {
		report   float64
		rejected bool
	}{{0.2, false}, {1, true}, {math.NaN(), false}} {
		w := newHarness(t, 1, 8, map[string]any{"report.fields": 1.0, "report.fields.0": "cpu_share"})
		for n := range 400 {
			w.balancer.HandleLoadReport(n%8, []float64{0.2})
			w.balancer.HandleLoadReport(n%8, []float64{c.report})
			w.request(Safe, w.balancer.random.uint64(), 3*second)
			w.advance(ms)
		}
		if w.rejected > 300 != c.rejected {
			t.Errorf("%d of 400 rejected while hosts report %g", w.rejected, c.report)
		}
	}
}

// Endpoints are full and reject half of what they get. Rejections come fast, and taken for answers they would make room for more of the same: they shrink what may be in
// flight.
func TestRejectionsShrinkCapacity(t *testing.T) {
	w := newHarness(t, 1, 0, nil)
	answerWeightedTraffic(w)
	capacity := func() int {
		request := &requestState{isWrite: true}
		for w.balancer.load.inFlight = 0; !w.balancer.isOverloaded(w.now, request); {
			w.balancer.load.inFlight++
		}
		return w.balancer.load.inFlight
	}
	before := capacity()
	latency, evidence := &w.balancer.fleetwide.latency, w.balancer.clock.evidence
	latency.rejected.Add(evidence, latency.answers.ValueAt(evidence))
	if after := capacity(); after > before*2/3 {
		t.Errorf("capacity for %d attempts while half is rejected, for %d before", after, before)
	}
}

// Cache-aside, incident i762552: caches slow down while they answer misses as fast as ever. Misses counted as answers made room for ever more attempts, which piled up
// unanswered. They make none.
func TestCacheMissesAddNoCapacity(t *testing.T) {
	w := newHarness(t, 1, 0, map[string]any{"extra.mode": "aside", "extra.originKind": 1.0, "balancers": 20.0})
	w.balancer.BeginEndpointUpdate(FullList)
	for s := range 9 {
		w.health[s] = Ready
		w.balancer.UpdateEndpoint(w.now, s, EndpointInfo{Address: string(rune('a' + s)), Health: Ready, MachineType: s / 8})
	}
	w.balancer.CommitEndpointUpdate(w.now)
	for n := range 1500 {
		i := w.request(Safe, uint64(n%500), 3*second)
		w.advance(2 * ms)
		for attempt := 0; attempt < len(w.requests[i].attempts); attempt++ {
			if at := w.requests[i].attempts[attempt].endpoint; at == 8 || n < 600 && n%4 == 0 {
				w.endAttempt(i, attempt, OK)
			} else if n%4 > 0 {
				w.endAttempt(i, attempt, CacheMiss)
			}
		}
	}
	if w.balancer.load.inFlight > 40 {
		t.Fatalf("%d attempts in flight that nothing settles", w.balancer.load.inFlight)
	}
}

// A balancer in a fleet of a hundred sees half of all traffic, and an even share of a quota would be a hundredth. Load reports tell what its traffic is a part of: tenants
// within their quotas are served. Where they tell that it is a small part, or tell nothing, its small share of each quota binds.
func TestLoadReportsTellTrafficShare(t *testing.T) {
	for _, c := range []struct {
		rate     float64 // that each of ten hosts reports
		rejected bool
	}{{20, false}, {400, true}, {math.NaN(), true}} {
		w := newHarness(t, 1, 10, map[string]any{"tenants": 2.0, "tenants.0.quotaRps": 300.0, "tenants.1.quotaRps": 300.0,
			"balancers": 100.0, "report.fields": 1.0, "report.fields.0": "served_ps"})
		w.balancer.quotas.Restore(0, nil)
		for n := range 1500 {
			w.requests = append(w.requests, testRequest{isOpen: true, clientGoneAt: w.now + second})
			i := len(w.requests) - 1
			w.balancer.HandleRequest(w.now, i, RequestInfo{Remaining: second, Tenant: min(1, n%8), Key: w.balancer.random.uint64(), HasKey: true})
			w.advance(10 * ms)
			for attempt := range w.requests[i].attempts {
				w.balancer.HandleLoadReport(w.requests[i].attempts[attempt].endpoint, []float64{c.rate})
				w.endAttempt(i, attempt, OK)
			}
			w.balancer.quotas.Restore(0, nil) // As while attempts fail.
		}
		if w.rejected > 150 != c.rejected {
			t.Errorf("%d of 1500 rejected where hosts report %g a second", w.rejected, c.rate)
		}
	}
}
