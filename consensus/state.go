package consensus

import (
	"errors"
	"fmt"
	"slices"
)

const (
	maxHistory = 256       // versions that are kept to be shown, if no more count
	plainBytes = 512 << 10 // a state of no more than that is written in the form that versions before read
)

// state is what the keepers' entries make, the same at each of them.
type state struct {
	History    []Revision        `cbor:"1,keyasint"` // up to the latest
	Floor      uint64            `cbor:"2,keyasint"`
	Voters     map[string]uint64 `cbor:"3,keyasint"` // keepers, and which life of each votes
	Candidates []candidate       `cbor:"4,keyasint,omitempty"`
	ID         uint64            `cbor:"5,keyasint"`           // of the history: its founder's life
	Chain      *chain            `cbor:"6,keyasint,omitempty"` // in place of the history, where that is long
}

// packed is the state as it is kept and sent. A long history goes as a chain, which versions before refuse, as they see none.
func (s *state) packed() []byte {
	names := 0
	for n := range s.History {
		names += s.History[n].Config.names()
	}
	if names*minName <= plainBytes {
		if bytes := pack(s); len(bytes) <= plainBytes {
			return bytes
		}
	}
	short := *s
	all := chainOf(s.History)
	short.History, short.Chain = nil, &all
	return pack(short)
}

const minName = 3 // bytes that the shortest name takes, packed, at least

// unpackState takes either form.
func unpackState(bytes []byte) (s state, err error) {
	if err = strict.Unmarshal(bytes, &s); err != nil {
		return s, err
	}
	if s.Chain != nil && len(s.History) == 0 {
		s.History, err = s.Chain.versions()
		s.Chain = nil
	}
	for n := 1; n < len(s.History); n++ {
		s.History[n].measure(s.History[n-1])
	}
	return s, err
}

// measure notes what a version changed against the one before, and how long that is.
func (v *Revision) measure(before Revision) {
	if v.step == nil {
		v.step = step(before, *v)
	}
	v.size = len(pack(v.step))
}

// candidate is a change that was written and has not been accepted.
type candidate struct {
	Change Proposal `cbor:"1,keyasint"`
	Term   uint64   `cbor:"2,keyasint"`
}

// entry is one step of the history.
type entry struct {
	Propose  *Proposal `cbor:"1,keyasint,omitempty"`
	Accept   string    `cbor:"2,keyasint,omitempty"` // the id of a candidate
	Withdraw string    `cbor:"3,keyasint,omitempty"`
	Floor    uint64    `cbor:"4,keyasint,omitempty"`
}

var errNotWritten = errors.New("not among what was written")

// founding is the history's beginning.
func founding(founder uint64, voters map[string]uint64) state {
	return state{History: []Revision{{Number: 1}}, Floor: 1, Voters: voters, ID: founder}
}

func (s *state) latest() Revision { return s.History[len(s.History)-1] }

// counting are the versions from the floor on.
func (s *state) counting() []Revision {
	return s.History[slices.IndexFunc(s.History, func(v Revision) bool { return v.Number >= s.Floor }):]
}

// numberOf is the version that a proposal became, 0 if none.
func (s *state) numberOf(id string) uint64 {
	for _, v := range s.History {
		if v.ProposalID == id {
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
	next.measure(s.latest())
	if err := s.fits(next); err != nil {
		return 0, err
	}
	s.History = append(s.History, next)
	s.forget()
	return next.Number, nil
}

// fits tells whether one more version can count: in number, in bytes of a message, and in names of all documents.
func (s *state) fits(next Revision) error {
	counting := s.counting()
	bytes, names := len(pack(counting[0]))+next.size, next.Config.names()
	for n := range counting {
		names += counting[n].Config.names()
		if n > 0 {
			bytes += counting[n].size
		}
	}
	switch {
	case len(counting) >= maxBetween:
		return fmt.Errorf("over %d versions wait for leases under older ones", maxBetween)
	case bytes > maxChain || names > maxHeldNames && len(counting) > 1:
		return errors.New("too much waits for leases under older versions")
	}
	return nil
}

// forget drops the oldest versions that are only shown, beyond their number or the bytes of a message.
func (s *state) forget() {
	bytes, names, from := 0, 0, len(s.History)-1
	for ; from > 0 && len(s.History)-from < maxHistory; from-- {
		bytes, names = bytes+s.History[from].size, names+s.History[from].Config.names()
		if bytes > maxChain/2 || names > maxHeldNames {
			break
		}
	}
	for from > 0 && s.History[from].Number > s.Floor {
		from--
	}
	if from > 0 {
		s.History = slices.Clone(s.History[from:])
	}
}

func (s *state) withdraw(id string) {
	s.Candidates = slices.DeleteFunc(s.Candidates, func(c candidate) bool { return c.Change.ID == id })
}
