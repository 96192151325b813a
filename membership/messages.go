package membership

import (
	"sync"
	"time"
)

// frameKind is the first byte of each frame: it says what the rest is. The numbers are on the wire.
type frameKind byte

const (
	frameMessage      frameKind = 1
	frameState        frameKind = 2 // a CBOR MemberState
	frameBroadcast    frameKind = 3
	frameStateRequest frameKind = 4 // the name of the member that asks; processes of earlier versions ignore it
)

// encodeFrame returns the frame of a payload.
func encodeFrame(kind frameKind, payload []byte) []byte {
	return append([]byte{byte(kind)}, payload...)
}

// exchangeBase is what both exchanges do alike: it handles the frames that come, keeps the member table and answers
// requests for this process's state. An exchange embeds it and sets send and relay before the first frame can come.
type exchangeBase struct {
	name          string // of this process
	delegate      Delegate
	members       memberTable
	send          func(to string, kind frameKind, payload []byte) error
	relay         func(state MemberState, frame []byte) // passes a state that was news on to others; nil: nobody needs it
	limiter       rateLimiter
	largeMessages largeMessageLimiter // of frames that go over connections

	ownMu sync.Mutex
	own   MemberState // as last published, with complete lists; guarded by ownMu
}

// Send implements Exchange: a frame of at most maxDatagramBytes goes as a datagram, a longer one over a connection.
func (b *exchangeBase) Send(to string, message []byte) error {
	return b.send(to, frameMessage, message)
}

// RequestFullState implements Exchange.
func (b *exchangeBase) RequestFullState(name string) {
	// One that is not sent is asked for again: the caller does so for as long as the member's lists are cut.
	_ = b.send(name, frameStateRequest, []byte(b.name))
}

// Members implements Exchange.
func (b *exchangeBase) Members() []Member { return b.members.list(time.Now()) }

// setOwnState keeps the state that answers to requests carry.
func (b *exchangeBase) setOwnState(state MemberState) {
	b.ownMu.Lock()
	defer b.ownMu.Unlock()
	b.own = state
}

// handleFrame handles a frame, which it keeps. Anybody on the network can send one: what is no frame is dropped.
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

// handleStateRequest answers a member with this process's state and its complete lists.
func (b *exchangeBase) handleStateRequest(from string) {
	b.ownMu.Lock()
	own := b.own
	b.ownMu.Unlock()
	if own.Name != "" {
		// A member that gets no answer asks again.
		_ = b.send(from, frameState, marshalState(own.truncate(maxMessageBytes, false)))
	}
}

// handleState takes a member's state into the table. One that is no news goes no further, so that relayed states die
// out.
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
