package transport

import (
	"errors"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// surplusFor bounds how long more may wait than the buffer holds: a fifth of the 0.1 s (the protocol's) after which nothing may begin
// any more for a client that has gone, as its end may stand behind that.
const surplusFor = 20 * time.Millisecond

// Await waits until fewer than so many things of the client are being answered (Open), until it has sent more than its buffer holds
// (Surplus), or until it has gone. It reads meanwhile: nobody sees an end behind what was not read. What it reads stays, or is dropped.
func (c *Client) Await(most int, drop bool) End {
	for {
		c.owner.mu.Lock()
		if c.awaits = c.busy >= most; !c.awaits {
			c.owner.mu.Unlock()
			return Open
		}
		if drop {
			c.Skip(len(c.Unread()))
			c.Widen()
		}
		full, until := c.room() != Open, time.Time{}
		if full {
			until = c.overfull().Add(surplusFor)
		}
		c.SetReadDeadline(until)
		c.owner.mu.Unlock()
		var end End
		switch {
		case !full:
			end = c.readOn()
		case time.Now().Before(until):
			end = c.hangsUp()
		default:
			return Surplus
		}
		if end != Open && end != Stuck {
			return end
		}
	}
}

// ArrivedAt is when the n-th of the bytes that were not skipped arrived at this machine, at the latest.
func (c *Client) ArrivedAt(n int) time.Time { return c.arrivals.of(n) }

// overfull returns since when more waits than the buffer holds.
func (c *Client) overfull() time.Time {
	if c.overfullSince.IsZero() {
		c.overfullSince = time.Now()
	}
	return c.overfullSince
}

// readOn reads once. A read that leaves room has emptied what the kernel held.
func (c *Client) readOn() End {
	end := c.read(false)
	if end == Open && c.to < len(c.buffer) {
		c.overfullSince = time.Time{}
	}
	return end
}

// hangsUp waits without reading until the other side has ended the connection, or the read deadline is over (Stuck).
func (c *Conn) hangsUp() End {
	raw := rawOf(c.Conn)
	if raw == nil {
		return Left
	}
	err := raw.Read(func(fd uintptr) bool { return looks(fd, unix.POLLRDHUP) })
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return Stuck
	}
	return Left
}

// HasEnded tells, without waiting, whether the other side has ended the connection, also where that stands behind what was not read.
func (c *Conn) HasEnded() (ended bool) {
	raw := rawOf(c.Conn)
	if raw == nil {
		return true
	}
	err := raw.Control(func(fd uintptr) { ended = looks(fd, unix.POLLRDHUP) })
	return ended || err != nil
}

// rawOf gives the descriptor's own calls of a connection or a listener, nil if it has none any more.
func rawOf(of any) syscall.RawConn {
	if inner, is := of.(syscall.Conn); is {
		if raw, err := inner.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}

// looks tells, without waiting, whether a descriptor has one of the events, or an error or an end.
func looks(fd uintptr, events int16) bool {
	for {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: events}}, 0)
		if err != unix.EINTR {
			return err == nil && n > 0
		}
	}
}
