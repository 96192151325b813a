package fleet

import (
	"sync/atomic"
	"time"

	"hollylever/consensus"
)

const (
	minTickInterval = time.Millisecond // least wait between two ticks, so that Run cannot occupy a core

	// minShareChange is the fraction by which the budget share must grow before it is applied, since the balancer
	// recomputes its quotas on each change. A smaller share is applied at once: the sum of all shares must never exceed
	// the whole budget.
	minShareChange = 0.01
)

// leaseView holds the lease expiry and the decision counters, which CheckLease accesses without a lock.
type leaseView struct {
	expiry                atomic.Int64 // on the clock of Now; 0 before the first lease
	decisionsUnderLease   atomic.Int64 // since the start
	decisionsWithoutLease atomic.Int64
}

// appliedState is the state last applied to the balancer or reported in the log. Only Run uses it.
type appliedState struct {
	share                float64 // of the fleet's budgets
	settingsDiffer       bool
	conflictingResponses int // lease responses from another history, as counted by the lease holder
}

// CheckLease reports whether the process has a valid lease, and counts the decision. The balancer calls it before each
// decision, with its own lock held. It does not allocate, and acquires no lock unless decisions are traced (mu).
func (f *Fleet) CheckLease() (leased bool) {
	lookedAt := int64(0)
	if f.trace != nil {
		lookedAt = unscaledTime()
	}
	if leased = Now() < f.lease.expiry.Load(); leased {
		f.lease.decisionsUnderLease.Add(1)
	} else {
		f.lease.decisionsWithoutLease.Add(1)
	}
	if f.trace != nil {
		f.writeTrace(leased, lookedAt)
	}
	return leased
}

// tick runs the due work of the lease holder and the replica, applies and logs what changed, and returns the time until
// the next tick is due.
func (f *Fleet) tick() (wait time.Duration) {
	f.mu.Lock()
	now := Now()
	wait = f.tickConsensus(now)
	before := f.effective
	f.effective = f.holder.EffectiveConfig(now)
	f.lease.expiry.Store(f.holder.LeaseExpiry())
	if f.effective.IsLeased {
		wait = min(wait, time.Duration(f.holder.LeaseExpiry()-now))
	}
	after, conflicts := f.effective, f.holder.ConflictingResponses
	f.mu.Unlock()

	f.reportConflicts(conflicts)
	f.applyRevisions(before, after)
	f.applyShare(after.BudgetShare)
	f.reportSettings(after)
	f.reportLease(before, after)
	return max(wait, minTickInterval)
}

// tickConsensus ticks the lease holder and the replica, and stops the replica if its log has failed. The caller must
// hold mu.
func (f *Fleet) tickConsensus(now int64) (wait time.Duration) {
	f.holder.Tick(now)
	wait = f.holder.TimeUntilTick(now)
	if f.replica.state == nil {
		return wait
	}
	f.replica.state.Tick(now)
	wait = min(wait, f.replica.state.TimeUntilTick(now))
	if err := f.replica.state.Err(); err != nil {
		f.stopReplica(err)
	}
	return wait
}

// reportConflicts logs lease responses from a conflicting history, which the lease holder rejects. They occur when the
// voters lost their logs and bootstrapped a new history, which lacks the ejections and limits in effect here.
func (f *Fleet) reportConflicts(conflicts int) {
	if conflicts <= f.applied.conflictingResponses {
		return
	}
	f.applied.conflictingResponses = conflicts
	f.log.Error().Msg("conflicting history rejected: this process acts on another's")
}

// applyRevisions applies a changed effective configuration to the balancer and writes it to the handover file.
func (f *Fleet) applyRevisions(before, after consensus.EffectiveConfig) {
	if before.MinRevision == after.MinRevision && before.LatestRevision == after.LatestRevision {
		return
	}
	f.log.Info().Uint64("min_revision", after.MinRevision).Uint64("revision", after.LatestRevision).
		Int("ejected", len(after.EjectedEndpoints)).Msg("effective configuration changed")
	f.balancer.ApplyConfig(after)
	f.writeHandover()
}

// applyShare sets the balancer's budget share if it shrank, or grew by more than minShareChange.
func (f *Fleet) applyShare(share float64) {
	change := share - f.applied.share
	if change > minShareChange*f.applied.share || change < 0 {
		f.applied.share = share
		f.balancer.SetBudgetShare(share)
	}
}

// reportSettings logs when this process's settings start to differ from those that the fleet agreed on.
func (f *Fleet) reportSettings(now consensus.EffectiveConfig) {
	differ := now.IsLeased && now.SettingsDigest != "" && now.SettingsDigest != f.settingsDigest
	if differ && !f.applied.settingsDiffer {
		f.log.Warn().Str("own_digest", f.settingsDigest).Str("fleet_digest", now.SettingsDigest).
			Msg("settings differ from the fleet's")
	}
	f.applied.settingsDiffer = differ
}

// reportLease logs when a lease is acquired or expires.
func (f *Fleet) reportLease(before, after consensus.EffectiveConfig) {
	switch {
	case before.IsLeased == after.IsLeased:
	case after.IsLeased:
		f.log.Info().Uint64("revision", after.LatestRevision).Msg("lease acquired")
	default:
		f.log.Warn().Uint64("revision", after.LatestRevision).
			Msg("lease expired: acting on the strictest known configuration")
	}
}

// loadMeter is the last measurement of the request count. Only Run uses it.
type loadMeter struct {
	requests int
	at       int64 // on the clock of Now; 0 before the first measurement
}

// measureLoad updates the request rate that is sent with the next lease request and by which the budgets are divided.
// It is a moving average in which the last second has a weight of one half, so that a single burst does not shift all
// shares.
func (f *Fleet) measureLoad() {
	requests, now := f.balancer.RequestCount(), Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.load.at != 0 && now > f.load.at {
		rate := float64(requests-f.load.requests) / float64(now-f.load.at) * float64(time.Second)
		f.holder.RequestRate += (rate - f.holder.RequestRate) / 2
	}
	f.load = loadMeter{requests, now}
}
