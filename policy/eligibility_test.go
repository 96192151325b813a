package policy

import "testing"

// The gates before Send and Reject hold by themselves, whatever the path before them has kept to: a fault in selection or in a retry must not make an effect happen
// twice, nor send to an endpoint that drains.
func TestGatesHoldWhateverWasDecidedBefore(t *testing.T) {
	testGates(t, "zone")
	testGates(t, "cell")
}

// testGates asks the gates about each kind of attempt that they are to stop, and about those that they are to let through.
func testGates(t *testing.T, group string) {
	w := newHarness(t, 1, 6, map[string]any{"workloads.1.group": group})
	can := func(effect Effect, how executionState, age int64, to int) bool {
		r := &requestState{class: int(effect), isOpen: true, deadline: w.now + second}
		r.attempts = []attempt{{endpoint: 2, sentAt: w.now - age, state: how}}
		return w.balancer.canDispatch(w.now, r, to)
	}
	w.balancer.endpoints[5].health, w.balancer.endpoints[1].slowStart.startedAt = Draining, w.now
	for name, bad := range map[string]bool{
		"one-shot that may have run": can(NonIdempotent, mayHaveRun, ms, 3), "second copy": can(Safe, inFlight, ms, 3),
		"stamped to another group": can(Idempotent, mayHaveRun, ms, 3),
		"stamped too late":         can(Idempotent, mayHaveRun, 900*ms, 2),
		"to one that drains":       can(Safe, neverRan, ms, 5),
		"to a cold one at once":    can(Safe, neverRan, ms, 1),
	} {
		if bad {
			t.Error("may send: " + name)
		}
	}
	if !can(NonIdempotent, neverRan, ms, 3) || !can(Safe, mayHaveRun, ms, 3) || !can(Idempotent, mayHaveRun, ms, 2) {
		t.Error("may not send what may run again")
	}
	for effect, may := range []bool{true, false, false} {
		if w.balancer.canReject(&requestState{class: effect, attempts: []attempt{{endpoint: 2, state: mayHaveRun}}}) != may {
			t.Errorf("dismissal of effect %d", effect)
		}
	}
}

// An idempotent request is retried late. Its retry takes a connection and may be held up in the process, and would arrive when the endpoint no longer remembers the first
// attempt: the effect would happen twice. The harness looks at each send; and most retries are still made.
func TestIdempotentRetryArrivesWithinDedupWindow(t *testing.T) {
	again := 0
	for after := range int64(90) {
		w := newHarness(t, 1, 6, map[string]any{"allowed.dialTimeout": 200.0})
		i := w.request(Idempotent, 5, 3*second)
		w.advance(after * 10 * ms)
		w.endAttempt(i, 0, Errored) // The helper looks at each send.
		again += len(w.requests[i].attempts) - 1
	}
	if again < 50 {
		t.Fatalf("only %d of 90 are repeated", again)
	}
}
