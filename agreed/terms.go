package agreed

import (
	"fmt"
	"time"
)

// Terms are the stated times. All processes of a fleet have the same.
type Terms struct {
	Lease     time.Duration // on the holder's clock, from when it asked
	RateError float64       // of any clock
	Pause     time.Duration // what may lie between the look at a lease and the act
}

// Outlasts is W: what a granter waits on its own clock, after which a lease is over on any other's.
func (t Terms) Outlasts() time.Duration {
	return time.Duration(float64(t.Lease) * (1 + t.RateError) / (1 - t.RateError))
}

// T is the longest time for which two processes under leases can act on rules that contradict each other.
func (t Terms) T() time.Duration { return t.Outlasts() + t.Pause }

// Check tells what is wrong with them.
func (t Terms) Check() error {
	switch {
	case t.Lease < 100*time.Millisecond || t.Lease > time.Minute:
		return fmt.Errorf("lease: %v is not 100ms to 1m", t.Lease)
	case t.RateError < 0 || t.RateError > 0.1:
		return fmt.Errorf("rate_error: %v is not 0 to 0.1", t.RateError)
	case t.Pause < 0 || t.Pause > t.Lease:
		return fmt.Errorf("pause: %v is not 0s to the lease", t.Pause)
	}
	return nil
}
