package routing

import (
	"time"

	"hollylever/policy"
	"hollylever/protocol"
	"hollylever/siblings"
	"hollylever/transport"
)

// outcomeByEnd maps the end of an attempt to the outcome that the policy is told. Where End.ProvesNotRun, the outcome
// does too.
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
	transport.TooLateToRepeat:     policy.NotSent,
	transport.BrokenAfterSent:     policy.Reset,
	transport.ResponseTimedOut:    policy.TimedOut,
	transport.CancelledAfterSent:  policy.Cancelled,
	transport.Malformed:           policy.Reset,
}

// exchange handles one request from its arguments through its attempts to its single final reply, and on until its last
// attempt has ended. The client's reading goroutine admits it; from then on the goroutine that calls run owns it.
// Attempts read only fields that are set before they start.
type exchange struct {
	balancer  *Balancer
	arguments [][]byte
	isWrite   bool
	reply     *pendingReply
	client    client

	id             string
	workload       int
	slot           int // in the request table
	events         chan event
	bytes          int64                   // of the request and its reply
	reservedMemory int64                   // bytes of the memory account that are held until the release
	connections    []*transport.PooledConn // the connection of each attempt
	repeatWindow   *repeatWindow           // nil: attempts may be sent at any time
	windowBase     int                     // number of the first attempt in repeatWindow
	mayHaveRun     bool                    // an attempt of it may have run
	attemptsEnded  int
	isAnswered     bool // it has its final reply, or its client has disconnected and gets none
	isDisconnected bool
	largeReply     *largeValue // the large value that is streamed to the client; nil if none
	heldReply      *heldValue  // the large value that the client gets whole; nil if none
	record         requestRecord

	idSharing
}

// newExchange returns the exchange of a request that is to be admitted.
func (b *Balancer) newExchange(arguments [][]byte, isWrite bool, sender client) *exchange {
	return &exchange{balancer: b, arguments: arguments, isWrite: isWrite, client: sender}
}

// run handles an admitted request until it is released.
func (x *exchange) run() {
	isRegistered := x.isRegistered()
	for !isRegistered && !x.runUnregistered() && x.admitAnew() {
		isRegistered = x.isRegistered()
	}
	if isRegistered {
		x.handleEvents()
		x.resolveResult()
	}
	delivery := <-x.reply.delivery // Until then its reply occupies memory.
	x.heldReply.release()
	x.disown(delivery)
	x.record.answered = time.Since(x.client.receivedAt)
	x.logEnd(delivery)
	if isRegistered {
		x.release(delivery)
	} else {
		x.releaseMemory()
	}
}

// isRegistered reports whether the admitted request runs itself.
func (x *exchange) isRegistered() bool { return x.earlier == nil && x.contested == nil }

// runUnregistered handles a request that does not run itself. It returns false if it is to be admitted anew.
func (x *exchange) runUnregistered() bool {
	if x.contested != nil {
		return x.runContested()
	}
	return x.runShared()
}

// handleEvents returns once the request has its final reply and each attempt has ended.
func (x *exchange) handleEvents() {
	disconnected := x.client.disconnected
	for !x.isAnswered || x.attemptsEnded < x.attemptsStarted() {
		if x.isDisconnected {
			disconnected = nil
		}
		select {
		case <-disconnected:
			x.handleDisconnect()
		case e := <-x.events:
			e.handle(x)
		}
	}
}

// attemptsStarted returns how many attempts the policy has decided on.
func (x *exchange) attemptsStarted() int {
	x.balancer.mu.Lock()
	defer x.balancer.mu.Unlock()
	return len(x.balancer.requests.slots[x.slot].attemptEndpoints)
}

// handleDisconnect cancels everything unneeded once the client has disconnected. Later calls have no effect.
func (x *exchange) handleDisconnect() {
	if x.isDisconnected {
		return
	}
	x.isDisconnected = true
	if !x.isAnswered {
		x.record.outcome = outcomeDisconnected
	}
	x.isAnswered = true
	x.cancelInPolicy()
	x.cancelUnsent()
	if x.largeReply != nil {
		_ = x.largeReply.body.Close()
	}
}

// cancelInPolicy tells the policy of the disconnect, so that it starts no further attempt.
func (x *exchange) cancelInPolicy() {
	b := x.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests.closeID(x)
	if x.result != nil {
		b.requests.abandonID(x)
	}
	x.disownLeft()
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

// cancelUnsent cancels the attempts whose last byte has not been sent.
func (x *exchange) cancelUnsent() {
	for _, conn := range x.connections {
		conn.CancelUnsent()
	}
}

func (e attemptStarted) handle(x *exchange) {
	conn := x.balancer.pool.NewConn()
	x.connections = append(x.connections, conn)
	x.record.attempts = append(x.record.attempts, attemptRecord{server: e.name, decided: time.Since(x.client.receivedAt)})
	if x.isAnswered {
		conn.Cancel() // The client disconnected after the policy decided on this attempt.
	}
	go x.runAttempt(conn, e.attempt)
}

// handle cancels an attempt. One that may have run and must not run again goes on: its result is that of its ID.
func (e attemptCancelled) handle(x *exchange) {
	if x.balancer.catalog.isSingleShot[x.workload] {
		x.connections[e.number].CancelUnsent()
		return
	}
	x.connections[e.number].Cancel()
}

func (e requestRejected) handle(x *exchange) {
	if x.hasEarlierRun {
		x.finish(protocol.AppendFailed(nil), outcomeFailed) // A rejection promises that it has not run.
		return
	}
	x.finish(protocol.AppendRejected(nil, e.retryAfter), outcomeRejected)
}

func (requestFailed) handle(x *exchange) { x.finish(protocol.AppendFailed(nil), outcomeFailed) }

func (clientDisconnected) handle(x *exchange) { x.handleDisconnect() }

// handle ends the request without a further attempt, unless another attempt of it is in progress.
func (clientUnread) handle(x *exchange) {
	if x.attemptsStarted()-x.attemptsEnded > 1 {
		return
	}
	b := x.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.requests.slots[x.slot].isFinal {
		b.policy.ExpireRequest(b.now(), x.slot)
	}
}

// finish sends the final reply, unless the request already has one.
func (x *exchange) finish(answer []byte, outcome string) { x.finishWith(reply{bytes: answer}, outcome) }

// finishWith is finish for a reply of any kind.
func (x *exchange) finishWith(final reply, outcome string) {
	if x.isAnswered {
		return
	}
	x.isAnswered = true
	x.record.outcome = outcome
	x.cancelUnsent()
	b := x.balancer
	b.mu.Lock()
	b.requests.closeID(x)
	b.counters.incrementFor(outcome, x.workload)
	b.mu.Unlock()
	x.reply.reply <- final
}

// handle passes an attempt's end to the policy. The first value that arrives is the final reply.
func (e attemptEnded) handle(x *exchange) {
	x.attemptsEnded++
	isFinal := x.recordResult(e.attemptResult)
	switch {
	case !isFinal:
		e.held.release()
	case e.held != nil:
		x.heldReply = e.held
		x.finishWith(reply{bytes: protocol.AppendLargeValueHeader(nil, e.held.size()), held: e.held}, outcomeAnswered)
	default:
		x.finish(e.answer, outcomeAnswered)
	}
}

// recordResult counts an attempt's end and passes it to the policy. It reports whether the result is the final reply.
func (x *exchange) recordResult(r attemptResult) (isFinal bool) {
	b := x.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	now, outcome, latency := b.now(), x.outcomeOf(r), r.latency
	if latency == 0 {
		latency = now - r.startedAt
	}
	x.recordAttempt(r, time.Duration(latency))
	x.mayHaveRun = x.mayHaveRun || !r.end.ProvesNotRun()
	if r.end == transport.Succeeded && r.value == nil && r.held == nil {
		b.results.resolve(x.result, siblings.ResultAnswer, r.answer)
	}
	slot := &b.requests.slots[x.slot]
	isFinal = outcome == policy.OK && !slot.isFinal
	if isFinal {
		slot.isFinal = true
		x.bytes += int64(len(r.answer))
		b.requests.bytes += int64(len(r.answer))
		x.reservedMemory += r.reservedMemory
	} else {
		b.memory.Release(r.reservedMemory)
	}
	if !isFinal && outcome != policy.OK {
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

// recordAttempt notes for the request log how an attempt went.
func (x *exchange) recordAttempt(r attemptResult, took time.Duration) {
	record := &x.record.attempts[r.number]
	record.end, record.took, record.value = r.end, took, r.valueRecord
	if !r.firstByteAt.IsZero() {
		record.firstByte = r.firstByteAt.Sub(x.client.receivedAt)
	}
	if !r.lastByteAt.IsZero() {
		record.lastByte = r.lastByteAt.Sub(x.client.receivedAt)
	}
}

// outcomeOf returns the outcome of an attempt that the policy is told. The caller holds Balancer.mu.
func (x *exchange) outcomeOf(r attemptResult) policy.Outcome {
	outcome := outcomeByEnd[r.end]
	switch {
	case x.largeReply == nil:
	case r.value == x.largeReply:
		x.countLargeValue(outcome)
	case outcome == policy.OK:
		return policy.Cancelled // The large value had begun before, and it is the final reply.
	}
	return outcome
}

// release frees the request's memory and slot, and the endpoints of its attempts.
func (x *exchange) release(result delivery) {
	b := x.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if result == delivered {
		b.results.recordDelivery(x.result)
	}
	b.requests.bytes -= x.bytes
	b.memory.Release(x.reservedMemory)
	for _, endpoint := range b.requests.slots[x.slot].attemptEndpoints {
		b.releaseAttempt(endpoint)
	}
	b.requests.release(x.slot)
}
