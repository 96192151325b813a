package transport

import (
	"errors"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// rawConn returns access to the descriptor of a connection or listener, nil if it is closed or has none.
func rawConn(of any) syscall.RawConn {
	if inner, is := of.(syscall.Conn); is {
		if raw, err := inner.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}

// hasEvent reports, without waiting, whether a descriptor has one of the poll events, or an error or a hangup.
func hasEvent(fd uintptr, events int16) bool {
	for {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: events}}, 0)
		if err != unix.EINTR {
			return err == nil && n > 0
		}
	}
}

// awaitHangup waits, without reading, until the peer has closed its side (ClientDisconnected) or the read deadline
// passes (TimedOutBeforeSent).
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

// HasEnded reports, without waiting, whether the peer has closed the connection, also where its end stands behind
// bytes that were not read.
func (c *Conn) HasEnded() (ended bool) {
	raw := rawConn(c.Conn)
	if raw == nil {
		return true
	}
	err := raw.Control(func(fd uintptr) { ended = hasEvent(fd, unix.POLLRDHUP) })
	return ended || err != nil
}

// peek looks, without reading or waiting, whether bytes wait to be read and whether the peer has ended the connection.
func (c *Conn) peek() (hasBytes, hasEnded bool) {
	raw := rawConn(c.Conn)
	if raw == nil {
		return false, true
	}
	var one [1]byte
	var n int
	var peekErr error
	if err := raw.Control(func(fd uintptr) {
		for peekErr = syscall.EINTR; peekErr == syscall.EINTR; {
			n, _, peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
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
