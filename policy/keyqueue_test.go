package policy

import "testing"

// keyOrderSettings has class 0 go in order, with a rest of 50 ms after an attempt that may still run.
var keyOrderSettings = map[string]any{"workloads.0.keepOrder": true, "invariants.orderSettle": 50.0}

// Writes of one key must happen in the order in which they came, and an attempt that timed out, was cancelled or broke may still run at its endpoint. However the first of a
// key ends, the second waits for its outcome, and for as long as the key rests, no longer.
func TestKeyOrderWaitsForOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		end    func(w *harness, i int)
		settle int64
	}{
		"settled":   {func(w *harness, i int) { w.endAttempt(i, 0, OK) }, 0},
		"timed out": {func(w *harness, i int) { w.advance(400 * ms) }, 50 * ms},
		"rejected": {func(w *harness, i int) {
			for attempt := 0; w.requests[i].isOpen; w.advance(ms) {
				for ; attempt < len(w.requests[i].attempts); attempt++ {
					w.endAttempt(i, attempt, Rejected)
				}
			}
		}, 0},
		"cancelled":      {func(w *harness, i int) { cancelRequest(w, i); w.endAttempt(i, 0, Cancelled) }, 50 * ms},
		"reset":          {func(w *harness, i int) { cancelRequest(w, i); w.endAttempt(i, 0, Reset) }, 50 * ms},
		"client is gone": {func(w *harness, i int) { cancelRequest(w, i); w.advance(30 * ms); w.endAttempt(i, 0, OK) }, 0},
	} {
		w := newHarness(t, 1, 6, keyOrderSettings)
		first := w.request(Safe, 7, 400*ms)
		second, third := w.request(Safe, 7, 5*second), w.request(Safe, 7, 5*second)
		if len(w.requests[second].attempts) > 0 {
			t.Fatalf("%s: the second did not wait", name)
		}
		c.end(w, first)
		if c.settle > 0 {
			w.advance(c.settle - 2*ms)
			if len(w.requests[second].attempts) > 0 {
				t.Fatalf("%s: the key did not rest", name)
			}
			w.advance(3 * ms)
		}
		if len(w.requests[second].attempts) != 1 || len(w.requests[third].attempts) > 0 {
			t.Fatalf("%s: %d attempts of the second, %d of the third", name, len(w.requests[second].attempts), len(w.requests[third].attempts))
		}
	}
}

// cancelRequest has a request's client go.
func cancelRequest(w *harness, i int) {
	w.requests[i].isOpen = false
	w.balancer.HandleClientCancelled(w.now, i)
}

// A thousand requests of one key come at once. Its queue is bounded, what exceeds it is rejected at once, and no other key waits for it.
func TestQueueLengthIsBounded(t *testing.T) {
	w := newHarness(t, 1, 6, keyOrderSettings)
	for range 1000 {
		w.request(Safe, 7, 5*second)
	}
	if w.rejected != 1000-1-maxQueueLength {
		t.Errorf("%d of 1000 rejected, the line holds %d", w.rejected, maxQueueLength)
	}
	if other := w.request(Safe, 8, 5*second); len(w.requests[other].attempts) != 1 {
		t.Error("another key waits for this one's line")
	}
	for i := range w.requests { // Each in turn; the watcher looks at the order.
		if w.requests[i].isOpen {
			w.endAttempt(i, 0, OK)
		}
	}
	if len(w.balancer.keyQueues[keyQueueID{7, true}].waiting) > 0 {
		t.Error("some never had their turn")
	}
}

// A key's turns take long, and a request's own would come after its deadline. It is rejected at once, while its client can still try elsewhere.
func TestQueueRejectsTurnTooLate(t *testing.T) {
	w := newHarness(t, 1, 6, keyOrderSettings)
	for range 3 { // A turn is known to take 300 ms.
		i := w.request(Safe, 7, 5*second)
		w.advance(300 * ms)
		w.endAttempt(i, 0, OK)
	}
	for range 4 {
		w.request(Safe, 7, 5*second)
	}
	if w.request(Safe, 7, 500*ms); w.rejected != 1 || w.failed != 0 {
		t.Error("it waits for a turn that comes after its hard stop")
	}
}

// A lock behind all endpoints holds up one key: its attempts fail wherever they go, and each that waits there takes capacity from other keys and makes an endpoint look
// bad. The key goes one at a time, other keys do not, no endpoint is blamed, and with timely answers it gets its concurrency back.
func TestThrottledKeyHoldsUpNoOther(t *testing.T) {
	w := newHarness(t, 1, 6, map[string]any{"allowed.mostTrips": 1.0})
	all := func(key uint64, how Outcome) {
		for i := range w.requests {
			for attempt := range w.requests[i].attempts {
				if w.requests[i].key == key {
					w.endAttempt(i, attempt, how)
				}
			}
		}
	}
	out := func(key uint64) (n int) {
		for range 20 {
			i := w.request(Safe, key, second)
			n += len(w.requests[i].attempts)
		}
		return n
	}
	for other := range uint64(200) {
		w.request(Safe, 100+other, second)
		w.advance(20 * ms)
		all(100+other, OK)
		if other%5 == 0 {
			w.request(Safe, 7, second)
			all(7, Errored)
		}
	}
	if n := out(7); n > 1 {
		t.Errorf("%d attempts at once for a key that is held up", n)
	}
	if n := out(8); n < 8 {
		t.Errorf("%d attempts at once for another key", n)
	}
	if bad := w.balancer.outcomes.failures.ValueAt(w.balancer.clock.evidence); bad > 4 {
		t.Errorf("servers are blamed %.1f times for what holds up a key", bad)
	}
	all(8, OK)
	for range 60 {
		all(7, OK)
		w.advance(50 * ms)
		w.request(Safe, 7, second)
	}
	if all(7, OK); out(7) < 4 {
		t.Error("a key that is well again is held")
	}
}
