package transport

import (
	"io"
	"time"
)

// AwaitTurn waits until the next command in the buffer may be handled, if the client has caused more work than usual. Only
// the client's reading goroutine may call it, as the other methods in this file unless they say otherwise.
func (c *Client) AwaitTurn() {
	if len(c.Unread()) > 0 && c.work.needsTurn() {
		c.awaitTurn()
	}
}

// AwaitSendTurn waits until more of the replies may be written, if the client has been written more than usual. Only the
// goroutine that writes the replies may call it.
func (c *Client) AwaitSendTurn() {
	if c.sendWork.needsTurn() {
		c.listener.scheduler.await(&c.sendWork)
	}
}

// ChargeCommand counts the work of a command that is answered at once.
func (c *Client) ChargeCommand() { c.work.charge(commandWork) }

// ChargeRequest counts the work of an admitted request.
func (c *Client) ChargeRequest() { c.work.charge(requestWork) }

// chargeRead counts the work of a read of n bytes.
func (c *Client) chargeRead(n int) { c.work.charge(readWork + float64(n)/bytesPerWork) }

// awaitReadTurn waits, until the read deadline, for something to read, and then for a turn: one that begins before could
// be used much later, together with those of many other clients.
func (c *Client) awaitReadTurn() End {
	end, hasWaited := c.awaitReadable()
	switch {
	case end != Open:
		return end
	case hasWaited:
		c.work.renew()
	default:
		c.awaitTurn()
	}
	return Open
}

// awaitTurn waits for a turn. What arrives in the meantime is not read.
func (c *Client) awaitTurn() {
	unread := c.UnreadInKernel()
	if c.arrivalTimes != nil {
		c.arrivalTimes.recordUnread(unread, time.Now())
	}
	c.hiddenEnd.recordUnread(unread)
	c.listener.scheduler.await(&c.work)
}

// MayHaveEnded reports whether the client may have closed its connection so long ago that nothing more may be begun for
// it, unseen behind bytes that wait to be read. It is safe for concurrent use.
func (c *Client) MayHaveEnded() bool { return c.hiddenEnd.isHidden(c.UnreadInKernel) }

// scheduledReader reads a client's connection with turns as readAvailable does.
type scheduledReader struct{ client *Client }

// Read implements io.Reader.
func (r scheduledReader) Read(buffer []byte) (int, error) {
	if r.client.work.needsTurn() && r.client.awaitReadTurn() != Open {
		return 0, io.EOF
	}
	n, err := r.client.Conn.Read(buffer)
	r.client.chargeRead(n)
	return n, err
}
