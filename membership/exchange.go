// Package membership tracks which processes belong to the fleet and carries all messages between them. The Exchange
// interface has two implementations: Plain, for a fixed list of configured peers, and Gossip, whose members discover
// each other. Neither guarantees delivery, exactly-once delivery or ordering; both limit message size, send rate and
// the number of members.
package membership

import (
	"errors"

	"hollylever/fleetconfig"
)

// Limits that apply to every exchange.
const (
	// MaxMembers is the maximum number of processes in a fleet.
	MaxMembers = fleetconfig.MaxMembers

	maxNameBytes    = fleetconfig.MaxNameBytes
	maxMessageBytes = 2 << 20 // limit for a payload; large enough for a revision with the longest endpoint lists
	// maxDatagramBytes is the longest frame that is sent as one datagram. With IPv6 and UDP headers it fits into the
	// minimum IPv6 MTU (1280 bytes), so it is never fragmented. Longer frames are sent over a connection.
	maxDatagramBytes = 1200
)

// Errors returned by Exchange.Send. The message was not sent, but the exchange remains usable.
var (
	ErrUnknownPeer          = errors.New("unknown peer")
	ErrMessageTooLarge      = errors.New("message too large")
	ErrRateLimited          = errors.New("send rate limit exceeded")
	ErrTooManyLargeMessages = errors.New("too many large messages in flight")
)

// Peer is a process listed in the configuration.
type Peer = fleetconfig.Peer

// Exchange carries messages between processes; any message may be lost. Its methods are safe for concurrent use and do
// not wait for the network.
type Exchange interface {
	// Send sends a message to one member. An error means that the message was not sent; nil does not guarantee
	// delivery.
	Send(to string, message []byte) error
	// PublishState sends this process's state to all members, truncating its lists if necessary. It is called about
	// once a second.
	PublishState(state MemberState)
	// RequestFullState asks a member for its complete state, whose lists are not truncated.
	RequestFullState(name string)
	// Broadcast immediately sends a short message to all members.
	Broadcast(message []byte)
	// Members returns the members heard from within forgetTimeout, sorted by name and excluding this process.
	Members() []Member
	// Close shuts the exchange down and closes its sockets. It must be called only once.
	Close()
}

// Delegate handles what an Exchange receives. Its methods are called from the exchange's goroutines and must not block.
type Delegate interface {
	// NotifyMessage handles a message that a member sent to this process.
	NotifyMessage(message []byte)
	// NotifyState handles a member state that the member table has accepted as new.
	NotifyState(state MemberState)
	// NotifyBroadcast handles a short message that a member sent to all members.
	NotifyBroadcast(message []byte)
}
