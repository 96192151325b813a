package policy

import (
	"math"
	"slices"
	"testing"
)

// FuzzRules plays random traffic, outcomes and lists; the watcher checks the rules at every call.
func FuzzRules(f *testing.F) {
	for seed := range uint64(24) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		c := chance{seed + 1, 7}
		group := []string{"all", "zone", "cell"}[c.below(3)]
		w := plain(t, seed, 2+c.below(30), map[string]any{"allowed.secondCopies": c.below(2) == 0,
			"allowed.cancelling": c.below(2) == 0, "workloads.1.group": group,
			"allowed.mostTrips": float64(1 + c.below(6)), "weights": []string{"live", "nominal"}[c.below(2)],
			"zones": 2.0, "zones.0": "a", "zones.1": "b", "zone": "b", "report.fields": 3.0,
			"report.fields.0": "served_ps", "report.fields.1": "pending", "report.fields.2": "cpu_share",
			"workloads.0.keepOrder": c.below(2) == 0, "invariants.orderSettle": 40.0,
			"invariants.deadlineDrift": float64(c.below(2) * 500), "invariants.onlyDrainingBinds": c.below(2) == 0})
		w.skew = int64(c.below(3)-1) * w.span("invariants.deadlineDrift")
		n := len(w.healths)
		health := make([]Health, n)
		started := make([]int64, n)
		for range 600 {
			switch c.below(20) {
			case 0:
				s := c.below(n)
				health[s] = Health(c.below(3))
				if health[s] == Ready {
					started[s] = w.now
				}
				w.list(Whole, n, func(s int) (Health, int64) { return health[s], started[s] })
			case 1:
				w.b.Listing(w.now, Failed)
				w.b.Listed(w.now)
			case 2, 3, 4, 5, 6, 7, 8:
				w.ask(Effect(c.below(3)), uint64(c.below(9)), int64(20+c.below(1500))*ms)
			case 9:
				if i := c.below(len(w.asked) + 1); i < len(w.asked) && w.asked[i].live {
					w.asked[i].live = false
					w.b.Aborted(w.now, i)
				}
			case 10:
				odd := []float64{math.NaN(), 0, 1, 1e9, c.part()}
				w.b.Reported(w.now, c.below(n), []float64{odd[c.below(5)], odd[c.below(5)], odd[c.below(5)]})
			default:
				for i := max(0, len(w.asked)-20); i < len(w.asked); i++ {
					for attempt := range w.asked[i].attempts {
						if c.below(3) == 0 {
							w.answer(i, attempt, []Outcome{OK, OK, OK, OK, OK, OK, Errored, Full, Full, TimedOut, Unreached, Reset,
								Cancelled, Unsent}[c.below(14)])
						}
					}
				}
			}
			w.step(int64(c.below(15)) * ms)
		}
		w.step(2 * second)
	})
}

// FuzzCold sends all it can at a server that has just started; no second may bring it over its budget.
func FuzzCold(f *testing.F) {
	f.Add(uint64(1), 8)
	f.Add(uint64(2), 20)
	f.Add(uint64(3), 3)
	f.Fuzz(func(t *testing.T, seed uint64, n int) {
		n = 2 + max(n, -n)%40
		w := plain(t, seed, n, nil)
		started := int64(1 << 62)
		lastSecond := func() (sent int) {
			for i := range w.asked {
				for _, attempt := range w.asked[i].attempts {
					if attempt.server == 0 && attempt.at > w.now-second && attempt.at >= started {
						sent++
					}
				}
			}
			return sent
		}
		run := func(steps int, check bool) {
			for range steps {
				i := w.ask(Safe, w.b.chance.next(), second)
				w.step(4 * ms)
				for attempt := range w.asked[i].attempts {
					w.answer(i, attempt, OK)
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
		w.list(Whole, n, func(s int) (Health, int64) {
			if s == 0 {
				return Ready, started
			}
			return Ready, 0
		})
		run(500, true)
	})
}

// The gates stand by themselves, whatever the path before them already kept to.
func TestGates(t *testing.T) {
	gates(t, "zone")
	gates(t, "cell")
}

func gates(t *testing.T, group string) {
	w := plain(t, 1, 6, map[string]any{"workloads.1.group": group})
	can := func(effect Effect, how ran, age int64, to int) bool {
		r := &request{class: int(effect), live: true, stop: w.now + second}
		r.attempts = []attempt{{server: 2, sent: w.now - age, ran: how}}
		return w.b.maySend(w.now, r, to)
	}
	w.b.servers[5].health, w.b.servers[1].started = Draining, w.now
	for name, bad := range map[string]bool{
		"one-shot that may have run": can(NonIdempotent, perhaps, ms, 3), "second copy": can(Safe, running, ms, 3),
		"stamped to another group": can(Idempotent, perhaps, ms, 3),
		"stamped too late":         can(Idempotent, perhaps, 900*ms, 2),
		"to one that drains":       can(Safe, never, ms, 5),
		"to a cold one at once":    can(Safe, never, ms, 1),
	} {
		if bad {
			t.Error("may send: " + name)
		}
	}
	if !can(NonIdempotent, never, ms, 3) || !can(Safe, perhaps, ms, 3) || !can(Idempotent, perhaps, ms, 2) {
		t.Error("may not send what may run again")
	}
	for effect, may := range []bool{true, false, false} {
		if w.b.mayReject(&request{class: effect, attempts: []attempt{{server: 2, ran: perhaps}}}) != may {
			t.Errorf("dismissal of effect %d", effect)
		}
	}
}

// An attempt may end at a server of a kind that no list has called ready, or that has none stated.
func TestKindsNeverReady(t *testing.T) {
	w := plain(t, 1, 3, nil)
	i := w.ask(Safe, 77, second)
	for _, kind := range []int{7, -1} {
		w.b.Listing(w.now, Whole)
		for s := range 3 {
			w.b.Row(w.now, s, "", Draining, 0, kind, 0, 0, 0)
		}
		w.b.Listed(w.now)
		w.b.Ended(w.now, i, 0, w.asked[i].attempts[0].server, 1, Errored, ms, true)
	}
}

// sized lists n ready servers of two kinds, sizes 4 and 1 over what they hold; server 0, a small one, started then.
func sized(w *watcher, n int, started int64, held func(s int) float64) {
	w.b.Listing(w.now, Whole)
	for s := range n {
		w.healths[s] = Ready
		at := int64(0)
		if s == 0 {
			at = started
		}
		w.b.Row(w.now, s, string(rune('a'+s)), Ready, at, s%2, 0, 0, []float64{1, 4}[s%2]/(1+held(s)))
	}
	w.b.Listed(w.now)
}

// Guards keys against weights that move with load: each list sent them to other servers.
func TestMovingWeightsMoveNoKeys(t *testing.T) {
	w := plain(t, 1, 0, map[string]any{"weights": "live"})
	sized(w, 20, 0, func(int) float64 { return 0 })
	for range 90 {
		sized(w, 20, 0, func(int) float64 { return 5 * w.b.chance.part() })
		w.answer(w.ask(Safe, 77, second), 0, OK)
		w.step(20 * ms)
	}
	if len(w.sends) != 3 {
		t.Fatalf("one key went to %d servers, not three", len(w.sends))
	}
}

// Guards a small server that starts among large ones: what these answer is more than it can do.
func TestColdRoomFollowsSize(t *testing.T) {
	w := plain(t, 1, 0, map[string]any{"weights": "live"})
	sized(w, 20, 0, func(int) float64 { return 0 })
	room := func(s int) float64 {
		w.b.servers[s].started, w.b.servers[s].room, w.b.servers[s].roomAt = w.now-second, 0, w.now-second/8
		return w.b.coldRoom(w.now, s)
	}
	for range 400 {
		i := w.ask(Safe, w.b.chance.next(), second)
		w.step(5 * ms)
		w.answer(i, 0, OK)
	}
	if small, large := room(0), room(1); small <= 0 || large < 3*small {
		t.Fatalf("room of %g for a small one, %g for one four times its size", small, large)
	}
}

// The own zone's candidates go first, and the others when connects fail: a lost zone takes half of them with it.
func TestOwnZoneFirst(t *testing.T) {
	w := plain(t, 1, 0, map[string]any{"zones": 2.0, "zones.0": "a", "zones.1": "b", "zone": "b"})
	w.list(Whole, 12, func(int) (Health, int64) { return Ready, 0 })
	cross := func(how Outcome) (n int) {
		for range 200 {
			w.b.credit = maxCredit
			i := w.ask(Safe, w.b.chance.next(), second)
			w.step(10 * ms)
			for attempt := 0; attempt < len(w.asked[i].attempts); attempt++ {
				if w.asked[i].attempts[attempt].server%2 == 0 {
					w.answer(i, attempt, OK)
					n++
				} else {
					w.answer(i, attempt, how)
				}
			}
		}
		return n
	}
	if n := cross(OK); n > 50 { // An eighth of the keys has all three elsewhere.
		t.Fatalf("%d of 200 attempts crossed", n)
	}
	if cross(Unreached); len(w.asked[len(w.asked)-1].attempts) == 0 {
		t.Fatal("nothing is sent")
	}
	w.sends = map[int]int{}
	if n := cross(Unreached); n < 180 {
		t.Fatalf("%d of 200 were settled elsewhere while the own zone is lost: %v", n, w.sends)
	}
}

// Guards tenants inside their shares against a balancer that takes its part of the traffic for the whole: hosts tell it.
func TestReportsTellThePartOfAShare(t *testing.T) {
	for _, c := range []struct {
		rate     float64 // that each of ten hosts reports
		rejected bool
	}{{20, false}, {400, true}, {math.NaN(), true}} {
		w := plain(t, 1, 10, map[string]any{"tenants": 2.0, "tenants.0.quotaRps": 300.0, "tenants.1.quotaRps": 300.0,
			"balancers": 100.0, "report.fields": 1.0, "report.fields.0": "served_ps"})
		w.b.shares.Restore(0, nil)
		for n := range 1500 {
			w.asked = append(w.asked, asked{live: true, stop: w.now + second})
			i := len(w.asked) - 1
			w.b.Asked(w.now, i, second, 0, min(1, n%8), w.b.chance.next(), true, false, 0)
			w.step(10 * ms)
			for attempt := range w.asked[i].attempts {
				w.b.Reported(w.now, w.asked[i].attempts[attempt].server, []float64{c.rate})
				w.answer(i, attempt, OK)
			}
			w.b.shares.Restore(0, nil) // As while attempts fail.
		}
		if w.rejected > 150 != c.rejected {
			t.Errorf("%d of 1500 rejected where hosts report %g a second", w.rejected, c.rate)
		}
	}
}

// Guards against a dead server that the list still shows: it is found out by its first connects that fail.
func TestFailedConnectRaisesDoubt(t *testing.T) {
	w := plain(t, 1, 8, nil)
	tried := 0
	for n := range 1200 {
		i := w.ask(Safe, w.b.chance.next(), second)
		w.step(5 * ms)
		for attempt := 0; attempt < len(w.asked[i].attempts); attempt++ {
			if w.asked[i].attempts[attempt].server == 3 && n > 600 {
				w.answer(i, attempt, Unreached)
				tried++
			}
			w.answer(i, attempt, OK)
		}
	}
	if tried > 12 || tried == 0 {
		t.Fatalf("a server that takes no connection any more got %d of 600", tried)
	}
}

// Guards reads against misses that leave no attempt for the fetch, and against waits for credit.
func TestLastTripGoesToTheOrigin(t *testing.T) {
	for _, c := range []struct {
		attempts float64
		credit   float64
		first    int // the attempt that goes to the origin
	}{{3, maxCredit, 2}, {2, maxCredit, 1}, {5, 0, 1}} {
		w := plain(t, 1, 0, map[string]any{"extra.mode": "aside", "extra.originKind": 1.0, "allowed.mostTrips": c.attempts})
		w.b.Listing(w.now, Whole)
		for s := range 9 {
			w.healths[s] = Ready
			w.b.Row(w.now, s, string(rune('a'+s)), Ready, 0, s/8, 0, 0, 0)
		}
		w.b.Listed(w.now)
		w.b.credit = c.credit
		i := w.ask(Safe, 9, second)
		for attempt := range c.first {
			w.answer(i, attempt, Unreached)
		}
		if attempts := w.asked[i].attempts; len(attempts) != c.first+1 || attempts[c.first].server != 8 {
			t.Errorf("%+v: %+v", c, attempts)
		}
	}
}

// Guards what comes against attempts that hang at dead servers, where hosts report that they are not busy.
func TestNoCrowdWhileHostsReportRoom(t *testing.T) {
	for _, c := range []struct {
		report   float64
		rejected bool
	}{{0.2, false}, {1, true}, {math.NaN(), false}} {
		w := plain(t, 1, 8, map[string]any{"report.fields": 1.0, "report.fields.0": "cpu_share"})
		for n := range 400 {
			w.b.Reported(w.now, n%8, []float64{0.2})
			w.b.Reported(w.now, n%8, []float64{c.report})
			w.ask(Safe, w.b.chance.next(), 3*second)
			w.step(ms)
		}
		if w.rejected > 300 != c.rejected {
			t.Errorf("%d of 400 rejected while hosts report %g", w.rejected, c.report)
		}
	}
}

// Guards a fleet that has lost all its warm servers: those that are cold must go on getting their part.
func TestColdRoomOutlastsWarmServers(t *testing.T) {
	w := plain(t, 1, 8, map[string]any{"invariants.warmUp": 30000.0, "invariants.startCapacity": 0.5})
	for range 1000 {
		w.answer(w.ask(Safe, w.b.chance.next(), second), 0, OK)
		w.step(5 * ms)
	}
	started := w.now
	w.list(Whole, 8, func(s int) (Health, int64) { return []Health{Gone, Ready}[s/4], started })
	late := 0
	for n := range 1500 { // 100 a second for four, where warm servers answered 25 each
		i := w.ask(Safe, w.b.chance.next(), second)
		if w.step(10 * ms); len(w.asked[i].attempts) > 0 {
			w.answer(i, 0, OK)
		} else if n > 500 {
			late++
		}
	}
	if late > 600 {
		t.Fatalf("%d of the last 1000 rejected while all servers are cold", late)
	}
}

// Guards the case of incident i762552: hosts that slow down while they answer misses as quickly as ever.
func TestMissesMakeNoRoom(t *testing.T) {
	w := plain(t, 1, 0, map[string]any{"extra.mode": "aside", "extra.originKind": 1.0, "balancers": 20.0})
	w.b.Listing(w.now, Whole)
	for s := range 9 {
		w.healths[s] = Ready
		w.b.Row(w.now, s, string(rune('a'+s)), Ready, 0, s/8, 0, 0, 0)
	}
	w.b.Listed(w.now)
	for n := range 1500 {
		i := w.ask(Safe, uint64(n%500), 3*second)
		w.step(2 * ms)
		for attempt := 0; attempt < len(w.asked[i].attempts); attempt++ {
			if at := w.asked[i].attempts[attempt].server; at == 8 || n < 600 && n%4 == 0 {
				w.answer(i, attempt, OK)
			} else if n%4 > 0 {
				w.answer(i, attempt, Missing)
			}
		}
	}
	if w.b.out > 40 {
		t.Fatalf("%d attempts in flight that nothing settles", w.b.out)
	}
}

// Guards what clients that are told when to come back can still get: at its expected time an answer loses its value.
func TestComeBackWhileAnAnswerHasValue(t *testing.T) {
	w := plain(t, 1, 0, map[string]any{"allowed.retryAfter": true})
	for range 50 {
		w.ask(Safe, 5, second)
	}
	first, last := slices.Min(w.comeBack), slices.Max(w.comeBack)
	if first <= 0 || last > 300*ms || last-first < 50*ms {
		t.Fatalf("to come back after %d to %d ns of an expected time of 600 ms", first, last)
	}
}

// Guards reads at caches that are crowded: while the origin has room, it is asked before they are rejected.
func TestCrowdedReadsAskTheOrigin(t *testing.T) {
	w := plain(t, 1, 0, map[string]any{"extra.mode": "aside", "extra.originKind": 1.0})
	w.b.Listing(w.now, Whole)
	for s := range 9 {
		w.healths[s] = Ready
		w.b.Row(w.now, s, string(rune('a'+s)), Ready, 0, s/8, 0, 0, 0)
	}
	w.b.Listed(w.now)
	most := 0
	for range 600 { // The caches answer nothing, the origin all.
		i := w.ask(Safe, w.b.chance.next(), 3*second)
		most = max(most, w.b.servers[8].out)
		w.step(2 * ms)
		if attempts := w.asked[i].attempts; len(attempts) > 0 && attempts[0].server == 8 {
			w.answer(i, 0, OK)
		}
	}
	if w.sends[8] < 300 || most > 40 || w.rejected > 100 {
		t.Fatalf("%d of 600 sent to the origin, %d at once, %d rejected", w.sends[8], most, w.rejected)
	}
	for range 50 { // Writes go by the caches, and to an origin with its table full as to one that is busy.
		i := w.ask(Idempotent, w.b.chance.next(), 3*second)
		if len(w.asked[i].attempts) != 1 || w.asked[i].attempts[0].server != 8 {
			t.Fatalf("a write while caches are crowded: %+v", w.asked[i])
		}
		w.answer(i, 0, Unreached)
		if w.step(40 * ms); len(w.asked[i].attempts) != 2 || w.asked[i].attempts[1].server != 8 {
			t.Fatalf("a write that found no connection: %+v", w.asked[i])
		}
		w.answer(i, 1, OK)
	}
}

func TestThreeCandidatesAtRandom(t *testing.T) {
	w := plain(t, 1, 12, nil)
	for range 90 {
		w.answer(w.ask(Safe, 77, second), 0, OK)
		w.step(20 * ms)
	}
	if len(w.sends) != 3 {
		t.Fatalf("one key went to %d servers, not three", len(w.sends))
	}
	for s, n := range w.sends {
		if n < 10 {
			t.Fatalf("server %d got %d of 90", s, n)
		}
	}
}

func TestBusyWidensThenHoldsDouble(t *testing.T) {
	w := plain(t, 1, 12, nil)
	w.b.credit = maxCredit
	i := w.ask(Safe, 5, second)
	w.answer(i, 0, Full)
	if len(w.asked[i].attempts) != 2 {
		t.Fatal("a busy answer must widen at once")
	}
	for _, hold := range []int64{33, 66} {
		w.answer(i, len(w.asked[i].attempts)-1, Full)
		n := len(w.asked[i].attempts)
		w.step((hold - 2) * ms)
		if len(w.asked[i].attempts) != n {
			t.Fatalf("the hold of %d ms was cut short", hold)
		}
		w.step(4 * ms)
		if len(w.asked[i].attempts) != n+1 {
			t.Fatalf("the hold of %d ms did not end", hold)
		}
	}
}

func TestOverMeanIsPassedOver(t *testing.T) {
	w := plain(t, 1, 12, nil)
	for range 9 {
		w.ask(Safe, 5, second)
	}
	for s, n := range w.sends {
		if n != 3 {
			t.Fatalf("server %d holds %d of nine, not three", s, n)
		}
	}
}

// A server that takes attempts and answers none must lose its traffic before the hard stop tells.
func TestSilentServerLosesTraffic(t *testing.T) {
	w := plain(t, 1, 8, nil)
	hung, late := 3, 0
	for n := range 600 {
		i := w.ask([]Effect{Safe, NonIdempotent}[n%2], w.b.chance.next(), 3*second)
		w.step(10 * ms)
		for attempt := range w.asked[i].attempts {
			if w.asked[i].attempts[attempt].server != hung {
				w.answer(i, attempt, OK)
			} else if n > 300 {
				late++
			}
		}
	}
	if late > 6 {
		t.Fatalf("%d of 300 attempts went to a silent server", late)
	}
	if w.sends[hung] == 0 {
		t.Fatal("the silent server was never tried")
	}
}

// Guards requests against an attempt that falls silent: a copy goes elsewhere, once, where the rules allow one.
func TestSilentTripGetsACopy(t *testing.T) {
	for _, c := range []struct {
		effect   Effect
		copies   bool
		attempts int
	}{{Safe, true, 2}, {Idempotent, true, 2}, {NonIdempotent, true, 1}, {Safe, false, 1}} {
		w := plain(t, 1, 8, map[string]any{"allowed.secondCopies": c.copies})
		for range 50 {
			i := w.ask(Safe, w.b.chance.next(), second)
			w.step(20 * ms)
			w.answer(i, 0, OK)
		}
		i := w.ask(c.effect, 7, 1500*ms)
		if w.step(290 * ms); len(w.asked[i].attempts) != 1 {
			t.Fatalf("%d attempts before half of the expected time", len(w.asked[i].attempts))
		}
		if w.step(20 * ms); len(w.asked[i].attempts) != c.attempts {
			t.Fatalf("%+v: %d attempts after it", c, len(w.asked[i].attempts))
		}
		if c.attempts == 2 && w.asked[i].attempts[0].server == w.asked[i].attempts[1].server {
			t.Fatal("the copy goes to the same server")
		}
	}
}

// Guards a new server against what was seen of the one that had its place.
func TestForgottenPlaceIsClean(t *testing.T) {
	w := plain(t, 1, 2, nil)
	for range 50 {
		w.step(20 * ms)
		w.answer(w.ask(Safe, w.b.chance.next(), second), 0, Errored)
	}
	hash := w.b.servers[1].hash
	w.list(Whole, 2, func(s int) (Health, int64) { return []Health{Ready, Gone}[s], 0 })
	w.b.Forget(1)
	w.b.Listing(w.now, Incremental)
	w.b.Row(w.now, 1, "10.0.9.9:80", Ready, w.now, 0, 0, 0, 0)
	w.b.Listed(w.now)
	if h := w.b.servers[1]; h.hash == hash || h.bad.Value != 0 || h.sent.Value != 0 || h.credit != 1 || len(w.b.ready) != 2 {
		t.Fatalf("%+v", h)
	}
}

func TestQuickErrorsRaiseDoubt(t *testing.T) {
	w := plain(t, 1, 8, nil)
	for range 300 {
		i := w.ask(NonIdempotent, w.b.chance.next(), second)
		w.step(5 * ms)
		if how := OK; len(w.asked[i].attempts) > 0 {
			if w.asked[i].attempts[0].server == 3 {
				how = Errored
			}
			w.answer(i, 0, how)
		}
	}
	if w.sends[3] > 20 {
		t.Fatalf("a server that only fails got %d of 300", w.sends[3])
	}
}

// Guards against queues that stay full of work nobody wants.
// Guards a fleet with hosts out and others cold, which needs what the cold ones can do, and hosts that are full already.
func TestAnswersMakeRoomAndBusyOnesTakeIt(t *testing.T) {
	w := plain(t, 1, 0, nil)
	sized(w, 20, 0, func(int) float64 { return 0 })
	for range 400 {
		i := w.ask(Safe, w.b.chance.next(), second)
		w.step(5 * ms)
		w.answer(i, 0, OK)
	}
	room := func(good, busy float64) float64 {
		h := &w.b.servers[0]
		h.started, h.room, h.roomAt = w.now-second, 0, w.now-second/8
		h.good, h.bad, h.busy = sum{Value: good, UpdatedAt: w.b.seen}, sum{Value: 0, UpdatedAt: w.b.seen}, sum{Value: busy, UpdatedAt: w.b.seen}
		return w.b.coldRoom(w.now, 0)
	}
	if fresh, proven, full := room(0, 0), room(1000, 0), room(30, 30); proven < 2.5*fresh || proven > 3*fresh || full > 1.3*fresh {
		t.Errorf("room of %g for a new one, %g for one that settles all, %g for one that is full", fresh, proven, full)
	}
	r := &request{write: true}
	for w.b.out = 0; !w.b.crowded(w.now, r); w.b.out++ {
	}
	before := w.b.out
	w.b.all.busy.Add(w.b.seen, w.b.all.answered.ValueAt(w.b.seen))
	for w.b.out = 0; !w.b.crowded(w.now, r); w.b.out++ {
	}
	if w.b.out > before*2/3 {
		t.Errorf("room for %d while half is turned away, for %d before", w.b.out, before)
	}
}

// Guards other requests, and the client: a value that has begun crowds no server, gets no copy and is not cancelled.
func TestWhatHasBegunIsTheClients(t *testing.T) {
	w := plain(t, 1, 2, map[string]any{"allowed.secondCopies": true, "allowed.cancelling": true})
	i := w.ask(Safe, 1, 3*second)
	s := w.asked[i].attempts[0].server
	w.b.send(w.now, i, 1-s) // A copy.
	w.b.Started(w.now, i, 0)
	if w.b.out != 1 || w.b.servers[s].out != 0 {
		t.Fatalf("%d in flight, %d at the server", w.b.out, w.b.servers[s].out)
	}
	w.asked[i].stop = w.now + 20*second
	w.step(10 * second) // No copy comes due.
	w.answer(i, 1, Reset)
	w.answer(i, 0, OK)
	if len(w.asked[i].attempts) != 2 || w.b.out != 0 || w.b.servers[0].out+w.b.servers[1].out != 0 || w.offCalled != 0 || len(w.b.live) != 0 {
		t.Fatalf("%d in flight, %d cancelled", w.b.out, w.offCalled)
	}
}

func TestCrowdedFleetDismissesAtOnce(t *testing.T) {
	w := plain(t, 1, 8, nil)
	for range 400 {
		w.ask(Safe, w.b.chance.next(), 3*second)
		w.step(ms)
	}
	if w.rejected < 300 {
		t.Fatalf("only %d of 400 rejected while nothing answers", w.rejected)
	}
}

func TestOneShotThatMayHaveRunIsGivenUpAtOnce(t *testing.T) {
	w := plain(t, 1, 8, nil)
	w.answer(w.ask(NonIdempotent, 5, second), 0, Reset)
	if w.givenUp != 1 {
		t.Fatal("held, though nothing more may be done for it")
	}
}

func TestNothingToSendTo(t *testing.T) {
	w := plain(t, 1, 0, nil)
	w.ask(NonIdempotent, 5, second)
	if w.rejected != 1 {
		t.Fatal("an empty list must reject at once")
	}
}

func TestFailedListsSpreadGrowingWaits(t *testing.T) {
	w := plain(t, 1, 3, nil)
	for n := range 4 {
		w.b.Listing(w.now, Failed)
		w.b.Listed(w.now)
		w.step(8 * second)
		if w.subscribe != n+2 {
			t.Fatalf("asked %d times after %d failures", w.subscribe, n+1)
		}
	}
}

// However often the list has failed, the next call comes within 3 s: a change counts as told 6 s after discovery could be reached.
func TestFailedListsAreLookedForWithinHalfTheTerm(t *testing.T) {
	for seed := range uint64(20) {
		w := plain(t, seed, 3, map[string]any{"invariants.askEvery": 10000.0})
		for n := range 12 {
			w.b.Listing(w.now, Failed)
			w.b.Listed(w.now)
			w.step(3 * second)
			if w.subscribe != n+2 {
				t.Fatalf("seed %d: asked %d times after %d failures", seed, w.subscribe, n+1)
			}
		}
	}
}

// Where lists are pushed, what the agent has counts as told whether it is heard or not: however often a watch has failed, the
// next look comes well within the grace of a drain.
func TestPushedListsAreLookedForWithinTheGrace(t *testing.T) {
	const grace = 2500
	w := plain(t, 1, 3, map[string]any{"registryMode": "automatic", "invariants.askEvery": 10000.0, "invariants.drainGrace": float64(grace)})
	for n := range 12 {
		w.b.Listing(w.now, Failed)
		w.b.Listed(w.now)
		w.step(grace / 5 * ms)
		if w.subscribe != n+1 {
			t.Fatalf("asked %d times after %d failures", w.subscribe, n+1)
		}
	}
}

// A repeated attempt arrives as late as its connection may take to come up and the process may be held up, and has to arrive while hosts remember.
func TestStampedRepeatsArriveWhileHostsRemember(t *testing.T) {
	again := 0
	for after := range int64(90) {
		w := plain(t, 1, 6, map[string]any{"allowed.dialTimeout": 200.0})
		i := w.ask(Idempotent, 5, 3*second)
		w.step(after * 10 * ms)
		w.answer(i, 0, Errored) // The helper looks at each send.
		again += len(w.asked[i].attempts) - 1
	}
	if again < 50 {
		t.Fatalf("only %d of 90 are repeated", again)
	}
}

// Aside: one fetch a key; the read that waited goes to the cache that now holds it; writes go to the origin.
func TestAsideFetchesOnce(t *testing.T) {
	w := plain(t, 1, 0, map[string]any{"extra.mode": "aside", "extra.originKind": 1.0})
	w.b.Listing(w.now, Whole)
	for s := range 5 {
		w.healths[s] = Ready
		w.b.Row(w.now, s, string(rune('a'+s)), Ready, 0, s/4, 0, 0, 0)
	}
	w.b.Listed(w.now)
	a, b := w.ask(Safe, 9, second), w.ask(Safe, 9, second)
	w.answer(a, 0, Missing)
	w.answer(b, 0, Missing)
	if w.sends[4] != 1 || len(w.asked[b].attempts) != 1 {
		t.Fatal("two reads of one key must fetch once")
	}
	first := w.asked[a].attempts[0].server
	w.answer(a, 1, OK)
	if got := w.asked[b].attempts; len(got) != 2 || got[1].server != first {
		t.Fatal("the waiting read must go to the cache that holds the key now")
	}
	w.answer(w.ask(Safe, 8, second), 0, Missing)
	w.answer(w.ask(Safe, 8, second/5), 0, Missing)
	w.step(second) // The fetch hangs: the read that waits must have its answer in time all the same.
	if c := w.ask(Idempotent, 9, second); w.asked[c].attempts[0].server != 4 {
		t.Fatal("a write goes to the origin")
	}
}

// A slow kind must lose traffic in a view so thin that no server is known by itself.
func TestSlowKindIsKnownByItsKind(t *testing.T) {
	w := plain(t, 1, 0, map[string]any{"balancers": 300.0})
	if slow := slowTrips(w, 90, 60*ms, 240*ms); slow > 75 {
		t.Fatalf("a kind five times slower got %d of 300 attempts", slow)
	}
}

// slowTrips is how many of 300 attempts go to the caches of odd number, all of one kind, which take longer by so much; the 91st, if there is
// one, is the origin.
func slowTrips(w *watcher, servers int, each, longer int64) (slow int) {
	w.b.Listing(w.now, Whole)
	for s := range servers {
		w.healths[s] = Ready
		w.b.Row(w.now, s, string(rune('a'+s)), Ready, 0, s%2+s/90*2, 0, 0, 0)
	}
	w.b.Listed(w.now)
	for range 300 {
		i := w.ask(Safe, w.b.chance.next(), second)
		if s := w.asked[i].attempts[0].server; s%2 == 1 {
			slow++
			w.step(longer)
		}
		w.step(each)
		w.answer(i, 0, OK)
		w.step(150 * ms)
	}
	return slow
}

// Aside, a kind that is somewhat slower keeps its keys: they would be fetched for others.
func TestSlowKindKeepsItsKeysAside(t *testing.T) {
	w := plain(t, 1, 0, map[string]any{"extra.mode": "aside", "extra.originKind": 2.0, "balancers": 300.0})
	if slow := slowTrips(w, 91, 50*ms, 50*ms); slow < 100 {
		t.Errorf("a kind that takes twice as long got %d of 300 attempts", slow)
	}
}

// FuzzFleet plays forty balancers before twenty caches, one of which comes back cold, and an origin that turns slow.
// All are restarted in turn. Together they must stay within the cold budget, and leave the slow origin in peace.
func FuzzFleet(f *testing.F) {
	for seed := range uint64(3) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		const fleet, caches, perStep = 40, 20, 4 // 200 requests a second
		c := chance{seed + 1, 7}
		started := int64(1 << 62)
		begin := func(i int, now int64) *watcher {
			w := plain(t, seed*fleet+uint64(i), 0, map[string]any{"balancers": float64(fleet),
				"extra.mode": "aside", "extra.originKind": 1.0, "workloads.0.expectedTime": 500.0})
			w.now, w.b = now, New(now, c.next(), w.values, w)
			return w
		}
		list := func(w *watcher) {
			w.b.Listing(w.now, Whole)
			for s := range caches + 1 {
				w.healths[s] = Ready
				at := int64(0)
				if s == 0 && w.now >= started {
					at = started
				}
				w.b.Row(w.now, s, string(rune('a'+s)), Ready, at, s/caches, 0, 0, 0)
			}
			w.b.Listed(w.now)
		}
		var ws [fleet]*watcher
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
				w := ws[c.below(fleet)]
				w.ask(Safe, c.next(), second)
			}
			out := 0
			for _, w := range ws {
				for i := max(0, len(w.asked)-30); i < len(w.asked); i++ {
					for attempt := 0; attempt < len(w.asked[i].attempts); attempt++ {
						x := w.asked[i].attempts[attempt]
						switch {
						case !x.out:
						case x.server == caches && slow: // it answers nothing any more
							out++
						case x.server == caches:
							w.answer(i, attempt, OK)
						default:
							if x.server == 0 && started <= x.at {
								cold = append(cold, x.at)
							}
							w.answer(i, attempt, Missing)
						}
					}
				}
				w.step(20 * ms)
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
