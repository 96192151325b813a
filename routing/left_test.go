package routing

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"
	"golang.org/x/sys/unix"

	"hollylever/fakes"
	"hollylever/tables"
	"hollylever/transport"
)

// The tests here put real clients before a balancer and real hosts behind it, and have a client go while what it asked for
// waits. A retrieval whose client has left is over at once, so that nothing of it is sent on later.

const eventTimeout = 3 * time.Second // for what has to come at once; nothing here ends by itself before

// front serves clients before a balancer until the test ends.
func serveClients(t *testing.T, b *Balancer, changes ...func(*transport.Listener)) string {
	l, err := transport.Listen("127.0.0.1:0", 100)
	if err != nil {
		t.Fatal(err)
	}
	for _, change := range changes {
		change(l)
	}
	go l.Serve(b.Serve)
	t.Cleanup(func() { l.Close(time.Now()); l.Cut(time.Second) })
	return l.Address()
}

// before makes a balancer with one host, at an address.
func newBalancerBefore(t *testing.T, host string, changes map[string]any) *Balancer {
	return newBalancerWithSeed(t, 1, host, changes)
}

// beforeWith is before with a seed.
func newBalancerWithSeed(t *testing.T, seed uint64, host string, changes map[string]any) *Balancer {
	stated := tables.Flat(gjson.Parse(fakes.Settings))
	for name, value := range changes {
		stated[name] = value
	}
	pool := transport.NewPool(64, time.Minute, time.Duration(stated["allowed.dialTimeout"].(float64))*time.Millisecond)
	b, err := New(stated, []byte(fakes.List(1, true, fakes.Entry("s", host, "Ready"))), "", seed, pool, 64<<20, "", nil, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { pool.Allow(0) }) // Idle ones are closed.
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

func (b *Balancer) counted(what string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counters.total(what)
}

func (b *Balancer) requestsHeld() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests.indices.Out()
}

func getCommand(id, list string) string { return fakes.Words("C.GET", "7f3a9c21e0b4d655", id, list) }

// The ways in which a client goes.
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
	{"after a burst beyond the buffer", func(c *net.TCPConn) { writeBurst(c, transport.MostBuffer+16<<10); c.Close() }},
	{"after a burst beyond the buffer, with a reset", func(c *net.TCPConn) {
		writeBurst(c, 4*transport.MostBuffer)
		c.SetLinger(0)
		c.Close()
	}},
	{"behind all that the kernel holds", func(c *net.TCPConn) { writeFlood(c); c.Close() }},
	{"behind all that the kernel holds, with a reset", func(c *net.TCPConn) { writeFlood(c); c.SetLinger(0); c.Close() }},
	{"behind noise, as much as the kernel holds", func(c *net.TCPConn) { io.WriteString(c, "noise\r\n"); writeFlood(c); c.Close() }},
}

// burst writes so many bytes of commands, and more than are answered side by side.
func writeBurst(c *net.TCPConn, bytes int) {
	var all strings.Builder
	for n := 0; n < 2*maxPipelined || all.Len() < bytes; n++ {
		all.WriteString(getCommand(fmt.Sprint("burst-", n), "c=read,d=20000"))
	}
	io.WriteString(c, all.String())
}

// A retrieval that waits has no trip out. Each case brings one to wait and says so once it does.
var waitingStates = []struct {
	name   string
	change map[string]any
	host   func(t *testing.T) (address string, waiting func(b *Balancer) bool)
	asks   string
}{
	{"held by the module", nil, func(t *testing.T) (string, func(*Balancer) bool) {
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
	{"in a key's line", map[string]any{"workloads.0.keepOrder": true}, func(t *testing.T) (string, func(*Balancer) bool) {
		h := scriptedServer(t) // It answers nothing: the first one stays out.
		return h.Address, func(b *Balancer) bool { return len(h.Came) > 0 && b.requestsHeld() > 1 }
	}, getCommand("1", "c=read,t=acme,d=20000") + getCommand("2", "c=read,t=acme,d=20000")},
	{"for a connection to come up", map[string]any{"allowed.dialTimeout": 20000.0}, func(t *testing.T) (string, func(*Balancer) bool) {
		address, _ := unacceptingServer(t)
		return address, func(b *Balancer) bool { return b.counted("trips") > 0 }
	}, getCommand("1", "c=read,t=acme,d=20000")},
	{"for its retry's time", nil, func(t *testing.T) (string, func(*Balancer) bool) {
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

func scriptedServer(t *testing.T) *fakes.Host {
	h, err := fakes.Scripted()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h
}

// deaf is an address at which connections do not come up: nobody accepts, and no more may wait. hears has them come up.
func unacceptingServer(t *testing.T) (address string, hears func(each func(net.Conn))) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "deaf")
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
	hears = func(each func(net.Conn)) {
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
	for range 4 { // Until there is no more room: what comes then gets no word.
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address, hears
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("connections go on coming up")
	return "", nil
}

func TestWhoeverLeftWhileItWaitedIsNotSentOn(t *testing.T) {
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

// A client that ends its sending may read on. What it reads has to be the answer to the command that is next in order, and
// where that has none, nothing.
func TestNoAnswerStandsInForAnother(t *testing.T) {
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

// A command that does not come whole ends the client's time, not that of the whole ones before it.
func TestHalfACommandTakesNoAnswerAway(t *testing.T) {
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
			client := dial(t, serveClients(t, b, func(l *transport.Listener) { l.HalfFirst, l.HalfUsual = c.first, c.usual }))
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
				t.Fatal("it is called off")
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

// A newcomer's command that is half-way counts as a usual client's as soon as the one before it has shown to be good.
func TestHalfACommandIsGivenAUsualClientsTime(t *testing.T) {
	h := scriptedServer(t)
	b := newBalancerBefore(t, h.Address, nil)
	client := dial(t, serveClients(t, b, func(l *transport.Listener) { l.HalfFirst, l.HalfUsual = 100*time.Millisecond, time.Hour }))
	second := getCommand("2", "c=read,t=acme,d=20000")
	b.mu.Lock() // Good is told under it: the second one is measured before.
	io.WriteString(client, getCommand("1", "c=read,t=acme,d=20000")+second[:30])
	time.AfterFunc(50*time.Millisecond, b.mu.Unlock)
	(<-h.Came).Say(fakes.Settled("v"))
	<-time.After(200 * time.Millisecond) // A newcomer's time is over.
	io.WriteString(client, second[30:])
	select {
	case came := <-h.Came:
		came.Say(fakes.Settled("w"))
	case <-time.After(eventTimeout):
		t.Fatal("the second is not taken")
	}
}
