package policy

// What pays for a retry, how long a request waits for one, and when a request is hedged.
//
// Retry budget: each answer earns a fifth of a token, for its endpoint and for the balancer; each attempt after a request's first takes a whole one from both. This guards against
// retry storms: when much fails, retries would multiply the load of those that are failing. The balancer's own budget bounds what the whole fleet can add.
//
// Backoff: where no endpoint is left that may be sent to or has tokens, the request waits, twice as long each time, and ends while an answer still has value.
//
// Hedging (Dean and Barroso, The Tail at Scale, 2013): an attempt that takes half of the objective and three times the mean gets a second one at another candidate, paid from
// the budget, where the settings allow it. The first answer counts. This guards against single connections or endpoints that fall silent.

const (
	// retryTokensPerSuccess bounds retries to a fifth of the answers, and maxRetryTokens what is saved up for a burst of failures.
	retryTokensPerSuccess = 0.2
	maxRetryTokens        = 10.0

	// initialBackoff is the first wait; it doubles.
	initialBackoff = 33 * millisecond

	// retryAfterShare is the part of the objective after which a rejected client is told to come back, give or take a half, so that not all come at once.
	retryAfterShare = 1.0 / 6

	// overdueShare: an attempt is overdue after one in so many parts of the objective, and jammedRatio times the mean latency.
	overdueShare = 2

	// maxOverdueRatio is the part of the requests that may be overdue while others are still hedged: more, and the origin or the fleet is slow, and a hedged
	// request is one more fetch. Of requests shed for overload a quarter of that.
	maxOverdueRatio = 0.08
)

// retryBudget is a bucket of tokens that answers fill and retries empty.
type retryBudget struct{ tokens float64 }

func (r *retryBudget) earn()        { r.tokens = min(maxRetryTokens, r.tokens+retryTokensPerSuccess) }
func (r *retryBudget) spend()       { r.tokens-- }
func (r *retryBudget) canPay() bool { return r.tokens >= 1 }

// backOff has a request wait before its next attempt, or ends it for a reason where its time is over by then.
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

// retryAfter is when a rejected client should come back, while an answer still has value; 0: nothing may be stated.
func (b *Balancer) retryAfter(request *requestState) int64 {
	if b.settings.maxRetryAfter <= 0 {
		return 0
	}
	share := (0.5 + b.random.float64()) * retryAfterShare
	objective := b.settings.classes[request.class].objective
	return min(b.settings.maxRetryAfter, int64(share*float64(objective)))
}

// overdueAt is when an attempt that begins now is overdue.
func (b *Balancer) overdueAt(now int64, request *requestState) int64 {
	objective := b.settings.classes[request.class].objective
	return now + max(objective/overdueShare, int64(jammedRatio*b.meanLatency()))
}

// hedge takes that a request's last attempt is overdue: the endpoint counts as silent, and the request gets a second attempt if that is allowed and helps. In a zone that seems lost
// it is hedged whatever the number of overdue requests is, and does not count.
func (b *Balancer) hedge(now int64, index int) {
	request, arrivals := &b.requests[index], b.admission.arrivals.ValueAt(b.clock.evidence)
	silent := request.attempts[len(request.attempts)-1].endpoint
	overdue := &b.endpoints[silent]
	b.outages.RecordFailure(overdue.zone, silent, now)
	overdue.outlier.connectFailedAt = now
	isZoneLost := b.outages.IsSuspected(overdue.zone)
	if !isZoneLost {
		b.count(&b.overdue)
	}
	areFew := b.overdue.Value < maxOverdueRatio*arrivals && b.admission.shed.ValueAt(b.clock.evidence) < maxOverdueRatio/4*arrivals
	if !b.settings.mayHedge || b.settings.classes[request.class].effect == NonIdempotent || request.isKeyThrottled() ||
		!areFew && !isZoneLost {
		return
	}
	target := b.selectEndpoint(now, request)
	if target == noEndpoint || now >= request.usefulUntil || !b.canDispatch(now, request, target) {
		return
	}
	overdue.outlier.outcomes.failures.Add(b.clock.evidence, 1)
	b.send(now, index, target)
}
