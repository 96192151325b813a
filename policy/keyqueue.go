package policy

import (
	"math"
	"slices"
)

// Key queues limit how many requests of one key are dispatched at a time. A key may have two queues, one for each of
// these reasons:
//
// Order: the class of requests asks for it (keepOrder). Requests of one key are dispatched one at a time, in the order
// in which they arrived. The next one is dispatched when all earlier ones have their final answers and the outcomes of
// all their attempts are known. After an attempt that may still run, the queue also pauses for keyOrderDelay. This
// guards against writes of one key that run in another order than they were sent.
//
// Throttling: the attempts for a key fail at one endpoint after another. This is detected by a sequential probability
// ratio test (Wald, 1945) against the part of all attempts that fail or are answered late (lateOrFailedRatio). In
// the test itself, an answer to the key counts as a success, late or not. The cause of the failures is then behind
// all endpoints, such as a lock or an expensive computation, and each attempt that waits for it takes capacity from
// other keys. The key's concurrency grows with timely answers and shrinks with failures and late ones, and the outcomes
// of its attempts do not count against endpoints (observations.go). This guards all other keys, and keeps the endpoints
// from looking like outliers one after another. Failed connections and overdue attempts still count against their
// endpoint for a short time, whatever the key.
//
// A request whose turn would come too late for its answer to have value is not queued but rejected at once.

const (
	// maxQueueLength is the largest number of waiting requests in one queue, however fast the queue moves.
	maxQueueLength = 256

	// throttleLogOdds are the odds at which a key is throttled, as a natural logarithm: a hundred to one.
	throttleLogOdds = 4.6

	// throttledFailureRatio is the part of a key's attempts that are expected to fail if the cause is behind all
	// endpoints.
	throttledFailureRatio = 0.9

	// maxFailureLogOdds limits the weight of one failure, so that failures at two or more endpoints are needed.
	maxFailureLogOdds = throttleLogOdds / 2

	// lateOrFailedRatioPrior keeps lateOrFailedRatio off 0 and 1 while few attempts have been counted.
	lateOrFailedRatioPrior = 0.1

	// concurrencyDecrease is the factor by which a late answer or a failure lowers a throttled key's concurrency. As
	// many timely answers as the concurrency, at least one, raise it by one.
	concurrencyDecrease = 0.7

	// minKeyConcurrency is the smallest concurrency of a throttled key. Below one, the queue pauses between requests.
	minKeyConcurrency = 1.0 / 16

	// unthrottleConcurrency is the concurrency from which on a key is no longer throttled once no request waits.
	unthrottleConcurrency = 4.0

	// idleTimeConstants is the number of time constants without a request after which, at the latest, a key is no
	// longer throttled. newKeyQueue may remove its idle queue earlier.
	idleTimeConstants = 10

	// serviceTimeDivisor: a new service time changes the mean by its difference from it, divided by this number.
	serviceTimeDivisor = 4

	// Idle queues are removed while there are more than baseQueueLimit + queueLimitPerRequest x open requests.
	baseQueueLimit       = 64
	queueLimitPerRequest = 2
)

// keyQueueID identifies a queue. A key may have one for order and one for throttling.
type keyQueueID struct {
	key     uint64
	inOrder bool
}

// keyQueue is a queue of requests of one key. A request that waits in it has had no attempt.
type keyQueue struct {
	inOrder         bool
	waiting         []int   // indices of the waiting requests, in order of arrival
	active          int     // dequeued requests without a final answer or with an attempt whose outcome is not known
	concurrency     float64 // limit on active
	pausedUntil     int64   // no request is dequeued before this time
	meanServiceTime float64 // mean time that a request is active, in nanoseconds
	isDequeuing     bool    // dequeue is running: a request that ends meanwhile does not call it again
}

// isIdle reports whether no request waits or is active, and the queue is no longer paused at the given time.
func (q *keyQueue) isIdle(at int64) bool {
	return q.active == 0 && len(q.waiting) == 0 && at >= q.pausedUntil
}

// hasThrottleExpired reports whether a throttled key has had no request for so long that it is no longer throttled.
// pausedUntil dates the last use: it is never before the time at which the last request left the queue.
func (q *keyQueue) hasThrottleExpired(now int64) bool {
	return !q.inOrder && q.isIdle(now-idleTimeConstants*timeConstant)
}

// expectedDequeueTime returns the time at which a request that arrives now is expected to be dequeued.
func (q *keyQueue) expectedDequeueTime(now int64) int64 {
	ahead := float64(len(q.waiting) + q.active)
	return max(now, q.pausedUntil) + int64(ahead*q.meanServiceTime/q.concurrency)
}

// isKeyThrottled reports whether the request goes through the queue of a throttled key.
func (r *requestState) isKeyThrottled() bool { return r.queue != nil && !r.queue.inOrder }

// dequeueDeadline returns the time until which a request can be dequeued with enough time left for an answer.
func (r *requestState) dequeueDeadline() int64 { return min(r.usefulUntil, r.answerBy) - answerMargin }

// dispatchOrEnqueue dispatches a request or adds it to the queue of its key. If the queue is full or the request would
// be dequeued too late, it does neither and returns false.
func (b *Balancer) dispatchOrEnqueue(now int64, index int, hasKey bool) bool {
	request := &b.requests[index]
	id := keyQueueID{request.key, hasKey && b.settings.classes[request.class].inOrder}
	queue := b.keyQueues[id]
	if queue == nil && id.inOrder {
		queue = b.newKeyQueue(now, id)
	}
	if queue == nil || queue.hasThrottleExpired(now) {
		b.dispatch(now, index)
		return true
	}
	latest := request.dequeueDeadline()
	if len(queue.waiting) >= maxQueueLength || queue.expectedDequeueTime(now) >= latest {
		return false
	}
	request.queue, queue.waiting = queue, append(queue.waiting, index)
	b.executor.SetTimer(timerRequest+index, max(0, latest-now))
	b.dequeue(now, queue)
	return true
}

// newKeyQueue creates a queue. If there are many, it removes idle ones first.
func (b *Balancer) newKeyQueue(now int64, id keyQueueID) *keyQueue {
	for other, queue := range b.keyQueues {
		if len(b.keyQueues) > baseQueueLimit+queueLimitPerRequest*len(b.openRequests) && queue.isIdle(now) {
			delete(b.keyQueues, other)
		}
	}
	b.keyQueues[id] = &keyQueue{concurrency: 1, inOrder: id.inOrder, pausedUntil: now}
	return b.keyQueues[id]
}

// dequeue dispatches waiting requests up to the concurrency. A request that ends at once makes room for the next.
// If the queue is paused, dequeue sets a timer for the end of the pause.
func (b *Balancer) dequeue(now int64, queue *keyQueue) {
	for !queue.isDequeuing && len(queue.waiting) > 0 && float64(queue.active) < queue.concurrency {
		index := queue.waiting[0]
		if now < queue.pausedUntil {
			b.executor.SetTimer(timerRequest+index, queue.pausedUntil-now)
			return
		}
		queue.waiting = slices.Delete(queue.waiting, 0, 1)
		queue.active++
		queue.isDequeuing, b.requests[index].isDequeued = true, true
		b.dispatch(now, index)
		queue.isDequeuing = false
	}
}

// handleQueueTimer handles a timer of a request that waits in a queue: it may be due to be dequeued, or its dequeue
// deadline may have passed.
func (b *Balancer) handleQueueTimer(now int64, index int) {
	request := &b.requests[index]
	b.dequeue(now, request.queue)
	if request.isOpen && !request.isDequeued && now >= request.dequeueDeadline() {
		b.finish(now, index, QueueFull)
	}
}

// recordKeyFailure updates the odds of two hypotheses: that throttledFailureRatio of the key's attempts fail, because
// the cause is behind all endpoints, or as many as of all attempts (lateOrFailedRatio). A failure at the same endpoint
// as the key's previous failure adds no evidence. A key whose odds reach throttleLogOdds with a failure is throttled
// unless it has a throttling queue already. An expired one counts until newKeyQueue removes it.
func (b *Balancer) recordKeyFailure(now int64, request *requestState, result AttemptResult) {
	record, lateOrFailed := &b.recentKeys[request.key%recentKeySlots], b.quality.lateOrFailed.ValueAt(b.clock.activityTime)
	lateOrFailedRatio := (lateOrFailed + lateOrFailedRatioPrior) / (lateOrFailed + b.quality.timely.ValueAt(b.clock.activityTime) + 1)
	isKnown := record.key == request.key
	if result.Outcome == OK {
		if isKnown {
			record.failureLogOdds = max(0, record.failureLogOdds+math.Log((1-throttledFailureRatio)/(1-lateOrFailedRatio)))
		}
		return
	}
	if result.Outcome != Errored && result.Outcome != TimedOut {
		return
	}
	if !isKnown {
		*record = keyRecord{
			key:            request.key,
			endpoint:       noEndpoint,
			failedEndpoint: result.Endpoint,
			failureLogOdds: logOddsOfFailure(lateOrFailedRatio),
		}
		return
	}
	if record.failedEndpoint == result.Endpoint {
		return
	}
	record.failedEndpoint = result.Endpoint
	record.failureLogOdds += logOddsOfFailure(lateOrFailedRatio)
	id := keyQueueID{key: request.key}
	if record.failureLogOdds >= throttleLogOdds && b.keyQueues[id] == nil {
		record.failureLogOdds = 0
		b.newKeyQueue(now, id)
	}
}

// logOddsOfFailure returns what one failure of a key adds to its odds, as a natural logarithm. lateOrFailedRatio is the
// part of all attempts that fail or are answered late.
func logOddsOfFailure(lateOrFailedRatio float64) float64 {
	return min(maxFailureLogOdds, math.Log(throttledFailureRatio/lateOrFailedRatio))
}

// adjustKeyQueue handles the end of an attempt whose request is in a queue. A queue for order pauses after an
// attempt that may still run. The concurrency of a throttled key is adjusted as described above.
func (b *Balancer) adjustKeyQueue(now int64, request *requestState, result AttemptResult) {
	queue, outcome := request.queue, result.Outcome
	if queue == nil {
		return
	}
	if queue.inOrder {
		if outcome == TimedOut || outcome == Reset || outcome == Cancelled {
			queue.pausedUntil = max(queue.pausedUntil, now+b.settings.keyOrderDelay)
		}
		return
	}
	switch {
	case outcome == OK && result.Latency < b.settings.classes[request.class].objective/timelyObjectiveDivisor:
		queue.concurrency += 1 / max(1, queue.concurrency)
	case outcome == OK || outcome == Errored || outcome == TimedOut:
		queue.concurrency = max(minKeyConcurrency, queue.concurrency*concurrencyDecrease)
	}
}

// leaveKeyQueue removes a request from its queue once it has its final answer and all its attempts have ended, and
// dequeues the next one.
func (b *Balancer) leaveKeyQueue(now int64, index int) {
	request := &b.requests[index]
	queue := request.queue
	if queue == nil || request.isOpen || request.endedAttempts < len(request.attempts) {
		return
	}
	request.queue = nil
	if request.isDequeued {
		queue.active--
	} else if position := slices.Index(queue.waiting, index); position >= 0 {
		queue.waiting = slices.Delete(queue.waiting, position, position+1)
	}
	if len(request.attempts) > 0 {
		queue.meanServiceTime += (float64(now-request.attempts[0].sentAt) - queue.meanServiceTime) / serviceTimeDivisor
	}
	queue.pausedUntil = max(queue.pausedUntil, now)
	switch {
	case queue.concurrency < 1:
		queue.pausedUntil = now + int64(queue.meanServiceTime*(1/queue.concurrency-1))
	case queue.concurrency >= unthrottleConcurrency && len(queue.waiting) == 0 && !queue.inOrder:
		delete(b.keyQueues, keyQueueID{key: request.key})
	}
	b.dequeue(now, queue)
}
