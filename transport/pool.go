package transport

import (
	"context"
	"net"
	"sync"
	"time"
)

// Pool keeps idle connections to servers, by address, and counts all that are open. One trip at a time is on
// a connection, so that calling it off hurts no other. The pool sends nothing by itself.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*Conn // the newest last
	open   int
	most   int
	keep   time.Duration
	dialer net.Dialer
}

// NewPool makes a pool of at most so many connections, idle ones kept so long.
func NewPool(most int, keep, dialFor time.Duration) *Pool {
	return &Pool{idle: map[string][]*Conn{}, most: most, keep: keep,
		dialer: net.Dialer{Timeout: dialFor, KeepAlive: -1}}
}

// A Line is one trip's hold on a connection, so that it can be called off from elsewhere: once Cut has
// returned, nothing more goes out on it.
type Line struct {
	*Conn
	pool   *Pool
	mu     sync.Mutex
	cut    bool
	handed bool
	stop   context.CancelFunc
}

// Line begins a hold; Connect, Hand and Fill follow, and Done ends it.
func (p *Pool) Line() *Line { return &Line{pool: p} }

// Connect takes the newest idle connection that still stands, or dials.
func (l *Line) Connect(address string, until time.Time) End {
	c := l.pool.take(address)
	if c == nil {
		if !l.pool.reserve() {
			return NoRoom
		}
		ctx, stop := context.WithDeadline(context.Background(), until)
		defer stop()
		l.mu.Lock()
		l.stop = stop
		cut := l.cut
		l.mu.Unlock()
		if cut {
			stop()
		}
		inner, err := l.pool.dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			l.pool.release()
			l.mu.Lock()
			defer l.mu.Unlock()
			if l.cut {
				return Withdrawn
			}
			return dialEnd(err)
		}
		c = &Conn{Conn: inner, address: address}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Conn, l.stop = c, nil
	if l.cut {
		return Withdrawn
	}
	return Open
}

// Hand gives the message to the connection.
func (l *Line) Hand(message []byte, until time.Time) End {
	end := l.Conn.Hand(message, until)
	l.mu.Lock()
	l.handed = end == Open
	l.mu.Unlock()
	return l.unlessCut(end)
}

// Fill reads more of the answer.
func (l *Line) Fill(until time.Time) End { return l.unlessCut(l.Conn.Fill(until, true)) }

func (l *Line) unlessCut(end End) End {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case end == Open || !l.cut:
		return end
	case l.handed:
		return CalledOff
	}
	return Withdrawn
}

// Cut calls the trip off by closing the connection.
func (l *Line) Cut() { l.close(true) }

// Withdraw calls the trip off unless it has been handed over.
func (l *Line) Withdraw() { l.close(false) }

func (l *Line) close(handed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.handed && !handed {
		return
	}
	l.cut = true
	if l.stop != nil {
		l.stop()
	}
	if l.Conn != nil {
		l.Conn.Close()
	}
}

// Done ends the hold: a connection that is clean goes back to the pool, any other is closed.
func (l *Line) Done(clean bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Conn == nil {
		return
	}
	if clean && !l.cut && len(l.Unread()) == 0 {
		l.pool.put(l.Conn)
	} else {
		l.Conn.Close()
		l.pool.release()
	}
	l.Conn = nil // It may be another trip's from now on.
}

// take guards against a host that closed an idle connection: a write to it would end as a reset, after which
// a one-shot may not be sent again.
func (p *Pool) take(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for list := p.idle[address]; len(list) > 0; list = p.idle[address] {
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		if waits, ended := c.pending(); !waits && !ended && time.Since(c.idleAt) < p.keep {
			return c
		}
		c.Close()
		p.open--
	}
	return nil
}

func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleAt = time.Now()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// reserve makes room for one more connection, at the cost of the one that has been idle longest.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.most {
		oldest := ""
		for address, list := range p.idle {
			if len(list) > 0 && (oldest == "" || list[0].idleAt.Before(p.idle[oldest][0].idleAt)) {
				oldest = address
			}
		}
		if oldest == "" {
			return false
		}
		p.idle[oldest][0].Close()
		p.idle[oldest] = p.idle[oldest][1:]
		p.open--
	}
	p.open++
	return true
}

func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// Sweep closes what has been idle too long, well before the host does.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		n := 0
		for n < len(list) && time.Since(list[n].idleAt) >= p.keep {
			list[n].Close()
			p.open--
			n++
		}
		if p.idle[address] = list[n:]; n == len(list) {
			delete(p.idle, address)
		}
	}
}

// Count tells how many connections are open.
func (p *Pool) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
