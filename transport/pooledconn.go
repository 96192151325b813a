package transport

import (
	"context"
	"sync"
	"time"
)

const (
	// minHoldback and twice the time that the connection took to dial is how long SendHoldingLastByte holds the last
	// byte back: a server's close that is under way takes about a round trip to arrive.
	minHoldback = 2 * time.Millisecond
	// maxSlowDialHoldback bounds the second part: a dial may be late for other reasons than the way's length.
	maxSlowDialHoldback = 25 * time.Millisecond
)

// PooledConn is one attempt's hold on a connection to a server. Its own goroutine calls Connect, then Send, then Fill,
// and Release at the end; any other may call Cancel or CancelUnsent at any time, and once these have returned nothing
// more goes out.
type PooledConn struct {
	*Conn
	pool *Pool

	mu          sync.Mutex // guards the fields below, and Conn as Connect and Release set it
	isCancelled bool
	isSent      bool // the last byte of the message was handed over
	cancelDial  context.CancelFunc
}

// NewConn begins a hold without a connection as yet.
func (p *Pool) NewConn() *PooledConn { return &PooledConn{pool: p} }

// Connect takes an idle connection to the peer, or dials one until the deadline. It returns Open, or why there is none:
// LocalShortage, ConnectRefused, ConnectTimedOut, CancelledBeforeSent.
func (l *PooledConn) Connect(to Peer, deadline time.Time) End {
	c := l.pool.takeIdle(to)
	if c == nil {
		var end End
		if c, end = l.dial(to, deadline); end != Open {
			return end
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Conn, l.cancelDial = c, nil
	if l.isCancelled {
		return CancelledBeforeSent
	}
	return Open
}

// dial opens a new connection, which counts as the pool's from before the dial until Release.
func (l *PooledConn) dial(to Peer, deadline time.Time) (*Conn, End) {
	if !l.pool.reserve() {
		return nil, LocalShortage
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	l.mu.Lock()
	l.cancelDial = cancel
	isCancelled := l.isCancelled
	l.mu.Unlock()
	if isCancelled {
		cancel()
	}
	began := time.Now()
	inner, err := l.pool.dialer.DialContext(ctx, "tcp", to.Address)
	if err == nil {
		return &Conn{Conn: inner, peer: to, dialDuration: time.Since(began)}, Open
	}
	l.pool.release()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isCancelled {
		return nil, CancelledBeforeSent
	}
	return nil, endOfDialError(err)
}

// SendPart writes a part of the message, to which more belongs.
func (l *PooledConn) SendPart(part []byte, deadline time.Time) End {
	return l.orCancelled(l.Conn.Send(part, deadline))
}

// Send writes the message, or what is left of it. It returns Open once its last byte was handed over.
func (l *PooledConn) Send(message []byte, deadline time.Time) End {
	end := l.Conn.Send(message, deadline)
	l.mu.Lock()
	l.isSent = end == Open
	l.mu.Unlock()
	return l.orCancelled(end)
}

// SendHoldingLastByte is Send for a request that may run once only. It holds the last byte back until there was time to
// learn that the server has closed the connection: a server begins nothing before that byte, so that what breaks until
// then has not run and may be sent elsewhere. isUnwanted is asked right before the last byte; true withdraws.
func (l *PooledConn) SendHoldingLastByte(message []byte, deadline time.Time, isUnwanted func() bool) End {
	last := len(message) - 1
	if end := l.Conn.Send(message[:last], deadline); end != Open {
		return l.orCancelled(end)
	}
	holdback := l.pool.holdback + min(maxSlowDialHoldback, 2*l.Conn.dialDuration)
	switch l.Conn.Fill(time.Now().Add(holdback), false) {
	case TimedOutBeforeSent: // Nothing came, as it should be.
		if isUnwanted() {
			return l.orCancelled(CancelledBeforeSent)
		}
		return l.Send(message[last:], deadline)
	case Open: // A response before its request.
		return l.orCancelled(Malformed)
	default:
		return l.orCancelled(BrokenBeforeSent)
	}
}

// Fill reads more of the response.
func (l *PooledConn) Fill(deadline time.Time) End { return l.orCancelled(l.Conn.Fill(deadline, true)) }

// orCancelled returns the end, or, where the attempt was cancelled, what that means: cancelling closes the connection,
// so that the end seen is only its effect.
func (l *PooledConn) orCancelled(end End) End {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case end == Open || !l.isCancelled:
		return end
	case l.isSent:
		return CancelledAfterSent
	}
	return CancelledBeforeSent
}

// Cancel cancels the attempt by closing its connection.
func (l *PooledConn) Cancel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelLocked()
}

// CancelUnsent cancels the attempt unless the message was handed over.
func (l *PooledConn) CancelUnsent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isSent {
		l.cancelLocked()
	}
}

// cancelLocked ends the dial or closes the connection. Under the lock.
func (l *PooledConn) cancelLocked() {
	l.isCancelled = true
	if l.cancelDial != nil {
		l.cancelDial()
	}
	if l.Conn != nil {
		l.Conn.Close()
	}
}

// Release ends the hold. isClean: the response was read in full, or nothing was sent; the connection then goes back to
// the pool, any other is closed. After it Cancel does nothing, since the connection may be another attempt's.
func (l *PooledConn) Release(isClean bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Conn == nil {
		return
	}
	if isClean && !l.isCancelled && len(l.Unread()) == 0 {
		l.pool.putIdle(l.Conn)
	} else {
		l.Conn.Close()
		l.pool.release()
	}
	l.Conn = nil
}
