package policy

import "testing"

// sparseTraffic is one of 279 balancers before 168 endpoints in two zones. It gets 16 requests a second, of six tenants
// that are all within their quotas.
type sparseTraffic struct {
	*harness
	tenants     []int
	nextArrival int64
}

// newSparseTraffic begins with all endpoints ready. change replaces settings by their dotted names.
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

// tenant draws a request's tenant; -1 where there are none.
func (f *sparseTraffic) tenant() int {
	if len(f.tenants) == 0 {
		return -1
	}
	return f.tenants[f.balancer.random.intN(len(f.tenants))]
}

// play sends requests for a time. answers tells how an attempt at an endpoint ends and when. It returns how many
// requests came and how many of them were answered within the objective.
func (f *sparseTraffic) play(span int64, answers func(endpoint int, sentAt int64) (Outcome, int64)) (came, served int) {
	first := len(f.requests)
	inTime := map[int]bool{}
	for end := f.now + span; f.now < end; f.advance(ms) {
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
		came++
		if inTime[i] {
			served++
		}
	}
	return came, served
}

// healthy is an endpoint that answers.
func healthy(_ int, sentAt int64) (Outcome, int64) { return OK, sentAt + 45*ms }

// lostZone refuses connections at one half of the first zone's endpoints and never answers at the others.
func lostZone(endpoint int, sentAt int64) (Outcome, int64) {
	switch {
	case endpoint%2 == 1:
		return healthy(endpoint, sentAt)
	case endpoint%4 == 0:
		return ConnectFailed, sentAt + 150*ms
	}
	return TimedOut, sentAt + 600*ms
}

// A zone is lost, and the balancer sees so little traffic that finding out each of its 84 endpoints would take minutes.
// It detects the zone as one: most requests are served by the other zone meanwhile, and all once it is back.
func TestLostZoneIsDetectedAsOne(t *testing.T) {
	for _, change := range []map[string]any{nil, {"allowed.secondCopies": false}, {"tenants": 0.0}} {
		came, served, after, servedAfter := 0, 0, 0, 0
		for seed := range uint64(6) {
			f := newSparseTraffic(t, seed, change)
			f.play(10*second, healthy)
			n, ok := f.play(5*second, lostZone)
			came, served = came+n, served+ok
			f.play(4*second, healthy)
			n, ok = f.play(6*second, healthy)
			after, servedAfter = after+n, servedAfter+ok
		}
		if share := float64(served) / float64(came); share < 0.85 {
			t.Errorf("%v: %.3f of %d served while a zone is lost", change, share, came)
		}
		if share := float64(servedAfter) / float64(after); share < 0.97 {
			t.Errorf("%v: %.3f of %d served once it is back", change, share, after)
		}
	}
}

// All is well and there is little traffic. Counts are small and vary by chance, which must not look like overload or an
// exceeded quota: requests of tenants within their quotas are served.
func TestSparseTrafficIsServed(t *testing.T) {
	for seed := range uint64(4) {
		f := newSparseTraffic(t, seed, nil)
		f.play(3*second, healthy)
		if came, served := f.play(20*second, healthy); float64(served) < 0.97*float64(came) {
			t.Errorf("seed %d: %d of %d served: %v", seed, served, came, f.reasons)
		}
	}
}
