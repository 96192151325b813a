// Package decay holds counts that fade: what was seen lately counts, what was seen long ago does not. The decision
// module and the packages that decide for it count with these. Times are nanoseconds of a clock that is handed in.
package decay

import "math"

// Memory is the time in which a count fades to 1/e.
const TimeConstant = int64(3e9)

// Sum is a sum whose terms fade.
type Sum struct {
	Value     float64
	UpdatedAt int64 // up to when it has faded
}

// Read fades the sum up to now and returns it.
func (s *Sum) ValueAt(now int64) float64 {
	if now > s.UpdatedAt {
		s.Value *= math.Exp(-float64(now-s.UpdatedAt) / float64(TimeConstant))
		s.UpdatedAt = now
	}
	return s.Value
}

// Add fades the sum and adds to it.
func (s *Sum) Add(now int64, x float64) { s.Value = s.ValueAt(now) + x }

// Level is the average over time of a level, such as how many attempts are in flight.
type Average Sum

// Read takes the level as it was since the last call and returns the average.
func (l *Average) Update(now int64, level int) float64 {
	if now > l.UpdatedAt {
		l.Value = float64(level) + (l.Value-float64(level))*math.Exp(-float64(now-l.UpdatedAt)/float64(TimeConstant))
		l.UpdatedAt = now
	}
	return l.Value
}
