package policy

// Cache-aside: a read that misses comes back to the balancer, which asks the origin and has the value stored where it
// missed; writes go to the origin. The origin handles far fewer requests than the caches. So each key is fetched once
// at a time (requests for it are coalesced), and the reads in flight at the origin are limited: the limit grows by one
// for each round of timely answers and shrinks by a fifth with each late one or failure (additive increase,
// multiplicative decrease; Chiu and Jain, 1989).
//
// This guards the origin against a flush or a restart of caches, when every read is a fetch: it would slow down, its
// answers would come late, and all would be fetched again. It shows as errors or late answers on reads at all caches
// alike. The guard holds since the limit follows what the origin answers in time, whatever that is.

const (
	// initialOriginLimit is how many reads all balancers together may have in flight at the origin at first, beyond
	// initialOriginReads for each of them.
	initialOriginLimit = 40.0
	initialOriginReads = 2

	// originDecrease is the part of the limit that a late answer or a failure leaves.
	originDecrease = 0.8

	// minOriginLimit is the least limit. Under one, it is the chance that a read is sent: a balancer of many still
	// finds out whether the origin is back.
	minOriginLimit = 0.1

	// missThreshold is the part of the reads that may miss, or fail, before keys keep to one order of candidates: each
	// further candidate is a further fetch.
	missThreshold = 0.15
)

// originLimiter is how many reads this balancer may have in flight at the origin, and which keys it is fetching.
type originLimiter struct {
	limit   float64
	fetches map[uint64]int // from a key to the index of the request that asks the origin for it
}

func newOriginLimiter(fleetSize float64) originLimiter {
	return originLimiter{limit: initialOriginReads + initialOriginLimit/fleetSize, fetches: map[uint64]int{}}
}

func (o *originLimiter) increase() { o.limit += 1 / max(1, o.limit) }
func (o *originLimiter) decrease() { o.limit = max(minOriginLimit, o.limit*originDecrease) }

// missRate is how many reads were answered, how many of these missed or failed, and how many of those came late or
// failed. The sums fade by the clock of evidence.
type missRate struct{ reads, missed, failed sum }

// areFrequent tells whether so many reads miss that a key has to keep to one order of its candidates.
func (m *missRate) areFrequent(evidence int64) bool {
	return m.missed.ValueAt(evidence) > missThreshold*(m.reads.ValueAt(evidence)+1)
}

// isOriginFailing tells whether so many reads fail that an error at one endpoint would be one at the next, too. slack
// is added to the count of reads, so that one failure among few tells nothing.
func (m *missRate) isOriginFailing(evidence int64, slack float64) bool {
	return m.failed.ValueAt(evidence) > missThreshold*(m.reads.ValueAt(evidence)+slack)
}

// goesToOrigin tells whether a request's next attempt is for the origin: that of a write, of a read that missed, of one
// that bypasses overloaded caches, and the last attempt of a read that lost others at caches.
func (b *Balancer) goesToOrigin(request *requestState) bool {
	if !b.settings.cacheAside {
		return false
	}
	return request.isWrite || request.missedAt != noEndpoint || request.bypassesCaches || b.isLastRetry(request)
}

// isLastRetry tells whether a request can have one more attempt at most: by the settings, or as no tokens pay for
// another. At a cache it could end as a miss, with no attempt left for the fetch, or would wait for tokens.
func (b *Balancer) isLastRetry(request *requestState) bool {
	if len(request.attempts) == 0 {
		return false
	}
	return len(request.attempts) == b.settings.maxAttempts-1 || !b.retries.canPay()
}

// isOriginFull tells whether the limit keeps a read from the origin. The fraction of the limit is the chance of one
// more read. Writes are not limited: they have nowhere else to go.
func (b *Balancer) isOriginFull(request *requestState) bool {
	if b.origin == noEndpoint || request.isWrite {
		return false
	}
	return float64(b.endpoints[b.origin].load.inFlight)+b.random.float64() > b.originReads.limit
}

// canBypassCaches tells whether a read that would be rejected, as caches are overloaded, may ask the origin, which is
// not.
func (b *Balancer) canBypassCaches(request *requestState) bool {
	if !b.settings.cacheAside || request.isWrite || b.origin == noEndpoint {
		return false
	}
	return float64(b.endpoints[b.origin].load.inFlight+1) < b.originReads.limit
}

// coalesceOriginFetch asks the origin for a read's key, or has the read wait for the request that does already. One
// that waits is woken in time for its final answer, should the fetch hang.
func (b *Balancer) coalesceOriginFetch(now int64, index int) {
	request := &b.requests[index]
	if leader, isFetched := b.originReads.fetches[request.key]; isFetched && leader != index {
		request.awaitsFetch = true
		request.timerAt = max(now, min(request.usefulUntil, request.answerBy)-answerMargin)
		b.executor.SetTimer(timerRequest+index, request.timerAt-now)
		return
	}
	b.originReads.fetches[request.key], request.isFetching = index, true
	b.dispatch(now, index)
}

// releaseFetchWaiters has the requests that waited for a fetch go on: to the cache that holds the key now, or, if none
// does, one of them to the origin while the others wait for it.
func (b *Balancer) releaseFetchWaiters(now int64, key uint64, storedAt int) {
	delete(b.originReads.fetches, key)
	// A waiter that goes on may end others, so the list may get shorter between two steps.
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
