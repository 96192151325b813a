package transport

import (
	"net"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"
)

// Several clients send large values at once. Buffers over MaxBuffer are taken from one shared budget, each at most half
// of it, and returned when they are released.
func TestLargeBuffersShareABudget(t *testing.T) {
	budget, size := NewBudget(5*MaxBuffer), 2*MaxBuffer
	a, b, c := &Conn{budget: budget}, &Conn{budget: budget}, &Conn{budget: budget}
	if x, y, z := a.Grow(size), b.Grow(size), c.Grow(size); x != Open || y != Open || z != LocalShortage || len(a.buffer) != size {
		t.Fatalf("Grow: %v, %v, %v, want two Open and one LocalShortage; buffer of %d bytes, want %d", x, y, z, len(a.buffer), size)
	}
	a.end = size
	taken, release := a.Take(size)
	if len(taken) != size || a.buffer != nil || c.Grow(size) != LocalShortage {
		t.Fatal("a buffer that was taken and not released is available to others")
	}
	release()
	if c.Grow(size) != Open || c.Grow(2*size) != LocalShortage {
		t.Fatal("a released buffer is not available to others, or a buffer from the budget grew again")
	}
	c.end = size
	if c.Skip(size); len(c.buffer) != 0 || a.Grow(size) != Open {
		t.Fatal("the buffer of skipped bytes is not released")
	}
	if unused := NewBudget(5 * MaxBuffer); (&Conn{budget: unused}).Grow(3*MaxBuffer) != LocalShortage {
		t.Fatal("one buffer takes more than half of the budget")
	}
	for n := MaxBuffer + 1; n <= MaxMessage; n += 4099 {
		if size := roundedSize(n); size < n || size > n+n/4 || roundedSize(size) != size {
			t.Fatalf("roundedSize(%d) = %d", n, size)
		}
	}
	if (&Conn{}).Grow(size) != LocalShortage {
		t.Fatal("a connection without a budget grows over MaxBuffer")
	}
}

// Clients send large values faster than the garbage collector runs. Their buffers must be reused, so that the memory
// allocated stays well below the bytes sent.
func TestLargeBuffersAreReused(t *testing.T) {
	l, err := Listen("127.0.0.1:0", 4)
	if err != nil {
		t.Fatal(err)
	}
	const size, values, connections = 1 << 20, 96, 3
	l.Budget = NewBudget(4 * size)
	go l.Serve(func(c *Client) {
		for c.Grow(size) == Open {
			for len(c.Unread()) < size {
				if c.Fill(time.Time{}) != Open {
					return
				}
			}
			c.BeginReply()
			taken, release := c.Take(size)
			if taken[0] != 'v' || taken[size-1] != 'e' {
				c.Conn.Close()
			}
			release()
			c.Send([]byte("x"), testDeadline())
			c.EndReply()
		}
	})
	defer debug.SetGCPercent(debug.SetGCPercent(-1)) // The collector does not run at all.
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	value := []byte("v" + strings.Repeat("-", size-2) + "e")
	var clients sync.WaitGroup
	for range connections {
		clients.Go(func() {
			c, err := net.Dial("tcp", l.Address())
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(10 * time.Second))
			for range values / connections {
				c.Write(value)
				if n, err := c.Read(make([]byte, 1)); n != 1 {
					t.Error(err)
					return
				}
			}
		})
	}
	clients.Wait()
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > values*size/2 {
		t.Errorf("%d values of %d bytes over %d connections allocated %d bytes", values, size, connections, allocated)
	}
	if !l.Close(testDeadline()) {
		t.Error("Close does not complete")
	}
}
