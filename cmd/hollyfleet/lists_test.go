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

// logged tells whether a process wrote this line.
func (p *process) logged(message string) bool {
	text, _ := os.ReadFile(p.log)
	return strings.Contains(string(text), message)
}

// TestListsThatContradict: one discovery for each process. A later list's drain counts for those whose own is late; under one index drains of either list
// count for both; of a list that goes back nothing that it loosens counts.
func TestListsThatContradict(t *testing.T) {
	t.Parallel()
	var lists []*fakes.Discovery
	entries := map[string]string{}
	for h := range 4 {
		entries[fmt.Sprint("h", h)] = fakes.Entry(fmt.Sprint("h", h), free(t), "Ready")
	}
	w := quietTown(t, 8, 3, 3, func(p *process) {
		list := fakes.NewDiscovery()
		lists = append(lists, list)
		list.Count(4)
		list.Tell(entries)
		text, err := os.ReadFile(p.config)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(p.config, []byte(strings.Replace(string(text), "127.0.0.1:1", list.Address, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
	})
	for _, list := range lists {
		defer list.Close()
	}
	w.agree(1)
	out := func(n int, hosts ...string) bool {
		s, err := w.procs[n].status()
		return err == nil && slices.Equal(s.News, hosts)
	}
	drains := func(n int, host string) {
		lists[n].Tell(map[string]string{host: strings.Replace(entries[host], "Ready", "Terminating", 1)})
	}
	drains(0, "h1") // Index 6; the others have 5.
	until(t, "a drain of a later list", func() bool { return out(1, "h1") && out(2, "h1") })
	until(t, "saying that it is behind", func() bool { return w.procs[1].logged("endpoint list behind a peer's") })
	drains(1, "h2") // Index 6 too, and another list.
	until(t, "drains of both lists", func() bool { return out(0, "h2") && out(1, "h1") && out(2, "h1", "h2") })
	until(t, "saying that they contradict", func() bool { return w.procs[0].logged("endpoint list differs from a peer's of the same index") })
	drains(2, "h3")
	lists[0].Count(1) // It begins anew, and knows of no drain.
	lists[0].Tell(entries)
	until(t, "saying that it went back", func() bool { return w.procs[0].logged("endpoint list index went back") })
	until(t, "what it had drained staying out", func() bool { s, _ := w.procs[0].status(); return slices.Contains(s.News, "h1") })
}

// TestComeAndGo: those that are no keepers come and go every half second, by turns and by SIGKILL, while versions are proposed. All that are there
// act on each, and T holds.
func TestComeAndGo(t *testing.T) {
	t.Parallel()
	w := newTown(t, 10, 6, 3, nil)
	w.agree(1)
	version := uint64(1)
	for round := range 8 {
		p := w.procs[3+round%3]
		if p.cmd != nil {
			w.kill(p)
		} else {
			w.start(p)
		}
		began := time.Now()
		until(t, "a version", func() bool {
			a, err := w.procs[round%3].propose(fleetconfig.Proposal{ID: fmt.Sprint("c", round), EjectEndpoints: []string{fmt.Sprint("c", round)}})
			version = max(version, a.Revision)
			return err == nil && a.Revision != 0
		})
		time.Sleep(max(0, 500*time.Millisecond-time.Since(began))) // How long each stays or is gone: the fault.
	}
	for _, p := range w.procs {
		if p.cmd == nil {
			w.start(p)
		}
	}
	w.agree(version)
	if worst, wrong := check(w.trace(), terms.MaxPause); wrong != "" || worst > terms.MaxDisagreement() {
		t.Errorf("longest contradiction %v of %v; %s", worst, terms.MaxDisagreement(), wrong)
	}
}
