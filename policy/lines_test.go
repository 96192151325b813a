package policy

import "testing"

var inOrder = map[string]any{"workloads.0.keepOrder": true, "invariants.orderSettle": 50.0}

// However the first of a key ends, the second waits for that and for as long as the key rests, no longer.
func TestOrder(t *testing.T) {
	for name, c := range map[string]struct {
		end    func(w *watcher, i int)
		settle int64
	}{
		"settled":   {func(w *watcher, i int) { w.answer(i, 0, OK) }, 0},
		"timed out": {func(w *watcher, i int) { w.step(400 * ms) }, 50 * ms},
		"rejected": {func(w *watcher, i int) {
			for attempt := 0; w.asked[i].live; w.step(ms) {
				for ; attempt < len(w.asked[i].attempts); attempt++ {
					w.answer(i, attempt, Full)
				}
			}
		}, 0},
		"cancelled":      {func(w *watcher, i int) { leave(w, i); w.answer(i, 0, Cancelled) }, 50 * ms},
		"reset":          {func(w *watcher, i int) { leave(w, i); w.answer(i, 0, Reset) }, 50 * ms},
		"client is gone": {func(w *watcher, i int) { leave(w, i); w.step(30 * ms); w.answer(i, 0, OK) }, 0},
	} {
		w := plain(t, 1, 6, inOrder)
		first := w.ask(Safe, 7, 400*ms)
		second, third := w.ask(Safe, 7, 5*second), w.ask(Safe, 7, 5*second)
		if len(w.asked[second].attempts) > 0 {
			t.Fatalf("%s: the second did not wait", name)
		}
		c.end(w, first)
		if c.settle > 0 {
			w.step(c.settle - 2*ms)
			if len(w.asked[second].attempts) > 0 {
				t.Fatalf("%s: the key did not rest", name)
			}
			w.step(3 * ms)
		}
		if len(w.asked[second].attempts) != 1 || len(w.asked[third].attempts) > 0 {
			t.Fatalf("%s: %d attempts of the second, %d of the third", name, len(w.asked[second].attempts), len(w.asked[third].attempts))
		}
	}
}

func leave(w *watcher, i int) {
	w.asked[i].live = false
	w.b.Aborted(w.now, i)
}

// A line has a bound, which is answered at once, and delays no other key.
func TestLineBound(t *testing.T) {
	w := plain(t, 1, 6, inOrder)
	for range 1000 {
		w.ask(Safe, 7, 5*second)
	}
	if w.rejected != 1000-1-maxWaiting {
		t.Errorf("%d of 1000 rejected, the line holds %d", w.rejected, maxWaiting)
	}
	if other := w.ask(Safe, 8, 5*second); len(w.asked[other].attempts) != 1 {
		t.Error("another key waits for this one's line")
	}
	for i := range w.asked { // Each in turn; the watcher looks at the order.
		if w.asked[i].live {
			w.answer(i, 0, OK)
		}
	}
	if len(w.b.lines[lineKey{7, true}].waiting) > 0 {
		t.Error("some never had their turn")
	}
}

// Whose turn would come too late is answered at once.
func TestTurnTooLate(t *testing.T) {
	w := plain(t, 1, 6, inOrder)
	for range 3 { // A turn is known to take 300 ms.
		i := w.ask(Safe, 7, 5*second)
		w.step(300 * ms)
		w.answer(i, 0, OK)
	}
	for range 4 {
		w.ask(Safe, 7, 5*second)
	}
	if w.ask(Safe, 7, 500*ms); w.rejected != 1 || w.givenUp != 0 {
		t.Error("it waits for a turn that comes after its hard stop")
	}
}

// Clocks differ: what is told of a client's patience can be short by all that it has. Nothing is lost for that, and
// nothing is held for longer than an answer counts (step looks at it).
func TestClocksDiffer(t *testing.T) {
	for _, told := range []int64{1100, 300, 0, -900} {
		w := plain(t, 1, 6, map[string]any{"invariants.deadlineDrift": 2000.0})
		w.skew = (told - 1100) * ms
		i := w.ask(Safe, 7, 1100*ms)
		w.step(300 * ms)
		if len(w.asked[i].attempts) == 0 {
			t.Fatalf("told %d: no attempt", told)
		}
		w.answer(i, 0, Unreached)
		if w.step(40 * ms); len(w.asked[i].attempts) != 2 {
			t.Fatalf("told %d: no further attempt", told)
		}
		w.step(5 * second)
	}
}

// A start's stamp may be off either way: a server that has just come is cold for all of its warm-up.
func TestStampsOff(t *testing.T) {
	for _, off := range []int64{-9 * second, 0, 9 * second} {
		w := plain(t, 1, 3, map[string]any{"invariants.bootStampError": 9000.0})
		w.now += 60 * second
		told := w.now
		w.list(Whole, 3, func(s int) (Health, int64) {
			if s == 0 {
				return Ready, told + off
			}
			return Ready, 0
		})
		w.now += 8*second - ms
		if !w.b.cold(w.now, 0) {
			t.Errorf("stamped off by %d s: taken for warm too soon", off/second)
		}
		if w.now += 2 * ms; w.b.cold(w.now, 0) {
			t.Errorf("stamped off by %d s: still cold after its warm-up", off/second)
		}
	}
}

// Where only draining binds, a server that is listed as gone may be used, one that drained only once it is ready again.
func TestGoneMayBeUsed(t *testing.T) {
	for _, binds := range []bool{true, false} {
		w := plain(t, 1, 2, map[string]any{"invariants.onlyDrainingBinds": binds})
		show := func(zero Health) { w.list(Whole, 1, func(int) (Health, int64) { return zero, 0 }) }
		uses := func() bool { // Server 1 is left out of the list, and does not answer.
			for range 300 {
				i := w.ask(Safe, w.b.chance.next(), second)
				for t := range w.asked[i].attempts {
					w.answer(i, t, []Outcome{OK, Unreached}[w.asked[i].attempts[t].server])
				}
				w.step(10 * ms)
			}
			used := w.sends[0] > 0
			clear(w.sends)
			return used
		}
		w.healths[1] = Gone
		if show(Gone); uses() != binds {
			t.Errorf("only draining binds %v: a server listed as gone", binds)
		}
		show(Draining)
		if show(Gone); uses() { // The watcher would say so, too.
			t.Errorf("only draining binds %v: a server that drained and is gone is used", binds)
		}
		if show(Ready); !uses() {
			t.Errorf("only draining binds %v: a server that is ready again is not used", binds)
		}
	}
}

// A key that fails wherever it goes while others are settled takes turns, holds up no other, and is no server's fault;
// it gets its room back with its answers.
func TestKeyHeldUp(t *testing.T) {
	w := plain(t, 1, 6, map[string]any{"allowed.mostTrips": 1.0})
	all := func(key uint64, how Outcome) {
		for i := range w.asked {
			for attempt := range w.asked[i].attempts {
				if w.asked[i].key == key {
					w.answer(i, attempt, how)
				}
			}
		}
	}
	out := func(key uint64) (n int) {
		for range 20 {
			i := w.ask(Safe, key, second)
			n += len(w.asked[i].attempts)
		}
		return n
	}
	for other := range uint64(200) {
		w.ask(Safe, 100+other, second)
		w.step(20 * ms)
		all(100+other, OK)
		if other%5 == 0 {
			w.ask(Safe, 7, second)
			all(7, Errored)
		}
	}
	if n := out(7); n > 1 {
		t.Errorf("%d attempts at once for a key that is held up", n)
	}
	if n := out(8); n < 8 {
		t.Errorf("%d attempts at once for another key", n)
	}
	if bad := w.b.bad.ValueAt(w.b.seen); bad > 4 {
		t.Errorf("servers are blamed %.1f times for what holds up a key", bad)
	}
	all(8, OK)
	for range 60 {
		all(7, OK)
		w.step(50 * ms)
		w.ask(Safe, 7, second)
	}
	if all(7, OK); out(7) < 4 {
		t.Error("a key that is well again is held")
	}
}

// A server whose attempts break and that takes no connection then has restarted: it is cold before the list tells, and all
// are given less for a while. Broken attempts alone tell neither.
func TestRestartSeen(t *testing.T) {
	w := plain(t, 1, 1, map[string]any{"allowed.mostTrips": 1.0})
	ends := func(how Outcome) { w.answer(w.ask(Safe, 1, second), 0, how) }
	w.step(5 * second)
	if ends(Reset); w.b.cold(w.now, 0) || w.b.bears < 1 {
		t.Error("a broken attempt is taken for a restart")
	}
	if ends(OK); w.b.servers[0].broke > 0 {
		t.Error("it answered, and is still taken for broken")
	}
	if ends(Unreached); w.b.cold(w.now, 0) {
		t.Error("a failed connect is taken for a restart")
	}
	ends(OK)
	ends(Reset)
	if ends(Unreached); w.b.cold(w.now, 0) || w.b.bears < 1 {
		t.Error("a broken attempt and one that is cut short on its way are taken for a restart")
	}
	if ends(Unreached); !w.b.cold(w.now, 0) || w.b.bears > 0.9 {
		t.Error("a restart is not seen")
	}
	w.step(60 * second)
	if w.b.passes(w.now); w.b.bears < 1 {
		t.Error("what all bear does not come back")
	}
}

// Where buffers for answers are few, an attempt ends when an answer has no value left: a slow reader keeps one no longer.
func TestFewBuffers(t *testing.T) {
	for buffers, want := range map[float64]int64{0: 5 * second, 4: 600 * ms} {
		w := plain(t, 1, 3, map[string]any{"allowed.outBuffers": buffers, "workloads.0.tardyValue": 0.0})
		if i := w.ask(Safe, 1, 5*second); w.asked[i].attempts[0].until != w.now+want {
			t.Errorf("%v buffers: the attempt ends after %d ms", buffers, (w.asked[i].attempts[0].until-w.now)/ms)
		}
	}
}
