package policy

import (
	"slices"
	"testing"
)

// The connection of a non-idempotent request breaks after it was sent. Nothing more may be done for it: it fails at
// once and is not held.
func TestNonIdempotentThatMayHaveRunFailsAtOnce(t *testing.T) {
	h := newHarness(t, 1, 8, nil)
	h.endAttempt(h.request(NonIdempotent, 5, second), 0, Reset)
	if h.failed != 1 {
		t.Fatal("it waits, though nothing more may be done for it")
	}
}

// A single connection falls silent, and the request on it would wait for its deadline. After half of the objective a
// hedged attempt goes to another endpoint, one only, and only where the settings allow it and the effect may repeat.
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
			t.Fatalf("%d attempts before half of the objective", len(h.requests[i].attempts))
		}
		if h.advance(20 * ms); len(h.requests[i].attempts) != c.attempts {
			t.Fatalf("%+v: %d attempts after it", c, len(h.requests[i].attempts))
		}
		if c.attempts == 2 && h.requests[i].attempts[0].endpoint == h.requests[i].attempts[1].endpoint {
			t.Fatal("the hedged attempt goes to the same endpoint")
		}
	}
}

// Fifty clients are rejected in one moment and told when to come back. An answer loses its value at the objective: the
// time told is within half of that, and spread, so that they do not all come at once.
func TestRetryAfterLeavesAnswerItsValue(t *testing.T) {
	h := newHarness(t, 1, 0, map[string]any{"allowed.retryAfter": true})
	for range 50 {
		h.request(Safe, 5, second)
	}
	first, last := slices.Min(h.retryAfters), slices.Max(h.retryAfters)
	if first <= 0 || last > 300*ms || last-first < 50*ms {
		t.Fatalf("a retry after %d to %d ns, of an objective of 600 ms", first, last)
	}
}

// Much fails at once, after a long time in which all went well. What successes saved up pays for some retries and no
// more, so that retries do not multiply the load of endpoints that are failing.
func TestRetryBudgetIsBounded(t *testing.T) {
	var budget retryBudget
	for n := range 5 {
		if budget.canPay() {
			t.Errorf("%d successes pay for a retry", n)
		}
		budget.earn()
	}
	if !budget.canPay() {
		t.Error("five successes do not pay for a retry")
	}
	for range 1000 {
		budget.earn()
	}
	retries := 0
	for ; budget.canPay(); retries++ {
		budget.spend()
	}
	if retries != maxRetryTokens {
		t.Errorf("%d retries in a row, not %g", retries, maxRetryTokens)
	}
}
