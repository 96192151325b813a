package server

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// Clients connect and disconnect in every way, whatever hosts do meanwhile: afterwards the process has as many
// descriptors as before, and no request is in flight.
func TestDisconnectedClientsLeaveNothing(t *testing.T) {
	t.Parallel()
	at, came := startHost(t)
	changed := settingsWith(`"allowed":{"cancelling":true,"connIdle":500,"dialTimeout":200,"mostHeld":2000,"mostTrips":3,"secondCopies":true,"retryAfter":true,"maxRetryAfter":1000}`)
	changed["mgmt"] = "127.0.0.1:0"
	p := startProgram(t, endpointList(0, true, listEntry("s", at, "Ready")), changed)
	descriptors := func() int {
		all, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		return len(all)
	}
	p.waitForMetric("concurrent", 0)
	before := descriptors()
	go func() {
		for n := 0; ; n++ {
			c, more := <-came
			if !more {
				return
			}
			switch n % 4 {
			case 0:
				c.Reply(valueReply("v"))
			case 1:
				c.Reply(valueReply("v")[:9]) // And no more.
			case 2:
				c.Close()
			case 3: // Nothing.
			}
		}
	}()
	for n := range 200 {
		c := p.connect().send("C.GET", "k", fmt.Sprint(n), "c=read,t=acme,d=100")
		switch n % 4 {
		case 0:
			c.SetLinger(0)
		case 1:
			readMessage(c.in)
		case 2:
			c.send("noise")
			c.CloseWrite()
		case 3:
			c.Write([]byte(encodeCommand("C.GET", "k", "half", "c=read")[:20]))
		}
		c.Close()
	}
	p.waitForMetric("concurrent", 0)
	for end := time.Now().Add(testTimeout); descriptors() > before; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d descriptors, %d before", descriptors(), before)
		}
	}
}
