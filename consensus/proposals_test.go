package consensus

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// Guards against errors from which an operator cannot tell which field of a proposal to correct: each error starts with
// the name of the field.
func TestProposalValidateNamesTheField(t *testing.T) {
	long := strings.Repeat("n", maxNameBytes+1)
	for want, c := range map[string]Proposal{
		"id: ":      {},
		"out: ":     {ID: "i", EjectEndpoints: []string{""}},
		"why: ":     {ID: "i", Reason: "a\nb"},
		"by: ":      {ID: "i", Author: long},
		"back: ":    {ID: "i", EjectEndpoints: []string{"h"}, UnejectEndpoints: []string{"h"}},
		"return: ":  {ID: "i", EvacuateZones: []string{"z"}, RestoreZones: []string{"z"}},
		"list_of: ": {ID: "i", DiscoverySource: &long},
		"limits: ":  {ID: "i", Limits: map[string]int64{"\x00": 1}},
	} {
		if err := c.Validate(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("Validate() = %v, want an error that starts with %q", err, want)
		}
	}
}

// Guards against a proposal taking effect after its proposer received a final refusal, because the network delivered a
// duplicate late. The leader writes only proposals whose ticket is of its term and no older than proposalTimeout.
func TestProposalNeedsValidTicket(t *testing.T) {
	sim := newSimulation(t, 1, 3, 0, true)
	for n := 0; n < 20_000 && !slices.ContainsFunc(sim.processes,
		func(p *process) bool { return p.replica.IsLeader() && p.holder.expiresAt != 0 }); n++ {
		sim.advance()
	}
	p := sim.processes[slices.IndexFunc(sim.processes, func(p *process) bool { return p.replica.IsLeader() })]
	r := p.replica
	written := func(id string, t *ProposalTicket) bool {
		r.HandleMessage(p.clock(), &Message{From: p.name, Proposal: &Proposal{ID: id, EjectEndpoints: []string{id}},
			Ticket: t})
		return slices.ContainsFunc(r.leader.proposals.pending,
			func(o pendingProposal) bool { return o.proposal.ID == id })
	}
	fresh := &ProposalTicket{r.term, p.clock()}
	for why, ticket := range map[string]*ProposalTicket{"none": nil, "of another term": {r.term - 1, p.clock()},
		"old":           {r.term, p.clock() - int64(proposalTimeout) - 1},
		"of the future": {r.term, p.clock() + int64(time.Second)}} {
		if written(why, ticket) {
			t.Errorf("proposal written although its ticket is invalid: %s", why)
		}
	}
	if !written("good", fresh) {
		t.Error("proposal with a valid ticket not written")
	}
	r.answerProposal(pendingProposal{proposal: Proposal{ID: "no"}, from: p.name,
		deadline: p.clock() + int64(proposalTimeout)}, &ProposalResult{ID: "no", Reason: "no", IsFinal: true})
	if written("no", fresh) {
		t.Error("proposal written after a final refusal")
	}
}
