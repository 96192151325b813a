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

// slowReadingServer returns a server with a small receive buffer, which accepts one connection and starts to read after a
// wait. On the channel it sends the timeout that the command states and when the command's last byte arrived.
func slowReadingServer(t *testing.T, wait time.Duration, size int) (address string, received <-chan receivedCommand) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
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
		completeAt := time.Now()
		ms, _ := strconv.Atoi(regexp.MustCompile(`d=(\d+)`).FindStringSubmatch(string(text[:200]))[1])
		out <- receivedCommand{time.Duration(ms) * time.Millisecond, completeAt}
		io.WriteString(c, fakes.ValueReply("v"))
	}()
	return l.Addr().String(), out
}

type receivedCommand struct {
	statedTimeout time.Duration
	completeAt    time.Time
}

// A server that is told more time than its client has left does work whose result nobody waits for. The stated timeout is
// at most what remains when the last byte arrives, also if writing a large value is slow.
func TestLargeWriteStatesTimeLeftAtItsLastByte(t *testing.T) {
	const deadline = 2 * time.Second
	value := strings.Repeat("v", 4<<20)
	command := fakes.EncodeCommand("C.SET", "k", "1", "c=report,t=acme,k=1,d=2000", value)
	address, received := slowReadingServer(t, 600*time.Millisecond, len(command)-1) // The stated timeout may be one digit shorter.
	b := newBalancerBefore(t, address, nil)
	balancerAddress := serveClients(t, b, func(l *transport.Listener) { l.Budget = transport.NewBudget(64 << 20) })
	c := dial(t, balancerAddress)
	io.WriteString(c, command)
	sent := time.Now()
	got := receive(t, received, "the command")
	if remaining := deadline - got.completeAt.Sub(sent); got.statedTimeout > remaining+150*time.Millisecond {
		t.Errorf("stated timeout %v, but only %v remain when the last byte arrives", got.statedTimeout, remaining)
	}
}
