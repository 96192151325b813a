package agreed

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// An operator whose proposal is refused has to find the field to mend: the error begins with its name.
func TestProposalValidateNamesTheField(t *testing.T) {
	long := strings.Repeat("n", maxNameBytes+1)
	for want, c := range map[string]Change{
		"id: ":      {},
		"out: ":     {ID: "i", Out: []string{""}},
		"why: ":     {ID: "i", Why: "a\nb"},
		"by: ":      {ID: "i", By: long},
		"back: ":    {ID: "i", Out: []string{"h"}, Back: []string{"h"}},
		"return: ":  {ID: "i", Leave: []string{"z"}, Return: []string{"z"}},
		"list_of: ": {ID: "i", Source: &long},
		"limits: ":  {ID: "i", Limits: map[string]int64{"\x00": 1}},
	} {
		if err := c.Check(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s%v", want, err)
		}
	}
}

// The network repeats a proposal late, after its proposer was told a final no, and it comes into force against that. Without a ticket of the
// leader's term, at most as old as an answer is waited for, nothing is written.
func TestProposalNeedsValidTicket(t *testing.T) {
	sim := newSimulation(t, 1, 3, 0, true)
	for n := 0; n < 20_000 && !slices.ContainsFunc(sim.processes, func(p *process) bool { return p.replica.Leads() && p.holder.expiresAt != 0 }); n++ {
		sim.advance()
	}
	p := sim.processes[slices.IndexFunc(sim.processes, func(p *process) bool { return p.replica.Leads() })]
	k := p.replica
	written := func(id string, t *Ticket) bool {
		k.Heard(p.clock(), &Message{From: p.name, Propose: &Change{ID: id, Out: []string{id}}, Ticket: t})
		return slices.ContainsFunc(k.leader.proposals.pending, func(o pendingProposal) bool { return o.proposal.ID == id })
	}
	fresh := &Ticket{k.term, p.clock()}
	for why, ticket := range map[string]*Ticket{"none": nil, "of another term": {k.term - 1, p.clock()}, "old": {k.term, p.clock() - int64(proposalTimeout) - 1},
		"of the future": {k.term, p.clock() + int64(time.Second)}} {
		if written(why, ticket) {
			t.Errorf("written with a ticket: %s", why)
		}
	}
	if !written("good", fresh) {
		t.Error("not written with a good ticket")
	}
	k.answerProposal(pendingProposal{proposal: Change{ID: "no"}, from: p.name, deadline: p.clock() + int64(proposalTimeout)}, &Outcome{ID: "no", Wrong: "no", Sure: true})
	if written("no", fresh) {
		t.Error("written after a sure no")
	}
}
