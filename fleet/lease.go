package fleet

import (
	"sync/atomic"
	"time"

	"hollylever/consensus"
)

const (
	minTickInterval = time.Millisecond // between two wake-ups of Run, so that it cannot use up a core

	// minShareChange is the fraction by which the share of the budgets has to grow before the balancer is told, as
	// each change has it compute its quotas again. One that shrinks is told at once: the sum of all shares must never
	// be over the whole.
	minShareChange = 0.01
)

// leaseView is what CheckLease reads and counts, without a lock.
type leaseView struct {
	expiry                atomic.Int64 // on Now's clock; 0: no lease yet
	decisionsUnderLease   atomic.Int64 // under a lease, since the start
	decisionsWithoutLease atomic.Int64
}

// appliedState is what the balancer and the log were told last. Run alone uses it.
type appliedState struct {
	share                float64 // of the fleet's budgets
	settingsDiffer       bool
	conflictingResponses int // of another history, as counted by the lease holder
}

// CheckLease tells whether the process is under a lease, and counts the decision. The balancer calls it before each
// decision, under its own lock. It allocates nothing and takes no lock, but for mu where decisions are traced.
func (f *Fleet) CheckLease() (leased bool) {
	if leased = Now() < f.lease.expiry.Load(); leased {
		f.lease.decisionsUnderLease.Add(1)
	} else {
		f.lease.decisionsWithoutLease.Add(1)
	}
	if f.trace != nil {
		f.writeTrace(leased)
	}
	return leased
}

// tick has the lease holder and the replica do what is due, tells the balancer what has changed, and returns the time
// until something is due again.
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

// tickConsensus ticks the lease holder and the replica, and stops a replica whose log has failed. The caller holds
// mu.
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

// reportConflicts logs lease responses of another history, which the lease holder rejects. They come when the voters'
// logs were lost and the voters have bootstrapped a new history, which knows nothing of the ejections and limits in
// effect here.
func (f *Fleet) reportConflicts(conflicts int) {
	if conflicts <= f.applied.conflictingResponses {
		return
	}
	f.applied.conflictingResponses = conflicts
	f.log.Error().Msg("conflicting history rejected: this process acts on another's")
}

// applyRevisions has the balancer act on another effective configuration, and writes that to the handover file.
func (f *Fleet) applyRevisions(before, after consensus.EffectiveConfig) {
	if before.MinRevision == after.MinRevision && before.LatestRevision == after.LatestRevision {
		return
	}
	f.log.Info().Uint64("min_revision", after.MinRevision).Uint64("revision", after.LatestRevision).
		Int("ejected", len(after.EjectedEndpoints)).Msg("effective configuration changed")
	f.balancer.ApplyConfig(after)
	f.writeHandover()
}

// applyShare sets the balancer's share of the fleet's budgets, if it has changed by enough.
func (f *Fleet) applyShare(share float64) {
	change := share - f.applied.share
	if change > minShareChange*f.applied.share || change < 0 {
		f.applied.share = share
		f.balancer.SetBudgetShare(share)
	}
}

// reportSettings logs when this process's settings begin to differ from those that the fleet agreed on.
func (f *Fleet) reportSettings(now consensus.EffectiveConfig) {
	differ := now.IsLeased && now.SettingsDigest != "" && now.SettingsDigest != f.settingsDigest
	if differ && !f.applied.settingsDiffer {
		f.log.Warn().Str("own_digest", f.settingsDigest).Str("fleet_digest", now.SettingsDigest).
			Msg("settings differ from the fleet's")
	}
	f.applied.settingsDiffer = differ
}

// reportLease logs when a lease is acquired or lost.
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

// loadMeter is the count of requests as it was measured last. Run alone uses it.
type loadMeter struct {
	requests int
	at       int64 // 0: not measured yet
}

// measureLoad updates the rate of requests that goes with the next lease request: the budgets are divided by it. It
// is an average in which the last second counts for a half, so that one burst does not move the shares of all.
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
