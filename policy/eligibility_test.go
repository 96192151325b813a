package policy

import "testing"

// canDispatch and canReject must enforce their rules without relying on earlier checks: a fault in selection or in a
// retry must not make an effect happen twice, nor send an attempt to a draining endpoint.
func TestEligibilityChecksAreSelfContained(t *testing.T) {
	testEligibilityChecks(t, "zone")
	testEligibilityChecks(t, "cell")
}

// testEligibilityChecks checks canDispatch with each kind of attempt that it must forbid and with those that it must
// allow, and canReject with each effect. group is the deduplication group of idempotent requests.
func testEligibilityChecks(t *testing.T, group string) {
	h := newHarness(t, 1, 6, map[string]any{"workloads.1.group": group})
	canDispatch := func(effect Effect, earlier executionState, age int64, target int) bool {
		request := &requestState{class: int(effect), isOpen: true, deadline: h.now + second}
		request.attempts = []attempt{{endpoint: 2, sentAt: h.now - age, state: earlier}}
		return h.balancer.canDispatch(h.now, request, target)
	}
	h.balancer.endpoints[5].health, h.balancer.endpoints[1].slowStart.startedAt = Draining, h.now
	for name, isAllowed := range map[string]bool{
		"repeat of a non-idempotent request that may have run":   canDispatch(NonIdempotent, mayHaveRun, ms, 3),
		"hedged attempt while hedging is off":                    canDispatch(Safe, inFlight, ms, 3),
		"repeat of an idempotent request in another dedup group": canDispatch(Idempotent, mayHaveRun, ms, 3),
		"repeat of an idempotent request after the dedup window": canDispatch(Idempotent, mayHaveRun, 900*ms, 2),
		"attempt at a draining endpoint":                         canDispatch(Safe, neverRan, ms, 5),
		"attempt at an endpoint without slow-start budget":       canDispatch(Safe, neverRan, ms, 1),
	} {
		if isAllowed {
			t.Error("canDispatch allows an attempt that it must forbid: " + name)
		}
	}
	if !canDispatch(NonIdempotent, neverRan, ms, 3) || !canDispatch(Safe, mayHaveRun, ms, 3) || !canDispatch(Idempotent, mayHaveRun, ms, 2) {
		t.Error("canDispatch forbids a further attempt that is safe")
	}
	for effect, want := range []bool{true, false, false} {
		request := &requestState{class: effect, attempts: []attempt{{endpoint: 2, state: mayHaveRun}}}
		if h.balancer.canReject(request) != want {
			t.Errorf("canReject = %t for a request of effect %d that may have run, want %t", !want, effect, want)
		}
	}
}

// An idempotent request is retried late in its deduplication window. Connecting and a stall of the process may delay
// the retry until the endpoint no longer remembers the first attempt, and the effect would happen twice. The harness
// checks each send for that. Most retries must still be made.
func TestIdempotentRetryArrivesWithinDedupWindow(t *testing.T) {
	retried := 0
	for after := range int64(90) {
		h := newHarness(t, 1, 6, map[string]any{"allowed.dialTimeout": 200.0})
		i := h.request(Idempotent, 5, 3*second)
		h.advance(after * 10 * ms)
		h.endAttempt(i, 0, Errored) // The harness checks the retry, if there is one.
		retried += len(h.requests[i].attempts) - 1
	}
	if retried < 50 {
		t.Fatalf("%d of 90 requests were retried, want at least 50", retried)
	}
}
