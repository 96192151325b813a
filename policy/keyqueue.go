package policy

import (
	"math"
	"slices"
)

// Requests of one key that go one at a time, or a few. There are two reasons for a queue, and a key may have one for
// each:
//
// Order: the class asks for it (keepOrder). Requests with one key go in the order in which they came. The next one goes
// when all before it have their final answer and each of their attempts its outcome, and, after an attempt that may
// still run, when the key has rested for orderSettle. This guards writes of one key against running in another order
// than they were sent.
//
// A throttled key: its attempts fail at one endpoint after the other, by the odds of a sequential probability ratio
// test (Wald, 1945) against the part of all attempts that are poor. What holds such a key up is behind all endpoints,
// as a lock or an expensive computation is, and each attempt that waits there keeps capacity from other keys. Its
// concurrency grows with timely answers and shrinks with failures, and how its attempts end is not held against
// endpoints (observations.go). This guards all other keys; else the endpoints would look like outliers one after the
// other. A connection that fails and an attempt that is overdue mark their endpoint for a moment whatever the key is.
//
// No queue holds a request whose turn would come too late to have value: it is rejected at once.

const (
	// maxQueueLength bounds one queue, however quick it is.
	maxQueueLength = 256

	// throttleOdds are the odds, as a natural logarithm, at which a key is throttled: a hundred to one.
	throttleOdds = 4.6

	// throttledFailureRatio is the part of the attempts that fail where something behind all endpoints holds a key up.
	throttledFailureRatio = 0.9

	// maxFailureOdds bounds what one failure tells, so that it takes failures at two endpoints at least.
	maxFailureOdds = throttleOdds / 2

	// poorPrior keeps the ratio of poor attempts off 0 and 1 while few are known.
	poorPrior = 0.1

	// concurrencyDecrease is the part of a throttled key's concurrency that a late answer or a failure leaves. A timely
	// answer adds one for each round of answers.
	concurrencyDecrease = 0.7

	// minConcurrency is the least concurrency of a throttled key. Under one, the key rests between turns.
	minConcurrency = 1.0 / 16

	// dissolveConcurrency is the concurrency from which on a key whose queue is empty is throttled no more.
	dissolveConcurrency = 4.0

	// idleWindows is after how many time constants without a request a key is throttled no more.
	idleWindows = 10

	// turnSmoothing: a new turn counts for one in so many parts of the mean length of a turn.
	turnSmoothing = 4

	// Idle queues are removed when there are more than freeQueues, and queuesPerRequest for each open request.
	freeQueues       = 64
	queuesPerRequest = 2
)

// keyQueueID names a queue: a key may have one for order, and one while it is throttled.
type keyQueueID struct {
	key     uint64
	inOrder bool
}

// keyQueue is the queue of one key. A request that waits in it has had no attempt.
type keyQueue struct {
	inOrder     bool
	waiting     []int   // requests, in the order in which they came
	active      int     // requests that were dequeued and are not over, or have an attempt without an outcome
	concurrency float64 // how many may be active
	restsUntil  int64   // none is dequeued before
	meanTurn    float64 // how long one is active, nanoseconds
	isDequeuing bool    // a request that ends as it is dequeued does not dequeue the next by itself
}

// isIdle tells whether nothing waits or is active in a queue, and its key has rested by a time.
func (q *keyQueue) isIdle(at int64) bool {
	return q.active == 0 && len(q.waiting) == 0 && at >= q.restsUntil
}

// isForgotten tells whether a throttled key has had no request for so long that it is one like others again.
func (q *keyQueue) isForgotten(now int64) bool {
	return !q.inOrder && q.isIdle(now-idleWindows*timeConstant)
}

// expectedTurn is when a request that comes now would be dequeued.
func (q *keyQueue) expectedTurn(now int64) int64 {
	ahead := float64(len(q.waiting) + q.active)
	return max(now, q.restsUntil) + int64(ahead*q.meanTurn/q.concurrency)
}

// isKeyThrottled tells whether a request goes through the queue of a throttled key.
func (r *requestState) isKeyThrottled() bool { return r.queue != nil && !r.queue.inOrder }

// lastTurn is until when a request can be dequeued with time left for an answer.
func (r *requestState) lastTurn() int64 { return min(r.usefulUntil, r.answerBy) - answerMargin }

// enqueue dispatches a request, or puts it into the queue of its key. It returns false, and does neither, if the queue
// is full or the request's turn would come too late.
func (b *Balancer) enqueue(now int64, index int, hasKey bool) bool {
	request := &b.requests[index]
	id := keyQueueID{request.key, hasKey && b.settings.classes[request.class].inOrder}
	queue := b.keyQueues[id]
	if queue == nil && id.inOrder {
		queue = b.newKeyQueue(now, id)
	}
	if queue == nil || queue.isForgotten(now) {
		b.dispatch(now, index)
		return true
	}
	last := request.lastTurn()
	if len(queue.waiting) >= maxQueueLength || queue.expectedTurn(now) >= last {
		return false
	}
	request.queue, queue.waiting = queue, append(queue.waiting, index)
	b.executor.SetTimer(timerRequest+index, max(0, last-now))
	b.dequeue(now, queue)
	return true
}

// newKeyQueue begins a queue. It first removes idle ones where there are many.
func (b *Balancer) newKeyQueue(now int64, id keyQueueID) *keyQueue {
	for other, queue := range b.keyQueues {
		if len(b.keyQueues) > freeQueues+queuesPerRequest*len(b.openRequests) && queue.isIdle(now) {
			delete(b.keyQueues, other)
		}
	}
	b.keyQueues[id] = &keyQueue{concurrency: 1, inOrder: id.inOrder, restsUntil: now}
	return b.keyQueues[id]
}

// dequeue dispatches the requests whose turn has come. One that ends at once leaves its turn to the next.
func (b *Balancer) dequeue(now int64, queue *keyQueue) {
	for !queue.isDequeuing && len(queue.waiting) > 0 && float64(queue.active) < queue.concurrency {
		index := queue.waiting[0]
		if now < queue.restsUntil {
			b.executor.SetTimer(timerRequest+index, queue.restsUntil-now)
			return
		}
		queue.waiting = slices.Delete(queue.waiting, 0, 1)
		queue.active++
		queue.isDequeuing, b.requests[index].isDequeued = true, true
		b.dispatch(now, index)
		queue.isDequeuing = false
	}
}

// handleQueueTimer acts on the timer of a request that waits in a queue: its turn may have come, or its time may be
// over.
func (b *Balancer) handleQueueTimer(now int64, index int) {
	request := &b.requests[index]
	b.dequeue(now, request.queue)
	if request.isOpen && !request.isDequeued && now >= request.lastTurn() {
		b.finish(now, index, QueueFull)
	}
}

// recordKeyFailure gathers the odds that something behind all endpoints holds a request's key up: that
// throttledFailureRatio of its attempts fail, against the part of all attempts that are poor. A key whose odds reach
// throttleOdds is throttled. A failure at the endpoint of the last one tells nothing new.
func (b *Balancer) recordKeyFailure(now int64, request *requestState, result AttemptResult) {
	record, late := &b.recentKeys[request.key%maxRecentKeys], b.quality.late.ValueAt(b.clock.evidence)
	poor := (late + poorPrior) / (late + b.quality.timely.ValueAt(b.clock.evidence) + 1)
	isKnown := record.key == request.key
	if result.Outcome == OK {
		if isKnown {
			record.suspicion = max(0, record.suspicion+math.Log((1-throttledFailureRatio)/(1-poor)))
		}
		return
	}
	if result.Outcome != Errored && result.Outcome != TimedOut {
		return
	}
	if !isKnown {
		*record = keyRecord{key: request.key, endpoint: noEndpoint, failedAt: result.Endpoint, suspicion: failureOdds(poor)}
		return
	}
	if record.failedAt == result.Endpoint {
		return
	}
	record.failedAt = result.Endpoint
	record.suspicion += failureOdds(poor)
	id := keyQueueID{key: request.key}
	if record.suspicion >= throttleOdds && b.keyQueues[id] == nil {
		record.suspicion = 0
		b.newKeyQueue(now, id)
	}
}

// failureOdds is what one failure of a key adds to the odds, as a natural logarithm, where poor is the part of all
// attempts that are.
func failureOdds(poor float64) float64 {
	return min(maxFailureOdds, math.Log(throttledFailureRatio/poor))
}

// adjustKeyConcurrency takes the end of an attempt whose request is in a queue. A key in order rests after an attempt
// that may still run; a throttled one gets more turns with each timely answer, and fewer with each other.
func (b *Balancer) adjustKeyConcurrency(now int64, request *requestState, result AttemptResult) {
	queue, outcome := request.queue, result.Outcome
	if queue == nil {
		return
	}
	if queue.inOrder {
		if outcome == TimedOut || outcome == Reset || outcome == Cancelled {
			queue.restsUntil = max(queue.restsUntil, now+b.settings.orderSettle)
		}
		return
	}
	switch {
	case outcome == OK && result.Latency < b.settings.classes[request.class].objective/timelyShare:
		queue.concurrency += 1 / max(1, queue.concurrency)
	case outcome == OK || outcome == Errored || outcome == TimedOut:
		queue.concurrency = max(minConcurrency, queue.concurrency*concurrencyDecrease)
	}
}

// leaveKeyQueue takes a request that has its final answer out of its queue, once each of its attempts has ended, and
// has the next one go.
func (b *Balancer) leaveKeyQueue(now int64, index int) {
	request := &b.requests[index]
	queue := request.queue
	if queue == nil || request.isOpen || request.ended < len(request.attempts) {
		return
	}
	request.queue = nil
	if request.isDequeued {
		queue.active--
	} else if place := slices.Index(queue.waiting, index); place >= 0 {
		queue.waiting = slices.Delete(queue.waiting, place, place+1)
	}
	if len(request.attempts) > 0 {
		queue.meanTurn += (float64(now-request.attempts[0].sentAt) - queue.meanTurn) / turnSmoothing
	}
	queue.restsUntil = max(queue.restsUntil, now)
	switch {
	case queue.concurrency < 1:
		queue.restsUntil = now + int64(queue.meanTurn*(1/queue.concurrency-1))
	case queue.concurrency >= dissolveConcurrency && len(queue.waiting) == 0 && !queue.inOrder:
		delete(b.keyQueues, keyQueueID{key: request.key})
	}
	b.dequeue(now, queue)
}
