package routing

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/tidwall/redcon"

	"hollylever/fakes"
	"hollylever/transport"
)

// receivedAttempts holds the whole commands that reached servers, by ID and in order of arrival.
type receivedAttempts struct {
	byID     map[string][]fakes.Command
	received <-chan fakes.Command
}

// await collects commands, and calls handle for each, until count commands with an ID have reached servers.
func (a *receivedAttempts) await(t *testing.T, id string, count int, handle func(fakes.Command)) {
	t.Helper()
	for len(a.byID[id]) < count {
		c := receive(t, a.received, fmt.Sprintf("attempt %d of %s", len(a.byID[id])+1, id))
		a.byID[c.Words[2]] = append(a.byID[c.Words[2]], c)
		if handle != nil {
			handle(c)
		}
	}
}

// collect collects the commands that have reached servers so far, without waiting.
func (a *receivedAttempts) collect() {
	for {
		select {
		case c := <-a.received:
			a.byID[c.Words[2]] = append(a.byID[c.Words[2]], c)
		default:
			return
		}
	}
}

// attemptsDue lists the attempts that a request may wait for when its client disconnects. Each case brings the request of
// a disconnecting client to wait and then, after the disconnect, that of a client that stays connected. The second
// request's attempt is of the same kind and due later: once it starts, the first request's attempt never will.
var attemptsDue = []struct {
	name           string
	settings       map[string]any
	acceptsLate    bool // connections to the server are established only after the disconnect
	attemptsBefore int  // attempts of each request before the one that is tested
	handle         func(fakes.Command)
	keyInFlight    bool // another request for the key is in flight
	priorRequests  int  // requests that are answered at once before, since only a fraction of requests may be hedged
}{
	{name: "the first, while a connection is established", settings: map[string]any{"allowed.dialTimeout": 20000.0}, acceptsLate: true},
	{name: "the first, in a key's queue", settings: map[string]any{"workloads.0.keepOrder": true}, keyInFlight: true},
	{name: "a retry after a backoff", attemptsBefore: 1, handle: func(c fakes.Command) { c.Reply("-BUSY\r\n") }},
	{name: "a hedged request", settings: map[string]any{"workloads.0.expectedTime": 100.0}, attemptsBefore: 1, priorRequests: 100},
	{name: "a hedged request where none is cancelled",
		settings: map[string]any{"workloads.0.expectedTime": 100.0, "allowed.cancelling": false}, attemptsBefore: 1, priorRequests: 100},
}

// An attempt for a client that has disconnected is wasted work, and a write that the client has given up on may still
// happen. Whatever the next attempt waits for when the client disconnects, it must not start.
func TestNoAttemptStartsAfterClientDisconnect(t *testing.T) {
	for _, due := range attemptsDue {
		for _, way := range clientDisconnects {
			if strings.Contains(way.name, "burst") || strings.Contains(way.name, "kernel") {
				// What they send before they disconnect takes longer than a backoff. TestWaitingRequestEndsWithItsClient
				// covers them.
				continue
			}
			t.Run(due.name+", "+way.name, func(t *testing.T) {
				t.Parallel()
				h, other := scriptedServer(t), scriptedServer(t)
				address, accept := h.Address, func(func(net.Conn)) {}
				if due.acceptsLate {
					address, accept = unacceptingServer(t)
				}
				b := newBalancerBefore(t, address, due.settings)
				b.applyTestList(t, fakes.List(2, true, fakes.Entry("s", address, "Ready")))
				attempts := &receivedAttempts{byID: map[string][]fakes.Command{}, received: h.Commands}
				balancerAddress := serveClients(t, b)
				sendRequest := func(id string) *net.TCPConn {
					c := dial(t, balancerAddress)
					io.WriteString(c, getCommand(id, "c=read,t=acme,d=20000"))
					return c
				}
				runPriorRequests(t, h, due.priorRequests, sendRequest)
				var held fakes.Command
				waiting := 1
				if due.keyInFlight {
					waiting = 2
					sendRequest("in-flight")
					held = receive(t, h.Commands, "the key's first request")
				}
				others := b.counted("trips")
				disconnecting := sendRequest("disconnecting")
				attempts.await(t, "disconnecting", due.attemptsBefore, due.handle)
				if due.attemptsBefore == 0 {
					until(t, "the wait", func() bool { return b.requestsHeld() == waiting })
				}
				if strings.Contains(due.name, "hedged") { // A second server, for the hedged request, is listed only now.
					b.applyTestList(t, fakes.List(3, true, fakes.Entry("s", address, "Ready"), fakes.Entry("other", other.Address, "Ready")))
					attempts.received = mergeCommands(t, h.Commands, other.Commands)
				}
				done := make(chan struct{})
				go func() { way.disconnect(disconnecting); close(done) }()
				until(t, "the disconnect", func() bool { return b.counted("left") > 0 })
				<-done
				decided := b.counted("trips") - others // On a slow machine the next attempt may have been due before the disconnect.
				sendRequest("connected")
				accept(func(c net.Conn) {
					for in := redcon.NewReader(c); ; {
						read, err := in.ReadCommand()
						if err != nil {
							return
						}
						command := fakes.Command{TCPConn: c.(*net.TCPConn)}
						for _, word := range read.Args {
							command.Words = append(command.Words, string(word))
						}
						h.Commands <- command
					}
				})
				if due.keyInFlight {
					until(t, "the connected client's request", func() bool { return b.requestsHeld() == 2 })
					held.Reply(fakes.ValueReply("v"))
				}
				attempts.await(t, "connected", due.attemptsBefore+1, due.handle)
				answered := 0
				until(t, "the end of the disconnected client's request", func() bool {
					attempts.collect() // An attempt decided on before the disconnect may arrive after the connected client's.
					for ; answered < len(attempts.byID["disconnecting"]); answered++ {
						attempts.byID["disconnecting"][answered].Reply(fakes.ValueReply("v")) // Lets attempts in flight end.
					}
					return b.requestsHeld() == 1
				})
				if came := len(attempts.byID["disconnecting"]); came > decided || due.acceptsLate && came > 0 {
					t.Errorf("%d attempts reached servers for a disconnected client, %d were decided on before the disconnect", came, decided)
				}
			})
		}
	}
}

// runPriorRequests sends count requests, one after the other, and answers at once each attempt, including further ones
// that a slow machine causes.
func runPriorRequests(t *testing.T, h *fakes.Host, count int, sendRequest func(id string) *net.TCPConn) {
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case c := <-h.Commands:
				c.Reply(fakes.ValueReply("v"))
			case <-done:
				return
			}
		}
	}()
	for n := range count {
		c := sendRequest(fmt.Sprint("usual-", n))
		readReply(t, c)
		c.Close()
	}
	close(done)
	<-stopped
}

// mergeCommands merges the commands that two servers receive into one channel.
func mergeCommands(t *testing.T, one, other <-chan fakes.Command) <-chan fakes.Command {
	both := make(chan fakes.Command)
	for _, came := range []<-chan fakes.Command{one, other} {
		go func() {
			for {
				select {
				case c := <-came:
					select {
					case both <- c:
					case <-t.Context().Done():
						return
					}
				case <-t.Context().Done():
					return
				}
			}
		}()
	}
	return both
}

// A client may send a command while it waits to be accepted and disconnect before there is capacity. No request may be
// started for it.
func TestNoRequestStartsForClientGoneBeforeItWasRead(t *testing.T) {
	const many = 50
	h := scriptedServer(t)
	b := newBalancerBefore(t, h.Address, nil)
	at := serveClients(t, b, func(l *transport.Listener) { l.SetLimit(1) })
	first := dial(t, at)
	io.WriteString(first, getCommand("first", "c=read,t=acme,d=20000"))
	out := receive(t, h.Commands, "the first request") // Its client takes up the listener's limit of 1.
	for n := range many {
		c := dial(t, at)
		io.WriteString(c, getCommand(fmt.Sprint("gone-", n), "c=read,t=acme,d=20000"))
		c.Close()
	}
	last := dial(t, at)
	io.WriteString(last, getCommand("last", "c=read,t=acme,d=20000"))
	out.Reply(fakes.ValueReply("v"))
	readReply(t, first)
	first.Close()
	all := &receivedAttempts{byID: map[string][]fakes.Command{}, received: h.Commands}
	all.await(t, "last", 1, nil)
	if decided := b.counted("trips"); len(all.byID) != 1 || decided != 2 {
		t.Errorf("%d attempts were decided on and %d requests reached the server, want 2 and 2", decided, len(all.byID)+1)
	}
}
