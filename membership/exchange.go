// Package membership tracks which processes are in the fleet and carries messages between them. All communication
// between instances goes through here. Two exchanges stand behind one interface: Plain, among peers that are all
// configured, and Gossip, whose members find each other. Neither guarantees that a message arrives, arrives once or
// arrives in order; both are bounded in message size, send rate and number of members.
package membership

import (
	"errors"

	"hollylever/fleetconfig"
)

// Bounds of the exchange.
const (
	// MaxMembers is how many processes a fleet may have.
	MaxMembers = fleetconfig.MaxMembers

	maxNameBytes    = fleetconfig.MaxNameBytes
	maxMessageBytes = 2 << 20 // of a payload: a revision with the longest lists of hosts fits
	// maxDatagramBytes is the longest frame that goes as one datagram: with the headers of IPv6 and UDP it fits into
	// the smallest MTU that IPv6 allows, and so is never fragmented. A longer frame goes over a connection.
	maxDatagramBytes = 1200
)

// Errors of Exchange.Send. The message was not sent; the caller sends its next one as usual.
var (
	ErrUnknownPeer          = errors.New("no such peer")
	ErrMessageTooLarge      = errors.New("message too large")
	ErrRateLimited          = errors.New("over the limit of bytes per second")
	ErrTooManyLargeMessages = errors.New("too many large messages in flight")
)

// Peer is a process that is configured beforehand.
type Peer = fleetconfig.Peer

// Exchange carries messages between processes, and may lose any of them. Its methods are safe for concurrent use and do
// not wait for the network.
type Exchange interface {
	// Send sends a message to one member. An error says that it was not sent; nil does not say that it arrives.
	Send(to string, message []byte) error
	// PublishState sends this process's state to all members; long lists are cut to what fits. It is called once a
	// second.
	PublishState(state MemberState)
	// RequestFullState asks a member for its state with complete lists.
	RequestFullState(name string)
	// Broadcast sends a short message to all members at once.
	Broadcast(message []byte)
	// Members returns the members heard from lately, sorted by name, without this process.
	Members() []Member
	// Close ends the exchange and frees its sockets. It is called once.
	Close()
}

// Delegate receives what an Exchange hears. Its methods are called from goroutines of the exchange and must not wait.
type Delegate interface {
	// NotifyMessage receives a message that a member sent to this process.
	NotifyMessage(message []byte)
	// NotifyState receives a member's state after the member table has taken it.
	NotifyState(state MemberState)
	// NotifyBroadcast receives a short message that a member sent to all.
	NotifyBroadcast(message []byte)
}
