package routing

import (
	"time"

	"hollylever/policy"
	"hollylever/protocol"
	"hollylever/transport"
)

// outcomeByEnd is what an attempt's end is to the policy. Rejected up to CancelledBeforeSent prove that it never
// ran: its last byte was not sent.
var outcomeByEnd = map[transport.End]policy.Outcome{
	transport.Succeeded:           policy.OK,
	transport.Failed:              policy.Errored,
	transport.Rejected:            policy.Rejected,
	transport.ConnectRefused:      policy.ConnectFailed,
	transport.ConnectTimedOut:     policy.ConnectFailed,
	transport.LocalShortage:       policy.NotSent,
	transport.BrokenBeforeSent:    policy.ConnectFailed,
	transport.TimedOutBeforeSent:  policy.ConnectFailed,
	transport.CancelledBeforeSent: policy.NotSent,
	transport.BrokenAfterSent:     policy.Reset,
	transport.ResponseTimedOut:    policy.TimedOut,
	transport.CancelledAfterSent:  policy.Cancelled,
	transport.Malformed:           policy.Reset,
}

// client is the client of a request, as far as the request depends on it.
type client struct {
	receivedAt   time.Time       // when the request's last byte arrived at this machine; its timeout counts from then
	onAdmitted   func()          // called once the request is admitted
	disconnected <-chan struct{} // closed when the client disconnects; nil: it never does
	hasEnded     func() bool     // checks the connection itself; nil: there is none to check
}

// isGone reports whether the client has disconnected by now, also where nobody has read the end of its connection
// yet. Both that end and what starts an attempt may have become due while the process was held up, and are then
// handled in any order.
func (c client) isGone() bool { return c.hasEnded != nil && c.hasEnded() }

// exchange is the life of one request: from its arguments over its attempts to its one final answer, and on until its
// last attempt has ended. One goroutine, that of handleRequest, owns it; attempts read only what is set before they
// start.
type exchange struct {
	balancer  *Balancer
	arguments [][]byte
	isWrite   bool
	reply     pendingReply
	client    client

	id            string
	workload      int
	slot          int // in the request table
	events        chan event
	bytes         int64                   // of memory that the request takes
	connections   []*transport.PooledConn // the connection of each attempt
	attemptsEnded int
	isAnswered    bool // it has its final answer, or its client has gone and needs none
	isClientGone  bool
	large         *largeValue // that its client is sent; nil without one
	record        requestRecord
}

// handleRequest runs a request to its end.
func (b *Balancer) handleRequest(arguments [][]byte, isWrite bool, reply pendingReply, from client) {
	x := &exchange{balancer: b, arguments: arguments, isWrite: isWrite, reply: reply, client: from}
	if !x.admit() {
		return
	}
	from.onAdmitted()
	x.handleEvents()
	delivery := <-reply.delivery // Until then its answer takes memory.
	x.record.answered = time.Since(x.client.receivedAt)
	x.logEnd(delivery)
	x.release()
}

// handleEvents returns once the request has its final answer and each attempt has ended.
func (x *exchange) handleEvents() {
	disconnected := x.client.disconnected
	for !x.isAnswered || x.attemptsEnded < x.attemptsStarted() {
		if x.isClientGone {
			disconnected = nil
		}
		select {
		case <-disconnected:
			x.disconnect()
		case e := <-x.events:
			e.handle(x)
		}
	}
}

// attemptsStarted is how many attempts the policy has decided on.
func (x *exchange) attemptsStarted() int {
	x.balancer.mu.Lock()
	defer x.balancer.mu.Unlock()
	return len(x.balancer.requests.slots[x.slot].attemptEndpoints)
}

// disconnect ends what is under way for a client that has gone, once.
func (x *exchange) disconnect() {
	if x.isClientGone {
		return
	}
	x.isClientGone = true
	if !x.isAnswered {
		x.record.outcome = outcomeDisconnected
	}
	x.isAnswered = true
	x.cancelAfterDisconnect()
	x.withdrawUnsent()
	if x.large != nil {
		_ = x.large.body.Close()
	}
}

// cancelAfterDisconnect has the policy decide on no further attempt.
func (x *exchange) cancelAfterDisconnect() {
	b := x.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.requests.openIDs, x.id)
	slot := &b.requests.slots[x.slot]
	if !slot.isFinal {
		slot.isFinal = true
		b.counters.increment(counterDisconnected)
		if x.attemptsEnded == len(x.connections) {
			b.counters.increment(counterDisconnectedWaiting)
		}
		b.policy.HandleClientCancelled(b.now(), x.slot)
	}
	slot.disconnectedAt = b.now()
}

// withdrawUnsent ends the attempts whose last byte has not been sent.
func (x *exchange) withdrawUnsent() {
	for _, line := range x.connections {
		line.CancelUnsent()
	}
}

func (e attemptStarted) handle(x *exchange) {
	line := x.balancer.pool.NewConn()
	x.connections = append(x.connections, line)
	x.record.attempts = append(x.record.attempts, attemptRecord{server: e.name, sent: time.Since(x.client.receivedAt)})
	if x.isAnswered {
		line.Cancel() // The client disconnected between the decision and this.
	}
	go x.runAttempt(line, e.attempt)
}

func (e attemptCancelled) handle(x *exchange) { x.connections[e.number].Cancel() }

func (e requestRejected) handle(x *exchange) {
	x.finish(protocol.AppendRejected(nil, e.retryAfter), outcomeRejected)
}

func (requestFailed) handle(x *exchange) { x.finish(protocol.AppendFailed(nil), outcomeFailed) }

func (clientGone) handle(x *exchange) { x.disconnect() }

// finish gives the final answer, if none was given.
func (x *exchange) finish(answer []byte, outcome string) {
	if x.isAnswered {
		return
	}
	x.isAnswered = true
	x.record.outcome = outcome
	x.withdrawUnsent()
	b := x.balancer
	b.mu.Lock()
	delete(b.requests.openIDs, x.id)
	b.counters.incrementFor(outcome, x.workload)
	b.mu.Unlock()
	x.reply.reply <- reply{bytes: answer}
}

// handle passes a large value on to the client as it comes, unless the request has its final answer. It counts as
// answered once the value is complete.
func (e responseStarted) handle(x *exchange) {
	isAccepted := x.acceptLargeValue(e.number)
	if e.value.isAccepted <- isAccepted; !isAccepted {
		return
	}
	x.large, x.isAnswered, x.record.outcome = e.value, true, outcomeAnswered
	for number, line := range x.connections {
		if number != e.number {
			line.Cancel()
		}
	}
	x.reply.reply <- reply{bytes: protocol.AppendLargeValueHeader(nil, x.large.size), value: x.large.body}
}

// acceptLargeValue makes an attempt's large value the final answer, unless there is one.
func (x *exchange) acceptLargeValue(number int) bool {
	b := x.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	slot := &b.requests.slots[x.slot]
	if slot.isFinal {
		return false
	}
	slot.isFinal = true
	b.requests.bytes += 2 * pieceSize // One piece is read while one is written.
	x.bytes += 2 * pieceSize
	b.policy.HandleResponseStarted(x.slot, number)
	return true
}

// handle passes an attempt's end to the policy. The first value that comes is the final answer.
func (e attemptEnded) handle(x *exchange) {
	x.attemptsEnded++
	if isFinal := x.recordResult(e.attemptResult); isFinal {
		x.finish(e.answer, outcomeAnswered)
	}
}

// recordResult counts an attempt's end and passes it to the policy. It reports whether it has the final answer.
func (x *exchange) recordResult(r attemptResult) (isFinal bool) {
	b := x.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	now, outcome, latency := b.now(), x.outcomeOf(r), r.latency
	if latency == 0 {
		latency = now - r.startedAt
	}
	x.record.attempts[r.number].end, x.record.attempts[r.number].took = r.end, time.Duration(latency)
	slot := &b.requests.slots[x.slot]
	isFinal = outcome == policy.OK && !slot.isFinal
	if isFinal {
		slot.isFinal = true
		x.bytes += int64(len(r.answer))
		b.requests.bytes += int64(len(r.answer))
	} else if outcome != policy.OK {
		b.counters.increment(counterAttemptPrefix + r.end.String())
	}
	if r.load != nil {
		b.policy.HandleLoadReport(r.endpoint, r.load)
	}
	if outcome == policy.OK && !x.isWrite {
		b.counters.countRead(r.cacheResult)
	}
	if b.outlierExchange != nil {
		b.outlierExchange.HandleAttemptEnded(b.endpoints.all[r.endpoint].name, outcome, latency, b.catalog.expectedTimes[x.workload])
	}
	b.checkLease()
	b.policy.HandleAttemptEnded(now, x.slot, policy.AttemptResult{Attempt: r.number, Endpoint: r.endpoint, CacheResult: r.cacheResult,
		Outcome: outcome, Latency: latency, IsAnswered: b.requests.slots[x.slot].isFinal})
	return isFinal
}

// outcomeOf is what an attempt's end is to the policy; under the lock.
func (x *exchange) outcomeOf(r attemptResult) policy.Outcome {
	outcome := outcomeByEnd[r.end]
	switch {
	case x.large == nil:
	case r.value == x.large:
		x.countLargeValue(outcome)
	case outcome == policy.OK:
		return policy.Cancelled // It came after the large value had begun: nobody waits for it.
	}
	return outcome
}

// countLargeValue counts the final answer of a request whose client is sent a large value; under the lock.
func (x *exchange) countLargeValue(outcome policy.Outcome) {
	b := x.balancer
	delete(b.requests.openIDs, x.id)
	if outcome == policy.OK {
		b.counters.incrementFor(outcomeAnswered, x.workload)
	} else {
		b.counters.incrementFor(outcomeFailed, x.workload)
	}
}

// release gives back what the request took.
func (x *exchange) release() {
	b := x.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests.bytes -= x.bytes
	for _, endpoint := range b.requests.slots[x.slot].attemptEndpoints {
		b.releaseAttempt(endpoint)
	}
	b.requests.release(x.slot)
}
