package transport

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// A closed port, a server with a full accept backlog, a pool at its limit and a cancelled attempt must give four
// different ends, since the first two count against the server and the others must not.
func TestConnectTellsWhyThereIsNoConnection(t *testing.T) {
	address, _ := startPeer(t)
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	closed := l.Addr().String()
	l.Close()
	p := NewPool(1, time.Minute, 50*time.Millisecond)
	if end := p.NewConn().Connect(Peer{Server: 0, Address: closed}, testDeadline()); end != ConnectRefused {
		t.Errorf("a closed port: %v", end)
	}
	// No connection can be established to a listener that accepts nothing and whose backlog is full.
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	syscall.Listen(fd, 0)
	bound, _ := syscall.Getsockname(fd)
	full := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: bound.(*syscall.SockaddrInet4).Port}).String()
	end := Open
	fullPool := NewPool(8, time.Minute, 50*time.Millisecond)
	for n := 0; n < 8 && end == Open; n++ {
		end = fullPool.NewConn().Connect(Peer{Server: 0, Address: full}, testDeadline())
	}
	if end != ConnectTimedOut {
		t.Errorf("a full backlog: %v", end)
	}
	connect(t, p, address)
	if end := p.NewConn().Connect(Peer{Server: 0, Address: address}, testDeadline()); end != LocalShortage {
		t.Errorf("a second connection over a limit of one: %v", end)
	}
	cancelled := p.NewConn()
	cancelled.Cancel()
	p.release()
	if end := cancelled.Connect(Peer{Server: 0, Address: address}, testDeadline()); end != CancelledBeforeSent {
		t.Errorf("cancelled before Connect: %v", end)
	}
}

// An attempt whose connection breaks, stalls or is cancelled before the last byte of the request has not begun on the
// server, and the request may be sent elsewhere. After the last byte that is unknown. The End must tell which it is.
func TestEndTellsWhetherTheLastByteWasHandedOver(t *testing.T) {
	address, accepted := startPeer(t)
	p := NewPool(16, time.Minute, time.Second)
	big := make([]byte, 32<<20) // more than the kernel's socket buffers hold
	for _, c := range []struct {
		name         string
		message      []byte
		timeout      time.Duration
		serverAction func(*PooledConn, *net.TCPConn)
		want         End
	}{
		{"resets before the last byte", big, time.Minute, func(_ *PooledConn, c *net.TCPConn) { c.SetLinger(0); c.Close() }, BrokenBeforeSent},
		{"reads nothing", big, 50 * time.Millisecond, func(*PooledConn, *net.TCPConn) {}, TimedOutBeforeSent},
		{"Cancel before the last byte", big, time.Minute, func(pc *PooledConn, _ *net.TCPConn) { pc.Cancel() }, CancelledBeforeSent},
		{"CancelUnsent before the last byte", big, time.Minute, func(pc *PooledConn, _ *net.TCPConn) { pc.CancelUnsent() }, CancelledBeforeSent},
		{"resets after the last byte", []byte("x"), time.Minute, func(_ *PooledConn, c *net.TCPConn) { readByte(c); c.SetLinger(0); c.Close() }, BrokenAfterSent},
		{"closes after the last byte", []byte("x"), time.Minute, func(_ *PooledConn, c *net.TCPConn) { readByte(c); c.Close() }, BrokenAfterSent},
		{"sends no response", []byte("x"), 50 * time.Millisecond, func(*PooledConn, *net.TCPConn) {}, ResponseTimedOut},
		{"Cancel after the last byte", []byte("x"), time.Minute, func(pc *PooledConn, c *net.TCPConn) { readByte(c); pc.Cancel() }, CancelledAfterSent},
	} {
		conn := connect(t, p, address)
		server := <-accepted
		go c.serverAction(conn, server)
		deadline := time.Now().Add(c.timeout)
		end := conn.Send(c.message, deadline)
		if end == Open {
			end = conn.Fill(deadline)
		}
		if end != c.want {
			t.Errorf("%s: %v, want %v", c.name, end, c.want)
		}
		conn.Release(false)
		server.Close()
	}
	if n := p.Count(); n != 0 {
		t.Errorf("%d connections are counted after all were released", n)
	}
}

// A server closes a connection just as a request that must not run more than once is sent on it. The close must be seen
// while the last byte is held back: the request has then not run, and may be sent elsewhere.
func TestSendHoldingLastByteDetectsACloseBeforeTheLastByte(t *testing.T) {
	address, accepted := startPeer(t)
	p := NewPool(4, time.Minute, time.Second)
	for _, c := range []struct {
		holdback     time.Duration
		serverAction func(*PooledConn, *net.TCPConn)
		want         End
	}{
		{time.Minute, func(_ *PooledConn, c *net.TCPConn) { readByte(c); c.SetLinger(0); c.Close() }, BrokenBeforeSent},
		{time.Minute, func(_ *PooledConn, c *net.TCPConn) { readByte(c); c.CloseWrite() }, BrokenBeforeSent},
		{time.Minute, func(_ *PooledConn, c *net.TCPConn) { c.Write([]byte("x")) }, Malformed},
		{time.Minute, func(pc *PooledConn, c *net.TCPConn) { readByte(c); pc.CancelUnsent() }, CancelledBeforeSent},
		{time.Millisecond, func(_ *PooledConn, c *net.TCPConn) { io.CopyN(io.Discard, c, 7); c.Close() }, BrokenAfterSent},
	} {
		p.holdback = c.holdback
		conn := connect(t, p, address)
		server := <-accepted
		go c.serverAction(conn, server)
		end := conn.SendHoldingLastByte([]byte("message"), testDeadline(), neverWithdrawn)
		if end == Open {
			end = conn.Fill(testDeadline())
		}
		if end != c.want {
			t.Errorf("%v, want %v", end, c.want)
		}
		conn.Release(false)
		server.Close()
	}
}

// A connection took long to dial for a temporary reason. The last byte must not be held back for that long.
func TestHoldbackIsBoundedAfterASlowDial(t *testing.T) {
	address, accepted := startPeer(t)
	conn := connect(t, NewPool(4, time.Minute, time.Second), address)
	defer (<-accepted).Close()
	conn.Conn.dialDuration = time.Hour
	if end := conn.SendHoldingLastByte([]byte("ab"), time.Now().Add(time.Second), neverWithdrawn); end != Open {
		t.Errorf("SendHoldingLastByte: %v, want %v", end, Open)
	}
}

// An attempt is cancelled after it has released its connection, which another attempt uses by then. The cancel must not
// close it.
func TestCancelAfterReleaseDoesNotAffectTheNextAttempt(t *testing.T) {
	address, accepted := startPeer(t)
	p := NewPool(2, time.Minute, time.Second)
	p.minReuseIdle = 0
	first := connect(t, p, address)
	server := <-accepted
	first.Release(true)
	second := connect(t, p, address)
	first.Cancel()
	if end := second.Send([]byte("x"), testDeadline()); end != Open {
		t.Fatal(end)
	}
	server.Write([]byte("y"))
	if end := second.Fill(testDeadline()); end != Open || string(second.Unread()) != "y" {
		t.Fatal(end)
	}
}

// leavingConn is a connection whose client leaves while a write is under way: the server has its bytes already.
type leavingConn struct {
	*net.TCPConn
	leave func(written []byte)
}

// Write implements net.Conn.
func (c leavingConn) Write(message []byte) (int, error) {
	n, err := c.TCPConn.Write(message)
	c.leave(message)
	return n, err
}

// A client leaves between the moment in which the server has the last byte of its booking and the end of the write: the booking
// runs, and its result was lost, as the attempt was cancelled for not being sent.
func TestCancelUnsentSparesAnAttemptWhoseLastByteIsBeingWritten(t *testing.T) {
	address, accepted := startPeer(t)
	conn := connect(t, NewPool(4, time.Minute, time.Second), address)
	server := <-accepted
	defer server.Close()
	conn.Conn.Conn = leavingConn{conn.Conn.Conn.(*net.TCPConn), func(written []byte) {
		if string(written) == "b" {
			conn.CancelUnsent()
		}
	}}
	if end := conn.SendHoldingLastByte([]byte("ab"), testDeadline(), neverWithdrawn); end != Open {
		t.Errorf("SendHoldingLastByte: %v, want %v", end, Open)
	}
	server.Write([]byte("y"))
	if end := conn.Fill(testDeadline()); end != Open || string(conn.Unread()) != "y" {
		t.Errorf("the response is read with %v, want %v", end, Open)
	}
}
