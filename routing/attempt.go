package routing

import (
	"time"

	"hollylever/protocol"
	"hollylever/settings"
	"hollylever/transport"
)

const (
	// maxSendTime bounds the time from when an attempt states its timeout to the server until its last byte is sent:
	// the protocol allows the attempt to state 150 ms too much. A large value takes longer: it states half of what is
	// left and has the other half.
	maxSendTime = 100 * time.Millisecond

	// nextPieceTimeout bounds the wait for the next piece of an answer that has begun: a server that stops halfway
	// must not take all the time that a retry needs.
	nextPieceTimeout = 250 * time.Millisecond

	// sentAfterDisconnectTolerance in ns: an attempt that is sent so long after its client disconnected did not just
	// cross that.
	sentAfterDisconnectTolerance = int64(50 * time.Millisecond)
)

// runAttempt sends a request to an endpoint once, and sends the exchange how that ends. It is careful to send as
// little as possible of which nobody can tell whether it ran.
func (x *exchange) runAttempt(line *transport.PooledConn, a attempt) {
	result := attemptResult{attempt: a}
	deadline := x.balancer.timeAt(a.deadline)
	end, isUnused := x.connectAndSend(line, a, deadline)
	isReusable := false
	if end == transport.Open {
		end, isReusable = x.readAnswer(line, deadline, &result)
	}
	line.Release(isUnused || isReusable && end <= transport.Rejected)
	result.end = end
	x.events <- attemptEnded{result}
}

// connectAndSend is Open once the request's last byte was sent. isUnused: it was not sent, and nothing was written to
// the connection.
func (x *exchange) connectAndSend(line *transport.PooledConn, a attempt, deadline time.Time) (end transport.End, isUnused bool) {
	if end := x.checkClient(); end != transport.Open {
		return end, false
	}
	if end := line.Connect(transport.Peer{Server: a.endpoint, Address: a.address}, deadline); end != transport.Open {
		return end, false
	}
	if x.balancer.isDraining(a.endpoint) {
		return transport.CancelledBeforeSent, false // The list said so while the connection came up.
	}
	if end := x.checkClient(); end != transport.Open {
		return end, true
	}
	return x.writeRequest(line, deadline), false
}

// checkClient is Open, or CancelledBeforeSent where the client has gone by now: nothing may be sent for it.
func (x *exchange) checkClient() transport.End {
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

// writeRequest writes the request to a server's connection: Open once its last byte was sent.
func (x *exchange) writeRequest(line *transport.PooledConn, deadline time.Time) transport.End {
	b := x.balancer
	startedAt := b.now()
	left := time.Until(deadline)
	statedTimeout, sendDeadline := left, earlier(deadline, time.Now().Add(maxSendTime))
	if protocol.HasLargeValue(x.arguments) {
		statedTimeout = left / 2
		sendDeadline = deadline.Add(-statedTimeout)
	}
	message, rest := protocol.AppendRequest(nil, x.arguments, int64(statedTimeout))
	if rest != nil {
		if end := line.SendPart(message, sendDeadline); end != transport.Open {
			return end
		}
		message = rest
	}
	var end transport.End
	if b.catalog.isSingleShot[x.workload] {
		end = line.SendHoldingLastByte(message, sendDeadline, x.client.hasDisconnected)
	} else {
		end = line.Send(message, sendDeadline)
	}
	if end == transport.Open {
		x.countSent(startedAt)
	}
	return end
}

// countSent counts an attempt whose last byte was sent, and whether that began well after its client disconnected.
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

// readAnswer reads the server's answer into the result. isReusable: nothing but whole answers came on the connection.
func (x *exchange) readAnswer(line *transport.PooledConn, deadline time.Time, result *attemptResult) (end transport.End, isReusable bool) {
	for {
		if size, start := protocol.ParseLargeValueHeader(line.Unread()); size > 0 {
			result.latency = x.balancer.now() - result.startedAt
			line.Skip(start)
			return x.streamValue(line, size, result)
		}
		response := protocol.ParseResponse(line.Unread())
		result.cacheResult = int(response.CacheResult)
		if response.End == transport.Open {
			if end := readMore(line, deadline); end != transport.Open {
				return end, true
			}
			continue
		}
		if response.End == transport.Succeeded {
			result.answer = protocol.AppendValue(nil, response.Value)
		}
		result.load = x.balancer.parseReport(response.Report)
		line.Skip(response.Length)
		return response.End, true
	}
}

// readMore reads the next piece of an answer. Guards against an answer that begins and does not end.
func readMore(line *transport.PooledConn, deadline time.Time) transport.End {
	hasBegun := len(line.Unread()) > 0
	if hasBegun && time.Until(deadline) > nextPieceTimeout {
		deadline = time.Now().Add(nextPieceTimeout)
	}
	end := line.Fill(deadline)
	if end == transport.ResponseTimedOut && hasBegun {
		return transport.Malformed
	}
	return end
}

// parseReport reads a server's load report, nil if there is none.
func (b *Balancer) parseReport(text []byte) []float64 {
	if load := make([]float64, len(b.catalog.reportFields)); settings.ParseReport(text, "=", b.catalog.reportFields, load) {
		return load
	}
	return nil
}
