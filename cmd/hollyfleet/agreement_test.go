package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"hollylever/fakes/between"
	"hollylever/fleetconfig"
)

// playFaults plays a seed's faults between the processes, with proposals all the while, and then heals all. It
// returns the proposals that got a final answer.
func playFaults(c *cluster, seconds int) (asked []porcupine.Operation) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	began := time.Now()
	propose := func(n int) {
		p, host := c.processes[c.random.IntN(len(c.processes))], fmt.Sprint("h", c.random.IntN(5))
		proposal := fleetconfig.Proposal{ID: fmt.Sprint("p", n), Reason: "plan"}
		if proposal.EjectEndpoints = []string{host}; c.random.IntN(2) == 0 {
			proposal.EjectEndpoints, proposal.UnejectEndpoints = nil, proposal.EjectEndpoints
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			call := time.Since(began)
			a, err := p.propose(proposal)
			if end := time.Since(began); err == nil && (a.Revision != 0 || a.IsFinal) {
				mu.Lock()
				asked = append(asked, porcupine.Operation{ClientId: n, Input: proposal.ID, Call: int64(call), Output: a.Revision, Return: int64(end)})
				mu.Unlock()
			}
		}()
	}
	for n := 0; time.Since(began) < time.Duration(seconds)*time.Second; n++ {
		p := c.processes[c.random.IntN(len(c.processes))]
		switch c.random.IntN(12) {
		case 0, 1:
			side := []bool{}
			for range c.processes {
				side = append(side, c.random.IntN(2) == 0)
			}
			c.setFaults(func(i, j int) between.Faults { return between.Faults{Cut: side[i] != side[j]} })
		case 2: // What it sends is lost; it hears all.
			at := slices.Index(c.processes, p)
			c.setFaults(func(i, j int) between.Faults { return between.Faults{Cut: i == at} })
		case 3:
			c.setFaults(func(int, int) between.Faults {
				return between.Faults{Loss: 0.3, Repeats: 0.3, Spread: 60 * time.Millisecond}
			})
		case 4, 5:
			c.heal()
		case 6:
			c.kill(p)
		case 7, 8:
			for _, p := range c.processes {
				if p.cmd == nil {
					c.start(p)
				}
				c.resume(p)
			}
		case 9:
			c.suspend(p)
		}
		propose(2 * n)
		propose(2*n + 1)
		time.Sleep(time.Duration(150+c.random.IntN(400)) * time.Millisecond)
	}
	c.heal()
	for _, p := range c.processes {
		if p.cmd == nil {
			c.start(p)
		}
		c.resume(p)
	}
	wait.Wait()
	return asked
}

// revisionOrder is the model of a history: each accepted proposal has a revision of its own, in the order of real
// time.
var revisionOrder = porcupine.Model{
	Init: func() any { return uint64(1) },
	Step: func(state, _, output any) (bool, any) {
		return output.(uint64) > state.(uint64), output
	},
}

func planCount() int {
	if n, err := strconv.Atoi(os.Getenv("HOLLYFLEET_PLANS")); err == nil {
		return n
	}
	return 2
}

// Partitions (also one-way), loss, duplicates, crashes and suspended processes come at any moment, and clocks are off
// by the stated error. An operator's ejection must never be undone by a process that missed it: no two processes
// under leases contradict each other for longer than MaxDisagreement, nobody acts on a looser revision while a lease
// under an older one lasts, there is one history, and once all is healed all agree.
func TestFaultPlansKeepOneHistory(t *testing.T) {
	from, _ := strconv.Atoi(os.Getenv("HOLLYFLEET_FROM"))
	for seed := range planCount() {
		t.Run(fmt.Sprint(from+seed), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, uint64(from+seed), 5, 3, nil)
			c.waitForAgreement(1)
			asked := playFaults(c, 5)
			most, refused, accepted := uint64(1), map[string]bool{}, []porcupine.Operation{}
			for _, o := range asked {
				if most = max(most, o.Output.(uint64)); o.Output.(uint64) == 0 {
					refused[o.Input.(string)] = true
				} else {
					accepted = append(accepted, o)
				}
			}
			c.waitForAgreement(most)
			for _, id := range c.processes[0].history(t) {
				if refused[id] {
					t.Errorf("%s was answered no for sure, and is in the history", id)
				}
			}
			all := c.mergedTrace()
			worst, wrong := checkTrace(all, leaseTiming.MaxPause)
			if wrong != "" || worst > leaseTiming.MaxDisagreement() {
				t.Errorf("longest contradiction %v of %v; %s\n%s", worst, leaseTiming.MaxDisagreement(), wrong, c.logs())
			}
			if porcupine.CheckOperationsTimeout(revisionOrder, accepted, 20*time.Second) == porcupine.Illegal {
				t.Errorf("no one history: %v", accepted)
			}
			t.Logf("%d decisions, %d revisions, longest contradiction %v of T %v", len(all), most, worst, leaseTiming.MaxDisagreement())
		})
	}
}

// Processes that find each other by gossip are killed, suspended and started again, one after the other, while
// proposals are accepted: each has to learn of what it missed. (The relays stand between them only as they join; from
// then on they talk directly.)
func TestGossipMembersAgreeAcrossRestarts(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 7, 5, 3, func(p *process) {
		text, err := os.ReadFile(p.settingsFile)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(p.settingsFile, append(text, "way = \"gossip\"\n"...), 0o600); err != nil {
			t.Fatal(err)
		}
	})
	c.waitForAgreement(1)
	version := uint64(1)
	for n := range 3 {
		c.kill(c.processes[n])
		c.suspend(c.processes[4])
		waitFor(t, "a revision without two", func() bool {
			a, err := c.processes[3].propose(fleetconfig.Proposal{ID: fmt.Sprint("g", n), EjectEndpoints: []string{fmt.Sprint("g", n)}})
			version = max(version, a.Revision)
			return err == nil && a.Revision != 0
		})
		c.start(c.processes[n])
		c.resume(c.processes[4])
		c.waitForAgreement(version)
	}
	if worst, wrong := checkTrace(c.mergedTrace(), leaseTiming.MaxPause); wrong != "" || worst > leaseTiming.MaxDisagreement() {
		t.Errorf("longest contradiction %v of %v; %s\n%s", worst, leaseTiming.MaxDisagreement(), wrong, c.logs())
	}
}

// The process with the leader was suspended for longer than a lease, and went on as if nothing had happened, while
// another leader had accepted proposals. It must find its lease expired before it decides anything.
func TestSuspendedLeaderDecidesNothingOnItsOldLease(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 5, 3, nil)
	c.waitForAgreement(1)
	s, _ := c.processes[4].status()
	at := slices.IndexFunc(c.processes, func(p *process) bool { return p.name == s.Leader })
	c.suspend(c.processes[at])
	waitFor(t, "another leader", func() bool {
		a, err := c.processes[(at+1)%3].propose(fleetconfig.Proposal{ID: fmt.Sprint("x", time.Now().UnixNano()), EjectEndpoints: []string{fmt.Sprint("h", time.Now().UnixNano())}})
		return err == nil && a.Revision != 0
	})
	time.Sleep(2 * leaseTiming.LeaseDuration) // It is stopped for longer than a lease lasts: that is the fault, not a wait for something.
	c.resume(c.processes[at])
	c.waitForAgreement(2)
	all, late := judgeStops(c.mergedTrace(), leaseTiming.MaxPause, 1)
	if worst, wrong := checkTrace(all, leaseTiming.MaxPause); late != "" || wrong != "" || worst > leaseTiming.MaxDisagreement() {
		t.Errorf("longest contradiction %v of %v; %s%s\n%s", worst, leaseTiming.MaxDisagreement(), wrong, late, c.logs())
	}
}

// A clock that runs at a twentieth of the true rate, far beyond the stated error, keeps a lease alive for too long.
// The check of traces has to find the contradiction, or it would find none in the other tests either.
func TestTraceCheckFindsAClockBeyondItsStatedError(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 5, 3, func(p *process) {
		if p.name == "b4" {
			p.clockRate = 0.05
		}
	})
	c.waitForAgreement(1)
	c.setFaults(func(i, j int) between.Faults { return between.Faults{Cut: i == 4 || j == 4} })
	var a fleetconfig.ProposalResult
	waitFor(t, "a revision without the one that is cut off", func() bool {
		a, _ = c.processes[0].propose(fleetconfig.Proposal{ID: "x", EjectEndpoints: []string{"h"}})
		return a.Revision != 0
	})
	waitFor(t, "a contradiction", func() bool {
		worst, _ := checkTrace(c.mergedTrace(), leaseTiming.MaxPause)
		return worst > leaseTiming.MaxDisagreement()
	})
}

// All balancers are upgraded, one after the other, amid proposals. A new process that knew nothing would send to
// ejected endpoints: it has to act on the ejections from its first request on, and to join, and run the replica, as
// soon as the old process has gone.
func TestUpgradesKeepEjectionsAndMembership(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 5, 5, 3, nil)
	c.waitForAgreement(1)
	if a, err := c.processes[0].propose(fleetconfig.Proposal{ID: "first", EjectEndpoints: []string{"h"}}); err != nil || a.Revision != 2 {
		t.Fatalf("%+v, %v", a, err)
	}
	c.waitForAgreement(2)
	version := uint64(2)
	for n, old := range c.processes {
		next := *old
		next.clientAddress, next.adminAddress = freeAddress(t), freeAddress(t)
		c.start(&next)
		waitFor(t, "the new process", func() bool {
			s, err := next.status()
			return err == nil && s.Effective.LatestRevision >= version && slices.Contains(s.Effective.EjectedEndpoints, "h")
		})
		a := fleetconfig.ProposalResult{}
		waitFor(t, "a revision amid the upgrade", func() bool {
			var err error
			a, err = c.processes[(n+1)%5].propose(fleetconfig.Proposal{ID: fmt.Sprint("u", n), EjectEndpoints: []string{fmt.Sprint("u", n)}})
			return err == nil && a.Revision != 0
		})
		version = a.Revision
		old.cmd.Process.Signal(syscall.SIGTERM)
		old.cmd.Wait()
		c.processes[n] = &next
		c.waitForAgreement(version)
	}
	if worst, wrong := checkTrace(c.mergedTrace(), leaseTiming.MaxPause); wrong != "" || worst > leaseTiming.MaxDisagreement() {
		t.Errorf("longest contradiction %v; %s", worst, wrong)
	}
	if s, err := c.processes[4].status(); err != nil || len(s.Effective.EjectedEndpoints) != 6 {
		t.Errorf("%+v, %v", s, err)
	}
}

// During a partition two operators, one on each side, propose what contradicts the other. Those on the side of the
// majority are accepted; the others must not be, then or after the partition, although the leader was on their side.
func TestMinoritySideOfAPartitionAcceptsNothing(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 6, 5, 3, nil)
	c.waitForAgreement(1)
	s, _ := c.processes[3].status()
	leads := slices.IndexFunc(c.processes, func(p *process) bool { return p.name == s.Leader })
	few := []int{leads, 3} // Who leads is on the side of the few.
	c.setFaults(func(i, j int) between.Faults {
		return between.Faults{Cut: slices.Contains(few, i) != slices.Contains(few, j)}
	})
	lost := make(chan fleetconfig.ProposalResult, 3)
	for n := range 3 {
		go func() {
			a, _ := c.processes[3].propose(fleetconfig.Proposal{ID: fmt.Sprint("few", n), UnejectEndpoints: []string{"h"}, EjectEndpoints: []string{fmt.Sprint("few", n)}})
			lost <- a
		}()
	}
	for n := range 3 {
		waitFor(t, "a revision on the side of the many", func() bool {
			a, err := c.processes[4].propose(fleetconfig.Proposal{ID: fmt.Sprint("many", n), EjectEndpoints: []string{fmt.Sprint("many", n)}})
			return err == nil && a.Revision != 0
		})
	}
	for range 3 {
		if a := <-lost; a.Revision != 0 {
			t.Errorf("the few had %+v accepted", a)
		}
	}
	c.heal()
	c.waitForAgreement(4)
	for _, p := range c.processes {
		if s, err := p.status(); err != nil || !slices.Equal(s.Effective.EjectedEndpoints, []string{"many0", "many1", "many2"}) {
			t.Errorf("%s acts on %+v, %v", p.name, s.Effective, err)
		}
	}
	if worst, wrong := checkTrace(c.mergedTrace(), leaseTiming.MaxPause); wrong != "" || worst > leaseTiming.MaxDisagreement() {
		t.Errorf("longest contradiction %v; %s", worst, wrong)
	}
}

// Two of three voters are down when an operator takes an ejection back. The proposal has to be answered within 5 s,
// must not take effect later, and the ejection stays, also without leases.
func TestProposalWithoutMajorityIsAnsweredInTime(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 5, 3, nil)
	c.waitForAgreement(1)
	if a, err := c.processes[3].propose(fleetconfig.Proposal{ID: "first", EjectEndpoints: []string{"h"}}); err != nil || a.Revision != 2 {
		t.Fatalf("%+v, %v", a, err)
	}
	c.waitForAgreement(2)
	c.kill(c.processes[0])
	c.kill(c.processes[1])
	began := time.Now()
	a, err := c.processes[4].propose(fleetconfig.Proposal{ID: "second", UnejectEndpoints: []string{"h"}})
	if took := time.Since(began); err != nil || a.Revision != 0 || took > 5500*time.Millisecond {
		t.Fatalf("%+v after %v, %v", a, took, err)
	}
	waitFor(t, "being alone", func() bool {
		s, err := c.processes[4].status()
		return err == nil && !s.Effective.IsLeased && slices.Contains(s.Effective.EjectedEndpoints, "h")
	})
	c.start(c.processes[0])
	c.start(c.processes[1])
	c.waitForAgreement(2)
	for _, p := range c.processes {
		if s, err := p.status(); err != nil || !slices.Contains(s.Effective.EjectedEndpoints, "h") {
			t.Errorf("%s: %+v, %v", p.name, s, err)
		}
	}
}

// A process starts during a partition and knows nothing; voters are restarted one by one and all at once. The late
// process has to serve without a lease and join by itself when it can; the history has to survive the restarts.
func TestProcessesThatStartLateOrAgainCatchUp(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, 5, 3, nil)
	c.waitForAgreement(1)
	if a, err := c.processes[0].propose(fleetconfig.Proposal{ID: "first", EjectEndpoints: []string{"h"}}); err != nil || a.Revision != 2 {
		t.Fatalf("%+v, %v", a, err)
	}
	c.waitForAgreement(2)
	c.kill(c.processes[4])
	if err := os.Remove(filepath.Join(c.dir, "b4", "hollylever.fleet")); err != nil { // What it would know from before.
		t.Error(err)
	}
	c.setFaults(func(i, j int) between.Faults { return between.Faults{Cut: i == 4 || j == 4} })
	c.start(c.processes[4])
	waitFor(t, "the late one", func() bool {
		s, err := c.processes[4].status()
		return err == nil && !s.Effective.IsLeased && s.Effective.LatestRevision == 0
	})
	c.heal()
	c.waitForAgreement(2)
	for n := range 3 {
		c.kill(c.processes[n])
		c.start(c.processes[n])
		c.waitForAgreement(2)
	}
	for n := range 3 {
		c.kill(c.processes[n])
	}
	for n := range 3 {
		c.start(c.processes[n])
	}
	c.waitForAgreement(2)
	if a, err := c.processes[3].propose(fleetconfig.Proposal{ID: "last", UnejectEndpoints: []string{"h"}}); err != nil || a.Revision != 3 {
		t.Errorf("%+v, %v", a, err)
	}
	c.waitForAgreement(3)
	if worst, wrong := checkTrace(c.mergedTrace(), leaseTiming.MaxPause); wrong != "" || worst > leaseTiming.MaxDisagreement() {
		t.Errorf("longest contradiction %v; %s", worst, wrong)
	}
}
