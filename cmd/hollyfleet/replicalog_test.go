package main

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hollylever/fakes/syscalls"
	"hollylever/fleetconfig"
)

// The disks of a majority of the replicas failed at once, as when they are full, and the fleet accepted nothing any
// more until each process was restarted. What was accepted before has to stay, and once the disks work again
// proposals have to be accepted without any restart.
func TestReplicasRecoverFromFailedSyncs(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 45, 3, 3, func(p *process) { p.hasSyscallFaults = true })
	propose := func(id string) bool {
		a, err := c.processes[0].propose(fleetconfig.Proposal{ID: id, Reason: "disk", EjectEndpoints: []string{id}})
		return err == nil && a.Revision != 0
	}
	c.waitForAgreement(1)
	waitFor(t, "a revision before the faults", func() bool { return propose("before") })
	for _, p := range c.processes {
		p.syscallFaults.Fail("syncs", syscalls.Syncs, 1)
	}
	for n := range 3 {
		go propose(fmt.Sprint("amid-", n))
	}
	waitFor(t, "a sync that fails at a majority", func() bool { // The third has nothing to write once they are silent.
		failed := 0
		for _, p := range c.processes {
			if p.syscallFaults.Failed() > 0 {
				failed++
			}
		}
		return failed >= 2
	})
	time.Sleep(time.Second) // The faults last: replicas are restarted, and fail again.
	for _, p := range c.processes {
		p.syscallFaults.Fail("syncs", syscalls.Syncs, 0)
	}
	waitFor(t, "a revision after the faults", func() bool { return propose("after") })
	// A majority has accepted it; the first process's own replica, just restarted, may hear of that a moment later.
	waitFor(t, "a history with both revisions", func() bool {
		history := c.processes[0].history(t)
		return slices.Contains(history, "before") && slices.Contains(history, "after")
	})
}
