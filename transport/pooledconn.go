package transport

import (
	"context"
	"sync"
	"time"
)

const (
	// minHoldback and twice the time that the connection took to dial is how long HandCarefully holds the last byte
	// back: a server's close that is under way takes about a round trip to arrive.
	minHoldback = 2 * time.Millisecond
	// maxSlowDialHoldback bounds the second part: a dial may be late for other reasons than the way's length.
	maxSlowDialHoldback = 25 * time.Millisecond
)

// Line is one attempt's hold on a connection to a server. Its own goroutine calls Connect, then Hand, then Fill, and
// Done at the end; any other may call Cut or Withdraw at any time, and once these have returned nothing more goes out.
type Line struct {
	*Conn
	pool *Pool

	mu          sync.Mutex // guards the fields below, and Conn as Connect and Done set it
	isCancelled bool
	isSent      bool // the last byte of the message was handed over
	cancelDial  context.CancelFunc
}

// Line begins a hold without a connection as yet.
func (p *Pool) Line() *Line { return &Line{pool: p} }

// Connect takes an idle connection to the peer, or dials one until the deadline. It returns Open, or why there is none:
// NoRoom, Refused, NeverUp, Withdrawn.
func (l *Line) Connect(to Peer, deadline time.Time) End {
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
		return Withdrawn
	}
	return Open
}

// dial opens a new connection, which counts as the pool's from before the dial until Done.
func (l *Line) dial(to Peer, deadline time.Time) (*Conn, End) {
	if !l.pool.reserve() {
		return nil, NoRoom
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
		return nil, Withdrawn
	}
	return nil, endOfDialError(err)
}

// Begin writes a part of the message, to which more belongs.
func (l *Line) Begin(part []byte, deadline time.Time) End {
	return l.orCancelled(l.Conn.Hand(part, deadline))
}

// Hand writes the message, or what is left of it. It returns Open once its last byte was handed over.
func (l *Line) Hand(message []byte, deadline time.Time) End {
	end := l.Conn.Hand(message, deadline)
	l.mu.Lock()
	l.isSent = end == Open
	l.mu.Unlock()
	return l.orCancelled(end)
}

// HandCarefully is Hand for a request that may run once only. It holds the last byte back until there was time to
// learn that the server has closed the connection: a server begins nothing before that byte, so that what breaks until
// then has not run and may be sent elsewhere. isUnwanted is asked right before the last byte; true withdraws.
func (l *Line) HandCarefully(message []byte, deadline time.Time, isUnwanted func() bool) End {
	last := len(message) - 1
	if end := l.Conn.Hand(message[:last], deadline); end != Open {
		return l.orCancelled(end)
	}
	holdback := l.pool.holdback + min(maxSlowDialHoldback, 2*l.Conn.dialDuration)
	switch l.Conn.Fill(time.Now().Add(holdback), false) {
	case Stuck: // Nothing came, as it should be.
		if isUnwanted() {
			return l.orCancelled(Withdrawn)
		}
		return l.Hand(message[last:], deadline)
	case Open: // A response before its request.
		return l.orCancelled(Garbled)
	default:
		return l.orCancelled(CutShort)
	}
}

// Fill reads more of the response.
func (l *Line) Fill(deadline time.Time) End { return l.orCancelled(l.Conn.Fill(deadline, true)) }

// orCancelled returns the end, or, where the attempt was cancelled, what that means: cancelling closes the connection,
// so that the end seen is only its effect.
func (l *Line) orCancelled(end End) End {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case end == Open || !l.isCancelled:
		return end
	case l.isSent:
		return CalledOff
	}
	return Withdrawn
}

// Cut cancels the attempt by closing its connection.
func (l *Line) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancel()
}

// Withdraw cancels the attempt unless the message was handed over.
func (l *Line) Withdraw() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isSent {
		l.cancel()
	}
}

// cancel ends the dial or closes the connection. Under the lock.
func (l *Line) cancel() {
	l.isCancelled = true
	if l.cancelDial != nil {
		l.cancelDial()
	}
	if l.Conn != nil {
		l.Conn.Close()
	}
}

// Done ends the hold. isClean: the response was read in full, or nothing was sent; the connection then goes back to the
// pool, any other is closed. After it Cut does nothing, since the connection may be another attempt's.
func (l *Line) Done(isClean bool) {
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
