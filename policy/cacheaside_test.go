package policy

import "testing"

// Two concurrent reads of one key miss. The key must be fetched from the origin once, and the waiting read must then go
// to the cache that holds it. If a fetch hangs, reads that wait for it must still get an answer in time, which the
// harness checks. Writes must go to the origin.
func TestOriginFetchesAreCoalesced(t *testing.T) {
	h := newHarness(t, 1, 0, map[string]any{"extra.mode": "aside", "extra.originKind": 1.0})
	h.updateOriginList(4)
	leader, waiter := h.request(Safe, 9, second), h.request(Safe, 9, second)
	h.endAttempt(leader, 0, CacheMiss)
	h.endAttempt(waiter, 0, CacheMiss)
	if h.sendCounts[4] != 1 || len(h.requests[waiter].attempts) != 1 {
		t.Fatalf("%d reads at the origin and %d attempts of the waiting read, want 1 of each", h.sendCounts[4], len(h.requests[waiter].attempts))
	}
	first := h.requests[leader].attempts[0].endpoint
	h.endAttempt(leader, 1, OK)
	if got := h.requests[waiter].attempts; len(got) != 2 || got[1].endpoint != first {
		t.Fatalf("attempts of the waiting read: %+v, want a second one at endpoint %d, which holds the key now", got, first)
	}
	h.endAttempt(h.request(Safe, 8, second), 0, CacheMiss)
	h.endAttempt(h.request(Safe, 8, second/5), 0, CacheMiss)
	h.advance(second) // The fetch hangs: the harness fails if the waiting read gets no answer in time.
	if write := h.request(Idempotent, 9, second); h.requests[write].attempts[0].endpoint != 4 {
		t.Fatalf("attempts of a write: %+v, want the first at the origin, endpoint 4", h.requests[write].attempts)
	}
}

// The attempts of a read fail at caches, or it has no retry tokens left. Another cache could miss and leave no attempt
// for the fetch, so that the last attempt must go to the origin.
func TestLastAttemptGoesToOrigin(t *testing.T) {
	for _, c := range []struct {
		attempts float64
		tokens   float64
		first    int // the index of the attempt that goes to the origin
	}{{3, maxRetryTokens, 2}, {2, maxRetryTokens, 1}, {5, 0, 1}} {
		h := newHarness(t, 1, 0, map[string]any{"extra.mode": "aside", "extra.originKind": 1.0, "allowed.mostTrips": c.attempts})
		h.updateOriginList(8)
		h.balancer.retries.tokens = c.tokens
		i := h.request(Safe, 9, second)
		for attempt := range c.first {
			h.endAttempt(i, attempt, ConnectFailed)
		}
		if attempts := h.requests[i].attempts; len(attempts) != c.first+1 || attempts[c.first].endpoint != 8 {
			t.Errorf("%+v: the last attempt did not go to the origin, endpoint 8: %+v", c, attempts)
		}
	}
}

// All caches are overloaded and answer nothing, while the origin has capacity. Reads must go to the origin instead of
// being rejected, within its limit. Writes must not be rejected because of the caches, and a write that cannot connect
// to the origin must wait and be retried there.
func TestOverloadedReadsGoToOrigin(t *testing.T) {
	h := newHarness(t, 1, 0, map[string]any{"extra.mode": "aside", "extra.originKind": 1.0})
	h.updateOriginList(8)
	maxInFlight := 0
	for range 600 { // The caches answer nothing, the origin answers every read.
		i := h.request(Safe, h.balancer.random.uint64(), 3*second)
		maxInFlight = max(maxInFlight, h.balancer.endpoints[8].load.inFlight)
		h.advance(2 * ms)
		if attempts := h.requests[i].attempts; len(attempts) > 0 && attempts[0].endpoint == 8 {
			h.endAttempt(i, 0, OK)
		}
	}
	if h.sendCounts[8] < 300 || maxInFlight > 40 || h.rejected > 100 {
		t.Fatalf("%d of 600 reads sent to the origin, %d at once, %d rejected; want at least 300, at most 40 and at most 100", h.sendCounts[8], maxInFlight, h.rejected)
	}
	for range 50 { // Writes bypass the caches. A failed connection means that the origin is busy.
		i := h.request(Idempotent, h.balancer.random.uint64(), 3*second)
		if len(h.requests[i].attempts) != 1 || h.requests[i].attempts[0].endpoint != 8 {
			t.Fatalf("a write while the caches are overloaded: %+v, want one attempt at endpoint 8", h.requests[i])
		}
		h.endAttempt(i, 0, ConnectFailed)
		if h.advance(40 * ms); len(h.requests[i].attempts) != 2 || h.requests[i].attempts[1].endpoint != 8 {
			t.Fatalf("a write after a failed connection: %+v, want a second attempt at endpoint 8", h.requests[i])
		}
		h.endAttempt(i, 1, OK)
	}
}

// The origin slows down and recovers. The limit of reads in flight there must fall by a factor with each late answer or
// failure, and rise by one for each round of timely answers. It must stay above zero, so that some reads still find out
// whether the origin has recovered.
func TestOriginLimitIncreasesAdditivelyAndDecreasesMultiplicatively(t *testing.T) {
	limiter := newOriginLimiter(20)
	if want := initialBalancerOriginLimit + initialFleetOriginLimit/20; limiter.limit != want {
		t.Errorf("limit is %g at first, want %g", limiter.limit, want)
	}
	limiter.decrease()
	if want := 4 * originLimitDecrease; limiter.limit != want {
		t.Errorf("limit is %g after a late answer, want %g", limiter.limit, want)
	}
	for range 100 {
		limiter.decrease()
	}
	if limiter.limit != minOriginLimit {
		t.Errorf("limit is %g after many late answers, want %g", limiter.limit, minOriginLimit)
	}
	if limiter.increase(); limiter.limit != minOriginLimit+1 {
		t.Errorf("limit is %g after one timely answer, want %g", limiter.limit, minOriginLimit+1)
	}
	limiter.limit = 10
	for range 10 {
		limiter.increase()
	}
	if limiter.limit < 10.9 || limiter.limit > 11 {
		t.Errorf("limit is %g after ten timely answers at 10, want 10.9 to 11", limiter.limit)
	}
}

// Misses are frequent, or the origin failing, only if a large part of the reads misses or fails. A single miss among few
// reads must not be enough.
func TestMissRateIsAShareOfReads(t *testing.T) {
	for _, c := range []struct {
		reads, missed, failed        float64
		areMissesFrequent, isFailing bool
	}{{0, 0, 0, false, false}, {0, 0.1, 0, false, false}, {100, 10, 10, false, false}, {100, 20, 10, true, false}, {100, 20, 20, true, true}} {
		rate := missRate{reads: sum{Value: c.reads}, missed: sum{Value: c.missed}, failed: sum{Value: c.failed}}
		if got := rate.areMissesFrequent(0); got != c.areMissesFrequent {
			t.Errorf("%+v: areMissesFrequent returns %t, want %t", c, got, c.areMissesFrequent)
		}
		if got := rate.isOriginFailing(0, 1); got != c.isFailing {
			t.Errorf("%+v: isOriginFailing returns %t, want %t", c, got, c.isFailing)
		}
	}
}
