package policy

import (
	"slices"
	"testing"
)

// The connection of a non-idempotent request breaks after it was sent. Nothing more may be done for it: it fails at once and is not held.
func TestNonIdempotentThatMayHaveRunFailsAtOnce(t *testing.T) {
	w := newHarness(t, 1, 8, nil)
	w.endAttempt(w.request(NonIdempotent, 5, second), 0, Reset)
	if w.failed != 1 {
		t.Fatal("held, though nothing more may be done for it")
	}
}

// A single connection falls silent, and the request on it would wait for its deadline. After half of the objective a hedged attempt goes to another endpoint, one only, and
// only where the settings allow it and the effect may repeat.
func TestOverdueAttemptIsHedged(t *testing.T) {
	for _, c := range []struct {
		effect   Effect
		copies   bool
		attempts int
	}{{Safe, true, 2}, {Idempotent, true, 2}, {NonIdempotent, true, 1}, {Safe, false, 1}} {
		w := newHarness(t, 1, 8, map[string]any{"allowed.secondCopies": c.copies})
		for range 50 {
			i := w.request(Safe, w.balancer.random.uint64(), second)
			w.advance(20 * ms)
			w.endAttempt(i, 0, OK)
		}
		i := w.request(c.effect, 7, 1500*ms)
		if w.advance(290 * ms); len(w.requests[i].attempts) != 1 {
			t.Fatalf("%d attempts before half of the expected time", len(w.requests[i].attempts))
		}
		if w.advance(20 * ms); len(w.requests[i].attempts) != c.attempts {
			t.Fatalf("%+v: %d attempts after it", c, len(w.requests[i].attempts))
		}
		if c.attempts == 2 && w.requests[i].attempts[0].endpoint == w.requests[i].attempts[1].endpoint {
			t.Fatal("the copy goes to the same server")
		}
	}
}

// Fifty clients are rejected in one moment and told when to come back. An answer loses its value at the objective: the time told is within half of that, and spread, so
// that they do not all come at once.
func TestRetryAfterLeavesAnswerItsValue(t *testing.T) {
	w := newHarness(t, 1, 0, map[string]any{"allowed.retryAfter": true})
	for range 50 {
		w.request(Safe, 5, second)
	}
	first, last := slices.Min(w.retryAfters), slices.Max(w.retryAfters)
	if first <= 0 || last > 300*ms || last-first < 50*ms {
		t.Fatalf("to come back after %d to %d ns of an expected time of 600 ms", first, last)
	}
}
