// Package joining is what a process is told to be one of a fleet: the table of our own settings, its checks, and the stated times that follow
// from it. It is small, so that programs without the fleet's parts can read and check the table too.
package fleetconfig

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"hollylever/fields"
)

// MaxMembers is how many processes a fleet may have, and MaxName how many bytes the name of one. What is kept, sent or read of processes is
// bounded by these.
const (
	MaxMembers   = 4096
	MaxNameBytes = 128
)

const (
	maxAddress = len("255.255.255.255:65535")
	maxPeers   = MaxMembers * (MaxNameBytes + len("=") + maxAddress + len(", ")) // bytes of the list of peers
)

// Part is the table of our own settings that this package has.
var ConfigSection = fields.Part{Table: "fleet", Help: "Being one of a fleet that agrees: bin/hollyfleet only.", Fields: []fields.Field{
	{Name: "on", Kind: fields.Yes, Default: "false", When: fields.AtStart, Help: "Whether it is."},
	{Name: "listen", Kind: fields.Text, Default: "", When: fields.AtStart, Help: "Where other processes of the fleet reach this one, ADDRESS:PORT, datagrams and connections."},
	{Name: "peers", Kind: fields.Text, Default: "", MaxText: maxPeers, When: fields.AtStart, Help: "Processes named beforehand, this one among them: NAME=ADDRESS:PORT, with commas between."},
	{Name: "keepers", Kind: fields.Text, Default: "", When: fields.AtStart, Help: "Names of those whose majority accepts versions: one, three, five or seven, the same everywhere."},
	{Name: "way", Kind: fields.Word, Default: "plain", Words: []string{"plain", "gossip"}, When: fields.AtStart,
		Help: "Talk to the peers named only, or find others through them."},
	{Name: "state", Kind: fields.Text, Default: "", When: fields.AtStart, Help: "A keeper's file on a disk that lasts; without one it joins anew after each start."},
	{Name: "lease", Kind: fields.Duration, Default: "1.8s", Least: "200ms", Most: "1m", When: fields.AtStart, Help: "How long a lease lasts. The same everywhere."},
	{Name: "rate_error", Kind: fields.Count, Default: "10", Least: "0", Most: "100", When: fields.AtStart,
		Help: "By how much a clock's rate may be off, in thousandths. The same everywhere."},
	{Name: "pause", Kind: fields.Duration, Default: "150ms", Least: "0s", Most: "1m", When: fields.AtStart,
		Help: "What may lie between the look at a lease and the act."},
	{Name: "behind", Kind: fields.Duration, Default: "1s", Least: "0s", Most: "1m", When: fields.AtStart,
		Help: "How long this process's list may be behind another's before it says so. Drains of later lists count at once."},
	{Name: "most", Kind: fields.Count, Default: "0", Least: "0", Most: strconv.Itoa(MaxMembers), When: fields.AtStart,
		Help: "How many processes the fleet may have: budgets are divided among these by use; 0: by the balancers that the settings state. The same everywhere."},
	{Name: "tends", Kind: fields.Count, Default: "0", Least: "0", Most: "100000", When: fields.AtStart,
		Help: "How many hosts a process keeps idle connections to, in the mean; 0: to all. The same everywhere."},
	{Name: "tends_near", Kind: fields.Yes, Default: "false", When: fields.AtStart, Help: "Of its own zone, where that has hosts enough. The same everywhere."},
	{Name: "zones", Kind: fields.Yes, Default: "true", When: fields.AtStart, Help: "Whether the fleet leaves zones that fail, and comes back, by itself."},
	{Name: "signals", Kind: fields.Yes, Default: "true", When: fields.AtStart, Help: "Whether processes tell each other of hosts that fail, and heed it."},
	{Name: "signal_delay", Kind: fields.Duration, Default: "50ms", Least: "1ms", Most: "4s", When: fields.AtStart,
		Help: "How late signals may come: leaving a host and coming back are spread over four times that."},
	{Name: "rate", Kind: fields.Count, Default: "0", Least: "0", Most: "1000000000", When: fields.AtStart,
		Help: "Bytes a second that it sends at most, 10000 or more; 0: 1 MB, and 16 kB for each process that peers or most name."},
	{Name: "trace", Kind: fields.Text, Default: "", When: fields.AtStart, Help: "A file for a line on each decision, for tests."},
}}

// Of gives the stated times that the values name.
func ParseLeaseTiming(own fields.Values) LeaseTiming {
	return LeaseTiming{LeaseDuration: own.Duration("fleet.lease"), ClockRateError: float64(own.Count("fleet.rate_error")) / 1000, MaxPause: own.Duration("fleet.pause"),
		MaxMembers: int(own.Count("fleet.most"))}
}

const (
	leastRate   = 10_000
	usualRate   = 1_000_000
	memberBytes = 16_000 // a version with a thousand hosts goes to each in a second
)

// Rate gives how many bytes a second a process sends at most, among these peers.
func SendRate(own fields.Values, peers int) int {
	if rate := int(own.Count("fleet.rate")); rate > 0 {
		return rate
	}
	return usualRate + memberBytes*max(peers, int(own.Count("fleet.most")))
}

// Check tells what of the table does not fit together; each error begins with the field.
func Validate(own fields.Values, name string) error {
	if !own.Yes("fleet.on") {
		return nil
	}
	if err := ParseLeaseTiming(own).Validate(); err != nil {
		return fmt.Errorf("fleet.%w", err)
	}
	peers, err := ParsePeers(own.Word("fleet.peers"))
	keepers := ParseNames(own.Word("fleet.keepers"))
	named := func(name string) bool {
		return slices.ContainsFunc(peers, func(p Peer) bool { return p.Name == name })
	}
	switch {
	case err != nil:
		return fmt.Errorf("fleet.peers: %w", err)
	case own.Count("fleet.rate") != 0 && own.Count("fleet.rate") < leastRate:
		return fmt.Errorf("fleet.rate: is not 0, nor from %d on", leastRate)
	case own.Word("fleet.listen") == "":
		return errors.New("fleet.listen: missing")
	case !slices.Contains([]int{1, 3, 5, 7}, len(keepers)):
		return fmt.Errorf("fleet.keepers: names %d, not one, three, five or seven", len(keepers))
	case name != "" && !named(name) && own.Word("fleet.way") == "plain":
		return fmt.Errorf("fleet.peers: %q, this process, is not among them", name)
	}
	for n, keeper := range keepers {
		if slices.Contains(keepers[:n], keeper) {
			return fmt.Errorf("fleet.keepers: %q stands twice", keeper)
		}
		if !named(keeper) {
			return fmt.Errorf("fleet.keepers: %q is none of the peers", keeper)
		}
	}
	return nil
}

// Names reads a list of names with commas between.
func ParseNames(text string) (all []string) {
	for _, name := range strings.Split(text, ",") {
		if name = strings.TrimSpace(name); name != "" {
			all = append(all, name)
		}
	}
	return all
}

// Peer is one that is named beforehand.
type Peer struct{ Name, Address string }

// Peers reads a list of names and addresses: "b1=127.0.0.1:7001, b2=127.0.0.1:7002".
func ParsePeers(text string) ([]Peer, error) {
	var peers []Peer
	named := map[string]bool{}
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		name, address, is := strings.Cut(part, "=")
		if !is || name == "" || len(name) > MaxNameBytes {
			return nil, fmt.Errorf("%q is not NAME=ADDRESS:PORT", part)
		}
		if _, err := net.ResolveUDPAddr("udp", address); err != nil {
			return nil, fmt.Errorf("%q: %q is not an address and a port", name, address)
		}
		if named[name] {
			return nil, fmt.Errorf("%q stands twice", name)
		}
		named[name] = true
		peers = append(peers, Peer{name, address})
	}
	if len(peers) > MaxMembers {
		return nil, fmt.Errorf("over %d peers", MaxMembers)
	}
	return peers, nil
}

// Terms are the stated times. All processes of a fleet have the same.
type LeaseTiming struct {
	LeaseDuration  time.Duration // on the holder's clock, from when it asked
	ClockRateError float64       // of any clock
	MaxPause       time.Duration // what may lie between the look at a lease and the act
	MaxMembers     int           // processes that the fleet may have: budgets are divided among them; 0: they are not
}

// Outlasts is W: what a granter waits on its own clock, after which a lease is over on any other's.
func (t LeaseTiming) GranterTimeout() time.Duration {
	return time.Duration(float64(t.LeaseDuration) * (1 + t.ClockRateError) / (1 - t.ClockRateError))
}

// T is the longest time for which two processes under leases can act on rules that contradict each other.
func (t LeaseTiming) MaxDisagreement() time.Duration { return t.GranterTimeout() + t.MaxPause }

// Check tells what is wrong with them.
func (t LeaseTiming) Validate() error {
	switch {
	case t.LeaseDuration < 100*time.Millisecond || t.LeaseDuration > time.Minute:
		return fmt.Errorf("lease: %v is not 100ms to 1m", t.LeaseDuration)
	case t.ClockRateError < 0 || t.ClockRateError > 0.1:
		return fmt.Errorf("rate_error: %v is not 0 to 0.1", t.ClockRateError)
	case t.MaxPause < 0 || t.MaxPause > t.LeaseDuration:
		return fmt.Errorf("pause: %v is not 0s to the lease", t.MaxPause)
	}
	return nil
}
