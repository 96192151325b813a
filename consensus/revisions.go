package consensus

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// ErrRevisions says that bytes or deltas do not make revisions in a row.
var errRevisions = errors.New("not revisions in a row")

// revisionChain is revisions in a row, encoded small: the first in full, and of each later one what it changed.
type revisionChain struct {
	First  Revision   `cbor:"1,keyasint"`
	Deltas []Proposal `cbor:"2,keyasint,omitempty"`
}

func newRevisionChain(revisions []Revision) revisionChain {
	if len(revisions) == 0 {
		return revisionChain{}
	}
	return revisionChain{First: revisions[0], Deltas: deltasOf(revisions[0], revisions[1:])}
}

// revisions gives the revisions of a chain; none for one without a first.
func (c *revisionChain) revisions() ([]Revision, error) {
	if c.First.Number == 0 {
		return nil, nil
	}
	rest, err := applyDeltas(c.First, c.Deltas)
	return append([]Revision{c.First}, rest...), err
}

// MarshalRevisions encodes revisions in a row, for a process that hands them over to its successor.
func MarshalRevisions(revisions []Revision) []byte { return encode(newRevisionChain(revisions)) }

// UnmarshalRevisions reads what MarshalRevisions wrote. The error is not nil for all else; the revisions before the fault come with it.
func UnmarshalRevisions(bytes []byte) ([]Revision, error) {
	var c revisionChain
	if err := strictDecoding.Unmarshal(bytes, &c); err != nil {
		return nil, fmt.Errorf("%w: %w", errRevisions, err)
	}
	return c.revisions()
}

// deltasOf gives what each revision changed, the first against the one before.
func deltasOf(before Revision, revisions []Revision) []Proposal {
	deltas := make([]Proposal, 0, len(revisions))
	for _, v := range revisions {
		if v.delta == nil { // It came in full.
			v.delta = deltaBetween(before, v)
		}
		deltas = append(deltas, *v.delta)
		before = v
	}
	return deltas
}

// applyDeltas gives the revisions that deltas make, one after the other, from the one before them. It bounds them in number and in names:
// without that, a message of few bytes could make configurations of gigabytes.
func applyDeltas(before Revision, deltas []Proposal) ([]Revision, error) {
	if len(deltas) > maxShownRevisions+maxActiveRevisions {
		return nil, fmt.Errorf("%w: %d of them", errRevisions, len(deltas))
	}
	revisions, names := make([]Revision, 0, len(deltas)), 0
	for n := range deltas {
		before = deltas[n].next(before)
		before.delta = &deltas[n]
		if names += before.Config.nameCount(); names > 2*maxActiveNames {
			return nil, fmt.Errorf("%w: too many names", errRevisions)
		}
		revisions = append(revisions, before)
	}
	return revisions, nil
}

// deltaBetween is the least change that makes a revision of the one before.
func deltaBetween(before, after Revision) *Proposal {
	was, is := &before.Config, &after.Config
	c := &Proposal{ID: after.ProposalID, Author: after.Author, Reason: after.Reason, Limits: changedLimits(was.Limits, is.Limits)}
	c.EjectEndpoints, c.UnejectEndpoints = difference(is.EjectedEndpoints, was.EjectedEndpoints), difference(was.EjectedEndpoints, is.EjectedEndpoints)
	c.EvacuateZones, c.RestoreZones = difference(is.EvacuatedZones, was.EvacuatedZones), difference(was.EvacuatedZones, is.EvacuatedZones)
	c.SettingsDigest = changed(was.SettingsDigest, is.SettingsDigest)
	c.DiscoverySource = changed(was.DiscoverySource, is.DiscoverySource)
	c.MinListIndex = changed(was.MinListIndex, is.MinListIndex)
	return c
}

// changed gives a value where it differs from the one before.
func changed[T comparable](was, is T) *T {
	if was == is {
		return nil
	}
	return &is
}

// changedLimits gives the limits that differ; under 0 where one was taken back.
func changedLimits(was, is map[string]int64) map[string]int64 {
	limits := map[string]int64{}
	for name, limit := range is {
		if before, stated := was[name]; !stated || before != limit {
			limits[name] = limit
		}
	}
	for name := range was {
		if _, stated := is[name]; !stated {
			limits[name] = -1
		}
	}
	return limits
}

// measureDelta notes what a revision changed against the one before, and how many bytes that takes.
func (v *Revision) measureDelta(before Revision) {
	if v.delta == nil {
		v.delta = deltaBetween(before, *v)
	}
	v.deltaBytes = len(encode(v.delta))
}

// next is the revision that a proposal makes of another, whatever its size. It shares with that what it does not change.
func (c *Proposal) next(was Revision) Revision {
	d := was.Config
	d.EjectedEndpoints = withChanges(d.EjectedEndpoints, c.EjectEndpoints, c.UnejectEndpoints)
	d.EvacuatedZones = withChanges(d.EvacuatedZones, c.EvacuateZones, c.RestoreZones)
	if len(c.Limits) > 0 || d.Limits == nil {
		if d.Limits = maps.Clone(d.Limits); d.Limits == nil {
			d.Limits = map[string]int64{}
		}
	}
	for name, limit := range c.Limits {
		if d.Limits[name] = limit; limit < 0 {
			delete(d.Limits, name)
		}
	}
	if c.SettingsDigest != nil {
		d.SettingsDigest = *c.SettingsDigest
	}
	if c.DiscoverySource != nil {
		d.DiscoverySource = *c.DiscoverySource
	}
	if c.MinListIndex != nil {
		d.MinListIndex = *c.MinListIndex
	}
	return Revision{Number: was.Number + 1, ProposalID: c.ID, Author: c.Author, Reason: c.Reason, Config: d}
}

// difference gives the names of one sorted set that another does not have.
func difference(set, other []string) (rest []string) {
	for _, name := range set {
		if _, has := slices.BinarySearch(other, name); !has {
			rest = append(rest, name)
		}
	}
	return rest
}

// withChanges is a sorted set with some names more and some fewer. The set itself is not changed.
func withChanges(set, added, removed []string) []string {
	if len(added) == 0 && len(removed) == 0 {
		return set
	}
	result := slices.Concat(set, added)
	slices.Sort(result)
	result = slices.Compact(result)
	gone := slices.Sorted(slices.Values(removed))
	return slices.DeleteFunc(result, func(name string) bool { _, is := slices.BinarySearch(gone, name); return is })
}

// union is two sorted sets in one. It is the first itself where the second adds nothing.
func union(set, other []string) []string {
	if added := difference(other, set); len(added) > 0 {
		return withChanges(set, added, nil)
	}
	return set
}
