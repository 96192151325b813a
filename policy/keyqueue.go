package policy

import (
	"math"
	"slices"
)

// Requests of one key that go one at a time, or a few. Two reasons for a queue, each with its own queue of a key:
//
// Order: the class asks for it (keepOrder). Requests with one key go in the order in which they came; the next goes when all before it have their final answer and each
// of their attempts its outcome, and after an attempt that may still run, when the key has rested for orderSettle.
//
// A throttled key: attempts of a key fail at one endpoint after the other, which a sequential probability ratio test holds against how many attempts of all are poor. What
// holds such a key up is behind all endpoints, and each attempt that waits there keeps capacity from other keys. Its concurrency grows with timely answers
// and shrinks with failures; what its attempts do is not held against endpoints. This guards all other keys against one lock or one dear key.
//
// No queue holds a request whose turn would come too late to have value: it is rejected at once.

const (
	// maxQueueLength bounds one queue, however quick it is.
	maxQueueLength = 256

	// throttleOdds are the odds, as a logarithm, by which a key counts as held up: a hundred to one.
	throttleOdds = 4.6

	// throttledFailureRatio is the part of a held-up key's attempts that fail.
	throttledFailureRatio = 0.9

	// maxFailureOdds bounds what one failure tells: it takes two endpoints at least.
	maxFailureOdds = throttleOdds / 2

	// poorPrior keeps the ratio of poor attempts off 0 and 1 while few are known.
	poorPrior = 0.1

	// Concurrency of a throttled key: it grows by one for each round of timely answers and shrinks to concurrencyDecrease with each other end. Under one, the key
	// rests between turns.
	concurrencyDecrease = 0.7
	minConcurrency      = 1.0 / 16

	// dissolveConcurrency is the concurrency at which an empty queue of a throttled key is given up.
	dissolveConcurrency = 4.0

	// idleWindows is after how many time constants without a request a throttled key is one like others again.
	idleWindows = 10

	// turnSmoothing is the weight of what is known of the length of a turn against a new one.
	turnSmoothing = 4

	// Idle queues are removed when there are more than freeQueues and two for each open request.
	freeQueues       = 64
	queuesPerRequest = 2
)

// keyQueueID names a queue: a key may have one for order and one as it is throttled.
type keyQueueID struct {
	key     uint64
	inOrder bool
}

// keyQueue is the queue of one key. Requests that wait have had no attempt.
type keyQueue struct {
	inOrder     bool
	waiting     []int   // requests, first come first
	active      int     // dequeued and not over, or with an attempt that has no outcome
	concurrency float64 // how many may be active
	restsUntil  int64   // nobody is dequeued before
	meanTurn    float64 // nanoseconds
	isDequeuing bool    // guards against a request that ends at once and calls back
}

// isIdle tells whether a queue has nothing to do at a time.
func (q *keyQueue) isIdle(at int64) bool {
	return q.active == 0 && len(q.waiting) == 0 && at >= q.restsUntil
}

// expectedTurn is when a request that comes now would be dequeued.
func (q *keyQueue) expectedTurn(now int64) int64 {
	ahead := float64(len(q.waiting) + q.active)
	return max(now, q.restsUntil) + int64(ahead*q.meanTurn/q.concurrency)
}

// isKeyThrottled tells whether a request's key is held up wherever it goes.
func (r *requestState) isKeyThrottled() bool { return r.queue != nil && !r.queue.inOrder }

// lastTurn is until when a request can be dequeued.
func (r *requestState) lastTurn() int64 { return min(r.usefulUntil, r.answerBy) - answerMargin }

// enqueue dispatches a request or puts it into the queue of its key; false if its turn would come too late.
func (b *Balancer) enqueue(now int64, index int, hasKey bool) bool {
	request := &b.requests[index]
	id := keyQueueID{request.key, hasKey && b.settings.classes[request.class].inOrder}
	queue := b.keyQueues[id]
	if queue == nil && id.inOrder {
		queue = b.newKeyQueue(now, id)
	}
	if queue == nil || !queue.inOrder && queue.isIdle(now-idleWindows*timeConstant) {
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

// newKeyQueue begins a queue, and makes room first: of idle ones none is kept for long.
func (b *Balancer) newKeyQueue(now int64, id keyQueueID) *keyQueue {
	for other, queue := range b.keyQueues {
		if len(b.keyQueues) > freeQueues+queuesPerRequest*len(b.openRequests) && queue.isIdle(now) {
			delete(b.keyQueues, other)
		}
	}
	b.keyQueues[id] = &keyQueue{concurrency: 1, inOrder: id.inOrder, restsUntil: now}
	return b.keyQueues[id]
}

// dequeue dispatches those whose turn has come. One that ends at once makes room for the next.
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

// handleQueueTimer acts on the timer of a request in a queue: its turn may have come, or its time be over.
func (b *Balancer) handleQueueTimer(now int64, index int) {
	request := &b.requests[index]
	b.dequeue(now, request.queue)
	if request.isOpen && !request.isDequeued && now >= request.lastTurn() {
		b.finish(now, index, QueueFull)
	}
}

// recordKeyFailure gathers what speaks for a key that is held up behind all endpoints: the logarithm of the odds of its outcomes, if nine in ten fail, against the part of all
// attempts that are poor. Only failures at another endpoint than the last count.
func (b *Balancer) recordKeyFailure(now int64, request *requestState, result AttemptResult) {
	record, poor := &b.recentKeys[request.key%maxRecentKeys], b.quality.late.ValueAt(b.clock.evidence)
	poor = (poor + poorPrior) / (poor + b.quality.timely.ValueAt(b.clock.evidence) + 1)
	isKnown := record.key == request.key
	switch outcome := result.Outcome; {
	case outcome == OK && isKnown:
		record.suspicion = max(0, record.suspicion+math.Log((1-throttledFailureRatio)/(1-poor)))
	case outcome != Errored && outcome != TimedOut:
	case !isKnown:
		*record = keyRecord{key: request.key, endpoint: noEndpoint, failedAt: result.Endpoint, suspicion: failureOdds(poor)}
	case record.failedAt != result.Endpoint:
		record.failedAt = result.Endpoint
		record.suspicion += failureOdds(poor)
		id := keyQueueID{key: request.key}
		if record.suspicion >= throttleOdds && b.keyQueues[id] == nil {
			record.suspicion = 0
			b.newKeyQueue(now, id)
		}
	}
}

// failureOdds is what one failure of a key tells, where a part of all attempts is poor.
func failureOdds(poor float64) float64 {
	return min(maxFailureOdds, math.Log(throttledFailureRatio/poor))
}

// adjustKeyConcurrency has the key of an attempt that may still run rest for orderSettle, and a throttled one take as many turns as are answered soon.
func (b *Balancer) adjustKeyConcurrency(now int64, request *requestState, result AttemptResult) {
	queue, outcome := request.queue, result.Outcome
	switch {
	case queue == nil:
	case queue.inOrder && (outcome == TimedOut || outcome == Reset || outcome == Cancelled):
		queue.restsUntil = max(queue.restsUntil, now+b.settings.orderSettle)
	case queue.inOrder || outcome != OK && outcome != Errored && outcome != TimedOut:
	case outcome == OK && result.Latency < b.settings.classes[request.class].objective/timelyShare:
		queue.concurrency += 1 / max(1, queue.concurrency)
	default:
		queue.concurrency = max(minConcurrency, queue.concurrency*concurrencyDecrease)
	}
}

// leaveKeyQueue takes a request that is over out of its queue, once each of its attempts has ended.
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
