package policy

import "testing"

// A rejection shows that the few candidates of a key are full, so that the next attempt goes to a wider set at once.
// When all endpoints are candidates and reject, all are busy: the request waits before each further attempt, and the
// wait doubles each time.
func TestRejectionExpandsCandidatesThenBacksOff(t *testing.T) {
	h := newHarness(t, 1, 12, nil)
	h.balancer.retries.tokens = maxRetryTokens
	i := h.request(Safe, 5, second)
	h.endAttempt(i, 0, Rejected)
	if len(h.requests[i].attempts) != 2 {
		t.Fatalf("%d attempts after the first rejection, want 2 without a wait", len(h.requests[i].attempts))
	}
	for _, backoff := range []int64{33, 66} {
		h.endAttempt(i, len(h.requests[i].attempts)-1, Rejected)
		n := len(h.requests[i].attempts)
		h.advance((backoff - 2) * ms)
		if len(h.requests[i].attempts) != n {
			t.Fatalf("an attempt was sent before the backoff of %d ms ended", backoff)
		}
		h.advance(4 * ms)
		if len(h.requests[i].attempts) != n+1 {
			t.Fatalf("no attempt was sent after the backoff of %d ms", backoff)
		}
	}
}

// A streamed answer can take long after it has begun, as its client reads slowly. The attempt no longer counts as load,
// is not hedged or cancelled, and has no deadline. None of this changes when the hedged attempt, which is still in
// flight, ends.
func TestStreamingAttemptIsNotCountedAsLoad(t *testing.T) {
	h := newHarness(t, 1, 2, map[string]any{"allowed.secondCopies": true, "allowed.cancelling": true})
	i := h.request(Safe, 1, 3*second)
	index := h.requests[i].attempts[0].endpoint
	h.balancer.send(h.now, i, 1-index) // The hedged attempt.
	h.balancer.HandleResponseStarted(i, 0)
	if h.balancer.load.inFlight != 1 || h.balancer.endpoints[index].load.inFlight != 0 {
		t.Fatalf("%d attempts in flight, %d at the streaming endpoint; want 1 and 0", h.balancer.load.inFlight, h.balancer.endpoints[index].load.inFlight)
	}
	h.requests[i].clientGoneAt = h.now + 20*second
	h.advance(10 * second) // No further hedged attempt may be sent.
	h.endAttempt(i, 1, Reset)
	h.endAttempt(i, 0, OK)
	inFlight := h.balancer.endpoints[0].load.inFlight + h.balancer.endpoints[1].load.inFlight
	if h.balancer.load.inFlight != 0 || inFlight != 0 || h.cancelled != 0 {
		t.Fatalf("%d attempts in flight, %d at endpoints, %d cancelled; want none", h.balancer.load.inFlight, inFlight, h.cancelled)
	}
	if len(h.requests[i].attempts) != 2 || len(h.balancer.openRequests) != 0 {
		t.Fatalf("%d attempts, %d open requests; want 2 and 0", len(h.requests[i].attempts), len(h.balancer.openRequests))
	}
}

// With no endpoint listed, waiting cannot help. The request must be rejected at once, so that its client can try another
// balancer.
func TestEmptyListRejectsAtOnce(t *testing.T) {
	h := newHarness(t, 1, 0, nil)
	h.request(NonIdempotent, 5, second)
	if h.rejected != 1 {
		t.Fatalf("%d requests rejected while the endpoint list is empty, want 1", h.rejected)
	}
}

// If the clocks of client and balancer differ, the stated remaining time can be far too short or negative. The request
// must be sent and retried all the same. The harness checks that it is not held longer than an answer is of use.
func TestDeadlineDriftLosesNoRequest(t *testing.T) {
	for _, stated := range []int64{1100, 300, 0, -900} {
		h := newHarness(t, 1, 6, map[string]any{"invariants.deadlineDrift": 2000.0})
		h.remainingSkew = (stated - 1100) * ms
		i := h.request(Safe, 7, 1100*ms)
		h.advance(300 * ms)
		if len(h.requests[i].attempts) == 0 {
			t.Fatalf("stated remaining time of %d ms: no attempt", stated)
		}
		h.endAttempt(i, 0, ConnectFailed)
		if h.advance(40 * ms); len(h.requests[i].attempts) != 2 {
			t.Fatalf("stated remaining time of %d ms: %d attempts after a failed connection, want 2", stated, len(h.requests[i].attempts))
		}
		h.advance(5 * second)
	}
}

// With few response buffers, the attempt of a slow reader would hold a buffer until the client's deadline for an answer
// without value. The attempt must end at the objective instead.
func TestFewBuffersEndAttemptsAtObjective(t *testing.T) {
	for buffers, want := range map[float64]int64{0: 5 * second, 4: 600 * ms} {
		h := newHarness(t, 1, 3, map[string]any{"allowed.outBuffers": buffers, "workloads.0.tardyValue": 0.0})
		if i := h.request(Safe, 1, 5*second); h.requests[i].attempts[0].deadline != h.now+want {
			t.Errorf("%v buffers: the attempt ends after %d ms, want %d ms", buffers, (h.requests[i].attempts[0].deadline-h.now)/ms, want/ms)
		}
	}
}

// longestSendGap simulates 20 s of a balancer that has just started and receives a request every 60 ms. It returns the
// longest time without an attempt. answers reports whether an endpoint answers, 50 ms after an attempt; others hang.
func longestSendGap(h *harness, effect Effect, remaining int64, answers func(index int) bool) (longest int64) {
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

// A balancer restarts while all endpoints are warming up, or while those of a zone hang. It knows no rate of answers
// and has no retry tokens saved, so that it could reject every request while it waits for a first answer, which would
// then never come. It must not go 4 s without an attempt.
func TestRestartedBalancerSendsAttempts(t *testing.T) {
	all := func(int) bool { return true }
	for name, c := range map[string]struct {
		areWarmingUp bool // the endpoints
		effect       Effect
		answers      func(index int) bool
	}{
		"all endpoints are warming up":          {true, Safe, all},
		"a zone hangs, non-idempotent requests": {false, NonIdempotent, func(index int) bool { return index%2 == 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(8) {
				h := newHarness(t, seed, 0, map[string]any{"balancers": 300.0, "invariants.warmUp": 20000.0})
				started := int64(0)
				if c.areWarmingUp {
					started = h.now
				}
				h.updateList(SavedList, 12, func(int) (Health, int64) { return Ready, started })
				if longest := longestSendGap(h, c.effect, 5*second, c.answers); longest >= 4*second {
					t.Errorf("seed %d: no attempt for %d ms, want less than 4 s", seed, longest/ms)
				}
			}
		})
	}
}

// BenchmarkDecision measures one decision among 200 endpoints: a request arrives, one is selected, and it answers.
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

// A large value that is held back until it is whole may take long. It does not count as load, or others would be rejected for
// overload. It is hedged only while it stands still: its endpoint would count as unresponsive although it responds.
func TestHeldResponseIsHedgedOnlyWhileItStalls(t *testing.T) {
	h := newHarness(t, 1, 8, map[string]any{"allowed.secondCopies": true})
	for range 50 {
		i := h.request(Safe, h.balancer.random.uint64(), second)
		h.advance(20 * ms)
		h.endAttempt(i, 0, OK)
	}
	i := h.request(Safe, 7, 1500*ms)
	for range 2 {
		h.balancer.HandleResponseContinued(i, 0)
		if n := h.balancer.load.inFlight; n != 0 {
			t.Fatalf("%d attempts count as load, want none", n)
		}
	}
	h.advance(400 * ms) // The objective is 600 ms.
	if n := len(h.requests[i].attempts); n != 1 {
		t.Fatalf("%d attempts while the response goes on, want 1", n)
	}
	h.balancer.HandleResponseStalled(h.now, i, 0)
	h.advance(2 * ms)
	if n := len(h.requests[i].attempts); n != 2 {
		t.Fatalf("%d attempts once the response stalls, want 2", n)
	}
	h.endAttempt(i, 0, Reset)
	h.endAttempt(i, 1, OK)
	if n := h.balancer.load.inFlight; n != 0 || h.requests[i].isOpen {
		t.Fatalf("%d attempts count as load after the request, open: %v; want none, false", n, h.requests[i].isOpen)
	}
}
