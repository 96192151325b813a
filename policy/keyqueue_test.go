package policy

import "testing"

// keyOrderSettings make class 0 keep order, with a pause of 50 ms after an attempt that may still run.
var keyOrderSettings = map[string]any{"workloads.0.keepOrder": true, "invariants.orderSettle": 50.0}

// Writes of one key must run in order of arrival, and an attempt that timed out, was cancelled or reset may still run at
// its endpoint. However the first request of a key ends, the second must wait until the outcome of its attempt is known
// and the pause of the queue is over, but no longer.
func TestKeyOrderWaitsForOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		end   func(h *harness, i int)
		pause int64
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
		"client left, attempt cancelled": {func(h *harness, i int) { cancelRequest(h, i); h.endAttempt(i, 0, Cancelled) }, 50 * ms},
		"client left, attempt reset":     {func(h *harness, i int) { cancelRequest(h, i); h.endAttempt(i, 0, Reset) }, 50 * ms},
		"client left, attempt answered":  {func(h *harness, i int) { cancelRequest(h, i); h.advance(30 * ms); h.endAttempt(i, 0, OK) }, 0},
	} {
		h := newHarness(t, 1, 6, keyOrderSettings)
		first := h.request(Safe, 7, 400*ms)
		second, third := h.request(Safe, 7, 5*second), h.request(Safe, 7, 5*second)
		if len(h.requests[second].attempts) > 0 {
			t.Fatalf("%s: the second request did not wait for the first", name)
		}
		c.end(h, first)
		if c.pause > 0 {
			h.advance(c.pause - 2*ms)
			if len(h.requests[second].attempts) > 0 {
				t.Fatalf("%s: the second request was sent during the pause of the queue", name)
			}
			h.advance(3 * ms)
		}
		if len(h.requests[second].attempts) != 1 || len(h.requests[third].attempts) > 0 {
			t.Fatalf("%s: %d attempts for the second request, %d for the third; want 1 and 0", name, len(h.requests[second].attempts), len(h.requests[third].attempts))
		}
	}
}

// cancelRequest reports that the client of a request has left.
func cancelRequest(h *harness, i int) {
	h.requests[i].isOpen = false
	h.balancer.HandleClientCancelled(h.now, i)
}

// A thousand requests of one key arrive at the same time. Its queue must be bounded, requests beyond the bound rejected
// at once, and other keys unaffected.
func TestQueueLengthIsBounded(t *testing.T) {
	h := newHarness(t, 1, 6, keyOrderSettings)
	for range 1000 {
		h.request(Safe, 7, 5*second)
	}
	if h.rejected != 1000-1-maxQueueLength {
		t.Errorf("%d of 1000 requests rejected, want %d: one is in flight and %d may wait", h.rejected, 1000-1-maxQueueLength, maxQueueLength)
	}
	if other := h.request(Safe, 8, 5*second); len(h.requests[other].attempts) != 1 {
		t.Error("a request of another key was not sent at once")
	}
	for i := range h.requests { // Answers each request in turn. The harness checks the order.
		if h.requests[i].isOpen {
			h.endAttempt(i, 0, OK)
		}
	}
	if len(h.balancer.keyQueues[keyQueueID{7, true}].waiting) > 0 {
		t.Error("some requests were never dequeued")
	}
}

// Each request of a key takes long, so that a new one would be dequeued after its deadline. It must be rejected at once,
// while its client can still try another balancer.
func TestQueueRejectsRequestDequeuedTooLate(t *testing.T) {
	h := newHarness(t, 1, 6, keyOrderSettings)
	for range 3 { // Raises the mean service time: each request takes 300 ms.
		i := h.request(Safe, 7, 5*second)
		h.advance(300 * ms)
		h.endAttempt(i, 0, OK)
	}
	for range 4 {
		h.request(Safe, 7, 5*second)
	}
	if h.request(Safe, 7, 500*ms); h.rejected != 1 || h.failed != 0 {
		t.Errorf("%d requests rejected and %d failed, want the last one rejected at once", h.rejected, h.failed)
	}
}

// A lock behind all endpoints delays one key: its attempts fail at every endpoint, take capacity from other keys, and
// would make endpoints look like outliers. The key must be throttled to one request at a time, other keys must not be,
// the failures must not count against endpoints, and timely answers must restore the key's concurrency.
func TestThrottledKeyDoesNotDelayOtherKeys(t *testing.T) {
	h := newHarness(t, 1, 6, map[string]any{"allowed.mostTrips": 1.0}) // No retries: one attempt per request.
	endAll := func(key uint64, outcome Outcome) {
		for i := range h.requests {
			for attempt := range h.requests[i].attempts {
				if h.requests[i].key == key {
					h.endAttempt(i, attempt, outcome)
				}
			}
		}
	}
	sendTwenty := func(key uint64) (n int) {
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
	if n := sendTwenty(7); n > 1 {
		t.Errorf("%d attempts in flight for a throttled key, want at most 1", n)
	}
	if n := sendTwenty(8); n < 8 {
		t.Errorf("%d attempts in flight for another key, want at least 8", n)
	}
	if failures := h.balancer.outcomes.failures.ValueAt(h.balancer.clock.activityTime); failures > 4 {
		t.Errorf("%.1f failures count against endpoints, want at most 4", failures)
	}
	endAll(8, OK)
	for range 60 {
		endAll(7, OK)
		h.advance(50 * ms)
		h.request(Safe, 7, second)
	}
	endAll(7, OK)
	if n := sendTwenty(7); n < 4 {
		t.Errorf("%d of 20 requests of a key were sent at once after 60 timely answers, want at least 4", n)
	}
}

// A new request is expected to be dequeued after all that are ahead of it, as many at a time as the key's concurrency,
// and not before the pause of the queue is over.
func TestExpectedDequeueTimeCountsRequestsAhead(t *testing.T) {
	for _, c := range []struct {
		name  string
		queue keyQueue
		want  int64
	}{
		{"none ahead", keyQueue{concurrency: 1, meanServiceTime: float64(30 * ms)}, second},
		{"the queue is paused", keyQueue{concurrency: 1, pausedUntil: second + 5*ms}, second + 5*ms},
		{"three ahead", keyQueue{waiting: []int{1, 2}, active: 1, concurrency: 1, meanServiceTime: float64(30 * ms)}, second + 90*ms},
		{"two at a time", keyQueue{waiting: []int{1, 2}, active: 2, concurrency: 2, meanServiceTime: float64(30 * ms)}, second + 60*ms},
		{"a concurrency below one", keyQueue{waiting: []int{1}, concurrency: 0.5, meanServiceTime: float64(30 * ms)}, second + 60*ms},
	} {
		if got := c.queue.expectedDequeueTime(second); got != c.want {
			t.Errorf("%s: expected to be dequeued after %d ms, want %d ms", c.name, (got-second)/ms, (c.want-second)/ms)
		}
	}
}

// Without removal, the queues of keys that are requested only once would accumulate. A queue may be removed only while
// no request waits or is active and the queue is not paused.
func TestQueueIsIdleOnlyOnceUnused(t *testing.T) {
	for _, c := range []struct {
		queue keyQueue
		want  bool
	}{
		{keyQueue{}, true},
		{keyQueue{pausedUntil: second}, true},
		{keyQueue{pausedUntil: second + 1}, false},
		{keyQueue{active: 1}, false},
		{keyQueue{waiting: []int{3}}, false},
	} {
		if got := c.queue.isIdle(second); got != c.want {
			t.Errorf("%+v: isIdle returns %t, want %t", c.queue, got, c.want)
		}
	}
}
