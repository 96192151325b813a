package transport

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// clientStream is a client's connection. It tells whether a read had to wait. Only the reading goroutine may call Read.
type clientStream struct {
	net.Conn
	raw       syscall.RawConn // nil: not known whether reads wait
	attempt   func(descriptor uintptr) bool
	buffer    []byte // of the read in progress, as n and err
	n         int
	err       error
	hasWaited bool // the last read had to wait
}

func newClientStream(inner net.Conn) *clientStream {
	s := &clientStream{Conn: inner, raw: rawConn(inner)}
	s.attempt = s.tryRead
	return s
}

// SyscallConn implements syscall.Conn.
func (s *clientStream) SyscallConn() (syscall.RawConn, error) {
	if s.raw == nil {
		return nil, syscall.EINVAL
	}
	return s.raw, nil
}

// Read implements net.Conn.
func (s *clientStream) Read(buffer []byte) (int, error) {
	s.hasWaited = false
	if s.raw == nil || len(buffer) == 0 {
		return s.Conn.Read(buffer)
	}
	s.buffer, s.n, s.err = buffer, 0, nil
	err := s.raw.Read(s.attempt)
	s.buffer = nil
	if err != nil {
		return 0, err
	}
	return s.n, s.err
}

// tryRead reads without blocking, and reports whether the read is over.
func (s *clientStream) tryRead(descriptor uintptr) bool {
	n, err := unix.Read(int(descriptor), s.buffer)
	for errors.Is(err, unix.EINTR) {
		n, err = unix.Read(int(descriptor), s.buffer)
	}
	switch {
	case errors.Is(err, unix.EAGAIN):
		s.hasWaited = true
		return false
	case err == nil && n == 0:
		err = io.EOF
	}
	s.n, s.err = max(n, 0), err
	return true
}
