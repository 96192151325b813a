package transport

import (
	"io"
	"net"
	"time"
)

const (
	// lingerTimeout and maxLingerBytes bound how long and how much is read and discarded after a client's last reply.
	lingerTimeout  = time.Second
	maxLingerBytes = MaxMessage

	// Idle timeouts: of a client without a valid command, counted from its connect; of a client with one valid command;
	// and of an established client, which has sent more than one.
	silentIdleTimeout       = 2 * time.Second
	firstCommandIdleTimeout = 5 * time.Second
	establishedIdleTimeout  = time.Minute
	// pressureIdleTimeout replaces firstCommandIdleTimeout while more than a quarter of the client limit is in use.
	pressureIdleTimeout = 50 * time.Millisecond

	// defaultFirstCommandTimeout is the time from a client's connect within which its first command must be complete.
	defaultFirstCommandTimeout = 2700 * time.Millisecond
	// defaultCommandTimeout is the time from the first byte of each later command within which it must be complete.
	defaultCommandTimeout = 10 * time.Second
	// defaultStallTimeout is how long a client may send nothing in the middle of a later command. Slow clients may pause
	// for two seconds; one that has stopped must be gone within three.
	defaultStallTimeout = 2700 * time.Millisecond
	// memoryWaitTimeout bounds how long a client waits for the memory that the rest of its command needs, and
	// memoryRetryInterval is how often that is tried.
	memoryWaitTimeout   = 250 * time.Millisecond
	memoryRetryInterval = 5 * time.Millisecond

	// memoryPerClient is what a connected client takes, in bytes: the stacks of its two goroutines, its first buffer, and
	// the replies that are queued for it.
	memoryPerClient = 16 << 10

	// fullReserveReplies is the number of owed replies from which on a client leaves the largest part of the memory to
	// others (KeepFree).
	fullReserveReplies = 64

	// firstCommandGrace is how long a new client is protected from eviction, so that it can send a first command.
	firstCommandGrace = 500 * time.Millisecond
)

// Client is a client's connection. It is busy while a reply is owed to it, and between commands otherwise. A single
// goroutine reads it with Fill, AwaitReplies, Skip and Take; BeginReply, CountValidCommand, EndReply, Age and Commands
// are safe for concurrent use.
type Client struct {
	Conn
	stream            *clientStream // the connection in Conn
	listener          *Listener
	pendingReplies    int       // replies owed; listener.mu guards this and the fields up to idleSince
	repliesEnded      int       // replies that are done
	validCommands     int       // valid commands received
	isClosing         bool      // to be closed once no reply is owed
	isAwaitingReplies bool      // the reader must be woken by each reply
	hasPartialCommand bool      // part of a command has been read
	partial           transfer  // of that command
	sending           transfer  // of the reply that is being written; zero if none is
	isLingering       bool      // it has had its last reply
	idleSince         time.Time // when the last reply was done; before the first valid command, when it connected

	connectedAt time.Time // when it was accepted; immutable
	hiddenEnd   hiddenEnd

	sendWork      workAccount // of the replies; used by the goroutine that writes them only
	work          workAccount // used by the reader only
	overfullSince time.Time   // start of more being pending than the buffer holds, else zero; used by the reader only
	shortSince    time.Time   // start of a wait for memory, else zero; used by the reader only
}

// KeepFree returns how many bytes of memory are to stay free when this many replies are owed to a client and more is to
// be held for it: from none to half of the limit, so that clients that send much at once do not hold up the others.
func KeepFree(memory *MemoryAccount, pendingReplies int) int64 {
	return memory.Limit() / 2 * int64(min(pendingReplies, fullReserveReplies)) / fullReserveReplies
}

// bufferKeepFree returns how many bytes of memory are to stay free when a client's buffer grows. The caller must hold
// listener.mu.
func (c *Client) bufferKeepFree() int64 {
	return bufferReserve(c.memory) + KeepFree(c.memory, c.pendingReplies)/2
}

// idleTimeout returns how long the client may stay between commands. The short timeouts protect descriptors and memory
// from clients that connect and send nothing, or send one command and stay connected; established clients keep their
// connections for longer. While many clients are connected, those with one command are closed sooner: clients that
// may hold only a limited number of connections, and keep these idle, would otherwise have none left to send on. The
// caller must hold listener.mu.
func (c *Client) idleTimeout() time.Duration {
	if c.validCommands == 1 && len(c.listener.clients) > c.listener.limit/4 {
		return pressureIdleTimeout
	}
	return [...]time.Duration{silentIdleTimeout, firstCommandIdleTimeout, establishedIdleTimeout}[min(c.validCommands, 2)]
}

// evictionRank orders clients for eviction, lowest first: those that have had their last reply, take too long for a
// command or a reply, or have sent no valid command; those with one; those that have only just connected and had no time
// to send one; and established clients. The caller must hold listener.mu.
func (c *Client) evictionRank() int {
	switch {
	case c.isLingering, c.hasPartialCommand && c.validCommands > 0, c.sending != transfer{}:
		return 0
	case c.validCommands > 1:
		return 3
	case c.validCommands == 1:
		return 1
	case time.Since(c.connectedAt) < firstCommandGrace:
		return 2
	}
	return 0
}

// requestClose marks the client as closing and wakes its reader. Only the reader closes the connection, so that nothing
// that was read is lost. The caller must hold listener.mu.
func (c *Client) requestClose() {
	c.isClosing = true
	c.interruptRead()
}

// interruptRead ends a blocked read by setting a deadline in the past. The deadline is decades back, so that a step of
// the wall clock can't move it into the future.
func (c *Client) interruptRead() { c.SetReadDeadline(time.Unix(1, 0)) }

// Linger ends the connection after the last reply to a client that may still be sending. It half-closes the connection
// and discards what it receives. After an immediate full close the kernel would answer further bytes from the client
// with a reset, and the client would lose the unread reply. The reading goroutine calls it once all replies are
// written.
func (c *Client) Linger() {
	if half, ok := c.stream.Conn.(*net.TCPConn); ok {
		_ = half.CloseWrite() // Fails if the client has disconnected; the read below then ends at once.
	}
	c.listener.mu.Lock()
	c.isLingering, c.hasPartialCommand = true, false
	if !c.isClosing {
		c.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
	c.listener.mu.Unlock()
	c.releaseBuffer()
	_, _ = io.CopyN(io.Discard, scheduledReader{c}, maxLingerBytes)
}

// Age returns how long ago the client connected.
func (c *Client) Age() time.Duration { return time.Since(c.connectedAt) }

// Commands returns how many valid commands the client has sent.
func (c *Client) Commands() int {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.validCommands
}

// BeginReply records that one more reply is owed to the client, and returns its number, from 1. Each BeginReply needs
// exactly one EndReply.
func (c *Client) BeginReply() (number int) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.pendingReplies++
	return c.repliesEnded + c.pendingReplies
}

// RepliesBefore returns how many replies are still owed to the client before the one of a given number.
func (c *Client) RepliesBefore(number int) int {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return max(0, number-1-c.repliesEnded)
}

// RepliesOwed returns how many replies are owed to the client.
func (c *Client) RepliesOwed() int {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.pendingReplies
}

// CountValidCommand records that the client has sent a valid command.
func (c *Client) CountValidCommand() {
	c.listener.mu.Lock()
	c.validCommands++
	c.listener.mu.Unlock()
}

// EndReply records that one reply is done. A client that is to be closed is closed after the last one. Until a valid
// command arrives, idleSince stays at the time of the connect: error replies to invalid input must not extend the time
// that a client may stay.
func (c *Client) EndReply() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.repliesEnded++
	if c.pendingReplies--; c.pendingReplies == 0 {
		if c.validCommands > 0 {
			c.idleSince = time.Now()
		}
		if c.isClosing || c.listener.isDraining {
			c.requestClose()
		}
		c.listener.capacityChanged.Signal()
	}
	if c.isAwaitingReplies {
		c.interruptRead()
	}
}
