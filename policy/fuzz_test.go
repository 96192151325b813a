package policy

import (
	"math"
	"testing"
)

// FuzzRules simulates random traffic, outcomes, endpoint lists and load reports under random settings. It guards the
// rules that no decision may break against cases that no other test covers: the harness checks them at every call.
func FuzzRules(f *testing.F) {
	for seed := range uint64(24) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		random := randomSource{seed + 1, 7}
		group := []string{"all", "zone", "cell"}[random.intN(3)]
		h := newHarness(t, seed, 2+random.intN(30), map[string]any{"allowed.secondCopies": random.intN(2) == 0,
			"allowed.cancelling": random.intN(2) == 0, "workloads.1.group": group,
			"allowed.mostTrips": float64(1 + random.intN(6)), "weights": []string{"live", "nominal"}[random.intN(2)],
			"zones": 2.0, "zones.0": "a", "zones.1": "b", "zone": "b", "report.fields": 3.0,
			"report.fields.0": "served_ps", "report.fields.1": "pending", "report.fields.2": "cpu_share",
			"workloads.0.keepOrder": random.intN(2) == 0, "invariants.orderSettle": 40.0,
			"invariants.deadlineDrift": float64(random.intN(2) * 500), "invariants.onlyDrainingBinds": random.intN(2) == 0})
		h.remainingSkew = int64(random.intN(3)-1) * h.duration("invariants.deadlineDrift")
		n := len(h.health)
		health := make([]Health, n)
		started := make([]int64, n)
		for range 600 {
			switch random.intN(20) {
			case 0:
				index := random.intN(n)
				health[index] = Health(random.intN(3))
				if health[index] == Ready {
					started[index] = h.now
				}
				h.updateList(FullList, n, func(index int) (Health, int64) { return health[index], started[index] })
			case 1:
				h.balancer.BeginEndpointUpdate(UpdateFailed)
				h.balancer.CommitEndpointUpdate(h.now)
			case 2, 3, 4, 5, 6, 7, 8:
				h.request(Effect(random.intN(3)), uint64(random.intN(9)), int64(20+random.intN(1500))*ms)
			case 9:
				if i := random.intN(len(h.requests) + 1); i < len(h.requests) && h.requests[i].isOpen {
					h.requests[i].isOpen = false
					h.balancer.HandleClientCancelled(h.now, i)
				}
			case 10:
				values := []float64{math.NaN(), 0, 1, 1e9, random.float64()}
				h.balancer.HandleLoadReport(random.intN(n), []float64{values[random.intN(5)], values[random.intN(5)], values[random.intN(5)]})
			default:
				for i := max(0, len(h.requests)-20); i < len(h.requests); i++ {
					for attempt := range h.requests[i].attempts {
						if random.intN(3) == 0 {
							h.endAttempt(i, attempt, []Outcome{OK, OK, OK, OK, OK, OK, Errored, Rejected, Rejected, TimedOut, ConnectFailed, Reset,
								Cancelled, NotSent}[random.intN(14)])
						}
					}
				}
			}
			h.advance(int64(random.intN(15)) * ms)
		}
		h.advance(2 * second)
	})
}

// FuzzSlowStartBudget sends steady traffic while one endpoint has just started. If the slow-start budget were too large
// in any second, the endpoint would be overloaded and fail. In no second may it be sent more than the settings allow.
func FuzzSlowStartBudget(f *testing.F) {
	f.Add(uint64(1), 8)
	f.Add(uint64(2), 20)
	f.Add(uint64(3), 3)
	f.Fuzz(func(t *testing.T, seed uint64, n int) {
		n = 2 + max(n, -n)%40
		h := newHarness(t, seed, n, nil)
		started := int64(1 << 62)
		sentInLastSecond := func() (sent int) {
			for i := range h.requests {
				for _, attempt := range h.requests[i].attempts {
					if attempt.endpoint == 0 && attempt.sentAt > h.now-second && attempt.sentAt >= started {
						sent++
					}
				}
			}
			return sent
		}
		run := func(steps int, check bool) {
			for range steps {
				i := h.request(Safe, h.balancer.random.uint64(), second)
				h.advance(4 * ms)
				for attempt := range h.requests[i].attempts {
					h.endAttempt(i, attempt, OK)
				}
				// The balancer sends 250 attempts a second, so that a warm endpoint's share is at most 250/(n-1).
				capacity := 250.0 / float64(n-1) * (0.2 + 0.8*float64(h.now-started)/float64(8*second))
				if got := sentInLastSecond(); check && float64(got) > 3*capacity+2 {
					t.Fatalf("%d attempts sent in one second to a warming endpoint with a capacity of %.1f, want at most 3 times that plus 2", got, capacity)
				}
			}
		}
		run(750, false)
		started = h.now
		h.updateList(FullList, n, func(index int) (Health, int64) {
			if index == 0 {
				return Ready, started
			}
			return Ready, 0
		})
		run(500, true)
	})
}

// FuzzFleet simulates forty balancers in front of twenty caches, one of which restarts, and an origin that stops
// answering. The balancers restart in turn and lose all they have learned. Each sends only a few requests, but their sum
// counts: all together must stay within the budget of the warming cache and must not overload the origin.
func FuzzFleet(f *testing.F) {
	for seed := range uint64(3) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		const fleet, caches, requestsPerStep = 40, 20, 4 // 200 requests a second
		random := randomSource{seed + 1, 7}
		started := int64(1 << 62)
		newMember := func(i int, now int64) *harness {
			h := newHarness(t, seed*fleet+uint64(i), 0, map[string]any{"balancers": float64(fleet),
				"extra.mode": "aside", "extra.originKind": 1.0, "workloads.0.expectedTime": 500.0})
			h.now, h.balancer = now, New(now, random.uint64(), h.settings, h)
			return h
		}
		sendList := func(h *harness) {
			h.balancer.BeginEndpointUpdate(FullList)
			for index := range caches + 1 {
				h.health[index] = Ready
				at := int64(0)
				if index == 0 && h.now >= started {
					at = started
				}
				h.balancer.UpdateEndpoint(h.now, index, EndpointInfo{Address: testAddress(index), Health: Ready, StartedAt: at, MachineType: index / caches})
			}
			h.balancer.CommitEndpointUpdate(h.now)
		}
		var members [fleet]*harness
		for i := range members {
			members[i] = newMember(i, second)
			sendList(members[i])
		}
		var sentToWarming []int64 // times of the attempts at the warming cache
		readsAtHungOrigin, originHangs := 0, false
		for step := range 900 { // 20 ms each
			now := second + int64(step)*20*ms
			if step == 300 {
				started = now
			}
			originHangs = step >= 600
			for i := range members {
				if step == 300 {
					sendList(members[i])
				} else if step > 320 && step%40 == i { // The balancers restart in turn.
					members[i] = newMember(i, now)
					sendList(members[i])
				}
			}
			for range requestsPerStep {
				h := members[random.intN(fleet)]
				h.request(Safe, random.uint64(), second)
			}
			inFlightAtOrigin := 0
			for _, h := range members {
				for i := max(0, len(h.requests)-30); i < len(h.requests); i++ {
					for attempt := 0; attempt < len(h.requests[i].attempts); attempt++ {
						sent := h.requests[i].attempts[attempt]
						switch {
						case !sent.inFlight:
						case sent.endpoint == caches && originHangs: // No answer comes.
							inFlightAtOrigin++
						case sent.endpoint == caches:
							h.endAttempt(i, attempt, OK)
						default:
							if sent.endpoint == 0 && started <= sent.sentAt {
								sentToWarming = append(sentToWarming, sent.sentAt)
							}
							h.endAttempt(i, attempt, CacheMiss)
						}
					}
				}
				h.advance(20 * ms)
			}
			if originHangs && step > 750 {
				readsAtHungOrigin += inFlightAtOrigin
			}
			capacity := 200.0 / caches * (0.2 + 0.8*float64(now-started)/float64(8*second))
			sentInLastSecond := 0
			for _, at := range sentToWarming {
				if at > now-second {
					sentInLastSecond++
				}
			}
			if now > started && float64(sentInLastSecond) > 3*capacity+3 {
				t.Fatalf("%d attempts sent in one second to a warming cache with a capacity of %.1f, want at most 3 times that plus 3", sentInLastSecond, capacity)
			}
		}
		if mean := float64(readsAtHungOrigin) / 150; mean > 74 {
			t.Fatalf("%.0f reads in flight in the mean at an origin that no longer answers, want at most 74", mean)
		}
	})
}
