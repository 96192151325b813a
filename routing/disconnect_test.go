package routing

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"hollylever/fakes"
	"hollylever/transport"
)

// The tests here put real clients before a balancer and real servers behind it, and have a client disconnect while
// its request waits.

// clientDisconnects are the ways in which a client disconnects.
var clientDisconnects = []struct {
	name string
	goes func(c *net.TCPConn)
}{
	{"close", func(c *net.TCPConn) { c.Close() }},
	{"reset", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
	{"ends sending", func(c *net.TCPConn) { c.CloseWrite() }},
	{"amid its next command", func(c *net.TCPConn) { io.WriteString(c, getCommand("next", "c=read,d=20000")[:30]); c.Close() }},
	{"after noise", func(c *net.TCPConn) { io.WriteString(c, "noise\r\n"); c.Close() }},
	{"after noise, with a reset", func(c *net.TCPConn) { io.WriteString(c, "noise\r\n"); c.SetLinger(0); c.Close() }},
	{"after a burst", func(c *net.TCPConn) { writeBurst(c, 0); c.Close() }},
	{"after a burst beyond the buffer", func(c *net.TCPConn) { writeBurst(c, transport.MaxBuffer+16<<10); c.Close() }},
	{"after a burst beyond the buffer, with a reset", func(c *net.TCPConn) {
		writeBurst(c, 4*transport.MaxBuffer)
		c.SetLinger(0)
		c.Close()
	}},
	{"behind all that the kernel holds", func(c *net.TCPConn) { writeFlood(c); c.Close() }},
	{"behind all that the kernel holds, with a reset", func(c *net.TCPConn) { writeFlood(c); c.SetLinger(0); c.Close() }},
	{"behind noise, as much as the kernel holds", func(c *net.TCPConn) { io.WriteString(c, "noise\r\n"); writeFlood(c); c.Close() }},
}

// writeBurst writes so many bytes of commands, and more than maxPipelined.
func writeBurst(c *net.TCPConn, bytes int) {
	var all strings.Builder
	for n := 0; n < 2*maxPipelined || all.Len() < bytes; n++ {
		all.WriteString(getCommand(fmt.Sprint("burst-", n), "c=read,d=20000"))
	}
	io.WriteString(c, all.String())
}

// waitingStates are the states in which a request has no attempt under way. Each case brings a request to wait, and
// reports once it does.
var waitingStates = []struct {
	name   string
	change map[string]any
	host   func(t *testing.T) (address string, waiting func(b *Balancer) bool)
	asks   string
}{
	{"in backoff", nil, func(t *testing.T) (string, func(*Balancer) bool) {
		h := scriptedServer(t)
		go func() {
			for {
				select {
				case c := <-h.Came:
					c.Say("-BUSY\r\n")
				case <-t.Context().Done():
					return
				}
			}
		}()
		return h.Address, func(b *Balancer) bool { return b.counted("trip_turned_away") > 0 }
	}, getCommand("1", "c=read,t=acme,d=20000")},
	{"in a key's queue", map[string]any{"workloads.0.keepOrder": true}, func(t *testing.T) (string, func(*Balancer) bool) {
		h := scriptedServer(t) // It answers nothing: the first request stays in flight.
		return h.Address, func(b *Balancer) bool { return len(h.Came) > 0 && b.requestsHeld() > 1 }
	}, getCommand("1", "c=read,t=acme,d=20000") + getCommand("2", "c=read,t=acme,d=20000")},
	{"for a connection to come up", map[string]any{"allowed.dialTimeout": 20000.0}, func(t *testing.T) (string, func(*Balancer) bool) {
		address, _ := unacceptingServer(t)
		return address, func(b *Balancer) bool { return b.counted("trips") > 0 }
	}, getCommand("1", "c=read,t=acme,d=20000")},
	{"for its retry", nil, func(t *testing.T) (string, func(*Balancer) bool) {
		h := scriptedServer(t)
		go func() {
			for {
				select {
				case c := <-h.Came:
					c.SetLinger(0)
					c.Close()
				case <-t.Context().Done():
					return
				}
			}
		}()
		return h.Address, func(b *Balancer) bool { return b.counted("trip_broken") > 0 }
	}, getCommand("1", "c=read,t=acme,d=20000")},
}

// A request whose client has gone holds a slot and memory, and is sent later for nobody. It ends with its client,
// whatever it waits for.
func TestWaitingRequestEndsWithItsClient(t *testing.T) {
	for _, w := range waitingStates {
		for _, l := range clientDisconnects {
			t.Run(w.name+", "+l.name, func(t *testing.T) {
				t.Parallel()
				at, waiting := w.host(t)
				b := newBalancerBefore(t, at, w.change)
				c := dial(t, serveClients(t, b))
				io.WriteString(c, w.asks)
				until(t, "the wait", func() bool { return waiting(b) })
				done := make(chan struct{})
				go func() { l.goes(c); close(done) }()
				select {
				case <-done:
				case <-time.After(slowEventTimeout): // What it writes before it goes is not read.
				}
				until(t, "the end of what the client asked for", func() bool { return b.requestsHeld() == 0 })
				c.Close()
				<-done
			})
		}
	}
}

// An answer has no ID: a client that got the answer to its second command first would take it for the first's. A
// client that ends its sending may read on. What it reads is the answer to the command that is next in order, and
// where that has none, nothing.
func TestAnswersKeepCommandOrderAfterHalfClose(t *testing.T) {
	h := scriptedServer(t)
	b := newBalancerBefore(t, h.Address, nil)
	c := dial(t, serveClients(t, b))
	io.WriteString(c, getCommand("1", "c=read,t=acme,d=20000")+getCommand("2", "c=read,t=acme,d=20000"))
	for range 2 {
		if came := <-h.Came; came.Words[2] == "2" {
			came.Say(fakes.Settled("of the second"))
		}
	}
	until(t, "the second answer", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.counters.totalFor("settled", 0) == 1
	})
	c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(eventTimeout))
	if text, err := io.ReadAll(c); len(text) > 0 {
		t.Fatalf("the first command is answered %q, %v", text, err)
	}
}

// A client that stops halfway through a command is not waited for any longer. That must not cancel the whole commands
// before it: they get their answers first.
func TestPartialCommandKeepsEarlierAnswers(t *testing.T) {
	for _, c := range []struct {
		name         string
		first, usual time.Duration
		slow         bool // what the first command counts for is told only after the second has begun to come
	}{
		{"of a client's first", 100 * time.Millisecond, 100 * time.Millisecond, true},
		{"of a usual client", time.Hour, 100 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := scriptedServer(t)
			b := newBalancerBefore(t, h.Address, nil)
			client := dial(t, serveClients(t, b, func(l *transport.Listener) { l.FirstCommandTimeout, l.CommandTimeout = c.first, c.usual }))
			if c.slow {
				b.mu.Lock()
			}
			first, half := getCommand("1", "c=read,t=acme,d=20000"), getCommand("2", "c=read,t=acme,d=20000")[:30]
			var came fakes.Command
			if c.slow {
				io.WriteString(client, first+half)
				time.AfterFunc(c.first/2, b.mu.Unlock)
				came = <-h.Came
			} else {
				io.WriteString(client, first)
				came = <-h.Came
				io.WriteString(client, half)
			}
			select {
			case <-came.Ended:
				t.Fatal("it is cancelled")
			case <-time.After(2 * c.usual): // The half one's time is over.
			}
			came.Say(fakes.Settled("v"))
			client.SetReadDeadline(time.Now().Add(eventTimeout))
			if text, err := io.ReadAll(client); err != nil || string(text) != "$1\r\nv\r\n" {
				t.Fatalf("it is answered %q, %v", text, err)
			}
		})
	}
}

// A new client has less time for a command than a usual one. A command that has begun to come gets a usual client's
// time as soon as the one before it has shown to be good, or a good client on a slow network is cut.
func TestPartialCommandGetsUsualTimeoutAfterGoodCommand(t *testing.T) {
	h := scriptedServer(t)
	b := newBalancerBefore(t, h.Address, nil)
	client := dial(t, serveClients(t, b, func(l *transport.Listener) { l.FirstCommandTimeout, l.CommandTimeout = 100*time.Millisecond, time.Hour }))
	second := getCommand("2", "c=read,t=acme,d=20000")
	b.mu.Lock() // Good is told under it: the second one is measured before.
	io.WriteString(client, getCommand("1", "c=read,t=acme,d=20000")+second[:30])
	time.AfterFunc(50*time.Millisecond, b.mu.Unlock)
	(<-h.Came).Say(fakes.Settled("v"))
	<-time.After(200 * time.Millisecond) // A new client's time is over.
	io.WriteString(client, second[30:])
	select {
	case came := <-h.Came:
		came.Say(fakes.Settled("w"))
	case <-time.After(eventTimeout):
		t.Fatal("the second is not accepted")
	}
}
