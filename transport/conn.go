// Package transport manages connections: the listener for clients, the pool of connections to servers, the buffer of
// each connection, and the ways in which a connection can end. It does not interpret the bytes that it carries.
//
// A client's connection: Listener.Serve accepts it, waits until the limit of clients admits it (limit.go) and runs the
// given function in a new goroutine, the only one that reads the connection. That function calls Client.Fill until the
// connection ends; BeginReply and EndReply bracket each reply that is owed. A client between commands may be evicted:
// its reader is woken and closes the connection itself, so that nothing that was read is lost. So may one that takes too
// long for a command or a reply, while others wait (transfer.go).
//
// What clients make the process hold is counted in one MemoryAccount, before it is held: connections and buffers here,
// requests and responses by the caller.
//
// Processor time is divided by the scheduler: a client that causes more work than usual is read, and written, in turns that
// it gets when the process has nothing else to do (scheduler.go, clientwork.go). Its connection's end may then be hidden
// behind unread bytes (hiddenend.go).
//
// A server's connection: Pool.NewConn begins an attempt, Connect takes an idle connection or dials one, Send or one of
// its variants writes the request, Fill reads the response, Release gives the connection back. Cancel and CancelUnsent
// cancel the attempt from any goroutine.
//
// An End says how a connection or an attempt ended, and with it what may have reached the peer; callers decide by it
// whether to retry.
package transport

import (
	"bytes"
	"net"
	"time"
)

const (
	initialBuffer = 2 << 10  // bytes: size of a connection's first buffer
	maxIdleBuffer = 16 << 10 // bytes: an empty buffer larger than this is released
	// MaxBuffer bounds the bytes of an ordinary message: a value of 64 KiB and the command that carries it.
	MaxBuffer = 72 << 10
	// MaxMessage bounds the bytes of a message whose buffer comes from a Budget: a value of 4 MiB and its command.
	MaxMessage = 4<<20 + 8<<10
)

// Conn is a connection with its read buffer, which grows as needed and is compacted in place. It is not safe for
// concurrent reads.
type Conn struct {
	net.Conn
	buffer        []byte
	start, end    int            // bounds of the unread bytes in the buffer
	budget        *Budget        // for a buffer over MaxBuffer; if nil, the buffer can't grow beyond that
	budgetedBytes int            // bytes that the buffer takes from the budget; 0 for an ordinary buffer
	memory        *MemoryAccount // for an ordinary buffer over initialBuffer; nil: unlimited
	reservedBytes int64          // bytes that the buffer takes from memory
	arrivalTimes  *arrivalTimes  // of a client's bytes; nil if not recorded
	peer          Peer           // pooled connections only: the server
	idleAt        time.Time      // pooled connections only: when it became idle
	dialDuration  time.Duration  // pooled connections only: how long the dial took
	sentBytes     int            // pooled connections only: written since it was idle
}

// Unread returns the bytes that were read and not skipped. The slice is valid until the next Fill or Skip.
func (c *Conn) Unread() []byte { return c.buffer[c.start:c.end] }

// Skip discards the first n bytes of Unread.
func (c *Conn) Skip(n int) {
	if c.arrivalTimes != nil {
		c.arrivalTimes.discard(n)
	}
	if c.start += n; c.start == c.end {
		c.start, c.end = 0, 0
		if len(c.buffer) > maxIdleBuffer || len(c.buffer) > initialBuffer && c.memory.isScarce() {
			c.releaseBuffer() // Many idle connections that each once carried a large value would use much memory.
		}
	}
}

// Take removes the first n bytes of Unread and returns them: as the buffer itself if it comes from the budget and holds
// nothing else, otherwise as a copy. They are valid until release is called, which must happen exactly once.
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

// Grow makes the buffer large enough for a message of n bytes. It returns LocalShortage if the budget does not suffice.
func (c *Conn) Grow(n int) End { return c.GrowLeaving(n, bufferReserve(c.budget.memory())) }

// GrowLeaving is Grow where at least keepFree bytes of the memory are to stay free.
func (c *Conn) GrowLeaving(n int, keepFree int64) End {
	if n <= MaxBuffer || n <= len(c.buffer) {
		return Open
	}
	if c.budgetedBytes > 0 {
		return LocalShortage
	}
	grown, size := c.budget.acquire(min(n, MaxMessage), keepFree)
	if grown == nil {
		return LocalShortage
	}
	end := copy(grown, c.Unread())
	c.releaseBuffer()
	c.end, c.buffer, c.budgetedBytes = end, grown, size
	return Open
}

// releaseBuffer drops the buffer with the unread bytes in it, and returns its memory.
func (c *Conn) releaseBuffer() {
	if c.budgetedBytes > 0 {
		c.budget.releaseFunc(c.buffer, c.budgetedBytes)()
	}
	c.memory.Release(c.reservedBytes)
	c.buffer, c.start, c.end, c.budgetedBytes, c.reservedBytes = nil, 0, 0, 0, 0
}

// NextBuffer returns the size in bytes of the buffer that the next read needs: the present one's unless that is full.
func (c *Conn) NextBuffer() int {
	if c.end < len(c.buffer) || c.start > 0 {
		return len(c.buffer)
	}
	return min(MaxBuffer, max(initialBuffer, 2*len(c.buffer)))
}

// Enlarge makes an ordinary buffer at least size bytes long, for a message whose length is known and whose memory the
// caller has reserved.
func (c *Conn) Enlarge(size int) {
	if size = min(size, MaxBuffer); size > len(c.buffer) {
		grown := make([]byte, size)
		c.start, c.end, c.buffer = 0, copy(grown, c.Unread()), grown
	}
}

// EnlargeEmptyBuffer grows an empty buffer to maxIdleBuffer, for a caller that is about to read and discard many bytes.
// It does nothing while memory is scarce.
func (c *Conn) EnlargeEmptyBuffer() {
	if c.start == c.end && len(c.buffer) < maxIdleBuffer && c.reserveBuffer(maxIdleBuffer, c.memory.Limit()/2) {
		c.buffer = make([]byte, maxIdleBuffer)
	}
}

// reserveBuffer reserves the memory for an ordinary buffer of so many bytes in place of the present one, and reports
// whether it did. The first initialBuffer bytes are part of what a connection takes. It leaves keepFree bytes free.
func (c *Conn) reserveBuffer(size int, keepFree int64) bool {
	more := int64(max(0, size-initialBuffer)) - c.reservedBytes
	if more == 0 {
		return true // Even if more than the limit is in use: a small command needs no memory of its own.
	}
	if !c.memory.Reserve(more, keepFree) {
		return false
	}
	c.reservedBytes += more
	return true
}

// ensureSpace makes space for a read after the unread bytes, by compacting or growing the buffer. It returns Malformed
// if a message is longer than the buffer may grow, and LocalShortage if no more than keepFree bytes of memory would be
// left after growing.
func (c *Conn) ensureSpace(keepFree int64) End {
	switch {
	case c.end < len(c.buffer):
	case c.start > 0:
		c.end = copy(c.buffer, c.buffer[c.start:c.end])
		c.start = 0
	case len(c.buffer) >= MaxBuffer:
		return Malformed
	default:
		size := c.NextBuffer()
		if !c.reserveBuffer(size, keepFree) {
			return LocalShortage
		}
		grown := make([]byte, size)
		copy(grown, c.buffer)
		c.buffer = grown
	}
	return Open
}

// Fill reads once more, until the deadline. isSent tells that the read is for the response to a message whose last byte
// was handed to the kernel, which decides the End that a failure is reported as.
func (c *Conn) Fill(deadline time.Time, isSent bool) End {
	if end := c.ensureSpace(0); end != Open {
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

// Send writes the message, until the deadline. It returns Open once the last byte was handed to the kernel.
func (c *Conn) Send(message []byte, deadline time.Time) End {
	if err := c.SetWriteDeadline(deadline); err != nil {
		return endOfError(err, false)
	}
	n, err := c.Write(message)
	c.sentBytes += n
	if n == len(message) {
		return Open
	}
	return endOfError(err, false)
}
