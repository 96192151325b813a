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

// The tests in this file connect real clients to a balancer with real servers, and have a client disconnect while its
// request waits.

// clientDisconnects are the ways in which a client disconnects.
var clientDisconnects = []struct {
	name       string
	disconnect func(c *net.TCPConn)
}{
	{"close", func(c *net.TCPConn) { c.Close() }},
	{"reset", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
	{"half-close", func(c *net.TCPConn) { c.CloseWrite() }},
	{"within its next command", func(c *net.TCPConn) { io.WriteString(c, getCommand("next", "c=read,d=20000")[:30]); c.Close() }},
	{"after garbage", func(c *net.TCPConn) { io.WriteString(c, "noise\r\n"); c.Close() }},
	{"after garbage, with a reset", func(c *net.TCPConn) { io.WriteString(c, "noise\r\n"); c.SetLinger(0); c.Close() }},
	{"after a burst", func(c *net.TCPConn) { writeBurst(c, 0); c.Close() }},
	{"after a burst beyond the buffer", func(c *net.TCPConn) { writeBurst(c, transport.MaxBuffer+16<<10); c.Close() }},
	{"after a burst beyond the buffer, with a reset", func(c *net.TCPConn) {
		writeBurst(c, 4*transport.MaxBuffer)
		c.SetLinger(0)
		c.Close()
	}},
	{"after filling the kernel's buffers", func(c *net.TCPConn) { writeFlood(c); c.Close() }},
	{"after filling the kernel's buffers, with a reset", func(c *net.TCPConn) { writeFlood(c); c.SetLinger(0); c.Close() }},
	{"after garbage and filling the kernel's buffers", func(c *net.TCPConn) { io.WriteString(c, "noise\r\n"); writeFlood(c); c.Close() }},
}

// writeBurst writes at least minBytes of commands, and more commands than maxPipelined.
func writeBurst(c *net.TCPConn, minBytes int) {
	var commands strings.Builder
	for n := 0; n < 2*maxPipelined || commands.Len() < minBytes; n++ {
		commands.WriteString(getCommand(fmt.Sprint("burst-", n), "c=read,d=20000"))
	}
	io.WriteString(c, commands.String())
}

// waitingStates are the states in which a request waits without an attempt that was sent. Each case brings a request into
// its state and reports once it is there.
var waitingStates = []struct {
	name     string
	settings map[string]any
	server   func(t *testing.T) (address string, waiting func(b *Balancer) bool)
	commands string
}{
	{"in backoff", nil, func(t *testing.T) (string, func(*Balancer) bool) {
		h := scriptedServer(t)
		go func() {
			for {
				select {
				case c := <-h.Commands:
					c.Reply("-BUSY\r\n")
				case <-t.Context().Done():
					return
				}
			}
		}()
		return h.Address, func(b *Balancer) bool { return b.counted("trip_turned_away") > 0 }
	}, getCommand("1", "c=read,t=acme,d=20000")},
	{"in a key's queue", map[string]any{"workloads.0.keepOrder": true}, func(t *testing.T) (string, func(*Balancer) bool) {
		h := scriptedServer(t) // Sends no replies, so the first request stays in flight.
		return h.Address, func(b *Balancer) bool { return len(h.Commands) > 0 && b.requestsHeld() > 1 }
	}, getCommand("1", "c=read,t=acme,d=20000") + getCommand("2", "c=read,t=acme,d=20000")},
	{"for a connection to be established", map[string]any{"allowed.dialTimeout": 20000.0}, func(t *testing.T) (string, func(*Balancer) bool) {
		address, _ := unacceptingServer(t)
		return address, func(b *Balancer) bool { return b.counted("trips") > 0 }
	}, getCommand("1", "c=read,t=acme,d=20000")},
	{"for its retry", nil, func(t *testing.T) (string, func(*Balancer) bool) {
		h := scriptedServer(t)
		go func() {
			for {
				select {
				case c := <-h.Commands:
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

// If a waiting request outlives its client, it keeps a slot and memory and is sent later although nobody reads the reply.
// It ends when its client disconnects, whatever it waits for.
func TestWaitingRequestEndsWithItsClient(t *testing.T) {
	for _, state := range waitingStates {
		for _, way := range clientDisconnects {
			t.Run(state.name+", "+way.name, func(t *testing.T) {
				t.Parallel()
				address, isWaiting := state.server(t)
				b := newBalancerBefore(t, address, state.settings)
				c := dial(t, serveClients(t, b))
				io.WriteString(c, state.commands)
				until(t, "the wait", func() bool { return isWaiting(b) })
				done := make(chan struct{})
				go func() { way.disconnect(c); close(done) }()
				select {
				case <-done:
				case <-time.After(slowEventTimeout): // The client is still writing, as the balancer does not read all of it.
				}
				until(t, "the end of the client's requests", func() bool { return b.requestsHeld() == 0 })
				c.Close()
				<-done
			})
		}
	}
}

// Replies have no ID: a client that got the reply to its second command first would take it for the reply to the first.
// After a half-close a client may still read. It must get the reply to the command that is next in order, or nothing if
// that command has no reply.
func TestAnswersKeepCommandOrderAfterHalfClose(t *testing.T) {
	h := scriptedServer(t)
	b := newBalancerBefore(t, h.Address, nil)
	c := dial(t, serveClients(t, b))
	io.WriteString(c, getCommand("1", "c=read,t=acme,d=20000")+getCommand("2", "c=read,t=acme,d=20000"))
	for range 2 {
		if came := <-h.Commands; came.Words[2] == "2" {
			came.Reply(fakes.ValueReply("for the second command"))
		}
	}
	until(t, "the second command's reply", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.counters.totalFor("settled", 0) == 1
	})
	c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(eventTimeout))
	if text, err := io.ReadAll(c); len(text) > 0 {
		t.Fatalf("the first command got reply %q (%v), want none", text, err)
	}
}

// A client that stops halfway through a command is disconnected after a timeout. That must not cancel the whole commands
// before the partial one: they get their replies first.
func TestPartialCommandKeepsEarlierAnswers(t *testing.T) {
	for _, c := range []struct {
		name         string
		first, later time.Duration
		holdsFirst   bool // the first command counts as valid only after part of the second has arrived
	}{
		{"within the first command's timeout", 100 * time.Millisecond, 100 * time.Millisecond, true},
		{"within the usual timeout", time.Hour, 100 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := scriptedServer(t)
			b := newBalancerBefore(t, h.Address, nil)
			client := dial(t, serveClients(t, b, func(l *transport.Listener) { l.FirstCommandTimeout, l.CommandTimeout = c.first, c.later }))
			if c.holdsFirst {
				b.mu.Lock()
			}
			first, partial := getCommand("1", "c=read,t=acme,d=20000"), getCommand("2", "c=read,t=acme,d=20000")[:30]
			var came fakes.Command
			if c.holdsFirst {
				io.WriteString(client, first+partial)
				time.AfterFunc(c.first/2, b.mu.Unlock)
				came = <-h.Commands
			} else {
				io.WriteString(client, first)
				came = <-h.Commands
				io.WriteString(client, partial)
			}
			select {
			case <-came.Ended:
				t.Fatal("the first command's request is cancelled")
			case <-time.After(2 * c.later): // The partial command has timed out.
			}
			came.Reply(fakes.ValueReply("v"))
			client.SetReadDeadline(time.Now().Add(eventTimeout))
			if text, err := io.ReadAll(client); err != nil || string(text) != "$1\r\nv\r\n" {
				t.Fatalf("the first command got reply %q, %v", text, err)
			}
		})
	}
}

// A client has a shorter timeout for its first command than for later ones. A partial command gets the longer timeout as
// soon as the command before it counts as valid; otherwise a valid client on a slow network would be disconnected.
func TestPartialCommandGetsUsualTimeoutAfterGoodCommand(t *testing.T) {
	h := scriptedServer(t)
	b := newBalancerBefore(t, h.Address, nil)
	client := dial(t, serveClients(t, b, func(l *transport.Listener) { l.FirstCommandTimeout, l.CommandTimeout = 100*time.Millisecond, time.Hour }))
	second := getCommand("2", "c=read,t=acme,d=20000")
	b.mu.Lock() // The first command is counted as valid only under this lock: the timeout for the second begins before.
	io.WriteString(client, getCommand("1", "c=read,t=acme,d=20000")+second[:30])
	time.AfterFunc(50*time.Millisecond, b.mu.Unlock)
	(<-h.Commands).Reply(fakes.ValueReply("v"))
	<-time.After(200 * time.Millisecond) // The timeout for a first command is over.
	io.WriteString(client, second[30:])
	select {
	case came := <-h.Commands:
		came.Reply(fakes.ValueReply("w"))
	case <-time.After(eventTimeout):
		t.Fatal("the second command is not accepted")
	}
}
