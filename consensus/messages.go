package consensus

import (
	"errors"
	"fmt"
)

// maxMessageBytes bounds an encoded message. All active revisions and the pending proposals fit into one message.
const maxMessageBytes = 2 << 20

// errInvalidMessage is returned for bytes that no process of a fleet sends.
var errInvalidMessage = errors.New("malformed message")

// Sender sends a message to the process with the given name, which may be this process itself. It does not block, and
// the message may be lost.
type Sender interface{ Send(to string, m *Message) }

// Message is a message between two processes. Exactly one field is set besides From and Ticket.
type Message struct {
	From           string          `cbor:"1,keyasint"`           // name of the sending process
	Raft           []byte          `cbor:"2,keyasint,omitempty"` // a raft message between replicas
	LeaseRequest   *LeaseRequest   `cbor:"3,keyasint,omitempty"` // from a lease holder to a replica
	LeaseResponse  *LeaseResponse  `cbor:"4,keyasint,omitempty"` // from a replica to a lease holder
	Announcement   *Announcement   `cbor:"5,keyasint,omitempty"` // from a replica to the other replicas
	Proposal       *Proposal       `cbor:"6,keyasint,omitempty"` // from a proposer to a replica
	ProposalResult *ProposalResult `cbor:"7,keyasint,omitempty"` // from a replica to a proposer
	Ticket         *ProposalTicket `cbor:"8,keyasint,omitempty"` // the ticket of Proposal; nil if it has none yet
}

// ProposalTicket permits a proposal to be written to the log. Only the leader that issued the ticket accepts it, in the
// same term, and only for as long as a proposer waits for the result.
type ProposalTicket struct {
	Term     uint64 `cbor:"1,keyasint"`
	IssuedAt int64  `cbor:"2,keyasint"` // nanoseconds on the leader's clock
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	// Seq is the sequence number among the requests of this holder, from 1.
	Seq uint64 `cbor:"1,keyasint"`
	// Incarnation distinguishes this process from earlier ones with the same name.
	Incarnation uint64 `cbor:"2,keyasint"`
	// KnownRevision and MinRevision are the latest revision and the min revision that the holder knows; 0 if none.
	KnownRevision uint64 `cbor:"3,keyasint"`
	MinRevision   uint64 `cbor:"4,keyasint"`
	// ShareSeq is the Seq of the request that was granted the budget share that the holder now uses; 0 if none.
	ShareSeq uint64 `cbor:"5,keyasint,omitempty"`
	// RequestRate is how many requests per second the process receives from clients.
	RequestRate float64 `cbor:"6,keyasint,omitempty"`
	// AcceptsDeltas reports whether the holder accepts deltas in place of full revisions. Builds without delta
	// support do not.
	AcceptsDeltas bool `cbor:"7,keyasint,omitempty"`
}

// LeaseResponse grants a lease if Seq is not 0. Otherwise, it only carries later revisions or the name of the leader.
type LeaseResponse struct {
	// Seq is the Seq of the request that is granted.
	Seq uint64 `cbor:"1,keyasint,omitempty"`
	// Leader is the name of the leader.
	Leader string `cbor:"2,keyasint,omitempty"`
	// MinRevision is the min revision: all leases are under this revision or a later one.
	MinRevision uint64 `cbor:"3,keyasint,omitempty"`
	// Revisions are the revisions from the min revision on that the holder does not have.
	Revisions []Revision `cbor:"4,keyasint,omitempty"`
	// HistoryID identifies the history. A fleet that lost its history starts another one, with another ID.
	HistoryID uint64 `cbor:"5,keyasint,omitempty"`
	// BudgetShare is the holder's share of the fleet's budgets, from 0 to 1, for the duration of the lease; 0 if
	// budgets are not divided.
	BudgetShare float64 `cbor:"6,keyasint,omitempty"`
	// Deltas are the changes of later revisions, in order. The first delta applies to the last of Revisions or, if
	// Revisions is empty, to the revision numbered BaseRevision, which the holder knows according to its request.
	Deltas       []Proposal `cbor:"7,keyasint,omitempty"`
	BaseRevision uint64     `cbor:"8,keyasint,omitempty"`
}

// Announcement is sent by a replica to announce the incarnation of its state and the voters that it knows.
type Announcement struct {
	Incarnation uint64            `cbor:"1,keyasint"`
	Voters      map[string]uint64 `cbor:"2,keyasint,omitempty"` // incarnations by name; empty if it knows no history
	IsBootstrap bool              `cbor:"3,keyasint,omitempty"` // set by no build; its key must not be reused
}

// ProposalResult is the result of a proposal or, if Ticket is set, the request to send the proposal again with that
// ticket. If it is not final, the proposal may still become a revision: the history shows whether it did.
type ProposalResult struct {
	ID       string          `cbor:"1,keyasint"`
	Revision uint64          `cbor:"2,keyasint,omitempty"` // the revision that the proposal became; 0 if none
	Reason   string          `cbor:"3,keyasint,omitempty"` // why the proposal was not accepted
	IsFinal  bool            `cbor:"4,keyasint,omitempty"` // whether the result cannot change any more
	Ticket   *ProposalTicket `cbor:"5,keyasint,omitempty"` // nil if the proposal is not to be sent again
}

// Marshal encodes the message. UnmarshalMessage decodes it.
func (m *Message) Marshal() []byte { return encode(m) }

// UnmarshalMessage decodes a message. It returns an error for one that is incomplete or exceeds a bound.
func UnmarshalMessage(bytes []byte) (*Message, error) {
	m := &Message{}
	if len(bytes) > maxMessageBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d are allowed", errInvalidMessage, len(bytes), maxMessageBytes)
	}
	if err := strictDecoding.Unmarshal(bytes, m); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidMessage, err)
	}
	if n := m.payloadCount(); n != 1 || m.From == "" || len(m.From) > maxNameBytes {
		return nil, fmt.Errorf("%w: %d payloads, sender name of %d bytes", errInvalidMessage, n, len(m.From))
	}
	if m.Proposal != nil {
		if err := m.Proposal.Validate(); err != nil {
			return nil, fmt.Errorf("%w: %w", errInvalidMessage, err)
		}
	}
	return m, nil
}

// payloadCount returns how many payload fields, of which a valid message has exactly one, are set.
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
