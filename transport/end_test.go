package transport

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
)

// A system call fails at connect, or before or after the last byte of a request was handed over. The End must tell
// whether the request can't have begun, whether that is unknown, and whether the server is not at fault.
func TestSystemErrorsMapToEnds(t *testing.T) {
	for _, c := range []struct {
		errno              error
		dial, unsent, sent End // at connect; before and after the last byte was handed over
	}{
		{syscall.ECONNREFUSED, ConnectRefused, BrokenBeforeSent, BrokenAfterSent},
		{syscall.EHOSTUNREACH, ConnectRefused, BrokenBeforeSent, BrokenAfterSent},
		{syscall.ECONNRESET, ConnectRefused, BrokenBeforeSent, BrokenAfterSent},
		{syscall.EPIPE, ConnectRefused, BrokenBeforeSent, BrokenAfterSent},
		{syscall.ETIMEDOUT, ConnectTimedOut, BrokenBeforeSent, BrokenAfterSent},
		{syscall.EMFILE, LocalShortage, BrokenBeforeSent, BrokenAfterSent},
		{syscall.ENFILE, LocalShortage, BrokenBeforeSent, BrokenAfterSent},
		{syscall.ENOBUFS, LocalShortage, BrokenBeforeSent, BrokenAfterSent},
		{syscall.ENOMEM, LocalShortage, BrokenBeforeSent, BrokenAfterSent},
		{syscall.EADDRNOTAVAIL, LocalShortage, BrokenBeforeSent, BrokenAfterSent},
		{syscall.ENETUNREACH, LocalShortage, BrokenBeforeSent, BrokenAfterSent},
		{os.ErrDeadlineExceeded, ConnectTimedOut, TimedOutBeforeSent, ResponseTimedOut},
		{io.EOF, ConnectRefused, ClientDisconnected, BrokenAfterSent},
	} {
		opError := func(call string) error {
			return &net.OpError{Op: call, Net: "tcp", Err: os.NewSyscallError(call, c.errno)}
		}
		if end := endOfDialError(opError("connect")); end != c.dial {
			t.Errorf("%v at connect is %v, want %v", c.errno, end, c.dial)
		}
		if end := endOfError(opError("write"), false); end != c.unsent {
			t.Errorf("%v before the last byte is %v, want %v", c.errno, end, c.unsent)
		}
		if end := endOfError(opError("read"), true); end != c.sent {
			t.Errorf("%v after the last byte is %v, want %v", c.errno, end, c.sent)
		}
	}
}
