package consensus

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Message is what processes tell each other. One of the parts is there.
type Message struct {
	From           string          `cbor:"1,keyasint"`
	Raft           []byte          `cbor:"2,keyasint,omitempty"` // between keepers
	LeaseRequest   *LeaseRequest   `cbor:"3,keyasint,omitempty"` // a holder to a keeper
	LeaseResponse  *LeaseResponse  `cbor:"4,keyasint,omitempty"` // and back
	Announcement   *Announcement   `cbor:"5,keyasint,omitempty"` // a keeper to the others
	Proposal       *Proposal       `cbor:"6,keyasint,omitempty"` // to a keeper
	ProposalResult *ProposalResult `cbor:"7,keyasint,omitempty"` // and back
	Ticket         *ProposalTicket `cbor:"8,keyasint,omitempty"` // of a proposal
}

// Ticket lets a proposal be written: by who leads in this term, for as long as an answer to it is owed. Without tickets a message that the
// network repeats late could be written after its proposer was told no for sure.
type ProposalTicket struct {
	Term     uint64 `cbor:"1,keyasint"`
	IssuedAt int64  `cbor:"2,keyasint"` // on the leader's clock
}

// Ask is for a lease.
type LeaseRequest struct {
	Seq           uint64 `cbor:"1,keyasint"` // of the holder's asks since it began
	Incarnation   uint64 `cbor:"2,keyasint"` // which of its lives: it may have come back under the same name
	KnownRevision uint64 `cbor:"3,keyasint"` // the latest version it knows
	MinRevision   uint64 `cbor:"4,keyasint"`

	ShareSeq    uint64  `cbor:"5,keyasint,omitempty"` // the ask for which the part that it acts on was granted
	RequestRate float64 `cbor:"6,keyasint,omitempty"` // retrievals a second that come to it

	AcceptsDeltas bool `cbor:"7,keyasint,omitempty"` // it takes steps in place of versions; processes of a version before do not
}

// Grant is a lease if Seq is not 0; else news of versions, or only of who leads.
type LeaseResponse struct {
	Seq          uint64     `cbor:"1,keyasint,omitempty"`
	Leader       string     `cbor:"2,keyasint,omitempty"`
	MinRevision  uint64     `cbor:"3,keyasint,omitempty"`
	Revisions    []Revision `cbor:"4,keyasint,omitempty"` // from the floor on, those that the holder lacks
	HistoryID    uint64     `cbor:"5,keyasint,omitempty"` // which history: a fleet that lost one begins another
	BudgetShare  float64    `cbor:"6,keyasint,omitempty"` // of the fleet's budgets, with the lease
	Deltas       []Proposal `cbor:"7,keyasint,omitempty"` // what later versions changed, one after the other
	BaseRevision uint64     `cbor:"8,keyasint,omitempty"` // the version that the first of these changed, where none is whole here
}

// Hello tells what a keeper has: which life of its state, and what founding it knows of.
type Announcement struct {
	Incarnation uint64            `cbor:"1,keyasint"`
	Voters      map[string]uint64 `cbor:"2,keyasint,omitempty"` // of the founding or what became of it; none: it knows nothing
	IsBootstrap bool              `cbor:"3,keyasint,omitempty"` // take this as the founding
}

// Outcome is what became of a proposal.
type ProposalResult struct {
	ID       string          `cbor:"1,keyasint"`
	Revision uint64          `cbor:"2,keyasint,omitempty"` // its version, if it was accepted
	Reason   string          `cbor:"3,keyasint,omitempty"` // why not
	IsFinal  bool            `cbor:"4,keyasint,omitempty"` // false: unknown, look at the history
	Ticket   *ProposalTicket `cbor:"5,keyasint,omitempty"` // no answer yet: send it again, with this
}

const maxMessage = 2 << 20

var errMessage = errors.New("not a message of the fleet")

var strict = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 2 * maxNames, MaxMapPairs: 2 * maxLimits, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // The options are constants.
	}
	return mode
}()

// Pack and Unpack are the form of messages between processes.
func (m *Message) Marshal() []byte { return pack(m) }

// Unpack takes no message that is not whole and within bounds.
func UnmarshalMessage(bytes []byte) (*Message, error) {
	m := &Message{}
	if len(bytes) > maxMessage {
		return nil, errMessage
	}
	if err := strict.Unmarshal(bytes, m); err != nil {
		return nil, fmt.Errorf("%w: %w", errMessage, err)
	}
	parts := 0
	for _, there := range []bool{len(m.Raft) > 0, m.LeaseRequest != nil, m.LeaseResponse != nil, m.Announcement != nil, m.Proposal != nil, m.ProposalResult != nil} {
		if there {
			parts++
		}
	}
	if parts != 1 || m.From == "" || len(m.From) > maxText {
		return nil, errMessage
	}
	if m.Proposal != nil {
		if err := m.Proposal.Validate(); err != nil {
			return nil, fmt.Errorf("%w: %w", errMessage, err)
		}
	}
	return m, nil
}
