package consensus

import (
	"slices"
	"time"
)

const (
	// proposalTimeout is how long an operator waits for a majority before the answer is no.
	proposalTimeout = 5 * time.Second
	// refusalRetention is how long a final no is repeated to whoever sends the proposal again: until its ticket is no
	// longer valid, with as much again in reserve.
	refusalRetention = 2 * proposalTimeout
	// maxPendingProposals and maxPendingBytes bound the proposals that wait for a majority: they are a part of the
	// replicated state.
	maxPendingProposals = 64
	maxPendingBytes     = 2 * maxProposalBytes
	// maxRefusals bounds the final refusals that are remembered.
	maxRefusals = maxWaitingRequests
)

// Reasons of proposal results. They go over the wire and to operators.
const (
	reasonLeaderChanged = "another leads now: look at the history"
	reasonNoLeader      = "nobody leads: no majority of the keepers is heard"
	reasonWithdrawn     = "no majority within 5s: not in force, and it will not be"
	reasonUnknown       = "no word of a majority within 5s: look at the history"
	reasonTooMany       = "too many proposals wait"
)

// proposalTable is the leader's proposals: those that wait for a majority, and those that were refused for good.
type proposalTable struct {
	pending []pendingProposal
	refused []refusal
}

type pendingProposal struct {
	proposal   Proposal
	from       string
	deadline   int64
	isAccepted bool // its acceptance is written: from here on only the history tells whether it is in force
	bytes      int  // of the proposal
}

// refusal is a final no, and when the proposal came.
type refusal struct {
	ProposalResult
	at int64
}

func (t *proposalTable) indexOf(id string) int {
	return slices.IndexFunc(t.pending, func(p pendingProposal) bool { return p.proposal.ID == id })
}

func (t *proposalTable) refusalIndex(id string) int {
	return slices.IndexFunc(t.refused, func(f refusal) bool { return f.ID == id })
}

// hasRoomFor tells whether one more proposal may wait.
func (t *proposalTable) hasRoomFor(bytes int) bool {
	for n := range t.pending {
		bytes += t.pending[n].bytes
	}
	return len(t.pending) < maxPendingProposals && bytes <= maxPendingBytes
}

func (t *proposalTable) dropOldRefusals(now int64) {
	t.refused = slices.DeleteFunc(t.refused, func(f refusal) bool {
		return now-f.at > int64(refusalRetention)
	})
}

// isValid tells whether a ticket is of this term and as young as a proposer waits for its answer. Without tickets, a
// proposal that the network repeats late would be written after its proposer was told a final no, and be in force
// against that.
func (t *ProposalTicket) isValid(now int64, term uint64) bool {
	return t != nil && t.Term == term && t.IssuedAt <= now && now-t.IssuedAt <= int64(proposalTimeout)
}

// handleProposal takes a proposal. It is answered at once where it cannot be written, or has an answer already; else
// when a majority has written it, or proposalTimeout has passed.
func (r *Replica) handleProposal(now int64, from string, proposal Proposal, ticket *ProposalTicket) {
	p := pendingProposal{
		proposal: proposal,
		from:     from,
		deadline: now + int64(proposalTimeout),
		bytes:    len(encode(proposal)),
	}
	table := &r.leader.proposals
	table.dropOldRefusals(now)
	if !r.IsLeader() {
		r.redirectProposal(p)
		return
	}
	if table.indexOf(proposal.ID) >= 0 && r.state.revisionOf(proposal.ID) == 0 {
		return // It is answered once.
	}
	if result := r.immediateResult(now, p, ticket); result != nil {
		r.answerProposal(p, result)
		return
	}
	if r.proposeCommand(command{Propose: &proposal}) {
		table.pending = append(table.pending, p)
	}
}

// immediateResult is the result of a proposal that needs no majority: it was decided before, lacks a ticket, or
// cannot be taken. It is nil for one that is to be written.
func (r *Replica) immediateResult(now int64, p pendingProposal, ticket *ProposalTicket) *ProposalResult {
	id, table := p.proposal.ID, &r.leader.proposals
	if revision := r.state.revisionOf(id); revision != 0 {
		return &ProposalResult{ID: id, Revision: revision, IsFinal: true}
	}
	if at := table.refusalIndex(id); at >= 0 {
		return &table.refused[at].ProposalResult
	}
	if !ticket.isValid(now, r.term) {
		return &ProposalResult{ID: id, Ticket: &ProposalTicket{r.term, now}}
	}
	if !table.hasRoomFor(p.bytes) {
		return &ProposalResult{ID: id, Reason: reasonTooMany, IsFinal: true}
	}
	if _, err := p.proposal.apply(r.state.latest()); err != nil {
		return &ProposalResult{ID: id, Reason: err.Error(), IsFinal: true}
	}
	return nil
}

// redirectProposal tells a proposer who leads, and it asks there; or that nobody does.
func (r *Replica) redirectProposal(p pendingProposal) {
	leader := r.knownLeader()
	if leader == "" || leader == r.Name {
		r.answerProposal(p, &ProposalResult{ID: p.proposal.ID, Reason: reasonNoLeader, IsFinal: true})
		return
	}
	r.sender.Send(p.from, &Message{From: r.Name, LeaseResponse: &LeaseResponse{Leader: leader}})
}

// answerProposal sends a result. A leader remembers a final no, so that whatever the network repeats gets the same
// answer.
func (r *Replica) answerProposal(p pendingProposal, result *ProposalResult) {
	table := &r.leader.proposals
	isRefusal := result.IsFinal && result.Revision == 0
	if isRefusal && r.IsLeader() && table.refusalIndex(result.ID) < 0 && len(table.refused) < maxRefusals {
		table.refused = append(table.refused, refusal{*result, p.deadline - int64(proposalTimeout)})
	}
	r.sender.Send(p.from, &Message{From: r.Name, ProposalResult: result})
}

// expireProposals answers the proposals whose time is over. One whose acceptance is not written is withdrawn, and the
// no is final: an entry of the log says so, and no later leader can accept it. One whose acceptance is written may be
// in force.
func (r *Replica) expireProposals(now int64) {
	table := &r.leader.proposals
	waiting := table.pending[:0]
	for _, p := range table.pending {
		switch {
		case now < p.deadline:
			waiting = append(waiting, p)
		case p.isAccepted:
			r.answerProposal(p, &ProposalResult{ID: p.proposal.ID, Reason: reasonUnknown})
		default:
			r.proposeCommand(command{Withdraw: p.proposal.ID})
			r.answerProposal(p, &ProposalResult{ID: p.proposal.ID, Reason: reasonWithdrawn, IsFinal: true})
		}
	}
	clear(table.pending[len(waiting):])
	table.pending = waiting
}

// applyProposal takes up a proposal that a majority has written. The leader that wrote it accepts it, if its proposer
// still waits.
func (r *Replica) applyProposal(now int64, proposal *Proposal, term uint64, isOwn bool) {
	r.state.Unaccepted = append(r.state.Unaccepted, unacceptedProposal{*proposal, term})
	table := &r.leader.proposals
	if at := table.indexOf(proposal.ID); isOwn && at >= 0 && now < table.pending[at].deadline {
		table.pending[at].isAccepted = r.proposeCommand(command{Accept: proposal.ID})
	}
}

// applyAcceptance makes a proposal the next revision, and answers its proposer.
func (r *Replica) applyAcceptance(id string, isOwn bool) {
	revision, err := r.state.accept(id)
	table := &r.leader.proposals
	if at := table.indexOf(id); at >= 0 {
		result := &ProposalResult{ID: id, Revision: revision, IsFinal: true}
		if err != nil {
			result.Reason = err.Error()
		}
		r.answerProposal(table.pending[at], result)
		table.pending = slices.Delete(table.pending, at, at+1)
	}
	if isOwn && err == nil {
		r.notifyHolders()
	}
}
