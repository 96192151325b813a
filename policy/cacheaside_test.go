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

// The origin slows down, and comes back. How many reads may be in flight there falls with each late answer or failure,
// and rises by one for each round of timely answers. Under one, some reads still find out whether it is back.
func TestOriginLimitIncreasesAdditivelyAndDecreasesMultiplicatively(t *testing.T) {
	limiter := newOriginLimiter(20)
	if want := initialOriginReads + initialOriginLimit/20; limiter.limit != want {
		t.Errorf("a limit of %g at first, not %g", limiter.limit, want)
	}
	limiter.decrease()
	if want := 4 * originDecrease; limiter.limit != want {
		t.Errorf("a limit of %g after a late answer, not %g", limiter.limit, want)
	}
	for range 100 {
		limiter.decrease()
	}
	if limiter.limit != minOriginLimit {
		t.Errorf("a limit of %g after many late answers, not %g", limiter.limit, minOriginLimit)
	}
	if limiter.increase(); limiter.limit != minOriginLimit+1 {
		t.Errorf("a limit of %g after one timely answer", limiter.limit)
	}
	limiter.limit = 10
	for range 10 {
		limiter.increase()
	}
	if limiter.limit < 10.9 || limiter.limit > 11 {
		t.Errorf("a limit of %g after ten timely answers at 10", limiter.limit)
	}
}

// Reads miss now and then, and a few fail: keys keep to one order only while many do, by the share of the reads and not
// by a single miss in a thin view.
func TestMissRateIsAShareOfReads(t *testing.T) {
	for _, c := range []struct {
		reads, missed, failed  float64
		areFrequent, isFailing bool
	}{{0, 0, 0, false, false}, {0, 0.1, 0, false, false}, {100, 10, 10, false, false}, {100, 20, 10, true, false}, {100, 20, 20, true, true}} {
		rate := missRate{reads: sum{Value: c.reads}, missed: sum{Value: c.missed}, failed: sum{Value: c.failed}}
		if got := rate.areFrequent(0); got != c.areFrequent {
			t.Errorf("%+v: misses are frequent %t", c, got)
		}
		if got := rate.isOriginFailing(0, 1); got != c.isFailing {
			t.Errorf("%+v: the origin is failing %t", c, got)
		}
	}
}
