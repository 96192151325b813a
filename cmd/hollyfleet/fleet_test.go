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

// plan plays a seed's faults between five processes, with proposals all the while, and then heals all. It gives what was proposed.
func plan(w *town, seconds int) (asked []porcupine.Operation) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	began := time.Now()
	propose := func(n int) {
		p, host := w.procs[w.chance.IntN(len(w.procs))], fmt.Sprint("h", w.chance.IntN(5))
		c := fleetconfig.Proposal{ID: fmt.Sprint("p", n), Reason: "plan"}
		if c.EjectEndpoints = []string{host}; w.chance.IntN(2) == 0 {
			c.EjectEndpoints, c.UnejectEndpoints = nil, c.EjectEndpoints
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			call := time.Since(began)
			a, err := p.propose(c)
			if end := time.Since(began); err == nil && (a.Revision != 0 || a.IsFinal) {
				mu.Lock()
				asked = append(asked, porcupine.Operation{ClientId: n, Input: c.ID, Call: int64(call), Output: a.Revision, Return: int64(end)})
				mu.Unlock()
			}
		}()
	}
	for n := 0; time.Since(began) < time.Duration(seconds)*time.Second; n++ {
		p := w.procs[w.chance.IntN(len(w.procs))]
		switch w.chance.IntN(12) {
		case 0, 1:
			side := []bool{}
			for range w.procs {
				side = append(side, w.chance.IntN(2) == 0)
			}
			w.faults(func(i, j int) between.Faults { return between.Faults{Cut: side[i] != side[j]} })
		case 2: // What it sends is lost; it hears all.
			at := slices.Index(w.procs, p)
			w.faults(func(i, j int) between.Faults { return between.Faults{Cut: i == at} })
		case 3:
			w.faults(func(int, int) between.Faults {
				return between.Faults{Loss: 0.3, Repeats: 0.3, Spread: 60 * time.Millisecond}
			})
		case 4, 5:
			w.heal()
		case 6:
			w.kill(p)
		case 7, 8:
			for _, p := range w.procs {
				if p.cmd == nil {
					w.start(p)
				}
				w.goOn(p)
			}
		case 9:
			w.stop(p)
		}
		propose(2 * n)
		propose(2*n + 1)
		time.Sleep(time.Duration(150+w.chance.IntN(400)) * time.Millisecond)
	}
	w.heal()
	for _, p := range w.procs {
		if p.cmd == nil {
			w.start(p)
		}
		w.goOn(p)
	}
	wait.Wait()
	return asked
}

// history is what a sequence of accepted proposals is: each has a number of its own, in the order of real time.
var history = porcupine.Model{
	Init: func() any { return uint64(1) },
	Step: func(state, _, output any) (bool, any) {
		return output.(uint64) > state.(uint64), output
	},
}

func plans() int {
	if n, err := strconv.Atoi(os.Getenv("HOLLYFLEET_PLANS")); err == nil {
		return n
	}
	return 2
}

// TestPlans plays seeded plans of faults: cuts, also one way, loss and repeats, crashes, stops; clocks are off by the stated error. No two
// processes contradict each other for longer than T, nobody acts on what is loose while an older lease lasts, there is one history, and
// when all is healed all agree.
func TestPlans(t *testing.T) {
	from, _ := strconv.Atoi(os.Getenv("HOLLYFLEET_FROM"))
	for seed := range plans() {
		t.Run(fmt.Sprint(from+seed), func(t *testing.T) {
			t.Parallel()
			w := newTown(t, uint64(from+seed), 5, 3, nil)
			w.agree(1)
			asked := plan(w, 5)
			most, refused, accepted := uint64(1), map[string]bool{}, []porcupine.Operation{}
			for _, o := range asked {
				if most = max(most, o.Output.(uint64)); o.Output.(uint64) == 0 {
					refused[o.Input.(string)] = true
				} else {
					accepted = append(accepted, o)
				}
			}
			w.agree(most)
			for _, id := range w.procs[0].history(t) {
				if refused[id] {
					t.Errorf("%s was answered no for sure, and is in the history", id)
				}
			}
			all := w.trace()
			worst, wrong := check(all, terms.MaxPause)
			if wrong != "" || worst > terms.MaxDisagreement() {
				t.Errorf("longest contradiction %v of %v; %s\n%s", worst, terms.MaxDisagreement(), wrong, w.logs())
			}
			if porcupine.CheckOperationsTimeout(history, accepted, 20*time.Second) == porcupine.Illegal {
				t.Errorf("no one history: %v", accepted)
			}
			t.Logf("%d decisions, %d versions, longest contradiction %v of T %v", len(all), most, worst, terms.MaxDisagreement())
		})
	}
}

// TestGossip: processes that find each other, of which some are killed, stopped and started again, keep to the same. (Relays stand only where they
// join: from then on they talk directly.)
func TestGossip(t *testing.T) {
	t.Parallel()
	w := newTown(t, 7, 5, 3, func(p *process) {
		text, err := os.ReadFile(p.own)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(p.own, append(text, "way = \"gossip\"\n"...), 0o600); err != nil {
			t.Fatal(err)
		}
	})
	w.agree(1)
	version := uint64(1)
	for n := range 3 {
		w.kill(w.procs[n])
		w.stop(w.procs[4])
		until(t, "a version without two", func() bool {
			a, err := w.procs[3].propose(fleetconfig.Proposal{ID: fmt.Sprint("g", n), EjectEndpoints: []string{fmt.Sprint("g", n)}})
			version = max(version, a.Revision)
			return err == nil && a.Revision != 0
		})
		w.start(w.procs[n])
		w.goOn(w.procs[4])
		w.agree(version)
	}
	if worst, wrong := check(w.trace(), terms.MaxPause); wrong != "" || worst > terms.MaxDisagreement() {
		t.Errorf("longest contradiction %v of %v; %s\n%s", worst, terms.MaxDisagreement(), wrong, w.logs())
	}
}

// TestLeaderStopped: the keeper that leads is stopped for longer than a lease and goes on as if nothing had been; meanwhile others lead and
// accept. It finds its lease over before it decides anything.
func TestLeaderStopped(t *testing.T) {
	t.Parallel()
	w := newTown(t, 1, 5, 3, nil)
	w.agree(1)
	s, _ := w.procs[4].status()
	at := slices.IndexFunc(w.procs, func(p *process) bool { return p.name == s.Leads })
	w.stop(w.procs[at])
	until(t, "another leader", func() bool {
		a, err := w.procs[(at+1)%3].propose(fleetconfig.Proposal{ID: fmt.Sprint("x", time.Now().UnixNano()), EjectEndpoints: []string{fmt.Sprint("h", time.Now().UnixNano())}})
		return err == nil && a.Revision != 0
	})
	time.Sleep(2 * terms.LeaseDuration) // It is stopped for longer than a lease lasts: that is the fault, not a wait for something.
	w.goOn(w.procs[at])
	w.agree(2)
	if worst, wrong := check(w.trace(), terms.MaxPause); wrong != "" || worst > terms.MaxDisagreement() {
		t.Errorf("longest contradiction %v of %v; %s\n%s", worst, terms.MaxDisagreement(), wrong, w.logs())
	}
}

// TestClockBeyondWhatIsStated: with a clock that runs at a tenth of the true rate the checker finds what the leases rest on.
func TestClockBeyondWhatIsStated(t *testing.T) {
	t.Parallel()
	w := newTown(t, 2, 5, 3, func(p *process) {
		if p.name == "b4" {
			p.clock = 0.05
		}
	})
	w.agree(1)
	w.faults(func(i, j int) between.Faults { return between.Faults{Cut: i == 4 || j == 4} })
	var a fleetconfig.ProposalResult
	until(t, "a version without the one that is cut off", func() bool {
		a, _ = w.procs[0].propose(fleetconfig.Proposal{ID: "x", EjectEndpoints: []string{"h"}})
		return a.Revision != 0
	})
	until(t, "a contradiction", func() bool {
		worst, _ := check(w.trace(), terms.MaxPause)
		return worst > terms.MaxDisagreement()
	})
}

// TestUpgrades: every balancer is upgraded amid proposals. The new process has the bans from its first retrieval on, and is one member with
// the old one: it joins, and keeps, when that has gone.
func TestUpgrades(t *testing.T) {
	t.Parallel()
	w := newTown(t, 5, 5, 3, nil)
	w.agree(1)
	if a, err := w.procs[0].propose(fleetconfig.Proposal{ID: "first", EjectEndpoints: []string{"h"}}); err != nil || a.Revision != 2 {
		t.Fatalf("%+v, %v", a, err)
	}
	w.agree(2)
	version := uint64(2)
	for n, old := range w.procs {
		next := *old
		next.listen, next.door = free(t), free(t)
		w.start(&next)
		until(t, "the new process", func() bool {
			s, err := next.status()
			return err == nil && s.Acting.Latest >= version && slices.Contains(s.Acting.Bans, "h")
		})
		a := fleetconfig.ProposalResult{}
		until(t, "a version amid the upgrade", func() bool {
			var err error
			a, err = w.procs[(n+1)%5].propose(fleetconfig.Proposal{ID: fmt.Sprint("u", n), EjectEndpoints: []string{fmt.Sprint("u", n)}})
			return err == nil && a.Revision != 0
		})
		version = a.Revision
		old.cmd.Process.Signal(syscall.SIGTERM)
		old.cmd.Wait()
		w.procs[n] = &next
		w.agree(version)
	}
	if worst, wrong := check(w.trace(), terms.MaxPause); wrong != "" || worst > terms.MaxDisagreement() {
		t.Errorf("longest contradiction %v; %s", worst, wrong)
	}
	if s, err := w.procs[4].status(); err != nil || len(s.Acting.Bans) != 6 {
		t.Errorf("%+v, %v", s, err)
	}
}

// TestBothSidesOfACut: two operators on both sides of a cut propose what contradicts the other, made for the same version, three times in
// a second. One side has a majority: its proposals count, the other's do not, then or later.
func TestBothSidesOfACut(t *testing.T) {
	t.Parallel()
	w := newTown(t, 6, 5, 3, nil)
	w.agree(1)
	s, _ := w.procs[3].status()
	leads := slices.IndexFunc(w.procs, func(p *process) bool { return p.name == s.Leads })
	few := []int{leads, 3} // Who leads is on the side of the few.
	w.faults(func(i, j int) between.Faults {
		return between.Faults{Cut: slices.Contains(few, i) != slices.Contains(few, j)}
	})
	lost := make(chan fleetconfig.ProposalResult, 3)
	for n := range 3 {
		go func() {
			a, _ := w.procs[3].propose(fleetconfig.Proposal{ID: fmt.Sprint("few", n), UnejectEndpoints: []string{"h"}, EjectEndpoints: []string{fmt.Sprint("few", n)}})
			lost <- a
		}()
	}
	for n := range 3 {
		until(t, "a version on the side of the many", func() bool {
			a, err := w.procs[4].propose(fleetconfig.Proposal{ID: fmt.Sprint("many", n), EjectEndpoints: []string{fmt.Sprint("many", n)}})
			return err == nil && a.Revision != 0
		})
	}
	for range 3 {
		if a := <-lost; a.Revision != 0 {
			t.Errorf("the few had %+v accepted", a)
		}
	}
	w.heal()
	w.agree(4)
	for _, p := range w.procs {
		if s, err := p.status(); err != nil || !slices.Equal(s.Acting.Bans, []string{"many0", "many1", "many2"}) {
			t.Errorf("%s acts on %+v, %v", p.name, s.Acting, err)
		}
	}
	if worst, wrong := check(w.trace(), terms.MaxPause); wrong != "" || worst > terms.MaxDisagreement() {
		t.Errorf("longest contradiction %v; %s", worst, wrong)
	}
}

// TestNoMajority: a proposal without a majority is answered within 5 s, and is not in force afterwards; what is strict stays.
func TestNoMajority(t *testing.T) {
	t.Parallel()
	w := newTown(t, 3, 5, 3, nil)
	w.agree(1)
	if a, err := w.procs[3].propose(fleetconfig.Proposal{ID: "first", EjectEndpoints: []string{"h"}}); err != nil || a.Revision != 2 {
		t.Fatalf("%+v, %v", a, err)
	}
	w.agree(2)
	w.kill(w.procs[0])
	w.kill(w.procs[1])
	began := time.Now()
	a, err := w.procs[4].propose(fleetconfig.Proposal{ID: "second", UnejectEndpoints: []string{"h"}})
	if took := time.Since(began); err != nil || a.Revision != 0 || took > 5500*time.Millisecond {
		t.Fatalf("%+v after %v, %v", a, took, err)
	}
	until(t, "being alone", func() bool {
		s, err := w.procs[4].status()
		return err == nil && !s.Acting.Leased && slices.Contains(s.Acting.Bans, "h")
	})
	w.start(w.procs[0])
	w.start(w.procs[1])
	w.agree(2)
	for _, p := range w.procs {
		if s, err := p.status(); err != nil || !slices.Contains(s.Acting.Bans, "h") {
			t.Errorf("%s: %+v, %v", p.name, s, err)
		}
	}
}

// TestLateOnes: a process that starts during a cut and knows nothing acts alone, and comes in by itself; keepers restarted one by one and
// all at once keep the history.
func TestLateOnes(t *testing.T) {
	t.Parallel()
	w := newTown(t, 4, 5, 3, nil)
	w.agree(1)
	if a, err := w.procs[0].propose(fleetconfig.Proposal{ID: "first", EjectEndpoints: []string{"h"}}); err != nil || a.Revision != 2 {
		t.Fatalf("%+v, %v", a, err)
	}
	w.agree(2)
	w.kill(w.procs[4])
	if err := os.Remove(filepath.Join(w.dir, "b4", "hollylever.fleet")); err != nil { // What it would know from before.
		t.Error(err)
	}
	w.faults(func(i, j int) between.Faults { return between.Faults{Cut: i == 4 || j == 4} })
	w.start(w.procs[4])
	until(t, "the late one", func() bool {
		s, err := w.procs[4].status()
		return err == nil && !s.Acting.Leased && s.Acting.Latest == 0
	})
	w.heal()
	w.agree(2)
	for n := range 3 {
		w.kill(w.procs[n])
		w.start(w.procs[n])
		w.agree(2)
	}
	for n := range 3 {
		w.kill(w.procs[n])
	}
	for n := range 3 {
		w.start(w.procs[n])
	}
	w.agree(2)
	if a, err := w.procs[3].propose(fleetconfig.Proposal{ID: "last", UnejectEndpoints: []string{"h"}}); err != nil || a.Revision != 3 {
		t.Errorf("%+v, %v", a, err)
	}
	w.agree(3)
	if worst, wrong := check(w.trace(), terms.MaxPause); wrong != "" || worst > terms.MaxDisagreement() {
		t.Errorf("longest contradiction %v; %s", worst, wrong)
	}
}
