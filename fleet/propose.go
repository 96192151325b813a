package fleet

import (
	"context"
	"strings"
	"time"

	"hollylever/consensus"
)

const (
	answerIn   = 4900 * time.Millisecond // an operator has some answer to a proposal within 5 s
	maxWaiting = 64                      // proposals that wait for an answer here; the admin endpoint takes fewer callers
)

// Propose asks the keepers to accept a change, and waits for their answer.
func (f *Fleet) Propose(ctx context.Context, c consensus.Proposal) consensus.ProposalResult {
	if err := c.Validate(); err != nil {
		return consensus.ProposalResult{ID: c.ID, Reason: err.Error(), IsFinal: true}
	}
	answer := make(chan said, 4)
	f.mu.Lock()
	if len(f.waiting) >= maxWaiting {
		f.mu.Unlock()
		return consensus.ProposalResult{ID: c.ID, Reason: "too many proposals wait", IsFinal: true}
	}
	f.waiting[c.ID] = answer
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.waiting, c.ID)
		f.mu.Unlock()
	}()
	end, again := time.NewTimer(answerIn), time.NewTicker(250*time.Millisecond)
	defer end.Stop()
	defer again.Stop()
	// Until it went to somebody with a ticket, nobody can have written it: then a no is sure.
	nobody, asked, to, ticket := consensus.ProposalResult{ID: c.ID, Reason: "nobody leads: no majority of the keepers is heard", IsFinal: true}, 0, "", (*consensus.ProposalTicket)(nil)
	for {
		f.mu.Lock()
		if ticket == nil {
			if to = f.holder.Leader(); to == "" || asked%4 == 3 {
				to = f.keepers[asked%len(f.keepers)]
			}
		}
		f.Send(to, &consensus.Message{From: f.name, Proposal: &c, Ticket: ticket})
		f.mu.Unlock()
		asked++
		select {
		case o := <-answer:
			switch {
			case o.Ticket != nil:
				ticket, to = o.Ticket, o.from
				nobody = consensus.ProposalResult{ID: c.ID, Reason: "no word of a majority"}
				continue
			case o.Revision == 0 && strings.HasPrefix(o.Reason, "nobody leads"):
				ticket = nil // One may lead in a moment.
			default:
				return o.ProposalResult
			}
		case <-again.C:
			if asked%4 == 3 {
				ticket = nil // Who gave it may be gone: it is asked of another.
			}
			continue
		case <-end.C:
			return nobody
		case <-ctx.Done():
			return nobody
		}
		select {
		case <-again.C:
		case <-end.C:
			return nobody
		case <-ctx.Done():
			return nobody
		}
	}
}

// said is an answer to a proposal, and whose.
type said struct {
	consensus.ProposalResult
	from string
}
