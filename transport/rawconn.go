package transport

import (
	"errors"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// rawConn returns the raw descriptor of a connection or listener, or nil if it is closed or has none.
func rawConn(connOrListener any) syscall.RawConn {
	if inner, ok := connOrListener.(syscall.Conn); ok {
		if raw, err := inner.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}

// hasEvent reports without blocking whether a descriptor has one of the poll events, an error or a hangup.
func hasEvent(fd uintptr, events int16) bool {
	for {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: events}}, 0)
		if err != unix.EINTR {
			return err == nil && n > 0
		}
	}
}

// awaitHangup waits, without reading, until the peer has closed its sending side (ClientDisconnected) or the read
// deadline passes (TimedOutBeforeSent).
func (c *Conn) awaitHangup() End {
	raw := rawConn(c.Conn)
	if raw == nil {
		return ClientDisconnected
	}
	err := raw.Read(func(fd uintptr) bool { return hasEvent(fd, unix.POLLRDHUP) })
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return TimedOutBeforeSent
	}
	return ClientDisconnected
}

// awaitReadable waits, without reading, until there is something to read, which may be the end of the connection (Open), or
// the read deadline passes (TimedOutBeforeSent). hasWaited reports that there was nothing at first.
func (c *Conn) awaitReadable() (end End, hasWaited bool) {
	raw := rawConn(c.Conn)
	if raw == nil {
		return ClientDisconnected, false
	}
	err := raw.Read(func(fd uintptr) bool {
		isReadable := hasEvent(fd, unix.POLLIN|unix.POLLRDHUP)
		hasWaited = hasWaited || !isReadable
		return isReadable
	})
	return endOfError(err, false), hasWaited
}

// HasEnded reports without blocking whether the peer has closed its side of the connection, even if there are unread
// bytes before the end of the stream.
func (c *Conn) HasEnded() (ended bool) {
	raw := rawConn(c.Conn)
	if raw == nil {
		return true
	}
	err := raw.Control(func(fd uintptr) { ended = hasEvent(fd, unix.POLLRDHUP) })
	return ended || err != nil
}

// unsentBytes returns how many bytes the kernel holds that it has not sent yet, because the peer or the network is slow; 0
// if that is not known.
func (c *Conn) unsentBytes() int { return c.queueLength(unix.SIOCOUTQNSD) }

// UnreadInKernel returns how many bytes the kernel holds that can be read; 0 if that is not known.
func (c *Conn) UnreadInKernel() int { return c.queueLength(unix.SIOCINQ) }

// unacknowledgedBytes returns how many bytes the kernel holds that have not been acknowledged by the peer's, sent or
// not; 0 if that is not known.
func (c *Conn) unacknowledgedBytes() int { return c.queueLength(unix.SIOCOUTQ) }

// hasQueuedMessage reports whether the kernel still holds a part of the last message, because the server has responded
// before it read all. The next message would wait behind it. A message of one segment is not held.
func (c *Conn) hasQueuedMessage() bool { return c.sentBytes > MaxSingleSegment && c.unsentBytes() > 0 }

// queueLength returns the result of an ioctl request about the connection's queues, or 0 if it fails.
func (c *Conn) queueLength(request uint) (length int) {
	raw := rawConn(c.Conn)
	if raw == nil {
		return 0
	}
	var ioctlErr error
	if err := raw.Control(func(fd uintptr) { length, ioctlErr = unix.IoctlGetInt(int(fd), request) }); err != nil || ioctlErr != nil {
		return 0
	}
	return length
}

// abort closes the connection. A usual close lets the kernel go on sending what it still holds, so that a peer that
// reads slowly could complete a request long after it was given up; abort discards it.
func (c *Conn) abort() {
	if tcp, isTCP := c.Conn.(*net.TCPConn); isTCP && c.unacknowledgedBytes() > 0 {
		_ = tcp.SetLinger(0) // Fails only if the connection is closed.
	}
	c.Close()
}

// peek reports, without blocking or consuming anything, whether bytes can be read and whether the connection has ended.
func (c *Conn) peek() (hasBytes, hasEnded bool) {
	raw := rawConn(c.Conn)
	if raw == nil {
		return false, true
	}
	var buffer [1]byte
	var n int
	var peekErr error
	if err := raw.Control(func(fd uintptr) {
		for peekErr = syscall.EINTR; peekErr == syscall.EINTR; {
			n, _, peekErr = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}
	}); err != nil {
		return false, true
	}
	switch {
	case peekErr == syscall.EAGAIN:
		return false, false
	case peekErr != nil, n == 0:
		return false, true
	}
	return true, false
}
