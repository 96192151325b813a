package evacuation

import "slices"

const (
	// rampSteps is how many steps the way out of a zone and back has. Each moves 3% of the keys, whose values have to
	// be fetched anew: few enough for an endpoint whose cache is cold.
	rampSteps = 32
	// slowdown is how many times longer the way takes while reads miss for the whole fleet, so that the origin keeps
	// up.
	slowdown = 4
	// stepTolerance is what a share may be above a whole step by rounding without counting as the next one.
	stepTolerance = 1e-6
)

// Ramp is one process's way out of a zone and back: the share of the keys that does not go there. The zero value stands
// at the end of the way back.
type Ramp struct {
	share      float64 // from 0, none is kept away, to 1
	advancedAt int64   // 0: not yet since the process started
}

// RampDurations are how long whole ways take, in nanoseconds.
type RampDurations struct {
	// EvacuationNanos is the way out of a zone that an operator evacuated. One that fails is left at once: whatever
	// still went there would get no answer.
	EvacuationNanos int64
	// RecoveryNanos is the way back: one and a half times the warm-up of an endpoint.
	RecoveryNanos int64
}

// Start places a process that starts where the others are: at 0 it would send all keys to endpoints that are cold. A
// share that makes no sense counts as 1.
func (r *Ramp) Start(share float64) {
	if !(share >= 0 && share <= 1) { // Also false for NaN.
		share = 1
	}
	*r = Ramp{share: share}
}

// Position returns the share and when it was reached, for the process that takes over from this one.
func (r *Ramp) Position() (share float64, at int64) { return r.share, r.advancedAt }

// Resume goes on from where the process before this one was at a time that may lie after now, as clocks differ.
func (r *Ramp) Resume(share float64, at, now int64) {
	r.Start(share)
	r.advancedAt = max(1, min(at, now))
}

// Advance moves on to now and returns the share of the keys that does not go to the zone, in whole steps. evacuated
// is the list in force. worksHere says that this is the process's own zone and does not fail for it: a zone that only
// its own balancers reach stays in use there, except against an operator. slow says that reads miss for the whole
// fleet.
func (r *Ramp) Advance(now int64, zone string, evacuated []string, worksHere, slow bool, durations RampDurations) float64 {
	byFleet := slices.Contains(evacuated, AutomaticPrefix+zone) && !worksHere
	byOperator := slices.Contains(evacuated, zone)
	elapsed := float64(max(0, now-r.advancedAt))
	if r.advancedAt == 0 { // It has just started: a zone that was evacuated before gets none of its keys.
		elapsed = 0
		if byOperator {
			r.share = 1
		}
	}
	r.advancedAt = now
	if slow {
		elapsed /= slowdown
	}
	switch {
	case byFleet:
		r.share = 1
	case byOperator:
		r.share = min(1, r.share+elapsed/float64(max(1, durations.EvacuationNanos)))
	default:
		r.share = max(0, r.share-elapsed/float64(max(1, durations.RecoveryNanos)))
	}
	return r.roundedShare()
}

// roundedShare is the share rounded up to whole steps, so that processes whose clocks differ a little keep the same
// keys away.
func (r *Ramp) roundedShare() float64 {
	steps := int(r.share*rampSteps + (1 - stepTolerance))
	return float64(steps) / rampSteps
}
