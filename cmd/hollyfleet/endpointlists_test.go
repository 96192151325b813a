package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"hollylever/fakes"
	"hollylever/fleetconfig"
)

// hasLogged tells whether a process wrote this message.
func (p *process) hasLogged(message string) bool {
	text, _ := os.ReadFile(p.logFile)
	return strings.Contains(string(text), message)
}

// Each process follows a discovery server of its own, and one of these stalls, another contradicts a third, the last
// begins anew. A process that believed its own list alone would send to endpoints that shut down: drains of a later
// list, and of another list of the same index, have to apply to all, and a list that goes back must not bring
// endpoints back.
func TestDrainsOfLaterOrConflictingListsApply(t *testing.T) {
	t.Parallel()
	var lists []*fakes.Discovery
	entries := map[string]string{}
	for h := range 4 {
		entries[fmt.Sprint("h", h)] = fakes.Entry(fmt.Sprint("h", h), freeAddress(t), "Ready")
	}
	c := newIdleCluster(t, 8, 3, 3, func(p *process) {
		list := fakes.NewDiscovery()
		lists = append(lists, list)
		list.SetIndex(4)
		list.UpdateEntries(entries)
		text, err := os.ReadFile(p.configFile)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(p.configFile, []byte(strings.Replace(string(text), "127.0.0.1:1", list.Address, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
	})
	for _, list := range lists {
		defer list.Close()
	}
	c.waitForAgreement(1)
	out := func(n int, hosts ...string) bool {
		s, err := c.processes[n].status()
		return err == nil && slices.Equal(s.PeerDrains, hosts)
	}
	drains := func(n int, host string) {
		lists[n].UpdateEntries(map[string]string{host: strings.Replace(entries[host], "Ready", "Terminating", 1)})
	}
	drains(0, "h1") // Index 6; the others have 5.
	waitFor(t, "a drain of a later list", func() bool { return out(1, "h1") && out(2, "h1") })
	waitFor(t, "saying that it is behind", func() bool { return c.processes[1].hasLogged("endpoint list behind a peer's") })
	drains(1, "h2") // Index 6 too, and another list.
	waitFor(t, "drains of both lists", func() bool { return out(0, "h2") && out(1, "h1") && out(2, "h1", "h2") })
	waitFor(t, "saying that they contradict", func() bool { return c.processes[0].hasLogged("endpoint list differs from a peer's of the same index") })
	drains(2, "h3")
	lists[0].SetIndex(1) // It starts anew, and knows of no drain.
	lists[0].UpdateEntries(entries)
	waitFor(t, "saying that it went back", func() bool { return c.processes[0].hasLogged("endpoint list index went back") })
	waitFor(t, "what it had drained staying out", func() bool { s, _ := c.processes[0].status(); return slices.Contains(s.PeerDrains, "h1") })
}

// Members without a replica are killed and started every half second while proposals are accepted. All that are up
// have to act on each revision, and no two contradict each other for longer than MaxDisagreement.
func TestMembersThatComeAndGoAgree(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 10, 6, 3, nil)
	c.waitForAgreement(1)
	version := uint64(1)
	for round := range 8 {
		p := c.processes[3+round%3]
		if p.cmd != nil {
			c.kill(p)
		} else {
			c.start(p)
		}
		began := time.Now()
		waitFor(t, "a revision", func() bool {
			a, err := c.processes[round%3].propose(fleetconfig.Proposal{ID: fmt.Sprint("c", round), EjectEndpoints: []string{fmt.Sprint("c", round)}})
			version = max(version, a.Revision)
			return err == nil && a.Revision != 0
		})
		time.Sleep(max(0, 500*time.Millisecond-time.Since(began))) // How long each stays or is gone: the fault.
	}
	for _, p := range c.processes {
		if p.cmd == nil {
			c.start(p)
		}
	}
	c.waitForAgreement(version)
	if worst, wrong := checkTrace(c.mergedTrace(), leaseTiming.MaxPause); wrong != "" || worst > leaseTiming.MaxDisagreement() {
		t.Errorf("longest contradiction %v of %v; %s", worst, leaseTiming.MaxDisagreement(), wrong)
	}
}
