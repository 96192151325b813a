package fleetconfig

import (
	"errors"
	"fmt"
	"net"
	"strings"
)

// MaxMembers is how many processes a fleet may have, and MaxNameBytes how long the name of one may be. They bound what
// is kept, sent and read of processes.
const (
	MaxMembers   = 4096
	MaxNameBytes = 128
)

// Errors of ParsePeers, wrapped with the entry that is wrong.
var (
	ErrPeerForm      = errors.New("is not NAME=ADDRESS:PORT")
	ErrPeerAddress   = errors.New("is not an address and a port")
	ErrDuplicatePeer = errors.New("stands twice")
	ErrTooManyPeers  = fmt.Errorf("over %d peers", MaxMembers)
)

// Peer is a process that is configured beforehand.
type Peer struct {
	Name    string
	Address string // ADDRESS:PORT
}

// ParseNames reads names that commas separate; empty ones are left out.
func ParseNames(text string) []string {
	var names []string
	for name := range strings.SplitSeq(text, ",") {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	return names
}

// ParsePeers reads a list of names and addresses, as in "b1=127.0.0.1:7001, b2=127.0.0.1:7002".
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
