// Package decay has sums and averages that decay exponentially: what was seen lately counts, what was seen long ago
// does not. Package policy and the packages that decide for it count with these.
//
// Times are nanoseconds of a clock that the caller hands in. A time before the last one changes nothing, so that a
// clock that goes back does not make old counts grow. The types must not be used concurrently.
package decay

import "math"

// TimeConstant is the time in which a sum decays to 1/e of itself, in nanoseconds: long enough to count some attempts
// to a server of a large fleet, short enough to see a server recover within seconds.
const TimeConstant = int64(3e9)

// Sum is a sum whose terms decay. The zero value is empty.
type Sum struct {
	Value     float64 // as of UpdatedAt
	UpdatedAt int64   // time to which Value has decayed
}

// ValueAt lets the sum decay up to now and returns its value.
func (s *Sum) ValueAt(now int64) float64 {
	if now > s.UpdatedAt {
		s.Value *= remaining(now - s.UpdatedAt)
		s.UpdatedAt = now
	}
	return s.Value
}

// Add lets the sum decay up to now and adds x.
func (s *Sum) Add(now int64, x float64) { s.Value = s.ValueAt(now) + x }

// Average is the time-weighted average of a level, such as the number of attempts in flight. The zero value starts at
// level 0.
type Average Sum

// Update counts the level as having held since the last call, and returns the average up to now.
func (a *Average) Update(now int64, level int) float64 {
	if now > a.UpdatedAt {
		a.Value = float64(level) + (a.Value-float64(level))*remaining(now-a.UpdatedAt)
		a.UpdatedAt = now
	}
	return a.Value
}

// remaining returns the part of a value that remains after a time.
func remaining(elapsedNanos int64) float64 {
	return math.Exp(-float64(elapsedNanos) / float64(TimeConstant))
}
