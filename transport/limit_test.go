package transport

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// All clients are busy when a new one connects. It must wait until one of them has its reply, and none may lose its
// connection before its reply.
func TestNewClientWaitsForRoom(t *testing.T) {
	l, err := Listen("127.0.0.1:0", 1)
	if err != nil {
		t.Fatal(err)
	}
	started, release := make(chan struct{}, 2), make(chan struct{})
	go l.Serve(func(c *Client) {
		c.BeginReply()
		started <- struct{}{}
		<-release
		c.Send([]byte("x"), testDeadline())
		c.EndReply()
		for c.Fill(testDeadline()) == Open {
		}
	})
	first, _ := net.Dial("tcp", l.Address())
	<-started
	second, _ := net.Dial("tcp", l.Address())
	second.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if _, err := second.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("a second client over a limit of one: %v, want a read timeout", err)
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
		t.Fatal("Close does not complete")
	}
}

// More clients connect than the limit allows. Those without a valid command are closed first, then those with one, and
// established ones last.
func TestEstablishedClientsAreClosedLast(t *testing.T) {
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
	established := dial("gg")
	once := dial("g")
	silent, noisy := dial("x"), dial("xxxxx")
	l.mu.Lock()
	for c := range l.clients {
		c.connectedAt = c.connectedAt.Add(-firstCommandGrace)
	}
	l.mu.Unlock()
	for i, first := range []net.Conn{silent, noisy, once} {
		dial("gg")
		if closed := <-ended; closed != first.LocalAddr().String() {
			t.Fatalf("eviction %d: %s was closed, want %s", i, closed, first.LocalAddr())
		}
	}
	dial("gg")
	if closed := <-ended; closed != established.LocalAddr().String() {
		t.Fatal("among established clients only, the one idle longest is not closed")
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
		t.Fatal("Close does not complete, or a client was closed before its idle timeout")
	}
}

// The limit is reached by clients that sent one command and stayed connected. They must be closed before a client that
// has just connected.
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
	for n := range 2 { // The two older clients are evicted, and the first of the new ones is not.
		if dial(); <-ended != local[n] {
			t.Fatal("a client that has just connected is closed")
		}
	}
}

// Clients that may hold only a limited number of connections keep these idle after one command. Once more than a
// quarter of the limit is in use, such connections are closed sooner, so that others can be opened.
func TestClientsWithOneCommandAreClosedSoonerUnderPressure(t *testing.T) {
	l := &Listener{limit: 8, clients: map[*Client]bool{}}
	for n := range 3 {
		c := &Client{listener: l, validCommands: 1 + n/2}
		l.clients[c] = true
		if want := []time.Duration{firstCommandIdleTimeout, firstCommandIdleTimeout, establishedIdleTimeout}[n]; c.idleTimeout() != want {
			t.Errorf("%d clients: idle timeout %v, want %v", n+1, c.idleTimeout(), want)
		}
	}
	if c := (&Client{listener: l, validCommands: 1}); c.idleTimeout() != pressureIdleTimeout {
		t.Errorf("under pressure: idle timeout %v, want %v", c.idleTimeout(), pressureIdleTimeout)
	}
}

// A client is marked as closing in the middle of a command, and allowed to complete it while there is spare capacity.
// Once there is none it must be closed, so that new clients don't wait for it.
func TestPartialCommandDelaysNoNewClient(t *testing.T) {
	l, err := Listen("127.0.0.1:0", 2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close(time.Now()); l.ResetAll(time.Second) })
	filled := make(chan *Client, 10)
	go l.Serve(func(c *Client) {
		for c.Fill(time.Time{}) == Open {
			filled <- c
		}
	})
	partial, _ := net.Dial("tcp", l.Address())
	partial.Write([]byte("h"))
	c := <-filled
	for isReading := false; !isReading; { // Until its reader waits for the rest of the command.
		l.mu.Lock()
		isReading = c.hasPartialCommand
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
		case <-filled:
		case <-time.After(time.Until(testDeadline())):
			t.Fatal("a new client waits for one with a partial command, which is not closed")
		}
	}
}
