package transport

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// All clients are busy as a new one connects. It waits until one of them has its reply, and none is cut off.
func TestNewClientWaitsForRoom(t *testing.T) {
	l, err := Listen("127.0.0.1:0", 1)
	if err != nil {
		t.Fatal(err)
	}
	begun, release := make(chan struct{}, 2), make(chan struct{})
	go l.Serve(func(c *Client) {
		c.BeginReply()
		begun <- struct{}{}
		<-release
		c.Send([]byte("x"), testDeadline())
		c.EndReply()
		for c.Fill(testDeadline()) == Open {
		}
	})
	first, _ := net.Dial("tcp", l.Address())
	<-begun
	second, _ := net.Dial("tcp", l.Address())
	second.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if _, err := second.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the second of one client: %v", err)
	}
	close(release)
	for _, c := range []net.Conn{first, second} {
		c.SetReadDeadline(testDeadline())
		if n, err := c.Read(make([]byte, 1)); n != 1 {
			t.Fatal(err)
		}
	}
	first.Close()
	second.Close()
	if !l.Close(testDeadline()) {
		t.Fatal("it does not end")
	}
}

// More clients connect than there is room for. Those without a valid command are closed first, then those with one, and
// usual ones last.
func TestUsualClientsAreClosedLast(t *testing.T) {
	l, err := Listen("127.0.0.1:0", 4)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan string, 100)
	ready := make(chan *Client, 100)
	go l.Serve(func(c *Client) {
		for c.Fill(time.Time{}) == Open {
			for _, letter := range c.Unread() {
				c.BeginReply()
				if letter == 'g' {
					c.CountValidCommand()
				}
				c.EndReply()
			}
			c.Skip(len(c.Unread()))
			ready <- c
		}
		ended <- c.RemoteAddr().String()
	})
	dial := func(text string) net.Conn {
		c, err := net.Dial("tcp", l.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		if _, err := io.WriteString(c, text); text != "" && err == nil {
			<-ready
		}
		return c
	}
	usual := dial("gg")
	once := dial("g")
	silent, noisy := dial("x"), dial("xxxxx")
	l.mu.Lock()
	for c := range l.clients {
		c.connectedAt = c.connectedAt.Add(-firstCommandGrace)
	}
	l.mu.Unlock()
	for i, first := range []net.Conn{silent, noisy, once} {
		dial("gg")
		if went := <-ended; went != first.LocalAddr().String() {
			t.Fatalf("%d: %s went, not %s", i, went, first.LocalAddr())
		}
	}
	dial("gg")
	if went := <-ended; went != usual.LocalAddr().String() {
		t.Fatal("with usual clients only, the one idle longest does not go")
	}
	l.mu.Lock()
	n := 0
	for c := range l.clients {
		if n++; n < 4 {
			c.idleSince = c.idleSince.Add(-establishedIdleTimeout)
		}
	}
	l.mu.Unlock()
	l.Sweep()
	for range 3 {
		<-ended
	}
	if l.Sweep(); len(ended) > 0 || !l.Close(testDeadline()) {
		t.Fatal("it does not end, or a client went too early")
	}
}

// Room is short and held by clients that sent one command and stayed. They are closed before one that has just
// connected.
func TestNewClientHasTimeForItsFirstCommand(t *testing.T) {
	l, err := Listen("127.0.0.1:0", 2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close(time.Now()); l.ResetAll(time.Second) })
	served, ended := make(chan *Client, 10), make(chan string, 10)
	go l.Serve(func(c *Client) {
		served <- c
		for c.Fill(time.Time{}) == Open {
			c.Skip(len(c.Unread()))
		}
		ended <- c.RemoteAddr().String()
	})
	var local []string
	dial := func() *Client {
		c, err := net.Dial("tcp", l.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		local = append(local, c.LocalAddr().String())
		return <-served
	}
	dial().CountValidCommand()
	dial().CountValidCommand()
	for n := range 2 { // Two new ones: those that asked once make room, the first new one does not.
		if dial(); <-ended != local[n] {
			t.Fatal("a client that has just come is closed")
		}
	}
}

// Clients that may only hold so many connections keep them idle after one command. With a quarter of the room taken
// they are closed soon, so that the others can connect.
func TestClientsWithOneCommandAreClosedSoonerInACrowd(t *testing.T) {
	l := &Listener{limit: 8, clients: map[*Client]bool{}}
	for n := range 3 {
		c := &Client{listener: l, validCommands: 1 + n/2}
		l.clients[c] = true
		if want := []time.Duration{firstCommandIdleTimeout, firstCommandIdleTimeout, establishedIdleTimeout}[n]; c.idleTimeout() != want {
			t.Errorf("%d clients: kept for %v", n+1, c.idleTimeout())
		}
	}
	if c := (&Client{listener: l, validCommands: 1}); c.idleTimeout() != pressureIdleTimeout {
		t.Errorf("in a crowd it is kept for %v", c.idleTimeout())
	}
}

// A client was asked to close amid a command, and let complete it while there was room. Once there is none it is
// closed, and new clients do not wait for it.
func TestPartialCommandHoldsUpNoNewClient(t *testing.T) {
	l, err := Listen("127.0.0.1:0", 2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close(time.Now()); l.ResetAll(time.Second) })
	come := make(chan *Client, 10)
	go l.Serve(func(c *Client) {
		for c.Fill(time.Time{}) == Open {
			come <- c
		}
	})
	half, _ := net.Dial("tcp", l.Address())
	half.Write([]byte("h"))
	c := <-come
	for waits := false; !waits; { // Until its reader waits for the rest.
		l.mu.Lock()
		waits = c.hasPartialCommand
		l.mu.Unlock()
	}
	l.mu.Lock()
	c.requestClose()
	l.mu.Unlock()
	for range 5 {
		other, _ := net.Dial("tcp", l.Address())
		defer other.Close()
		other.Write([]byte("x"))
		select {
		case <-come:
		case <-time.After(time.Until(testDeadline())):
			t.Fatal("a new client waits for one that does not go")
		}
	}
}
