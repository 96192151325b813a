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

// closedAddress returns an address where nothing listens.
func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// newTestBalancer makes a balancer with one endpoint, at which nothing listens, and so many bytes for requests.
func newTestBalancer(t *testing.T, most int64) *Balancer {
	return newTestBalancerWith(t, most, settings.Flatten(gjson.Parse(testSettings)))
}

// newTestBalancerWith is newTestBalancer with other settings.
func newTestBalancerWith(t *testing.T, most int64, stated map[string]any) *Balancer {
	pool := transport.NewPool(8, time.Minute, time.Second)
	b, err := New(stated, []byte(strings.Replace(initialList, "ADDRESS", closedAddress(t), 1)), "", 1, pool, most, "",
		nil, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// requestArguments are those of a read with a list of fields.
func requestArguments(list string) [][]byte {
	return [][]byte{[]byte("C.GET"), []byte("k"), []byte("id"), []byte(list)}
}

// applyTestList applies a list as a watch does.
func (b *Balancer) applyTestList(t *testing.T, line string) {
	if err := b.applyList(context.Background(), []byte(line), false); err != nil {
		t.Fatal(err)
	}
}

// entryJSON is an entry of a list.
func entryJSON(name, address, status string, started int) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"status":%q,"type":"std","zone":"z","since_ms":%d}`, name, address, status, started)
}

// incrementalList is a list of changes.
func incrementalList(rows ...string) string {
	return `{"index":9,"snapshot":false,"endpoints":[` + strings.Join(rows, ",") + `]}`
}

// eventTimeout is for what has to come at once; nothing here ends by itself before.
const eventTimeout = 3 * time.Second

// serveClients serves clients before a balancer until the test ends.
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

// newBalancerBefore makes a balancer with one endpoint, at an address, and the settings of fakes with some changes.
func newBalancerBefore(t *testing.T, host string, changes map[string]any) *Balancer {
	return newBalancerWithSeed(t, 1, host, changes)
}

// newBalancerWithSeed is newBalancerBefore with a seed.
func newBalancerWithSeed(t *testing.T, seed uint64, host string, changes map[string]any) *Balancer {
	stated := settings.Flatten(gjson.Parse(fakes.Settings))
	for name, value := range changes {
		stated[name] = value
	}
	pool := transport.NewPool(64, time.Minute, time.Duration(stated["allowed.dialTimeout"].(float64))*time.Millisecond)
	b, err := New(stated, []byte(fakes.List(1, true, fakes.Entry("s", host, "Ready"))), "", seed, pool, 64<<20, "", nil, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { pool.SetLimit(0) }) // Idle ones are closed.
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

// until waits for something that the balancer comes to by itself.
func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s does not come", what)
		}
	}
}

// counted returns a counter of no workload.
func (b *Balancer) counted(what string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counters.total(what)
}

// requestsHeld returns how many requests have not been released.
func (b *Balancer) requestsHeld() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests.indices.InUse()
}

// getCommand is a read of one key.
func getCommand(id, list string) string { return fakes.Words("C.GET", "7f3a9c21e0b4d655", id, list) }

// scriptedServer is a server that the test speaks for.
func scriptedServer(t *testing.T) *fakes.Host {
	h, err := fakes.Scripted()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h
}

// unacceptingServer is an address at which connections do not come up: nobody accepts, and no more may wait. accept
// has them come up.
func unacceptingServer(t *testing.T) (address string, accept func(each func(net.Conn))) {
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
	accept = func(each func(net.Conn)) {
		l, err := net.FileListener(file)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go func() {
			for c, err := l.Accept(); err == nil; c, err = l.Accept() {
				go each(c)
			}
		}()
	}
	for range 4 { // Until the backlog is full: what comes then gets no answer.
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address, accept
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("connections go on coming up")
	return "", nil
}

// slowEventTimeout is for what has to come, though it may take its time.
const slowEventTimeout = 20 * time.Second

// receive returns the next value of a channel, which has to come.
func receive[T any](t *testing.T, from <-chan T, what string) (x T) {
	t.Helper()
	select {
	case x = <-from:
	case <-time.After(slowEventTimeout):
		t.Fatalf("%s does not come", what)
	}
	return x
}

// readReply reads one reply.
func readReply(t *testing.T, c net.Conn) string {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(slowEventTimeout))
	words, err := fakes.Message(bufio.NewReader(c))
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	return strings.Join(words, " ")
}
