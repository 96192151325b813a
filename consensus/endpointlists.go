package consensus

import (
	"slices"
	"time"
)

// EndpointListState is what a process tells of the endpoint list that it acts on.
type EndpointListState struct {
	Name          string // of the process
	Index, Digest uint64 // of the list
	Drained       []DrainedEndpoint
}

// DrainedEndpoint is a host that a list called draining or gone from an index on.
type DrainedEndpoint struct {
	Host  string
	Index uint64
}

// ListComparison is what the lists of others tell about one's own.
type ListComparison struct {
	// DrainedEndpoints are hosts that a later list, or another under the same index, calls draining or gone; sorted.
	DrainedEndpoints []string
	// PeerAhead is a process that has a later list, and LatestIndex the highest index of these lists; empty and 0:
	// none is later.
	PeerAhead   string
	LatestIndex uint64
	// ConflictingPeer is a process that has another list under the same index; empty: none has.
	ConflictingPeer string
}

// CompareLists compares one's own list with others'. Drains beyond the own index count, and so do those of another
// list under the same index; that a host is ready never does. A process whose discovery is late would else go on
// sending to a host that is shutting down.
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

// rollbackWindow is how long a list of a lower index than before has to stay until it is taken for a discovery that
// began anew: a stale replica of discovery that answers now and then is over sooner.
const rollbackWindow = int64(time.Minute)

// ListRollbackGuard holds one's own list against an earlier one of a higher index. A discovery that answers from a
// stale copy would else call hosts ready that drain. The zero value is ready for use.
type ListRollbackGuard struct {
	highest         EndpointListState
	rolledBackSince int64 // nanoseconds; 0: the list did not go back
}

// Observe takes one's own list at a time in nanoseconds. While the list is rolled back, it gives what the list was
// before, which counts like another process's; isNew tells that it just went back.
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

// PersistentCondition tells once when a condition has held for a while, so that a log line is written for what stays
// and not for what passes. The zero value is ready for use.
type PersistentCondition struct {
	since      int64 // nanoseconds
	holds      bool
	isReported bool
}

// Observe takes whether the condition holds at a time in nanoseconds. It returns true once each time that the
// condition has held for the window without a break.
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
