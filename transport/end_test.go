package transport

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
)

// A system call fails at connect, before or after the last byte of a request was handed over. The end tells where nothing
// was begun, where nobody can tell, and where the server is not at fault.
func TestSystemErrorsMapToEnds(t *testing.T) {
	for _, c := range []struct {
		errno              error
		dial, unsent, sent End // at connect; before and after the last byte was handed over
	}{
		{syscall.ECONNREFUSED, Refused, CutShort, Broken},
		{syscall.EHOSTUNREACH, Refused, CutShort, Broken},
		{syscall.ECONNRESET, Refused, CutShort, Broken},
		{syscall.EPIPE, Refused, CutShort, Broken},
		{syscall.ETIMEDOUT, NeverUp, CutShort, Broken},
		{syscall.EMFILE, NoRoom, CutShort, Broken},
		{syscall.ENFILE, NoRoom, CutShort, Broken},
		{syscall.ENOBUFS, NoRoom, CutShort, Broken},
		{syscall.ENOMEM, NoRoom, CutShort, Broken},
		{syscall.EADDRNOTAVAIL, NoRoom, CutShort, Broken},
		{syscall.ENETUNREACH, NoRoom, CutShort, Broken},
		{os.ErrDeadlineExceeded, NeverUp, Stuck, Silent},
		{io.EOF, Refused, Left, Broken},
	} {
		of := func(call string) error {
			return &net.OpError{Op: call, Net: "tcp", Err: os.NewSyscallError(call, c.errno)}
		}
		if end := endOfDialError(of("connect")); end != c.dial {
			t.Errorf("%v at connect is %v, want %v", c.errno, end, c.dial)
		}
		if end := endOfError(of("write"), false); end != c.unsent {
			t.Errorf("%v before the last byte is %v, want %v", c.errno, end, c.unsent)
		}
		if end := endOfError(of("read"), true); end != c.sent {
			t.Errorf("%v after the last byte is %v, want %v", c.errno, end, c.sent)
		}
	}
}
