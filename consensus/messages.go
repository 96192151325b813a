package consensus

import (
	"errors"
	"fmt"
)

// maxMessageBytes bounds a message: all active revisions and what is pending fit.
const maxMessageBytes = 2 << 20

// errInvalidMessage refuses bytes that no process of a fleet sends.
var errInvalidMessage = errors.New("not a message of the fleet")

// Sender carries a message to a process by its name, or loses it. It does not block; it may be given the name of its
// own process.
type Sender interface{ Send(to string, m *Message) }

// Message is what processes tell each other. One of the fields is there, besides From and Ticket.
type Message struct {
	From           string          `cbor:"1,keyasint"`           // the name of the process that sent it
	Raft           []byte          `cbor:"2,keyasint,omitempty"` // between replicas
	LeaseRequest   *LeaseRequest   `cbor:"3,keyasint,omitempty"` // a lease holder to a replica
	LeaseResponse  *LeaseResponse  `cbor:"4,keyasint,omitempty"` // and back
	Announcement   *Announcement   `cbor:"5,keyasint,omitempty"` // a replica to the others
	Proposal       *Proposal       `cbor:"6,keyasint,omitempty"` // a proposer to a replica
	ProposalResult *ProposalResult `cbor:"7,keyasint,omitempty"` // and back
	Ticket         *ProposalTicket `cbor:"8,keyasint,omitempty"` // of a proposal
}

// ProposalTicket lets a proposal be written: by the leader that issued it, in the same term, for as long as an answer
// to it is owed.
type ProposalTicket struct {
	Term     uint64 `cbor:"1,keyasint"`
	IssuedAt int64  `cbor:"2,keyasint"` // nanoseconds of the leader's clock
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	// Seq counts the requests of this holder, from 1.
	Seq uint64 `cbor:"1,keyasint"`
	// Incarnation is that of the process: it may have come back under the same name.
	Incarnation uint64 `cbor:"2,keyasint"`
	// KnownRevision and MinRevision are the latest and the min revision that it knows; 0: none.
	KnownRevision uint64 `cbor:"3,keyasint"`
	MinRevision   uint64 `cbor:"4,keyasint"`
	// ShareSeq is the request for which the budget share was granted that it acts on; 0: none.
	ShareSeq uint64 `cbor:"5,keyasint,omitempty"`
	// RequestRate is how many requests a second come to it from clients.
	RequestRate float64 `cbor:"6,keyasint,omitempty"`
	// AcceptsDeltas tells that it takes deltas in place of whole revisions; builds before deltas do not.
	AcceptsDeltas bool `cbor:"7,keyasint,omitempty"`
}

// LeaseResponse is a lease if Seq is not 0; else it only tells later revisions, or who leads.
type LeaseResponse struct {
	// Seq is that of the request.
	Seq uint64 `cbor:"1,keyasint,omitempty"`
	// Leader is who leads, by its name.
	Leader string `cbor:"2,keyasint,omitempty"`
	// MinRevision is the revision under which, or a later one, all leases are.
	MinRevision uint64 `cbor:"3,keyasint,omitempty"`
	// Revisions are those from the min revision on that the holder lacks.
	Revisions []Revision `cbor:"4,keyasint,omitempty"`
	// HistoryID tells histories apart: a fleet that lost one begins another.
	HistoryID uint64 `cbor:"5,keyasint,omitempty"`
	// BudgetShare is the holder's share of the fleet's budgets, 0 to 1, for as long as the lease; 0: they are not
	// divided.
	BudgetShare float64 `cbor:"6,keyasint,omitempty"`
	// Deltas are what later revisions changed, one after the other. The first of them follows the last of Revisions
	// or, where there is none, the revision BaseRevision, which the holder said that it knows.
	Deltas       []Proposal `cbor:"7,keyasint,omitempty"`
	BaseRevision uint64     `cbor:"8,keyasint,omitempty"`
}

// Announcement tells what a replica has: the incarnation of its state, and the voters that it knows of.
type Announcement struct {
	Incarnation uint64            `cbor:"1,keyasint"`
	Voters      map[string]uint64 `cbor:"2,keyasint,omitempty"` // incarnations by name; none: it knows no history
	IsBootstrap bool              `cbor:"3,keyasint,omitempty"` // no build sets it; the key stays taken
}

// ProposalResult is what became of a proposal.
type ProposalResult struct {
	ID       string          `cbor:"1,keyasint"`
	Revision uint64          `cbor:"2,keyasint,omitempty"` // its revision, if it was accepted
	Reason   string          `cbor:"3,keyasint,omitempty"` // why not
	IsFinal  bool            `cbor:"4,keyasint,omitempty"` // false: it may still be in force, the history tells
	Ticket   *ProposalTicket `cbor:"5,keyasint,omitempty"` // no answer yet: send it again, with this
}

// Marshal encodes a message for UnmarshalMessage.
func (m *Message) Marshal() []byte { return encode(m) }

// UnmarshalMessage takes no message that is not complete and within bounds.
func UnmarshalMessage(bytes []byte) (*Message, error) {
	m := &Message{}
	if len(bytes) > maxMessageBytes {
		return nil, errInvalidMessage
	}
	if err := strictDecoding.Unmarshal(bytes, m); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidMessage, err)
	}
	if m.payloadCount() != 1 || m.From == "" || len(m.From) > maxNameBytes {
		return nil, errInvalidMessage
	}
	if m.Proposal != nil {
		if err := m.Proposal.Validate(); err != nil {
			return nil, fmt.Errorf("%w: %w", errInvalidMessage, err)
		}
	}
	return m, nil
}

// payloadCount is how many of the fields that a message has one of are there.
func (m *Message) payloadCount() (n int) {
	for _, isPresent := range []bool{
		len(m.Raft) > 0,
		m.LeaseRequest != nil,
		m.LeaseResponse != nil,
		m.Announcement != nil,
		m.Proposal != nil,
		m.ProposalResult != nil,
	} {
		if isPresent {
			n++
		}
	}
	return n
}
