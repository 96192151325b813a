package transport

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// A closed port, a server whose accept queue is full, a pool without room and a cancelled attempt give four ends, since
// the first two count against the server and the others must not.
func TestConnectTellsWhyThereIsNoConnection(t *testing.T) {
	address, _ := startPeer(t)
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	closed := l.Addr().String()
	l.Close()
	p := NewPool(1, time.Minute, 50*time.Millisecond)
	if end := p.NewConn().Connect(Peer{0, closed}, testDeadline()); end != ConnectRefused {
		t.Errorf("a closed port: %v", end)
	}
	// A listener that accepts nothing and whose queue is full lets no connection come up.
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	syscall.Listen(fd, 0)
	at, _ := syscall.Getsockname(fd)
	full := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: at.(*syscall.SockaddrInet4).Port}).String()
	end := Open
	many := NewPool(8, time.Minute, 50*time.Millisecond)
	for n := 0; n < 8 && end == Open; n++ {
		end = many.NewConn().Connect(Peer{0, full}, testDeadline())
	}
	if end != ConnectTimedOut {
		t.Errorf("a full queue: %v", end)
	}
	connect(t, p, address)
	if end := p.NewConn().Connect(Peer{0, address}, testDeadline()); end != LocalShortage {
		t.Errorf("the second of one connection: %v", end)
	}
	cut := p.NewConn()
	cut.Cancel()
	p.release()
	if end := cut.Connect(Peer{0, address}, testDeadline()); end != CancelledBeforeSent {
		t.Errorf("called off before it began: %v", end)
	}
}

// A server that breaks, stalls or is cancelled before the last byte of a request has begun nothing, and the request may
// be sent elsewhere; after it nobody can tell. The end has to say which.
func TestEndTellsWhetherTheLastByteWasHandedOver(t *testing.T) {
	address, accepted := startPeer(t)
	p := NewPool(16, time.Minute, time.Second)
	big := make([]byte, 32<<20) // more than the system's buffers take
	for _, c := range []struct {
		name    string
		message []byte
		until   time.Duration
		then    func(*PooledConn, *net.TCPConn)
		want    End
	}{
		{"resets before the last byte", big, time.Minute, func(_ *PooledConn, c *net.TCPConn) { c.SetLinger(0); c.Close() }, BrokenBeforeSent},
		{"reads nothing", big, 50 * time.Millisecond, func(*PooledConn, *net.TCPConn) {}, TimedOutBeforeSent},
		{"called off before the last byte", big, time.Minute, func(l *PooledConn, _ *net.TCPConn) { l.Cancel() }, CancelledBeforeSent},
		{"withdrawn before the last byte", big, time.Minute, func(l *PooledConn, _ *net.TCPConn) { l.CancelUnsent() }, CancelledBeforeSent},
		{"resets after it", []byte("x"), time.Minute, func(_ *PooledConn, c *net.TCPConn) { readByte(c); c.SetLinger(0); c.Close() }, BrokenAfterSent},
		{"ends after it", []byte("x"), time.Minute, func(_ *PooledConn, c *net.TCPConn) { readByte(c); c.Close() }, BrokenAfterSent},
		{"is silent", []byte("x"), 50 * time.Millisecond, func(*PooledConn, *net.TCPConn) {}, ResponseTimedOut},
		{"called off after it", []byte("x"), time.Minute, func(l *PooledConn, c *net.TCPConn) { readByte(c); l.Cancel() }, CancelledAfterSent},
	} {
		line := connect(t, p, address)
		other := <-accepted
		go c.then(line, other)
		until := time.Now().Add(c.until)
		end := line.Send(c.message, until)
		if end == Open {
			end = line.Fill(until)
		}
		if end != c.want {
			t.Errorf("%s: %v, want %v", c.name, end, c.want)
		}
		line.Release(false)
		other.Close()
	}
	if n := p.Count(); n != 0 {
		t.Errorf("%d connections are still counted", n)
	}
}

// A server closes a connection just as a request that may run once only goes out on it. While the last byte is held
// back the close is seen, the request has not run, and may go elsewhere.
func TestHandCarefullyFailsBeforeTheLastByteWhileItIsHeldBack(t *testing.T) {
	address, accepted := startPeer(t)
	p := NewPool(4, time.Minute, time.Second)
	for _, c := range []struct {
		look time.Duration
		then func(*PooledConn, *net.TCPConn)
		want End
	}{
		{time.Minute, func(_ *PooledConn, c *net.TCPConn) { readByte(c); c.SetLinger(0); c.Close() }, BrokenBeforeSent},
		{time.Minute, func(_ *PooledConn, c *net.TCPConn) { readByte(c); c.CloseWrite() }, BrokenBeforeSent},
		{time.Minute, func(_ *PooledConn, c *net.TCPConn) { c.Write([]byte("x")) }, Malformed},
		{time.Minute, func(l *PooledConn, c *net.TCPConn) { readByte(c); l.CancelUnsent() }, CancelledBeforeSent},
		{time.Millisecond, func(_ *PooledConn, c *net.TCPConn) { io.CopyN(io.Discard, c, 7); c.Close() }, BrokenAfterSent},
	} {
		p.holdback = c.look
		line := connect(t, p, address)
		other := <-accepted
		go c.then(line, other)
		end := line.SendHoldingLastByte([]byte("message"), testDeadline(), neverWithdrawn)
		if end == Open {
			end = line.Fill(testDeadline())
		}
		if end != c.want {
			t.Errorf("%v, want %v", end, c.want)
		}
		line.Release(false)
		other.Close()
	}
}

// A connection took long to dial, for a reason that is over. The last byte must not be held back for as long again.
func TestHoldbackIsBoundedAfterASlowDial(t *testing.T) {
	address, accepted := startPeer(t)
	line := connect(t, NewPool(4, time.Minute, time.Second), address)
	defer (<-accepted).Close()
	line.Conn.dialDuration = time.Hour
	if end := line.SendHoldingLastByte([]byte("ab"), time.Now().Add(time.Second), neverWithdrawn); end != Open {
		t.Errorf("it ends as %v", end)
	}
}

// An attempt is cancelled after it has given its connection back, and another uses that by now. The cancel must not
// close it.
func TestCutAfterDoneLeavesTheNextAttemptAlone(t *testing.T) {
	address, accepted := startPeer(t)
	p := NewPool(2, time.Minute, time.Second)
	p.minReuseIdle = 0
	first := connect(t, p, address)
	host := <-accepted
	first.Release(true)
	second := connect(t, p, address)
	first.Cancel()
	if end := second.Send([]byte("x"), testDeadline()); end != Open {
		t.Fatal(end)
	}
	host.Write([]byte("y"))
	if end := second.Fill(testDeadline()); end != Open || string(second.Unread()) != "y" {
		t.Fatal(end)
	}
}
