package evacuation

import "slices"

const (
	// rampSteps is the number of steps in which the keys leave a zone or return to it. Each step moves 3% of the keys,
	// whose values must be fetched again: few enough for an endpoint with a cold cache.
	rampSteps = 32
	// slowdownFactor is how many times longer a ramp takes while reads miss across the whole fleet, so that the origin
	// can keep up.
	slowdownFactor = 4
	// stepTolerance is the part of a step by which a share may exceed a whole number of steps, because of rounding
	// errors, without being rounded up.
	stepTolerance = 1e-6
)

// Ramp is the state of one process's move out of a zone or back into it: the share of the keys that is kept away from
// the zone. The zero value keeps no keys away, as after a completed return.
type Ramp struct {
	share      float64 // of the keys kept away, from 0 (none) to 1 (all)
	advancedAt int64   // time of the last Advance; 0: none since the process started
}

// RampDurations are how long complete ramps take, in nanoseconds.
type RampDurations struct {
	// EvacuationNanos is how long the keys take to leave a zone that an operator evacuated. A failing zone is left at
	// once: requests still sent there would get no response.
	EvacuationNanos int64
	// RecoveryNanos is how long the ramp back into a zone takes: one and a half times an endpoint's warm-up time.
	RecoveryNanos int64
}

// Start sets the share of a process that has just started to that of the other processes. Starting at 0 during a
// return would send all keys to endpoints with cold caches. A share outside 0 to 1 counts as 1.
func (r *Ramp) Start(share float64) {
	if !(share >= 0 && share <= 1) { // The condition in parentheses is also false for NaN.
		share = 1
	}
	*r = Ramp{share: share}
}

// Position returns the share and the time at which it was reached, for handover to the process that replaces this one.
func (r *Ramp) Position() (share float64, at int64) { return r.share, r.advancedAt }

// Resume continues from the share that the predecessor process had at the given time, which may be later than now
// because the clocks of the two processes differ.
func (r *Ramp) Resume(share float64, at, now int64) {
	r.Start(share)
	r.advancedAt = max(1, min(at, now))
}

// Advance advances the ramp to now and returns the share of the keys to keep away from the zone, in whole steps.
// evacuated is the evacuation list in force. ownZoneHealthy means that the zone is this process's own and does not fail
// for it: a zone that only its own balancers can reach stays in use by them, unless an operator evacuated it. slow
// means that reads miss across the whole fleet.
func (r *Ramp) Advance(now int64, zone string, evacuated []string, ownZoneHealthy, slow bool, durations RampDurations) float64 {
	byFleet := slices.Contains(evacuated, AutomaticPrefix+zone) && !ownZoneHealthy
	byOperator := slices.Contains(evacuated, zone)
	elapsed := float64(max(0, now-r.advancedAt))
	if r.advancedAt == 0 { // First call since the start: a zone that an operator had already evacuated gets no keys.
		elapsed = 0
		if byOperator {
			r.share = 1
		}
	}
	r.advancedAt = now
	if slow {
		elapsed /= slowdownFactor
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

// roundedShare returns the share rounded up to whole steps, so that processes whose clocks differ slightly keep the
// same keys away.
func (r *Ramp) roundedShare() float64 {
	steps := int(r.share*rampSteps + (1 - stepTolerance))
	return float64(steps) / rampSteps
}
