package policy

import "testing"

// A rejection tells that the few candidates of a key are full: the next attempt goes out at once to a wider set. When all endpoints are candidates and reject, the whole
// fleet is busy: the request waits before each further attempt, twice as long each time, neither shorter nor longer.
func TestRejectionExpandsCandidatesThenBacksOff(t *testing.T) {
	w := newHarness(t, 1, 12, nil)
	w.balancer.retries.tokens = maxRetryTokens
	i := w.request(Safe, 5, second)
	w.endAttempt(i, 0, Rejected)
	if len(w.requests[i].attempts) != 2 {
		t.Fatal("a busy answer must widen at once")
	}
	for _, hold := range []int64{33, 66} {
		w.endAttempt(i, len(w.requests[i].attempts)-1, Rejected)
		n := len(w.requests[i].attempts)
		w.advance((hold - 2) * ms)
		if len(w.requests[i].attempts) != n {
			t.Fatalf("the hold of %d ms was cut short", hold)
		}
		w.advance(4 * ms)
		if len(w.requests[i].attempts) != n+1 {
			t.Fatalf("the hold of %d ms did not end", hold)
		}
	}
}

// A streamed answer has begun and takes long, as its client reads slowly. It counts as load at no endpoint, is not hedged and not cancelled, and has no deadline; the
// hedged attempt that is still in flight changes none of that as it ends.
func TestStartedResponseBelongsToClient(t *testing.T) {
	w := newHarness(t, 1, 2, map[string]any{"allowed.secondCopies": true, "allowed.cancelling": true})
	i := w.request(Safe, 1, 3*second)
	s := w.requests[i].attempts[0].endpoint
	w.balancer.send(w.now, i, 1-s) // A copy.
	w.balancer.HandleResponseStarted(i, 0)
	if w.balancer.load.inFlight != 1 || w.balancer.endpoints[s].load.inFlight != 0 {
		t.Fatalf("%d in flight, %d at the server", w.balancer.load.inFlight, w.balancer.endpoints[s].load.inFlight)
	}
	w.requests[i].clientGoneAt = w.now + 20*second
	w.advance(10 * second) // No copy comes due.
	w.endAttempt(i, 1, Reset)
	w.endAttempt(i, 0, OK)
	if len(w.requests[i].attempts) != 2 || w.balancer.load.inFlight != 0 || w.balancer.endpoints[0].load.inFlight+w.balancer.endpoints[1].load.inFlight != 0 || w.cancelled != 0 || len(w.balancer.openRequests) != 0 {
		t.Fatalf("%d in flight, %d cancelled", w.balancer.load.inFlight, w.cancelled)
	}
}

// Discovery lists no endpoint. A request is rejected at once: there is nothing to wait for, and the client can try elsewhere.
func TestEmptyListRejectsAtOnce(t *testing.T) {
	w := newHarness(t, 1, 0, nil)
	w.request(NonIdempotent, 5, second)
	if w.rejected != 1 {
		t.Fatal("an empty list must reject at once")
	}
}

// The clocks of client and balancer differ, so that the stated remaining time is short by up to all that the client has. The request is sent and retried all the
// same, and none is held for longer than an answer counts, at which the harness looks.
func TestDeadlineDriftLosesNoRequest(t *testing.T) {
	for _, told := range []int64{1100, 300, 0, -900} {
		w := newHarness(t, 1, 6, map[string]any{"invariants.deadlineDrift": 2000.0})
		w.remainingSkew = (told - 1100) * ms
		i := w.request(Safe, 7, 1100*ms)
		w.advance(300 * ms)
		if len(w.requests[i].attempts) == 0 {
			t.Fatalf("told %d: no attempt", told)
		}
		w.endAttempt(i, 0, ConnectFailed)
		if w.advance(40 * ms); len(w.requests[i].attempts) != 2 {
			t.Fatalf("told %d: no further attempt", told)
		}
		w.advance(5 * second)
	}
}

// Buffers for answers are few, and a client reads slowly. Its attempt would keep a buffer until the client's deadline, for an answer without value: it ends at the
// objective instead.
func TestFewBuffersEndAttemptsAtObjective(t *testing.T) {
	for buffers, want := range map[float64]int64{0: 5 * second, 4: 600 * ms} {
		w := newHarness(t, 1, 3, map[string]any{"allowed.outBuffers": buffers, "workloads.0.tardyValue": 0.0})
		if i := w.request(Safe, 1, 5*second); w.requests[i].attempts[0].deadline != w.now+want {
			t.Errorf("%v buffers: the attempt ends after %d ms", buffers, (w.requests[i].attempts[0].deadline-w.now)/ms)
		}
	}
}

// longestGap plays 20 s of a process that has just started and gets a request each 60 ms, and returns the longest time without an attempt. answers tells which endpoints
// answer, 50 ms after an attempt; the others hang.
func longestGap(w *harness, effect Effect, patience int64, answers func(s int) bool) (longest int64) {
	last, next := w.now, w.now
	for n, end := 0, w.now+20*second; w.now < end; w.advance(10 * ms) {
		if w.now >= next {
			next += 60 * ms
			n++
			if i := w.request(effect, uint64(n), patience); len(w.requests[i].attempts) > 0 {
				longest, last = max(longest, w.now-last), w.now
			}
		}
		for i := range w.requests {
			for t := range w.requests[i].attempts {
				if sent := &w.requests[i].attempts[t]; sent.inFlight && answers(sent.endpoint) && w.now >= sent.sentAt+50*ms {
					w.endAttempt(i, t, OK)
				}
			}
		}
	}
	return max(longest, w.now-last)
}

// A process restarts while all endpoints that it knows are warming up, or while those of a zone hang. It knows no rate of answers and has no budget saved, and could
// reject all until something answers, which nothing can. It goes no 4 s without an attempt.
func TestStartedProcessSendsAttempts(t *testing.T) {
	all := func(int) bool { return true }
	for name, c := range map[string]struct {
		cold    bool
		effect  Effect
		answers func(s int) bool
	}{
		"all cold": {true, Safe, all},
		"non-idempotent requests, a zone is silent": {false, NonIdempotent, func(s int) bool { return s%2 == 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(8) {
				w := newHarness(t, seed, 0, map[string]any{"balancers": 300.0, "invariants.warmUp": 20000.0})
				started := int64(0)
				if c.cold {
					started = w.now
				}
				w.updateList(SavedList, 12, func(int) (Health, int64) { return Ready, started })
				if longest := longestGap(w, c.effect, 5*second, c.answers); longest >= 4*second {
					t.Errorf("seed %d: no attempt for %d ms", seed, longest/ms)
				}
			}
		})
	}
}
