package policy

// Cache-aside: a miss comes back to the balancer, which asks the origin and has the value stored where it missed; writes go to the origin. The origin handles far fewer requests
// than the caches, so each key is fetched once at a time and reads in flight there are limited. This guards the origin against a flush or restart of caches, when every
// read is a fetch: it would slow down and all be lost. It shows as errors or late answers on reads at all caches alike.

const (
	// initialOriginLimit is how many reads all balancers together may have in flight at the origin at first, beyond initialOriginReads each.
	initialOriginLimit = 40.0
	initialOriginReads = 2

	// The limit grows with each timely answer by one for each round of answers, and shrinks to originDecrease with each late one or failure (additive increase, multiplicative
	// decrease). Under one, reads are let in by chance.
	originDecrease = 0.8
	minOriginLimit = 0.1

	// missThreshold is the part of the reads that may miss, or fail, before keys keep to one order of candidates: each candidate more is a fetch more.
	missThreshold = 0.15
)

// originLimiter is how many reads may be in flight at the origin, and which keys are being fetched.
type originLimiter struct {
	limit   float64
	fetches map[uint64]int // from the key to the request that asks the origin for it
}

func newOriginLimiter(fleetSize float64) originLimiter {
	return originLimiter{limit: initialOriginReads + initialOriginLimit/fleetSize, fetches: map[uint64]int{}}
}

func (o *originLimiter) increase() { o.limit += 1 / max(1, o.limit) }
func (o *originLimiter) decrease() { o.limit = max(minOriginLimit, o.limit*originDecrease) }

// missRate is how many reads were answered, how many of these missed or failed, and how many of those late or failed. They fade.
type missRate struct{ reads, missed, failed sum }

// areFrequent tells whether so many reads miss that a key has to keep to one order of its candidates.
func (m *missRate) areFrequent(evidence int64) bool {
	return m.missed.ValueAt(evidence) > missThreshold*(m.reads.ValueAt(evidence)+1)
}

// isOriginFailing tells whether so many reads fail that an error at one endpoint would be one at the next, too. slack is added to the reads, where few are known.
func (m *missRate) isOriginFailing(evidence int64, slack float64) bool {
	return m.failed.ValueAt(evidence) > missThreshold*(m.reads.ValueAt(evidence)+slack)
}

// goesToOrigin tells whether a request's next attempt is for the origin: a write, a read that missed, one that passes by overloaded caches, or the last attempt
// of a read that lost others at caches, which may not end as a miss nor wait for tokens that are not there.
func (b *Balancer) goesToOrigin(request *requestState) bool {
	if !b.settings.cacheAside {
		return false
	}
	isLast := len(request.attempts) > 0 && (len(request.attempts) == b.settings.maxAttempts-1 || !b.retries.canPay())
	return request.isWrite || request.missedAt != noEndpoint || request.bypassesCaches || isLast
}

// isOriginFull tells whether a read finds no room at the origin. A part of one is let in by chance. Writes are not limited: they have nowhere else to go.
func (b *Balancer) isOriginFull(request *requestState) bool {
	if b.origin == noEndpoint || request.isWrite {
		return false
	}
	return float64(b.endpoints[b.origin].load.inFlight)+b.random.float64() > b.originReads.limit
}

// canBypassCaches tells whether a read that overloaded caches would reject may ask the origin, which has room.
func (b *Balancer) canBypassCaches(request *requestState) bool {
	if !b.settings.cacheAside || request.isWrite || b.origin == noEndpoint {
		return false
	}
	return float64(b.endpoints[b.origin].load.inFlight+1) < b.originReads.limit
}

// coalesceOriginFetch asks the origin for a read's key, or has the read wait for the request that does already.
func (b *Balancer) coalesceOriginFetch(now int64, index int) {
	request := &b.requests[index]
	if leader, isOut := b.originReads.fetches[request.key]; isOut && leader != index {
		request.awaitsFetch = true
		request.timerAt = max(now, min(request.usefulUntil, request.answerBy)-answerMargin)
		b.executor.SetTimer(timerRequest+index, request.timerAt-now)
		return
	}
	b.originReads.fetches[request.key], request.isFetching = index, true
	b.dispatch(now, index)
}

// releaseFetchWaiters has those that waited for a fetch go on: to the cache that holds the key now, or one of them to the origin.
func (b *Balancer) releaseFetchWaiters(now int64, key uint64, storedAt int) {
	delete(b.originReads.fetches, key)
	// A waiter that goes on may end others, so the list may get shorter on the way.
	for n := len(b.openRequests) - 1; n >= 0; n = min(n, len(b.openRequests)) - 1 {
		index := b.openRequests[n]
		waiter := &b.requests[index]
		if !waiter.awaitsFetch || waiter.key != key {
			continue
		}
		waiter.awaitsFetch = false
		if storedAt != noEndpoint && b.canDispatch(now, waiter, storedAt) {
			waiter.missedAt = noEndpoint
			b.send(now, index, storedAt)
		} else {
			b.coalesceOriginFetch(now, index)
		}
	}
}
