package transport

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// The stop of a listener, in the order of a graceful shutdown: DrainConnections, StopAccepting, Close, and ResetAll for
// what is left.

const (
	// drainAcceptTimeout is how long a stop waits for each accept of a connection that the kernel has taken.
	drainAcceptTimeout = 10 * time.Millisecond
	// closeInterval is how often Close asks clients to close that were accepted meanwhile, and looks at its deadline.
	closeInterval = 20 * time.Millisecond
	// resetPolls is how often ResetAll looks, within its wait, whether all clients have gone.
	resetPolls = 50
)

// DrainConnections lets each client close with its next reply: right after that the client is least likely to be
// sending.
func (l *Listener) DrainConnections() {
	l.mu.Lock()
	l.isDraining = true
	l.mu.Unlock()
}

// StopAccepting stops accepting; clients that are connected stay. Connections that the kernel has taken by then are
// still accepted, as there is room: what those clients have written counts as received, and closing the socket would
// reset them. A shared socket stays open elsewhere, so that its connections wait for the next process.
func (l *Listener) StopAccepting() {
	if !l.isShared {
		l.listener.(*net.TCPListener).SetDeadline(time.Now())
		return
	}
	l.readiness.Close()
	l.listener.Close()
	l.mu.Lock()
	l.isClosed = true
	l.roomChanged.Signal()
	l.mu.Unlock()
}

// acceptRemaining goes on accepting, after StopAccepting, while connections wait in the kernel; once none does it
// closes the socket and returns false.
func (l *Listener) acceptRemaining() bool {
	if !l.hasPendingConnections() {
		l.listener.Close()
		return false
	}
	l.listener.(*net.TCPListener).SetDeadline(time.Now().Add(drainAcceptTimeout))
	return true
}

// hasPendingConnections reports whether connections wait to be accepted.
func (l *Listener) hasPendingConnections() (some bool) {
	if raw := rawConn(l.listener); raw != nil {
		_ = raw.Control(func(fd uintptr) { some = hasEvent(fd, unix.POLLIN) })
	}
	return some
}

// Close stops accepting, closes clients that are or come between commands, and waits until all have gone (true) or the
// deadline has passed (false). After false clients may still be connected: ResetAll ends those.
func (l *Listener) Close(deadline time.Time) bool {
	l.StopAccepting()
	gone := make(chan struct{})
	go func() { l.serving.Wait(); close(gone) }()
	for {
		l.closeClients()
		select {
		case <-gone:
			return true
		case <-time.After(closeInterval):
			if time.Now().After(deadline) {
				l.abortServe()
				return false
			}
		}
	}
}

// closeClients asks all clients to close.
func (l *Listener) closeClients() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.clients {
		if !c.isClosing {
			c.requestClose()
		}
	}
}

// abortServe ends Serve although a connection waits for room or in the kernel.
func (l *Listener) abortServe() {
	l.mu.Lock()
	l.isClosed = true
	l.roomChanged.Broadcast()
	l.mu.Unlock()
	l.listener.Close()
}

// ResetAll resets the connections of all clients that are left, so that none takes a part of a reply for a complete
// one, and waits a moment for their goroutines to end. It returns how many there were.
func (l *Listener) ResetAll(wait time.Duration) (cut int) {
	l.mu.Lock()
	for c := range l.clients {
		if inner, is := c.Conn.Conn.(*net.TCPConn); is {
			inner.SetLinger(0)
		}
		c.Conn.Close()
		cut++
	}
	l.mu.Unlock()
	for end := time.Now().Add(wait); l.Count() > 0 && time.Now().Before(end); {
		time.Sleep(wait / resetPolls)
	}
	return cut
}
