package transport

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// A stop begins while one client takes up the limit, a second is accepted and waits for admission, and the rest are in
// the accept backlog. What all of them have written counts as received: each must be answered.
func TestStopServesClientsInTheAcceptBacklog(t *testing.T) {
	for _, isGraceful := range []bool{true, false} { // DrainConnections, StopAccepting and Close; or Close alone
		l, err := Listen("127.0.0.1:0", 1)
		if err != nil {
			t.Fatal(err)
		}
		gate := make(chan struct{})
		began := make(chan struct{}, 10)
		go l.Serve(func(c *Client) {
			for c.Fill(time.Time{}) == Open {
				c.BeginReply()
				c.Skip(len(c.Unread()))
				began <- struct{}{}
				<-gate
				c.Write([]byte("a"))
				c.EndReply()
			}
		})
		var clients []net.Conn
		for range 5 {
			c, err := net.Dial("tcp", l.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(testDeadline())
			c.Write([]byte("q"))
			clients = append(clients, c)
			if len(clients) == 1 {
				<-began // It takes up the limit.
			}
		}
		ended := make(chan bool)
		if isGraceful {
			l.DrainConnections()
			l.StopAccepting()
			go func() { ended <- l.Close(testDeadline()) }()
		} else {
			go func() { ended <- l.Close(testDeadline()) }()
			for isStopping := false; !isStopping; time.Sleep(time.Millisecond) {
				l.mu.Lock()
				for c := range l.clients {
					isStopping = isStopping || c.isClosing
				}
				l.mu.Unlock()
			}
		}
		close(gate)
		for n, c := range clients {
			if got, err := c.Read(make([]byte, 10)); got != 1 {
				t.Errorf("client %d received %d bytes (%v), want 1", n, got, err)
			}
		}
		if !<-ended {
			t.Error("Close reaches its deadline")
		}
		if c, err := net.Dial("tcp", l.Address()); err == nil {
			c.Close()
			t.Error("the address still accepts connections")
		}
	}
}

// A client that never ends takes up the limit, and others wait, when the deadline of a stop passes. The stop must end
// nevertheless.
func TestCloseEndsAtItsDeadlineAtTheClientLimit(t *testing.T) {
	l, err := Listen("127.0.0.1:0", 1)
	if err != nil {
		t.Fatal(err)
	}
	began, served, gate := make(chan struct{}, 10), make(chan struct{}), make(chan struct{})
	defer close(gate)
	go func() {
		l.Serve(func(c *Client) { c.BeginReply(); began <- struct{}{}; <-gate })
		close(served)
	}()
	for range 3 {
		c, err := net.Dial("tcp", l.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	<-began
	if l.Close(time.Now()) {
		t.Error("Close reports that all clients are closed")
	}
	l.ResetAll(50 * time.Millisecond)
	select {
	case <-served:
	case <-time.After(5 * time.Second):
		t.Error("Serve does not return")
	}
}

// Another holder of the socket switches off its non-blocking mode, so that an accept blocks in the kernel until the
// next client connects. A stop must not wait for that.
func TestStopAcceptingDoesNotWaitForABlockedAccept(t *testing.T) {
	l, held := inheritSharedListener(t, 4)
	served := make(chan bool, 4)
	go l.Serve(func(c *Client) { served <- true })
	held.Fd() // Switches to blocking mode, as passing it to a child process does.
	if !l.Unblock() || l.Unblock() {
		t.Fatal("Unblock does not detect blocking mode, or does not end it")
	}
	held.Fd()
	syscall.SetNonblock(int(held.Fd()), false)
	c, err := net.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	<-served // The listener now waits for the next client.
	time.Sleep(20 * time.Millisecond)
	began := time.Now()
	if l.StopAccepting(); time.Since(began) > time.Second {
		t.Errorf("StopAccepting took %v", time.Since(began))
	}
	if !l.Close(testDeadline()) || time.Since(began) > time.Second {
		t.Errorf("Close failed or took too long: %v since StopAccepting", time.Since(began))
	}
}
