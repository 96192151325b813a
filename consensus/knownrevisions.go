package consensus

import (
	"errors"
	"slices"
)

// Why a holder does not take the revisions of a response.
var (
	// errConflictingHistory: the response is of another history, or has another revision under a known number. A
	// fleet that lost its history began another, and a process that took up both would act on what nobody decided.
	errConflictingHistory = errors.New("revisions of another history")
	// errRevisionsMissing: something lies between what is known and what was told; a response that has it follows a
	// later request.
	errRevisionsMissing = errors.New("revisions are missing between")
)

// knownRevisions is what a holder knows of the history, and what it acts on for that.
type knownRevisions struct {
	active    []Revision       // from the min revision on, in a row
	config    ReplicatedConfig // the strictest of them
	minimum   uint64           // the min revision that the leader told; 0: none yet
	historyID uint64           // of the first response with revisions; 0: none yet
}

// latest is the number of the latest revision; 0: none is known.
func (k *knownRevisions) latest() uint64 {
	if len(k.active) == 0 {
		return 0
	}
	return k.active[len(k.active)-1].Number
}

// take takes up the revisions and the min revision of a response. Without an error, all that the response speaks of
// is known now; with one, nothing has changed.
func (k *knownRevisions) take(response *LeaseResponse) error {
	if response.HistoryID != 0 && k.historyID != 0 && response.HistoryID != k.historyID {
		return errConflictingHistory
	}
	told, err := k.revisionsOf(response)
	if err != nil {
		return err
	}
	next, isExtension, err := k.merge(told, response.MinRevision)
	if err != nil {
		return err
	}
	if len(next) == 0 && response.MinRevision == 0 {
		return nil // It only says who leads.
	}
	if len(next) == 0 || next[len(next)-1].Number < response.MinRevision {
		return errRevisionsMissing
	}
	if len(told) > 0 {
		k.historyID = response.HistoryID
	}
	k.replace(next, response.MinRevision, isExtension)
	return nil
}

// revisionsOf gives the revisions that a response brings. Deltas follow its last whole revision or, where it has
// none, a known one.
func (k *knownRevisions) revisionsOf(response *LeaseResponse) ([]Revision, error) {
	if len(response.Deltas) == 0 {
		return response.Revisions, nil
	}
	if whole := response.Revisions; len(whole) > 0 {
		rest, err := applyDeltas(whole[len(whole)-1], response.Deltas)
		return append(slices.Clip(whole), rest...), err
	}
	at := slices.IndexFunc(k.active, func(v Revision) bool { return v.Number == response.BaseRevision })
	if at < 0 {
		return nil, errRevisionsMissing
	}
	return applyDeltas(k.active[at], response.Deltas)
}

// merge puts told revisions behind the known ones. isExtension tells that all known ones are still there. Where the
// told ones begin with the min revision and leave a gap, all that was known is older than that and gives way.
func (k *knownRevisions) merge(told []Revision, minRevision uint64) (next []Revision, isExtension bool, err error) {
	next, isExtension = slices.Clone(k.active), true
	for _, v := range told {
		n := len(next)
		switch {
		case n == 0 || v.Number == next[n-1].Number+1:
			next = append(next, v)
		case v.Number <= next[n-1].Number:
			if v.Number >= next[0].Number && v.Digest() != next[v.Number-next[0].Number].Digest() {
				return nil, false, errConflictingHistory
			}
		case told[0].Number != minRevision:
			return nil, false, errRevisionsMissing
		default:
			next, isExtension = append(next[:0], v), false
		}
	}
	if len(next) > maxActiveRevisions+1 {
		return nil, false, errRevisionsMissing // No leader has so many active: this bounds what a forged one can fill.
	}
	return next, isExtension, nil
}

// replace acts on other revisions, less those that are older than the min revision. An extension is added to the
// configuration in place of putting all together again, which for a thousand revisions in a row would take a million
// steps.
func (k *knownRevisions) replace(next []Revision, minRevision uint64, isExtension bool) {
	known := len(k.active)
	k.active = next
	for minRevision > k.minimum && len(k.active) > 1 && k.active[0].Number < minRevision {
		k.active, isExtension = k.active[1:], false
	}
	if k.active[0].Number >= minRevision {
		k.minimum = max(k.minimum, minRevision)
	}
	switch {
	case !isExtension || known == 0:
		k.config = strictest(k.active)
	case len(next) > known:
		k.config = k.config.tightenedBy(next[known:])
	}
}
