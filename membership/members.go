// Package members is who is in the fleet, and the exchange of messages between its processes. All talk between instances goes through
// here. There are two ways behind one interface: a plain list of peers, and gossip. Neither promises that a message arrives, once, or in
// order; both are bounded in size, rate and number.
package membership

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"hollylever/fleetconfig"
)

// Bounds of the exchange.
const (
	MaxMembers = fleetconfig.MaxMembers
	maxMessage = 2 << 20
	packet     = 1200 // bytes that go as one datagram; more goes over a connection
	maxName    = fleetconfig.MaxNameBytes
	cardEvery  = time.Second
	goneAfter  = 5 * time.Second // without a card, a member counts as gone
)

// Peer is one that is named beforehand.
type Peer = fleetconfig.Peer

// Member is a process that was heard.
type Member struct {
	MemberState
	LastSeen time.Time
	whole    uint64 // the digest of the whole lists that it stands here with; 0: it never answered Want
}

// Exchange carries messages between processes, or loses them. No call blocks for long.
type Exchange interface {
	Send(to string, bytes []byte) error
	PublishState(MemberState)     // to all, as often as it is good for the way; long lists in part
	RequestFullState(name string) // asks a member for its card with whole lists
	Broadcast(bytes []byte)       // to all, at once; small
	Members() []Member
	Close()
}

// Ears are what an exchange calls with what it hears, from goroutines of its own.
type Delegate interface {
	NotifyMessage(bytes []byte)
	NotifyState(MemberState)
	NotifyBroadcast(bytes []byte)
}

var strict = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxDrains, MaxMapPairs: 64, MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // The options are constants.
	}
	return mode
}()
