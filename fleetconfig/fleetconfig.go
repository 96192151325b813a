// Package fleetconfig is the configuration of a process that is one of a fleet: the [fleet] table of its own settings,
// how that is validated, the lease timing that follows from it, and the form in which operators propose changes of the
// replicated configuration. It depends on no part of the fleet, so that programs without one can read and check the
// table too.
package fleetconfig

import (
	"fmt"
	"slices"

	"hollylever/config"
)

const (
	// minSendRate lets a process publish its state and renew its leases in a small fleet.
	minSendRate = 10_000 // bytes per second
	// baseSendRate and perMemberSendRate make up the send rate where none is set: with these a leader sends a revision
	// with a thousand endpoints to each member within a second.
	baseSendRate      = 1_000_000 // bytes per second
	perMemberSendRate = 16_000    // bytes per second
)

// InvalidFieldError says that a field of the [fleet] table is invalid, or does not fit the others.
type InvalidFieldError struct {
	Field string // without its table
	Err   error  // what is wrong with it
}

// Error begins with the field.
func (e *InvalidFieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns what is wrong with the field.
func (e *InvalidFieldError) Unwrap() error { return e.Err }

func invalidField(field, format string, values ...any) error {
	return &InvalidFieldError{Field: field, Err: fmt.Errorf(format, values...)}
}

// SendRate returns how many bytes per second a process sends at most, in a fleet of so many configured peers.
func SendRate(own config.Values, peers int) int {
	if rate := int(own.Integer("fleet.rate")); rate > 0 {
		return rate
	}
	return baseSendRate + perMemberSendRate*max(peers, int(own.Integer("fleet.most")))
}

// Validate checks that the fields of the [fleet] table fit together, for the process of a name; "": for any. It returns
// nil where the table is not on, and an error that wraps an *InvalidFieldError for the first field that is wrong. Its
// text begins with the table and the field. It is called before a process starts and by the commands that check its
// settings.
func Validate(own config.Values, name string) error {
	if !own.Boolean("fleet.on") {
		return nil
	}
	if err := validateFields(own, name); err != nil {
		return fmt.Errorf("fleet.%w", err)
	}
	return nil
}

func validateFields(own config.Values, name string) error {
	if err := ParseLeaseTiming(own).Validate(); err != nil {
		return err
	}
	peers, err := ParsePeers(own.Text("fleet.peers"))
	replicas := ParseNames(own.Text("fleet.keepers"))
	switch {
	case err != nil:
		return &InvalidFieldError{Field: "peers", Err: err}
	case own.Integer("fleet.rate") != 0 && own.Integer("fleet.rate") < minSendRate:
		return invalidField("rate", "is not 0, nor from %d on", minSendRate)
	case own.Text("fleet.listen") == "":
		return invalidField("listen", "missing")
	case !isValidReplicaCount(len(replicas)):
		return invalidField("keepers", "names %d, not one, three, five or seven", len(replicas))
	case name != "" && !isPeer(peers, name) && own.Text("fleet.way") == "plain":
		return invalidField("peers", "%q, this process, is not among them", name)
	}
	return validateReplicas(replicas, peers)
}

// isValidReplicaCount reports whether there may be so many replicas. An even number survives no more failures than the odd
// one below it, and with more than seven each revision waits for more disks than the further failures are worth.
func isValidReplicaCount(n int) bool { return n == 1 || n == 3 || n == 5 || n == 7 }

func isPeer(peers []Peer, name string) bool {
	return slices.ContainsFunc(peers, func(peer Peer) bool { return peer.Name == name })
}

// validateReplicas checks that each replica is one of the peers and is named once. One that is named twice could count
// twice towards a majority, and two leaders could accept different revisions.
func validateReplicas(replicas []string, peers []Peer) error {
	for n, replica := range replicas {
		if slices.Contains(replicas[:n], replica) {
			return invalidField("keepers", "%q stands twice", replica)
		}
		if !isPeer(peers, replica) {
			return invalidField("keepers", "%q is none of the peers", replica)
		}
	}
	return nil
}
