package policy

// What pays for a retry, how long a request waits for one, and when a request is hedged.
//
// Retry budget, a token bucket: each success earns retryTokensPerSuccess, for its endpoint and for the balancer; each
// attempt after a request's first takes a whole token from both. This guards against retry storms: when much fails,
// retries would multiply the load of endpoints that are failing, which shows as load that stays after its cause has
// gone. The guard holds since retries come to a fifth of the successes at most, and the balancer's own budget bounds
// what they are over all endpoints.
//
// Backoff: where no endpoint is left that may be sent to or has tokens, the request waits, twice as long each time, and
// gets its final answer once it would wait beyond the time at which an answer has value.
//
// Hedging (Dean and Barroso, The Tail at Scale, 2013): an attempt that takes half of the objective, and jammedRatio
// times the mean latency, is overdue. The request gets a second attempt at another candidate, paid from the budget,
// where the settings allow it; the first answer counts. This guards against single connections or endpoints that fall
// silent, which shows as requests that time out while their endpoint answers others. Where many attempts are overdue
// the fleet or the origin is slow, and a second attempt would be one more fetch: then none is made.

const (
	// retryTokensPerSuccess bounds retries to a fifth of the successes.
	retryTokensPerSuccess = 0.2

	// maxRetryTokens bounds what is saved up for a burst of failures.
	maxRetryTokens = 10.0

	// initialBackoff is the first wait, in nanoseconds; it doubles.
	initialBackoff = 33 * millisecond

	// retryAfterShare is the part of the objective after which a rejected client is told to come back, before jitter:
	// early enough for an answer to have value still.
	retryAfterShare = 1.0 / 6

	// overdueShare: an attempt is overdue after one in so many parts of the objective, if it is also over jammedRatio
	// times the mean latency.
	overdueShare = 2

	// maxOverdueRatio is the part of the requests that may have an overdue attempt while requests are still hedged.
	maxOverdueRatio = 0.08

	// maxHedgingShedRatio is the part of the requests that may be rejected for overload while others are still hedged.
	maxHedgingShedRatio = maxOverdueRatio / 4
)

// retryBudget is a bucket of tokens that successes fill and retries empty.
type retryBudget struct{ tokens float64 }

// earn counts a success.
func (r *retryBudget) earn() { r.tokens = min(maxRetryTokens, r.tokens+retryTokensPerSuccess) }

// spend counts a retry.
func (r *retryBudget) spend() { r.tokens-- }

// canPay tells whether there is a whole token for a retry.
func (r *retryBudget) canPay() bool { return r.tokens >= 1 }

// backOff has a request wait before its next attempt, or gives it its final answer, for a reason, if it would wait too
// long or may have no further attempt.
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

// retryAfter is after how many nanoseconds a rejected client should come back; 0: nothing may be stated. Jitter keeps
// clients that were rejected in one moment from coming back in one.
func (b *Balancer) retryAfter(request *requestState) int64 {
	if b.settings.maxRetryAfter <= 0 {
		return 0
	}
	share := b.random.jitter() * retryAfterShare
	objective := b.settings.classes[request.class].objective
	return min(b.settings.maxRetryAfter, int64(share*float64(objective)))
}

// overdueAt is when an attempt that begins now is overdue.
func (b *Balancer) overdueAt(now int64, request *requestState) int64 {
	objective := b.settings.classes[request.class].objective
	return now + max(objective/overdueShare, int64(jammedRatio*b.meanLatency()))
}

// hedge takes that a request's last attempt is overdue. The attempt's endpoint counts as silent from now on, and the
// request gets a second attempt if that is allowed and helps.
func (b *Balancer) hedge(now int64, index int) {
	request, arrivals := &b.requests[index], b.admission.arrivals.ValueAt(b.clock.evidence)
	silent := request.attempts[len(request.attempts)-1].endpoint
	overdue := &b.endpoints[silent]
	b.outages.RecordFailure(overdue.zone, silent, now)
	overdue.outlier.silentSince = now
	isZoneLost := b.outages.IsSuspected(overdue.zone)
	if !isZoneLost {
		b.count(&b.overdue)
	}
	// In a zone that seems lost the cause is known: its requests are hedged however many are overdue.
	if !b.areOverdueFew(arrivals) && !isZoneLost {
		return
	}
	if !b.mayHedge(request) {
		return
	}
	target := b.selectEndpoint(now, request)
	if target == noEndpoint || now >= request.usefulUntil || !b.canDispatch(now, request, target) {
		return
	}
	overdue.outlier.outcomes.failures.Add(b.clock.evidence, 1) // Only here: else its own end counts it.
	b.send(now, index, target)
}

// areOverdueFew tells whether so few of the requests that arrived of late are overdue, or were rejected for overload,
// that it is single endpoints or connections that are slow, and not the fleet or the origin.
func (b *Balancer) areOverdueFew(arrivals float64) bool {
	return b.overdue.Value < maxOverdueRatio*arrivals &&
		b.admission.shed.ValueAt(b.clock.evidence) < maxHedgingShedRatio*arrivals
}

// mayHedge tells whether a request may have two attempts in flight. For a throttled key the second would wait for what
// the first waits for.
func (b *Balancer) mayHedge(request *requestState) bool {
	isIdempotent := b.settings.classes[request.class].effect != NonIdempotent
	return b.settings.mayHedge && isIdempotent && !request.isKeyThrottled()
}
