package policy

// Cache-aside: a read that misses returns to the balancer, which fetches the key from the origin and has the value
// stored in the cache that missed. Writes go to the origin. The origin can serve far fewer requests than the caches, so
// that concurrent fetches of one key are coalesced and the number of reads in flight at the origin is limited. The limit
// grows by one for each round of timely answers and shrinks by a fifth with each late answer or failure (additive
// increase, multiplicative decrease; Chiu and Jain, 1989).
//
// This guards the origin when caches are flushed or restarted and every read is a fetch: the origin would slow down,
// its answers would come late, and all keys would be fetched again. The symptom is errors or late answers for reads at
// all caches alike. The guard holds because the limit follows what the origin answers in time, however much that is.

const (
	// How many reads may be in flight at the origin at first: each balancer may have initialBalancerOriginLimit, and the
	// whole fleet another initialFleetOriginLimit together.
	initialFleetOriginLimit    = 40.0
	initialBalancerOriginLimit = 2

	// originLimitDecrease is the factor by which a late answer or a failure lowers the limit.
	originLimitDecrease = 0.8

	// minOriginLimit is the smallest limit. A limit below one is the probability that a read is sent, so that a large
	// fleet still finds out whether the origin has recovered.
	minOriginLimit = 0.1

	// maxMissRatio is the part of the reads that may miss, or fail, before the candidates of each key are tried in one
	// fixed order: each further candidate would cause a further fetch.
	maxMissRatio = 0.15
)

// originLimiter limits this balancer's reads in flight at the origin and holds the keys that it is fetching.
type originLimiter struct {
	limit   float64
	fetches map[uint64]int // from a key to the index of the request that fetches it from the origin
}

func newOriginLimiter(fleetSize float64) originLimiter {
	return originLimiter{limit: initialBalancerOriginLimit + initialFleetOriginLimit/fleetSize, fetches: map[uint64]int{}}
}

func (o *originLimiter) increase() { o.limit += 1 / max(1, o.limit) }
func (o *originLimiter) decrease() { o.limit = max(minOriginLimit, o.limit*originLimitDecrease) }

// missRate holds decaying sums of the reads that were answered, of those that missed or failed, and of the latter that
// were also late or failed.
type missRate struct{ reads, missed, failed sum }

// areMissesFrequent reports whether so many reads miss that the candidates of each key are to be tried in one fixed
// order.
func (m *missRate) areMissesFrequent(activityTime int64) bool {
	return m.missed.ValueAt(activityTime) > maxMissRatio*(m.reads.ValueAt(activityTime)+1)
}

// isOriginFailing reports whether so many reads fail that after an error at one endpoint the next would fail, too.
// slack is added to the number of reads, so that one failure among few reads is not enough.
func (m *missRate) isOriginFailing(activityTime int64, slack float64) bool {
	return m.failed.ValueAt(activityTime) > maxMissRatio*(m.reads.ValueAt(activityTime)+slack)
}

// goesToOrigin reports whether a request's next attempt goes to the origin: that of a write, of a read that missed, of a
// read that bypasses overloaded caches, and the last attempt of a read whose earlier attempts at caches failed.
func (b *Balancer) goesToOrigin(request *requestState) bool {
	if !b.settings.cacheAside {
		return false
	}
	return request.isWrite || request.missedCache != noEndpoint || request.bypassesCaches || b.isLastRetry(request)
}

// isLastRetry reports whether a request can have at most one more attempt, by the settings or because no tokens are
// left for another. At a cache this attempt could miss and leave none for the fetch, or have to wait for tokens.
func (b *Balancer) isLastRetry(request *requestState) bool {
	if len(request.attempts) == 0 {
		return false
	}
	return len(request.attempts) == b.settings.maxAttempts-1 || !b.retries.hasToken()
}

// isOriginFull reports whether the limit keeps a read from the origin. The fractional part of the limit is the
// probability of one more read. Writes are not limited, as they can go nowhere else.
func (b *Balancer) isOriginFull(request *requestState) bool {
	if b.origin == noEndpoint || request.isWrite {
		return false
	}
	return float64(b.endpoints[b.origin].load.inFlight)+b.random.float64() > b.originReads.limit
}

// canBypassCaches reports whether a read that would be rejected because the caches are overloaded may go to the origin
// instead, as the origin is below its limit.
func (b *Balancer) canBypassCaches(request *requestState) bool {
	if !b.settings.cacheAside || request.isWrite || b.origin == noEndpoint {
		return false
	}
	return float64(b.endpoints[b.origin].load.inFlight+1) < b.originReads.limit
}

// coalesceOriginFetch fetches a read's key from the origin, or has the read wait for a request that already fetches it.
// A waiting read has a timer, so that it gets its final answer in time if the fetch hangs.
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

// releaseFetchWaiters has the requests that wait for a fetch go on: to the cache that now holds the key, or, if none
// does, one of them to the origin while the others wait for it.
func (b *Balancer) releaseFetchWaiters(now int64, key uint64, storedIn int) {
	delete(b.originReads.fetches, key)
	// A request that goes on may close others and so shorten the list during the loop.
	for n := len(b.openRequests) - 1; n >= 0; n = min(n, len(b.openRequests)) - 1 {
		index := b.openRequests[n]
		waiter := &b.requests[index]
		if !waiter.awaitsFetch || waiter.key != key {
			continue
		}
		waiter.awaitsFetch = false
		if storedIn != noEndpoint && b.canDispatch(now, waiter, storedIn) {
			waiter.missedCache = noEndpoint
			b.send(now, index, storedIn)
		} else {
			b.coalesceOriginFetch(now, index)
		}
	}
}
