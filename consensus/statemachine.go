package consensus

import (
	"errors"
	"fmt"
	"slices"
)

const (
	// maxRetainedRevisions is how many revisions are kept for operators to look at. More are kept only while they are
	// active.
	maxRetainedRevisions = 256
	// maxActiveRevisions, maxActiveBytes and maxActiveNames bound the active revisions, because a lease response to a
	// new holder carries all of them in one message. The bytes are the encoded size of the first revision and of the
	// delta of each later one. The names are counted over all configurations, as memory use depends on them.
	maxActiveRevisions = 1024
	maxActiveBytes     = 960 << 10
	maxActiveNames     = 640 << 10
	// maxFullHistoryStateBytes is the largest encoded state that has the history as full revisions. Builds without
	// delta support can read only that form, so a fleet can be downgraded while its state is no larger.
	maxFullHistoryStateBytes = 512 << 10
	// minNameBytes is the encoded size of the shortest name.
	minNameBytes = 3
)

// errUnknownProposal is returned when the proposal to accept is not among the unaccepted proposals of this term. Its
// text is sent to the proposer.
var errUnknownProposal = errors.New("not among what was written")

// replicatedState is the result of applying the committed commands. It must be the same in each replica, so nothing in
// it may depend on a clock, on randomness or on map iteration order.
type replicatedState struct {
	History     []Revision           `cbor:"1,keyasint"` // ends with the latest revision
	MinRevision uint64               `cbor:"2,keyasint"` // no lease is under an older revision
	Voters      map[string]uint64    `cbor:"3,keyasint"` // incarnations of the voters by replica name
	Unaccepted  []unacceptedProposal `cbor:"4,keyasint,omitempty"`
	HistoryID   uint64               `cbor:"5,keyasint"`           // the incarnation that bootstrapped the history
	Chain       *revisionChain       `cbor:"6,keyasint,omitempty"` // replaces History in the encoding if that is long
}

// unacceptedProposal is a proposal that is committed to the log and neither accepted nor withdrawn.
type unacceptedProposal struct {
	Proposal Proposal `cbor:"1,keyasint"`
	Term     uint64   `cbor:"2,keyasint"`
}

// command is an entry of the replicated log. Exactly one field is set. A proposal takes two commands: Propose makes a
// majority write it, and Accept, which only the leader that proposed it sends, makes it the next revision. In between,
// the leader can still withdraw the proposal, so that "no majority" is a final answer to its proposer.
type command struct {
	Propose     *Proposal `cbor:"1,keyasint,omitempty"`
	Accept      string    `cbor:"2,keyasint,omitempty"` // the ID of an unaccepted proposal
	Withdraw    string    `cbor:"3,keyasint,omitempty"` // the ID of an unaccepted proposal
	MinRevision uint64    `cbor:"4,keyasint,omitempty"`
}

// initialState returns the state that a history starts with: an empty first revision.
func initialState(bootstrapIncarnation uint64, voters map[string]uint64) replicatedState {
	return replicatedState{
		History:     []Revision{{Number: 1}},
		MinRevision: 1,
		Voters:      voters,
		HistoryID:   bootstrapIncarnation,
	}
}

// isConsistent reports whether the history of a decoded state contains the min revision.
func (s *replicatedState) isConsistent() bool {
	return len(s.History) > 0 && s.History[0].Number <= s.MinRevision && s.MinRevision <= s.latest().Number
}

// marshal encodes the state for storage and for other replicas. A large history is encoded as a chain. Builds that do
// not know chains reject such a state because they see no history in it.
func (s *replicatedState) marshal() []byte {
	names := 0
	for n := range s.History {
		names += s.History[n].Config.nameCount()
	}
	if names*minNameBytes <= maxFullHistoryStateBytes { // Otherwise, it is too large, and encoding it would be slow.
		if bytes := encode(s); len(bytes) <= maxFullHistoryStateBytes {
			return bytes
		}
	}
	compact := *s
	chain := newRevisionChain(s.History)
	compact.History, compact.Chain = nil, &chain
	return encode(compact)
}

// unmarshalState decodes a state with the history in either form.
func unmarshalState(bytes []byte) (s replicatedState, err error) {
	if err = strictDecoding.Unmarshal(bytes, &s); err != nil {
		return s, err
	}
	if s.Chain != nil && len(s.History) == 0 {
		s.History, err = s.Chain.revisions()
		s.Chain = nil
	}
	for n := 1; n < len(s.History); n++ {
		s.History[n].measureDelta(s.History[n-1])
	}
	return s, err
}

func (s *replicatedState) latest() Revision { return s.History[len(s.History)-1] }

// active returns the revisions from the min revision on: those that a process with a lease can act on.
func (s *replicatedState) active() []Revision {
	return s.History[slices.IndexFunc(s.History, func(v Revision) bool { return v.Number >= s.MinRevision }):]
}

// revisionOf returns the number of the revision that a proposal became, or 0 if it is not in the history.
func (s *replicatedState) revisionOf(id string) uint64 {
	for _, v := range s.History {
		if v.ProposalID == id {
			return v.Number
		}
	}
	return 0
}

// beginTerm drops the unaccepted proposals of earlier terms. Only their leader could have accepted them, and it may
// have answered the proposer that the proposal will never be accepted.
func (s *replicatedState) beginTerm(term uint64) {
	s.Unaccepted = slices.DeleteFunc(s.Unaccepted, func(c unacceptedProposal) bool { return c.Term < term })
}

// accept makes an unaccepted proposal the next revision and returns its number. For a proposal that was accepted
// before, it returns the number of that revision, so that a proposal that is sent twice takes effect once. The text of
// the error is sent to the proposer.
func (s *replicatedState) accept(id string) (uint64, error) {
	if revision := s.revisionOf(id); revision != 0 {
		return revision, nil
	}
	at := slices.IndexFunc(s.Unaccepted, func(c unacceptedProposal) bool { return c.Proposal.ID == id })
	if at < 0 {
		return 0, errUnknownProposal
	}
	proposal := s.Unaccepted[at].Proposal
	s.withdraw(id)
	next, err := proposal.apply(s.latest())
	if err != nil {
		return 0, err
	}
	next.measureDelta(s.latest())
	if err := s.checkRoomFor(next); err != nil {
		return 0, err
	}
	s.History = append(s.History, next)
	s.dropOldRevisions()
	return next.Number, nil
}

func (s *replicatedState) withdraw(id string) {
	s.Unaccepted = slices.DeleteFunc(s.Unaccepted, func(c unacceptedProposal) bool { return c.Proposal.ID == id })
}

// checkRoomFor returns an error if one more active revision would exceed a bound: the number of revisions, the bytes of
// a message, or the names in all configurations. Its text is sent to the proposer.
func (s *replicatedState) checkRoomFor(next Revision) error {
	active := s.active()
	bytes, names := len(encode(active[0]))+next.deltaBytes, next.Config.nameCount()
	for n := range active {
		names += active[n].Config.nameCount()
		if n > 0 {
			bytes += active[n].deltaBytes
		}
	}
	switch {
	case len(active) >= maxActiveRevisions:
		return fmt.Errorf("over %d versions wait for leases under older ones", maxActiveRevisions)
	case bytes > maxActiveBytes || names > maxActiveNames && len(active) > 1:
		return errors.New("too much waits for leases under older versions")
	}
	return nil
}

// dropOldRevisions drops the oldest inactive revisions beyond maxRetainedRevisions, half of maxActiveBytes or
// maxActiveNames. Active revisions are never dropped.
func (s *replicatedState) dropOldRevisions() {
	bytes, names, from := 0, 0, len(s.History)-1
	for ; from > 0 && len(s.History)-from < maxRetainedRevisions; from-- {
		bytes, names = bytes+s.History[from].deltaBytes, names+s.History[from].Config.nameCount()
		if bytes > maxActiveBytes/2 || names > maxActiveNames {
			break
		}
	}
	for from > 0 && s.History[from].Number > s.MinRevision {
		from--
	}
	if from > 0 {
		s.History = slices.Clone(s.History[from:])
	}
}
