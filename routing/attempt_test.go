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

// A draining server that gets one more request may stop before it has answered. A drain that is listed while an attempt's
// connection is being established applies to that attempt: nothing is sent, and another server gets the request.
func TestDrainDuringConnectWithdrawsAttempt(t *testing.T) {
	address, accept := unacceptingServer(t)
	b := newBalancerBefore(t, address, map[string]any{"allowed.dialTimeout": 20000.0})
	c := dial(t, serveClients(t, b))
	io.WriteString(c, getCommand("1", "c=read,t=acme,d=20000"))
	until(t, "an attempt", func() bool { return b.counted("trips") == 1 })
	h := scriptedServer(t)
	b.applyTestList(t, fakes.List(2, true, fakes.Entry("s", address, "Terminating"), fakes.Entry("other", h.Address, "Ready")))
	accept(func(conn net.Conn) {
		if n, _ := conn.Read(make([]byte, 1)); n > 0 {
			t.Error("the request is sent to the draining server")
			io.WriteString(conn, fakes.ValueReply("from the draining server"))
		}
	})
	receive(t, h.Commands, "the attempt at the other server").Reply(fakes.ValueReply("v"))
	if got := readReply(t, c); got != "v" {
		t.Errorf("got reply %q, want the value from the other server", got)
	}
}

// disconnectingServer returns a server that reads length bytes of a command and then ends the connection with closeConn.
// It counts the whole commands that it received.
func disconnectingServer(t *testing.T, length int, closeConn func(*net.TCPConn)) (address string, wholeCommands *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	wholeCommands = &atomic.Int32{}
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				received := make([]byte, length)
				if n, _ := io.ReadFull(c, received); n < length {
					c.Close()
					return
				}
				if in := bufio.NewReader(strings.NewReader(string(received))); length > 0 {
					if words, err := fakes.ReadMessage(in); err == nil && len(words) == 5 {
						wholeCommands.Add(1)
					}
				}
				closeConn(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String(), wholeCommands
}

// A single-shot request must not run twice. Wherever and however its connection ends, it runs at most once and gets one
// reply. If the connection ended before the last byte, the request may be sent to another server, and is.
func TestSingleShotRunsAtMostOnceWhereverItsConnectionEnds(t *testing.T) {
	const attributes = "c=book,t=acme,d=2000"
	length := len(fakes.EncodeCommand("C.SET", "key-0", "1", attributes, "v"))
	for _, way := range []struct {
		name      string
		closeConn func(*net.TCPConn)
	}{
		{"close", func(c *net.TCPConn) { c.Close() }},
		{"reset", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
		{"half-close", func(c *net.TCPConn) { c.CloseWrite() }},
		{"error reply", func(c *net.TCPConn) { io.WriteString(c, "-ERR failed\r\n"); c.Close() }},
		{"malformed reply", func(c *net.TCPConn) { io.WriteString(c, "*3\r\n$1\r\nx\r\n!"); c.Close() }},
	} {
		t.Run(way.name, func(t *testing.T) {
			t.Parallel()
			totalElsewhere := 0
			for received := range length + 1 {
				address, wholeCommands := disconnectingServer(t, received, way.closeConn)
				h := scriptedServer(t)
				b := newBalancerBefore(t, address, nil)
				b.applyTestList(t, fakes.List(2, true, fakes.Entry("s", address, "Ready"), fakes.Entry("other", h.Address, "Ready")))
				balancerAddress := serveClients(t, b)
				for n := range 4 { // About half of them go to the disconnecting server first.
					c := dial(t, balancerAddress)
					io.WriteString(c, fakes.EncodeCommand("C.SET", fmt.Sprint("key-", n), fmt.Sprint(n), attributes, "v"))
					done := make(chan string, 1)
					go func() {
						c.SetReadDeadline(time.Now().Add(slowEventTimeout))
						words, err := fakes.ReadMessage(bufio.NewReader(c))
						done <- fmt.Sprint(strings.Join(words, " "), err)
					}()
					wholeBefore, ranElsewhere, answer := int(wholeCommands.Load()), 0, ""
					for answer == "" {
						select {
						case came := <-h.Commands:
							ranElsewhere++
							came.Reply(fakes.ValueReply("v"))
						case answer = <-done:
						}
					}
					ranFirst := int(wholeCommands.Load()) - wholeBefore
					totalElsewhere += ranElsewhere
					if ranFirst+ranElsewhere > 1 {
						t.Fatalf("connection ended at byte %d: request ran %d times", received, ranFirst+ranElsewhere)
					}
					// A rejection promises that the request did not run, so that a retry is safe.
					allowed := map[string]bool{"v<nil>": ranElsewhere == 1, "-ERR given up<nil>": ranElsewhere == 0, "-BUSY<nil>": ranFirst+ranElsewhere == 0}
					if !allowed[answer] {
						t.Fatalf("connection ended at byte %d: reply %q after %d runs at the first and %d at the other server", received, answer, ranFirst, ranElsewhere)
					}
				}
			}
			t.Logf("%d of %d requests ran on the other server", totalElsewhere, 4*(length+1))
		})
	}
}

// A server that begins a reply and never completes it must neither keep the client waiting beyond the deadline nor keep
// the request's slot after that.
func TestUnfinishedAnswerReleasesClientAndSlot(t *testing.T) {
	large := strings.Repeat("v", 100<<10)
	for _, c := range []struct {
		name, start string
		trickle     string
		want        string
	}{
		{"nothing after the start", "*3\r\n$5\r\nab", "", "-ERR given up"},
		{"no trailer", "*3\r\n$1\r\nv\r\n$3\r\nhit\r\n", "", "-ERR given up"},
		{"a byte at a time", "*3\r\n$60000\r\n", "x", "-ERR given up"},
		{"an endless line", "-ERR failed", "x", "-ERR given up"},
		{"a large value, and a trailer that trickles in", fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$60000\r\n", len(large), large), "x", large},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h := scriptedServer(t)
			b := newBalancerBefore(t, h.Address, nil)
			client := dial(t, serveClients(t, b))
			io.WriteString(client, fakes.EncodeCommand("C.SET", "7f3a9c21e0b4d655", "1", "c=book,t=acme,d=700", "v"))
			came := receive(t, h.Commands, "the command")
			came.Reply(c.start)
			go func() {
				for tick := time.NewTicker(30 * time.Millisecond); c.trickle != ""; {
					select {
					case <-came.Ended:
						tick.Stop()
						return
					case <-tick.C:
						came.Reply(c.trickle)
					}
				}
			}()
			if got := readReply(t, client); got != c.want {
				t.Errorf("got reply %.60q, want %.60q", got, c.want)
			}
			until(t, "the release of its slot", func() bool { return b.requestsHeld() == 0 })
		})
	}
}

// A connection that stays counted after its end takes capacity from the pool for ever. Open connections are counted
// correctly however they end: refused, cancelled while connecting, closed, reset or kept idle.
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
			case came := <-h.Commands:
				switch n % 5 {
				case 0:
					came.Reply(fakes.ValueReply("v"))
				case 1:
					came.SetLinger(0)
					came.Close()
				case 2:
					came.Reply("-BUSY\r\n")
				case 3:
					came.Close()
				case 4: // The client disconnects first.
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
	until(t, "the end of all requests", func() bool { return b.requestsHeld() == 0 })
	b.pool.DropPeer(transport.Peer{Server: 0, Address: h.Address})
	if n := b.pool.Count(); n != 0 {
		t.Errorf("%d connections are counted as open, want none", n)
	}
}

// A final reply that is written right at the deadline reaches its client too late. An attempt without a reply therefore
// ends early enough for the final reply to arrive in time. The server is told this shorter time.
func TestSilentAttemptEndsBeforeDeadline(t *testing.T) {
	h := scriptedServer(t)
	b := newBalancerBefore(t, h.Address, map[string]any{"allowed.mostTrips": 1.0})
	address := serveClients(t, b)
	for _, c := range []struct{ timeoutMillis, maxStatedMillis float64 }{{3000, 2995}, {400, 395}, {128, 126}, {64, 63}} {
		client := dial(t, address)
		io.WriteString(client, fakes.EncodeCommand("C.SET", "7f3a9c21e0b4d655", fmt.Sprint(c.timeoutMillis), fmt.Sprintf("c=book,t=acme,d=%v", c.timeoutMillis), "v"))
		came := receive(t, h.Commands, "the attempt")
		_, timeoutText, _ := strings.Cut(came.Words[3], "d=")
		if stated, err := strconv.ParseFloat(timeoutText, 64); err != nil || stated > c.maxStatedMillis {
			t.Errorf("with a timeout of %v ms the server is told %q, want at most %v ms", c.timeoutMillis, came.Words[3], c.maxStatedMillis)
		}
		if c.timeoutMillis < 1000 {
			if got := readReply(t, client); got != "-ERR given up" {
				t.Errorf("with a timeout of %v ms: got reply %q", c.timeoutMillis, got)
			}
		}
		came.Close()
	}
}
