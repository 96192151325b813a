package transport

import (
	"io"
	"net"
	"time"
)

const (
	// lingerTimeout and maxLingerBytes bound what is read and discarded of a client after its last reply.
	lingerTimeout  = time.Second
	maxLingerBytes = MaxMessage

	// How long a client may stay idle: from when it connected with no valid command, after one, and as a usual client.
	silentIdleTimeout       = 2 * time.Second
	firstCommandIdleTimeout = 5 * time.Second
	establishedIdleTimeout  = time.Minute
	// pressureIdleTimeout replaces firstCommandIdleTimeout where a quarter of the room is taken.
	pressureIdleTimeout = 50 * time.Millisecond

	// defaultFirstCommandTimeout is how long after a client connected its first command may take to be complete.
	defaultFirstCommandTimeout = 2700 * time.Millisecond
	// defaultCommandTimeout is how long each later command may take from its first byte.
	defaultCommandTimeout = 10 * time.Second
	// firstCommandGrace is how long a new client is not closed for room, so that it can send a first command.
	firstCommandGrace = 500 * time.Millisecond
)

// Client is a client's connection. It is busy while a reply is owed to it, else it is between commands. One goroutine
// reads it (Fill, AwaitReplies, Skip, Take); any may call BeginReply, CountValidCommand, EndReply, Age and Commands.
type Client struct {
	Conn
	listener          *Listener
	pendingReplies    int       // under listener.mu, as the fields to idleSince
	validCommands     int       // commands that made sense
	isClosing         bool      // it is to close as soon as nothing is owed to it
	isAwaitingReplies bool      // its reader is to be woken by each reply
	hasPartialCommand bool      // a part of a command has come
	idleSince         time.Time // when the last reply was done; of one without a valid command: when it connected

	connectedAt   time.Time // as it was accepted; fixed
	overfullSince time.Time // the reader's: since when more waits than the buffer holds; zero: it does not
}

// idleTimeout is how long the client may stay between commands. It guards descriptors and memory against clients that
// connect and say nothing, or send one command and stay; usual clients, which send more, keep their connections. In a
// crowd those with one command are closed sooner: clients that may only hold so many connections, and keep them idle,
// would have none left to send on. Under the lock.
func (c *Client) idleTimeout() time.Duration {
	if c.validCommands == 1 && len(c.listener.clients) > c.listener.limit/4 {
		return pressureIdleTimeout
	}
	return [...]time.Duration{silentIdleTimeout, firstCommandIdleTimeout, establishedIdleTimeout}[min(c.validCommands, 2)]
}

// evictionRank orders clients that may have to make room, lowest first: silent ones, those with one valid command,
// those that have just connected and had no time for one, usual ones. Under the lock.
func (c *Client) evictionRank() int {
	switch {
	case c.validCommands > 1:
		return 3
	case c.validCommands == 1:
		return 1
	case time.Since(c.connectedAt) < firstCommandGrace:
		return 2
	}
	return 0
}

// requestClose marks the client as closing and wakes its reader, which alone closes the connection: nothing that was
// read is dropped. Under the lock.
func (c *Client) requestClose() {
	c.isClosing = true
	c.interruptRead()
}

// interruptRead ends a read that waits, by a deadline that has passed. The deadline is long past by any clock, so that
// a step of the wall clock can't make it a future one.
func (c *Client) interruptRead() { c.SetReadDeadline(time.Unix(1, 0)) }

// commandDeadline returns by when a command, of which the first byte came at begun, must be complete; zero: none has
// begun. Usual clients may write slowly. A client that never sent a valid command is held to a time from when it
// connected, else it could hold its descriptor with a byte now and then. Under the lock.
func (c *Client) commandDeadline(begun time.Time) time.Time {
	switch {
	case begun.IsZero():
		return begun
	case c.validCommands > 0:
		return begun.Add(c.listener.CommandTimeout)
	}
	return c.connectedAt.Add(c.listener.FirstCommandTimeout)
}

// Linger ends the connection after the last reply to a client that may still be sending. It closes the sending side
// and discards what comes: with a close at once the kernel answers what the client sends by a reset, at which the
// client drops the reply unread. Called by the reading goroutine once all replies are written.
func (c *Client) Linger() {
	if half, ok := c.Conn.Conn.(*net.TCPConn); ok {
		_ = half.CloseWrite() // Fails where the client has gone: the read below ends at once.
	}
	c.listener.mu.Lock()
	if !c.isClosing {
		c.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
	c.listener.mu.Unlock()
	_, _ = io.CopyN(io.Discard, c, maxLingerBytes)
}

// Age returns how long ago the client connected.
func (c *Client) Age() time.Duration { return time.Since(c.connectedAt) }

// Commands returns how many valid commands the client has sent.
func (c *Client) Commands() int {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.validCommands
}

// BeginReply counts one more reply that is owed to the client. Each BeginReply needs one EndReply.
func (c *Client) BeginReply() {
	c.listener.mu.Lock()
	c.pendingReplies++
	c.listener.mu.Unlock()
}

// CountValidCommand counts a valid command of the client.
func (c *Client) CountValidCommand() {
	c.listener.mu.Lock()
	c.validCommands++
	c.listener.mu.Unlock()
}

// EndReply counts one reply as done. A client that is to close does so with its last one. Where no valid command has
// come, idleSince stays at the time of the connect: errors in reply to noise must not extend a client's time.
func (c *Client) EndReply() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.pendingReplies--; c.pendingReplies == 0 {
		if c.validCommands > 0 {
			c.idleSince = time.Now()
		}
		if c.isClosing || c.listener.isDraining {
			c.requestClose()
		}
		c.listener.roomChanged.Signal()
	}
	if c.isAwaitingReplies {
		c.interruptRead()
	}
}

// Fill reads once more and returns Open, or the connection's end. begun: since when a command has begun to come, zero
// if none has. ClosedIdle: the client was asked to close, no reply is owed, nothing waits to be read, and Fill has
// closed the connection. Only the reading goroutine may call it.
func (c *Client) Fill(begun time.Time) End {
	for {
		if end := c.ensureSpace(); end != Open {
			return end
		}
		c.listener.mu.Lock()
		c.hasPartialCommand = len(c.Unread()) > 0
		if c.closeIfIdle() {
			c.listener.mu.Unlock()
			return ClosedIdle
		}
		c.SetReadDeadline(c.commandDeadline(begun))
		c.listener.mu.Unlock()
		end := c.readAvailable()
		if end != TimedOutBeforeSent {
			return end
		}
		// The read may have been interrupted to close the client, which does not end the time of a command that has
		// begun; and the client may have become a usual one meanwhile, with a later deadline.
		c.listener.mu.Lock()
		deadline := c.commandDeadline(begun)
		c.listener.mu.Unlock()
		if !deadline.IsZero() && !time.Now().Before(deadline) {
			return end
		}
	}
}

// closeIfIdle closes a client that was asked to close, where nothing is owed to it and nothing waits to be read; it
// reports whether it did. A command that has begun to come may be completed within its time, except where a client
// without a valid command is in the way of others. It closes under the lock, at once: a command that arrives between
// the look and the close meets a closed connection, and is reset, rather than taken and dropped. Under the lock.
func (c *Client) closeIfIdle() bool {
	if !c.isClosing || c.pendingReplies > 0 {
		return false
	}
	if c.hasPartialCommand && (c.validCommands > 0 || c.listener.hasSpareRoom(len(c.listener.clients))) {
		return false
	}
	if hasBytes, hasEnded := c.peek(); hasBytes || hasEnded {
		return false
	}
	c.Conn.Close()
	return true
}
