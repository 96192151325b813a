package routing

import (
	"time"

	"hollylever/transport"
)

// A large value is held until all of it has arrived. Once its first byte is passed on, only the end of the client's
// connection can tell that the rest will not come, and with the connection go the replies to all commands behind it. An
// attempt whose value breaks before that is like any other that fails: the request is retried, or answered with an error.
//
// A value is passed on before it is whole, as streamValue does, where its time or the memory ends, but not before its first byte
// has arrived: the attempt's deadline bounds the wait for that, as it bounds the wait for any other answer. Where replies to other
// commands wait, it is passed on only if its server still writes it; one that stands still is held on, as it may go on or become whole.

const (
	// maxHoldTime bounds how long the beginning of a large value is held. Clients take a value that is held back for 2 s
	// as lost.
	maxHoldTime = 1750 * time.Millisecond
	// maxHoldReserve is the longest time by which a hold ends before the attempt's deadline, so that the first bytes of the
	// value reach the client in time.
	maxHoldReserve = 25 * time.Millisecond
	// holdReserveDivisor: an attempt's remaining time divided by this is reserved for the first bytes, up to maxHoldReserve.
	holdReserveDivisor = 8
	// minWritingTime is how long a server must have written a value before it counts as going on: of one that has only just begun
	// nothing tells whether it will stop.
	minWritingTime = 250 * time.Millisecond
)

// largeResponse is what the beginning of a response tells of its large value.
type largeResponse struct {
	size  int // of the value, in bytes
	start int // offset of the value in the response
}

// valueEnd is the offset of the first byte behind the value and its terminator.
func (r largeResponse) valueEnd() int { return r.start + r.size + len(valueTerminator) }

// bufferSize is how many bytes a buffer for the whole response needs. Anything over transport.MaxBuffer comes from a budget.
func (r largeResponse) bufferSize() int {
	return max(r.valueEnd()+responseTail, transport.MaxBuffer+1)
}

// readLargeValue reads a large value whose beginning is unread: as a whole, or else as a stream.
func (x *exchange) readLargeValue(conn *transport.PooledConn, response largeResponse, deadline time.Time, result *attemptResult) (end transport.End, isReusable bool) {
	h := x.newValueHold(conn, response, deadline, result)
	h.reportContinued()
	end, isWhole := h.hold()
	switch {
	case end != transport.Open:
		return end, false
	case isWhole:
		return transport.Succeeded, h.take()
	case h.isCutOff():
		return transport.BrokenAfterSent, false
	}
	conn.Skip(response.start)
	return x.streamValue(conn, response.size, h.reservePieces(), result)
}

// valueHold is the hold of one large value by an attempt.
type valueHold struct {
	exchange *exchange
	conn     *transport.PooledConn
	response largeResponse
	result   *attemptResult
	deadline time.Time // of the attempt

	// Set once the value's first byte has arrived.
	usefulUntil time.Time // the first byte has no value for the client after it
	passOnFrom  time.Time // from when the value may be passed on before it is whole; its first byte is still of use then
	holdLimit   time.Time // until when it is held at the longest while its server writes it

	hasBuffer    bool          // the connection has a buffer for the whole response
	startedAt    time.Time     // when reading into the buffer began; the value's first byte had arrived
	progressAt   time.Time     // when the last bytes arrived, or reading began
	longestPause time.Duration // between bytes that arrived
	isStalled    bool          // nothing has arrived for nextPieceTimeout
}

// newValueHold returns the hold of a value whose header has arrived.
func (x *exchange) newValueHold(conn *transport.PooledConn, response largeResponse, deadline time.Time, result *attemptResult) *valueHold {
	now := time.Now()
	result.valueRecord = newValueRecord(response.size, now)
	h := &valueHold{exchange: x, conn: conn, response: response, result: result, deadline: deadline, progressAt: now}
	h.recordReceived(now)
	return h
}

// begin sets the times of the hold. The value's first byte has arrived.
func (h *valueHold) begin(now time.Time) {
	x := h.exchange
	h.usefulUntil = h.deadline
	if catalog := &x.balancer.catalog; catalog.isWorthlessLate[x.workload] {
		h.usefulUntil = earlier(h.deadline, x.client.receivedAt.Add(time.Duration(catalog.expectedTimes[x.workload])))
	}
	h.holdLimit = earlier(now.Add(maxHoldTime), reserveBefore(h.deadline, now))
	h.passOnFrom = earlier(h.holdLimit, reserveBefore(h.usefulUntil, now))
}

// reserveBefore returns the time at which a value has to be passed on for its first bytes to reach the client by a deadline.
func reserveBefore(deadline, now time.Time) time.Time {
	remaining := max(0, deadline.Sub(now))
	return deadline.Add(-min(maxHoldReserve, remaining/holdReserveDivisor))
}

// hold reads the response until its value is whole. It returns Open and false if the value is to be passed on before that, and
// how the attempt ended if it did. A value takes a buffer only once its first byte has arrived, so that headers alone take no memory.
func (h *valueHold) hold() (end transport.End, isWhole bool) {
	if end := h.awaitFirstByte(); end != transport.Open {
		return end, false
	}
	h.begin(time.Now())
	if !h.takeBuffer() {
		if end := h.awaitMemory(); end != transport.Open || !h.hasBuffer {
			return end, false
		}
	}
	h.startedAt = time.Now()
	h.progressAt, h.longestPause = h.startedAt, 0
	return h.fill()
}

// awaitFirstByte reads until a byte of the value has arrived. It returns Open then.
func (h *valueHold) awaitFirstByte() transport.End {
	for len(h.conn.Unread()) <= h.response.start {
		if end := h.readMore(); end != transport.Open {
			return end
		}
	}
	return transport.Open
}

// fill reads into the buffer until the value is whole, and returns what hold does.
func (h *valueHold) fill() (end transport.End, isWhole bool) {
	for len(h.conn.Unread()) < h.response.valueEnd() {
		now := time.Now()
		if h.mayPassOn(now) {
			return transport.Open, false
		}
		if h.mustRetry(now) {
			return transport.Malformed, false
		}
		if end := h.readMore(); end != transport.Open {
			return end, false
		}
	}
	terminator := h.conn.Unread()[h.response.start+h.response.size : h.response.valueEnd()]
	if string(terminator) != valueTerminator {
		return transport.Malformed, false
	}
	return transport.Open, true
}

// mayPassOn reports whether the value is to be passed on before it is whole.
func (h *valueHold) mayPassOn(now time.Time) bool {
	isAtLimit := !now.Before(h.holdLimit)
	switch {
	case now.Before(h.passOnFrom):
		return false
	case !h.exchange.client.othersWait():
		return isAtLimit || !h.isStalled || !h.hasLaterAttempt()
	case isAtLimit:
		return h.mayGoOn(now)
	}
	return now.Before(h.usefulUntil) && h.goesOn(now)
}

// goesOn reports whether the server has written the value for a while and still does. If the value breaks once it is passed on, the
// replies behind it are lost, and before the limit nothing is lost by holding it on.
func (h *valueHold) goesOn(now time.Time) bool {
	return h.progressAt.Sub(h.startedAt) >= minWritingTime && now.Sub(h.progressAt) <= nextPieceTimeout
}

// mayGoOn reports whether a value that is passed on or given up now is likely to go on: its server has written it for as long as it
// pauses now, and pauses little longer than it did before. Of a value that has come in one burst nothing tells that.
func (h *valueHold) mayGoOn(now time.Time) bool {
	written, pause := h.progressAt.Sub(h.startedAt), now.Sub(h.progressAt)
	return pause <= min(written, h.longestPause+nextPieceTimeout)
}

// hasLaterAttempt reports whether a later attempt of the request may still answer.
func (h *valueHold) hasLaterAttempt() bool {
	b := h.exchange.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.policy.HasLaterAttemptInFlight(h.exchange.slot, h.result.number)
}

// mustRetry reports whether a value that may not be passed on has been held for as long as it may be, and a retry is possible: there is
// time for one, and the request may be sent again.
func (h *valueHold) mustRetry(now time.Time) bool {
	isRepeatable := !h.exchange.balancer.catalog.isSingleShot[h.exchange.workload]
	return isRepeatable && !now.Before(h.holdLimit) && h.deadline.Sub(now) > maxHoldReserve
}

// nextDecision returns when the time decides next on a value from which nothing arrives.
func (h *valueHold) nextDecision(now time.Time) time.Time {
	switch {
	case now.Before(h.passOnFrom):
		return h.passOnFrom
	case now.Before(h.holdLimit):
		return h.holdLimit
	}
	return h.deadline
}

// readMore reads once, until the next decision. It tells the policy if nothing arrives for nextPieceTimeout, and if the value goes on
// after that.
func (h *valueHold) readMore() transport.End {
	now := time.Now()
	if !now.Before(h.deadline) {
		return transport.ResponseTimedOut
	}
	until := h.nextDecision(now)
	stalledAt := h.progressAt.Add(nextPieceTimeout)
	if !h.isStalled {
		until = earlier(until, stalledAt)
	}
	switch end := h.conn.Fill(until); end {
	case transport.Open:
		now = time.Now()
		h.longestPause = max(h.longestPause, now.Sub(h.progressAt))
		h.progressAt = now
		h.recordReceived(now)
		if h.isStalled {
			h.reportContinued()
		}
		return transport.Open
	case transport.ResponseTimedOut:
		if !h.isStalled && !time.Now().Before(stalledAt) {
			h.reportStalled()
		}
		return transport.Open
	default:
		return end
	}
}

// recordReceived notes for the request log how much of the value has arrived.
func (h *valueHold) recordReceived(now time.Time) {
	h.result.valueRecord.recordReceived(min(h.response.size, len(h.conn.Unread())-h.response.start), now)
}

// reportStalled tells the policy that the value does not go on.
func (h *valueHold) reportStalled() {
	h.isStalled = true
	b := h.exchange.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.policy.HandleResponseStalled(b.now(), h.exchange.slot, h.result.number)
}

// reportContinued tells the policy that the value goes on.
func (h *valueHold) reportContinued() {
	h.isStalled = false
	b := h.exchange.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.policy.HandleResponseContinued(h.exchange.slot, h.result.number)
}

// isCutOff reports whether the server has closed the connection and the rest of the value is not in the kernel either.
func (h *valueHold) isCutOff() bool {
	return h.conn.HasEnded() && len(h.conn.Unread())+h.conn.UnreadInKernel() < h.response.valueEnd()
}

// take takes the value out of the connection's buffer as the attempt's result, with what the rest of the response tells. It
// returns whether the connection may be reused.
func (h *valueHold) take() (isReusable bool) {
	value := h.response.valueEnd()
	trailer, isReusable := h.exchange.balancer.readValueTrailer(h.conn, value, earlier(h.deadline, time.Now().Add(nextPieceTimeout)), h.result)
	length := len(h.conn.Unread())
	response, release := h.conn.Take(length)
	h.result.held = &heldValue{value: response[h.response.start:value], releaseBuffer: release}
	return isReusable && length == value+trailer
}
