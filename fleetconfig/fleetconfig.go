// Package fleetconfig defines the configuration of a fleet member: the [fleet] table of a process's own settings, its
// validation, the lease timing derived from it, and the format of operators' proposals to change the replicated
// configuration. It does not depend on the fleet implementation, so that programs without it can read and validate the
// table too.
package fleetconfig

import (
	"fmt"
	"slices"

	"hollylever/config"
)

const (
	// minSendRate is enough for a process of a small fleet to publish its state and renew its lease.
	minSendRate = 10_000 // bytes per second
	// baseSendRate and perMemberSendRate determine the default send rate. It lets a leader send a revision with a
	// thousand endpoints to each member within a second.
	baseSendRate      = 1_000_000 // bytes per second
	perMemberSendRate = 16_000    // bytes per second
)

// InvalidFieldError reports that a field of the [fleet] table is invalid or inconsistent with other fields.
type InvalidFieldError struct {
	Field string // without the table name
	Err   error  // the reason
}

// Error returns the field name followed by the reason.
func (e *InvalidFieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the reason without the field name.
func (e *InvalidFieldError) Unwrap() error { return e.Err }

func invalidField(field, format string, values ...any) error {
	return &InvalidFieldError{Field: field, Err: fmt.Errorf(format, values...)}
}

// SendRate returns the maximum number of bytes per second that a process sends in a fleet with the given number of
// configured peers.
func SendRate(own config.Values, peers int) int {
	if rate := int(own.Integer("fleet.rate")); rate > 0 {
		return rate
	}
	return baseSendRate + perMemberSendRate*max(peers, int(own.Integer("fleet.most")))
}

// Validate checks that the fields of the [fleet] table are consistent for the process with the given name; "" skips the
// checks that depend on the name. If the fleet is not enabled it returns nil. Otherwise it returns an error for the
// first invalid field. The error wraps an *InvalidFieldError, and its text starts with the table and the field.
// Validate is called before a process starts and by the commands that check its settings.
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

// isValidReplicaCount reports whether a fleet may have n replicas. An even number tolerates no more failures than the
// odd number below it. With more than seven, each revision waits for more disks than the additional fault tolerance is
// worth.
func isValidReplicaCount(n int) bool { return n == 1 || n == 3 || n == 5 || n == 7 }

func isPeer(peers []Peer, name string) bool {
	return slices.ContainsFunc(peers, func(peer Peer) bool { return peer.Name == name })
}

// validateReplicas checks that each replica is one of the peers and is named only once. A replica named twice could be
// counted twice towards a majority, and two leaders could then accept different revisions.
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
