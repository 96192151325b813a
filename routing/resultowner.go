package routing

import (
	"time"

	"hollylever/protocol"
	"hollylever/siblings"
)

// An ID that comes again is served with the result of its first request only after the client of that has left: IDs are new with
// every request, and one that comes while another client waits for its reply is taken from that client. The end of a
// connection may be known a moment later than the next one brings the ID, so such a request waits for it.

// maxOwnerWait bounds the wait for the end of the first client's connection. It leaves time for a segment that is sent again.
const maxOwnerWait = 500 * time.Millisecond

// Texts of error replies to requests with the ID of another one.
const (
	errorIDOpen  = "a retrieval of this id is open"
	errorIDTaken = "this id belongs to another retrieval"
)

// resultOwner is the client to which the reply of a request with an effect is owed.
type resultOwner struct {
	client    client
	replied   chan struct{} // closed once the client has its reply
	repliedAt time.Time     // when the reply began to be written; set before replied is closed
}

// hasLeft reports whether the client has closed its connection.
func (o *resultOwner) hasLeft() bool {
	select {
	case <-o.client.disconnected:
		return true
	default:
		return o.client.hasDisconnected()
	}
}

// setOwner records to whom the reply of a request is owed.
func (s *resultStore) setOwner(result *requestResult, owner *resultOwner) {
	result.owner = owner
	result.shared.SetClient(siblings.ClientWaits)
}

// endOwnership records that the owner has got its reply, or has left.
func (s *resultStore) endOwnership(result *requestResult, owner *resultOwner, state siblings.ClientState) {
	if result.owner == owner {
		result.owner = nil
		result.shared.SetClient(state)
	}
}

// own makes the request's client the owner of a result. The caller holds Balancer.mu.
func (x *exchange) own(result *requestResult) {
	x.owner, x.owned = &resultOwner{client: x.client, replied: make(chan struct{})}, result
	x.balancer.results.setOwner(result, x.owner)
}

// disownLeft records that the request's client has left. The caller holds Balancer.mu.
func (x *exchange) disownLeft() {
	if x.owner != nil {
		x.balancer.results.endOwnership(x.owned, x.owner, siblings.ClientUnknown)
		x.owner = nil
	}
}

// disown records how the delivery of the request's reply ended.
func (x *exchange) disown(result delivery) {
	b := x.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if x.owner == nil || result != delivered {
		x.disownLeft()
		return
	}
	x.owner.repliedAt = x.reply.beganAt
	close(x.owner.replied)
	b.results.endOwnership(x.owned, x.owner, siblings.ClientReplied)
	x.owner = nil
}

// isOwned reports whether a client waits for the reply. The caller holds Balancer.mu.
func (r *requestResult) isOwned() bool {
	if r.isElsewhere {
		return r.clientElsewhere == siblings.ClientWaits
	}
	return r.owner != nil && !r.owner.hasLeft()
}

// rejectID counts a request whose ID another one has, and returns its reply. The caller holds Balancer.mu.
func (x *exchange) rejectID(text string, workload int) []byte {
	x.balancer.counters.incrementFor(counterMalformed, workload)
	return protocol.AppendError(nil, text)
}

// contest admits a request whose ID another client's open request has: it waits for that client to leave. The caller holds
// Balancer.mu.
func (x *exchange) contest(earlier *requestResult, a admission) {
	b := x.balancer
	b.counters.increment(counterContested)
	x.contested, x.contestedOwner, x.remaining = earlier, earlier.owner, time.Duration(a.remaining)
	x.reservedMemory = x.commandMemory()
	b.memory.Add(x.reservedMemory)
}

// runContested waits until the client of the earlier request has left. It returns false if the request is to be admitted anew
// then. Otherwise it has answered with an error, or the request's own client has left.
func (x *exchange) runContested() (isOver bool) {
	timer := time.NewTimer(min(maxOwnerWait, x.remaining-time.Duration(min(maxReplyReserve, int64(x.remaining)/replyReserveDivisor))))
	defer timer.Stop()
	if x.contestedOwner != nil {
		isOver = !x.awaitOwnerLeft(timer.C)
	} else {
		isOver = !x.awaitOwnerLeftElsewhere(timer.C)
	}
	switch {
	case !isOver:
	case x.isDisconnected:
		x.countDisconnected()
	default:
		x.finishContested()
	}
	return isOver
}

// awaitOwnerLeft waits until the owner has left, and returns whether it did in time. One that had its reply before the request came
// counts as well: its ID was no longer open.
func (x *exchange) awaitOwnerLeft(timeout <-chan time.Time) bool {
	owner := x.contestedOwner
	select {
	case <-owner.client.disconnected:
		return true
	case <-owner.replied:
		return x.client.receivedAt.After(owner.repliedAt)
	case <-x.client.disconnected:
		x.isDisconnected = true
	case <-timeout:
	case <-x.balancer.expired:
	}
	return false
}

// awaitOwnerLeftElsewhere is awaitOwnerLeft for the client of a request that another process has begun.
func (x *exchange) awaitOwnerLeftElsewhere(timeout <-chan time.Time) bool {
	poll := time.NewTicker(resultPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-poll.C:
			switch state := x.balancer.clientElsewhere(x.contested); state {
			case siblings.ClientUnknown:
				return true
			case siblings.ClientReplied:
				return false
			}
		case <-x.client.disconnected:
			x.isDisconnected = true
			return false
		case <-timeout:
			return false
		case <-x.balancer.expired:
			return false
		}
	}
}

// clientElsewhere returns what is known now of the client of a request that another process has begun.
func (b *Balancer) clientElsewhere(result *requestResult) siblings.ClientState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.results.shared.Find(result.digest).Client
}

// finishContested answers a request whose ID another client's open request has.
func (x *exchange) finishContested() {
	b := x.balancer
	b.mu.Lock()
	answer := x.rejectID(errorIDOpen, x.workload)
	b.mu.Unlock()
	x.record.outcome = outcomeMalformed
	x.reply.reply <- reply{bytes: answer}
}
