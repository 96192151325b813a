package policy

import "testing"

// Two reads of one key miss at the same time. The origin is asked once; the read that waited goes to the cache that
// holds the key by then. When a fetch hangs, the reads that wait for it still get their answer in time. Writes go to
// the origin.
func TestOriginFetchesAreCoalesced(t *testing.T) {
	h := newHarness(t, 1, 0, map[string]any{"extra.mode": "aside", "extra.originKind": 1.0})
	h.updateOriginList(4)
	leader, waiter := h.request(Safe, 9, second), h.request(Safe, 9, second)
	h.endAttempt(leader, 0, CacheMiss)
	h.endAttempt(waiter, 0, CacheMiss)
	if h.sendCounts[4] != 1 || len(h.requests[waiter].attempts) != 1 {
		t.Fatal("two reads of one key must fetch once")
	}
	first := h.requests[leader].attempts[0].endpoint
	h.endAttempt(leader, 1, OK)
	if got := h.requests[waiter].attempts; len(got) != 2 || got[1].endpoint != first {
		t.Fatal("the waiting read must go to the cache that holds the key now")
	}
	h.endAttempt(h.request(Safe, 8, second), 0, CacheMiss)
	h.endAttempt(h.request(Safe, 8, second/5), 0, CacheMiss)
	h.advance(second) // The fetch hangs: the read that waits must have its answer in time all the same.
	if write := h.request(Idempotent, 9, second); h.requests[write].attempts[0].endpoint != 4 {
		t.Fatal("a write must go to the origin")
	}
}

// A read loses its attempts to caches that take no connection, or has no tokens for a retry. One more cache could miss,
// with no attempt left for the fetch: the last attempt goes to the origin.
func TestLastAttemptGoesToOrigin(t *testing.T) {
	for _, c := range []struct {
		attempts float64
		tokens   float64
		first    int // the attempt that goes to the origin
	}{{3, maxRetryTokens, 2}, {2, maxRetryTokens, 1}, {5, 0, 1}} {
		h := newHarness(t, 1, 0, map[string]any{"extra.mode": "aside", "extra.originKind": 1.0, "allowed.mostTrips": c.attempts})
		h.updateOriginList(8)
		h.balancer.retries.tokens = c.tokens
		i := h.request(Safe, 9, second)
		for attempt := range c.first {
			h.endAttempt(i, attempt, ConnectFailed)
		}
		if attempts := h.requests[i].attempts; len(attempts) != c.first+1 || attempts[c.first].endpoint != 8 {
			t.Errorf("%+v: the last attempt does not go to the origin: %+v", c, attempts)
		}
	}
}

// All caches are overloaded and answer nothing, while the origin has room. Reads go to the origin before they are
// rejected, no more at a time than its limit. Writes pass the caches' overload by, and one that finds no connection to
// the origin waits and is retried there.
func TestOverloadedReadsGoToOrigin(t *testing.T) {
	h := newHarness(t, 1, 0, map[string]any{"extra.mode": "aside", "extra.originKind": 1.0})
	h.updateOriginList(8)
	maxInFlight := 0
	for range 600 { // The caches answer nothing, the origin all.
		i := h.request(Safe, h.balancer.random.uint64(), 3*second)
		maxInFlight = max(maxInFlight, h.balancer.endpoints[8].load.inFlight)
		h.advance(2 * ms)
		if attempts := h.requests[i].attempts; len(attempts) > 0 && attempts[0].endpoint == 8 {
			h.endAttempt(i, 0, OK)
		}
	}
	if h.sendCounts[8] < 300 || maxInFlight > 40 || h.rejected > 100 {
		t.Fatalf("%d of 600 sent to the origin, %d at once, %d rejected", h.sendCounts[8], maxInFlight, h.rejected)
	}
	for range 50 { // Writes bypass the caches; an origin that takes no connection is taken for busy.
		i := h.request(Idempotent, h.balancer.random.uint64(), 3*second)
		if len(h.requests[i].attempts) != 1 || h.requests[i].attempts[0].endpoint != 8 {
			t.Fatalf("a write while caches are overloaded: %+v", h.requests[i])
		}
		h.endAttempt(i, 0, ConnectFailed)
		if h.advance(40 * ms); len(h.requests[i].attempts) != 2 || h.requests[i].attempts[1].endpoint != 8 {
			t.Fatalf("a write that found no connection: %+v", h.requests[i])
		}
		h.endAttempt(i, 1, OK)
	}
}
