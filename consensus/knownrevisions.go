package consensus

import (
	"errors"
	"slices"
)

// Reasons for which a lease holder rejects the revisions of a response.
var (
	// errConflictingHistory means that the response belongs to another history, or has a different revision under a
	// known number. A fleet that lost its history starts a new one, and a process that merged the two would act on a
	// configuration that no majority decided on.
	errConflictingHistory = errors.New("response conflicts with the known history")
	// errRevisionsMissing means that there is a gap between the known revisions and those of the response. The
	// response to a later request fills it.
	errRevisionsMissing = errors.New("response leaves a gap after the known revisions")
)

// knownRevisions is the part of the history that a lease holder knows, and the configuration that results from it.
type knownRevisions struct {
	active      []Revision       // consecutive, from the min revision on
	config      ReplicatedConfig // the strictest configuration of the active revisions
	minRevision uint64           // the highest reported by a leader; 0: none yet
	historyID   uint64           // of the first response with revisions; 0: none yet
}

// latest returns the number of the latest known revision, or 0 if none is known.
func (k *knownRevisions) latest() uint64 {
	if len(k.active) == 0 {
		return 0
	}
	return k.active[len(k.active)-1].Number
}

// applyResponse adds the revisions of a response and adopts its min revision. After success every revision that the
// response refers to is known; on error nothing has changed.
func (k *knownRevisions) applyResponse(response *LeaseResponse) error {
	if response.HistoryID != 0 && k.historyID != 0 && response.HistoryID != k.historyID {
		return errConflictingHistory
	}
	received, err := k.expandDeltas(response)
	if err != nil {
		return err
	}
	next, isExtension, err := k.merge(received, response.MinRevision)
	if err != nil {
		return err
	}
	if len(next) == 0 && response.MinRevision == 0 {
		return nil // The response only names the leader.
	}
	if len(next) == 0 || next[len(next)-1].Number < response.MinRevision {
		return errRevisionsMissing
	}
	if len(received) > 0 {
		k.historyID = response.HistoryID
	}
	k.setActive(next, response.MinRevision, isExtension)
	return nil
}

// expandDeltas returns the revisions of a response in full. Its deltas apply to its last full revision or, if it has
// none, to the known revision BaseRevision.
func (k *knownRevisions) expandDeltas(response *LeaseResponse) ([]Revision, error) {
	if len(response.Deltas) == 0 {
		return response.Revisions, nil
	}
	if full := response.Revisions; len(full) > 0 {
		rest, err := applyDeltas(full[len(full)-1], response.Deltas)
		return append(slices.Clip(full), rest...), err
	}
	base := slices.IndexFunc(k.active, func(v Revision) bool { return v.Number == response.BaseRevision })
	if base < 0 {
		return nil, errRevisionsMissing
	}
	return applyDeltas(k.active[base], response.Deltas)
}

// merge appends received revisions to the known ones. isExtension reports whether all known revisions are kept. If the
// received revisions start with the min revision and leave a gap after the known ones, all known revisions are older
// than the min revision and are dropped.
func (k *knownRevisions) merge(received []Revision, minRevision uint64) (next []Revision, isExtension bool, err error) {
	next, isExtension = slices.Clone(k.active), true
	for _, v := range received {
		n := len(next)
		switch {
		case n == 0 || v.Number == next[n-1].Number+1:
			next = append(next, v)
		case v.Number <= next[n-1].Number:
			if v.Number >= next[0].Number && v.Digest() != next[v.Number-next[0].Number].Digest() {
				return nil, false, errConflictingHistory
			}
		case received[0].Number != minRevision:
			return nil, false, errRevisionsMissing
		default:
			next, isExtension = append(next[:0], v), false
		}
	}
	if len(next) > maxActiveRevisions+1 {
		return nil, false, errRevisionsMissing // No leader has this many active; bounds memory against forged responses.
	}
	return next, isExtension, nil
}

// setActive replaces the active revisions with next, without those older than the min revision, and recomputes the
// configuration. If next only extends the known revisions, the configuration is tightened by the new ones instead of
// computed from all: with a thousand revisions added one by one, that would take about a million steps.
func (k *knownRevisions) setActive(next []Revision, minRevision uint64, isExtension bool) {
	known := len(k.active)
	k.active = next
	for minRevision > k.minRevision && len(k.active) > 1 && k.active[0].Number < minRevision {
		k.active, isExtension = k.active[1:], false
	}
	if k.active[0].Number >= minRevision {
		k.minRevision = max(k.minRevision, minRevision)
	}
	switch {
	case !isExtension || known == 0:
		k.config = strictest(k.active)
	case len(next) > known:
		k.config = k.config.tightenedBy(next[known:])
	}
}
