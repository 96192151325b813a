package policy

import (
	"math"
	"testing"
)

// FuzzRules plays random traffic, outcomes, lists and load reports under random settings. It guards the rules that no decision may break against a case that
// nobody thought of: the harness checks them at every call.
func FuzzRules(f *testing.F) {
	for seed := range uint64(24) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		c := randomSource{seed + 1, 7}
		group := []string{"all", "zone", "cell"}[c.intN(3)]
		w := newHarness(t, seed, 2+c.intN(30), map[string]any{"allowed.secondCopies": c.intN(2) == 0,
			"allowed.cancelling": c.intN(2) == 0, "workloads.1.group": group,
			"allowed.mostTrips": float64(1 + c.intN(6)), "weights": []string{"live", "nominal"}[c.intN(2)],
			"zones": 2.0, "zones.0": "a", "zones.1": "b", "zone": "b", "report.fields": 3.0,
			"report.fields.0": "served_ps", "report.fields.1": "pending", "report.fields.2": "cpu_share",
			"workloads.0.keepOrder": c.intN(2) == 0, "invariants.orderSettle": 40.0,
			"invariants.deadlineDrift": float64(c.intN(2) * 500), "invariants.onlyDrainingBinds": c.intN(2) == 0})
		w.remainingSkew = int64(c.intN(3)-1) * w.duration("invariants.deadlineDrift")
		n := len(w.health)
		health := make([]Health, n)
		started := make([]int64, n)
		for range 600 {
			switch c.intN(20) {
			case 0:
				s := c.intN(n)
				health[s] = Health(c.intN(3))
				if health[s] == Ready {
					started[s] = w.now
				}
				w.updateList(FullList, n, func(s int) (Health, int64) { return health[s], started[s] })
			case 1:
				w.balancer.BeginEndpointUpdate(UpdateFailed)
				w.balancer.CommitEndpointUpdate(w.now)
			case 2, 3, 4, 5, 6, 7, 8:
				w.request(Effect(c.intN(3)), uint64(c.intN(9)), int64(20+c.intN(1500))*ms)
			case 9:
				if i := c.intN(len(w.requests) + 1); i < len(w.requests) && w.requests[i].isOpen {
					w.requests[i].isOpen = false
					w.balancer.HandleClientCancelled(w.now, i)
				}
			case 10:
				odd := []float64{math.NaN(), 0, 1, 1e9, c.float64()}
				w.balancer.HandleLoadReport(c.intN(n), []float64{odd[c.intN(5)], odd[c.intN(5)], odd[c.intN(5)]})
			default:
				for i := max(0, len(w.requests)-20); i < len(w.requests); i++ {
					for attempt := range w.requests[i].attempts {
						if c.intN(3) == 0 {
							w.endAttempt(i, attempt, []Outcome{OK, OK, OK, OK, OK, OK, Errored, Rejected, Rejected, TimedOut, ConnectFailed, Reset,
								Cancelled, NotSent}[c.intN(14)])
						}
					}
				}
			}
			w.advance(int64(c.intN(15)) * ms)
		}
		w.advance(2 * second)
	})
}

// FuzzCold sends all it can past an endpoint that has just started. Were the budget of the slow start too large in any second, it would fall over: no second may
// bring it over what the settings allow.
func FuzzCold(f *testing.F) {
	f.Add(uint64(1), 8)
	f.Add(uint64(2), 20)
	f.Add(uint64(3), 3)
	f.Fuzz(func(t *testing.T, seed uint64, n int) {
		n = 2 + max(n, -n)%40
		w := newHarness(t, seed, n, nil)
		started := int64(1 << 62)
		lastSecond := func() (sent int) {
			for i := range w.requests {
				for _, attempt := range w.requests[i].attempts {
					if attempt.endpoint == 0 && attempt.sentAt > w.now-second && attempt.sentAt >= started {
						sent++
					}
				}
			}
			return sent
		}
		run := func(steps int, check bool) {
			for range steps {
				i := w.request(Safe, w.balancer.random.uint64(), second)
				w.advance(4 * ms)
				for attempt := range w.requests[i].attempts {
					w.endAttempt(i, attempt, OK)
				}
				// The fleet answers 250 a second; so much at most is a warm server's part of what this one sends.
				can := 250.0 / float64(n-1) * (0.2 + 0.8*float64(w.now-started)/float64(8*second))
				if got := lastSecond(); check && float64(got) > 3*can+2 {
					t.Fatalf("%d sent to a cold server that can do %.1f", got, can)
				}
			}
		}
		run(750, false)
		started = w.now
		w.updateList(FullList, n, func(s int) (Health, int64) {
			if s == 0 {
				return Ready, started
			}
			return Ready, 0
		})
		run(500, true)
	})
}

// FuzzFleet plays forty balancers before twenty caches, one of which restarts, and an origin that stops answering. The balancers are restarted in turn, each with nothing
// known. Each sends little, and their sum is what counts: together they stay within the budget of the cache that warms up, and do not crowd the origin.
func FuzzFleet(f *testing.F) {
	for seed := range uint64(3) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		const fleet, caches, perStep = 40, 20, 4 // 200 requests a second
		c := randomSource{seed + 1, 7}
		started := int64(1 << 62)
		begin := func(i int, now int64) *harness {
			w := newHarness(t, seed*fleet+uint64(i), 0, map[string]any{"balancers": float64(fleet),
				"extra.mode": "aside", "extra.originKind": 1.0, "workloads.0.expectedTime": 500.0})
			w.now, w.balancer = now, New(now, c.uint64(), w.settings, w)
			return w
		}
		list := func(w *harness) {
			w.balancer.BeginEndpointUpdate(FullList)
			for s := range caches + 1 {
				w.health[s] = Ready
				at := int64(0)
				if s == 0 && w.now >= started {
					at = started
				}
				w.balancer.UpdateEndpoint(w.now, s, EndpointInfo{Address: string(rune('a' + s)), Health: Ready, StartedAt: at, MachineType: s / caches})
			}
			w.balancer.CommitEndpointUpdate(w.now)
		}
		var ws [fleet]*harness
		for i := range ws {
			ws[i] = begin(i, second)
			list(ws[i])
		}
		var cold []int64 // when the cold server was sent something
		reads, slow := 0, false
		for step := range 900 { // of 20 ms
			now := second + int64(step)*20*ms
			if step == 300 {
				started = now
			}
			slow = step >= 600
			for i := range ws {
				if step == 300 {
					list(ws[i])
				} else if step > 320 && step%40 == i { // restarted in turn
					ws[i] = begin(i, now)
					list(ws[i])
				}
			}
			for range perStep {
				w := ws[c.intN(fleet)]
				w.request(Safe, c.uint64(), second)
			}
			out := 0
			for _, w := range ws {
				for i := max(0, len(w.requests)-30); i < len(w.requests); i++ {
					for attempt := 0; attempt < len(w.requests[i].attempts); attempt++ {
						x := w.requests[i].attempts[attempt]
						switch {
						case !x.inFlight:
						case x.endpoint == caches && slow: // it answers nothing any more
							out++
						case x.endpoint == caches:
							w.endAttempt(i, attempt, OK)
						default:
							if x.endpoint == 0 && started <= x.sentAt {
								cold = append(cold, x.sentAt)
							}
							w.endAttempt(i, attempt, CacheMiss)
						}
					}
				}
				w.advance(20 * ms)
			}
			if slow && step > 750 {
				reads += out
			}
			can := 200.0 / caches * (0.2 + 0.8*float64(now-started)/float64(8*second))
			in := 0
			for _, at := range cold {
				if at > now-second {
					in++
				}
			}
			if now > started && float64(in) > 3*can+3 {
				t.Fatalf("%d sent to a cold server that can do %.1f", in, can)
			}
		}
		if mean := float64(reads) / 150; mean > 74 {
			t.Fatalf("%.0f reads are out at an origin that answers nothing", mean)
		}
	})
}
