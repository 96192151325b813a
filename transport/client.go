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

	// clientMemory is what a connected client takes, in bytes: the stacks of its two goroutines, its first buffer, and
	// the replies that are queued for it.
	clientMemory = 16 << 10

	// maxPipelineReserve: a client to which this many replies are owed, or more, has to leave half of the memory free when
	// its buffer grows; one with fewer, less. So clients that send much at once do not hold up the others.
	maxPipelineReserve = 64

	// firstCommandGrace is how long a new client is protected from eviction, so that it can send a first command.
	firstCommandGrace = 500 * time.Millisecond
)

// Client is a client's connection. It is busy while a reply is owed to it, and between commands otherwise. A single
// goroutine reads it with Fill, AwaitReplies, Skip and Take; BeginReply, CountValidCommand, EndReply, Age and Commands
// are safe for concurrent use.
type Client struct {
	Conn
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

	connectedAt   time.Time // when it was accepted; immutable
	overfullSince time.Time // start of more being pending than the buffer holds, else zero; used by the reader only
	shortSince    time.Time // start of a wait for memory, else zero; used by the reader only
}

// KeepFree returns how many bytes of memory are to stay free when this many replies are owed to a client and more is to
// be held for it.
func KeepFree(memory *MemoryAccount, pendingReplies int) int64 {
	return memory.Limit() / 2 * int64(min(pendingReplies, maxPipelineReserve)) / maxPipelineReserve
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

// commandDeadline returns when the command that has begun must be complete, or zero if none has. Clients that have sent a valid
// command may write slowly, as long as they go on writing. For one that has not, the time counts from its connect:
// otherwise it could hold its descriptor by sending a byte now and then. The caller must hold listener.mu.
func (c *Client) commandDeadline() time.Time {
	switch {
	case c.partial.startedAt.IsZero():
		return time.Time{}
	case c.validCommands > 0:
		return earlier(c.partial.startedAt.Add(c.listener.CommandTimeout), c.partial.progressAt.Add(c.listener.StallTimeout))
	}
	return c.connectedAt.Add(c.listener.FirstCommandTimeout)
}

func earlier(one, other time.Time) time.Time {
	if one.Before(other) {
		return one
	}
	return other
}

// SendReply writes a part of a reply, until the deadline. sent is the progress of the reply before it. While it is being
// written, a client that takes too long may be closed in favor of others.
func (c *Client) SendReply(part []byte, sent ReplyProgress, deadline time.Time) (ReplyProgress, End) {
	startedAt := time.Now()
	sent.bytes += len(part)
	c.beginSending(transfer{startedAt: startedAt.Add(-sent.duration), bytes: sent.bytes}, deadline)
	n, err := c.Write(part)
	c.endSending()
	sent.duration += time.Since(startedAt)
	if n == len(part) {
		return sent, Open
	}
	return sent, endOfError(err, false)
}

// ReplyProgress is how much of a reply has been written; the zero value is that of a reply that has not been begun.
type ReplyProgress struct {
	bytes    int
	duration time.Duration // spent in writes, without the time between them
}

// beginSending records which reply is being written, and sets the deadline of the write.
func (c *Client) beginSending(sending transfer, deadline time.Time) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.sending = sending
	_ = c.SetWriteDeadline(deadline) // Fails only on a closed connection, as the write does then.
}

// endSending records that nothing is being written.
func (c *Client) endSending() {
	c.listener.mu.Lock()
	c.sending = transfer{}
	c.listener.mu.Unlock()
}

// Linger ends the connection after the last reply to a client that may still be sending. It half-closes the connection
// and discards what it receives. After an immediate full close the kernel would answer further bytes from the client
// with a reset, and the client would lose the unread reply. The reading goroutine calls it once all replies are
// written.
func (c *Client) Linger() {
	if half, ok := c.Conn.Conn.(*net.TCPConn); ok {
		_ = half.CloseWrite() // Fails if the client has disconnected; the read below then ends at once.
	}
	c.listener.mu.Lock()
	c.isLingering, c.hasPartialCommand = true, false
	if !c.isClosing {
		c.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
	c.listener.mu.Unlock()
	c.releaseBuffer()
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

// Fill reads once more and returns Open, or how the connection ended. startedAt is when the first byte of the current
// command arrived, or zero if there is none. ClosedIdle means that the client was marked as closing, no reply was owed,
// nothing was left to be read, and Fill has closed the connection. LocalShortage means that there was no memory for the
// rest of the command in time; the connection stays open. Only the reading goroutine may call it.
func (c *Client) Fill(startedAt time.Time) End {
	progressAt := time.Now()
	for {
		// A read may be interrupted by requestClose, which does not cut the time of a command that has begun. The client's
		// first command may also be found valid in the meantime, which makes its deadline later.
		end, pendingReplies := c.prepareRead(transfer{startedAt: startedAt, progressAt: progressAt, bytes: len(c.Unread())})
		switch end {
		case Open:
			c.shortSince = time.Time{}
			end = c.readAvailable()
		case LocalShortage:
			end = c.awaitMemory(pendingReplies)
		}
		if end != TimedOutBeforeSent {
			return end
		}
		if c.isPastDeadline() {
			return end
		}
	}
}

// prepareRead makes space for a read and sets its deadline, and returns Open and how many replies are owed to the client.
// It returns ClosedIdle if it has closed the connection, and an error as ensureSpace does.
func (c *Client) prepareRead(partial transfer) (end End, pendingReplies int) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.hasPartialCommand, c.partial = partial.bytes > 0 || !partial.startedAt.IsZero(), partial
	if c.closeIfIdle() {
		return ClosedIdle, 0
	}
	deadline, now := c.commandDeadline(), time.Now()
	isLate := !deadline.IsZero() && !now.Before(deadline)
	if isLate && !c.hasArrived() {
		return TimedOutBeforeSent, c.pendingReplies
	}
	end = c.ensureSpace(KeepFree(c.memory, c.pendingReplies))
	if isLate || end == LocalShortage {
		deadline = now.Add(memoryRetryInterval)
	}
	c.SetReadDeadline(deadline)
	return end, c.pendingReplies
}

// isPastDeadline reports whether the time for the current command is over and nothing of it is left to be read.
func (c *Client) isPastDeadline() bool {
	c.listener.mu.Lock()
	deadline := c.commandDeadline()
	c.listener.mu.Unlock()
	return !deadline.IsZero() && !time.Now().Before(deadline) && !c.hasArrived()
}

// hasArrived reports whether more of the client's command can be read without waiting. After a wait for the client limit
// or a stall of the process, its rest may have arrived in time although that is over now.
func (c *Client) hasArrived() bool {
	hasBytes, _ := c.peek()
	return hasBytes
}

// awaitMemory waits until the read deadline, after which memory is to be tried again (TimedOutBeforeSent). A client to
// which replies are owed waits for only as long as its disconnect may go unnoticed behind unread bytes.
func (c *Client) awaitMemory(pendingReplies int) End {
	now, timeout := time.Now(), memoryWaitTimeout
	if pendingReplies > 0 {
		timeout = overfullTimeout
	}
	if c.shortSince.IsZero() {
		c.shortSince = now
	}
	if now.Sub(c.shortSince) > timeout {
		c.shortSince = time.Time{}
		return LocalShortage
	}
	return c.awaitHangup()
}

// closeIfIdle closes a client that is marked as closing if no reply is owed to it and nothing is left to be read, and
// reports whether it did. A command that has begun may be completed within its time, except if the client's place is
// needed for others and the command is not protected. The close follows the check under the same lock: a command that
// arrives in between meets a closed connection and is answered with a reset, rather than being accepted and dropped.
// The caller must hold listener.mu.
func (c *Client) closeIfIdle() bool {
	if !c.isClosing || c.pendingReplies > 0 {
		return false
	}
	if c.hasPartialCommand && (c.hasProtectedCommand(time.Now()) || c.listener.hasSpareCapacity(len(c.listener.clients))) {
		return false
	}
	if hasBytes, hasEnded := c.peek(); hasBytes || hasEnded {
		return false
	}
	c.Conn.Close()
	return true
}
