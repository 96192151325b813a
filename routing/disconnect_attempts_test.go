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

// receivedAttempts are the commands that reached servers whole, in their order, by ID.
type receivedAttempts struct {
	seen map[string][]fakes.Command
	came <-chan fakes.Command
}

// await reads what reaches servers until one ID has come so often, and handles each.
func (a *receivedAttempts) await(t *testing.T, id string, often int, handle func(fakes.Command)) {
	t.Helper()
	for len(a.seen[id]) < often {
		c := receive(t, a.came, fmt.Sprintf("attempt %d of %s", len(a.seen[id])+1, id))
		a.seen[c.Words[2]] = append(a.seen[c.Words[2]], c)
		if handle != nil {
			handle(c)
		}
	}
}

// collect takes what has reached servers by now.
func (a *receivedAttempts) collect() {
	for {
		select {
		case c := <-a.came:
			a.seen[c.Words[2]] = append(a.seen[c.Words[2]], c)
		default:
			return
		}
	}
}

// attemptsDue is what a client waits for when it disconnects. Each case brings the request of one that leaves to
// wait, and, once it has left, that of one that stays: an attempt of the latter of the same kind, whose time comes
// later, proves that the former's never will.
var attemptsDue = []struct {
	name   string
	change map[string]any
	deaf   bool // the server's connections come up only once the client has left
	before int  // attempts of each before that which is looked for
	handle func(fakes.Command)
	holder bool // another request of the key is in flight
	usual  int  // requests answered at once before: of these a part may have copies
}{
	{name: "the first, for which a connection comes up", change: map[string]any{"allowed.dialTimeout": 20000.0}, deaf: true},
	{name: "the first, in a key's queue", change: map[string]any{"workloads.0.keepOrder": true}, holder: true},
	{name: "a retry after a backoff", before: 1, handle: func(c fakes.Command) { c.Say("-BUSY\r\n") }},
	{name: "a hedged request", change: map[string]any{"workloads.0.expectedTime": 100.0}, before: 1, usual: 100},
	{name: "a hedged request where none is cancelled",
		change: map[string]any{"workloads.0.expectedTime": 100.0, "allowed.cancelling": false}, before: 1, usual: 100},
}

// An attempt for a client that has gone is work for nothing, and a write that its client has given up on may still
// happen. Whatever the next attempt waits for when the client disconnects, it does not start.
func TestNoAttemptStartsAfterClientDisconnect(t *testing.T) {
	for _, due := range attemptsDue {
		for _, l := range clientDisconnects {
			if strings.Contains(l.name, "burst") || strings.Contains(l.name, "kernel") {
				// What they send before they go takes longer than a backoff: TestWaitingRequestEndsWithItsClient has
				// them.
				continue
			}
			t.Run(due.name+", "+l.name, func(t *testing.T) {
				t.Parallel()
				h, other := scriptedServer(t), scriptedServer(t)
				address, hears := h.Address, func(func(net.Conn)) {}
				if due.deaf {
					address, hears = unacceptingServer(t)
				}
				b := newBalancerBefore(t, address, due.change)
				b.applyTestList(t, fakes.List(2, true, fakes.Entry("s", address, "Ready")))
				all := &receivedAttempts{seen: map[string][]fakes.Command{}, came: h.Came}
				at := serveClients(t, b)
				ask := func(id string) *net.TCPConn {
					c := dial(t, at)
					io.WriteString(c, getCommand(id, "c=read,t=acme,d=20000"))
					return c
				}
				runUsualRequests(t, h, due.usual, ask)
				var held fakes.Command
				waiting := 1
				if due.holder {
					waiting = 2
					ask("holder")
					held = receive(t, h.Came, "the request before them")
				}
				others := b.counted("trips")
				leaver := ask("leaver")
				all.await(t, "leaver", due.before, due.handle)
				if due.before == 0 {
					until(t, "the wait", func() bool { return b.requestsHeld() == waiting })
				}
				if strings.Contains(due.name, "hedged") { // Only now is there another server for it.
					b.applyTestList(t, fakes.List(3, true, fakes.Entry("s", address, "Ready"), fakes.Entry("other", other.Address, "Ready")))
					all.came = mergeCommands(t, h.Came, other.Came)
				}
				done := make(chan struct{})
				go func() { l.disconnect(leaver); close(done) }()
				until(t, "its going", func() bool { return b.counted("left") > 0 })
				<-done
				decided := b.counted("trips") - others // On a slow machine its next attempt may have been due before it went.
				ask("stayer")
				hears(func(c net.Conn) {
					for in := redcon.NewReader(c); ; {
						read, err := in.ReadCommand()
						if err != nil {
							return
						}
						command := fakes.Command{TCPConn: c.(*net.TCPConn)}
						for _, word := range read.Args {
							command.Words = append(command.Words, string(word))
						}
						h.Came <- command
					}
				})
				if due.holder {
					until(t, "the one that stays", func() bool { return b.requestsHeld() == 2 })
					held.Say(fakes.Settled("v"))
				}
				all.await(t, "stayer", due.before+1, due.handle)
				answered := 0
				until(t, "the end of its request", func() bool {
					all.collect() // One decided before it went may reach its server after the stayer's.
					for ; answered < len(all.seen["leaver"]); answered++ {
						all.seen["leaver"][answered].Say(fakes.Settled("v")) // What is in flight may end.
					}
					return b.requestsHeld() == 1
				})
				if came := len(all.seen["leaver"]); came > decided || due.deaf && came > 0 {
					t.Errorf("%d attempts for a client that has gone, %d before", came, decided)
				}
			})
		}
	}
}

// runUsualRequests has so many requests answered at once, one after the other, and each attempt that a slow machine
// adds.
func runUsualRequests(t *testing.T, h *fakes.Host, many int, ask func(id string) *net.TCPConn) {
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case c := <-h.Came:
				c.Say(fakes.Settled("v"))
			case <-done:
				return
			}
		}
	}()
	for n := range many {
		c := ask(fmt.Sprint("usual-", n))
		readReply(t, c)
		c.Close()
	}
	close(done)
	<-stopped
}

// mergeCommands returns what comes to either of two servers.
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

// Clients that wait to be accepted, with a command written, may have gone by the time there is capacity: no request
// is started for them.
func TestNoRequestStartsForClientGoneBeforeItWasRead(t *testing.T) {
	const many = 50
	h := scriptedServer(t)
	b := newBalancerBefore(t, h.Address, nil)
	at := serveClients(t, b, func(l *transport.Listener) { l.SetLimit(1) })
	first := dial(t, at)
	io.WriteString(first, getCommand("first", "c=read,t=acme,d=20000"))
	out := receive(t, h.Came, "the first request") // It takes the only place.
	for n := range many {
		c := dial(t, at)
		io.WriteString(c, getCommand(fmt.Sprint("gone-", n), "c=read,t=acme,d=20000"))
		c.Close()
	}
	last := dial(t, at)
	io.WriteString(last, getCommand("last", "c=read,t=acme,d=20000"))
	out.Say(fakes.Settled("v"))
	readReply(t, first)
	first.Close()
	all := &receivedAttempts{seen: map[string][]fakes.Command{}, came: h.Came}
	all.await(t, "last", 1, nil)
	if decided := b.counted("trips"); len(all.seen) != 1 || decided != 2 {
		t.Errorf("%d attempts are decided on, %d requests come to the server", decided, len(all.seen)+1)
	}
}
