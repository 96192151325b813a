package transport

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// testDeadline is a deadline that only a test that fails reaches.
func testDeadline() time.Time { return time.Now().Add(5 * time.Second) }

// startPeer listens on a free port and returns its address and what it accepts.
func startPeer(t *testing.T) (string, <-chan *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	accepted := make(chan *net.TCPConn, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c.(*net.TCPConn)
		}
	}()
	return l.Addr().String(), accepted
}

// connect returns a hold on a connection of the pool to the address.
func connect(t *testing.T, p *Pool, address string) *PooledConn {
	line := p.NewConn()
	if end := line.Connect(Peer{0, address}, testDeadline()); end != Open {
		t.Fatalf("no connection: %v", end)
	}
	return line
}

// readByte reads one byte, or fails with the connection.
func readByte(c *net.TCPConn) { c.Read(make([]byte, 1)) }

// inheritSharedListener returns a listener on a socket that others hold too, and their descriptor of it.
func inheritSharedListener(t *testing.T, most int) (*Listener, *os.File) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	held, err := inner.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { held.Close() })
	copied, err := syscall.Dup(int(held.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	l, err := Inherit(copied, most)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close(time.Now()); l.ResetAll(time.Second) })
	return l, held
}

// neverWithdrawn says of a message that it is still wanted.
func neverWithdrawn() bool { return false }
