package policy

// The retry budget, backoff and hedging.
//
// Retry budget, a token bucket: each success adds retryTokensPerSuccess, both for its endpoint and for the balancer;
// each attempt of a request after its first takes a whole token from both. This guards against retry storms: when many
// attempts fail, retries multiply the load of the failing endpoints. The symptom is load that persists after its cause
// is gone. The guard holds because retries amount to at most a fifth of the successes, and the balancer's own budget
// limits their sum over all endpoints.
//
// Backoff: if no endpoint may be sent to or has tokens left, the request waits, twice as long each time. It gets its
// final answer at once if the next wait would end after the time at which an answer still has value.
//
// Hedging (Dean and Barroso, The Tail at Scale, 2013): an attempt is overdue once it has taken half of the objective
// and excessiveLatencyRatio times the mean latency. Where the settings allow it, the request gets a second attempt at
// another candidate, for a token from the budget, and the first answer counts. This guards against single connections or
// endpoints that fall silent. The symptom is requests that time out although their endpoint answers others. If many
// attempts are overdue, the endpoints as a whole or the origin are slow, and a second attempt would only cause another
// fetch; so none is made.

const (
	// retryTokensPerSuccess limits retries to a fifth of the successes.
	retryTokensPerSuccess = 0.2

	// maxRetryTokens limits the tokens that are saved for a burst of failures.
	maxRetryTokens = 10.0

	// initialBackoff is the first wait, in nanoseconds. It doubles with each further one.
	initialBackoff = 33 * millisecond

	// retryAfterShare is the part of the objective, before jitter, after which a rejected client is told to retry: early
	// enough for the answer to still have value.
	retryAfterShare = 1.0 / 6

	// overdueObjectiveDivisor: an attempt is overdue after the objective divided by this number, if that is later than
	// excessiveLatencyRatio times the mean latency.
	overdueObjectiveDivisor = 2

	// maxOverdueRatio is the part of the requests up to which attempts may be overdue while requests are still hedged.
	maxOverdueRatio = 0.08

	// maxHedgingRejectedRatio is the part of the requests that may be rejected for overload while others are still
	// hedged.
	maxHedgingRejectedRatio = maxOverdueRatio / 4
)

// retryBudget is a token bucket that successes fill and retries drain.
type retryBudget struct{ tokens float64 }

// deposit adds tokens for a success.
func (r *retryBudget) deposit() { r.tokens = min(maxRetryTokens, r.tokens+retryTokensPerSuccess) }

// withdraw takes the token for a retry.
func (r *retryBudget) withdraw() { r.tokens-- }

// hasToken reports whether there is a whole token for a retry.
func (r *retryBudget) hasToken() bool { return r.tokens >= 1 }

// backOff has a request wait before its next attempt. If the wait would be too long, or the request may have no further
// attempt, it gets its final answer with the given reason instead.
func (b *Balancer) backOff(now int64, index int, reason Reason) {
	request := &b.requests[index]
	request.backoff = max(initialBackoff, 2*request.backoff)
	if now+request.backoff >= min(request.usefulUntil, request.answerBy) || len(request.attempts) >= b.settings.maxAttempts {
		b.finish(now, index, reason)
		return
	}
	request.timerAt = now + request.backoff
	b.executor.SetTimer(timerRequest+index, request.backoff)
}

// retryAfter returns the time in nanoseconds after which a rejected client should retry; 0: none may be stated. Jitter
// keeps clients that were rejected at the same time from retrying at the same time.
func (b *Balancer) retryAfter(request *requestState) int64 {
	if b.settings.maxRetryAfter <= 0 {
		return 0
	}
	share := b.random.jitter() * retryAfterShare
	objective := b.settings.classes[request.class].objective
	return min(b.settings.maxRetryAfter, int64(share*float64(objective)))
}

// overdueAt returns the time at which an attempt that begins now becomes overdue.
func (b *Balancer) overdueAt(now int64, request *requestState) int64 {
	objective := b.settings.classes[request.class].objective
	return now + max(objective/overdueObjectiveDivisor, int64(excessiveLatencyRatio*b.meanLatency()))
}

// hedge handles a request whose last attempt is overdue. The attempt's endpoint counts as unresponsive from now on. The
// request gets a second attempt if that is allowed and likely to help.
func (b *Balancer) hedge(now int64, index int) {
	request, arrivals := &b.requests[index], b.admission.arrivals.ValueAt(b.clock.activityTime)
	unresponsive := request.attempts[len(request.attempts)-1].endpoint
	overdue := &b.endpoints[unresponsive]
	b.outages.RecordFailure(overdue.zone, unresponsive, now)
	overdue.outlier.lastUnresponsiveAt = now
	isZoneLost := b.outages.IsSuspected(overdue.zone)
	if !isZoneLost {
		b.count(&b.overdue)
	}
	// In a zone that is suspected to be lost the cause is known: requests are hedged however many are overdue.
	if !b.isOverdueRatioLow(arrivals) && !isZoneLost {
		return
	}
	if !b.mayHedge(request) {
		return
	}
	target := b.selectEndpoint(now, request)
	if target == noEndpoint || now >= request.usefulUntil || !b.canDispatch(now, request, target) {
		return
	}
	overdue.outlier.outcomes.failures.Add(b.clock.activityTime, 1) // Only if hedged: otherwise its own end counts it.
	b.send(now, index, target)
}

// isOverdueRatioLow reports whether only a small part of the requests that arrived lately are overdue, or were rejected
// for overload. Then single endpoints or connections are slow, and not all endpoints or the origin.
func (b *Balancer) isOverdueRatioLow(arrivals float64) bool {
	return b.overdue.Value < maxOverdueRatio*arrivals &&
		b.admission.rejectedOverload.ValueAt(b.clock.activityTime) < maxHedgingRejectedRatio*arrivals
}

// mayHedge reports whether a request may have two attempts in flight. For a throttled key both would wait for the same
// thing.
func (b *Balancer) mayHedge(request *requestState) bool {
	isIdempotent := b.settings.classes[request.class].effect != NonIdempotent
	return b.settings.mayHedge && isIdempotent && !request.isKeyThrottled()
}
