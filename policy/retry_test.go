package policy

import (
	"slices"
	"testing"
)

// The connection of a non-idempotent request breaks after the request was sent. A retry could run it twice, so that it
// must fail at once instead of waiting.
func TestNonIdempotentThatMayHaveRunFailsAtOnce(t *testing.T) {
	h := newHarness(t, 1, 8, nil)
	h.endAttempt(h.request(NonIdempotent, 5, second), 0, Reset)
	if h.failed != 1 {
		t.Fatalf("%d requests failed after the reset of a non-idempotent one, want 1", h.failed)
	}
}

// A request on a connection that falls silent would wait until its deadline. After half of the objective a hedged
// attempt must go to another endpoint: only one, and only if the settings and the effect allow it.
func TestOverdueAttemptIsHedged(t *testing.T) {
	for _, c := range []struct {
		effect   Effect
		mayHedge bool
		attempts int
	}{{Safe, true, 2}, {Idempotent, true, 2}, {NonIdempotent, true, 1}, {Safe, false, 1}} {
		h := newHarness(t, 1, 8, map[string]any{"allowed.secondCopies": c.mayHedge})
		for range 50 {
			i := h.request(Safe, h.balancer.random.uint64(), second)
			h.advance(20 * ms)
			h.endAttempt(i, 0, OK)
		}
		i := h.request(c.effect, 7, 1500*ms)
		if h.advance(290 * ms); len(h.requests[i].attempts) != 1 {
			t.Fatalf("%+v: %d attempts before half of the objective, want 1", c, len(h.requests[i].attempts))
		}
		if h.advance(20 * ms); len(h.requests[i].attempts) != c.attempts {
			t.Fatalf("%+v: %d attempts after half of the objective, want %d", c, len(h.requests[i].attempts), c.attempts)
		}
		if c.attempts == 2 && h.requests[i].attempts[0].endpoint == h.requests[i].attempts[1].endpoint {
			t.Fatalf("%+v: the hedged attempt went to the same endpoint as the first", c)
		}
	}
}

// Fifty clients are rejected at the same time. The Retry-After that they get must lie within half of the objective, so
// that their next answers still have value, and be spread out, so that they do not retry at the same time.
func TestRetryAfterIsShortAndSpread(t *testing.T) {
	h := newHarness(t, 1, 0, map[string]any{"allowed.retryAfter": true})
	for range 50 {
		h.request(Safe, 5, second)
	}
	first, last := slices.Min(h.retryAfters), slices.Max(h.retryAfters)
	if first <= 0 || last > 300*ms || last-first < 50*ms {
		t.Fatalf("Retry-After ranges from %d to %d ns, want a range of 50 ms or more within 300 ms", first, last)
	}
}

// Many attempts fail after a long time of success. The saved tokens must allow a limited number of retries, so that
// retries do not multiply the load of failing endpoints.
func TestRetryBudgetIsBounded(t *testing.T) {
	var budget retryBudget
	for n := range 5 {
		if budget.hasToken() {
			t.Errorf("the budget allows a retry after %d successes, want none before 5", n)
		}
		budget.deposit()
	}
	if !budget.hasToken() {
		t.Error("the budget allows no retry after 5 successes")
	}
	for range 1000 {
		budget.deposit()
	}
	retries := 0
	for ; budget.hasToken(); retries++ {
		budget.withdraw()
	}
	if retries != maxRetryTokens {
		t.Errorf("the budget allows %d retries in a row, want %g", retries, maxRetryTokens)
	}
}
