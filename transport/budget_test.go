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

// Several clients send large values at once. Buffers over the usual size grow out of one budget, of which one has half
// at most, and give it back when they are done.
func TestLargeBuffersShareABudget(t *testing.T) {
	budget, most := NewBudget(5*MaxBuffer), 2*MaxBuffer
	a, b, c := &Conn{budget: budget}, &Conn{budget: budget}, &Conn{budget: budget}
	if x, y, z := a.Grow(most), b.Grow(most), c.Grow(most); x != Open || y != Open || z != LocalShortage || len(a.buffer) != most {
		t.Fatalf("%v, %v, %v, %d bytes", x, y, z, len(a.buffer))
	}
	a.end = most
	own, done := a.Take(most)
	if len(own) != most || a.buffer != nil || c.Grow(most) != LocalShortage {
		t.Fatal("what is taken and still used is the others'")
	}
	done()
	if c.Grow(most) != Open || c.Grow(2*most) != LocalShortage {
		t.Fatal("what one has done with is not the others'")
	}
	c.end = most
	if c.Skip(most); len(c.buffer) != 0 || a.Grow(most) != Open {
		t.Fatal("what was skipped is kept")
	}
	if one := NewBudget(5 * MaxBuffer); (&Conn{budget: one}).Grow(3*MaxBuffer) != LocalShortage {
		t.Fatal("one has more than half")
	}
	for n := MaxBuffer + 1; n <= MaxMessage; n += 4099 {
		if size := roundedSize(n); size < n || size > n+n/4 || roundedSize(size) != size {
			t.Fatalf("%d is given %d", n, size)
		}
	}
	if (&Conn{}).Grow(most) != LocalShortage {
		t.Fatal("a connection without a budget grows over the usual size")
	}
}

// Clients send large values faster than the garbage collector runs. Their buffers are used again, so that memory stays
// within a part of what was sent.
func TestLargeBuffersAreUsedAgain(t *testing.T) {
	l, err := Listen("127.0.0.1:0", 4)
	if err != nil {
		t.Fatal(err)
	}
	const size, many, sides = 1 << 20, 96, 3
	l.Budget = NewBudget(4 * size)
	go l.Serve(func(c *Client) {
		for c.Grow(size) == Open {
			for len(c.Unread()) < size {
				if c.Fill(time.Time{}) != Open {
					return
				}
			}
			c.BeginReply()
			own, done := c.Take(size)
			if own[0] != 'v' || own[size-1] != 'e' {
				c.Conn.Close()
			}
			done()
			c.Send([]byte("x"), testDeadline())
			c.EndReply()
		}
	})
	defer debug.SetGCPercent(debug.SetGCPercent(-1)) // As slow as a collector can be.
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	value := []byte("v" + strings.Repeat("-", size-2) + "e")
	var clients sync.WaitGroup
	for range sides {
		clients.Go(func() {
			c, err := net.Dial("tcp", l.Address())
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(10 * time.Second))
			for range many / sides {
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
	if took := after.TotalAlloc - before.TotalAlloc; took > many*size/2 {
		t.Errorf("%d values of %d bytes, three at a time, took %d bytes", many, size, took)
	}
	if !l.Close(testDeadline()) {
		t.Error("it does not end")
	}
}
