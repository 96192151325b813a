package routing

import (
	"context"
	"io"
	"net"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"hollylever/fakes"
	"hollylever/transport"
)

// slowReadingServer has a small buffer and begins to read its one connection some time after that came. It returns
// the timeout that the command states and when its last byte came.
func slowReadingServer(t *testing.T, wait time.Duration, size int) (address string, came <-chan receivedCommand) {
	t.Helper()
	small := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	l, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	out := make(chan receivedCommand, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		time.Sleep(wait)
		text := make([]byte, size)
		if _, err := io.ReadFull(c, text); err != nil {
			return
		}
		whole := time.Now()
		ms, _ := strconv.Atoi(regexp.MustCompile(`d=(\d+)`).FindStringSubmatch(string(text[:200]))[1])
		out <- receivedCommand{time.Duration(ms) * time.Millisecond, whole}
		io.WriteString(c, fakes.Settled("v"))
	}()
	return l.Addr().String(), out
}

type receivedCommand struct {
	statedTimeout time.Duration
	completeAt    time.Time
}

// A server that is told more time than its client has left works for nobody. It is told at most what is left as the
// last byte comes, also where the write of a large value is held up.
func TestLargeWriteStatesTimeLeftAtItsLastByte(t *testing.T) {
	const deadline = 2 * time.Second
	value := strings.Repeat("v", 4<<20)
	command := fakes.Words("C.SET", "k", "1", "c=report,t=acme,k=1,d=2000", value)
	address, came := slowReadingServer(t, 600*time.Millisecond, len(command)-1) // The stated time may have a digit less.
	b := newBalancerBefore(t, address, nil)
	at := serveClients(t, b, func(l *transport.Listener) { l.Budget = transport.NewBudget(64 << 20) })
	c := dial(t, at)
	io.WriteString(c, command)
	sent := time.Now()
	got := receive(t, came, "the command")
	if left := deadline - got.completeAt.Sub(sent); got.statedTimeout > left+150*time.Millisecond {
		t.Errorf("%v are stated, %v are left", got.statedTimeout, left)
	}
}
