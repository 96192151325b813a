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
	maxFloodBytes     = 8 << 20                // more than the kernel buffers on both sides
	floodStallTimeout = 200 * time.Millisecond // a write that takes longer means that the kernel's buffers are full
	floodWriteSize    = 32 << 10               // bytes per write
	longKey           = 400                    // key length with which a flood has some thousand commands
	shortKey          = 16                     // key length with which a flood has some ten thousand commands
	overflowBytes     = 8 * transport.MaxBuffer
)

// writeFlood writes commands until the kernel's buffers are full.
func writeFlood(c *net.TCPConn) { writeFloodWithKey(c, longKey) }

func writeFloodWithKey(c *net.TCPConn, keyLength int) {
	var chunk strings.Builder
	for n, sent := 0, 0; sent < maxFloodBytes; {
		for chunk.Reset(); chunk.Len() < floodWriteSize; n++ {
			chunk.WriteString(getCommandWithKey(keyLength, fmt.Sprint("flood-", n)))
		}
		c.SetWriteDeadline(time.Now().Add(floodStallTimeout))
		written, err := io.WriteString(c, chunk.String())
		if sent += written; err != nil {
			return
		}
	}
}

func getCommandWithKey(keyLength int, id string) string {
	return fakes.EncodeCommand("C.GET", strings.Repeat("k", keyLength), id, "c=read,t=acme,d=20000")
}

// A client that pipelines more commands than the balancer keeps must be able to tell which command each reply belongs to.
// Commands that overflow are rejected in command order, and accepted commands get their own replies.
func TestOverflowIsRejectedInCommandOrder(t *testing.T) {
	h := scriptedServer(t)
	b := newBalancerBefore(t, h.Address, nil)
	c := dial(t, serveClients(t, b))
	var commands strings.Builder
	sent := 0
	for ; commands.Len() < overflowBytes; sent++ {
		commands.WriteString(getCommand(fmt.Sprint(sent), "c=read,t=acme,d=20000"))
	}
	go io.WriteString(c, commands.String())
	until(t, "a rejection", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.counters.totalFor("sent_back", 0) > 0
	})
	go func() {
		for {
			select {
			case command := <-h.Commands:
				command.Reply(fakes.ValueReply(command.Words[2]))
			case <-t.Context().Done():
				return
			}
		}
	}()
	reader, served, rejected := bufio.NewReader(c), 0, 0
	c.SetReadDeadline(time.Now().Add(slowEventTimeout))
	for n := range sent {
		words, err := fakes.ReadMessage(reader)
		switch got := strings.Join(words, " "); {
		case err != nil:
			t.Fatalf("reply %d of %d: %v", n, sent, err)
		case got == fmt.Sprint(n):
			served++
		case strings.HasPrefix(got, "-BUSY"):
			rejected++
		default:
			t.Fatalf("command %d got reply %q, want its number or -BUSY", n, got)
		}
	}
	if served < maxPipelined || rejected == 0 {
		t.Errorf("%d served, %d rejected; want at least %d served and some rejected", served, rejected, maxPipelined)
	}
	t.Logf("%d served, %d rejected", served, rejected)
}

// If a client's close follows more commands than the balancer keeps and is not detected, all of them are sent to the server
// although nobody reads the replies. The server here accepts commands without a pause, and must get none later than
// maxLateSend after the close.
func TestCloseBehindQueuedCommandsIsSeenSoon(t *testing.T) {
	h := scriptedServer(t)
	var lastReceivedAt atomic.Int64 // when the server last got a command
	go func() {
		for {
			select {
			case command := <-h.Commands:
				lastReceivedAt.Store(time.Now().UnixNano())
				command.Reply(fakes.ValueReply("v"))
			case <-t.Context().Done():
				return
			}
		}
	}()
	b := newBalancerBefore(t, h.Address, nil)
	var listener *transport.Listener
	c := dial(t, serveClients(t, b, func(l *transport.Listener) { listener = l }))
	b.mu.Lock() // Holds up all requests until the kernel's buffers are full and the close follows.
	writeFloodWithKey(c, shortKey)
	c.Close()
	closedAt := time.Now()
	b.mu.Unlock()
	until(t, "the end of the client's connection and requests", func() bool { return listener.Count() == 0 && b.requestsHeld() == 0 })
	delay := time.Unix(0, lastReceivedAt.Load()).Sub(closedAt)
	t.Logf("the server got the last command %v after the close", delay)
	if delay > maxLateSend || b.counted("sent_after_left") > 0 {
		t.Errorf("the server got the last command %v after the close (allowed: %v); %d attempts were sent over 50 ms after the close was read", delay, maxLateSend, b.counted("sent_after_left"))
	}
}
