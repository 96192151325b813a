package policy

import (
	"fmt"
	"slices"
	"testing"
)

const ms = int64(1e6)

// testAttempt is the executor's view of an attempt.
type testAttempt struct {
	endpoint int
	sentAt   int64
	endedAt  int64
	deadline int64 // latest time at which it may end
	inFlight bool
	outcome  Outcome
}

// testRequest is the client's view of a request.
type testRequest struct {
	effect       Effect
	key          uint64
	isOpen       bool
	clientGoneAt int64
	attempts     []testAttempt
}

// harness is the Executor of a Balancer under test, with a simulated clock. It checks every call against the rules that
// no decision may break: which attempts may be repeated, which endpoints may be sent to, exactly one final answer for
// each request, and no request without one. A violation fails the test, regardless of what the test itself checks.
type harness struct {
	t             testing.TB
	balancer      *Balancer
	now           int64
	settings      map[string]any
	requests      []testRequest
	health        map[int]Health
	drained       map[int]bool // has been draining, and not been listed as ready since
	zone          map[int]int
	timers        map[int64][]int
	sendCounts    map[int]int
	rejected      int
	reasons       [numReasons]int
	retryAfters   []int64
	failed        int
	remainingSkew int64 // added to the remaining time that each request states
	cancelled     int
	watchCalls    int
}

// newHarness returns a harness whose Balancer has n ready endpoints. Class 0 is safe, 1 idempotent and 2
// non-idempotent, like the values of Effect. overrides replaces settings by their dotted names.
func newHarness(t testing.TB, seed uint64, n int, overrides map[string]any) *harness {
	h := &harness{t: t, now: second, health: map[int]Health{}, drained: map[int]bool{}, zone: map[int]int{}, timers: map[int64][]int{},
		sendCounts: map[int]int{}, settings: map[string]any{"allowed.mostTrips": 4.0, "allowed.secondCopies": false,
			"allowed.cancelling": true, "allowed.retryAfter": false, "balancers": 2.0, "workloads": 3.0,
			"invariants.warmUp": 8000.0, "invariants.startCapacity": 0.2, "invariants.fallMultiple": 3.0,
			"invariants.tipAfter": 1000.0, "registryMode": "subscribe", "allowed.maxRetryAfter": 2000.0}}
	for i, effect := range []string{"free", "guarded", "single_shot"} {
		class := fmt.Sprintf("workloads.%d.", i)
		h.settings[class+"effect"], h.settings[class+"group"], h.settings[class+"dedupWindow"] = effect, "all", 900.0
		h.settings[class+"expectedTime"], h.settings[class+"value"], h.settings[class+"tardyValue"] = 600.0, 1.0, 0.2
	}
	for name, value := range overrides {
		h.settings[name] = value
	}
	h.balancer = New(h.now, seed, h.settings, h)
	h.updateList(SavedList, n, func(int) (Health, int64) { return Ready, 0 })
	return h
}

// duration returns a setting in milliseconds as nanoseconds.
func (h *harness) duration(name string) int64 {
	milliseconds, _ := h.settings[name].(float64)
	return int64(milliseconds) * ms
}

// updateList passes the Balancer a list of n endpoints, spread evenly over two zones and three replica groups.
func (h *harness) updateList(kind UpdateKind, n int, entry func(index int) (health Health, startedAt int64)) {
	h.balancer.BeginEndpointUpdate(kind)
	for index := range n {
		health, startedAt := entry(index)
		h.health[index], h.zone[index] = health, index%2
		h.drained[index] = health == Draining || health == Removed && h.drained[index]
		h.balancer.UpdateEndpoint(h.now, index, EndpointInfo{
			Address:      fmt.Sprintf("10.0.0.%d:80", index),
			Health:       health,
			StartedAt:    startedAt,
			Zone:         index % 2,
			ReplicaGroup: index % 3,
		})
	}
	h.balancer.CommitEndpointUpdate(h.now)
}

// updateWeightedList lists n ready endpoints that alternate between two machine types of size 1 and 4. As with the
// setting weights = "live", the weight of an endpoint decreases with its load. Endpoint 0, which has size 1, started at
// startedAt.
func updateWeightedList(h *harness, n int, startedAt int64, load func(index int) float64) {
	h.balancer.BeginEndpointUpdate(FullList)
	for index := range n {
		h.health[index] = Ready
		info := EndpointInfo{Address: testAddress(index), Health: Ready, MachineType: index % 2, Weight: []float64{1, 4}[index%2] / (1 + load(index))}
		if index == 0 {
			info.StartedAt = startedAt
		}
		h.balancer.UpdateEndpoint(h.now, index, info)
	}
	h.balancer.CommitEndpointUpdate(h.now)
}

// updateOriginList lists ready caches, followed by the origin, which has machine type 1.
func (h *harness) updateOriginList(caches int) {
	h.balancer.BeginEndpointUpdate(FullList)
	for index := range caches + 1 {
		h.health[index] = Ready
		h.balancer.UpdateEndpoint(h.now, index, EndpointInfo{Address: testAddress(index), Health: Ready, MachineType: index / caches})
	}
	h.balancer.CommitEndpointUpdate(h.now)
}

// testAddress returns an address of one character. Its hash determines which keys go to the endpoint.
func testAddress(index int) string { return string(rune('a' + index)) }

// answerWeightedTraffic lists 20 endpoints of two sizes and lets them answer 400 requests.
func answerWeightedTraffic(h *harness) {
	updateWeightedList(h, 20, 0, func(int) float64 { return 0 })
	for range 400 {
		i := h.request(Safe, h.balancer.random.uint64(), second)
		h.advance(5 * ms)
		h.endAttempt(i, 0, OK)
	}
}

// request sends a request whose client waits for the duration remaining, and returns its index.
func (h *harness) request(effect Effect, key uint64, remaining int64) int {
	h.requests = append(h.requests, testRequest{effect: effect, key: key, isOpen: true, clientGoneAt: h.now + remaining})
	i := len(h.requests) - 1
	h.balancer.HandleRequest(h.now, i, RequestInfo{
		Remaining: remaining + h.remainingSkew,
		Class:     int(effect),
		Tenant:    -1,
		Key:       key,
		HasKey:    true,
		IsWrite:   effect != Safe,
	})
	return i
}

// endAttempt ends an attempt. It does nothing if the attempt has already ended.
func (h *harness) endAttempt(i, number int, outcome Outcome) {
	attempt := &h.requests[i].attempts[number]
	if !attempt.inFlight {
		return
	}
	attempt.inFlight, attempt.outcome, attempt.endedAt = false, outcome, h.now
	if outcome == OK {
		h.requests[i].isOpen = false
	}
	h.balancer.HandleAttemptEnded(h.now, i, AttemptResult{
		Attempt:     number,
		Endpoint:    attempt.endpoint,
		CacheResult: 1,
		Outcome:     outcome,
		Latency:     h.now - attempt.sentAt,
		IsAnswered:  !h.requests[i].isOpen,
	})
}

// advance moves the clock in steps of 1 ms, fires the timers that are due, and times out attempts when their client
// stops waiting. It fails the test if a request has no final answer by then.
func (h *harness) advance(by int64) {
	for end := h.now + by; h.now < end; {
		h.now += ms
		tags := h.timers[h.now]
		delete(h.timers, h.now)
		for _, tag := range tags {
			h.balancer.HandleTimer(h.now, tag)
		}
		for i := range h.requests {
			for number := range h.requests[i].attempts {
				if h.now >= h.requests[i].clientGoneAt {
					h.endAttempt(i, number, TimedOut)
				}
			}
			if h.requests[i].isOpen && h.now > h.requests[i].clientGoneAt+h.duration("invariants.deadlineDrift") {
				h.t.Fatalf("request %d got no final answer", i)
			}
		}
	}
}

// sendKeys sends a request for each of n keys and answers it immediately with cacheResult. It returns the number of
// attempts by endpoint, and the endpoint of each key's last attempt.
func (h *harness) sendKeys(n, cacheResult int) (sends map[int]int, byKey map[uint64]int) {
	sends, byKey = map[int]int{}, map[uint64]int{}
	for key := uint64(1); key <= uint64(n); key++ {
		i := h.request(Safe, key, 1500*ms)
		for number := 0; number < len(h.requests[i].attempts); number++ {
			attempt := &h.requests[i].attempts[number]
			sends[attempt.endpoint]++
			byKey[key] = attempt.endpoint
			attempt.inFlight, h.requests[i].isOpen = false, false
			h.balancer.HandleAttemptEnded(h.now+ms, i, AttemptResult{
				Attempt:     number,
				Endpoint:    attempt.endpoint,
				CacheResult: cacheResult,
				Outcome:     OK,
				Latency:     5 * ms,
				IsAnswered:  true,
			})
		}
		h.now += ms
	}
	return sends, byKey
}

// Send implements Executor. It checks that the attempt is allowed.
func (h *harness) Send(i, endpoint int, until int64) {
	request := &h.requests[i]
	h.checkKeyOrder(i)
	if !request.isOpen || h.now >= request.clientGoneAt+2*h.duration("invariants.deadlineDrift") {
		h.t.Fatalf("request %d sent after its final answer or deadline", i)
	}
	mayBeRemoved := h.settings["invariants.onlyDrainingBinds"] == true && !h.drained[endpoint]
	if h.health[endpoint] == Draining || h.health[endpoint] == Removed && !mayBeRemoved {
		h.t.Fatalf("sent to endpoint %d, which is draining or removed", endpoint)
	}
	for number := range request.attempts {
		h.checkRepeat(i, &request.attempts[number], endpoint)
	}
	if len(request.attempts) >= int(h.settings["allowed.mostTrips"].(float64)) {
		h.t.Fatalf("request %d has more attempts than the settings allow", i)
	}
	request.attempts = append(request.attempts, testAttempt{endpoint: endpoint, sentAt: h.now, deadline: until, inFlight: true})
	h.sendCounts[endpoint]++
}

// checkKeyOrder fails the test if a request of a class with keepOrder is sent before earlier requests for its key have
// ended, or before keyOrderDelay has passed since an attempt that may still be running.
func (h *harness) checkKeyOrder(i int) {
	request := &h.requests[i]
	if h.settings["workloads.0.keepOrder"] != true || request.effect != Safe {
		return
	}
	mayStillRun := func(attempt testAttempt) bool {
		return attempt.inFlight || mayStillRunAfter(attempt.outcome) && h.now < attempt.endedAt+h.duration("invariants.orderSettle")
	}
	for j := range i {
		earlier := &h.requests[j]
		if earlier.effect != Safe || earlier.key != request.key {
			continue
		}
		if earlier.isOpen || slices.ContainsFunc(earlier.attempts, mayStillRun) {
			h.t.Fatalf("request %d sent before request %d for the same key has ended", i, j)
		}
	}
}

// checkRepeat fails the test if an attempt at an endpoint could apply an effect twice because an earlier attempt may
// have run.
func (h *harness) checkRepeat(i int, earlier *testAttempt, endpoint int) {
	if earlier.inFlight && !h.settings["allowed.secondCopies"].(bool) {
		h.t.Fatalf("request %d hedged although the settings do not allow it", i)
	}
	if !earlier.inFlight && neverRanAfter(earlier.outcome) {
		return
	}
	switch h.requests[i].effect {
	case NonIdempotent:
		h.t.Fatalf("non-idempotent request %d sent again although it may have run", i)
	case Idempotent:
		group, dedupWindow := h.settings["workloads.1.group"], h.duration("workloads.1.dedupWindow")
		arrivesBy := h.now + h.duration("allowed.dialTimeout") + 150*ms // The process may stall for 150 ms.
		isOutsideGroup := group == "zone" && h.zone[earlier.endpoint] != h.zone[endpoint] || group == "cell" && earlier.endpoint%3 != endpoint%3
		if arrivesBy-earlier.sentAt >= dedupWindow || isOutsideGroup {
			h.t.Fatalf("idempotent request %d sent again outside its deduplication group or window", i)
		}
	}
}

// closeRequest records a request's final answer. It fails the test if there already was one.
func (h *harness) closeRequest(i int) {
	if !h.requests[i].isOpen {
		h.t.Fatalf("second final answer for request %d", i)
	}
	h.requests[i].isOpen = false
}

// Reject implements Executor. It checks that the request may be rejected.
func (h *harness) Reject(i int, reason Reason, retryAfter int64) {
	h.closeRequest(i)
	h.reasons[reason]++
	h.rejected++
	h.retryAfters = append(h.retryAfters, retryAfter)
	request := &h.requests[i]
	mayRepeat := request.effect == Safe || request.effect == Idempotent && h.settings["workloads.1.group"] == "all"
	for _, attempt := range request.attempts {
		if !mayRepeat && (attempt.inFlight || !neverRanAfter(attempt.outcome)) {
			h.t.Fatalf("request %d rejected although it may have run", i)
		}
	}
	if retryAfter > 0 && !h.settings["allowed.retryAfter"].(bool) {
		h.t.Fatal("Retry-After sent although the settings do not allow it")
	}
}

// Fail implements Executor.
func (h *harness) Fail(i int, _ Reason) { h.closeRequest(i); h.failed++ }

// Cancel implements Executor.
func (h *harness) Cancel(i, attempt int) { h.cancelled++ }

// WatchEndpoints implements Executor.
func (h *harness) WatchEndpoints() { h.watchCalls++ }

// SetTimer implements Executor: timers fire at whole milliseconds.
func (h *harness) SetTimer(tag int, after int64) {
	dueAt := (h.now + after + ms - 1) / ms * ms
	h.timers[dueAt] = append(h.timers[dueAt], tag)
}

// neverRanAfter reports whether an outcome proves that the attempt did not run.
func neverRanAfter(outcome Outcome) bool {
	return outcome == Rejected || outcome == ConnectFailed || outcome == NotSent || outcome == CacheMiss
}

// mayStillRunAfter reports whether an attempt with this outcome may still be running at its endpoint.
func mayStillRunAfter(outcome Outcome) bool {
	return outcome == TimedOut || outcome == Reset || outcome == Cancelled
}

// discardExecutor is an Executor that only records the endpoints of attempts.
type discardExecutor struct{ sentTo []int }

// Send implements Executor.
func (d *discardExecutor) Send(_, endpoint int, _ int64) { d.sentTo = append(d.sentTo, endpoint) }

// Reject implements Executor.
func (d *discardExecutor) Reject(int, Reason, int64) {}

// Fail implements Executor.
func (d *discardExecutor) Fail(int, Reason) {}

// Cancel implements Executor.
func (d *discardExecutor) Cancel(int, int) {}

// SetTimer implements Executor.
func (d *discardExecutor) SetTimer(int, int64) {}

// WatchEndpoints implements Executor.
func (d *discardExecutor) WatchEndpoints() {}
