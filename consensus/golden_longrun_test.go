package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Guards against a change of log compaction. A replica whose log grows without bound takes minutes to start, and one
// that compacts its log at a different entry than its peers is sent snapshots instead of entries. The run proposes
// enough that the length of the log triggers compaction, and hashes records, messages and effective configurations.
func TestGoldenLongRun(t *testing.T) {
	sim := newSimulation(t, 7, 3, 2, true)
	sim.trace = newTraceHash()
	for _, p := range sim.processes[:3] {
		p.storage.trace = sim.trace
	}
	for end := sim.now + int64(5*time.Second); sim.now < end; {
		sim.advance()
	}
	leader := slices.IndexFunc(sim.processes, func(p *process) bool { return p.replica.IsLeader() })
	for n := range 300 {
		sim.propose(4, leader, Proposal{Author: "op", EjectEndpoints: []string{fmt.Sprint("h", n%50)},
			Limits: map[string]int64{"held": int64(n)}})
		for end := sim.now + int64(50*time.Millisecond); sim.now < end; {
			sim.advance()
		}
	}
	line := fmt.Sprintf("revisions=%d sent=%d records=%d sha256=%s\n", len(sim.digests), sim.sent,
		len(sim.processes[0].storage.records), sim.trace.sum())
	if sim.violation != "" || len(sim.accepted) != 300 {
		t.Errorf("%d proposals accepted, want 300; violated invariant: %q", len(sim.accepted), sim.violation)
	}
	checkGolden(t, "longrun.golden", []byte(line))
}

// Guards against a different answer when the network repeats a proposal that was finally refused. The leader repeats
// the refusal until the proposal's ticket can no longer be valid, and forgets it only then.
func TestRefusalIsRepeatedForTenSeconds(t *testing.T) {
	sim := newSimulation(t, 1, 3, 0, true)
	for n := 0; n < 20_000 && !slices.ContainsFunc(sim.processes,
		func(p *process) bool { return p.replica.IsLeader() }); n++ {
		sim.advance()
	}
	p := sim.processes[slices.IndexFunc(sim.processes, func(p *process) bool { return p.replica.IsLeader() })]
	r, out, start := p.replica, &recordingSender{}, p.clock()
	r.sender = out
	ticket := &ProposalTicket{r.term, start}
	for _, after := range []time.Duration{0, 5 * time.Second, 10 * time.Second, 10*time.Second + 1} {
		out.note("after %v", after)
		r.HandleMessage(start+int64(after), &Message{From: "op", Proposal: &Proposal{ID: "no", BaseRevision: 9,
			EjectEndpoints: []string{"h"}}, Ticket: ticket})
	}
	checkGolden(t, "refusals.golden", []byte(fmt.Sprintln(out.lines)))
}
