package transport

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// Over an upgrade one process has no room for a client. The client stays in the kernel, where the other process can
// accept it.
func TestSharedListenerAcceptsNoClientWithoutRoom(t *testing.T) {
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
	taken := false
	for end := testDeadline(); !taken && time.Now().Before(end); time.Sleep(time.Millisecond) {
		raw.Control(func(fd uintptr) {
			if n, _, err := syscall.Accept(int(fd)); err == nil { // Without waiting: the socket is in that mode.
				syscall.Close(n)
				taken = true
			}
		})
		if taken {
			return
		}
	}
	t.Error("the second client is in hand of a listener that has no room")
}
