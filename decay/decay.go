// Package decay implements sums and averages that decay exponentially, so that recent observations weigh more than old
// ones. Package policy and the packages that decide for it count with these types.
//
// Times are nanoseconds of a clock that the caller passes in. A time earlier than the previous one causes no decay, so
// that a clock that is set back does not make old counts grow. The types must not be used concurrently.
package decay

import "math"

// TimeConstant is the time in which a sum decays to 1/e of its value, in nanoseconds: long enough to count several
// attempts to one server of a large fleet, short enough to detect within seconds that a server has recovered.
const TimeConstant = int64(3e9)

// Sum is a decaying sum. The zero value is an empty sum.
type Sum struct {
	Value     float64 // the sum at UpdatedAt
	UpdatedAt int64   // time up to which Value has decayed
}

// ValueAt decays the sum to now and returns its value.
func (s *Sum) ValueAt(now int64) float64 {
	if now > s.UpdatedAt {
		s.Value *= decayFactor(now - s.UpdatedAt)
		s.UpdatedAt = now
	}
	return s.Value
}

// Add decays the sum to now and adds x.
func (s *Sum) Add(now int64, x float64) { s.Value = s.ValueAt(now) + x }

// Average is the exponentially decaying, time-weighted average of a level, such as the number of attempts in flight.
// The zero value starts at level 0.
type Average Sum

// Update records that the level has been constant since the previous call, and returns the average at now.
func (a *Average) Update(now int64, level int) float64 {
	if now > a.UpdatedAt {
		a.Value = float64(level) + (a.Value-float64(level))*decayFactor(now-a.UpdatedAt)
		a.UpdatedAt = now
	}
	return a.Value
}

// decayFactor returns the fraction of a value that remains after the elapsed time.
func decayFactor(elapsedNanos int64) float64 {
	return math.Exp(-float64(elapsedNanos) / float64(TimeConstant))
}
