package consensus

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// errInvalidRevisions means that bytes or deltas do not encode consecutive revisions.
var errInvalidRevisions = errors.New("invalid sequence of revisions")

// revisionChain is the compact encoding of consecutive revisions: the first in full, each later one as a delta.
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

// revisions decodes the revisions of a chain. A chain without a first revision has none.
func (c *revisionChain) revisions() ([]Revision, error) {
	if c.First.Number == 0 {
		return nil, nil
	}
	rest, err := applyDeltas(c.First, c.Deltas)
	return append([]Revision{c.First}, rest...), err
}

// MarshalRevisions encodes consecutive revisions, for a process that hands them over to its successor.
func MarshalRevisions(revisions []Revision) []byte { return encode(newRevisionChain(revisions)) }

// UnmarshalRevisions decodes the output of MarshalRevisions. It returns an error for any other input; the revisions
// before the fault come with it.
func UnmarshalRevisions(bytes []byte) ([]Revision, error) {
	var c revisionChain
	if err := strictDecoding.Unmarshal(bytes, &c); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidRevisions, err)
	}
	return c.revisions()
}

// deltasOf returns the delta of each revision; before is the revision that precedes the first.
func deltasOf(before Revision, revisions []Revision) []Proposal {
	deltas := make([]Proposal, 0, len(revisions))
	for _, revision := range revisions {
		delta := revision.delta
		if delta == nil { // The revision was received in full.
			delta = deltaBetween(before, revision)
		}
		deltas = append(deltas, *delta)
		before = revision
	}
	return deltas
}

// applyDeltas applies deltas to a revision one after the other and returns the resulting revisions. It bounds the
// number of deltas and of names: without that, a small message could expand to gigabytes of configurations.
func applyDeltas(before Revision, deltas []Proposal) ([]Revision, error) {
	if len(deltas) > maxRetainedRevisions+maxActiveRevisions {
		return nil, fmt.Errorf("%w: %d deltas, at most %d allowed", errInvalidRevisions, len(deltas),
			maxRetainedRevisions+maxActiveRevisions)
	}
	revisions := make([]Revision, 0, len(deltas))
	names := 0
	for n := range deltas {
		revision := deltas[n].next(before)
		revision.delta = &deltas[n]
		names += revision.Config.nameCount()
		if names > 2*maxActiveNames {
			return nil, fmt.Errorf("%w: over %d names", errInvalidRevisions, 2*maxActiveNames)
		}
		revisions = append(revisions, revision)
		before = revision
	}
	return revisions, nil
}

// deltaBetween returns the smallest delta that turns one revision into the next.
func deltaBetween(before, after Revision) *Proposal {
	oldConfig, newConfig := &before.Config, &after.Config
	return &Proposal{
		ID:               after.ProposalID,
		Author:           after.Author,
		Reason:           after.Reason,
		EjectEndpoints:   difference(newConfig.EjectedEndpoints, oldConfig.EjectedEndpoints),
		UnejectEndpoints: difference(oldConfig.EjectedEndpoints, newConfig.EjectedEndpoints),
		Limits:           changedLimits(oldConfig.Limits, newConfig.Limits),
		SettingsDigest:   changed(oldConfig.SettingsDigest, newConfig.SettingsDigest),
		DiscoverySource:  changed(oldConfig.DiscoverySource, newConfig.DiscoverySource),
		MinListIndex:     changed(oldConfig.MinListIndex, newConfig.MinListIndex),
		EvacuateZones:    difference(newConfig.EvacuatedZones, oldConfig.EvacuatedZones),
		RestoreZones:     difference(oldConfig.EvacuatedZones, newConfig.EvacuatedZones),
	}
}

// changed returns the new value if it differs from the old one, and nil otherwise.
func changed[T comparable](before, after T) *T {
	if before == after {
		return nil
	}
	return &after
}

// changedLimits returns the limits that differ, with -1 for those that were removed.
func changedLimits(before, after map[string]int64) map[string]int64 {
	limits := map[string]int64{}
	for name, limit := range after {
		if old, isStated := before[name]; !isStated || old != limit {
			limits[name] = limit
		}
	}
	for name := range before {
		if _, isStated := after[name]; !isStated {
			limits[name] = -1
		}
	}
	return limits
}

// measureDelta sets the delta of a revision from the previous one, if it is not known, and its encoded size.
func (r *Revision) measureDelta(before Revision) {
	if r.delta == nil {
		r.delta = deltaBetween(before, *r)
	}
	r.deltaBytes = len(encode(r.delta))
}

// next returns the revision that results from applying a proposal, without checking its size. The result shares
// unchanged slices and maps with the previous revision.
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

// withLimits returns a copy of limits with changes applied; a negative change removes the limit. It returns limits
// itself if it is not nil and there are no changes, and never modifies it.
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

// difference returns the names of a sorted set that another sorted set does not contain.
func difference(set, other []string) (rest []string) {
	for _, name := range set {
		if _, has := slices.BinarySearch(other, name); !has {
			rest = append(rest, name)
		}
	}
	return rest
}

// withChanges returns a sorted set with some names added and some removed. The set itself is not modified.
func withChanges(set, added, removed []string) []string {
	if len(added) == 0 && len(removed) == 0 {
		return set
	}
	result := slices.Concat(set, added)
	slices.Sort(result)
	result = slices.Compact(result)
	sortedRemoved := slices.Sorted(slices.Values(removed))
	return slices.DeleteFunc(result, func(name string) bool {
		_, isRemoved := slices.BinarySearch(sortedRemoved, name)
		return isRemoved
	})
}

// union returns the union of two sorted sets. It returns the first set itself if the second adds nothing.
func union(set, other []string) []string {
	if added := difference(other, set); len(added) > 0 {
		return withChanges(set, added, nil)
	}
	return set
}
