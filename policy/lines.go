package policy

import (
	"math"
	"slices"
)

// Lines of keys: requests of a key that take turns, in the order in which they came. Each key has its own,
// so that none delays another's, and a line takes no more than can have their turn while an answer has value.

const (
	maxQueueLength        = 256 // in one line, however quick it is
	throttleOdds          = 4.6 // the odds, as a logarithm, by which a key is held up
	throttledFailureRatio = 0.9 // of its attempts fail then
	dissolveConcurrency   = 4.0 // room of a line that nobody needs
)

type keyQueueID struct {
	key     uint64
	inOrder bool
}

// line is of one key. Those that wait have had no attempt.
type keyQueue struct {
	waiting              []int
	active               int     // had their turn and are not over, or have an attempt without an outcome
	restsUntil           int64   // nobody's turn comes before
	concurrency          float64 // how many may be under way
	meanTurn             float64 // how long a turn takes
	isDequeuing, inOrder bool
}

// joins lets a request go or puts it into the line of its key; false if its turn would come too late.
func (b *Balancer) enqueue(now int64, i int, keyGiven bool) bool {
	r := &b.requests[i]
	at := keyQueueID{r.key, keyGiven && b.classes[r.class].inOrder}
	l := b.keyQueues[at]
	if l == nil && at.inOrder {
		l = b.newKeyQueue(now, at)
	}
	if l == nil || !l.inOrder && l.isIdle(now-10*timeConstant) {
		b.dispatch(now, i)
		return true
	}
	last, ahead := min(r.usefulUntil, r.answerBy)-answerMargin, float64(len(l.waiting)+l.active)
	if len(l.waiting) >= maxQueueLength || max(now, l.restsUntil)+int64(ahead*l.meanTurn/l.concurrency) >= last {
		return false
	}
	r.queue, l.waiting = l, append(l.waiting, i)
	b.executor.SetTimer(timerRequest+i, max(0, last-now))
	b.dequeueReady(now, l)
	return true
}

// newLine makes room first: of those that nobody stands in none is kept for long.
func (b *Balancer) newKeyQueue(now int64, at keyQueueID) *keyQueue {
	for k, l := range b.keyQueues {
		if len(b.keyQueues) > 64+2*len(b.openRequests) && l.isIdle(now) {
			delete(b.keyQueues, k)
		}
	}
	b.keyQueues[at] = &keyQueue{concurrency: 1, inOrder: at.inOrder, restsUntil: now}
	return b.keyQueues[at]
}

func (l *keyQueue) isIdle(now int64) bool {
	return l.active == 0 && len(l.waiting) == 0 && now >= l.restsUntil
}

// turns lets those go whose turn it is. One that ends at once makes room for the next.
func (b *Balancer) dequeueReady(now int64, l *keyQueue) {
	for !l.isDequeuing && len(l.waiting) > 0 && float64(l.active) < l.concurrency {
		i := l.waiting[0]
		if now < l.restsUntil {
			b.executor.SetTimer(timerRequest+i, l.restsUntil-now)
			return
		}
		l.waiting, l.active = slices.Delete(l.waiting, 0, 1), l.active+1
		l.isDequeuing, b.requests[i].isDequeued = true, true
		b.dispatch(now, i)
		l.isDequeuing = false
	}
}

// waited: a timer of one in line has come due, for its turn or for its answer.
func (b *Balancer) handleQueueTimer(now int64, i int) {
	r := &b.requests[i]
	if b.dequeueReady(now, r.queue); r.isOpen && !r.isDequeued && now >= min(r.usefulUntil, r.answerBy)-answerMargin {
		b.finish(now, i, QueueFull)
	}
}

// strained tells whether a request's key is held up wherever it goes.
func (r *request) isKeyThrottled() bool { return r.queue != nil && !r.queue.inOrder }

// suspects gathers what speaks for a key held up behind all servers: its attempts fail at one after the other.
func (b *Balancer) recordKeyFailure(now int64, r *request, s int, how Outcome) {
	k, poor := &b.recentKeys[r.key%maxRecentKeys], b.late.ValueAt(b.evidence)
	poor = (poor + 0.1) / (poor + b.timely.ValueAt(b.evidence) + 1)
	switch {
	case how == OK && k.key == r.key:
		k.suspicion = max(0, k.suspicion+math.Log((1-throttledFailureRatio)/(1-poor)))
	case how != Errored && how != TimedOut:
	case k.key != r.key:
		*k = keyRecord{key: r.key, endpoint: -1, failedAt: s, suspicion: min(throttleOdds/2, math.Log(throttledFailureRatio/poor))}
	case k.failedAt != s:
		k.failedAt = s
		k.suspicion += min(throttleOdds/2, math.Log(throttledFailureRatio/poor))
		if at := (keyQueueID{r.key, false}); k.suspicion >= throttleOdds && b.keyQueues[at] == nil {
			k.suspicion = 0
			b.newKeyQueue(now, at)
		}
	}
}

// paces has the key of an attempt that may still run rest for as long as the settings say, and one that is held
// up take as many turns as are answered soon.
func (b *Balancer) adjustKeyConcurrency(now int64, r *request, how Outcome, took int64) {
	l := r.queue
	switch {
	case l == nil:
	case l.inOrder && (how == TimedOut || how == Reset || how == Cancelled):
		l.restsUntil = max(l.restsUntil, now+b.orderSettle)
	case l.inOrder || how != OK && how != Errored && how != TimedOut:
	case how == OK && took < b.classes[r.class].objective/2:
		l.concurrency += 1 / max(1, l.concurrency)
	default:
		l.concurrency = max(1.0/16, l.concurrency*0.7)
	}
}

// leave takes a request that is over out of its line, once each of its attempts has ended.
func (b *Balancer) leaveKeyQueue(now int64, i int) {
	r, l := &b.requests[i], b.requests[i].queue
	if l == nil || r.isOpen || r.ended < len(r.attempts) {
		return
	}
	r.queue = nil
	if r.isDequeued {
		l.active--
	} else if at := slices.Index(l.waiting, i); at >= 0 {
		l.waiting = slices.Delete(l.waiting, at, at+1)
	}
	if len(r.attempts) > 0 {
		l.meanTurn += (float64(now-r.attempts[0].sentAt) - l.meanTurn) / 4
	}
	if l.restsUntil = max(l.restsUntil, now); l.concurrency < 1 {
		l.restsUntil = now + int64(l.meanTurn*(1/l.concurrency-1))
	} else if l.concurrency >= dissolveConcurrency && len(l.waiting) == 0 && !l.inOrder {
		delete(b.keyQueues, keyQueueID{r.key, false})
	}
	b.dequeueReady(now, l)
}
