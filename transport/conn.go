// Package transport holds connections: the listener for clients in front, the pool of connections to servers behind,
// the one buffer that each connection has, and the ways in which one can end. It knows nothing of what the bytes mean.
//
// A client's connection: Listener.Serve accepts it, waits for room among the clients (limit.go) and runs the given
// function in a goroutine of its own, the only one that reads the connection. That function calls Client.Fill until the
// connection ends; BeginReply and EndReply bracket each reply that is owed. A client between commands may be asked to
// make room: its reader is woken and closes the connection itself, so that nothing that was read is lost.
//
// A server's connection: Pool.NewConn begins an attempt, Connect takes an idle connection or dials one, Send writes the
// request, Fill reads the response, Release gives the connection back. Cancel and CancelUnsent cancel the attempt from
// any goroutine.
//
// How a connection ended is an End; what of it may have reached the other side is the caller's reason to retry or not.
package transport

import (
	"bytes"
	"net"
	"time"
)

const (
	initialBuffer = 2 << 10  // bytes: the first buffer of a connection
	maxIdleBuffer = 16 << 10 // bytes: an empty buffer over this is released
	// MaxBuffer bounds the bytes of one message: a value of 64 KiB with its command around it.
	MaxBuffer = 72 << 10
	// MaxMessage bounds the bytes of one message that may be larger, out of a Budget: a value of 4 MiB.
	MaxMessage = 4<<20 + 8<<10
)

// Conn is a connection with its buffer, which grows as needed and is compacted in place. One goroutine at a time may
// read it; it does not lock.
type Conn struct {
	net.Conn
	buffer        []byte
	start, end    int           // of the bytes in the buffer that were read and not skipped
	budget        *Budget       // for a buffer over MaxBuffer; nil: none may grow over that
	budgetedBytes int           // what the buffer takes of the budget; 0: it is an ordinary one
	arrivalTimes  *arrivalTimes // of a client's bytes; nil: not recorded
	peer          Peer          // pool: whose connection it is
	idleAt        time.Time     // pool: since when it has been idle
	dialDuration  time.Duration // pool: how long it took to connect
}

// Unread returns the bytes that were read and not skipped. They hold until the next Fill or Skip.
func (c *Conn) Unread() []byte { return c.buffer[c.start:c.end] }

// Skip discards the first n bytes of Unread.
func (c *Conn) Skip(n int) {
	if c.arrivalTimes != nil {
		c.arrivalTimes.discard(n)
	}
	if c.start += n; c.start == c.end {
		c.start, c.end = 0, 0
		if c.releaseBuffer(); len(c.buffer) > maxIdleBuffer {
			c.buffer = nil // Guards memory against many idle connections that once carried a large value.
		}
	}
}

// Take discards the first n bytes of Unread and returns them to keep: the buffer itself where it is a large one. They
// hold until release is called, which must happen once.
func (c *Conn) Take(n int) (taken []byte, release func()) {
	if c.budgetedBytes == 0 || c.end-c.start != n {
		taken = bytes.Clone(c.buffer[c.start : c.start+n])
		c.Skip(n)
		return taken, func() {}
	}
	if c.arrivalTimes != nil {
		c.arrivalTimes.discard(n)
	}
	taken, release = c.buffer[c.start:c.end], c.budget.releaseFunc(c.buffer, c.budgetedBytes)
	c.buffer, c.start, c.end, c.budgetedBytes = nil, 0, 0, 0
	return taken, release
}

// Grow makes the buffer large enough for a message of n bytes. It returns LocalShortage when the budget has none left.
func (c *Conn) Grow(n int) End {
	if n <= MaxBuffer || n <= len(c.buffer) {
		return Open
	}
	if c.budgetedBytes > 0 {
		return LocalShortage
	}
	grown, size := c.budget.acquire(min(n, MaxMessage))
	if grown == nil {
		return LocalShortage
	}
	c.start, c.end, c.buffer, c.budgetedBytes = 0, copy(grown, c.Unread()), grown, size
	return Open
}

// releaseBuffer gives the buffer back where it came out of the budget.
func (c *Conn) releaseBuffer() {
	if c.budgetedBytes > 0 {
		c.budget.releaseFunc(c.buffer, c.budgetedBytes)()
		c.buffer, c.start, c.end, c.budgetedBytes = nil, 0, 0, 0
	}
}

// EnlargeEmptyBuffer makes an empty buffer as large as an idle one may stay, where much is about to be read and
// discarded.
func (c *Conn) EnlargeEmptyBuffer() {
	if c.start == c.end && len(c.buffer) < maxIdleBuffer {
		c.buffer = make([]byte, maxIdleBuffer)
	}
}

// ensureSpace makes space for a read behind the bytes in the buffer, by compacting or growing it. It returns Malformed
// when a message is longer than the buffer may grow.
func (c *Conn) ensureSpace() End {
	switch {
	case c.end < len(c.buffer):
	case c.start > 0:
		c.end = copy(c.buffer, c.buffer[c.start:c.end])
		c.start = 0
	case len(c.buffer) >= MaxBuffer:
		return Malformed
	default:
		grown := make([]byte, min(MaxBuffer, max(initialBuffer, 2*len(c.buffer))))
		copy(grown, c.buffer)
		c.buffer = grown
	}
	return Open
}

// Fill reads once more, until the deadline. isSent: what is read is the response to a message that was handed over in
// full, which decides what a failure means (End).
func (c *Conn) Fill(deadline time.Time, isSent bool) End {
	if end := c.ensureSpace(); end != Open {
		return end
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return endOfError(err, isSent)
	}
	return c.read(isSent)
}

func (c *Conn) read(isSent bool) End {
	n, err := c.Read(c.buffer[c.end:])
	c.end += n
	if n > 0 {
		if c.arrivalTimes != nil {
			c.arrivalTimes.recordRead(n, c.end < len(c.buffer), time.Now())
		}
		return Open
	}
	return endOfError(err, isSent)
}

// Send writes the message, until the deadline. It returns Open once its last byte was handed to the kernel.
func (c *Conn) Send(message []byte, deadline time.Time) End {
	if err := c.SetWriteDeadline(deadline); err != nil {
		return endOfError(err, false)
	}
	n, err := c.Write(message)
	if n == len(message) {
		return Open
	}
	return endOfError(err, false)
}
