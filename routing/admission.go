package routing

import (
	"time"

	"hollylever/policy"
	"hollylever/protocol"
)

// maxDeliveryReserve in ns is kept of a request's time at most, for its final answer to reach its client.
const maxDeliveryReserve = int64(5 * time.Millisecond)

// deliveryReserveFraction of a request's time is kept for that, up to maxDeliveryReserve.
const deliveryReserveFraction = 64

// admission is what admission decides on.
type admission struct {
	workload        int
	isKnownWorkload bool
	isDuplicate     bool // a request of this ID has no final answer yet
	isFull          bool
	isTooLate       bool  // no answer would come before the process ends
	remaining       int64 // of the client's timeout, in ns
}

// admit admits a request: it gets a slot, and the policy decides on it. A request that is not admitted has its final
// answer at once.
func (x *exchange) admit() bool {
	attributes, err := protocol.ParseAttributes(x.arguments[3])
	if err != nil {
		x.reply.reply <- reply{bytes: protocol.AppendError(nil, err.Error())}
		return false
	}
	for _, argument := range x.arguments {
		x.bytes += int64(len(argument))
	}
	x.record.timeout = time.Duration(attributes.TimeoutNanos)
	x.record.waited = time.Since(x.client.receivedAt)
	x.id = string(x.arguments[2])
	remaining := max(0, attributes.TimeoutNanos-int64(x.record.waited))
	b := x.balancer
	b.mu.Lock()
	a := x.assess(attributes.Workload, remaining)
	x.workload = a.workload
	if answer := b.rejectionAnswer(a); answer != nil {
		b.mu.Unlock()
		x.reply.reply <- reply{bytes: answer}
		return false
	}
	x.open(a, policy.RequestInfo{
		Remaining:     a.remaining,
		Class:         a.workload,
		Tenant:        b.catalog.tenant(string(attributes.Tenant)),
		Key:           protocol.ParseKey(x.arguments[1]),
		HasKey:        true,
		IsWrite:       x.isWrite,
		PredictedWork: attributes.PredictedNanos,
	})
	b.mu.Unlock()
	return true
}

// assess finds what admission decides on; under the lock.
func (x *exchange) assess(workload []byte, remaining int64) admission {
	b := x.balancer
	a := admission{remaining: remaining, isDuplicate: b.requests.openIDs[x.id], isFull: b.requests.isFull(x.bytes, b.leaseCheck != nil)}
	a.workload, a.isKnownWorkload = b.catalog.workloads[string(workload)]
	if answerBy := b.answerBy.Load(); answerBy > 0 && a.isKnownWorkload {
		// Guards a shutdown against clients that go on sending requests on connections that are busy: these have to
		// come to an end.
		left := answerBy - b.now()
		a.isTooLate = left < min(remaining, b.catalog.expectedTimes[a.workload])
		a.remaining = min(remaining, left)
	}
	return a
}

// rejectionAnswer counts a request that is not admitted and returns its answer, nil for one that is admitted; under
// the lock.
func (b *Balancer) rejectionAnswer(a admission) []byte {
	switch {
	case !a.isKnownWorkload:
		b.counters.increment(counterMalformed)
		return protocol.AppendError(nil, "unknown workload")
	case a.isDuplicate: // Guards the first request: a server takes the second for the same and could answer either.
		b.counters.incrementFor(counterMalformed, a.workload)
		return protocol.AppendError(nil, "a retrieval of this id is open")
	case a.isFull: // Guards memory; the request has not begun.
		b.counters.increment(counterRejectedMemory)
	case a.isTooLate:
		b.counters.increment(counterRejectedStop)
	default:
		return nil
	}
	b.counters.incrementFor(counterNotAdmitted, a.workload)
	return protocol.AppendRejected(nil, 0)
}

// open enters an admitted request into the table and has the policy decide on it; under the lock.
func (x *exchange) open(a admission, request policy.RequestInfo) {
	b := x.balancer
	b.requests.openIDs[x.id] = true
	b.requests.bytes += x.bytes
	b.counters.increment(counterRequests)
	x.slot, x.events = b.requests.allocate()
	reserve := min(maxDeliveryReserve, a.remaining/deliveryReserveFraction)
	b.requests.slots[x.slot].attemptDeadline = b.now() + a.remaining - reserve + b.deadlineDrift
	b.checkLease()
	b.policy.HandleRequest(b.now(), x.slot, request)
}
