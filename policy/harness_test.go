package policy

import (
	"fmt"
	"slices"
	"testing"
)

const ms = int64(1e6)

// testAttempt is an attempt as the executor saw it.
type testAttempt struct {
	endpoint int
	sentAt   int64
	endedAt  int64
	deadline int64
	inFlight bool
	outcome  Outcome
}

// testRequest is a request as its client sees it.
type testRequest struct {
	effect       Effect
	key          uint64
	isOpen       bool
	clientGoneAt int64 // when its client goes
	attempts     []testAttempt
}

// harness is the Executor of a Balancer under test, with a clock of its own. It holds each call against the rules that no decision may break: what may run
// again, what may be sent to, one final answer for each request, no request lost. A rule that is broken fails the test, whatever the test looks at.
type harness struct {
	t             testing.TB
	balancer      *Balancer
	now           int64
	settings      map[string]any
	requests      []testRequest
	health        map[int]Health
	drained       map[int]bool // and not listed ready since
	zone          map[int]int
	timers        map[int64][]int
	sendCounts    map[int]int
	rejected      int
	reasons       [reasons]int
	retryAfters   []int64
	failed        int
	remainingSkew int64 // added to what is told of a client's patience
	cancelled     int
	watchCalls    int
}

// newHarness returns a Balancer before n ready endpoints. Class 0 is safe, 1 idempotent and 2 non-idempotent, as the values of Effect are. change replaces
// settings by their dotted names.
func newHarness(t testing.TB, seed uint64, n int, change map[string]any) *harness {
	w := &harness{t: t, now: second, health: map[int]Health{}, drained: map[int]bool{}, zone: map[int]int{}, timers: map[int64][]int{},
		sendCounts: map[int]int{}, settings: map[string]any{"allowed.mostTrips": 4.0, "allowed.secondCopies": false,
			"allowed.cancelling": true, "allowed.retryAfter": false, "balancers": 2.0, "workloads": 3.0,
			"invariants.warmUp": 8000.0, "invariants.startCapacity": 0.2, "invariants.fallMultiple": 3.0,
			"invariants.tipAfter": 1000.0, "registryMode": "subscribe", "allowed.maxRetryAfter": 2000.0}}
	for i, effect := range []string{"free", "guarded", "single_shot"} {
		at := fmt.Sprintf("workloads.%d.", i)
		w.settings[at+"effect"], w.settings[at+"group"], w.settings[at+"dedupWindow"] = effect, "all", 900.0
		w.settings[at+"expectedTime"], w.settings[at+"value"], w.settings[at+"tardyValue"] = 600.0, 1.0, 0.2
	}
	for name, value := range change {
		w.settings[name] = value
	}
	w.balancer = New(w.now, seed, w.settings, w)
	w.updateList(SavedList, n, func(int) (Health, int64) { return Ready, 0 })
	return w
}

// duration is a setting in milliseconds, as nanoseconds.
func (w *harness) duration(name string) int64 {
	x, _ := w.settings[name].(float64)
	return int64(x) * ms
}

// updateList tells the Balancer a list of n endpoints. Zones alternate, and replica groups go by three.
func (w *harness) updateList(scope UpdateKind, n int, what func(s int) (Health, int64)) {
	w.balancer.BeginEndpointUpdate(scope)
	for s := range n {
		health, started := what(s)
		w.health[s], w.zone[s] = health, s%2
		w.drained[s] = health == Draining || health == Removed && w.drained[s]
		w.balancer.UpdateEndpoint(w.now, s, EndpointInfo{Address: fmt.Sprintf("10.0.0.%d:80", s), Health: health, StartedAt: started, Zone: s % 2, ReplicaGroup: s % 3})
	}
	w.balancer.CommitEndpointUpdate(w.now)
}

// updateWeightedList lists n ready endpoints of two machine types, by turns of size 1 and 4, with weights that fall with the load of each, as settings of live
// weights state them. Endpoint 0, a small one, started at the time given.
func updateWeightedList(w *harness, n int, started int64, held func(s int) float64) {
	w.balancer.BeginEndpointUpdate(FullList)
	for s := range n {
		w.health[s] = Ready
		at := int64(0)
		if s == 0 {
			at = started
		}
		w.balancer.UpdateEndpoint(w.now, s, EndpointInfo{Address: string(rune('a' + s)), Health: Ready, StartedAt: at, MachineType: s % 2, Weight: []float64{1, 4}[s%2] / (1 + held(s))})
	}
	w.balancer.CommitEndpointUpdate(w.now)
}

// answerWeightedTraffic lists 20 endpoints of two sizes and has them answer 400 requests.
func answerWeightedTraffic(w *harness) {
	updateWeightedList(w, 20, 0, func(int) float64 { return 0 })
	for range 400 {
		i := w.request(Safe, w.balancer.random.uint64(), second)
		w.advance(5 * ms)
		w.endAttempt(i, 0, OK)
	}
}

// request has a client send a request that it waits for as long as remaining. It returns the index of the request.
func (w *harness) request(effect Effect, key uint64, patience int64) int {
	w.requests = append(w.requests, testRequest{effect: effect, key: key, isOpen: true, clientGoneAt: w.now + patience})
	i := len(w.requests) - 1
	w.balancer.HandleRequest(w.now, i, RequestInfo{Remaining: patience + w.remainingSkew, Class: int(effect), Tenant: -1, Key: key, HasKey: true, IsWrite: effect != Safe})
	return i
}

// endAttempt ends an attempt that is in flight; one that has ended is left alone.
func (w *harness) endAttempt(i, attempt int, how Outcome) {
	t := &w.requests[i].attempts[attempt]
	if !t.inFlight {
		return
	}
	t.inFlight, t.outcome, t.endedAt = false, how, w.now
	if how == OK {
		w.requests[i].isOpen = false
	}
	w.balancer.HandleAttemptEnded(w.now, i, AttemptResult{Attempt: attempt, Endpoint: t.endpoint, CacheResult: 1, Outcome: how, Latency: w.now - t.sentAt, IsAnswered: !w.requests[i].isOpen})
}

// advance moves the clock a millisecond at a time, fires the timers that are due, and times attempts out when their client goes. No request may be lost by then.
func (w *harness) advance(by int64) {
	for end := w.now + by; w.now < end; {
		w.now += ms
		tags := w.timers[w.now]
		delete(w.timers, w.now)
		for _, tag := range tags {
			w.balancer.HandleTimer(w.now, tag)
		}
		for i := range w.requests {
			for t := range w.requests[i].attempts {
				if w.now >= w.requests[i].clientGoneAt {
					w.endAttempt(i, t, TimedOut)
				}
			}
			if w.requests[i].isOpen && w.now > w.requests[i].clientGoneAt+w.duration("invariants.deadlineDrift") {
				w.t.Fatalf("request %d is lost", i)
			}
		}
	}
}

// sendKeys sends a request for each of n keys, answers each at once with cacheResult, and counts the attempts by endpoint. byKey is the endpoint of each key's
// last attempt.
func (w *harness) sendKeys(n int, note int) (sends map[int]int, by map[uint64]int) {
	sends, by = map[int]int{}, map[uint64]int{}
	for k := range uint64(n) {
		i := w.request(Safe, k+1, 1500*ms)
		for t := 0; t < len(w.requests[i].attempts); t++ {
			s := w.requests[i].attempts[t].endpoint
			sends[s]++
			by[k+1] = s
			w.requests[i].attempts[t].inFlight, w.requests[i].isOpen = false, false
			w.balancer.HandleAttemptEnded(w.now+ms, i, AttemptResult{Attempt: t, Endpoint: s, CacheResult: note, Outcome: OK, Latency: 5 * ms, IsAnswered: true})
		}
		w.now += ms
	}
	return sends, by
}

// Send implements Executor, and checks what may never be sent.
func (w *harness) Send(i, s int, until int64) {
	r := &w.requests[i]
	effect, group := r.effect, w.settings["workloads.1.group"].(string)
	remembers := int64(w.settings["workloads.1.dedupWindow"].(float64)) * ms
	drift, inOrder := w.duration("invariants.deadlineDrift"), w.settings["workloads.0.keepOrder"] == true
	for j := 0; inOrder && effect == Safe && j < i; j++ {
		if e := &w.requests[j]; e.effect == Safe && e.key == r.key && (e.isOpen || slices.ContainsFunc(e.attempts, func(t testAttempt) bool {
			return t.inFlight || mayStillRunAfter(t.outcome) && w.now < t.endedAt+w.duration("invariants.orderSettle")
		})) {
			w.t.Fatalf("request %d was sent before %d of its key was over", i, j)
		}
	}
	if !r.isOpen || w.now >= r.clientGoneAt+2*drift {
		w.t.Fatalf("sent after the end of request %d", i)
	}
	if w.health[s] == Draining || w.health[s] == Removed && (w.drained[s] || w.settings["invariants.onlyDrainingBinds"] != true) {
		w.t.Fatalf("sent to server %d, which drains or is gone", s)
	}
	for _, t := range r.attempts {
		if t.inFlight && !w.settings["allowed.secondCopies"].(bool) {
			w.t.Fatalf("second copy of %d where none are allowed", i)
		}
		if !t.inFlight && neverRanAfter(t.outcome) {
			continue
		}
		if effect == NonIdempotent {
			w.t.Fatalf("one-shot %d sent again though it may have run", i)
		}
		if effect == Idempotent && (w.now+w.duration("allowed.dialTimeout")+150*ms-t.sentAt >= remembers || group == "zone" && w.zone[t.endpoint] != w.zone[s] ||
			group == "cell" && t.endpoint%3 != s%3) {
			w.t.Fatalf("stamped %d sent again outside its group or time", i)
		}
	}
	if len(r.attempts) >= int(w.settings["allowed.mostTrips"].(float64)) {
		w.t.Fatalf("too many attempts of %d", i)
	}
	r.attempts = append(r.attempts, testAttempt{endpoint: s, sentAt: w.now, deadline: until, inFlight: true})
	w.sendCounts[s]++
}

// close counts a request's final answer: it may have one.
func (w *harness) close(i int) {
	if !w.requests[i].isOpen {
		w.t.Fatalf("second final answer for %d", i)
	}
	w.requests[i].isOpen = false
}

// Reject implements Executor, and checks what may not be rejected.
func (w *harness) Reject(i int, why Reason, comeBack int64) {
	w.close(i)
	w.reasons[why]++
	w.rejected++
	w.retryAfters = append(w.retryAfters, comeBack)
	r := &w.requests[i]
	for _, t := range r.attempts {
		group := w.settings["workloads.1.group"].(string)
		if (t.inFlight || !neverRanAfter(t.outcome)) && (r.effect == NonIdempotent || r.effect == Idempotent && group != "all") {
			w.t.Fatalf("rejected %d though it may have run", i)
		}
	}
	if comeBack > 0 && !w.settings["allowed.retryAfter"].(bool) {
		w.t.Fatal("told when to come back where that is not allowed")
	}
}

// Fail implements Executor.
func (w *harness) Fail(i int, _ Reason) { w.close(i); w.failed++ }

// Cancel implements Executor.
func (w *harness) Cancel(i, attempt int) { w.cancelled++ }

// WatchEndpoints implements Executor.
func (w *harness) WatchEndpoints() { w.watchCalls++ }

// SetTimer implements Executor: timers fire at whole milliseconds.
func (w *harness) SetTimer(tag int, a int64) {
	at := (w.now + a + ms - 1) / ms * ms
	w.timers[at] = append(w.timers[at], tag)
}

// neverRanAfter tells which outcomes prove that an attempt did not run.
func neverRanAfter(how Outcome) bool {
	return how == Rejected || how == ConnectFailed || how == NotSent || how == CacheMiss
}

// mayStillRunAfter tells after which outcomes an attempt can still be at work.
func mayStillRunAfter(how Outcome) bool { return how == TimedOut || how == Reset || how == Cancelled }

// discardExecutor is an Executor that only notes the endpoints of attempts.
type discardExecutor struct{ sentTo []int }

// Send implements Executor.
func (q *discardExecutor) Send(i, s int, until int64) { q.sentTo = append(q.sentTo, s) }

// Reject implements Executor.
func (q *discardExecutor) Reject(int, Reason, int64) {}

// Fail implements Executor.
func (q *discardExecutor) Fail(int, Reason) {}

// Cancel implements Executor.
func (q *discardExecutor) Cancel(int, int) {}

// SetTimer implements Executor.
func (q *discardExecutor) SetTimer(int, int64) {}

// WatchEndpoints implements Executor.
func (q *discardExecutor) WatchEndpoints() {}
