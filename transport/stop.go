package transport

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// The functions that stop a listener, in the order of a graceful shutdown: DrainConnections, StopAccepting, Close, and
// ResetAll for the clients that are left.

const (
	// drainAcceptTimeout bounds each accept of a connection from the accept backlog during a stop.
	drainAcceptTimeout = 10 * time.Millisecond
	// closeInterval is how often Close marks newly accepted clients as closing and checks its deadline.
	closeInterval = 20 * time.Millisecond
	// resetPolls is the number of times that ResetAll checks, within its wait, whether all clients are closed.
	resetPolls = 50
)

// DrainConnections makes each client close after its next reply: right after a reply the client is least likely to be
// sending.
func (l *Listener) DrainConnections() {
	l.mu.Lock()
	l.isDraining = true
	l.mu.Unlock()
}

// StopAccepting stops accepting clients; those connected stay. Connections that are already in the accept backlog are
// still accepted as the client limit allows: what those clients have written counts as received, and closing the socket
// would reset them. A shared socket stays open in other processes, so its connections wait for the next process.
func (l *Listener) StopAccepting() {
	if !l.isShared {
		l.listener.(*net.TCPListener).SetDeadline(time.Now())
		return
	}
	l.readiness.Close()
	l.listener.Close()
	l.mu.Lock()
	l.isClosed = true
	l.capacityChanged.Signal()
	l.mu.Unlock()
}

// acceptRemaining tells the accept loop after StopAccepting whether to continue: it returns true while connections are
// left in the accept backlog; once none is, it closes the socket and returns false.
func (l *Listener) acceptRemaining() bool {
	if !l.hasPendingConnections() {
		l.listener.Close()
		return false
	}
	l.listener.(*net.TCPListener).SetDeadline(time.Now().Add(drainAcceptTimeout))
	return true
}

// hasPendingConnections reports whether the accept backlog holds connections.
func (l *Listener) hasPendingConnections() (isPending bool) {
	if raw := rawConn(l.listener); raw != nil {
		_ = raw.Control(func(fd uintptr) { isPending = hasEvent(fd, unix.POLLIN) })
	}
	return isPending
}

// Close stops accepting, closes each client once it is between commands, and waits until all are closed (true) or the
// deadline has passed (false). In the latter case clients may still be connected; ResetAll closes those.
func (l *Listener) Close(deadline time.Time) bool {
	l.StopAccepting()
	finished := make(chan struct{})
	go func() { l.serving.Wait(); close(finished) }()
	for {
		l.closeClients()
		select {
		case <-finished:
			return true
		case <-time.After(closeInterval):
			if time.Now().After(deadline) {
				l.abortServe()
				return false
			}
		}
	}
}

// closeClients marks all clients as closing.
func (l *Listener) closeClients() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.clients {
		if !c.isClosing {
			c.requestClose()
		}
	}
}

// abortServe ends Serve even if an accepted connection waits for the client limit or the accept backlog holds some.
func (l *Listener) abortServe() {
	l.mu.Lock()
	l.isClosed = true
	l.capacityChanged.Broadcast()
	l.mu.Unlock()
	l.listener.Close()
}

// ResetAll resets the connections of all clients that are left, so that none takes a partial reply for a complete one,
// and waits up to wait for their goroutines to end. It returns the number of connections that it reset.
func (l *Listener) ResetAll(wait time.Duration) (count int) {
	l.mu.Lock()
	for c := range l.clients {
		if inner, ok := c.stream.Conn.(*net.TCPConn); ok {
			inner.SetLinger(0)
		}
		c.Conn.Close()
		count++
	}
	l.mu.Unlock()
	for end := time.Now().Add(wait); l.Count() > 0 && time.Now().Before(end); {
		time.Sleep(wait / resetPolls)
	}
	return count
}
