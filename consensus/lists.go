package consensus

import (
	"slices"
	"time"
)

// Listed is what a process tells of the list that it acts on.
type EndpointListState struct {
	Name          string
	Index, Digest uint64
	Drained       []DrainedEndpoint
}

// Drained is a host that a list called draining or gone from an index on.
type DrainedEndpoint struct {
	Host  string
	Index uint64
}

// Compared is what others' lists tell of one's own.
type ListComparison struct {
	DrainedEndpoints []string // hosts that a later list, or another under the same index, calls draining or gone; sorted
	PeerAhead        string   // who has a later list
	LatestIndex      uint64
	ConflictingPeer  string // who has another list under the same index
}

// Gone back: a list whose index is lower than it was is not taken for what it loosens, until it has come past that again, or has stayed
// lower for this long: then discovery has begun anew.
const backFor = int64(time.Minute)

// Own is one's own list over time.
type ListRollbackGuard struct {
	highest EndpointListState
	since   int64 // when it went back; 0: it did not
}

// Saw takes one's own list. If it went back, it gives what it was before, which counts like another's; and whether it just went.
func (o *ListRollbackGuard) Observe(now int64, l EndpointListState) (before []EndpointListState, went bool) {
	switch {
	case l.Index >= o.highest.Index || o.since != 0 && now-o.since >= backFor:
		o.highest, o.since = l, 0
		return nil, false
	case o.since == 0:
		o.since, went = now, true
	}
	return []EndpointListState{o.highest}, went
}

// Compare looks at others' lists. What they tell of drains beyond one's own index counts; that a host is well, never.
func CompareLists(index, digest uint64, others []EndpointListState) (c ListComparison) {
	for _, o := range others {
		contrary := o.Index == index && o.Digest != digest
		if contrary {
			c.ConflictingPeer = o.Name
		}
		if o.Index > index && o.Index > c.LatestIndex {
			c.PeerAhead, c.LatestIndex = o.Name, o.Index
		}
		for _, d := range o.Drained {
			if d.Index > index && d.Index <= o.Index || contrary && d.Index <= index {
				c.DrainedEndpoints = append(c.DrainedEndpoints, d.Host)
			}
		}
	}
	slices.Sort(c.DrainedEndpoints)
	c.DrainedEndpoints = slices.Compact(c.DrainedEndpoints)
	return c
}

// Late is how long something has been so, and whether it was said.
type PersistentCondition struct {
	since int64
	is    bool
	said  bool
}

// Saw tells whether it is to be said now: once each time that it has been so for longer than over.
func (l *PersistentCondition) Observe(now int64, is bool, over time.Duration) bool {
	if !is || !l.is {
		*l = PersistentCondition{since: now, is: is}
	}
	if !is || l.said || now-l.since < int64(over) {
		return false
	}
	l.said = true
	return true
}
