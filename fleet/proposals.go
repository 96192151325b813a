package fleet

import (
	"context"
	"strings"
	"time"

	"hollylever/consensus"
)

const (
	// proposalTimeout is a little under the 5 s within which an operator is promised an answer.
	proposalTimeout = 4900 * time.Millisecond

	// proposalRetryInterval is between two attempts: a message may be lost, and a new leader is elected within a few
	// of these.
	proposalRetryInterval = 250 * time.Millisecond

	// fallbackEvery is each how many attempts one goes to another voter than the leader that is known, as that may be
	// gone.
	fallbackEvery = 4

	maxPendingProposals = 64 // at this process; the admin endpoint takes fewer callers at once
	maxPendingReplies   = 4  // to one proposal; more are repetitions

	// noLeaderPrefix begins a replica's answer that it does not lead and knows nobody who does. It is part of the
	// protocol between processes.
	noLeaderPrefix = "nobody leads"
)

// reply is an answer to a proposal, and whose it is.
type reply struct {
	consensus.ProposalResult
	from string
}

// Propose asks the voters to accept a proposal, and waits for the answer, proposalTimeout at most. A result that is
// not final is unknown: the proposal may have been accepted or not, and the history tells. The admin endpoint and
// zone evacuation call it, from goroutines of their own.
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
				continue // With its ticket it goes out again at once.
			case !isNoLeader(r.ProposalResult):
				return r.ProposalResult
			}
			p.ticket = nil // Another replica may be elected soon.
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

// isNoLeader tells whether a result says that no replica was there to decide.
func isNoLeader(result consensus.ProposalResult) bool {
	return result.Revision == 0 && strings.HasPrefix(result.Reason, noLeaderPrefix)
}

// registerProposal has answers to the proposal put into replies; false: too many wait.
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

// deliverReply passes an answer to the proposal that waits for it, if one does. The caller holds mu.
func (f *Fleet) deliverReply(r reply) {
	replies := f.proposals[r.ID]
	if replies == nil {
		return
	}
	select {
	case replies <- r:
	default: // A repetition.
	}
}

// proposer sends one proposal until it has an answer.
//
// A proposal takes two steps: the leader first gives a ticket, which is valid for as long as the answer is waited
// for, and writes the proposal to its log only with that. Until the proposal has gone out with a ticket no replica
// can have written it, so a negative result is final.
type proposer struct {
	fleet      *Fleet
	proposal   *consensus.Proposal
	attempts   int
	target     string // whom it is sent to
	ticket     *consensus.ProposalTicket
	unanswered consensus.ProposalResult // the result if no answer comes any more
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

// send sends the proposal once more: with a ticket to the replica that gave it, else to the leader, or to the voters
// in turn where none is known.
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

// isFallback tells whether the next attempt is one that goes to the voters in turn.
func (p *proposer) isFallback() bool { return p.attempts%fallbackEvery == fallbackEvery-1 }

// acceptTicket has the proposal sent with the ticket from now on. If no answer comes any more, it may have been
// written: the result is not final.
func (p *proposer) acceptTicket(r reply) {
	p.ticket, p.target = r.Ticket, r.from
	p.unanswered = consensus.ProposalResult{ID: p.proposal.ID, Reason: "no word of a majority"}
}

// handleRetry drops the ticket with each fallback attempt: the replica that gave it may be gone, and another lead.
func (p *proposer) handleRetry() {
	if p.isFallback() {
		p.ticket = nil
	}
}
