package fleetconfig

import (
	"time"

	"hollylever/config"
)

const (
	// minLeaseDuration leaves enough time to renew a lease while the network or the disk is briefly slow.
	minLeaseDuration = 100 * time.Millisecond
	// maxLeaseDuration limits how long a configuration change may take to become binding while a process is
	// unreachable.
	maxLeaseDuration = time.Minute
	// maxClockRateError is well above the clock rate error of any working machine.
	maxClockRateError = 0.1
)

// LeaseTiming holds the parameters on which the safety of leases depends. They must be the same in all processes of a
// fleet.
type LeaseTiming struct {
	// LeaseDuration is how long a lease lasts on its holder's clock, counted from the request.
	LeaseDuration time.Duration
	// ClockRateError is the maximum error of any clock's rate, as a fraction.
	ClockRateError float64
	// MaxPause is the maximum time for which a process may be delayed between checking its lease and acting under it.
	MaxPause time.Duration
	// MaxMembers is the maximum number of processes in the fleet, among which budgets are divided. 0 means that budgets
	// are not divided.
	MaxMembers int
}

// ParseLeaseTiming returns the lease timing set in the [fleet] table. It does not validate it.
func ParseLeaseTiming(own config.Values) LeaseTiming {
	return LeaseTiming{
		LeaseDuration:  own.Duration("fleet.lease"),
		ClockRateError: float64(own.Integer("fleet.rate_error")) / 1000, // The field is in thousandths.
		MaxPause:       own.Duration("fleet.pause"),
		MaxMembers:     int(own.Integer("fleet.most")),
	}
}

// GranterTimeout returns how long the granter of a lease waits, on its own clock, before it considers the lease
// expired. After that time the lease has also expired on the holder's clock, even if the granter's clock runs fast and
// the holder's slow. The documentation calls it W.
func (t LeaseTiming) GranterTimeout() time.Duration {
	return time.Duration(float64(t.LeaseDuration) * (1 + t.ClockRateError) / (1 - t.ClockRateError))
}

// MaxDisagreement returns the longest time for which two processes with leases can act on contradicting configurations.
// The documentation calls it T.
func (t LeaseTiming) MaxDisagreement() time.Duration { return t.GranterTimeout() + t.MaxPause }

// Validate returns an *InvalidFieldError for the first field that is out of range, or nil.
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
