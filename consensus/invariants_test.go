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

// Guards against diverging histories, and against a process that sends requests to a host after the others must not:
// faults of the network, of processes and of disks may never lead to either. Random faults are injected; no invariant
// may be violated, and after the faults end all processes must have the latest revision and a lease.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	for _, replicas := range []int{3, 5, 7} {
		t.Run(fmt.Sprint(replicas), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				sim := runSimulation(t, seed, replicas, stepCount(25_000))
				if sim.violation != "" {
					t.Fatalf("seed %d: %s", seed, sim.violation)
				}
				t.Logf("seed %d: %d revisions, %d proposals accepted, %d refused; longest contradiction %v, limit %v",
					seed, len(sim.digests), len(sim.accepted), len(sim.refused),
					time.Duration(sim.longestContradiction), testTiming.MaxDisagreement())
				if sim.healAndCheck(replicas); sim.violation != "" {
					t.Fatalf("seed %d: %s", seed, sim.violation)
				}
			}
		})
	}
}

// Guards against invariant violations that occur in only one of thousands of fault plans. Runs HOLLYLEVER_PLANS short
// simulations with different seeds; for manual runs, skipped in CI.
func TestInvariantsHoldUnderManyFaultPlans(t *testing.T) {
	plans, err := strconv.Atoi(os.Getenv("HOLLYLEVER_PLANS"))
	if err != nil {
		t.Skip("set HOLLYLEVER_PLANS to the number of simulations to run")
	}
	var worst, revisions, reported atomic.Int64
	var workers sync.WaitGroup
	for worker := range 6 {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for seed := uint64(worker); seed < uint64(plans); seed += 6 {
				sim := runSimulation(t, seed, []int{3, 5, 7}[seed/3%3], 2500)
				if sim.violation != "" && reported.Add(1) < 5 {
					t.Errorf("seed %d: %s", seed, sim.violation)
				}
				revisions.Add(int64(len(sim.digests)))
				for {
					current := worst.Load()
					if sim.longestContradiction <= current || worst.CompareAndSwap(current, sim.longestContradiction) {
						break
					}
				}
			}
		}()
	}
	workers.Wait()
	t.Logf("%d plans, %d revisions; longest contradiction %v, limit %v", plans, revisions.Load(),
		time.Duration(worst.Load()), testTiming.MaxDisagreement())
}

// Guards against invariant checks that can never fail: each guard that the invariants rest on is disabled in turn, and
// each time a simulation must report a violation.
func TestInvariantChecksDetectRemovedGuards(t *testing.T) {
	for guard, c := range map[string]struct {
		without func(sim *simulation)
		want    string
	}{
		"wait for leases under older revisions": {func(sim *simulation) {
			sim.beforeEach = func(r *Replica) {
				if clear(r.leader.leases.granted); r.leader.since != 0 {
					r.leader.since = 1
				}
			}
		}, "loosening too early"},
		"lease expiry check after a pause": {func(sim *simulation) { sim.ignoresLeaseExpiry = true },
			"loosening too early|contradiction too long"},
		"persisted votes": {func(sim *simulation) {
			for sim.dropsVotes = true; len(sim.queue) > 0; {
				heap.Pop(&sim.queue)
			}
			for n, p := range sim.processes[:3] {
				p.storage = nil
				sim.startProcess(n, true, 3)
			}
		}, "two histories|refused proposal in force|loosening too early"},
		"confirmation by a majority before a lease": {func(sim *simulation) {
			sim.beforeEach = func(r *Replica) {
				if r.IsLeader() && r.leader.leases.confirmingUpTo != 0 {
					r.grantConfirmedLeases(r.leader.leases.confirmingSince, r.leader.leases.requestCount, 0)
				}
			}
		}, "contradiction too long|loosening too early|budget shares"},
	} {
		t.Run(guard, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(0); seed < 60; seed += 3 { // Multiples of 3 simulate replicas with disks.
				if sim := runSimulation(t, seed, 3, 25_000, c.without); sim.violation != "" {
					if !regexp.MustCompile(c.want).MatchString(sim.violation) {
						t.Errorf("seed %d: %s", seed, sim.violation)
					}
					return
				}
			}
			t.Error("no invariant violated although the guard is disabled")
		})
	}
}

// With many lease holders, granting leases could take up all of the leader's time. Measures message volume and
// propagation delay, in simulated time, for the numbers of processes in HOLLYLEVER_SIZES, separated by commas; for
// manual runs, skipped in CI.
func TestMessageCostBySize(t *testing.T) {
	if os.Getenv("HOLLYLEVER_SIZES") == "" {
		t.Skip("set HOLLYLEVER_SIZES to the numbers of processes to simulate")
	}
	for _, field := range strings.Split(os.Getenv("HOLLYLEVER_SIZES"), ",") {
		n, err := strconv.Atoi(field)
		if err != nil {
			t.Fatal(err)
		}
		sim := newSimulation(t, 1, 3, n-3, true)
		allHave := func(minRevision bool, revision uint64) bool {
			for _, p := range sim.processes {
				a := p.holder.EffectiveConfig(p.clock())
				if !a.IsLeased || a.LatestRevision < revision || minRevision && a.MinRevision < revision {
					return false
				}
			}
			return true
		}
		for !allHave(true, 1) {
			sim.advance()
		}
		began, bytes, sent := sim.now, sim.bytes, sim.sent
		clear(sim.bytesBySender)
		for sim.now < began+int64(10*time.Second) {
			sim.advance()
		}
		leader := slices.IndexFunc(sim.processes, func(p *process) bool {
			return p.replica != nil && p.replica.IsLeader()
		})
		t.Logf("%d idle processes: %.0f bytes/s and %.1f messages/s per process; the leader sends %.0f bytes/s", n,
			float64(sim.bytes-bytes)/10/float64(n), float64(sim.sent-sent)/10/float64(n),
			float64(sim.bytesBySender[leader])/10)
		var strict, loose []int64
		for v := uint64(2); v < 12; v++ {
			began := sim.now
			sim.propose(n-1, leader, Proposal{EjectEndpoints: []string{fmt.Sprint("h", v)}})
			for !allHave(false, v) {
				sim.advance()
			}
			strict = append(strict, sim.now-began)
			for !allHave(true, v) {
				sim.advance()
			}
			loose = append(loose, sim.now-began)
		}
		slices.Sort(strict)
		slices.Sort(loose)
		t.Logf("%d processes: a tightening is in force everywhere after a median of %v, max %v; a loosening after %v, "+
			"max %v", n, time.Duration(strict[5]), time.Duration(strict[9]), time.Duration(loose[5]),
			time.Duration(loose[9]))
		if sim.violation != "" {
			t.Error(sim.violation)
		}
	}
}
