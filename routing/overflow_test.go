package routing

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hollylever/fakes"
	"hollylever/transport"
)

const (
	maxFloodBytes     = 8 << 20                // bytes at most: more than the kernel takes on both sides
	floodStallTimeout = 200 * time.Millisecond // for which the kernel takes no more of a client
	floodWriteSize    = 32 << 10               // bytes at once
	longKey           = 400                    // so that a flood is of some thousand commands
	shortKey          = 16                     // and of some ten thousand
	overflowBytes     = 8 * transport.MaxBuffer
)

// writeFlood writes commands until the kernel takes no more.
func writeFlood(c *net.TCPConn) { writeFloodWithKey(c, longKey) }

func writeFloodWithKey(c *net.TCPConn, key int) {
	var piece strings.Builder
	for n, sent := 0, 0; sent < maxFloodBytes; {
		for piece.Reset(); piece.Len() < floodWriteSize; n++ {
			piece.WriteString(getCommandWithKey(key, fmt.Sprint("flood-", n)))
		}
		c.SetWriteDeadline(time.Now().Add(floodStallTimeout))
		wrote, err := io.WriteString(c, piece.String())
		if sent += wrote; err != nil {
			return
		}
	}
}

func getCommandWithKey(length int, id string) string {
	return fakes.Words("C.GET", strings.Repeat("k", length), id, "c=read,t=acme,d=20000")
}

// A client that pipelines more than is kept must be able to tell which command each answer belongs to. What overflows
// is rejected in the order of the commands; what is accepted has its own answer.
func TestOverflowIsRejectedInCommandOrder(t *testing.T) {
	h := scriptedServer(t)
	b := newBalancerBefore(t, h.Address, nil)
	c := dial(t, serveClients(t, b))
	var all strings.Builder
	sent := 0
	for ; all.Len() < overflowBytes; sent++ {
		all.WriteString(getCommand(fmt.Sprint(sent), "c=read,t=acme,d=20000"))
	}
	go io.WriteString(c, all.String())
	until(t, "a rejection", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.counters.totalFor("sent_back", 0) > 0
	})
	go func() {
		for {
			select {
			case came := <-h.Came:
				came.Say(fakes.Settled(came.Words[2]))
			case <-t.Context().Done():
				return
			}
		}
	}()
	in, served, rejected := bufio.NewReader(c), 0, 0
	c.SetReadDeadline(time.Now().Add(slowEventTimeout))
	for n := range sent {
		words, err := fakes.Message(in)
		switch got := strings.Join(words, " "); {
		case err != nil:
			t.Fatalf("answer %d of %d: %v", n, sent, err)
		case got == fmt.Sprint(n):
			served++
		case strings.HasPrefix(got, "-BUSY"):
			rejected++
		default:
			t.Fatalf("command %d is answered %q", n, got)
		}
	}
	if served < maxPipelined || rejected == 0 {
		t.Errorf("%d served, %d rejected", served, rejected)
	}
	t.Logf("%d served, %d rejected", served, rejected)
}

// A close that stands behind more commands than are kept must be seen all the same, or all of them are sent for
// nobody. What the server has not begun soon after the close it never gets, though it would accept all without a
// pause.
func TestCloseBehindQueuedCommandsIsSeenSoon(t *testing.T) {
	h := scriptedServer(t)
	var last atomic.Int64 // when the server got one
	go func() {
		for {
			select {
			case came := <-h.Came:
				last.Store(time.Now().UnixNano())
				came.Say(fakes.Settled("v"))
			case <-t.Context().Done():
				return
			}
		}
	}()
	b := newBalancerBefore(t, h.Address, nil)
	var clients *transport.Listener
	c := dial(t, serveClients(t, b, func(l *transport.Listener) { clients = l }))
	b.mu.Lock() // Nothing is taken up until the close stands behind all that the kernel holds.
	writeFloodWithKey(c, shortKey)
	c.Close()
	closed := time.Now()
	b.mu.Unlock()
	until(t, "the end of what the client asked for", func() bool { return clients.Count() == 0 && b.requestsHeld() == 0 })
	late := time.Unix(0, last.Load()).Sub(closed)
	t.Logf("the last command came %v after the close", late)
	if late > maxLateSend || b.counted("sent_after_left") > 0 {
		t.Errorf("the last command came %v after the close, %d over 50 ms after it was seen", late, b.counted("sent_after_left"))
	}
}
