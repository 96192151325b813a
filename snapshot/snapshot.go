// Package snapshot stores what a balancer has learned in one file of limited size, so that the next process after an
// upgrade or a restart continues from it instead of starting cold.
//
// Package routing fills a Snapshot and restores its state from one. This package writes it to a File atomically
// (file.go), and reads it back only if it is complete, recent, and written by the same balancer under the same
// settings. Anything else is refused with an error, and the process starts as if there were no file.
//
// The endpoint list, as discovery told it, has files of its own (endpointlist.go), one for each process: unlike what was
// learned it does not age, does not depend on the settings, and counts as soon as any process has been told of it.
//
// A file consists of a header of fixed size and its content in CBOR (format.go).
package snapshot

import (
	"errors"
	"fmt"
	"time"

	"hollylever/monotime"
	"hollylever/policy"
)

// Errors for snapshots that are refused. Read wraps them with the reason; the caller logs the error and starts without
// a snapshot.
var (
	// ErrInvalid reports that the file is not a complete, consistent snapshot in this version's format.
	ErrInvalid = errors.New("invalid snapshot")
	// ErrNotApplicable reports that the snapshot is complete, but was written by another balancer, under other
	// settings, or at a time that is too long ago or in the future.
	ErrNotApplicable = errors.New("snapshot does not apply")
)

// Snapshot is the state that one process hands on to the next. The tags fix its keys in the file, as after an upgrade
// the file was written by the previous version.
type Snapshot struct {
	BalancerName string `cbor:"Name"`
	// SettingsFingerprint identifies the operators' settings, which determine what the indices of workloads, tenants
	// and machine types in BalancerState refer to.
	SettingsFingerprint uint64 `cbor:"Settings"`

	// The time at which the snapshot was taken, by two clocks: see age.
	WrittenAt int64  `cbor:"At"`     // wall clock, Unix nanoseconds
	BootID    string `cbor:"Boot"`   // ID of the machine's boot; "" if unknown
	SinceBoot int64  `cbor:"BootAt"` // nanoseconds since that boot

	DiscoveryServer string `cbor:"Discovery"` // address of the discovery server that assigned ListIndex
	ListIndex       uint64 `cbor:"Index"`     // revision of the endpoint list
	// ListGeneration is as EndpointList.Generation. It is 0 in a snapshot of a version that has no generations.
	ListGeneration uint64 `cbor:"ListGeneration,omitempty"`
	EndpointList   []byte `cbor:"List"` // in the JSON format of the discovery server

	BalancerState policy.State `cbor:"State"` // what package policy has learned

	Age time.Duration `cbor:"-"` // age at the time of reading; set by Read, ignored by Write
}

// age returns how long ago something was written, at writtenAt by the wall clock and sinceBoot by the clock of the boot
// bootID. As the wall clock may have been stepped since, the age is measured by the monotonic clock if the machine has
// not rebooted. Otherwise it is measured by the wall clock and may be negative.
func age(now time.Time, writtenAt int64, bootID string, sinceBoot int64) time.Duration {
	if bootID != "" && bootID == monotime.BootID() {
		return time.Duration(monotime.Now() - sinceBoot)
	}
	return time.Duration(now.UnixNano() - writtenAt)
}

// checkApplies returns ErrNotApplicable if the snapshot is from another balancer, from other settings, or too old. A
// negative age is accepted down to -maxAge and counts as zero; if the wall clock was set back further, the real age
// can't be determined.
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
