package policy

import "testing"

// sparseTraffic simulates one of 279 balancers with 168 endpoints in two zones. It receives 16 requests per second, by
// default of six tenants that are all within their quotas.
type sparseTraffic struct {
	*harness
	tenants     []int
	nextArrival int64
}

// newSparseTraffic returns the simulation with all endpoints ready. change overrides settings by their dotted names.
func newSparseTraffic(t *testing.T, seed uint64, change map[string]any) *sparseTraffic {
	values := map[string]any{"balancers": 279.0, "allowed.secondCopies": true, "allowed.mostTrips": 3.0, "zones": 2.0,
		"zones.0": "a", "zones.1": "b", "zone": "b", "tenants": 6.0, "workloads.0.expectedTime": 300.0, "workloads.0.tardyValue": 0.0}
	for name, value := range change {
		values[name] = value
	}
	f := &sparseTraffic{harness: newHarness(t, seed, 0, values)}
	for tenant, quota := range []float64{23, 20, 19, 18, 14, 6}[:int(values["tenants"].(float64))] {
		f.balancer.SetQuota(tenant, quota*16*279/100*1.1)
		for range int(quota) {
			f.tenants = append(f.tenants, tenant)
		}
	}
	f.updateList(FullList, 168, func(int) (Health, int64) { return Ready, 0 })
	f.nextArrival = f.now
	return f
}

// tenant draws the tenant of a request, or returns -1 if there are no tenants.
func (f *sparseTraffic) tenant() int {
	if len(f.tenants) == 0 {
		return -1
	}
	return f.tenants[f.balancer.random.intN(len(f.tenants))]
}

// run sends requests for a duration. answers returns the outcome of an attempt at an endpoint and the time of its end.
// run returns the number of requests and how many of them were answered within the objective.
func (f *sparseTraffic) run(duration int64, answers func(endpoint int, sentAt int64) (Outcome, int64)) (total, served int) {
	first := len(f.requests)
	inTime := map[int]bool{}
	for end := f.now + duration; f.now < end; f.advance(ms) {
		if f.now >= f.nextArrival {
			f.nextArrival += 20*ms + int64(f.balancer.random.intN(int(85*ms)))
			f.requests = append(f.requests, testRequest{isOpen: true, clientGoneAt: f.now + 600*ms})
			f.balancer.HandleRequest(f.now, len(f.requests)-1, RequestInfo{Remaining: 600 * ms, Tenant: f.tenant(), Key: f.balancer.random.uint64(), HasKey: true})
		}
		for i := max(0, len(f.requests)-64); i < len(f.requests); i++ {
			for number := range f.requests[i].attempts {
				attempt := &f.requests[i].attempts[number]
				outcome, endsAt := answers(attempt.endpoint, attempt.sentAt)
				if !attempt.inFlight || f.now < endsAt {
					continue
				}
				inTime[i] = inTime[i] || outcome == OK && f.requests[i].isOpen && f.now <= f.requests[i].clientGoneAt-300*ms
				f.endAttempt(i, number, outcome)
			}
		}
	}
	for i := first; i < len(f.requests); i++ {
		total++
		if inTime[i] {
			served++
		}
	}
	return total, served
}

// healthy is the behaviour of an endpoint that answers.
func healthy(_ int, sentAt int64) (Outcome, int64) { return OK, sentAt + 45*ms }

// lostZone is the behaviour of endpoints while the first zone is lost: half of its endpoints fail connections, and the
// other half never answer.
func lostZone(endpoint int, sentAt int64) (Outcome, int64) {
	switch {
	case endpoint%2 == 1:
		return healthy(endpoint, sentAt)
	case endpoint%4 == 0:
		return ConnectFailed, sentAt + 150*ms
	}
	return TimedOut, sentAt + 600*ms
}

// A zone is lost, and the balancer has so little traffic that detecting each of its 84 endpoints by itself would take
// minutes. The loss must be detected for the zone as a whole: the other zone must serve most requests during the
// outage, and nearly all requests must be served after it.
func TestLostZoneIsDetectedAsOne(t *testing.T) {
	for _, change := range []map[string]any{nil, {"allowed.secondCopies": false}, {"tenants": 0.0}} {
		total, served, totalAfter, servedAfter := 0, 0, 0, 0
		for seed := range uint64(6) {
			f := newSparseTraffic(t, seed, change)
			f.run(10*second, healthy)
			n, ok := f.run(5*second, lostZone)
			total, served = total+n, served+ok
			f.run(4*second, healthy)
			n, ok = f.run(6*second, healthy)
			totalAfter, servedAfter = totalAfter+n, servedAfter+ok
		}
		if share := float64(served) / float64(total); share < 0.85 {
			t.Errorf("settings %v: share of %d requests served while a zone was lost = %.3f, want at least 0.85", change, total, share)
		}
		if share := float64(servedAfter) / float64(totalAfter); share < 0.97 {
			t.Errorf("settings %v: share of %d requests served after the outage = %.3f, want at least 0.97", change, totalAfter, share)
		}
	}
}

// There is little traffic and all endpoints are healthy. Small counts vary at random, which must not be taken for
// overload or an exceeded quota: requests of tenants within their quotas must be served.
func TestSparseTrafficIsServed(t *testing.T) {
	for seed := range uint64(4) {
		f := newSparseTraffic(t, seed, nil)
		f.run(3*second, healthy)
		if total, served := f.run(20*second, healthy); float64(served) < 0.97*float64(total) {
			t.Errorf("seed %d: %d of %d requests served, want at least 97%%; rejections by reason: %v", seed, served, total, f.reasons)
		}
	}
}
