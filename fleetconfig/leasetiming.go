package fleetconfig

import (
	"time"

	"hollylever/config"
)

const (
	// minLeaseDuration leaves time for a lease to be renewed over a network and a disk that are slow for a moment.
	minLeaseDuration = 100 * time.Millisecond
	// maxLeaseDuration bounds how long a change of the configuration may take to be binding while a process is
	// unreachable.
	maxLeaseDuration = time.Minute
	// maxClockRateError is well beyond what clocks of working machines are off by.
	maxClockRateError = 0.1
)

// LeaseTiming is what the safety of leases rests on. All processes of a fleet have the same.
type LeaseTiming struct {
	// LeaseDuration is how long a lease lasts on its holder's clock, from when it was requested.
	LeaseDuration time.Duration
	// ClockRateError is by what fraction the rate of any clock may be off.
	ClockRateError float64
	// MaxPause is how long a process may be held up between checking its lease and acting under it.
	MaxPause time.Duration
	// MaxMembers is how many processes the fleet may have, among which budgets are divided; 0: budgets are not divided.
	MaxMembers int
}

// ParseLeaseTiming reads the lease timing from the [fleet] table.
func ParseLeaseTiming(own config.Values) LeaseTiming {
	return LeaseTiming{
		LeaseDuration:  own.Duration("fleet.lease"),
		ClockRateError: float64(own.Integer("fleet.rate_error")) / 1000, // The field is in thousandths.
		MaxPause:       own.Duration("fleet.pause"),
		MaxMembers:     int(own.Integer("fleet.most")),
	}
}

// GranterTimeout is how long whoever granted a lease waits on its own clock until it takes the lease for expired: after
// that the lease is over on the holder's clock too, though the granter's may run fast and the holder's slow. The
// documentation calls it W.
func (t LeaseTiming) GranterTimeout() time.Duration {
	return time.Duration(float64(t.LeaseDuration) * (1 + t.ClockRateError) / (1 - t.ClockRateError))
}

// MaxDisagreement is the longest time for which two processes under leases can act on configurations that contradict
// each other. The documentation calls it T.
func (t LeaseTiming) MaxDisagreement() time.Duration { return t.GranterTimeout() + t.MaxPause }

// Validate checks the bounds. It returns an *InvalidFieldError for the first field that is out of them.
func (t LeaseTiming) Validate() error {
	switch {
	case t.LeaseDuration < minLeaseDuration || t.LeaseDuration > maxLeaseDuration:
		return invalidField("lease", "%v is not 100ms to 1m", t.LeaseDuration)
	case t.ClockRateError < 0 || t.ClockRateError > maxClockRateError:
		return invalidField("rate_error", "%v is not 0 to 0.1", t.ClockRateError)
	case t.MaxPause < 0 || t.MaxPause > t.LeaseDuration:
		return invalidField("pause", "%v is not 0s to the lease", t.MaxPause)
	}
	return nil
}
