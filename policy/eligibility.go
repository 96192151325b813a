package policy

import "slices"

// What may never be sent, whatever else speaks for it:
//
//   - nothing to an endpoint that is draining or removed by the list,
//   - nothing beyond its budget to an endpoint that warms up (slowstart.go),
//   - no further attempt of a request whose effect could happen twice,
//   - nothing after the deadline, before the request's turn, or beyond the number of attempts that the settings allow.
//
// isEligible and canDispatch are the only gates before Executor.Send, canReject is the only one before Executor.Reject.
// They hold by themselves: a fault in selection or in a retry does not make an effect happen twice.

const (
	// maxStall is how long the process may be held up between a decision and what comes of it, in nanoseconds.
	maxStall = 150 * millisecond

	// dedupMargin: one in so many parts of the window in which endpoints drop repeats is left unused, at least
	// maxStall.
	dedupMargin = 10
)

// canDispatch tells whether a request may be sent to an endpoint now. It is the gate before Executor.Send.
func (b *Balancer) canDispatch(now int64, request *requestState, index int) bool {
	isQueued := request.queue != nil && !request.isDequeued
	if !request.isOpen || isQueued || now >= request.deadline || len(request.attempts) >= b.settings.maxAttempts {
		return false
	}
	return b.isEligible(now, request, index)
}

// isEligible tells whether the rules about endpoints and effects allow an attempt at an endpoint. A warming endpoint's
// budget is drawn for, and spent, as this is asked (slowstart.go).
func (b *Balancer) isEligible(now int64, request *requestState, index int) bool {
	hasBudget := index == b.origin || !b.isWarmingUp(now, index) || b.hasSlowStartBudget(now, index)
	return hasBudget && b.isListed(&b.endpoints[index]) && b.mayRunAgain(now, request, index)
}

// mayRunAgain tells whether an attempt at an endpoint could not make an effect happen twice that must happen once.
func (b *Balancer) mayRunAgain(now int64, request *requestState, index int) bool {
	class, target := &b.settings.classes[request.class], &b.endpoints[index]
	for number := range request.attempts {
		earlier := &request.attempts[number]
		if earlier.state == neverRan {
			continue
		}
		switch {
		case class.effect == NonIdempotent:
			return false
		case earlier.state == inFlight && !b.settings.mayHedge:
			return false
		case class.effect == Idempotent && !b.dropsRepeat(now, class, earlier, target):
			return false
		}
	}
	return true
}

// dropsRepeat tells whether an endpoint knows of an earlier attempt, and still will when a further one arrives. That
// may take as long as a connection may take to come up, and as long as the process may be held up.
func (b *Balancer) dropsRepeat(now int64, class *requestClass, earlier *attempt, target *endpointState) bool {
	margin := max(class.dedupWindow/dedupMargin, maxStall)
	if now-earlier.sentAt >= class.dedupWindow-margin-b.settings.dialTimeout {
		return false
	}
	switch class.dedupGroup {
	case dedupZone:
		return b.endpoints[earlier.endpoint].zone == target.zone
	case dedupReplicaGroup:
		return b.endpoints[earlier.endpoint].replicaGroup == target.replicaGroup
	}
	return true
}

// canReject tells whether a request may be answered as rejected, which promises that sending it again does no harm.
func (b *Balancer) canReject(request *requestState) bool {
	class := &b.settings.classes[request.class]
	if class.effect == Safe {
		return true
	}
	if class.effect == Idempotent && class.dedupGroup == dedupAll {
		return true
	}
	return !slices.ContainsFunc(request.attempts, func(a attempt) bool { return a.state != neverRan })
}
