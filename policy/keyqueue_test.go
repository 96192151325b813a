package policy

import "testing"

// keyOrderSettings has class 0 go in order, with a rest of 50 ms after an attempt that may still run.
var keyOrderSettings = map[string]any{"workloads.0.keepOrder": true, "invariants.orderSettle": 50.0}

// Writes of one key must happen in the order in which they came, and an attempt that timed out, was cancelled or broke
// may still run at its endpoint. However the first of a key ends, the second waits for its outcome, and for as long as
// the key rests, no longer.
func TestKeyOrderWaitsForOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(h *harness, i int)
		rest int64
	}{
		"answered":  {func(h *harness, i int) { h.endAttempt(i, 0, OK) }, 0},
		"timed out": {func(h *harness, i int) { h.advance(400 * ms) }, 50 * ms},
		"rejected": {func(h *harness, i int) {
			for attempt := 0; h.requests[i].isOpen; h.advance(ms) {
				for ; attempt < len(h.requests[i].attempts); attempt++ {
					h.endAttempt(i, attempt, Rejected)
				}
			}
		}, 0},
		"cancelled":      {func(h *harness, i int) { cancelRequest(h, i); h.endAttempt(i, 0, Cancelled) }, 50 * ms},
		"reset":          {func(h *harness, i int) { cancelRequest(h, i); h.endAttempt(i, 0, Reset) }, 50 * ms},
		"client is gone": {func(h *harness, i int) { cancelRequest(h, i); h.advance(30 * ms); h.endAttempt(i, 0, OK) }, 0},
	} {
		h := newHarness(t, 1, 6, keyOrderSettings)
		first := h.request(Safe, 7, 400*ms)
		second, third := h.request(Safe, 7, 5*second), h.request(Safe, 7, 5*second)
		if len(h.requests[second].attempts) > 0 {
			t.Fatalf("%s: the second did not wait", name)
		}
		c.end(h, first)
		if c.rest > 0 {
			h.advance(c.rest - 2*ms)
			if len(h.requests[second].attempts) > 0 {
				t.Fatalf("%s: the key did not rest", name)
			}
			h.advance(3 * ms)
		}
		if len(h.requests[second].attempts) != 1 || len(h.requests[third].attempts) > 0 {
			t.Fatalf("%s: %d attempts of the second, %d of the third", name, len(h.requests[second].attempts), len(h.requests[third].attempts))
		}
	}
}

// cancelRequest has a request's client go.
func cancelRequest(h *harness, i int) {
	h.requests[i].isOpen = false
	h.balancer.HandleClientCancelled(h.now, i)
}

// A thousand requests of one key come at once. Its queue is bounded, what exceeds it is rejected at once, and no other
// key waits for it.
func TestQueueLengthIsBounded(t *testing.T) {
	h := newHarness(t, 1, 6, keyOrderSettings)
	for range 1000 {
		h.request(Safe, 7, 5*second)
	}
	if h.rejected != 1000-1-maxQueueLength {
		t.Errorf("%d of 1000 rejected, the queue holds %d", h.rejected, maxQueueLength)
	}
	if other := h.request(Safe, 8, 5*second); len(h.requests[other].attempts) != 1 {
		t.Error("another key waits for this one's queue")
	}
	for i := range h.requests { // Each in turn; the harness looks at the order.
		if h.requests[i].isOpen {
			h.endAttempt(i, 0, OK)
		}
	}
	if len(h.balancer.keyQueues[keyQueueID{7, true}].waiting) > 0 {
		t.Error("some were never dequeued")
	}
}

// A key's turns take long, and a request's own would come after its deadline. It is rejected at once, while its client
// can still try elsewhere.
func TestQueueRejectsTurnTooLate(t *testing.T) {
	h := newHarness(t, 1, 6, keyOrderSettings)
	for range 3 { // A turn is known to take 300 ms.
		i := h.request(Safe, 7, 5*second)
		h.advance(300 * ms)
		h.endAttempt(i, 0, OK)
	}
	for range 4 {
		h.request(Safe, 7, 5*second)
	}
	if h.request(Safe, 7, 500*ms); h.rejected != 1 || h.failed != 0 {
		t.Error("it waits for a turn that comes after its deadline")
	}
}

// A lock behind all endpoints holds up one key: its attempts fail wherever they go, and each that waits there takes
// capacity from other keys and makes an endpoint look bad. The key goes one at a time, other keys do not, no endpoint
// is blamed, and with timely answers it gets its concurrency back.
func TestThrottledKeyHoldsUpNoOther(t *testing.T) {
	h := newHarness(t, 1, 6, map[string]any{"allowed.mostTrips": 1.0})
	endAll := func(key uint64, outcome Outcome) {
		for i := range h.requests {
			for attempt := range h.requests[i].attempts {
				if h.requests[i].key == key {
					h.endAttempt(i, attempt, outcome)
				}
			}
		}
	}
	concurrency := func(key uint64) (n int) {
		for range 20 {
			i := h.request(Safe, key, second)
			n += len(h.requests[i].attempts)
		}
		return n
	}
	for other := range uint64(200) {
		h.request(Safe, 100+other, second)
		h.advance(20 * ms)
		endAll(100+other, OK)
		if other%5 == 0 {
			h.request(Safe, 7, second)
			endAll(7, Errored)
		}
	}
	if n := concurrency(7); n > 1 {
		t.Errorf("%d attempts at once for a key that is throttled", n)
	}
	if n := concurrency(8); n < 8 {
		t.Errorf("%d attempts at once for another key", n)
	}
	if failures := h.balancer.outcomes.failures.ValueAt(h.balancer.clock.evidence); failures > 4 {
		t.Errorf("endpoints are blamed %.1f times for what holds up a key", failures)
	}
	endAll(8, OK)
	for range 60 {
		endAll(7, OK)
		h.advance(50 * ms)
		h.request(Safe, 7, second)
	}
	if endAll(7, OK); concurrency(7) < 4 {
		t.Error("a key that recovered is throttled")
	}
}

// Each turn of a key takes long. A request that comes now is told a turn after those of all that are ahead of it, as
// many at a time as the key's concurrency, and not before the key has rested.
func TestExpectedTurnCountsThoseAhead(t *testing.T) {
	for _, c := range []struct {
		name  string
		queue keyQueue
		want  int64
	}{
		{"nobody ahead", keyQueue{concurrency: 1, meanTurn: float64(30 * ms)}, second},
		{"the key rests", keyQueue{concurrency: 1, restsUntil: second + 5*ms}, second + 5*ms},
		{"three ahead", keyQueue{waiting: []int{1, 2}, active: 1, concurrency: 1, meanTurn: float64(30 * ms)}, second + 90*ms},
		{"two at a time", keyQueue{waiting: []int{1, 2}, active: 2, concurrency: 2, meanTurn: float64(30 * ms)}, second + 60*ms},
		{"a key that rests between turns", keyQueue{waiting: []int{1}, concurrency: 0.5, meanTurn: float64(30 * ms)}, second + 60*ms},
	} {
		if got := c.queue.expectedTurn(second); got != c.want {
			t.Errorf("%s: a turn after %d ms, not %d ms", c.name, (got-second)/ms, (c.want-second)/ms)
		}
	}
}

// Queues of keys that come once would pile up. One is idle, and may go, once nobody waits, nothing is active and the
// key has rested.
func TestQueueIsIdleOnceItsKeyHasRested(t *testing.T) {
	for _, c := range []struct {
		queue keyQueue
		want  bool
	}{
		{keyQueue{}, true},
		{keyQueue{restsUntil: second}, true},
		{keyQueue{restsUntil: second + 1}, false},
		{keyQueue{active: 1}, false},
		{keyQueue{waiting: []int{3}}, false},
	} {
		if got := c.queue.isIdle(second); got != c.want {
			t.Errorf("%+v: idle %t", c.queue, got)
		}
	}
}
