package fleet

import (
	"slices"
	"time"

	"hollylever/consensus"
	"hollylever/membership"
)

// Status is what the admin endpoint shows of this process's part in the fleet.
type Status struct {
	Name                  string                    `json:"name"`
	Zone                  string                    `json:"zone,omitempty"`
	Leader                string                    `json:"leads,omitempty"` // as this process knows it
	Effective             consensus.EffectiveConfig `json:"acting"`
	MaxDisagreement       string                    `json:"t"` // for how long two processes under leases can contradict each other
	LeaseLeftMS           int64                     `json:"lease_left_ms"`
	DecisionsWithoutLease int64                     `json:"decisions_alone"` // without a lease, since the start
	DecisionsUnderLease   int64                     `json:"decisions_under_lease"`
	MessagesDropped       int64                     `json:"messages_lost"` // as too many waited
	Members               []MemberStatus            `json:"members"`       // this process first
	PeerDrains            []string                  `json:"drains_by_others,omitempty"`
	Replica               *ReplicaStatus            `json:"keeper,omitempty"` // nil: this process has none that runs
	Revisions             []consensus.Revision      `json:"versions_that_count"`
	Outliers              *OutlierStatus            `json:"signals,omitempty"` // nil: outliers are not shared
	Subset                []string                  `json:"tends,omitempty"`   // endpoints of the connection subset; none: all
	Zones                 []ZoneStatus              `json:"zones,omitempty"`
}

// MemberStatus is a member as this process heard of it last.
type MemberStatus struct {
	membership.MemberState
	HeardMSAgo int64 `json:"heard_ms_ago"`
	IsGone     bool  `json:"gone"`
}

// ReplicaStatus is the view of this process's own replica.
type ReplicaStatus struct {
	IsLeader       bool `json:"leads"`
	IsBootstrapped bool `json:"founded"`
	ActiveLeases   int  `json:"holders"` // that this replica granted and that may last
}

// Status returns how things stand now. The admin endpoint calls it.
func (f *Fleet) Status() Status {
	own := f.memberState()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := Now()
	s := Status{
		Name:                  f.name,
		Zone:                  f.zone,
		Leader:                f.holder.Leader(),
		Effective:             f.holder.EffectiveConfig(now),
		MaxDisagreement:       f.leaseTiming.MaxDisagreement().Round(time.Millisecond).String(),
		LeaseLeftMS:           max(0, f.holder.LeaseExpiry()-now) / int64(time.Millisecond),
		DecisionsWithoutLease: f.lease.decisionsWithoutLease.Load(),
		DecisionsUnderLease:   f.lease.decisionsUnderLease.Load(),
		MessagesDropped:       f.inbox.dropped.Load(),
		Members:               f.memberStatuses(own),
		PeerDrains:            f.peerDrains,
		Replica:               f.replicaStatus(now),
		Revisions:             slices.Clone(f.holder.Revisions()),
		Subset:                f.subset,
		Zones:                 f.zoneStatuses,
	}
	if f.outliers != nil {
		s.Outliers = f.outliers.status()
	}
	return s
}

// memberStatuses returns this process and all members that it has heard. The caller holds mu.
func (f *Fleet) memberStatuses(own membership.MemberState) []MemberStatus {
	all := []MemberStatus{{MemberState: own}}
	if f.exchange == nil {
		return all
	}
	now := time.Now()
	for _, m := range f.exchange.Members() {
		heardAgo := now.Sub(m.LastSeen).Milliseconds()
		all = append(all, MemberStatus{MemberState: m.MemberState, HeardMSAgo: heardAgo, IsGone: m.IsGone(now)})
	}
	return all
}

// replicaStatus returns nil where this process's replica does not run. The caller holds mu.
func (f *Fleet) replicaStatus(now int64) *ReplicaStatus {
	state := f.replica.state
	if state == nil {
		return nil
	}
	return &ReplicaStatus{
		IsLeader: state.IsLeader(), IsBootstrapped: state.IsBootstrapped(), ActiveLeases: state.ActiveLeases(now),
	}
}

// History returns the revisions that this process knows, the oldest first: a replica knows more of them than a lease
// holder.
func (f *Fleet) History() []consensus.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state := f.replica.state; state != nil && state.IsBootstrapped() {
		all, _ := state.History()
		return slices.Clone(all)
	}
	return slices.Clone(f.holder.Revisions())
}
