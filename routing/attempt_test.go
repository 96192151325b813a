package routing

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hollylever/fakes"
	"hollylever/transport"
)

// A server that drains and gets one more request may stop before it has answered. A drain that is listed while an
// attempt's connection comes up counts for that attempt: nothing is sent, and another server gets the request.
func TestDrainDuringConnectWithdrawsAttempt(t *testing.T) {
	at, hears := unacceptingServer(t)
	b := newBalancerBefore(t, at, map[string]any{"allowed.dialTimeout": 20000.0})
	c := dial(t, serveClients(t, b))
	io.WriteString(c, getCommand("1", "c=read,t=acme,d=20000"))
	until(t, "an attempt", func() bool { return b.counted("trips") == 1 })
	h := scriptedServer(t)
	b.applyTestList(t, fakes.List(2, true, fakes.Entry("s", at, "Terminating"), fakes.Entry("other", h.Address, "Ready")))
	hears(func(late net.Conn) {
		if n, _ := late.Read(make([]byte, 1)); n > 0 {
			t.Error("it is sent to the server that drains")
			io.WriteString(late, fakes.Settled("of the server that drains"))
		}
	})
	receive(t, h.Came, "the attempt at the other server").Say(fakes.Settled("v"))
	if got := readReply(t, c); got != "v" {
		t.Errorf("it is answered %q", got)
	}
}

// cuttingServer reads so many bytes of a command and then ends the connection in some way. It counts the whole
// commands that it got.
func cuttingServer(t *testing.T, bytes int, ends func(*net.TCPConn)) (address string, whole *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	whole = &atomic.Int32{}
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				came := make([]byte, bytes)
				if n, _ := io.ReadFull(c, came); n < bytes {
					c.Close()
					return
				}
				if in := bufio.NewReader(strings.NewReader(string(came))); bytes > 0 {
					if words, err := fakes.Message(in); err == nil && len(words) == 5 {
						whole.Add(1)
					}
				}
				ends(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String(), whole
}

// A single-shot request that runs twice does harm. One whose connection ends at any byte, in any way, runs at most
// once and has one answer; where the connection ended before the last byte the request may be sent elsewhere, and is.
func TestSingleShotRunsAtMostOnceWhereverItsConnectionEnds(t *testing.T) {
	const list = "c=book,t=acme,d=2000"
	length := len(fakes.Words("C.SET", "key-0", "1", list, "v"))
	for _, way := range []struct {
		name string
		ends func(*net.TCPConn)
	}{
		{"close", func(c *net.TCPConn) { c.Close() }},
		{"reset", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
		{"ends sending", func(c *net.TCPConn) { c.CloseWrite() }},
		{"an error", func(c *net.TCPConn) { io.WriteString(c, "-ERR failed\r\n"); c.Close() }},
		{"noise", func(c *net.TCPConn) { io.WriteString(c, "*3\r\n$1\r\nx\r\n!"); c.Close() }},
	} {
		t.Run(way.name, func(t *testing.T) {
			t.Parallel()
			elsewhere := 0
			for bytes := range length + 1 {
				at, whole := cuttingServer(t, bytes, way.ends)
				h := scriptedServer(t)
				b := newBalancerBefore(t, at, nil)
				b.applyTestList(t, fakes.List(2, true, fakes.Entry("s", at, "Ready"), fakes.Entry("other", h.Address, "Ready")))
				address := serveClients(t, b)
				for n := range 4 { // About half of them go to the one that cuts first.
					c := dial(t, address)
					io.WriteString(c, fakes.Words("C.SET", fmt.Sprint("key-", n), fmt.Sprint(n), list, "v"))
					done := make(chan string, 1)
					go func() {
						c.SetReadDeadline(time.Now().Add(slowEventTimeout))
						words, err := fakes.Message(bufio.NewReader(c))
						done <- fmt.Sprint(strings.Join(words, " "), err)
					}()
					before, ran, answer := int(whole.Load()), 0, ""
					for answer == "" {
						select {
						case came := <-h.Came:
							ran++
							came.Say(fakes.Settled("v"))
						case answer = <-done:
						}
					}
					cut := int(whole.Load()) - before
					elsewhere += ran
					if cut+ran > 1 {
						t.Fatalf("byte %d: it ran %d times", bytes, cut+ran)
					}
					// Rejected: trying again must do no harm.
					is := map[string]bool{"v<nil>": ran == 1, "-ERR given up<nil>": ran == 0, "-BUSY<nil>": cut+ran == 0}
					if !is[answer] {
						t.Fatalf("byte %d: it is answered %q after %d and %d runs", bytes, answer, cut, ran)
					}
				}
			}
			t.Logf("%d of %d ran elsewhere", elsewhere, 4*(length+1))
		})
	}
}

// A server that begins an answer and never ends it, in any form, must hold neither the client beyond the deadline nor
// the request's slot after that.
func TestUnfinishedAnswerReleasesClientAndSlot(t *testing.T) {
	large := strings.Repeat("v", 100<<10)
	for _, c := range []struct {
		name, begins string
		trickle      string
		want         string
	}{
		{"nothing behind its beginning", "*3\r\n$5\r\nab", "", "-ERR given up"},
		{"no rest", "*3\r\n$1\r\nv\r\n$3\r\nhit\r\n", "", "-ERR given up"},
		{"a byte at a time", "*3\r\n$60000\r\n", "x", "-ERR given up"},
		{"a line without end", "-ERR failed", "x", "-ERR given up"},
		{"a large value, and a rest that trickles in", fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$60000\r\n", len(large), large), "x", large},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h := scriptedServer(t)
			b := newBalancerBefore(t, h.Address, nil)
			client := dial(t, serveClients(t, b))
			io.WriteString(client, fakes.Words("C.SET", "7f3a9c21e0b4d655", "1", "c=book,t=acme,d=700", "v"))
			came := receive(t, h.Came, "the command")
			came.Say(c.begins)
			go func() {
				for tick := time.NewTicker(30 * time.Millisecond); c.trickle != ""; {
					select {
					case <-came.Ended:
						tick.Stop()
						return
					case <-tick.C:
						came.Say(c.trickle)
					}
				}
			}()
			if got := readReply(t, client); got != c.want {
				t.Errorf("it is answered %.60q", got)
			}
			until(t, "the end of its place", func() bool { return b.requestsHeld() == 0 })
		})
	}
}

// A connection that stays counted after its end takes capacity from the pool for ever. Open connections are counted
// right however they end: refused, withdrawn while they come up, cut, broken, kept.
func TestOpenConnectionsAreCountedHoweverTheyEnd(t *testing.T) {
	h := scriptedServer(t)
	b := newBalancerBefore(t, h.Address, nil)
	done := make(chan struct{})
	defer close(done)
	go func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case came := <-h.Came:
				switch n % 5 {
				case 0:
					came.Say(fakes.Settled("v"))
				case 1:
					came.SetLinger(0)
					came.Close()
				case 2:
					came.Say("-BUSY\r\n")
				case 3:
					came.Close()
				case 4: // Its client goes first.
				}
			}
		}
	}()
	address := serveClients(t, b)
	for n := range 300 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, getCommand(fmt.Sprint(n), "c=read,t=acme,d=40"))
		if n%3 > 0 {
			c.SetReadDeadline(time.Now().Add(slowEventTimeout))
			c.Read(make([]byte, 1))
		}
		c.Close()
	}
	until(t, "the end of all", func() bool { return b.requestsHeld() == 0 })
	b.pool.DropPeer(transport.Peer{Server: 0, Address: h.Address})
	if n := b.pool.Count(); n != 0 {
		t.Errorf("%d connections count as open", n)
	}
}

// A final answer that is written at the very deadline reaches its client too late. An attempt that stays silent ends
// while the answer can still arrive in time: the server is told that time, which is how long the attempt is waited
// for.
func TestSilentAttemptEndsBeforeDeadline(t *testing.T) {
	h := scriptedServer(t)
	b := newBalancerBefore(t, h.Address, map[string]any{"allowed.mostTrips": 1.0})
	address := serveClients(t, b)
	for _, c := range []struct{ patience, most float64 }{{3000, 2995}, {400, 395}, {128, 126}, {64, 63}} {
		client := dial(t, address)
		io.WriteString(client, fakes.Words("C.SET", "7f3a9c21e0b4d655", fmt.Sprint(c.patience), fmt.Sprintf("c=book,t=acme,d=%v", c.patience), "v"))
		came := receive(t, h.Came, "the attempt")
		_, of, _ := strings.Cut(came.Words[3], "d=")
		if told, err := strconv.ParseFloat(of, 64); err != nil || told > c.most {
			t.Errorf("of %v ms the server is told %q", c.patience, came.Words[3])
		}
		if c.patience < 1000 {
			if got := readReply(t, client); got != "-ERR given up" {
				t.Errorf("after %v ms it is answered %q", c.patience, got)
			}
		}
		came.Close()
	}
}
