package transport

import (
	"net"
	"testing"
	"time"
)

// More memory is in use than the limit allows. A small command must be read all the same, as it needs no buffer but the
// first: otherwise a PING is rejected while others send much.
func TestFirstBufferNeedsNoMemory(t *testing.T) {
	memory := NewMemoryAccount(1 << 20)
	memory.Add(2 << 20)
	l, err := Listen("127.0.0.1:0", 2)
	if err != nil {
		t.Fatal(err)
	}
	l.Memory = memory
	t.Cleanup(func() { l.Close(time.Now()); l.ResetAll(time.Second) })
	ends := make(chan End, 1)
	go l.Serve(func(c *Client) { ends <- c.Fill(time.Time{}) })
	c, err := net.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte("x"))
	if end := <-ends; end != Open {
		t.Errorf("a byte is read with %v, want %v", end, Open)
	}
}

// Clients whose buffers grow must not take the memory that requests and their responses need: all requests would be
// rejected for as long as others send.
func TestBuffersLeaveMemoryForRequests(t *testing.T) {
	memory := NewMemoryAccount(4 << 20)
	budget := NewBudget(4 << 20)
	budget.Memory = memory
	l := &Listener{Memory: memory}
	for range 100 {
		c := &Client{Conn: Conn{memory: memory, budget: budget}, listener: l}
		for c.ensureSpace(c.bufferKeepFree()) == Open && c.end < MaxBuffer {
			c.end = len(c.buffer)
		}
		c.Grow(MaxBuffer + 1)
	}
	if free := memory.Limit() - memory.InUse(); free < memory.Limit()/bufferReserveDivisor || free > memory.Limit()/2 {
		t.Errorf("the buffers of a hundred clients leave %d bytes of %d", free, memory.Limit())
	}
}
