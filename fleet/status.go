package fleet

import (
	"slices"
	"time"

	"hollylever/consensus"
	"hollylever/membership"
)

// Status is the state of this process in the fleet, as shown by the admin endpoint.
type Status struct {
	Name                  string                    `json:"name"`
	Zone                  string                    `json:"zone,omitempty"`
	Leader                string                    `json:"leads,omitempty"` // last known to this process
	Effective             consensus.EffectiveConfig `json:"acting"`
	MaxDisagreement       string                    `json:"t"` // see fleetconfig.LeaseTiming.MaxDisagreement
	LeaseLeftMS           int64                     `json:"lease_left_ms"`
	DecisionsWithoutLease int64                     `json:"decisions_alone"` // since the start
	DecisionsUnderLease   int64                     `json:"decisions_under_lease"`
	MessagesDropped       int64                     `json:"messages_lost"` // because the queue was full
	Members               []MemberStatus            `json:"members"`       // this process first
	PeerDrains            []string                  `json:"drains_by_others,omitempty"`
	Replica               *ReplicaStatus            `json:"keeper,omitempty"` // nil if no replica runs in this process
	Revisions             []consensus.Revision      `json:"versions_that_count"`
	Outliers              *OutlierStatus            `json:"signals,omitempty"` // nil if outliers are not exchanged
	Subset                []string                  `json:"tends,omitempty"`   // in the connection subset; nil: all endpoints
	Zones                 []ZoneStatus              `json:"zones,omitempty"`
}

// MemberStatus is the state of a member as last received by this process.
type MemberStatus struct {
	membership.MemberState
	HeardMSAgo int64 `json:"heard_ms_ago"`
	IsGone     bool  `json:"gone"`
}

// ReplicaStatus is the state of this process's replica.
type ReplicaStatus struct {
	IsLeader       bool `json:"leads"`
	IsBootstrapped bool `json:"founded"`
	ActiveLeases   int  `json:"holders"` // granted by this replica and possibly not expired
}

// Status returns the current state. It is called by the admin endpoint.
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

// memberStatuses returns the state of this process, followed by those of all members that it has heard from. The caller
// must hold mu.
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

// replicaStatus returns nil if no replica runs in this process. The caller must hold mu.
func (f *Fleet) replicaStatus(now int64) *ReplicaStatus {
	state := f.replica.state
	if state == nil {
		return nil
	}
	return &ReplicaStatus{
		IsLeader: state.IsLeader(), IsBootstrapped: state.IsBootstrapped(), ActiveLeases: state.ActiveLeases(now),
	}
}

// History returns the revisions known to this process, oldest first. It reads them from the replica if one runs, since
// a replica keeps more of them than a lease holder.
func (f *Fleet) History() []consensus.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state := f.replica.state; state != nil && state.IsBootstrapped() {
		all, _ := state.History()
		return slices.Clone(all)
	}
	return slices.Clone(f.holder.Revisions())
}
