package agreed

import (
	"errors"
	"fmt"
	"slices"
)

const mostHistory = 256 // versions that are kept to be shown, those that count included

// state is what the keepers' entries make, the same at each of them.
type state struct {
	History    []Version         `cbor:"1,keyasint"` // up to the latest
	Floor      uint64            `cbor:"2,keyasint"`
	Voters     map[string]uint64 `cbor:"3,keyasint"` // keepers, and which life of each votes
	Candidates []candidate       `cbor:"4,keyasint,omitempty"`
	ID         uint64            `cbor:"5,keyasint"` // of the history: its founder's life
}

// candidate is a change that was written and has not been accepted.
type candidate struct {
	Change Change `cbor:"1,keyasint"`
	Term   uint64 `cbor:"2,keyasint"`
}

// entry is one step of the history.
type entry struct {
	Propose  *Change `cbor:"1,keyasint,omitempty"`
	Accept   string  `cbor:"2,keyasint,omitempty"` // the id of a candidate
	Withdraw string  `cbor:"3,keyasint,omitempty"`
	Floor    uint64  `cbor:"4,keyasint,omitempty"`
}

var errNotWritten = errors.New("not among what was written")

// founding is the history's beginning.
func founding(founder uint64, voters map[string]uint64) state {
	return state{History: []Version{{Number: 1}}, Floor: 1, Voters: voters, ID: founder}
}

func (s *state) latest() Version { return s.History[len(s.History)-1] }

// counting are the versions from the floor on.
func (s *state) counting() []Version {
	return s.History[slices.IndexFunc(s.History, func(v Version) bool { return v.Number >= s.Floor }):]
}

// numberOf is the version that a proposal became, 0 if none.
func (s *state) numberOf(id string) uint64 {
	for _, v := range s.History {
		if v.ID == id {
			return v.Number
		}
	}
	return 0
}

// term begins: what was written and not accepted in an earlier one never counts.
func (s *state) term(now uint64) {
	s.Candidates = slices.DeleteFunc(s.Candidates, func(c candidate) bool { return c.Term < now })
}

// accept makes a candidate the next version.
func (s *state) accept(id string) (uint64, error) {
	at := slices.IndexFunc(s.Candidates, func(c candidate) bool { return c.Change.ID == id })
	if n := s.numberOf(id); n != 0 {
		return n, nil // Sent twice, it counts once.
	} else if at < 0 {
		return 0, errNotWritten
	}
	change := s.Candidates[at].Change
	s.withdraw(id)
	next, err := change.apply(s.latest())
	if err != nil {
		return 0, err
	}
	if next.Number >= s.Floor+mostBetween {
		return 0, fmt.Errorf("over %d versions wait for leases under older ones", mostBetween)
	}
	s.History = append(s.History, next)
	if over := len(s.History) - mostHistory; over > 0 && s.History[over].Number <= s.Floor {
		s.History = slices.Clone(s.History[over:])
	}
	return next.Number, nil
}

func (s *state) withdraw(id string) {
	s.Candidates = slices.DeleteFunc(s.Candidates, func(c candidate) bool { return c.Change.ID == id })
}
