package transport

import "time"

// overfullTimeout bounds how long a client may have more commands pending than its buffer holds, because a close by the
// client may be queued behind the unread bytes. The protocol allows no work to begin for a client later than 100 ms
// after it disconnected; the timeout is a fifth of that.
const overfullTimeout = 20 * time.Millisecond

// AwaitReplies waits until fewer than maxPending replies are owed to the client (Open), until the client has had more
// bytes pending than its buffer holds for overfullTimeout (Overfull), or until its connection ends. It keeps reading
// while it waits, because a close that is queued behind unread bytes can't be detected. If drop is set, the bytes that
// it reads are discarded; otherwise they stay in the buffer. Only the client's reading goroutine may call it.
func (c *Client) AwaitReplies(maxPending int, drop bool) End {
	for {
		c.listener.mu.Lock()
		if c.isAwaitingReplies = c.pendingReplies >= maxPending; !c.isAwaitingReplies {
			c.listener.mu.Unlock()
			return Open
		}
		if drop {
			c.Skip(len(c.Unread()))
			c.EnlargeEmptyBuffer()
		}
		isFull, until := c.ensureSpace(c.bufferKeepFree()) != Open, time.Time{}
		if isFull {
			until = c.markOverfull().Add(overfullTimeout)
		}
		c.SetReadDeadline(until)
		c.listener.mu.Unlock()
		var end End
		switch {
		case !isFull:
			end = c.readAvailable()
		case time.Now().Before(until):
			end = c.awaitHangup()
		default:
			return Overfull
		}
		if end != Open && end != TimedOutBeforeSent {
			return end
		}
	}
}

// ArrivedAt returns the time by which the n-th byte in the buffer, counted from 1, had arrived at this machine. Only
// the client's reading goroutine may call it.
func (c *Client) ArrivedAt(n int) time.Time { return c.arrivalTimes.arrivedAt(n) }

// markOverfull returns since when more bytes have been pending than the buffer holds, recording the current time at the
// first call.
func (c *Client) markOverfull() time.Time {
	if c.overfullSince.IsZero() {
		c.overfullSince = time.Now()
	}
	return c.overfullSince
}

// readAvailable reads once, after waiting for a turn if the client needs one. A read that does not fill the buffer has
// emptied the kernel's receive buffer.
func (c *Client) readAvailable() End {
	if c.work.needsTurn() {
		if end := c.awaitReadTurn(); end != Open {
			return end
		}
	}
	before := c.end
	end := c.read(false)
	c.chargeRead(c.end - before)
	if c.stream.hasWaited {
		c.work.renew()
	}
	if end == Open && c.end < len(c.buffer) {
		c.overfullSince = time.Time{}
		c.hiddenEnd.recordEmpty()
	}
	return end
}
