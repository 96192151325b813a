package transport

import (
	"net"
	"slices"
	"sort"
	"sync"
	"time"
)

const (
	// minReuseIdle is how long a connection must have been idle before it is reused. A faulty server may send a second
	// copy right after a response; on a connection reused at once it would be taken for the response to the next
	// request.
	minReuseIdle = 20 * time.Millisecond

	// handoverIdleTimeout is the idle timeout while another process takes over. That process opens connections of its
	// own, and servers count the connections of both together.
	handoverIdleTimeout = 100 * time.Millisecond

	// briefIdleTimeout is the idle timeout of connections to servers that are assigned to other balancers. It is long
	// enough for an immediate second request for the same key to find one.
	briefIdleTimeout = 500 * time.Millisecond

	memoryPerPooledConn = 4 << 10 // bytes that an open connection takes, with a first buffer
)

// Peer identifies the process of a server. The address alone is not enough: a new process may take over the address of an
// old one, and connections to the old one then stay silent or end.
type Peer struct {
	Server      int // its index in the endpoint list
	Address     string
	Incarnation int64 // of the process: when it started, as listed
}

// Pool keeps idle connections by server and address, and limits how many are open. A connection carries one attempt at
// a time, so that cancelling an attempt, which closes its connection, affects no other. The pool itself sends nothing.
//
// Memory and Budget must be set before the first connection is opened.
type Pool struct {
	Memory       *MemoryAccount // for open connections; if nil, unlimited
	Budget       *Budget        // for large values of servers; if nil, none can be buffered
	dialer       net.Dialer
	minReuseIdle time.Duration // the constant minReuseIdle, except in tests
	holdback     time.Duration // minHoldback, except in tests

	mu           sync.Mutex       // guards the fields below
	idle         map[Peer][]*Conn // in the order in which they became idle
	open         int              // connections open or being dialed
	limit        int              // upper bound of open
	idleTimeout  time.Duration
	briefServers map[int]bool // servers for which briefIdleTimeout applies
}

// NewPool returns a pool of up to limit connections, which closes idle ones after idleTimeout.
func NewPool(limit int, idleTimeout, dialTimeout time.Duration) *Pool {
	return &Pool{idle: map[Peer][]*Conn{}, limit: limit, idleTimeout: idleTimeout, minReuseIdle: minReuseIdle, holdback: minHoldback,
		dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1}}
}

// takeIdle returns the connection to a peer that became idle last among those idle for minReuseIdle, or nil if there is
// none. It closes connections that the server has closed or written to: a request on a closed one would end in a reset,
// after which it is unknown whether the request ran, and one that is not idempotent could not be sent again.
func (p *Pool) takeIdle(peer Peer) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, now := p.idle[peer], time.Now() // Read once, so that all comparisons use the same time.
	eligible := sort.Search(len(list), func(n int) bool { return now.Sub(list[n].idleAt) < p.minReuseIdle })
	for n := eligible - 1; n >= 0; n-- {
		c, idle := list[n], now.Sub(list[n].idleAt)
		list = slices.Delete(list, n, n+1)
		p.idle[peer] = list
		if hasBytes, hasEnded := c.peek(); !hasBytes && !hasEnded && idle < p.idleTimeout {
			return c
		}
		p.closeConn(c)
	}
	return nil
}

// putIdle makes a connection idle, or closes it if the limit has been lowered below the number of open ones.
func (p *Pool) putIdle(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open > p.limit {
		p.closeConn(c)
		return
	}
	if len(c.buffer) > initialBuffer {
		c.releaseBuffer()
	}
	c.idleAt, c.sentBytes = time.Now(), 0
	p.idle[c.peer] = append(p.idle[c.peer], c)
}

// reserve counts one more connection, if necessary by closing the one that has been idle longest. It returns false if
// the limit is reached and no connection is idle.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.limit && !p.closeOldestIdle() {
		return false
	}
	p.open++
	p.Memory.Add(memoryPerPooledConn)
	return true
}

// release stops counting a connection that was reserved and is closed or was never opened.
func (p *Pool) release() {
	p.mu.Lock()
	p.countClosed()
	p.mu.Unlock()
}

// closeConn closes an idle connection. The caller must hold p.mu.
func (p *Pool) closeConn(c *Conn) {
	c.Close()
	p.countClosed()
}

// countClosed stops counting a connection. The caller must hold p.mu.
func (p *Pool) countClosed() {
	p.open--
	p.Memory.Release(memoryPerPooledConn)
}

// closeOldestIdle closes the connection that has been idle longest, and returns false if none is idle. The caller must
// hold p.mu.
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
	p.idle[oldest.peer] = slices.Delete(p.idle[oldest.peer], 0, 1)
	p.closeConn(oldest)
	return true
}

// SetLimit sets the limit of connections. Idle ones are closed while more are open.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	for p.open > p.limit && p.closeOldestIdle() {
	}
}

// DropPeer closes the idle connections to a server that was removed or has a new address.
func (p *Pool) DropPeer(to Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[to] {
		p.closeConn(c)
	}
	delete(p.idle, to)
}

// Sweep closes connections that have been idle for too long. The timeout is shorter than that of the servers, so that
// they don't close a connection that is about to be used.
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
			p.closeConn(list[n])
			n++
		}
		if p.idle[peer] = slices.Delete(list, 0, n); n == len(list) {
			delete(p.idle, peer)
		}
	}
}

// SetBriefServers sets the servers that are assigned to other balancers: briefIdleTimeout applies to connections to
// them.
func (p *Pool) SetBriefServers(servers map[int]bool) {
	p.mu.Lock()
	p.briefServers = servers
	p.mu.Unlock()
}

// CloseIdle closes idle connections, and lowers the idle timeout to handoverIdleTimeout from now on, because another
// process takes over.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	p.idleTimeout = min(p.idleTimeout, handoverIdleTimeout)
	p.mu.Unlock()
	p.Sweep()
}

// Count returns the number of connections that are open or being dialed.
func (p *Pool) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
