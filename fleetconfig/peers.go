package fleetconfig

import (
	"errors"
	"fmt"
	"net"
	"strings"
)

// MaxMembers is the maximum number of processes in a fleet, and MaxNameBytes the maximum length of a process name. They
// bound the per-process data that is stored, sent and received.
const (
	MaxMembers   = 4096
	MaxNameBytes = 128
)

// Errors of ParsePeers. All but ErrTooManyPeers are wrapped with the invalid entry.
var (
	ErrPeerForm      = errors.New("is not NAME=ADDRESS:PORT")
	ErrPeerAddress   = errors.New("is not an address and a port")
	ErrDuplicatePeer = errors.New("stands twice")
	ErrTooManyPeers  = fmt.Errorf("over %d peers", MaxMembers)
)

// Peer is a process listed in the settings.
type Peer struct {
	Name    string
	Address string // ADDRESS:PORT
}

// ParseNames parses a comma-separated list of names. It trims white space and skips empty names.
func ParseNames(text string) []string {
	var names []string
	for name := range strings.SplitSeq(text, ",") {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	return names
}

// ParsePeers parses a list of names and addresses such as "b1=127.0.0.1:7001, b2=127.0.0.1:7002".
func ParsePeers(text string) ([]Peer, error) {
	var peers []Peer
	seen := map[string]bool{}
	for _, entry := range ParseNames(text) {
		name, address, hasAddress := strings.Cut(entry, "=")
		if !hasAddress || name == "" || len(name) > MaxNameBytes {
			return nil, fmt.Errorf("%q %w", entry, ErrPeerForm)
		}
		if _, err := net.ResolveUDPAddr("udp", address); err != nil {
			return nil, fmt.Errorf("%q: %q %w", name, address, ErrPeerAddress)
		}
		if seen[name] {
			return nil, fmt.Errorf("%q %w", name, ErrDuplicatePeer)
		}
		seen[name] = true
		peers = append(peers, Peer{Name: name, Address: address})
	}
	if len(peers) > MaxMembers {
		return nil, ErrTooManyPeers
	}
	return peers, nil
}
