package fleet

import (
	"context"
	"strings"
	"time"

	"hollylever/consensus"
)

const (
	// proposalTimeout is slightly below the 5 s within which operators are guaranteed an answer.
	proposalTimeout = 4900 * time.Millisecond

	// proposalRetryInterval is the time between two attempts. Messages may be lost, and a new leader is elected within
	// a few intervals.
	proposalRetryInterval = 250 * time.Millisecond

	// fallbackEvery makes every fallbackEvery-th attempt go to the voters in turn rather than to the known leader,
	// which may be gone.
	fallbackEvery = 4

	maxPendingProposals = 64 // per process; the admin endpoint accepts fewer concurrent callers
	maxPendingReplies   = 4  // per proposal; further replies are duplicates

	// noLeaderPrefix is the prefix of the reason in a replica's answer if it is not the leader and knows of none. It is
	// part of the protocol between processes.
	noLeaderPrefix = "nobody leads"
)

// reply is an answer to a proposal, with its sender.
type reply struct {
	consensus.ProposalResult
	from string
}

// Propose sends a proposal to the voters and waits up to proposalTimeout for the result. If the result is not final the
// outcome is unknown: the proposal may have been accepted or not, and only the history shows which. It is called by the
// admin endpoint and by zone evacuation, from their own goroutines.
func (f *Fleet) Propose(ctx context.Context, proposal consensus.Proposal) consensus.ProposalResult {
	if err := proposal.Validate(); err != nil {
		return consensus.ProposalResult{ID: proposal.ID, Reason: err.Error(), IsFinal: true}
	}
	replies := make(chan reply, maxPendingReplies)
	if !f.registerProposal(proposal.ID, replies) {
		return consensus.ProposalResult{ID: proposal.ID, Reason: "too many proposals wait", IsFinal: true}
	}
	defer f.unregisterProposal(proposal.ID)
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	retry := time.NewTicker(proposalRetryInterval)
	defer retry.Stop()
	p := newProposer(f, proposal)
	for {
		p.send()
		select {
		case r := <-replies:
			switch {
			case r.Ticket != nil:
				p.acceptTicket(r)
				continue // Send again at once, with the ticket.
			case !isNoLeader(r.ProposalResult):
				return r.ProposalResult
			}
			p.ticket = nil // Another replica may become the leader soon.
		case <-retry.C:
			p.handleRetry()
			continue
		case <-ctx.Done():
			return p.unanswered
		}
		select {
		case <-retry.C:
		case <-ctx.Done():
			return p.unanswered
		}
	}
}

// isNoLeader reports whether a result says that there was no leader to decide on the proposal.
func isNoLeader(result consensus.ProposalResult) bool {
	return result.Revision == 0 && strings.HasPrefix(result.Reason, noLeaderPrefix)
}

// registerProposal registers the channel for answers to a proposal. It returns false if too many proposals are pending.
func (f *Fleet) registerProposal(id string, replies chan reply) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.proposals) >= maxPendingProposals {
		return false
	}
	f.proposals[id] = replies
	return true
}

func (f *Fleet) unregisterProposal(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.proposals, id)
}

// deliverReply passes an answer to the pending proposal it belongs to, if any. The caller must hold mu.
func (f *Fleet) deliverReply(r reply) {
	replies := f.proposals[r.ID]
	if replies == nil {
		return
	}
	select {
	case replies <- r:
	default: // The channel is full: this is a duplicate.
	}
}

// proposer sends one proposal repeatedly until it is answered.
//
// A proposal takes two steps. The leader first issues a ticket, which is valid for as long as the proposer waits for an
// answer, and writes the proposal to its log only when it arrives with the ticket. Until the proposal has been sent
// with a ticket, no replica can have written it, so a negative result is final.
type proposer struct {
	fleet      *Fleet
	proposal   *consensus.Proposal
	attempts   int
	target     string // name of the process that it is sent to
	ticket     *consensus.ProposalTicket
	unanswered consensus.ProposalResult // the result if no further answer arrives
}

func newProposer(f *Fleet, proposal consensus.Proposal) *proposer {
	return &proposer{
		fleet:    f,
		proposal: &proposal,
		unanswered: consensus.ProposalResult{
			ID: proposal.ID, Reason: noLeaderPrefix + ": no majority of the keepers is heard", IsFinal: true,
		},
	}
}

// send makes one attempt: with a ticket, to the replica that issued it; otherwise to the known leader, or to the voters
// in turn on fallback attempts and if no leader is known.
func (p *proposer) send() {
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.ticket == nil {
		p.target = f.holder.Leader()
		if p.target == "" || p.isFallback() {
			p.target = f.voters[p.attempts%len(f.voters)]
		}
	}
	f.Send(p.target, &consensus.Message{From: f.name, Proposal: p.proposal, Ticket: p.ticket})
	p.attempts++
}

// isFallback reports whether the next attempt goes to the voters in turn.
func (p *proposer) isFallback() bool { return p.attempts%fallbackEvery == fallbackEvery-1 }

// acceptTicket makes the following attempts use the ticket. From now on the proposal may have been written, so without
// a further answer the result is not final.
func (p *proposer) acceptTicket(r reply) {
	p.ticket, p.target = r.Ticket, r.from
	p.unanswered = consensus.ProposalResult{ID: p.proposal.ID, Reason: "no word of a majority"}
}

// handleRetry drops the ticket before each fallback attempt: the replica that issued it may be gone and another one may
// be the leader.
func (p *proposer) handleRetry() {
	if p.isFallback() {
		p.ticket = nil
	}
}
