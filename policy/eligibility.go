package policy

import "slices"

// Eligibility: the rules that forbid an attempt whatever selection prefers. The following is never sent:
//
//   - an attempt at an endpoint that the endpoint list states as draining or removed,
//   - an attempt at a warming endpoint beyond its slow-start budget (slowstart.go),
//   - a further attempt of a request if its effect could then happen twice,
//   - an attempt after the request's deadline, before its turn in its key queue, or beyond the maximum number of
//     attempts in the settings.
//
// canDispatch, which includes isEligible, is the only check before Executor.Send, and canReject is the only one before
// Executor.Reject. They do not rely on earlier checks, so that a fault in selection or in a retry cannot make an effect
// happen twice.

const (
	// maxStall is the longest time, in nanoseconds, that the process is assumed to stall between a decision and its
	// execution.
	maxStall = 150 * millisecond

	// dedupMargin is the divisor of the deduplication window that gives the safety margin at the window's end. The
	// margin is at least maxStall.
	dedupMargin = 10
)

// canDispatch reports whether a request may be sent to an endpoint now. It is checked before each Executor.Send.
func (b *Balancer) canDispatch(now int64, request *requestState, index int) bool {
	isQueued := request.queue != nil && !request.isDequeued
	if !request.isOpen || isQueued || now >= request.deadline || len(request.attempts) >= b.settings.maxAttempts {
		return false
	}
	return b.isEligible(now, request, index)
}

// isEligible reports whether the rules about endpoints and effects allow an attempt at an endpoint. For a warming
// endpoint the call itself may make the random draw on its slow-start budget, which spends a fractional token
// (hasSlowStartBudget in slowstart.go).
func (b *Balancer) isEligible(now int64, request *requestState, index int) bool {
	hasBudget := index == b.origin || !b.isWarmingUp(now, index) || b.hasSlowStartBudget(now, index)
	return hasBudget && b.isListed(&b.endpoints[index]) && b.isSafeToRepeat(now, request, index)
}

// isSafeToRepeat reports whether a further attempt at an endpoint cannot repeat an effect that must happen once.
func (b *Balancer) isSafeToRepeat(now int64, request *requestState, index int) bool {
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
		case class.effect == Idempotent && !b.willDeduplicate(now, class, earlier, target):
			return false
		}
	}
	return true
}

// willDeduplicate reports whether target is in the group of endpoints that know of an earlier attempt, and is expected
// to remember it when a further attempt arrives. That may take up to the dial timeout plus a stall of the process. How
// long sending takes is not known yet: the caller holds each attempt to RepeatWindow right before its last byte.
func (b *Balancer) willDeduplicate(now int64, class *requestClass, earlier *attempt, target *endpointState) bool {
	if now-earlier.sentAt >= class.repeatWindow()-b.settings.dialTimeout {
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

// repeatWindow returns for how long, in nanoseconds, after the last byte of an attempt that of another attempt of the
// same request may be sent, so that it arrives within the deduplication window even if the process stalls.
func (c *requestClass) repeatWindow() int64 {
	return c.dedupWindow - max(c.dedupWindow/dedupMargin, maxStall)
}

// RepeatWindow returns for how long, in nanoseconds, after the last byte of an attempt of a request that of another
// attempt may be sent. isLimited is false for a class whose requests may run any number of times, or only once. It
// depends on the settings only and is safe for concurrent use.
func (b *Balancer) RepeatWindow(class int) (window int64, isLimited bool) {
	c := &b.settings.classes[class]
	return c.repeatWindow(), c.effect == Idempotent
}

// canReject reports whether a request may be answered as rejected. A rejection promises the client that sending the
// request again does no harm.
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
