package policy

import "testing"

// thinFleet is one of 279 balancers before 168 servers in two zones, with 16 requests a second of six tenants that
// are all inside their quotas.
type thinFleet struct {
	*watcher
	tenants []int
	next    int64
}

func newThinFleet(t *testing.T, seed uint64, change map[string]any) *thinFleet {
	values := map[string]any{"balancers": 279.0, "allowed.secondCopies": true, "allowed.mostTrips": 3.0, "zones": 2.0,
		"zones.0": "a", "zones.1": "b", "zone": "b", "tenants": 6.0, "workloads.0.expectedTime": 300.0, "workloads.0.tardyValue": 0.0}
	for name, value := range change {
		values[name] = value
	}
	f := &thinFleet{watcher: plain(t, seed, 0, values)}
	for tenant, quota := range []float64{23, 20, 19, 18, 14, 6}[:int(values["tenants"].(float64))] {
		f.b.SetQuota(tenant, quota*16*279/100*1.1)
		for range int(quota) {
			f.tenants = append(f.tenants, tenant)
		}
	}
	f.list(FullList, 168, func(int) (Health, int64) { return Ready, 0 })
	f.next = f.now
	return f
}

// play sends requests for a while; answers tells how an attempt at a server ends and when. It returns how many
// requests came and how many of them were answered before they were due.
func (f *thinFleet) play(span int64, answers func(server int, sentAt int64) (Outcome, int64)) (came, served int) {
	first := len(f.asked)
	inTime := map[int]bool{}
	for end := f.now + span; f.now < end; f.step(ms) {
		if f.now >= f.next {
			f.next += 20*ms + int64(f.b.random.intN(int(85*ms)))
			f.asked = append(f.asked, asked{live: true, stop: f.now + 600*ms})
			f.b.HandleRequest(f.now, len(f.asked)-1, RequestInfo{Remaining: 600 * ms, Tenant: f.tenant(), Key: f.b.random.uint64(), HasKey: true})
		}
		for i := max(0, len(f.asked)-64); i < len(f.asked); i++ {
			for t := range f.asked[i].attempts {
				attempt := &f.asked[i].attempts[t]
				how, at := answers(attempt.server, attempt.at)
				if !attempt.out || f.now < at {
					continue
				}
				inTime[i] = inTime[i] || how == OK && f.asked[i].live && f.now <= f.asked[i].stop-300*ms
				f.answer(i, t, how)
			}
		}
	}
	for i := first; i < len(f.asked); i++ {
		came++
		if inTime[i] {
			served++
		}
	}
	return came, served
}

func well(_ int, sentAt int64) (Outcome, int64) { return OK, sentAt + 45*ms }

// lostZone has no connection come up to one half of the first zone's servers, and the others fall silent.
func lostZone(server int, sentAt int64) (Outcome, int64) {
	switch {
	case server%2 == 1:
		return well(server, sentAt)
	case server%4 == 0:
		return ConnectFailed, sentAt + 150*ms
	}
	return TimedOut, sentAt + 600*ms
}

// A balancer with little traffic finds a lost zone out as one: most of what comes meanwhile is served elsewhere.
func TestALostZoneIsFoundOutAsOne(t *testing.T) {
	for _, change := range []map[string]any{nil, {"allowed.secondCopies": false}, {"tenants": 0.0}} {
		came, served, after, servedAfter := 0, 0, 0, 0
		for seed := range uint64(6) {
			f := newThinFleet(t, seed, change)
			f.play(10*second, well)
			n, ok := f.play(5*second, lostZone)
			came, served = came+n, served+ok
			f.play(4*second, well)
			n, ok = f.play(6*second, well)
			after, servedAfter = after+n, servedAfter+ok
		}
		if part := float64(served) / float64(came); part < 0.85 {
			t.Errorf("%v: %.3f of %d served while a zone is lost", change, part, came)
		}
		if part := float64(servedAfter) / float64(after); part < 0.97 {
			t.Errorf("%v: %.3f of %d served once it is back", change, part, after)
		}
	}
}

// Requests of tenants inside their quotas are not rejected while all goes well, however little traffic there is.
func TestThinTrafficIsServed(t *testing.T) {
	for seed := range uint64(4) {
		f := newThinFleet(t, seed, nil)
		f.play(3*second, well)
		if came, served := f.play(20*second, well); float64(served) < 0.97*float64(came) {
			t.Errorf("seed %d: %d of %d served: %v", seed, served, came, f.reasons)
		}
	}
}

// tenant draws a request's tenant; -1 where there are none.
func (f *thinFleet) tenant() int {
	if len(f.tenants) == 0 {
		return -1
	}
	return f.tenants[f.b.random.intN(len(f.tenants))]
}
