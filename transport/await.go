package transport

import (
	"errors"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Await waits until fewer than so many things of the client are being answered (Open), or until the client has gone. It
// reads meanwhile: nobody sees an end behind what was not read. What it reads stays, as far as there is room for it, or is dropped.
func (c *Client) Await(most int, drop bool) End {
	dropped := 0
	for {
		c.owner.mu.Lock()
		if c.awaits = c.busy >= most; !c.awaits {
			c.owner.mu.Unlock()
			return Open
		}
		c.SetReadDeadline(time.Time{})
		c.owner.mu.Unlock()
		if drop {
			dropped += len(c.Unread())
			c.Skip(len(c.Unread()))
		}
		end := Open
		if dropped <= mostLinger && c.room() == Open {
			end = c.read(false)
		} else {
			end = c.hangsUp()
		}
		if end != Open && end != Stuck {
			return end
		}
	}
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
	n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: events}}, 0)
	return err == nil && n > 0
}
