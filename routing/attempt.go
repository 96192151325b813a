package routing

import (
	"time"

	"hollylever/protocol"
	"hollylever/settings"
	"hollylever/transport"
)

// nextPieceTimeout bounds the wait for the next part of a reply that has begun, so that a server that stops halfway
// leaves enough time for a retry.
const nextPieceTimeout = 250 * time.Millisecond

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
	if end.ProvesNotRun() {
		x.repeatWindow.forget(x.windowBase + a.number)
	}
	x.events <- attemptEnded{result}
}

// connectAndSend connects to the endpoint and sends the request. It returns Open once the last byte was sent. isUnused
// reports that the request was not sent, nothing was written to the connection, and it may be reused.
func (x *exchange) connectAndSend(conn *transport.PooledConn, deadline time.Time, result *attemptResult) (end transport.End, isUnused bool) {
	if end := x.checkConnected(); end != transport.Open {
		return end, false
	}
	if end := conn.Connect(result.peer, deadline); end != transport.Open {
		return end, false
	}
	if !x.balancer.maySend(result.attempt) {
		return transport.CancelledBeforeSent, false // The list has changed while the connection was being established.
	}
	if end := x.checkConnected(); end != transport.Open {
		return end, true
	}
	return x.writeRequest(conn, deadline, result), false
}

// checkConnected returns Open if the client is still connected. Otherwise, and if that can't be known, it returns
// CancelledBeforeSent and tells the exchange, since nothing may be sent for a client that has disconnected.
func (x *exchange) checkConnected() transport.End {
	var reason event
	switch {
	case x.client.hasDisconnected():
		reason = clientDisconnected{}
	case x.client.isUnread():
		reason = clientUnread{}
	default:
		return transport.Open
	}
	b := x.balancer
	b.mu.Lock()
	b.counters.increment(counterWithheld)
	b.mu.Unlock()
	x.events <- reason
	return transport.CancelledBeforeSent
}

// readAnswer reads the server's reply into the result. isReusable reports that nothing but whole replies arrived on the
// connection.
func (x *exchange) readAnswer(conn *transport.PooledConn, deadline time.Time, result *attemptResult) (end transport.End, isReusable bool) {
	for {
		if size, start := protocol.ParseLargeValueHeader(conn.Unread()); size > 0 {
			result.latency = x.balancer.now() - result.startedAt
			return x.readLargeValue(conn, largeResponse{size: size, start: start}, deadline, result)
		}
		response := protocol.ParseResponse(conn.Unread())
		result.cacheResult = int(response.CacheResult)
		if response.End == transport.Open {
			if end := x.reserveRead(conn, deadline, result); end != transport.Open {
				return end, false
			}
			if end := x.readMore(conn, deadline); end != transport.Open {
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

// readMore reads the next part of a reply. A reply that has begun must go on within nextPieceTimeout, so that there is time for a retry.
// A single-shot request has none once it was sent, and its reply may take until the deadline.
func (x *exchange) readMore(conn *transport.PooledConn, deadline time.Time) transport.End {
	hasBegun := len(conn.Unread()) > 0
	if hasBegun && !x.balancer.catalog.isSingleShot[x.workload] && time.Until(deadline) > nextPieceTimeout {
		deadline = time.Now().Add(nextPieceTimeout)
	}
	end := x.fillWithinRepeatWindow(conn, deadline)
	if end == transport.ResponseTimedOut && hasBegun {
		return transport.Malformed
	}
	return end
}

// fillWithinRepeatWindow is conn.Fill. At the end of the repeat window it cancels an attempt that has not arrived at the
// server, if another attempt may have run: it could arrive when the server no longer drops it as a duplicate.
func (x *exchange) fillWithinRepeatWindow(conn *transport.PooledConn, deadline time.Time) transport.End {
	windowEnd := x.repeatWindow.end()
	for !windowEnd.IsZero() && windowEnd.Before(deadline) {
		if end := conn.Fill(windowEnd); end != transport.ResponseTimedOut {
			return end
		}
		checked := windowEnd
		if windowEnd = x.repeatWindow.end(); windowEnd.After(checked) {
			continue // The first attempt has proved not to have run.
		}
		if x.repeatWindow.isShared() && !conn.HasArrived() {
			conn.Cancel()
			return transport.CancelledAfterSent
		}
		break
	}
	return conn.Fill(deadline)
}

// parseReport parses a server's load report. It returns nil if there is none.
func (b *Balancer) parseReport(text []byte) []float64 {
	if load := make([]float64, len(b.catalog.reportFields)); settings.ParseReport(text, "=", b.catalog.reportFields, load) {
		return load
	}
	return nil
}
