package transport

import (
	"net"
	"slices"
	"sort"
	"sync"
	"time"
)

const (
	// minReuseIdle is how long a connection must have been idle before it is used again. It guards the next attempt against
	// what a faulty server sends right behind a response: a second copy would be taken for the next request's response.
	minReuseIdle = 20 * time.Millisecond

	// handoverIdleTimeout is how long connections stay idle while another process takes over, which has its own: the
	// server counts both processes' together.
	handoverIdleTimeout = 100 * time.Millisecond

	// briefIdleTimeout is how long connections to a server that other instances look after stay idle: a key that is
	// asked for again at once finds one.
	briefIdleTimeout = 500 * time.Millisecond
)

// Peer is a server at an address. The address alone is not enough: a new server may have an old one's address, and
// connections to the old one stay silent or end there.
type Peer struct {
	Server  int // its index in the endpoint list
	Address string
}

// Pool keeps idle connections by server and address, and counts all that are open. A connection carries one attempt at
// a time, so that cancelling an attempt, which closes its connection, harms no other. The pool sends nothing by itself.
type Pool struct {
	dialer       net.Dialer
	minReuseIdle time.Duration // as the constant; tests set it
	holdback     time.Duration // minHoldback; tests set it

	mu           sync.Mutex       // guards the fields below
	idle         map[Peer][]*Conn // the one that became idle last stands last
	open         int              // connections open or being dialed
	limit        int              // of open
	idleTimeout  time.Duration
	briefServers map[int]bool // servers to which connections stay idle for briefIdleTimeout at most
}

// NewPool returns a pool of up to limit connections that closes idle ones after idleTimeout.
func NewPool(limit int, idleTimeout, dialTimeout time.Duration) *Pool {
	return &Pool{idle: map[Peer][]*Conn{}, limit: limit, idleTimeout: idleTimeout, minReuseIdle: minReuseIdle, holdback: minHoldback,
		dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1}}
}

// takeIdle returns the newest idle connection to a peer that has rested, nil if there is none. It closes those that the
// server has ended or written to: a write to a closed one would end as a reset, after which nobody can tell whether the
// request ran, and one that is not idempotent could not be sent again.
func (p *Pool) takeIdle(to Peer) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, now := p.idle[to], time.Now() // One reading of the clock for all.
	rested := sort.Search(len(list), func(n int) bool { return now.Sub(list[n].idleAt) < p.minReuseIdle })
	for n := rested - 1; n >= 0; n-- {
		c, idle := list[n], now.Sub(list[n].idleAt)
		list = slices.Delete(list, n, n+1)
		p.idle[to] = list
		if hasBytes, hasEnded := c.peek(); !hasBytes && !hasEnded && idle < p.idleTimeout {
			return c
		}
		c.Close()
		p.open--
	}
	return nil
}

// putIdle takes a connection back, or closes it where fewer are allowed since it was taken.
func (p *Pool) putIdle(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open > p.limit {
		c.Close()
		p.open--
		return
	}
	c.idleAt = time.Now()
	p.idle[c.peer] = append(p.idle[c.peer], c)
}

// reserve makes room for one more connection, if need be by closing the one that has been idle longest.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.limit && !p.closeOldestIdle() {
		return false
	}
	p.open++
	return true
}

// release gives back the room of a connection that is closed.
func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// closeOldestIdle closes the connection that has been idle longest; false: none is idle. Under the lock.
func (p *Pool) closeOldestIdle() bool {
	var oldest *Conn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleAt.Before(oldest.idleAt)) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.Close()
	p.idle[oldest.peer] = slices.Delete(p.idle[oldest.peer], 0, 1)
	p.open--
	return true
}

// SetLimit sets how many connections there may be from now on. Over that, idle ones are closed.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	for p.open > p.limit && p.closeOldestIdle() {
	}
}

// DropPeer closes the idle connections to a server that is gone, or has another address.
func (p *Pool) DropPeer(to Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[to] {
		c.Close()
		p.open--
	}
	delete(p.idle, to)
}

// Sweep closes connections that have been idle too long. The timeout is below the servers' own, so that they close
// none that is about to be used.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for peer, list := range p.idle {
		timeout := p.idleTimeout
		if p.briefServers[peer.Server] {
			timeout = min(timeout, briefIdleTimeout)
		}
		n := 0
		for n < len(list) && time.Since(list[n].idleAt) >= timeout {
			list[n].Close()
			p.open--
			n++
		}
		if p.idle[peer] = slices.Delete(list, 0, n); n == len(list) {
			delete(p.idle, peer)
		}
	}
}

// SetBriefServers sets the servers that other instances look after: connections to these stay idle for a moment only.
func (p *Pool) SetBriefServers(servers map[int]bool) {
	p.mu.Lock()
	p.briefServers = servers
	p.mu.Unlock()
}

// CloseIdle closes idle connections, from now on after a moment, because another process takes over.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	p.idleTimeout = min(p.idleTimeout, handoverIdleTimeout)
	p.mu.Unlock()
	p.Sweep()
}

// Count returns how many connections are open or being dialed.
func (p *Pool) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
