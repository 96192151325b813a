package routing

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"
	"golang.org/x/sys/unix"

	"hollylever/fakes"
	"hollylever/settings"
	"hollylever/transport"
)

const testSettings = `{"allowed":{"cancelling":true,"connIdle":5000,"dialTimeout":200,"mostHeld":3,"mostTrips":3,"retryAfter":true,
"maxRetryAfter":2000},"balancers":1,"hostTypes":["std"],"zones":["z"],"workloads":[{"name":"read","effect":"free",
"group":"all","expectedTime":5000,"hardStop":3000,"value":1,"tardyValue":0.2}]}`

const initialList = `{"index":3,"snapshot":true,"endpoints":[{"name":"s","address":"ADDRESS","status":"Ready","type":"novel","zone":"novel"}]}`

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// newTestBalancer returns a balancer with one endpoint, on whose address nothing listens, and maxBytes of memory for
// requests.
func newTestBalancer(t *testing.T, maxBytes int64) *Balancer {
	return newTestBalancerWith(t, maxBytes, settings.Flatten(gjson.Parse(testSettings)))
}

// newTestBalancerWith is like newTestBalancer, with the given settings.
func newTestBalancerWith(t *testing.T, maxBytes int64, values map[string]any) *Balancer {
	pool := transport.NewPool(8, time.Minute, time.Second)
	b, err := New(values, []byte(strings.Replace(initialList, "ADDRESS", closedAddress(t), 1)), "", 1, pool, maxBytes, "",
		Previous{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// requestArguments returns the arguments of a read with the given attributes.
func requestArguments(attributes string) [][]byte {
	return [][]byte{[]byte("C.GET"), []byte("k"), []byte("id"), []byte(attributes)}
}

// applyTestList applies an endpoint list in the way a watch does.
func (b *Balancer) applyTestList(t *testing.T, line string) {
	watch := &listWatch{balancer: b, ctx: context.Background(), index: b.list.index}
	if err := b.applyWatchedList(watch, []byte(line)); err != nil {
		t.Fatal(err)
	}
}

// entryJSON returns an entry of an endpoint list.
func entryJSON(name, address, status string, started int) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"status":%q,"type":"std","zone":"z","since_ms":%d}`, name, address, status, started)
}

// incrementalList returns an endpoint list that states changes only.
func incrementalList(entries ...string) string {
	return `{"index":9,"snapshot":false,"endpoints":[` + strings.Join(entries, ",") + `]}`
}

// eventTimeout is how long to wait for something that has to happen at once. Nothing that a test waits for with it ends
// by itself sooner.
const eventTimeout = 3 * time.Second

// serveClients has a balancer serve clients until the test ends, and returns the address to connect to.
func serveClients(t *testing.T, b *Balancer, changes ...func(*transport.Listener)) string {
	l, err := transport.Listen("127.0.0.1:0", 100)
	if err != nil {
		t.Fatal(err)
	}
	for _, change := range changes {
		change(l)
	}
	go l.Serve(b.Serve)
	t.Cleanup(func() { l.Close(time.Now()); l.ResetAll(time.Second) })
	return l.Address()
}

// newBalancerBefore returns a balancer with one endpoint at an address and the settings of package fakes with some
// changes.
func newBalancerBefore(t *testing.T, address string, changes map[string]any) *Balancer {
	return newBalancerWithSeed(t, 1, address, changes)
}

// newBalancerWithSeed is like newBalancerBefore, with a seed for the balancer's random decisions.
func newBalancerWithSeed(t *testing.T, seed uint64, address string, changes map[string]any) *Balancer {
	values := settings.Flatten(gjson.Parse(fakes.Settings))
	for name, value := range changes {
		values[name] = value
	}
	pool := transport.NewPool(64, time.Minute, time.Duration(values["allowed.dialTimeout"].(float64))*time.Millisecond)
	b, err := New(values, []byte(fakes.List(1, true, fakes.Entry("s", address, "Ready"))), "", seed, pool, 64<<20, "", Previous{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { pool.SetLimit(0) }) // Closes idle connections.
	return b
}

func dial(t *testing.T, address string) *net.TCPConn {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

// until polls until a condition that the balancer reaches by itself is met. It fails the test after eventTimeout.
func until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out after %v waiting for %s", eventTimeout, what)
		}
	}
}

// counted returns a counter that is not kept by workload.
func (b *Balancer) counted(name string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counters.total(name)
}

// handleRequest handles a request from admission to release.
func (b *Balancer) handleRequest(arguments [][]byte, isWrite bool, pending *pendingReply, sender client) {
	x := b.newExchange(arguments, isWrite, sender)
	x.reply = pending
	if rejection := x.admit(); rejection != nil {
		pending.reply <- reply{bytes: rejection}
		return
	}
	x.run()
}

// requestsHeld returns how many requests have not been released.
func (b *Balancer) requestsHeld() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests.indices.InUse()
}

// getCommand returns a command that reads one key.
func getCommand(id, attributes string) string {
	return fakes.EncodeCommand("C.GET", "7f3a9c21e0b4d655", id, attributes)
}

// scriptedServer returns a server whose replies the test sends.
func scriptedServer(t *testing.T) *fakes.Host {
	h, err := fakes.Scripted()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h
}

// unacceptingServer returns an address to which connections cannot be established, since the backlog is full and nothing
// accepts. Calling accept starts accepting them.
func unacceptingServer(t *testing.T) (address string, accept func(handle func(net.Conn))) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "unaccepting")
	t.Cleanup(func() { file.Close() })
	if err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err == nil {
		err = unix.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address = fmt.Sprint("127.0.0.1:", name.(*unix.SockaddrInet4).Port)
	accept = func(handle func(net.Conn)) {
		l, err := net.FileListener(file)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go func() {
			for c, err := l.Accept(); err == nil; c, err = l.Accept() {
				go handle(c)
			}
		}()
	}
	for range 4 { // Fills the backlog; further connection attempts get no answer.
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address, accept
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("connections are still established although nothing accepts them")
	return "", nil
}

// slowEventTimeout is how long to wait for something that has to happen but may be slow.
const slowEventTimeout = 20 * time.Second

// receive returns the next value from a channel. It fails the test if none arrives within slowEventTimeout.
func receive[T any](t *testing.T, from <-chan T, what string) (x T) {
	t.Helper()
	select {
	case x = <-from:
	case <-time.After(slowEventTimeout):
		t.Fatalf("timed out after %v waiting for %s", slowEventTimeout, what)
	}
	return x
}

// readReply reads one reply.
func readReply(t *testing.T, c net.Conn) string {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(slowEventTimeout))
	words, err := fakes.ReadMessage(bufio.NewReader(c))
	if err != nil {
		t.Fatalf("no reply: %v", err)
	}
	return strings.Join(words, " ")
}
