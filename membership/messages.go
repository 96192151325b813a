package membership

import (
	"sync"
	"time"
)

// frameKind is the first byte of each frame and determines the format of its payload. The values are part of the wire
// format.
type frameKind byte

const (
	frameMessage      frameKind = 1
	frameState        frameKind = 2 // a MemberState in CBOR
	frameBroadcast    frameKind = 3
	frameStateRequest frameKind = 4 // the name of the requesting member; ignored by processes of earlier versions
)

func encodeFrame(kind frameKind, payload []byte) []byte {
	return append([]byte{byte(kind)}, payload...)
}

// exchangeBase implements what Plain and Gossip have in common: it handles received frames, maintains the member table
// and answers requests for this process's state. An exchange that embeds it must set send and relay before the first
// frame can be received.
type exchangeBase struct {
	name          string // name of this process
	delegate      Delegate
	members       memberTable
	send          func(to string, kind frameKind, payload []byte) error
	relay         func(state MemberState, frame []byte) // relays a new state; nil if the exchange does not relay
	limiter       rateLimiter
	largeMessages largeMessageLimiter // limits frames sent over connections

	ownStateMu sync.Mutex
	ownState   MemberState // last published state with complete lists; guarded by ownStateMu
}

// Send implements Exchange. A frame of at most maxDatagramBytes is sent as a datagram, a longer one over a connection.
func (b *exchangeBase) Send(to string, message []byte) error {
	return b.send(to, frameMessage, message)
}

// RequestFullState implements Exchange.
func (b *exchangeBase) RequestFullState(name string) {
	// Errors need no handling: the caller repeats the request for as long as the member's lists are truncated.
	_ = b.send(name, frameStateRequest, []byte(b.name))
}

// Members implements Exchange.
func (b *exchangeBase) Members() []Member { return b.members.list(time.Now()) }

// setOwnState stores the state that is sent in response to frameStateRequest.
func (b *exchangeBase) setOwnState(state MemberState) {
	b.ownStateMu.Lock()
	defer b.ownStateMu.Unlock()
	b.ownState = state
}

// handleFrame dispatches a received frame and takes ownership of its memory. Any host on the network can send one, so
// malformed frames are dropped.
func (b *exchangeBase) handleFrame(frame []byte) {
	if len(frame) < 2 || len(frame) > maxMessageBytes+1 {
		return
	}
	payload := frame[1:]
	switch frameKind(frame[0]) {
	case frameMessage:
		b.delegate.NotifyMessage(payload)
	case frameBroadcast:
		b.delegate.NotifyBroadcast(payload)
	case frameStateRequest:
		b.handleStateRequest(string(payload))
	case frameState:
		b.handleState(frame)
	}
}

// handleStateRequest sends this process's complete state to the requesting member.
func (b *exchangeBase) handleStateRequest(from string) {
	b.ownStateMu.Lock()
	own := b.ownState
	b.ownStateMu.Unlock()
	if own.Name != "" {
		// Errors need no handling: a member that gets no response repeats its request.
		_ = b.send(from, frameState, marshalState(own.truncate(maxMessageBytes, false)))
	}
}

// handleState adds a member's state to the table. A state that is not new is neither relayed nor passed to the
// delegate, so that relaying comes to an end.
func (b *exchangeBase) handleState(frame []byte) {
	state, err := unmarshalState(frame[1:])
	if err != nil || state.Name == b.name || !b.members.update(state, time.Now()) {
		return
	}
	if b.relay != nil {
		b.relay(state, frame)
	}
	b.delegate.NotifyState(state)
}
