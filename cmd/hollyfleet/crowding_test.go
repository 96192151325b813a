package main

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"hollylever/fakes"
)

// floodLength is some leases of the tests long.
const floodLength = 3 * time.Second

// flood has clients send PINGs at full speed to a process until the end, and reads the replies.
func flood(p *process, clients int, end time.Time, all *sync.WaitGroup) {
	batch := strings.Repeat(fakes.EncodeCommand("PING"), 200)
	for range clients {
		all.Go(func() {
			c, err := net.Dial("tcp", p.clientAddress)
			if err != nil {
				return
			}
			defer c.Close()
			c.SetDeadline(end)
			go func() { _, _ = io.Copy(io.Discard, c) }()
			for time.Now().Before(end) {
				if _, err := io.WriteString(c, batch); err != nil {
					return
				}
			}
		})
	}
}

// Clients send at full speed to all members: these keep their leases and answer
// operators.
func TestLeasesAreKeptBesideClientsAtFullSpeed(t *testing.T) {
	c := newIdleCluster(t, 1, 3, 3, nil)
	c.waitForAgreement(1)
	var all sync.WaitGroup
	end := time.Now().Add(floodLength)
	for _, p := range c.processes {
		flood(p, 10, end, &all)
	}
	checks, longest := 0, time.Duration(0)
	metronome := fakes.StartMetronome()
	for ; time.Now().Before(end); time.Sleep(leaseTiming.LeaseDuration / 20) {
		for _, p := range c.processes {
			s, took, err := p.timedStatus()
			longest = max(longest, took)
			if err != nil || !s.Effective.IsLeased {
				t.Errorf("%s: leased %v, error %v; want a lease", p.name, s.Effective.IsLeased, err)
			}
			checks++
		}
	}
	all.Wait()
	c.waitForAgreement(1)
	if late := metronome.Stop(); longest > leaseTiming.LeaseDuration/2+late {
		t.Errorf("an operator's answer takes %v, want half of a lease at most, and %v that the test was late", longest, late)
	}
	if checks < 30 {
		t.Errorf("only %d looks at the members", checks)
	}
}
