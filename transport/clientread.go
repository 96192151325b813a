package transport

import "time"

// commandDeadline returns when the command that has begun must be complete, or zero if none has. Clients that have sent a valid
// command may write slowly, as long as they go on writing. For one that has not, the time counts from its connect:
// otherwise it could hold its descriptor by sending a byte now and then. The caller must hold listener.mu.
func (c *Client) commandDeadline() time.Time {
	switch {
	case c.partial.startedAt.IsZero():
		return time.Time{}
	case c.validCommands > 0:
		deadline, stalledAt := c.partial.startedAt.Add(c.listener.CommandTimeout), c.partial.progressAt.Add(c.listener.StallTimeout)
		if stalledAt.Before(deadline) {
			return stalledAt
		}
		return deadline
	}
	return c.connectedAt.Add(c.listener.FirstCommandTimeout)
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
	end = c.ensureSpace(c.bufferKeepFree())
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
