package transport

import "time"

// overfullTimeout bounds how long more commands may wait than the buffer holds. It is a fifth of the 100 ms (the
// protocol's) after which nothing may begin any more for a client that has gone, as the client's close may stand
// behind what was not read.
const overfullTimeout = 20 * time.Millisecond

// AwaitReplies waits until fewer than maxPending replies are owed to the client (Open), until the client has sent more
// than its buffer holds for surplusTimeout (Overfull), or until its connection ends. It reads meanwhile, because a
// close behind bytes that are not read goes unseen; with drop set what it reads is discarded, else it stays in the
// buffer. Only the client's reading goroutine may call it.
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
		isFull, until := c.ensureSpace() != Open, time.Time{}
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

// ArrivedAt returns when the n-th of the bytes in the buffer arrived at this machine, at the latest. Only the client's
// reading goroutine may call it.
func (c *Client) ArrivedAt(n int) time.Time { return c.arrivalTimes.arrivedAt(n) }

// markOverfull returns since when more has waited than the buffer holds, now at the first call.
func (c *Client) markOverfull() time.Time {
	if c.overfullSince.IsZero() {
		c.overfullSince = time.Now()
	}
	return c.overfullSince
}

// readAvailable reads once. A read that leaves room in the buffer has emptied what the kernel held.
func (c *Client) readAvailable() End {
	end := c.read(false)
	if end == Open && c.end < len(c.buffer) {
		c.overfullSince = time.Time{}
	}
	return end
}
