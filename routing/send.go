package routing

import (
	"time"

	"hollylever/protocol"
	"hollylever/transport"
)

const (
	// maxSendTime bounds the time from when an attempt states its timeout to the server until it is written. The protocol
	// allows the stated timeout to exceed the remaining time by 150 ms. Writing a large value takes longer: such an
	// attempt states half of the remaining time and may spend the other half on writing.
	maxSendTime = 100 * time.Millisecond

	// sentAfterDisconnectTolerance, in ns, is how long after its client's disconnect an attempt may begin to be sent
	// before it is counted as sent after the disconnect. Within it, the two may simply have crossed.
	sentAfterDisconnectTolerance = int64(50 * time.Millisecond)
)

// writeRequest writes the request to a server's connection. It returns Open once the last byte was sent.
func (x *exchange) writeRequest(conn *transport.PooledConn, deadline time.Time, result *attemptResult) transport.End {
	now := time.Now()
	result.firstByteAt = now
	remaining := deadline.Sub(now)
	statedTimeout, sendDeadline := remaining, earlier(deadline, now.Add(maxSendTime))
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
	end := x.writeToLastByte(conn, message, sendDeadline, lastByte{x.repeatWindow, x.windowBase + result.number, deadline})
	if end == transport.Open {
		result.lastByteAt = time.Now()
		x.countSent(result.firstByteAt)
	}
	return end
}

// writeToLastByte writes the end of the request in the way that its workload requires.
func (x *exchange) writeToLastByte(conn *transport.PooledConn, message []byte, sendDeadline time.Time, last lastByte) transport.End {
	switch {
	case x.balancer.catalog.isSingleShot[x.workload]:
		return conn.SendHoldingLastByte(message, sendDeadline, x.client.hasDisconnected)
	case x.repeatWindow == nil:
		return conn.Send(message, sendDeadline)
	case len(message) > transport.MaxSingleSegment:
		return conn.SendHoldingQueued(message, sendDeadline, last)
	}
	if end := last.Admit(time.Time{}); end != transport.Open {
		return end
	}
	return conn.Send(message, sendDeadline)
}

// lastByte holds the last byte of an attempt to its request's repeat window and to its own deadline.
type lastByte struct {
	window   *repeatWindow
	number   int // of the attempt
	deadline time.Time
}

var _ transport.LastByte = lastByte{}

// Deadline returns the time by which the last byte has to be sent.
func (l lastByte) Deadline() time.Time {
	if end := l.window.end(); !end.IsZero() {
		return earlier(l.deadline, end)
	}
	return l.deadline
}

// Admit returns Open if the last byte may be sent now. An arrival in the past means at once.
func (l lastByte) Admit(arrival time.Time) transport.End {
	now := time.Now()
	if arrival.Before(now) {
		arrival = now
	}
	switch {
	case !now.Before(l.deadline):
		return transport.TimedOutBeforeSent
	case !l.window.admit(l.number, now, arrival):
		return transport.TooLateToRepeat
	}
	return transport.Open
}

// countSent counts an attempt whose last byte was sent. It counts separately one whose sending began more than
// sentAfterDisconnectTolerance after the client's disconnect.
func (x *exchange) countSent(firstByteAt time.Time) {
	b := x.balancer
	startedAt := b.clockAt(firstByteAt)
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
