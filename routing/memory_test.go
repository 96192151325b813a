package routing

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"hollylever/fakes"
	"hollylever/transport"
)

// serveWithMemory has a balancer before the server at an address serve clients, with so many bytes of memory for them.
func serveWithMemory(t *testing.T, server string, limit int64) (b *Balancer, address string) {
	t.Helper()
	b = newBalancerBefore(t, server, nil)
	b.memory = transport.NewMemoryAccount(limit)
	b.pool.Memory = b.memory
	return b, serveClients(t, b, func(l *transport.Listener) {
		l.Memory = b.memory
		l.Budget = transport.NewBudget(limit)
		l.Budget.Memory = b.memory
	})
}

// There is no memory for a long command of a client that has sent others behind it. It is rejected alone: the others,
// which may have arrived in full, must be answered.
func TestCommandsBehindRejectedLongOneAreAnswered(t *testing.T) {
	for name, size := range map[string]int{"ordinary": 60000, "large": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			h := scriptedServer(t)
			b, address := serveWithMemory(t, h.Address, 64<<10)
			c := dial(t, address)
			go io.WriteString(c, fakes.EncodeCommand("C.SET", "k", "1", "c=report,t=acme,k=1,d=2000", strings.Repeat("v", size))+getCommand("2", "c=read,t=acme,d=20000"))
			go receive(t, h.Commands, "the command behind the rejected one").Reply(fakes.ValueReply("served"))
			reader := bufio.NewReader(c)
			c.SetReadDeadline(time.Now().Add(slowEventTimeout))
			for _, want := range []string{"-BUSY", "served"} {
				if words, err := fakes.ReadMessage(reader); err != nil || strings.Join(words, " ") != want {
					t.Fatalf("reply %q, %v; want %s", words, err, want)
				}
			}
			if n := b.counted(counterRejectedMemory); n != 1 {
				t.Errorf("%d commands are counted as rejected for memory", n)
			}
		})
	}
}

// A client sends many requests at once whose responses are long. Those for which there is no memory wait in the kernel,
// and come once the client has read others; none is lost, and all memory is returned.
func TestLongResponsesWaitForMemory(t *testing.T) {
	const requests, size, limit = 8, 60000, 512 << 10 // Not enough for all responses.
	h := scriptedServer(t)
	b, address := serveWithMemory(t, h.Address, limit)
	go func() {
		for {
			select {
			case command := <-h.Commands:
				go command.Reply(fakes.ValueReply(strings.Repeat("v", size)))
			case <-t.Context().Done():
				return
			}
		}
	}()
	c := dial(t, address)
	for n := range requests {
		io.WriteString(c, getCommand(fmt.Sprint(n), "c=read,t=acme,d=20000"))
	}
	reader := bufio.NewReader(c)
	c.SetReadDeadline(time.Now().Add(slowEventTimeout))
	for n := range requests {
		if words, err := fakes.ReadMessage(reader); err != nil || len(words) != 1 || len(words[0]) != size {
			t.Fatalf("reply %d: %.40q, %v", n, words, err)
		}
		if inUse := b.memory.InUse(); inUse > limit {
			t.Errorf("%d bytes are in use, %d allowed", inUse, limit)
		}
	}
	c.Close()
	b.pool.SetLimit(0)
	until(t, "the return of all memory", func() bool { return b.memory.InUse() == 0 })
}

// One client has many requests in flight. It must not take the memory that the first request of another needs.
func TestPipeliningClientLeavesMemoryToOthers(t *testing.T) {
	b := newTestBalancer(t, 1<<20)
	b.memory = transport.NewMemoryAccount(100 * memoryPerRequest)
	b.memory.Add(60 * memoryPerRequest)
	for position, hasMemory := range map[int]bool{0: true, 1: true, maxPipelined - 1: false} {
		x := b.newExchange(requestArguments("c=read,d=100"), false, client{repliesBefore: func() int { return position }})
		if got := x.hasMemory(); got != hasMemory {
			t.Errorf("%d replies are owed to the client: there is memory for one more request: %v, want %v", position, got, hasMemory)
		}
	}
}
