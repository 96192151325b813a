package consensus

import (
	"container/heap"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Two operators act on two histories, or a host gets requests that another process must not send any more: that is
// what faults of the network, of processes and of disks may never lead to. Random faults are played; no invariant
// breaks, and when the faults end, all processes act on the latest revision under leases.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	for _, replicas := range []int{3, 5, 7} {
		t.Run(fmt.Sprint(replicas), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				sim := runSimulation(t, seed, replicas, stepCount(25_000))
				if sim.violation != "" {
					t.Fatalf("seed %d: %s", seed, sim.violation)
				}
				t.Logf("seed %d: %d revisions, %d accepted, %d refused for good, longest contradiction %v of %v",
					seed, len(sim.digests), len(sim.accepted),
					len(sim.refused), time.Duration(sim.longestContradiction), testTiming.MaxDisagreement())
				if sim.healAndCheck(replicas); sim.violation != "" {
					t.Fatalf("seed %d: %s", seed, sim.violation)
				}
			}
		})
	}
}

// A fault plan that breaks an invariant can be one in thousands. HOLLYLEVER_PLANS short runs, each from its seed, by
// hand; not for CI.
func TestInvariantsHoldUnderManyFaultPlans(t *testing.T) {
	plans, err := strconv.Atoi(os.Getenv("HOLLYLEVER_PLANS"))
	if err != nil {
		t.Skip("only where it is asked for")
	}
	var worst, revisions, reported atomic.Int64
	var wait sync.WaitGroup
	for lane := range 6 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for seed := uint64(lane); seed < uint64(plans); seed += 6 {
				sim := runSimulation(t, seed, []int{3, 5, 7}[seed/3%3], 2500)
				if sim.violation != "" && reported.Add(1) < 5 {
					t.Errorf("seed %d: %s", seed, sim.violation)
				}
				revisions.Add(int64(len(sim.digests)))
				for {
					at := worst.Load()
					if sim.longestContradiction <= at || worst.CompareAndSwap(at, sim.longestContradiction) {
						break
					}
				}
			}
		}()
	}
	wait.Wait()
	t.Logf("%d plans, %d revisions, longest contradiction %v of %v", plans, revisions.Load(),
		time.Duration(worst.Load()), testTiming.MaxDisagreement())
}

// A check that cannot fail guards nothing. Each guard that the invariants rest on is taken out in turn, and each time
// an invariant is seen broken.
func TestInvariantChecksDetectRemovedGuards(t *testing.T) {
	for guard, c := range map[string]struct {
		without func(sim *simulation)
		want    string
	}{
		"the wait for leases under older revisions": {func(sim *simulation) {
			sim.beforeEach = func(r *Replica) {
				if clear(r.leader.leases.granted); r.leader.since != 0 {
					r.leader.since = 1
				}
			}
		}, "is loose already"},
		"the look at a lease after a pause": {func(sim *simulation) { sim.ignoresLeaseExpiry = true },
			"is loose already|over T"},
		"what is written of votes": {func(sim *simulation) {
			for sim.dropsVotes = true; len(sim.queue) > 0; {
				heap.Pop(&sim.queue)
			}
			for n, p := range sim.processes[:3] {
				p.disk = nil
				sim.startProcess(n, true, 3)
			}
		}, "two histories|answered no|is loose already"},
		"a majority's confirmation before a lease": {func(sim *simulation) {
			sim.beforeEach = func(r *Replica) {
				if r.IsLeader() && r.leader.leases.confirmingUpTo != 0 {
					r.grantConfirmedLeases(r.leader.leases.confirmingSince, r.leader.leases.requestCount, 0)
				}
			}
		}, "over T|is loose already|of the whole"},
	} {
		t.Run(guard, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(0); seed < 60; seed += 3 { // With disks.
				if sim := runSimulation(t, seed, 3, 25_000, c.without); sim.violation != "" {
					if !regexp.MustCompile(c.want).MatchString(sim.violation) {
						t.Errorf("seed %d: %s", seed, sim.violation)
					}
					return
				}
			}
			t.Error("no invariant was broken without it")
		})
	}
}

// With many lease holders the leader could spend its time on leases alone. This measures what agreement costs, in
// simulated time, for the numbers of processes that HOLLYLEVER_SIZES names, by hand; not for CI.
func TestMessageCostBySize(t *testing.T) {
	if os.Getenv("HOLLYLEVER_SIZES") == "" {
		t.Skip("only where it is asked for")
	}
	for _, word := range strings.Split(os.Getenv("HOLLYLEVER_SIZES"), ",") {
		n, err := strconv.Atoi(word)
		if err != nil {
			t.Fatal(err)
		}
		sim := newSimulation(t, 1, 3, n-3, true)
		all := func(minRevision bool, revision uint64) bool {
			for _, p := range sim.processes {
				a := p.holder.EffectiveConfig(p.clock())
				if !a.IsLeased || a.LatestRevision < revision || minRevision && a.MinRevision < revision {
					return false
				}
			}
			return true
		}
		for !all(true, 1) {
			sim.advance()
		}
		began, bytes, sent := sim.now, sim.bytes, sim.sent
		clear(sim.bytesBySender)
		for sim.now < began+int64(10*time.Second) {
			sim.advance()
		}
		leads := slices.IndexFunc(sim.processes, func(p *process) bool {
			return p.replica != nil && p.replica.IsLeader()
		})
		t.Logf("%d processes at rest: %.0f bytes and %.1f messages a process and second; the leader sends %.0f bytes a second",
			n,
			float64(sim.bytes-bytes)/10/float64(n), float64(sim.sent-sent)/10/float64(n),
			float64(sim.bytesBySender[leads])/10)
		var strict, loose []int64
		for v := uint64(2); v < 12; v++ {
			began := sim.now
			sim.propose(n-1, leads, Proposal{EjectEndpoints: []string{fmt.Sprint("h", v)}})
			for !all(false, v) {
				sim.advance()
			}
			strict = append(strict, sim.now-began)
			for !all(true, v) {
				sim.advance()
			}
			loose = append(loose, sim.now-began)
		}
		slices.Sort(strict)
		slices.Sort(loose)
		t.Logf("%d processes: last acts on a tightening after a median of %v, max %v; on a loosening after %v, max %v",
			n, time.Duration(strict[5]),
			time.Duration(strict[9]), time.Duration(loose[5]), time.Duration(loose[9]))
		if sim.violation != "" {
			t.Error(sim.violation)
		}
	}
}
