package main

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hollylever/fakes/syscalls"
	"hollylever/fleetconfig"
)

// The folders of all replicas fail for a while: what was accepted before stays, and once they go well again proposals are accepted, with
// no process started anew.
func TestFoldersThatFailForAWhile(t *testing.T) {
	t.Parallel()
	w := newTown(t, 45, 3, 3, func(p *process) { p.isFaulty = true })
	propose := func(id string) bool {
		a, err := w.procs[0].propose(fleetconfig.Proposal{ID: id, Reason: "disk", EjectEndpoints: []string{id}})
		return err == nil && a.Revision != 0
	}
	w.agree(1)
	until(t, "a version before the faults", func() bool { return propose("before") })
	for _, p := range w.procs {
		p.system.Fail("syncs", syscalls.Syncs, 1)
	}
	for n := range 3 {
		go propose(fmt.Sprint("amid-", n))
	}
	until(t, "a sync that fails at a majority", func() bool { // The third has nothing to write once they are silent.
		failed := 0
		for _, p := range w.procs {
			if p.system.Failed() > 0 {
				failed++
			}
		}
		return failed >= 2
	})
	time.Sleep(time.Second) // The faults last: replicas are begun again, and fail again.
	for _, p := range w.procs {
		p.system.Fail("syncs", syscalls.Syncs, 0)
	}
	until(t, "a version after the faults", func() bool { return propose("after") })
	history := w.procs[0].history(t)
	if !slices.Contains(history, "before") || !slices.Contains(history, "after") {
		t.Errorf("the history is %q", history)
	}
}
