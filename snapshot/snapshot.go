// Package snapshot keeps what a balancer has learned in one bounded file, so that the process that follows it in an
// upgrade or a restart goes on with it instead of starting cold.
//
// Package routing fills a Snapshot and restores from one. This package writes it to a File, completely or not at all
// (file.go), and reads it back only if it is complete, recent, of the same balancer and under the same settings.
// Whatever else is found there is refused with an error, and the process starts as if there were no file.
//
// The file is a header of fixed size, then the snapshot in CBOR (format.go).
package snapshot

import (
	"errors"
	"fmt"
	"time"

	"hollylever/monotime"
	"hollylever/policy"
)

// Errors of a snapshot that is refused. Read wraps them with the reason; the caller logs it and starts without a
// snapshot.
var (
	// ErrInvalid says that the file is not a complete snapshot as this version writes it.
	ErrInvalid = errors.New("invalid snapshot")
	// ErrNotApplicable says that the snapshot is complete, but belongs to another balancer, to other settings or to
	// another time.
	ErrNotApplicable = errors.New("snapshot does not apply")
)

// Snapshot is what one process leaves for the next. Its keys in the file are pinned by the tags: a file that is there
// at an upgrade was written by the version before.
type Snapshot struct {
	BalancerName string `cbor:"Name"`
	// SettingsFingerprint identifies the operators' settings: BalancerState's indices of workloads, tenants and kinds
	// depend on them.
	SettingsFingerprint uint64 `cbor:"Settings"`

	// When it was taken, by both clocks: see age.
	WrittenAt int64  `cbor:"At"`     // wall clock, Unix nanoseconds
	BootID    string `cbor:"Boot"`   // of the machine's boot; "" if unknown
	SinceBoot int64  `cbor:"BootAt"` // nanoseconds since that boot

	DiscoveryServer string `cbor:"Discovery"` // address of the server that counted ListIndex
	ListIndex       uint64 `cbor:"Index"`     // revision of the endpoint list
	EndpointList    []byte `cbor:"List"`      // in discovery's JSON

	BalancerState policy.State `cbor:"State"` // what the decision module has learned

	Age time.Duration `cbor:"-"` // when it was read; Read sets it, Write ignores it
}

// age returns how old the snapshot is. Guards against a wall clock that was stepped between the two processes: under
// the same boot of the machine the clock since the boot tells the age, which nobody steps. It may be negative where
// only the wall clock can tell.
func (s *Snapshot) age(now time.Time) time.Duration {
	if s.BootID != "" && s.BootID == monotime.BootID() {
		return time.Duration(monotime.Now() - s.SinceBoot)
	}
	return time.Duration(now.UnixNano() - s.WrittenAt)
}

// checkApplies returns ErrNotApplicable if the snapshot is not for this balancer, these settings and this time. An age
// under zero counts as zero down to -maxAge; a wall clock that went back further leaves nothing to tell the age by.
func (s *Snapshot) checkApplies(balancerName string, settingsFingerprint uint64, maxAge time.Duration) error {
	switch {
	case s.BalancerName != balancerName:
		return fmt.Errorf("%w: of another balancer, %q", ErrNotApplicable, s.BalancerName)
	case s.SettingsFingerprint != settingsFingerprint:
		return fmt.Errorf("%w: of other settings", ErrNotApplicable)
	case s.Age > maxAge || s.Age < -maxAge:
		return fmt.Errorf("%w: written %v ago", ErrNotApplicable, s.Age.Round(time.Millisecond))
	}
	return nil
}
