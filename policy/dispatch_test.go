package policy

import "testing"

// A rejection tells that the few candidates of a key are full: the next attempt goes out at once to a wider set. When
// all endpoints are candidates and reject, the whole fleet is busy: the request waits before each further attempt,
// twice as long each time, neither shorter nor longer.
func TestRejectionExpandsCandidatesThenBacksOff(t *testing.T) {
	h := newHarness(t, 1, 12, nil)
	h.balancer.retries.tokens = maxRetryTokens
	i := h.request(Safe, 5, second)
	h.endAttempt(i, 0, Rejected)
	if len(h.requests[i].attempts) != 2 {
		t.Fatal("a rejection must expand the candidates at once")
	}
	for _, backoff := range []int64{33, 66} {
		h.endAttempt(i, len(h.requests[i].attempts)-1, Rejected)
		n := len(h.requests[i].attempts)
		h.advance((backoff - 2) * ms)
		if len(h.requests[i].attempts) != n {
			t.Fatalf("the backoff of %d ms was cut short", backoff)
		}
		h.advance(4 * ms)
		if len(h.requests[i].attempts) != n+1 {
			t.Fatalf("the backoff of %d ms did not end", backoff)
		}
	}
}

// A streamed answer has begun and takes long, as its client reads slowly. It counts as load at no endpoint, is not
// hedged and not cancelled, and has no deadline; the hedged attempt that is still in flight changes none of that as it
// ends.
func TestStartedResponseBelongsToClient(t *testing.T) {
	h := newHarness(t, 1, 2, map[string]any{"allowed.secondCopies": true, "allowed.cancelling": true})
	i := h.request(Safe, 1, 3*second)
	index := h.requests[i].attempts[0].endpoint
	h.balancer.send(h.now, i, 1-index) // The hedged attempt.
	h.balancer.HandleResponseStarted(i, 0)
	if h.balancer.load.inFlight != 1 || h.balancer.endpoints[index].load.inFlight != 0 {
		t.Fatalf("%d in flight, %d at the endpoint", h.balancer.load.inFlight, h.balancer.endpoints[index].load.inFlight)
	}
	h.requests[i].clientGoneAt = h.now + 20*second
	h.advance(10 * second) // No hedged attempt comes due.
	h.endAttempt(i, 1, Reset)
	h.endAttempt(i, 0, OK)
	inFlight := h.balancer.endpoints[0].load.inFlight + h.balancer.endpoints[1].load.inFlight
	if h.balancer.load.inFlight != 0 || inFlight != 0 || h.cancelled != 0 {
		t.Fatalf("%d in flight, %d at endpoints, %d cancelled", h.balancer.load.inFlight, inFlight, h.cancelled)
	}
	if len(h.requests[i].attempts) != 2 || len(h.balancer.openRequests) != 0 {
		t.Fatalf("%d attempts, %d open requests", len(h.requests[i].attempts), len(h.balancer.openRequests))
	}
}

// Discovery lists no endpoint. A request is rejected at once: there is nothing to wait for, and the client can try
// elsewhere.
func TestEmptyListRejectsAtOnce(t *testing.T) {
	h := newHarness(t, 1, 0, nil)
	h.request(NonIdempotent, 5, second)
	if h.rejected != 1 {
		t.Fatal("an empty list must reject at once")
	}
}

// The clocks of client and balancer differ, so that the stated remaining time is short by up to all that the client
// has. The request is sent and retried all the same, and none is held for longer than an answer counts, at which the
// harness looks.
func TestDeadlineDriftLosesNoRequest(t *testing.T) {
	for _, stated := range []int64{1100, 300, 0, -900} {
		h := newHarness(t, 1, 6, map[string]any{"invariants.deadlineDrift": 2000.0})
		h.remainingSkew = (stated - 1100) * ms
		i := h.request(Safe, 7, 1100*ms)
		h.advance(300 * ms)
		if len(h.requests[i].attempts) == 0 {
			t.Fatalf("stated %d: no attempt", stated)
		}
		h.endAttempt(i, 0, ConnectFailed)
		if h.advance(40 * ms); len(h.requests[i].attempts) != 2 {
			t.Fatalf("stated %d: no retry", stated)
		}
		h.advance(5 * second)
	}
}

// Buffers for answers are few, and a client reads slowly. Its attempt would keep a buffer until the client's deadline,
// for an answer without value: it ends at the objective instead.
func TestFewBuffersEndAttemptsAtObjective(t *testing.T) {
	for buffers, want := range map[float64]int64{0: 5 * second, 4: 600 * ms} {
		h := newHarness(t, 1, 3, map[string]any{"allowed.outBuffers": buffers, "workloads.0.tardyValue": 0.0})
		if i := h.request(Safe, 1, 5*second); h.requests[i].attempts[0].deadline != h.now+want {
			t.Errorf("%v buffers: the attempt ends after %d ms", buffers, (h.requests[i].attempts[0].deadline-h.now)/ms)
		}
	}
}

// longestGap plays 20 s of a process that has just started and gets a request each 60 ms, and returns the longest time
// without an attempt. answers tells which endpoints answer, 50 ms after an attempt; the others hang.
func longestGap(h *harness, effect Effect, remaining int64, answers func(index int) bool) (longest int64) {
	last, next := h.now, h.now
	for n, end := 0, h.now+20*second; h.now < end; h.advance(10 * ms) {
		if h.now >= next {
			next += 60 * ms
			n++
			if i := h.request(effect, uint64(n), remaining); len(h.requests[i].attempts) > 0 {
				longest, last = max(longest, h.now-last), h.now
			}
		}
		for i := range h.requests {
			for number, attempt := range h.requests[i].attempts {
				if attempt.inFlight && answers(attempt.endpoint) && h.now >= attempt.sentAt+50*ms {
					h.endAttempt(i, number, OK)
				}
			}
		}
	}
	return max(longest, h.now-last)
}

// A process restarts while all endpoints that it knows are warming up, or while those of a zone hang. It knows no rate
// of answers and has no budget saved, and could reject all until something answers, which nothing can. It goes no 4 s
// without an attempt.
func TestStartedProcessSendsAttempts(t *testing.T) {
	all := func(int) bool { return true }
	for name, c := range map[string]struct {
		areNew  bool // the endpoints
		effect  Effect
		answers func(index int) bool
	}{
		"all endpoints warm up":                 {true, Safe, all},
		"a zone hangs, non-idempotent requests": {false, NonIdempotent, func(index int) bool { return index%2 == 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(8) {
				h := newHarness(t, seed, 0, map[string]any{"balancers": 300.0, "invariants.warmUp": 20000.0})
				started := int64(0)
				if c.areNew {
					started = h.now
				}
				h.updateList(SavedList, 12, func(int) (Health, int64) { return Ready, started })
				if longest := longestGap(h, c.effect, 5*second, c.answers); longest >= 4*second {
					t.Errorf("seed %d: no attempt for %d ms", seed, longest/ms)
				}
			}
		})
	}
}

// BenchmarkDecision is one decision: a request arrives, an endpoint is selected among 200, and its answer comes.
func BenchmarkDecision(b *testing.B) {
	balancer, executor := newSnapshotBalancer(unixStart, make([]int64, 200)...)
	now := driveTraffic(balancer, executor, unixStart, 2000)
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		now += ms
		executor.sentTo = executor.sentTo[:0]
		balancer.HandleRequest(now, 0, RequestInfo{Remaining: 1500 * ms, Key: uint64(n + 1), HasKey: true})
		for attempt, endpoint := range executor.sentTo {
			balancer.HandleAttemptEnded(now, 0, AttemptResult{Attempt: attempt, Endpoint: endpoint, CacheResult: 1, Outcome: OK, Latency: 20 * ms, IsAnswered: true})
		}
	}
}
