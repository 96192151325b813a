package policy

import (
	"math"
	"slices"
)

// The ordinary path of a request, from the scan server dispatcher of "Eventually Consistent scans / ScanServer feature (Apache Accumulo PR #2665)": a hash maps its key to
// the same few candidates out of many, the attempt goes to one of them at random, a rejection makes it choose from a quickly growing set (3, 21, 147, all),
// and once the set is everything it waits exponentially longer, as many rejections tell that the whole fleet is busy. docs/design.md lists what differs and why.

// answerMargin is how long before its deadline a queued or waiting request gets its final answer, so that the answer still reaches the client.
const answerMargin = 25 * millisecond

// attempt is one request sent to one endpoint.
type attempt struct {
	endpoint int
	sentAt   int64
	state    executionState
}

// requestState is a request from its arrival to the end of its last attempt.
type requestState struct {
	class   int
	key     uint64
	isWrite bool
	isOpen  bool // it has no final answer

	usefulUntil int64 // an answer after it has no value
	deadline    int64 // attempts end by then
	answerBy    int64 // with nothing in flight its final answer is due by then, whatever clocks say

	attempts  []attempt
	inFlight  int // attempts
	ended     int // attempts
	openIndex int // its place in Balancer.openRequests

	candidateCount int   // among how many candidates it chooses
	backoff        int64 // its last wait; 0: none yet
	timerAt        int64 // when its timer counts; 0: none

	queue      *keyQueue // that it stands in; nil: none
	isDequeued bool      // its turn has come

	// Cache-aside (cacheaside.go).
	missedAt       int  // the cache that lacked the key first; noEndpoint
	bypassesCaches bool // it asks the origin, as the caches are overloaded
	isFetching     bool // it asks the origin for its key
	awaitsFetch    bool // another request does
}

// newRequest begins a request. Where clocks differ (deadlineDrift) its client may wait longer than stated: attempts end when it goes, and what waits ends in
// time whatever the clocks say.
func newRequest(now int64, info RequestInfo, key uint64, class *requestClass, deadlineDrift int64, attempts []attempt) requestState {
	r := requestState{
		class:          info.Class,
		key:            key,
		isWrite:        info.IsWrite,
		isOpen:         true,
		usefulUntil:    now + info.Remaining + deadlineDrift,
		deadline:       now + info.Remaining + deadlineDrift,
		answerBy:       now + max(info.Remaining, deadlineDrift),
		attempts:       attempts,
		candidateCount: initialCandidates,
		missedAt:       noEndpoint,
	}
	if class.lateValue == 0 {
		stretch := int64(class.objectiveStretch * float64(info.PredictedWork))
		r.usefulUntil = min(r.usefulUntil, now+class.objective+stretch)
	}
	return r
}

// start frees a request of its deadline, as its answer has begun.
func (r *requestState) start() {
	r.usefulUntil, r.deadline, r.timerAt = math.MaxInt64, math.MaxInt64, 0
}

// hasStarted tells whether its answer has begun.
func (r *requestState) hasStarted() bool { return r.usefulUntil == math.MaxInt64 }

// hasTried tells whether an attempt went to an endpoint.
func (r *requestState) hasTried(endpoint int) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == endpoint })
}

// dispatch sends a request to an endpoint, has it wait, or gives it its final answer.
func (b *Balancer) dispatch(now int64, index int) {
	request := &b.requests[index]
	if request.bypassesCaches && !request.isFetching {
		b.coalesceOriginFetch(now, index)
		return
	}
	target, isOriginFull := b.chooseTarget(now, request)
	switch {
	case isOriginFull:
		b.count(&b.misses.missed, &b.misses.failed)
		b.backOff(now, index, EndpointsBusy)
	case now >= request.usefulUntil:
		b.finish(now, index, DeadlineNear)
	case len(request.attempts) >= b.settings.maxAttempts:
		b.finish(now, index, AttemptsSpent)
	case target == noEndpoint && len(request.attempts) > 0 && b.isAnyEligible(now, request):
		b.backOff(now, index, NoRetryTokens)
	case target == noEndpoint || !b.canDispatch(now, request, target):
		b.finish(now, index, NoEndpoint)
	default:
		b.send(now, index, target)
	}
}

// chooseTarget is the endpoint that a request goes to next. The set of candidates grows until one of them may be sent to.
func (b *Balancer) chooseTarget(now int64, request *requestState) (target int, isOriginFull bool) {
	if b.goesToOrigin(request) {
		return b.origin, b.isOriginFull(request)
	}
	target = b.selectEndpoint(now, request)
	for target == noEndpoint && request.candidateCount < len(b.ready) {
		request.candidateCount *= expansionFactor
		target = b.selectEndpoint(now, request)
	}
	return target, false
}

// isAnyEligible tells whether the rules allow an attempt somewhere.
func (b *Balancer) isAnyEligible(now int64, request *requestState) bool {
	return slices.ContainsFunc(b.ready, func(endpoint int) bool { return b.isEligible(now, request, endpoint) })
}

// send starts an attempt.
func (b *Balancer) send(now int64, index, target int) {
	request, endpoint := &b.requests[index], &b.endpoints[target]
	endpoint.slowStart.tokens--
	if target != b.origin && len(request.attempts) > 0 {
		endpoint.retries.spend()
		b.retries.spend()
	}
	request.attempts = append(request.attempts, attempt{endpoint: target, sentAt: now})
	endpoint.attempts.Add(b.clock.evidence, 1)
	b.admission.lastDispatchAt = now
	b.addInFlight(request, target, 1)
	until := request.deadline
	if request.isKeyThrottled() || b.settings.hasFewBuffers {
		until = request.usefulUntil // What it would still hold after that is dearer than its answer.
	}
	b.executor.Send(index, target, until)
	overdueAt := b.overdueAt(now, request)
	if target == b.origin {
		return
	}
	request.timerAt = 0
	if overdueAt < until {
		request.timerAt = overdueAt
		b.executor.SetTimer(timerRequest+index, overdueAt-now)
	}
}

// addInFlight counts an attempt that began or ended.
func (b *Balancer) addInFlight(request *requestState, target, change int) {
	endpoint := &b.endpoints[target]
	endpoint.load.settle(b.clock.evidence)
	b.load.settle(b.clock.evidence)
	request.inFlight += change
	endpoint.load.inFlight += change
	if b.isListed(endpoint) && target != b.origin {
		b.load.inFlight += change
	}
}

// continueRequest decides what follows the end of an attempt.
func (b *Balancer) continueRequest(now int64, index int, result AttemptResult) {
	request := &b.requests[index]
	outcome := result.Outcome
	switch {
	case !request.isOpen:
	case result.IsAnswered && outcome == OK:
		b.closeRequest(now, index, request.missedAt)
	case result.IsAnswered:
		b.closeRequest(now, index, noEndpoint)
	case request.inFlight > 0 || request.hasStarted(): // Another attempt may still answer, or does.
	case b.isFinalFailure(now, request, result):
		b.finish(now, index, AttemptFailed)
	case outcome == CacheMiss:
		b.coalesceOriginFetch(now, index)
	case result.Endpoint == b.origin, outcome == Rejected && request.candidateCount >= len(b.ready):
		b.backOff(now, index, EndpointsBusy) // An origin that takes no connection is taken for busy.
	case outcome == Rejected:
		request.candidateCount *= expansionFactor
		b.dispatch(now, index)
	default:
		b.dispatch(now, index)
	}
}

// isFinalFailure tells whether a retry would not mend what an attempt ended with.
func (b *Balancer) isFinalFailure(now int64, request *requestState, result AttemptResult) bool {
	outcome := result.Outcome
	switch {
	case outcome == TimedOut || outcome == NotSent && b.settings.deadlineDrift > 0:
		return true // The client has gone, whatever was stated.
	case now >= request.deadline:
		return true
	case result.Endpoint == b.origin && outcome != Rejected && outcome != ConnectFailed:
		return true
	}
	// While the key or the origin is in trouble the next endpoint would answer the same.
	return outcome == Errored && (request.isKeyThrottled() || b.misses.isOriginFailing(b.clock.evidence, 0))
}

// finish gives a request that no endpoint answered its final answer, at once.
func (b *Balancer) finish(now int64, index int, reason Reason) {
	request := &b.requests[index]
	canReject, retryAfter := b.canReject(request), b.retryAfter(request)
	b.closeRequest(now, index, noEndpoint)
	if canReject {
		b.executor.Reject(index, reason, retryAfter)
	} else {
		b.executor.Fail(index, reason)
	}
	b.leaveKeyQueue(now, index)
}

// closeRequest forgets a request that has its final answer. storedAt is the cache that holds its key now, if its fetch succeeded.
func (b *Balancer) closeRequest(now int64, index, storedAt int) {
	request := &b.requests[index]
	request.isOpen = false
	last := b.openRequests[len(b.openRequests)-1]
	b.openRequests[request.openIndex], b.requests[last].openIndex = last, request.openIndex
	b.openRequests = b.openRequests[:len(b.openRequests)-1]
	for number := range request.attempts {
		if request.attempts[number].state == inFlight && b.settings.mayCancel {
			b.executor.Cancel(index, number)
		}
	}
	if request.isFetching {
		b.releaseFetchWaiters(now, request.key, storedAt)
	}
}

// handleRequestTimer acts on a request whose timer has come due: its turn in a queue, the end of a backoff, a fetch that did not come, or an attempt that is
// overdue.
func (b *Balancer) handleRequestTimer(now int64, index int) {
	request := &b.requests[index]
	switch {
	case !request.isOpen:
		return
	case request.queue != nil && !request.isDequeued:
		b.handleQueueTimer(now, index)
		return
	case request.timerAt == 0 || request.timerAt > now:
		return // A later one counts.
	}
	request.timerAt = 0
	switch {
	case request.awaitsFetch:
		b.finish(now, index, DeadlineNear)
	case request.inFlight == 0:
		b.dispatch(now, index)
	default:
		b.hedge(now, index)
	}
}
