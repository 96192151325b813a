package policy

import "slices"

// What may never be sent, whatever else speaks for it: nothing to an endpoint that drains or is gone, nothing beyond its budget to one that warms up, no
// second attempt of a request whose effect must not repeat, and nothing after the deadline. isEligible and canDispatch are the only gates before
// Executor.Send, canReject the only one before Executor.Reject.

const (
	// maxStall is how long the process may be held up between a decision and what comes of it; windows allow for it.
	maxStall = 150 * millisecond

	// dedupMargin is the part of the window in which endpoints drop repeats that is left unused, at least maxStall.
	dedupMargin = 10
)

// canDispatch is the gate before Executor.Send.
func (b *Balancer) canDispatch(now int64, request *requestState, index int) bool {
	hasTurn := request.queue == nil || request.isDequeued
	return request.isOpen && hasTurn && now < request.deadline && len(request.attempts) < b.settings.maxAttempts &&
		b.isEligible(now, request, index)
}

// isEligible tells whether the rules allow an attempt at an endpoint.
func (b *Balancer) isEligible(now int64, request *requestState, index int) bool {
	hasBudget := index == b.origin || !b.isWarmingUp(now, index) || b.hasSlowStartBudget(now, index)
	return hasBudget && b.isListed(&b.endpoints[index]) && b.mayRunAgain(now, request, index)
}

// mayRunAgain tells whether an attempt at an endpoint could not make an effect happen twice that must happen once.
func (b *Balancer) mayRunAgain(now int64, request *requestState, index int) bool {
	class, target := &b.settings.classes[request.class], &b.endpoints[index]
	for number := range request.attempts {
		before := &request.attempts[number]
		switch {
		case before.state == neverRan:
		case class.effect == NonIdempotent, before.state == inFlight && !b.settings.mayHedge:
			return false
		case class.effect == Idempotent && !b.dropsRepeat(now, class, before, target):
			return false
		}
	}
	return true
}

// dropsRepeat tells whether an endpoint knows of an earlier attempt, and will still when a further one arrives: a connection may take as long as it
// may, and the process be held up.
func (b *Balancer) dropsRepeat(now int64, class *requestClass, before *attempt, target *endpointState) bool {
	earlier := &b.endpoints[before.endpoint]
	switch {
	case now-before.sentAt >= class.dedupWindow-max(class.dedupWindow/dedupMargin, maxStall)-b.settings.dialTimeout:
		return false
	case class.dedupGroup == "zone":
		return earlier.zone == target.zone
	case class.dedupGroup == "cell":
		return earlier.replicaGroup == target.replicaGroup
	}
	return true
}

// canReject tells whether a request may be answered as rejected, which promises that trying again does no harm.
func (b *Balancer) canReject(request *requestState) bool {
	class := &b.settings.classes[request.class]
	if class.effect == Safe || class.effect == Idempotent && class.dedupGroup == "all" {
		return true
	}
	return !slices.ContainsFunc(request.attempts, func(a attempt) bool { return a.state != neverRan })
}
