package policy

import (
	"math"
	"slices"
)

// The ordinary path of a request, from the scan server dispatcher of "Eventually Consistent scans / ScanServer feature
// (Apache Accumulo PR #2665)": a hash maps its key to the same few candidates out of many, and the attempt goes to one
// of them at random. A rejection tells that these are full: the request chooses from a quickly growing set (3, 21, 147,
// all). Once the set is everything, many rejections tell that the whole fleet is busy: the request waits, exponentially
// longer, and ends while an answer still has value. docs/design.md lists what differs and why.

// answerMargin is how long before its deadline a request that waits gets its final answer, in nanoseconds, so that the
// answer still reaches the client.
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
	answerBy    int64 // while nothing is in flight, its final answer is due by then

	attempts  []attempt
	inFlight  int // attempts
	ended     int // attempts
	openIndex int // its place in Balancer.openRequests

	candidateCount int   // among how many candidates it chooses
	backoff        int64 // its last wait, nanoseconds; 0: none yet
	timerAt        int64 // when its timer counts; 0: none

	queue      *keyQueue // of its key; nil: none
	isDequeued bool      // it no longer waits in its queue

	// Cache-aside (cacheaside.go).
	missedAt       int  // the first cache that lacked its key; noEndpoint
	bypassesCaches bool // it asks the origin, as the caches are overloaded
	isFetching     bool // it asks the origin for its key
	awaitsFetch    bool // another request does, and it waits for that
}

// newRequest begins a request. Where the clocks of clients may be off, by deadlineDrift, the client may wait so much
// longer than stated: attempts may take until then. A request that waits gets its final answer by the stated time, or
// after deadlineDrift if that is later.
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

// start removes the deadline of a request whose answer has begun.
func (r *requestState) beginStreaming() {
	r.usefulUntil, r.deadline, r.timerAt = math.MaxInt64, math.MaxInt64, 0
}

// hasStarted tells whether its answer has begun.
func (r *requestState) isStreaming() bool { return r.usefulUntil == math.MaxInt64 }

// hasTried tells whether an attempt went to an endpoint.
func (r *requestState) hasTried(endpoint int) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == endpoint })
}

// dispatch sends a request to an endpoint, has it wait, or gives it its final answer. Nothing of it is in flight.
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

// chooseTarget returns the endpoint that a request goes to next, or noEndpoint. The set of candidates grows until one
// of them may be sent to.
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
		// The concurrency or the buffer that it would hold after that is worth more than a late answer.
		until = request.usefulUntil
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

// addInFlight counts an attempt that began (change is 1) or ended (-1).
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
	if !request.isOpen {
		return
	}
	if result.IsAnswered {
		storedAt := noEndpoint
		if outcome == OK {
			storedAt = request.missedAt
		}
		b.closeRequest(now, index, storedAt)
		return
	}
	if request.inFlight > 0 || request.isStreaming() {
		return // Another attempt may still answer, or does.
	}
	switch {
	case b.isFinalFailure(now, request, result):
		b.finish(now, index, AttemptFailed)
	case outcome == CacheMiss:
		b.coalesceOriginFetch(now, index)
	case result.Endpoint == b.origin:
		b.backOff(now, index, EndpointsBusy) // It rejected, or took no connection, as one that is busy does.
	case outcome == Rejected && request.candidateCount >= len(b.ready):
		b.backOff(now, index, EndpointsBusy)
	case outcome == Rejected:
		request.candidateCount *= expansionFactor
		b.dispatch(now, index)
	default:
		b.dispatch(now, index)
	}
}

// isFinalFailure tells whether a retry could not succeed after what an attempt ended with.
func (b *Balancer) isFinalFailure(now int64, request *requestState, result AttemptResult) bool {
	outcome := result.Outcome
	switch {
	case now >= request.deadline:
		return true
	case outcome == TimedOut:
		return true // An attempt runs up to the deadline: the client waits no longer.
	case outcome == NotSent && b.settings.deadlineDrift > 0:
		return true // Withdrawn because the client has gone, before the time that it stated.
	case result.Endpoint == b.origin && outcome != Rejected && outcome != ConnectFailed:
		return true // The origin has answered, and there is only one.
	case outcome != Errored:
		return false
	}
	// While a key or the origin is failing, the next endpoint would answer the same.
	return request.isKeyThrottled() || b.misses.isOriginFailing(b.clock.evidence, 0)
}

// finish gives a request that no endpoint answered its final answer: it is rejected if it may be sent again without
// harm, else it fails.
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

// closeRequest ends a request that has its final answer: it cancels what is in flight, and has the requests that wait
// for its fetch go on. storedAt is the cache that holds its key now, if it has fetched that; else noEndpoint.
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

// handleRequestTimer acts on a request whose timer has come due: its turn in a queue, the end of a backoff, a fetch
// that did not come, or an attempt that is overdue.
func (b *Balancer) handleRequestTimer(now int64, index int) {
	request := &b.requests[index]
	if !request.isOpen {
		return
	}
	if request.queue != nil && !request.isDequeued {
		b.handleQueueTimer(now, index)
		return
	}
	if request.timerAt == 0 || request.timerAt > now {
		return // This one was set before the last that counts.
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
