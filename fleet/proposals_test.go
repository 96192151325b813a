package fleet

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"hollylever/consensus"
	"hollylever/membership"
)

// scriptedVoters is a fake exchange whose voters give scripted answers. It records each attempt.
type scriptedVoters struct {
	membership.Exchange
	fleet     *Fleet
	startedAt time.Time
	attempts  strings.Builder
	answer    func(to string, attempt int, m *consensus.Message) *consensus.ProposalResult // nil: no answer
	count     int
}

func (s *scriptedVoters) Send(to string, message []byte) error {
	m, err := consensus.UnmarshalMessage(message)
	if err != nil || m.Proposal == nil {
		return err
	}
	ticket := "none"
	if m.Ticket != nil {
		ticket = fmt.Sprint("of term ", m.Ticket.Term)
	}
	fmt.Fprintf(&s.attempts, "  %v to %s, ticket %s\n", time.Since(s.startedAt), to, ticket)
	result := s.answer(to, s.count, m)
	s.count++
	if result == nil {
		return nil
	}
	result.ID = m.Proposal.ID
	reply := (&consensus.Message{From: to, ProposalResult: result}).Marshal()
	time.AfterFunc(10*time.Millisecond, func() { s.fleet.handleMessage(reply) })
	return nil
}

// A proposal must reach the leader whichever voters are gone, and a rejected proposal must never take effect. The test
// compares the target, time and ticket of each attempt, and the final result, with a golden file.
func TestProposalAttempts(t *testing.T) {
	noLeader := &consensus.ProposalResult{Reason: "nobody leads: an election"}
	ticket := func(term uint64) *consensus.ProposalResult {
		return &consensus.ProposalResult{Ticket: &consensus.ProposalTicket{Term: term}}
	}
	var out strings.Builder
	for _, c := range []struct {
		name   string
		leader string // as known to the process; "" if none
		answer func(to string, attempt int, m *consensus.Message) *consensus.ProposalResult
	}{
		{"no voter answers", "", func(string, int, *consensus.Message) *consensus.ProposalResult { return nil }},
		{"no voter leads", "", func(string, int, *consensus.Message) *consensus.ProposalResult { r := *noLeader; return &r }},
		{"the second voter accepts", "", func(to string, _ int, m *consensus.Message) *consensus.ProposalResult {
			switch {
			case to != "b2":
				return nil
			case m.Ticket == nil:
				return ticket(3)
			}
			return &consensus.ProposalResult{Revision: 7, IsFinal: true}
		}},
		{"the leader that is known does not answer", "b4", func(string, int, *consensus.Message) *consensus.ProposalResult { return nil }},
		{"the leader rejects", "b3", func(string, int, *consensus.Message) *consensus.ProposalResult {
			return &consensus.ProposalResult{Reason: "changes nothing", IsFinal: true}
		}},
		{"the leader is gone after its ticket", "", func(_ string, attempt int, _ *consensus.Message) *consensus.ProposalResult {
			if attempt == 0 {
				return ticket(4)
			}
			return nil
		}},
		{"another leads after the ticket", "", func(to string, attempt int, m *consensus.Message) *consensus.ProposalResult {
			switch {
			case attempt == 0:
				return ticket(5)
			case to != "b3":
				r := *noLeader
				return &r
			case m.Ticket == nil:
				return ticket(6)
			}
			return &consensus.ProposalResult{Revision: 8}
		}},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newUnjoinedFleet(t, "", &recordingBalancer{})
			f.voters = []string{"b2", "b3", "b4"}
			voters := &scriptedVoters{fleet: f, startedAt: time.Now(), answer: c.answer}
			f.exchange = voters
			f.holder.HandleLeaseResponse(Now(), &consensus.LeaseResponse{Leader: c.leader})
			result := f.Propose(context.Background(), consensus.Proposal{ID: "p", EjectEndpoints: []string{"h"}})
			fmt.Fprintf(&out, "%s\n%s  result after %v: revision %d, %q, final %t\n", c.name, voters.attempts.String(), time.Since(voters.startedAt),
				result.Revision, result.Reason, result.IsFinal)
			synctest.Wait()
		})
	}
	golden(t, "attempts.golden", []byte(out.String()))
}
