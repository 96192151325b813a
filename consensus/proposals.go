package consensus

import (
	"slices"
	"time"
)

const (
	// proposalTimeout is how long a proposal may wait for a majority before it is answered without one.
	proposalTimeout = 5 * time.Second
	// refusalRetention is how long a final refusal is repeated when the proposal arrives again: until its ticket has
	// expired, with a reserve of the same length.
	refusalRetention = 2 * proposalTimeout
	// maxPendingProposals and maxPendingBytes bound the proposals that wait for a majority, which are part of the
	// replicated state.
	maxPendingProposals = 64
	maxPendingBytes     = 2 * maxProposalBytes
	// maxRefusals bounds the number of final refusals that are kept.
	maxRefusals = maxWaitingRequests
)

// Reasons given in proposal results. They are part of the wire format and are shown to operators.
const (
	reasonLeaderChanged = "another leads now: look at the history"
	reasonNoLeader      = "nobody leads: no majority of the keepers is heard"
	reasonWithdrawn     = "no majority within 5s: not in force, and it will not be"
	reasonUnknown       = "no word of a majority within 5s: look at the history"
	reasonTooMany       = "too many proposals wait"
)

// proposalTable is the leader's record of proposals: those waiting for a majority, and those with a final refusal.
type proposalTable struct {
	pending []pendingProposal
	refused []refusal
}

type pendingProposal struct {
	proposal   Proposal
	from       string
	deadline   int64
	isAccepted bool // its Accept command was proposed: from then on only the history tells whether it is in force
	bytes      int  // encoded size of the proposal
}

// refusal is a final refusal of a proposal.
type refusal struct {
	ProposalResult
	at int64 // when the proposal arrived
}

func (t *proposalTable) indexOf(id string) int {
	return slices.IndexFunc(t.pending, func(p pendingProposal) bool { return p.proposal.ID == id })
}

func (t *proposalTable) refusalIndex(id string) int {
	return slices.IndexFunc(t.refused, func(f refusal) bool { return f.ID == id })
}

// hasRoomFor reports whether one more proposal, of the given encoded size, may wait.
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

// isValid reports whether a ticket was issued in this term and is no older than proposalTimeout. Without tickets, a
// duplicate that the network delivers late could be written after its proposer received a final refusal, and take
// effect nevertheless.
func (t *ProposalTicket) isValid(now int64, term uint64) bool {
	return t != nil && t.Term == term && t.IssuedAt <= now && now-t.IssuedAt <= int64(proposalTimeout)
}

// handleProposal processes a proposal. It is answered immediately if it cannot be written or already has a result;
// otherwise when its acceptance is committed or proposalTimeout has passed.
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
		return // Already pending; its proposer gets one result.
	}
	if result := r.immediateResult(now, p, ticket); result != nil {
		r.answerProposal(p, result)
		return
	}
	if r.proposeCommand(command{Propose: &proposal}) {
		table.pending = append(table.pending, p)
	}
}

// immediateResult returns the result of a proposal that is not to be written, because it is already decided, lacks a
// valid ticket, or is refused. It returns nil for a proposal to be written.
func (r *Replica) immediateResult(now int64, p pendingProposal, ticket *ProposalTicket) *ProposalResult {
	id, table := p.proposal.ID, &r.leader.proposals
	if revision := r.state.revisionOf(id); revision != 0 {
		return &ProposalResult{ID: id, Revision: revision, IsFinal: true}
	}
	if i := table.refusalIndex(id); i >= 0 {
		return &table.refused[i].ProposalResult
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

// redirectProposal tells a proposer which replica leads, so that it sends the proposal there. If no other leader is
// known, it refuses the proposal.
func (r *Replica) redirectProposal(p pendingProposal) {
	leader := r.knownLeader()
	if leader == "" || leader == r.Name {
		r.answerProposal(p, &ProposalResult{ID: p.proposal.ID, Reason: reasonNoLeader, IsFinal: true})
		return
	}
	r.sender.Send(p.from, &Message{From: r.Name, LeaseResponse: &LeaseResponse{Leader: leader}})
}

// answerProposal sends a result to the proposer. A leader records final refusals, so that duplicates of the proposal
// get the same result.
func (r *Replica) answerProposal(p pendingProposal, result *ProposalResult) {
	table := &r.leader.proposals
	isRefusal := result.IsFinal && result.Revision == 0
	if isRefusal && r.IsLeader() && table.refusalIndex(result.ID) < 0 && len(table.refused) < maxRefusals {
		table.refused = append(table.refused, refusal{*result, p.deadline - int64(proposalTimeout)})
	}
	r.sender.Send(p.from, &Message{From: r.Name, ProposalResult: result})
}

// expireProposals answers the proposals whose deadline has passed. A proposal whose acceptance was not proposed is
// withdrawn by a log entry and its refusal is final, as no later leader can accept it. A proposal whose acceptance was
// proposed may be in force or may still take effect, so its result is not final.
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

// applyProposal applies a committed Propose command. The leader that wrote it proposes its acceptance, unless the
// deadline has passed.
func (r *Replica) applyProposal(now int64, proposal *Proposal, term uint64, isOwnEntry bool) {
	r.state.Unaccepted = append(r.state.Unaccepted, unacceptedProposal{*proposal, term})
	table := &r.leader.proposals
	if i := table.indexOf(proposal.ID); isOwnEntry && i >= 0 && now < table.pending[i].deadline {
		table.pending[i].isAccepted = r.proposeCommand(command{Accept: proposal.ID})
	}
}

// applyAcceptance applies a committed Accept command: it makes the proposal the next revision and answers its
// proposer.
func (r *Replica) applyAcceptance(id string, isOwnEntry bool) {
	revision, err := r.state.accept(id)
	table := &r.leader.proposals
	if i := table.indexOf(id); i >= 0 {
		result := &ProposalResult{ID: id, Revision: revision, IsFinal: true}
		if err != nil {
			result.Reason = err.Error()
		}
		r.answerProposal(table.pending[i], result)
		table.pending = slices.Delete(table.pending, i, i+1)
	}
	if isOwnEntry && err == nil {
		r.notifyHolders()
	}
}
