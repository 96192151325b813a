package consensus

import (
	"slices"
	"time"
)

// EndpointListState is what a process reports about the endpoint list that it uses.
type EndpointListState struct {
	Name          string // name of the process
	Index, Digest uint64 // index and digest of the list
	Drained       []DrainedEndpoint
}

// DrainedEndpoint is an endpoint that is draining or gone according to lists from Index on.
type DrainedEndpoint struct {
	Host  string
	Index uint64
}

// ListComparison is the result of comparing this process's endpoint list with those of its peers.
type ListComparison struct {
	// DrainedEndpoints are the endpoints that are draining or gone according to a later list, or to a different list
	// with the same index; sorted.
	DrainedEndpoints []string
	// PeerAhead is the peer with the latest list, and LatestIndex is the index of that list. They are empty and 0 if no
	// peer has a later list than this process.
	PeerAhead   string
	LatestIndex uint64
	// ConflictingPeer is a peer that has a different list with the same index; empty if there is none.
	ConflictingPeer string
}

// CompareLists compares this process's list with those of its peers. Drains after the own index are adopted, and so are
// the drains of a different list with the same index. That an endpoint is ready is never adopted. Without the
// comparison, a process whose discovery lags would go on sending requests to an endpoint that is shutting down.
func CompareLists(index, digest uint64, others []EndpointListState) (c ListComparison) {
	for _, other := range others {
		isConflicting := other.Index == index && other.Digest != digest
		if isConflicting {
			c.ConflictingPeer = other.Name
		}
		if other.Index > index && other.Index > c.LatestIndex {
			c.PeerAhead, c.LatestIndex = other.Name, other.Index
		}
		for _, d := range other.Drained {
			if d.Index > index && d.Index <= other.Index || isConflicting && d.Index <= index {
				c.DrainedEndpoints = append(c.DrainedEndpoints, d.Host)
			}
		}
	}
	slices.Sort(c.DrainedEndpoints)
	c.DrainedEndpoints = slices.Compact(c.DrainedEndpoints)
	return c
}

// rollbackWindow is how long the index has to stay below the highest one until this is taken for a discovery service
// that restarted its numbering. Answers that a stale discovery replica gives now and then do not last that long.
const rollbackWindow = int64(time.Minute)

// ListRollbackGuard compares the process's own list with an earlier one that had a higher index. Without it, a
// discovery service that answers from a stale copy could present draining endpoints as ready. The zero value is ready
// for use.
type ListRollbackGuard struct {
	highest         EndpointListState
	rolledBackSince int64 // nanoseconds; 0 if the list is not rolled back
}

// Observe records the process's own list at a time in nanoseconds. While the list is rolled back, it returns the list
// from before the rollback, which is to be treated like a peer's list; isNew reports whether this call is the first to
// see the rollback.
func (g *ListRollbackGuard) Observe(now int64, list EndpointListState) (before []EndpointListState, isNew bool) {
	switch {
	case list.Index >= g.highest.Index || g.rolledBackSince != 0 && now-g.rolledBackSince >= rollbackWindow:
		g.highest, g.rolledBackSince = list, 0
		return nil, false
	case g.rolledBackSince == 0:
		g.rolledBackSince, isNew = now, true
	}
	return []EndpointListState{g.highest}, isNew
}

// PersistentCondition reports once that a condition has held for some time, so that lasting conditions are logged and
// transient ones are not. The zero value is ready for use.
type PersistentCondition struct {
	since      int64 // nanoseconds
	holds      bool
	isReported bool
}

// Observe records whether the condition holds at a time in nanoseconds. It returns true once per uninterrupted period
// in which the condition holds, as soon as that period has lasted for the window.
func (c *PersistentCondition) Observe(now int64, holds bool, window time.Duration) bool {
	if !holds || !c.holds {
		*c = PersistentCondition{since: now, holds: holds}
	}
	if !holds || c.isReported || now-c.since < int64(window) {
		return false
	}
	c.isReported = true
	return true
}
