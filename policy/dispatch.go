package policy

import (
	"math"
	"slices"
)

// How a request is dispatched, after the scan server dispatcher of "Eventually Consistent scans / ScanServer feature
// (Apache Accumulo PR #2665)". A hash maps the request's key to the same few candidates out of many endpoints, and the
// attempt goes to a random one of them. A rejection shows that these are full, and the request chooses from a set that
// grows quickly (3, 21, 147, all). Many rejections while the set holds all endpoints show that all of them are busy: the
// request then waits with exponential backoff, and gets its final answer while an answer would still have value.
// docs/design.md lists the differences and their reasons.

// answerMargin is how long before its deadline, in nanoseconds, a waiting request gets its final answer, so that the
// answer reaches the client in time.
const answerMargin = 25 * millisecond

// attempt is one try of a request at one endpoint.
type attempt struct {
	endpoint int
	sentAt   int64
	state    executionState

	isResponding bool // its response has begun: it does not count as load any more
}

// requestState is the state of a request from its arrival to the end of its last attempt.
type requestState struct {
	class   int
	key     uint64
	isWrite bool
	isOpen  bool // it has no final answer yet

	usefulUntil int64 // later answers have no value
	deadline    int64 // attempts end by this time
	answerBy    int64 // its final answer is due by this time unless an attempt is in flight

	attempts      []attempt
	inFlight      int // number of attempts in flight
	endedAttempts int
	openIndex     int // its index in Balancer.openRequests

	candidateCount int   // number of candidates to choose from
	backoff        int64 // its last wait, in nanoseconds; 0: none yet
	timerAt        int64 // when its current timer is due; earlier timers are ignored; 0: none

	queue      *keyQueue // its key queue; nil: none
	isDequeued bool      // it has left the waiting part of its queue

	// Cache-aside (cacheaside.go).
	missedCache    int  // the first cache that did not hold its key; noEndpoint: none
	bypassesCaches bool // it goes to the origin, as the caches are overloaded
	isFetching     bool // it fetches its key from the origin
	awaitsFetch    bool // it waits for another request's fetch of its key
}

// newRequest returns the state of a request that has just arrived. If client clocks may be off, by up to deadlineDrift,
// the client may wait that much longer than it stated, and attempts may take until then. A waiting request gets its
// final answer by the stated time, or deadlineDrift after its arrival if that is later.
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
		missedCache:    noEndpoint,
	}
	if class.lateValue == 0 {
		stretch := int64(class.objectiveStretch * float64(info.PredictedWork))
		r.usefulUntil = min(r.usefulUntil, now+class.objective+stretch)
	}
	return r
}

// beginStreaming removes the deadline and the timer of a request whose answer has begun.
func (r *requestState) beginStreaming() {
	r.usefulUntil, r.deadline, r.timerAt = math.MaxInt64, math.MaxInt64, 0
}

// isStreaming reports whether the request's answer has begun.
func (r *requestState) isStreaming() bool { return r.usefulUntil == math.MaxInt64 }

// hasTried reports whether an attempt went to the endpoint.
func (r *requestState) hasTried(endpoint int) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == endpoint })
}

// isLastInFlight reports whether an attempt is the request's most recent one, and may still answer it.
func (r *requestState) isLastInFlight(attempt int) bool {
	return r.isOpen && !r.isStreaming() && attempt == len(r.attempts)-1 && r.attempts[attempt].state == inFlight
}

// dispatch sends a request to an endpoint, has it wait, or gives it its final answer. None of its attempts may be in
// flight.
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

// chooseTarget returns the endpoint for a request's next attempt, or noEndpoint. It widens the candidate set until an
// attempt may be sent to one of the candidates.
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

// isAnyEligible reports whether the rules allow an attempt at any endpoint.
func (b *Balancer) isAnyEligible(now int64, request *requestState) bool {
	return slices.ContainsFunc(b.ready, func(endpoint int) bool { return b.isEligible(now, request, endpoint) })
}

// send starts an attempt.
func (b *Balancer) send(now int64, index, target int) {
	request, endpoint := &b.requests[index], &b.endpoints[target]
	endpoint.slowStart.tokens--
	if target != b.origin && len(request.attempts) > 0 {
		endpoint.retries.withdraw()
		b.retries.withdraw()
	}
	request.attempts = append(request.attempts, attempt{endpoint: target, sentAt: now})
	endpoint.attempts.Add(b.clock.activityTime, 1)
	b.admission.lastDispatchAt = now
	request.inFlight++
	b.addLoad(target, 1)
	until := request.deadline
	if request.isKeyThrottled() || b.settings.hasLimitedBuffers {
		// The concurrency or the buffer that the attempt would hold after that is worth more than a late answer.
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

// endInFlight ends the time in flight of an attempt.
func (b *Balancer) endInFlight(request *requestState, ended *attempt) {
	request.inFlight--
	if !ended.isResponding {
		b.addLoad(ended.endpoint, -1)
	}
}

// addLoad adds change, which is 1 when an attempt begins and -1 when it ends or its response begins, to the numbers of attempts
// that count as load.
func (b *Balancer) addLoad(target, change int) {
	endpoint := &b.endpoints[target]
	endpoint.load.advanceAverage(b.clock.activityTime)
	b.load.advanceAverage(b.clock.activityTime)
	endpoint.load.inFlight += change
	if b.isListed(endpoint) && target != b.origin {
		b.load.inFlight += change
	}
}

// continueRequest decides how a request goes on after the end of an attempt.
func (b *Balancer) continueRequest(now int64, index int, result AttemptResult) {
	request := &b.requests[index]
	outcome := result.Outcome
	if !request.isOpen {
		return
	}
	if result.IsAnswered {
		storedIn := noEndpoint
		if outcome == OK {
			storedIn = request.missedCache
		}
		b.closeRequest(now, index, storedIn)
		return
	}
	if request.inFlight > 0 || request.isStreaming() {
		return // Another attempt may still answer, or is already streaming its answer.
	}
	switch {
	case b.isFinalFailure(now, request, result):
		b.finish(now, index, AttemptFailed)
	case outcome == CacheMiss:
		b.coalesceOriginFetch(now, index)
	case result.Endpoint == b.origin:
		b.backOff(now, index, EndpointsBusy) // A rejection or a failed connection means that the origin is busy.
	case outcome == Rejected && request.candidateCount >= len(b.ready):
		b.backOff(now, index, EndpointsBusy)
	case outcome == Rejected:
		request.candidateCount *= expansionFactor
		b.dispatch(now, index)
	default:
		b.dispatch(now, index)
	}
}

// isFinalFailure reports whether a retry cannot succeed after the result of an attempt.
func (b *Balancer) isFinalFailure(now int64, request *requestState, result AttemptResult) bool {
	outcome := result.Outcome
	switch {
	case now >= request.deadline:
		return true
	case outcome == TimedOut:
		return true // An attempt may take until the deadline, so the client no longer waits.
	case outcome == NotSent && b.settings.deadlineDrift > 0:
		return true // The attempt was withdrawn because the client left before the time it had stated.
	case result.Endpoint == b.origin && outcome != Rejected && outcome != ConnectFailed:
		return true // There is no other origin, and only a busy one is tried again.
	case outcome != Errored:
		return false
	}
	// While the key or the origin is failing, other endpoints would return the same error.
	return request.isKeyThrottled() || b.misses.isOriginFailing(b.clock.activityTime, 0)
}

// finish gives a request its final answer when no endpoint has answered it. The request is rejected if it may safely be
// sent again; otherwise it fails.
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

// closeRequest closes a request that has its final answer: it cancels the attempts in flight and releases the requests
// that wait for its fetch. storedIn is the cache that now holds the fetched key, or noEndpoint.
func (b *Balancer) closeRequest(now int64, index, storedIn int) {
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
		b.releaseFetchWaiters(now, request.key, storedIn)
	}
}

// handleRequestTimer handles a due timer of a request: its turn in a queue, the end of a backoff, the end of its wait
// for another request's fetch, or an overdue attempt.
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
		return // A later timer has replaced this one, or none is needed any more.
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
