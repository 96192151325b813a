package consensus

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// errRevisions says that bytes or deltas do not make revisions in a row.
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

// UnmarshalRevisions reads what MarshalRevisions wrote. The error is not nil for all else; the revisions before the
// fault come with it.
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
	for _, revision := range revisions {
		delta := revision.delta
		if delta == nil { // It came in full.
			delta = deltaBetween(before, revision)
		}
		deltas = append(deltas, *delta)
		before = revision
	}
	return deltas
}

// applyDeltas gives the revisions that deltas make, one after the other, from the one before them. It bounds them in
// number and in names: without that, a message of few bytes could make configurations of gigabytes.
func applyDeltas(before Revision, deltas []Proposal) ([]Revision, error) {
	if len(deltas) > maxShownRevisions+maxActiveRevisions {
		return nil, fmt.Errorf("%w: %d of them", errRevisions, len(deltas))
	}
	revisions := make([]Revision, 0, len(deltas))
	names := 0
	for n := range deltas {
		revision := deltas[n].next(before)
		revision.delta = &deltas[n]
		names += revision.Config.nameCount()
		if names > 2*maxActiveNames {
			return nil, fmt.Errorf("%w: too many names", errRevisions)
		}
		revisions = append(revisions, revision)
		before = revision
	}
	return revisions, nil
}

// deltaBetween is the least proposal that makes a revision of the one before.
func deltaBetween(before, after Revision) *Proposal {
	was, is := &before.Config, &after.Config
	return &Proposal{
		ID:               after.ProposalID,
		Author:           after.Author,
		Reason:           after.Reason,
		EjectEndpoints:   difference(is.EjectedEndpoints, was.EjectedEndpoints),
		UnejectEndpoints: difference(was.EjectedEndpoints, is.EjectedEndpoints),
		Limits:           changedLimits(was.Limits, is.Limits),
		SettingsDigest:   changed(was.SettingsDigest, is.SettingsDigest),
		DiscoverySource:  changed(was.DiscoverySource, is.DiscoverySource),
		MinListIndex:     changed(was.MinListIndex, is.MinListIndex),
		EvacuateZones:    difference(is.EvacuatedZones, was.EvacuatedZones),
		RestoreZones:     difference(was.EvacuatedZones, is.EvacuatedZones),
	}
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
func (r *Revision) measureDelta(before Revision) {
	if r.delta == nil {
		r.delta = deltaBetween(before, *r)
	}
	r.deltaBytes = len(encode(r.delta))
}

// next is the revision that a proposal makes of the one before, whatever its size. It shares with that what it does
// not change.
func (p *Proposal) next(before Revision) Revision {
	config := before.Config
	config.EjectedEndpoints = withChanges(config.EjectedEndpoints, p.EjectEndpoints, p.UnejectEndpoints)
	config.EvacuatedZones = withChanges(config.EvacuatedZones, p.EvacuateZones, p.RestoreZones)
	config.Limits = withLimits(config.Limits, p.Limits)
	if p.SettingsDigest != nil {
		config.SettingsDigest = *p.SettingsDigest
	}
	if p.DiscoverySource != nil {
		config.DiscoverySource = *p.DiscoverySource
	}
	if p.MinListIndex != nil {
		config.MinListIndex = *p.MinListIndex
	}
	return Revision{Number: before.Number + 1, ProposalID: p.ID, Author: p.Author, Reason: p.Reason, Config: config}
}

// withLimits is limits with some stated anew or, where under 0, taken back. The limits themselves are not changed.
func withLimits(limits, changes map[string]int64) map[string]int64 {
	if len(changes) == 0 && limits != nil {
		return limits
	}
	result := map[string]int64{}
	maps.Copy(result, limits)
	for name, limit := range changes {
		if limit < 0 {
			delete(result, name)
		} else {
			result[name] = limit
		}
	}
	return result
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
	return slices.DeleteFunc(result, func(name string) bool {
		_, isGone := slices.BinarySearch(gone, name)
		return isGone
	})
}

// union is two sorted sets in one. It is the first itself where the second adds nothing.
func union(set, other []string) []string {
	if added := difference(other, set); len(added) > 0 {
		return withChanges(set, added, nil)
	}
	return set
}
