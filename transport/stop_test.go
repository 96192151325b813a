package transport

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// A stop begins while there is room for one client, a second is accepted and waits for room, and the rest wait in the
// kernel. What all of them have written counts as received: each is answered.
func TestStopServesClientsTheKernelHasConnected(t *testing.T) {
	for _, last := range []bool{true, false} { // how the stop is made: Leave and Close, or Close alone
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
				<-began // It takes all the room.
			}
		}
		ended := make(chan bool)
		if last {
			l.DrainConnections()
			l.StopAccepting()
			go func() { ended <- l.Close(testDeadline()) }()
		} else {
			go func() { ended <- l.Close(testDeadline()) }()
			for stops := false; !stops; time.Sleep(time.Millisecond) {
				l.mu.Lock()
				for c := range l.clients {
					stops = stops || c.isClosing
				}
				l.mu.Unlock()
			}
		}
		close(gate)
		for n, c := range clients {
			if got, err := c.Read(make([]byte, 10)); got != 1 {
				t.Errorf("client %d is answered %d bytes, %v", n, got, err)
			}
		}
		if !<-ended {
			t.Error("the stop takes all of its time")
		}
		if c, err := net.Dial("tcp", l.Address()); err == nil {
			c.Close()
			t.Error("it still listens")
		}
	}
}

// A client that never ends takes all the room, and others wait, as the deadline of a stop passes: the stop ends all the
// same.
func TestCloseEndsAtItsDeadlineWithoutRoom(t *testing.T) {
	l, err := Listen("127.0.0.1:0", 1)
	if err != nil {
		t.Fatal(err)
	}
	began, over, gate := make(chan struct{}, 10), make(chan struct{}), make(chan struct{})
	defer close(gate)
	go func() {
		l.Serve(func(c *Client) { c.BeginReply(); began <- struct{}{}; <-gate })
		close(over)
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
		t.Error("all have ended")
	}
	l.ResetAll(50 * time.Millisecond)
	select {
	case <-over:
	case <-time.After(5 * time.Second):
		t.Error("it accepts for ever")
	}
}

// Whoever holds the socket too ends its non-blocking mode, so that an accept blocks in the kernel until the next
// client. A stop must not wait for that.
func TestLeaveWaitsForNoBlockedAccept(t *testing.T) {
	l, held := inheritSharedListener(t, 4)
	served := make(chan bool, 4)
	go l.Serve(func(c *Client) { served <- true })
	held.Fd() // As starting a process with it does.
	if !l.Unblock() || l.Unblock() {
		t.Fatal("the mode in which accepts wait is not seen, or not ended")
	}
	held.Fd()
	syscall.SetNonblock(int(held.Fd()), false)
	c, err := net.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	<-served // The next accept waits in the kernel.
	time.Sleep(20 * time.Millisecond)
	began := time.Now()
	if l.StopAccepting(); time.Since(began) > time.Second {
		t.Errorf("it took %v to leave", time.Since(began))
	}
	if !l.Close(testDeadline()) || time.Since(began) > time.Second {
		t.Errorf("the accept is still waited for after %v", time.Since(began))
	}
}
