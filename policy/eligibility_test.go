package policy

import "testing"

// The gates before Send and Reject hold by themselves, whatever the path before them has kept to: a fault in selection
// or in a retry must not make an effect happen twice, nor send to an endpoint that drains.
func TestGatesHoldWhateverWasDecidedBefore(t *testing.T) {
	testGates(t, "zone")
	testGates(t, "cell")
}

// testGates asks the gates about each kind of attempt that they are to stop, and about those that they are to let
// through, with idempotent requests bound to group.
func testGates(t *testing.T, group string) {
	h := newHarness(t, 1, 6, map[string]any{"workloads.1.group": group})
	can := func(effect Effect, earlier executionState, age int64, target int) bool {
		request := &requestState{class: int(effect), isOpen: true, deadline: h.now + second}
		request.attempts = []attempt{{endpoint: 2, sentAt: h.now - age, state: earlier}}
		return h.balancer.canDispatch(h.now, request, target)
	}
	h.balancer.endpoints[5].health, h.balancer.endpoints[1].slowStart.startedAt = Draining, h.now
	for name, isAllowed := range map[string]bool{
		"non-idempotent that may have run": can(NonIdempotent, mayHaveRun, ms, 3),
		"hedged attempt":                   can(Safe, inFlight, ms, 3),
		"idempotent to another group":      can(Idempotent, mayHaveRun, ms, 3),
		"idempotent too late":              can(Idempotent, mayHaveRun, 900*ms, 2),
		"to one that is draining":          can(Safe, neverRan, ms, 5),
		"to one that has just started":     can(Safe, neverRan, ms, 1),
	} {
		if isAllowed {
			t.Error("an attempt is allowed: " + name)
		}
	}
	if !can(NonIdempotent, neverRan, ms, 3) || !can(Safe, mayHaveRun, ms, 3) || !can(Idempotent, mayHaveRun, ms, 2) {
		t.Error("an attempt that may run again is not allowed")
	}
	for effect, want := range []bool{true, false, false} {
		request := &requestState{class: effect, attempts: []attempt{{endpoint: 2, state: mayHaveRun}}}
		if h.balancer.canReject(request) != want {
			t.Errorf("a request of effect %d may be rejected: %t", effect, !want)
		}
	}
}

// An idempotent request is retried late. Its retry takes a connection and may be held up in the process, and would
// arrive when the endpoint no longer remembers the first attempt: the effect would happen twice. The harness looks at
// each send; and most retries are still made.
func TestIdempotentRetryArrivesWithinDedupWindow(t *testing.T) {
	retried := 0
	for after := range int64(90) {
		h := newHarness(t, 1, 6, map[string]any{"allowed.dialTimeout": 200.0})
		i := h.request(Idempotent, 5, 3*second)
		h.advance(after * 10 * ms)
		h.endAttempt(i, 0, Errored) // The harness looks at each send.
		retried += len(h.requests[i].attempts) - 1
	}
	if retried < 50 {
		t.Fatalf("only %d of 90 are retried", retried)
	}
}
