package consensus

import (
	"errors"
	"fmt"
	"slices"
)

const (
	// maxShownRevisions is how many revisions are kept for operators to look at, where no more are active.
	maxShownRevisions = 256
	// maxActiveRevisions, maxActiveBytes and maxActiveNames bound the revisions from the min revision to the latest,
	// which a lease response for a new holder has in one message. Bytes are those of the first in full and of each
	// later one's delta; names are those of all configurations, which is what they take in memory.
	maxActiveRevisions = 1024
	maxActiveBytes     = 960 << 10
	maxActiveNames     = 640 << 10
	// maxFullHistoryStateBytes is up to which size a state is written in the form that builds before deltas read, so that a
	// fleet can go back.
	maxFullHistoryStateBytes = 512 << 10
	// minNameBytes is what the shortest name takes, encoded.
	minNameBytes = 3
)

// errUnknownProposal refuses the acceptance of a proposal that is not among those written in this term.
var errUnknownProposal = errors.New("not among what was written")

// replicatedState is what the committed commands make, the same at each replica: nothing in it may depend on a clock,
// on chance or on the order of a map.
type replicatedState struct {
	History     []Revision           `cbor:"1,keyasint"` // up to the latest
	MinRevision uint64               `cbor:"2,keyasint"` // no lease under an older revision is left
	Voters      map[string]uint64    `cbor:"3,keyasint"` // incarnations of the replicas that vote
	Unaccepted  []unacceptedProposal `cbor:"4,keyasint,omitempty"`
	HistoryID   uint64               `cbor:"5,keyasint"`           // the incarnation that bootstrapped the history
	Chain       *revisionChain       `cbor:"6,keyasint,omitempty"` // in the place of the history, where that is long
}

// unacceptedProposal is a proposal that was written and is neither accepted nor withdrawn.
type unacceptedProposal struct {
	Proposal Proposal `cbor:"1,keyasint"`
	Term     uint64   `cbor:"2,keyasint"`
}

// command is an entry of the replicated log. One field is there. A proposal takes two commands: Propose has a
// majority write it, and Accept, which only the leader that proposed it sends, makes it the next revision. Between
// the two the leader can still withdraw it, so that "no majority" is a final answer to its proposer.
type command struct {
	Propose     *Proposal `cbor:"1,keyasint,omitempty"`
	Accept      string    `cbor:"2,keyasint,omitempty"` // the ID of an unaccepted proposal
	Withdraw    string    `cbor:"3,keyasint,omitempty"` // the ID of an unaccepted proposal
	MinRevision uint64    `cbor:"4,keyasint,omitempty"`
}

// initialState is what a history begins with: an empty first revision.
func initialState(bootstrapIncarnation uint64, voters map[string]uint64) replicatedState {
	return replicatedState{History: []Revision{{Number: 1}}, MinRevision: 1, Voters: voters, HistoryID: bootstrapIncarnation}
}

// isConsistent tells whether a state that was read has a history that reaches from the min revision or before to the
// latest.
func (s *replicatedState) isConsistent() bool {
	return len(s.History) > 0 && s.History[0].Number <= s.MinRevision && s.MinRevision <= s.latest().Number
}

// marshal is the state as it is stored and sent. A long history goes as a chain, which builds that do not know it
// refuse, as they see no history.
func (s *replicatedState) marshal() []byte {
	names := 0
	for n := range s.History {
		names += s.History[n].Config.nameCount()
	}
	if names*minNameBytes <= maxFullHistoryStateBytes { // Else it is over the bound anyway, and encoding it would take long.
		if bytes := encode(s); len(bytes) <= maxFullHistoryStateBytes {
			return bytes
		}
	}
	compact := *s
	chain := newRevisionChain(s.History)
	compact.History, compact.Chain = nil, &chain
	return encode(compact)
}

// unmarshalState reads either form.
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

// active are the revisions from the min revision on: those that a process under a lease can be acting on.
func (s *replicatedState) active() []Revision {
	return s.History[slices.IndexFunc(s.History, func(v Revision) bool { return v.Number >= s.MinRevision }):]
}

// revisionOf is the revision that a proposal became; 0: none that is still known.
func (s *replicatedState) revisionOf(id string) uint64 {
	for _, v := range s.History {
		if v.ProposalID == id {
			return v.Number
		}
	}
	return 0
}

// beginTerm drops what was proposed and not accepted in earlier terms: the leader that could have accepted it may
// have told its proposer that it never will be in force.
func (s *replicatedState) beginTerm(term uint64) {
	s.Unaccepted = slices.DeleteFunc(s.Unaccepted, func(c unacceptedProposal) bool { return c.Term < term })
}

// accept makes an unaccepted proposal the next revision and returns its number. A proposal that was accepted before
// has the number of then: sent twice, it counts once. The error is what its proposer is told.
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

// checkRoomFor tells whether one more revision can be active: in number, in bytes of a message, and in names of all
// configurations.
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

// dropOldRevisions forgets the oldest revisions that are only shown, beyond their number or half the bytes of a
// message.
func (s *replicatedState) dropOldRevisions() {
	bytes, names, from := 0, 0, len(s.History)-1
	for ; from > 0 && len(s.History)-from < maxShownRevisions; from-- {
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
