package fakes

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

// Guards the check of the rule: a cold host that is asked for too much for long enough counts as overloaded, one that is asked for
// less, or a warm one, does not.
func TestOverloadOfAColdHostIsCounted(t *testing.T) {
	for _, c := range []struct {
		cold   bool
		rate   int
		pushed bool
	}{{true, 400, true}, {true, 50, false}, {false, 400, false}} {
		h, err := NewHost("s", NewOrigin(0, 100), HostOptions{ServiceTime: time.Millisecond, Concurrency: 1, QueueLength: 1000, WarmUp: time.Hour, ColdCapacity: 0.1, OverloadFactor: 2.5, OverloadTime: 200 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		defer h.Close()
		if c.cold {
			if err := h.Restart(); err != nil {
				t.Fatal(err)
			}
		}
		// The pace is kept over time, however late single requests are begun; on a machine so busy that it is not, it is asked for longer.
		least, most := 1500*time.Millisecond, 1500*time.Millisecond
		if c.pushed {
			most = 20 * time.Second
		}
		var all sync.WaitGroup
		began := time.Now()
		for n := 0; ; n++ {
			took := time.Since(began)
			if took >= most || took >= least && h.Figures().Overloads > 0 {
				break
			}
			time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / time.Duration(c.rate))))
			all.Go(func() {
				conn, err := net.Dial("tcp", h.Address)
				if err != nil {
					return
				}
				defer conn.Close()
				conn.Write([]byte(EncodeCommand("C.GET", "k", fmt.Sprint(n), "c=read,d=1000")))
				conn.SetReadDeadline(time.Now().Add(time.Second))
				conn.Read(make([]byte, 100))
			})
		}
		if pushed := h.Figures().Overloads; pushed > 0 != c.pushed {
			t.Errorf("cold %t at %d a second: %d too many", c.cold, c.rate, pushed)
		}
		h.Close()
		all.Wait()
	}
}

// The port of a host that is down must not be taken by one of the many connections and listeners beside it: the host could not come
// back, and a test would fail for that.
func TestHostKeepsItsPortWhileItIsDown(t *testing.T) {
	h, err := Scripted()
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	for range 3 {
		h.Crash()
		if l, err := net.Listen("tcp", h.Address); err == nil {
			l.Close()
			t.Error("the port of a host that is down can be taken")
		}
		if c, err := net.Dial("tcp", h.Address); err == nil {
			c.Close()
			t.Error("a host that is down is connected to")
		}
		if err := h.Restart(); err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", h.Address)
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
	}
}
