package transport

import "time"

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

// interruptSend ends a blocked write, after which the connection is closed.
func (c *Client) interruptSend() { c.SetWriteDeadline(time.Unix(1, 0)) }
