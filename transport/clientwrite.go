package transport

import "time"

// SendReply writes a part of a reply, until the deadline. A client that takes none of it for too long may be closed
// before, in favor of others; one that reads slowly is not, however long the whole reply takes.
func (c *Client) SendReply(part []byte, deadline time.Time) End {
	c.beginSending(transfer{startedAt: time.Now(), bytes: len(part)}, deadline)
	n, err := c.Write(part)
	c.endSending()
	c.sendWork.charge(float64(n) / bytesPerWork)
	if n == len(part) {
		return Open
	}
	return endOfError(err, false)
}

// beginSending records that a part of a reply is being written, and sets the deadline of the write.
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
