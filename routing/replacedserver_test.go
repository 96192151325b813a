package routing

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"hollylever/fakes"
	"hollylever/transport"
)

// listedStart is an entry of a server at an address whose process started at a time, in ms.
func listedStart(name, address, status string, started int64) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"status":%q,"type":"std","zone":"z","since_ms":%d}`, name, address, status, started)
}

func listOf(index int, entries ...string) string { return fakes.List(index, false, entries...) }

// A new process of a server has the address of the one before: a connection that led to that one is not used for it, as it may
// stay silent, or end under a request that then counts as possibly run.
func TestNewProcessAtAnAddressGetsNewConnections(t *testing.T) {
	for name, changed := range map[string]func(address string) []string{
		"restarted": func(address string) []string { return []string{listedStart("s", address, "Ready", 2000)} },
		"replaced": func(address string) []string {
			return []string{listedStart("s", address, "Gone", 1000), listedStart("n", address, "Ready", 2000)}
		},
		"moved away and back": func(address string) []string {
			return []string{listedStart("s", closedAddress(t), "Ready", 1000), listedStart("s", address, "Ready", 2000)}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := scriptedServer(t)
			b := newBalancerBefore(t, s.Address, nil)
			b.applyTestList(t, listOf(2, listedStart("s", s.Address, "Ready", 1000)))
			address := serveClients(t, b)
			ask := func(id string) net.Conn {
				c := dial(t, address)
				io.WriteString(c, getCommand(id, "c=read,t=acme,d=3000"))
				attempt := receive(t, s.Commands, "the attempt")
				attempt.Reply(fakes.ValueReply("v"))
				if got := readReply(t, c); got != "v" {
					t.Fatalf("the reply is %q, want v", got)
				}
				return attempt.TCPConn
			}
			ask("first")
			time.Sleep(2 * 20 * time.Millisecond) // Idle connections are used again after 20 ms.
			before := ask("second")
			for n, entry := range changed(s.Address) {
				b.applyTestList(t, listOf(3+n, entry))
			}
			time.Sleep(2 * 20 * time.Millisecond)
			if after := ask("third"); after.RemoteAddr().String() == before.RemoteAddr().String() {
				t.Errorf("the request goes over the connection to the earlier process, %v", after.RemoteAddr())
			}
		})
	}
}

// While a connection comes up, its server is replaced by another at the same address, started anew, moved or removed: the
// attempt was decided for the one before and is not sent.
func TestAttemptForAnEarlierProcessIsWithdrawn(t *testing.T) {
	for name, entries := range map[string]func(address string) []string{
		"restarted": func(address string) []string { return []string{listedStart("s", address, "Ready", 2000)} },
		"replaced": func(address string) []string {
			return []string{listedStart("s", address, "Ready", 1000), listedStart("n", address, "Ready", 2000)}
		},
		"moved": func(string) []string { return []string{listedStart("s", closedAddress(t), "Ready", 1000)} },
		"gone":  func(address string) []string { return []string{listedStart("s", address, "Gone", 1000)} },
	} {
		t.Run(name, func(t *testing.T) {
			server, accept := unacceptingServer(t)
			b := newBalancerBefore(t, server, map[string]any{"allowed.dialTimeout": 20000.0, "allowed.mostTrips": 2.0})
			b.applyTestList(t, listOf(2, listedStart("s", server, "Ready", 1000)))
			c := dial(t, serveClients(t, b))
			io.WriteString(c, fakes.EncodeCommand("C.SET", "k", "id", "c=book,t=acme,d=20000", "v"))
			until(t, "the attempt", func() bool { return b.counted(counterAttempts) == 1 })
			b.applyTestList(t, listOf(3, entries(server)...))
			accept(func(c net.Conn) {
				if n, _ := c.Read(make([]byte, 1<<10)); n > 0 {
					io.WriteString(c, fakes.ValueReply("v"))
				}
			})
			readReply(t, c)
			if withdrawn := b.counted(counterAttemptPrefix + transport.CancelledBeforeSent.String()); withdrawn != 1 {
				t.Errorf("%d attempts are withdrawn, want the one that was decided for the process before", withdrawn)
			}
		})
	}
}
