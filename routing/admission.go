package routing

import (
	"time"

	"hollylever/policy"
	"hollylever/protocol"
)

// maxReplyReserve is the longest time, in ns, by which attempts end before the request's deadline, so that the final
// reply reaches the client in time.
const maxReplyReserve = int64(5 * time.Millisecond)

// replyReserveDivisor: a request's remaining time divided by this is reserved for its reply, up to maxReplyReserve.
const replyReserveDivisor = 64

// admission is the input to the admission decision of one request.
type admission struct {
	workload        int
	isKnownWorkload bool
	isDuplicate     bool // the ID is in use by another request
	isFull          bool
	isUnread        bool  // the client may have disconnected for too long, unseen behind bytes that wait to be read
	isTooLate       bool  // no reply is expected before the process ends
	remaining       int64 // rest of the client's timeout, in ns
}

// admit admits or rejects a request. An admitted request gets a slot and is handed to the policy, or gets the result of an
// earlier one of its ID; for any other one the final reply is returned, and nothing of it is kept.
func (x *exchange) admit() (rejection []byte) {
	attributes, err := protocol.ParseAttributes(x.arguments[3])
	if err != nil {
		return protocol.AppendError(nil, err.Error())
	}
	x.bytes = 0
	for _, argument := range x.arguments {
		x.bytes += int64(len(argument))
	}
	x.record.timeout = time.Duration(attributes.TimeoutNanos)
	x.record.receivedAt, x.record.waited = x.client.receivedAt, time.Since(x.client.receivedAt)
	x.id = string(x.arguments[2])
	x.identify(attributes.Workload)
	isUnread := x.client.isUnread()
	b := x.balancer
	b.mu.Lock()
	rejection = x.decide(attributes, isUnread)
	b.mu.Unlock()
	if rejection == nil {
		x.client.onAdmitted()
	}
	return rejection
}

// decide is the part of admit that the lock covers. The caller holds Balancer.mu.
func (x *exchange) decide(attributes protocol.Attributes, isUnread bool) (rejection []byte) {
	b := x.balancer
	a := x.assess(attributes.Workload, max(0, attributes.TimeoutNanos-int64(x.record.waited)))
	x.workload, a.isUnread = a.workload, isUnread
	repeated := x.findEarlier(a)
	if repeated != nil && !x.mayRunAgain(repeated) {
		return x.join(repeated, a)
	}
	a.isDuplicate = a.isDuplicate || b.results.isIDInUse(x.identity)
	if rejection := b.rejectionReply(a); rejection != nil && repeated != nil {
		return protocol.AppendFailed(nil) // A rejection promises that it has not run.
	} else if rejection != nil {
		return rejection
	}
	if earlier := x.beginResult(repeated); earlier != nil {
		return x.join(earlier, a)
	}
	x.register(a, policy.RequestInfo{
		Remaining:     a.remaining,
		Class:         a.workload,
		Tenant:        b.catalog.tenant(string(attributes.Tenant)),
		Key:           protocol.ParseKey(x.arguments[1]),
		HasKey:        true,
		IsWrite:       x.isWrite,
		PredictedWork: attributes.PredictedNanos,
	})
	return nil
}

// assess collects the input to the admission decision. The caller holds Balancer.mu.
func (x *exchange) assess(workload []byte, remaining int64) admission {
	b := x.balancer
	a := admission{remaining: remaining, isDuplicate: b.requests.isIDInUse(x), isFull: b.requests.isFull(x.bytes, b.leaseCheck != nil) || !x.hasMemory()}
	a.workload, a.isKnownWorkload = b.catalog.workloads[string(workload)]
	if answerBy := b.answerBy.Load(); answerBy > 0 && a.isKnownWorkload {
		// Clients may go on sending requests on busy connections during a shutdown, and these connections have to end.
		timeLeft := answerBy - b.now()
		a.isTooLate = timeLeft < min(remaining, b.catalog.expectedTimes[a.workload])
		a.remaining = min(remaining, timeLeft)
	}
	return a
}

// rejectionReply counts a request that is not admitted and returns its reply. It returns nil for a request that is
// admitted. The caller holds Balancer.mu.
func (b *Balancer) rejectionReply(a admission) []byte {
	switch {
	case !a.isKnownWorkload:
		b.counters.increment(counterMalformed)
		return protocol.AppendError(nil, "unknown workload")
	case a.isDuplicate:
		b.counters.incrementFor(counterMalformed, a.workload)
		return protocol.AppendError(nil, errorIDOpen)
	case a.isFull: // Bounds memory; the request has not been started.
		b.counters.increment(counterRejectedMemory)
	case a.isUnread:
		b.counters.increment(counterRejectedUnread)
	case a.isTooLate:
		b.counters.increment(counterRejectedStop)
	default:
		return nil
	}
	b.counters.incrementFor(counterNotAdmitted, a.workload)
	return protocol.AppendRejected(nil, 0)
}

// register enters an admitted request into the request table and hands it to the policy. The caller holds Balancer.mu.
func (x *exchange) register(a admission, request policy.RequestInfo) {
	b := x.balancer
	b.requests.openIDs[x.id] = x
	b.requests.bytes += x.bytes
	x.reservedMemory = x.commandMemory()
	b.memory.Add(x.reservedMemory)
	b.counters.increment(counterRequests)
	x.slot, x.events = b.requests.allocate()
	reserve := min(maxReplyReserve, a.remaining/replyReserveDivisor)
	b.requests.slots[x.slot].attemptDeadline = b.now() + a.remaining - reserve + b.deadlineDrift
	b.checkLease()
	b.policy.HandleRequest(b.now(), x.slot, request)
}
