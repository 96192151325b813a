package transport

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// During an upgrade one process is at its client limit. A new connection must stay in the accept backlog, where the
// other process can accept it.
func TestSharedListenerAcceptsNoClientAtItsLimit(t *testing.T) {
	l, _ := inheritSharedListener(t, 1)
	busy := make(chan *Client, 4)
	go l.Serve(func(c *Client) { c.BeginReply(); busy <- c; c.Read(make([]byte, 1)) })
	for range 2 {
		c, err := net.Dial("tcp", l.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	<-busy
	raw, _ := l.listener.(*net.TCPListener).SyscallConn()
	accepted := false
	for end := testDeadline(); !accepted && time.Now().Before(end); time.Sleep(time.Millisecond) {
		raw.Control(func(fd uintptr) {
			if n, _, err := syscall.Accept(int(fd)); err == nil { // Does not block: the socket is in non-blocking mode.
				syscall.Close(n)
				accepted = true
			}
		})
		if accepted {
			return
		}
	}
	t.Error("the second client was accepted by a listener that is at its limit")
}
