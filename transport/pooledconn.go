package transport

import (
	"context"
	"sync"
	"time"
)

// MaxSingleSegment is a length in bytes that fits into one segment on any usual path. The kernel sends such a message at
// once on a connection that has been idle.
const MaxSingleSegment = 1200

const (
	// SendHoldingLastByte holds the last byte back for minHoldback plus twice the time that the dial took: a close by
	// the server that is already in flight takes about one round trip to arrive.
	minHoldback = 2 * time.Millisecond
	// maxSlowDialHoldback bounds the part that depends on the dial, which may be slow for other reasons than the
	// round-trip time.
	maxSlowDialHoldback = 25 * time.Millisecond

	// sendQueuePollInterval is how often SendHoldingQueued looks whether the kernel has sent what it holds.
	sendQueuePollInterval = 2 * time.Millisecond
)

// PooledConn is the use of a pooled connection to a server by one attempt. The attempt's goroutine calls Connect, then
// Send, then Fill, and finally Release. Any goroutine may call Cancel or CancelUnsent at any time; once either has
// returned, nothing more is sent.
type PooledConn struct {
	*Conn
	pool *Pool

	mu          sync.Mutex // guards the fields below, and Conn where Connect and Release set it
	isCancelled bool
	isSent      bool // the last byte of the message was handed to the kernel
	cancelDial  context.CancelFunc
}

// NewConn returns a PooledConn that is not yet connected.
func (p *Pool) NewConn() *PooledConn { return &PooledConn{pool: p} }

// Connect takes an idle connection to the peer from the pool, or dials one until the deadline. It returns Open, or why
// there is no connection: LocalShortage, ConnectRefused, ConnectTimedOut or CancelledBeforeSent.
func (pc *PooledConn) Connect(peer Peer, deadline time.Time) End {
	c := pc.pool.takeIdle(peer)
	if c == nil {
		var end End
		if c, end = pc.dial(peer, deadline); end != Open {
			return end
		}
	}
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.Conn, pc.cancelDial = c, nil
	if pc.isCancelled {
		return CancelledBeforeSent
	}
	return Open
}

// dial opens a new connection. The pool counts it from before the dial until it is closed.
func (pc *PooledConn) dial(peer Peer, deadline time.Time) (*Conn, End) {
	if !pc.pool.reserve() {
		return nil, LocalShortage
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	pc.mu.Lock()
	pc.cancelDial = cancel
	isCancelled := pc.isCancelled
	pc.mu.Unlock()
	if isCancelled {
		cancel()
	}
	began := time.Now()
	inner, err := pc.pool.dialer.DialContext(ctx, "tcp", peer.Address)
	if err == nil {
		return &Conn{Conn: inner, peer: peer, budget: pc.pool.Budget, dialDuration: time.Since(began)}, Open
	}
	pc.pool.release()
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.isCancelled {
		return nil, CancelledBeforeSent
	}
	return nil, endOfDialError(err)
}

// SendPart writes a part of the message that is not its last.
func (pc *PooledConn) SendPart(part []byte, deadline time.Time) End {
	return pc.orCancelled(pc.Conn.Send(part, deadline))
}

// Send writes the message, or the rest of it. It returns Open once the last byte was handed to the kernel.
func (pc *PooledConn) Send(message []byte, deadline time.Time) End {
	end := pc.Conn.Send(message, deadline)
	pc.mu.Lock()
	pc.isSent = end == Open
	pc.mu.Unlock()
	return pc.orCancelled(end)
}

// SendHoldingLastByte is Send for a request that must not run more than once. It holds the last byte back for long
// enough to learn that the server has closed the connection. A server does not begin a request before its last byte, so
// a request whose connection breaks until then has not run and may be sent elsewhere. isUnwanted is called right before
// the last byte is sent; if it returns true, the request is cancelled.
func (pc *PooledConn) SendHoldingLastByte(message []byte, deadline time.Time, isUnwanted func() bool) End {
	last := len(message) - 1
	if end := pc.Conn.Send(message[:last], deadline); end != Open {
		return pc.orCancelled(end)
	}
	holdback := pc.pool.holdback + min(maxSlowDialHoldback, 2*pc.Conn.dialDuration)
	switch pc.Conn.Fill(time.Now().Add(holdback), false) {
	case TimedOutBeforeSent: // The server sent nothing and has not closed, as expected.
		if isUnwanted() || !pc.beginLastByte() {
			return pc.orCancelled(CancelledBeforeSent)
		}
		return pc.Send(message[last:], deadline)
	case Open: // The server responded before the request was complete.
		return pc.orCancelled(Malformed)
	default:
		return pc.orCancelled(BrokenBeforeSent)
	}
}

// beginLastByte marks the message as sent before its last byte is written, unless the attempt was cancelled. The server may have
// the byte before the write returns, and CancelUnsent must not cancel the attempt then.
func (pc *PooledConn) beginLastByte() bool {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.isSent = !pc.isCancelled
	return pc.isSent
}

// LastByte decides about the last byte of a message, before which the server does not begin the request.
type LastByte interface {
	// Deadline returns the time by which it has to be sent. It may become earlier while the message is being sent.
	Deadline() time.Time
	// Admit is called right before it is sent. It returns Open, or how the attempt ends without it. arrival is when the
	// server is expected to read it; a time in the past means at once.
	Admit(arrival time.Time) End
}

// SendHoldingQueued is Send for a request that must not be completed late. The kernel may hold a message for a server that
// reads slowly long after the write has returned, so all bytes but the last are written by the deadline, and the last one
// only once the kernel has sent the others.
func (pc *PooledConn) SendHoldingQueued(message []byte, deadline time.Time, lastByte LastByte) End {
	last, began := len(message)-1, time.Now()
	half := last / 2
	if end := pc.Conn.Send(message[:half], deadline); end != Open {
		return pc.orCancelled(end)
	}
	queued, queuedAt := last-half+pc.Conn.unsentBytes(), time.Now()
	if end := pc.Conn.Send(message[half:last], deadline); end != Open {
		return pc.orCancelled(end)
	}
	unsent := pc.Conn.unsentBytes()
	if unsent == 0 || unsent >= half {
		queued, queuedAt = unsent, time.Now() // Otherwise too little is left to tell the server's pace from a pause.
	}
	if end := pc.awaitSent(lastByte); end != Open {
		return pc.orCancelled(end)
	}
	if end := lastByte.Admit(expectedArrival(time.Now(), began, queuedAt, last, queued)); end != Open {
		return pc.orCancelled(end)
	}
	return pc.Send(message[last:], lastByte.Deadline())
}

// expectedArrival returns when a server is expected to have read a message of a length whose sending began at a time, and
// of which so many bytes were not sent yet at queuedAt and all are by now. What the server's kernel holds cannot be
// seen, but while that is full the server reads as fast as this kernel sends.
func expectedArrival(now, began, queuedAt time.Time, length, queued int) time.Time {
	drained := now.Sub(queuedAt) - sendQueuePollInterval // The queue may have been empty for that long.
	if queued == 0 || drained <= 0 {
		return now
	}
	arrival := began.Add(time.Duration(float64(drained) * float64(length) / float64(queued)))
	if arrival.Before(now) {
		return now
	}
	return arrival
}

// awaitSent waits until the kernel has sent what was written, or the server has responded already. At the deadline of the
// last byte it returns Open as well: Admit decides.
func (pc *PooledConn) awaitSent(lastByte LastByte) End {
	for pc.Conn.unsentBytes() > 0 {
		now, deadline := time.Now(), lastByte.Deadline()
		if !now.Before(deadline) {
			return Open
		}
		switch pc.Conn.Fill(now.Add(min(sendQueuePollInterval, deadline.Sub(now))), false) {
		case TimedOutBeforeSent:
		case Open:
			return Open
		default:
			return BrokenBeforeSent
		}
	}
	return Open
}

// HasArrived reports whether the server's kernel has acknowledged all bytes that were sent.
func (pc *PooledConn) HasArrived() bool { return pc.Conn.unacknowledgedBytes() == 0 }

// Fill reads more of the response.
func (pc *PooledConn) Fill(deadline time.Time) End {
	return pc.orCancelled(pc.Conn.Fill(deadline, true))
}

// orCancelled returns the given end, or the end for a cancelled attempt if it was cancelled: cancelling closes the
// connection, so the given end is only a consequence of that.
func (pc *PooledConn) orCancelled(end End) End {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	switch {
	case end == Open || !pc.isCancelled:
		return end
	case pc.isSent:
		return CancelledAfterSent
	}
	return CancelledBeforeSent
}

// Cancel cancels the attempt by closing its connection.
func (pc *PooledConn) Cancel() {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.cancelLocked()
}

// IsCancelled reports whether the attempt was cancelled.
func (pc *PooledConn) IsCancelled() bool {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	return pc.isCancelled
}

// CancelUnsent cancels the attempt unless the last byte of the message was handed to the kernel.
func (pc *PooledConn) CancelUnsent() {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if !pc.isSent {
		pc.cancelLocked()
	}
}

// cancelLocked ends the dial or closes the connection. The caller must hold pc.mu.
func (pc *PooledConn) cancelLocked() {
	pc.isCancelled = true
	if pc.cancelDial != nil {
		pc.cancelDial()
	}
	if pc.Conn != nil {
		pc.Conn.abort()
	}
}

// Release ends the attempt's use of the connection. isClean tells that the response was read in full or nothing was
// sent; the connection then returns to the pool, otherwise it is closed. Cancel has no effect after Release, since the
// connection may already be in use by another attempt.
func (pc *PooledConn) Release(isClean bool) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.Conn == nil {
		return
	}
	if isClean && !pc.isCancelled && len(pc.Unread()) == 0 && !pc.Conn.hasQueuedMessage() {
		pc.pool.putIdle(pc.Conn)
	} else {
		pc.Conn.abort()
		pc.Conn.releaseBuffer()
		pc.pool.release()
	}
	pc.Conn = nil
}
