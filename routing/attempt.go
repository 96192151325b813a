package routing

import (
	"time"

	"hollylever/protocol"
	"hollylever/settings"
	"hollylever/transport"
)

const (
	// maxSendTime bounds the time from when an attempt states its timeout to the server until its last byte is sent. The
	// protocol allows the stated timeout to exceed the remaining time by 150 ms. Sending a large value takes longer: such
	// an attempt states half of the remaining time and may spend the other half on sending.
	maxSendTime = 100 * time.Millisecond

	// nextPieceTimeout bounds the wait for the next part of a reply that has begun, so that a server that stops halfway
	// leaves enough time for a retry.
	nextPieceTimeout = 250 * time.Millisecond

	// sentAfterDisconnectTolerance, in ns, is how long after its client's disconnect an attempt may begin to be sent
	// before it is counted as sent after the disconnect. Within it, the two may simply have crossed.
	sentAfterDisconnectTolerance = int64(50 * time.Millisecond)
)

// runAttempt sends a request to an endpoint once and reports to the exchange how that ended. It avoids, as far as
// possible, sending requests of which it is then unknown whether the server ran them.
func (x *exchange) runAttempt(conn *transport.PooledConn, a attempt) {
	result := attemptResult{attempt: a}
	deadline := x.balancer.timeAt(a.deadline)
	end, isUnused := x.connectAndSend(conn, deadline, &result)
	isReusable := false
	if end == transport.Open {
		end, isReusable = x.readAnswer(conn, deadline, &result)
		x.keepReserved(len(result.answer), &result)
	}
	conn.Release(isUnused || isReusable && end <= transport.Rejected)
	result.end = end
	x.events <- attemptEnded{result}
}

// connectAndSend connects to the endpoint and sends the request. It returns Open once the last byte was sent. isUnused
// reports that the request was not sent, nothing was written to the connection, and it may be reused.
func (x *exchange) connectAndSend(conn *transport.PooledConn, deadline time.Time, result *attemptResult) (end transport.End, isUnused bool) {
	if end := x.checkConnected(); end != transport.Open {
		return end, false
	}
	if end := conn.Connect(transport.Peer{Server: result.endpoint, Address: result.address}, deadline); end != transport.Open {
		return end, false
	}
	if x.balancer.isDraining(result.endpoint) {
		return transport.CancelledBeforeSent, false // The drain was listed while the connection was being established.
	}
	if end := x.checkConnected(); end != transport.Open {
		return end, true
	}
	return x.writeRequest(conn, deadline, result), false
}

// checkConnected returns Open if the client is still connected. Otherwise it returns CancelledBeforeSent and tells the
// exchange, since nothing may be sent for a client that has disconnected.
func (x *exchange) checkConnected() transport.End {
	if !x.client.hasDisconnected() {
		return transport.Open
	}
	b := x.balancer
	b.mu.Lock()
	b.counters.increment(counterWithheld)
	b.mu.Unlock()
	x.events <- clientDisconnected{}
	return transport.CancelledBeforeSent
}

// writeRequest writes the request to a server's connection. It returns Open once the last byte was sent.
func (x *exchange) writeRequest(conn *transport.PooledConn, deadline time.Time, result *attemptResult) transport.End {
	b := x.balancer
	startedAt := b.now()
	result.firstByteAt = time.Now()
	remaining := time.Until(deadline)
	statedTimeout, sendDeadline := remaining, earlier(deadline, time.Now().Add(maxSendTime))
	if protocol.HasLargeValue(x.arguments) {
		statedTimeout = remaining / 2
		sendDeadline = deadline.Add(-statedTimeout)
	}
	message, rest := protocol.AppendRequest(nil, x.arguments, int64(statedTimeout))
	if rest != nil {
		if end := conn.SendPart(message, sendDeadline); end != transport.Open {
			return end
		}
		message = rest
	}
	var end transport.End
	if b.catalog.isSingleShot[x.workload] {
		end = conn.SendHoldingLastByte(message, sendDeadline, x.client.hasDisconnected)
	} else {
		end = conn.Send(message, sendDeadline)
	}
	if end == transport.Open {
		result.lastByteAt = time.Now()
		x.countSent(startedAt)
	}
	return end
}

// countSent counts an attempt whose last byte was sent. It counts separately one whose sending began more than
// sentAfterDisconnectTolerance after the client's disconnect.
func (x *exchange) countSent(startedAt int64) {
	b := x.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counters.increment(counterAttemptsSent)
	if disconnectedAt := b.requests.slots[x.slot].disconnectedAt; disconnectedAt > 0 && startedAt > disconnectedAt+sentAfterDisconnectTolerance {
		b.counters.increment(counterSentAfterDisconnect)
	}
}

func earlier(one, other time.Time) time.Time {
	if one.Before(other) {
		return one
	}
	return other
}

// readAnswer reads the server's reply into the result. isReusable reports that nothing but whole replies arrived on the
// connection.
func (x *exchange) readAnswer(conn *transport.PooledConn, deadline time.Time, result *attemptResult) (end transport.End, isReusable bool) {
	for {
		if size, start := protocol.ParseLargeValueHeader(conn.Unread()); size > 0 {
			result.latency = x.balancer.now() - result.startedAt
			conn.Skip(start)
			return x.streamValue(conn, size, deadline, result)
		}
		response := protocol.ParseResponse(conn.Unread())
		result.cacheResult = int(response.CacheResult)
		if response.End == transport.Open {
			if end := x.reserveRead(conn, deadline, result); end != transport.Open {
				return end, false
			}
			if end := readMore(conn, deadline); end != transport.Open {
				return end, true
			}
			continue
		}
		if response.End == transport.Succeeded {
			result.answer = protocol.AppendValue(nil, response.Value)
		}
		result.load = x.balancer.parseReport(response.Report)
		conn.Skip(response.Length)
		return response.End, true
	}
}

// readMore reads the next part of a reply. A reply that has begun must go on within nextPieceTimeout.
func readMore(conn *transport.PooledConn, deadline time.Time) transport.End {
	hasBegun := len(conn.Unread()) > 0
	if hasBegun && time.Until(deadline) > nextPieceTimeout {
		deadline = time.Now().Add(nextPieceTimeout)
	}
	end := conn.Fill(deadline)
	if end == transport.ResponseTimedOut && hasBegun {
		return transport.Malformed
	}
	return end
}

// parseReport parses a server's load report. It returns nil if there is none.
func (b *Balancer) parseReport(text []byte) []float64 {
	if load := make([]float64, len(b.catalog.reportFields)); settings.ParseReport(text, "=", b.catalog.reportFields, load) {
		return load
	}
	return nil
}
