package admin

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// maxConnections bounds the descriptors of the endpoint (package server reserves as many).
	maxConnections = 12
	// requestGrace is the time that a client has to send a complete request while others wait for a connection.
	requestGrace = 100 * time.Millisecond
	// fullPollInterval is how often a full listener looks for a connection to close.
	fullPollInterval = requestGrace / 10
)

// boundedListener accepts at most maxConnections at a time. Guards operators against clients that hold connections and
// send nothing: health checks would time out behind them. Where it is full, the oldest connection without a complete
// request is closed after requestGrace.
type boundedListener struct {
	net.Listener

	mu          sync.Mutex
	connections []*connection // guarded by mu; the oldest first
}

// connection is one that a boundedListener accepted.
type connection struct {
	net.Conn
	listener          *boundedListener
	acceptedAt        time.Time
	isRequestComplete bool // guarded by the listener's mu
}

// Accept waits for the next connection, and for room. It is called by one goroutine.
func (l *boundedListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for !l.makeRoom() {
		time.Sleep(fullPollInterval) // Guards a request that is just being read against the clients that came with it.
	}
	c := &connection{Conn: inner, listener: l, acceptedAt: time.Now()}
	l.mu.Lock()
	l.connections = append(l.connections, c)
	l.mu.Unlock()
	return c, nil
}

// makeRoom tells whether there is room for a connection. If there is none it closes the oldest one that has had its
// time for a request.
func (l *boundedListener) makeRoom() bool {
	l.mu.Lock()
	isFull := len(l.connections) >= maxConnections
	var oldest *connection
	if isFull {
		oldest = l.oldestWithoutRequest()
	}
	l.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
	}
	return !isFull || oldest != nil
}

// oldestWithoutRequest is the oldest connection that sent no complete request in requestGrace; nil: there is none. The
// caller holds mu.
func (l *boundedListener) oldestWithoutRequest() *connection {
	for _, c := range l.connections {
		if !c.isRequestComplete && time.Since(c.acceptedAt) > requestGrace {
			return c
		}
	}
	return nil
}

// Close ends the connection and makes room for another. It may be called more than once.
func (c *connection) Close() error {
	l := c.listener
	l.mu.Lock()
	if n := slices.Index(l.connections, c); n >= 0 {
		l.connections = slices.Delete(l.connections, n, n+1)
	}
	l.mu.Unlock()
	return c.Conn.Close()
}

type contextKey int

const connectionKey contextKey = 0

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey, c)
}

// markRequestComplete notes that the request's connection has sent all of it: it is not closed to make room any more.
func markRequestComplete(r *http.Request) {
	c, isBounded := r.Context().Value(connectionKey).(*connection)
	if !isBounded {
		return // A test's request.
	}
	c.listener.mu.Lock()
	c.isRequestComplete = true
	c.listener.mu.Unlock()
}
