package fleet

import (
	"context"
	"strings"
	"time"

	"hollylever/consensus"
)

const (
	proposalTimeout       = 4900 * time.Millisecond // an operator has some answer within 5 s
	proposalRetryInterval = 250 * time.Millisecond  // a message may be lost, and a new leader is there within a few of these
	maxPendingProposals   = 64                      // that wait for an answer here; the admin endpoint takes fewer callers
	fallbackEvery         = 4                       // attempts; each so many, one goes to another voter: the leader that is known may be gone
	maxPendingReplies     = 4                       // for one proposal; more are repetitions

	// noLeaderPrefix begins a replica's answer that it does not lead and knows nobody who does. It is part of the protocol between processes.
	noLeaderPrefix = "nobody leads"
)

// reply is an answer to a proposal, and whose it is.
type reply struct {
	consensus.ProposalResult
	from string
}

// Propose asks the voters to accept a change, and waits for the answer, proposalTimeout at most. A result that is not final (Sure) may become either: the
// history tells. It is called by the admin endpoint and by the evacuation of zones, from goroutines of their own.
func (f *Fleet) Propose(ctx context.Context, change consensus.Proposal) consensus.ProposalResult {
	if err := change.Validate(); err != nil {
		return consensus.ProposalResult{ID: change.ID, Reason: err.Error(), IsFinal: true}
	}
	replies := make(chan reply, maxPendingReplies)
	if !f.registerProposal(change.ID, replies) {
		return consensus.ProposalResult{ID: change.ID, Reason: "too many proposals wait", IsFinal: true}
	}
	defer f.unregisterProposal(change.ID)
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	retry := time.NewTicker(proposalRetryInterval)
	defer retry.Stop()
	p := newProposer(f, change)
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
			p.ticket = nil // Another replica may lead in a moment.
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

// isNoLeader tells whether an outcome says that no replica was there to decide.
func isNoLeader(o consensus.ProposalResult) bool {
	return o.Revision == 0 && strings.HasPrefix(o.Reason, noLeaderPrefix)
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

// deliverReply gives an answer to the proposal that waits for it, if one does. The caller holds mu.
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
// A proposal is written in two steps: the leader first gives a ticket, which lasts as long as the answer is waited for, and writes the proposal only with it.
// Until it has gone out with a ticket nobody can have written it, so a negative answer is final.
type proposer struct {
	fleet      *Fleet
	change     *consensus.Proposal
	attempts   int
	target     string // whom it is sent to
	ticket     *consensus.ProposalTicket
	unanswered consensus.ProposalResult // the result if no answer comes any more
}

func newProposer(f *Fleet, change consensus.Proposal) *proposer {
	return &proposer{fleet: f, change: &change,
		unanswered: consensus.ProposalResult{ID: change.ID, Reason: noLeaderPrefix + ": no majority of the keepers is heard", IsFinal: true}}
}

// send sends the proposal once more: with a ticket to whoever gave it, else to the leader, or to one voter after the other where none is known.
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
	f.Send(p.target, &consensus.Message{From: f.name, Proposal: p.change, Ticket: p.ticket})
	p.attempts++
}

// isFallback tells whether the next attempt is one that goes to the voters in turn.
func (p *proposer) isFallback() bool { return p.attempts%fallbackEvery == fallbackEvery-1 }

// acceptTicket has the proposal sent with the ticket from now on. From then on it may have been written whenever no answer comes.
func (p *proposer) acceptTicket(r reply) {
	p.ticket, p.target = r.Ticket, r.from
	p.unanswered = consensus.ProposalResult{ID: p.change.ID, Reason: "no word of a majority"}
}

// handleRetry gives up the ticket now and then: whoever gave it may be gone, and another replica lead.
func (p *proposer) handleRetry() {
	if p.isFallback() {
		p.ticket = nil
	}
}
