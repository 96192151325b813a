package membership

import (
	"sync"
	"time"
)

// frameKind is the first byte of each frame: it says what the rest is. The numbers are on the wire.
type frameKind byte

const (
	frameMessage      frameKind = 1
	frameState        frameKind = 2 // a CBOR Card
	frameBroadcast    frameKind = 3
	frameStateRequest frameKind = 4 // the name of the member that asks; processes of earlier versions ignore it
)

// encodeFrame returns the frame of a payload.
func encodeFrame(kind frameKind, payload []byte) []byte {
	return append([]byte{byte(kind)}, payload...)
}

// endpoint is what both exchanges do alike: it handles the frames that come, keeps the member table and answers requests for
// this process's state. An exchange embeds it and sets send before the first frame can come.
type endpoint struct {
	name     string // of this process
	ears     Delegate
	members  memberTable
	send     func(to string, kind frameKind, payload []byte) error
	relay    func(state MemberState, frame []byte) // passes a state that was news on to others; nil: nobody needs it
	limiter  rateLimiter
	oversize largeMessageLimiter // of frames that go over connections

	ownMu sync.Mutex
	own   MemberState // as last published, with complete lists; guarded by ownMu
}

// Send implements Exchange: a frame of at most maxDatagramBytes goes as a datagram, a longer one over a connection.
func (e *endpoint) Send(to string, message []byte) error {
	return e.send(to, frameMessage, message)
}

// Want implements Exchange.
func (e *endpoint) RequestFullState(name string) {
	// One that is not sent is asked for again: the caller does so for as long as the member's lists are cut.
	_ = e.send(name, frameStateRequest, []byte(e.name))
}

// Members implements Exchange.
func (e *endpoint) Members() []Member { return e.members.list(time.Now()) }

// setOwnState keeps the state that answers to requests carry.
func (e *endpoint) setOwnState(state MemberState) {
	e.ownMu.Lock()
	defer e.ownMu.Unlock()
	e.own = state
}

// handleFrame handles a frame, which it keeps. Anybody on the network can send one: what is no frame is dropped.
func (e *endpoint) handleFrame(frame []byte) {
	if len(frame) < 2 || len(frame) > maxMessageBytes+1 {
		return
	}
	payload := frame[1:]
	switch frameKind(frame[0]) {
	case frameMessage:
		e.ears.NotifyMessage(payload)
	case frameBroadcast:
		e.ears.NotifyBroadcast(payload)
	case frameStateRequest:
		e.handleStateRequest(string(payload))
	case frameState:
		e.handleState(frame)
	}
}

// handleStateRequest answers a member with this process's state and its complete lists.
func (e *endpoint) handleStateRequest(from string) {
	e.ownMu.Lock()
	own := e.own
	e.ownMu.Unlock()
	if own.Name != "" {
		_ = e.send(from, frameState, marshalState(own.truncate(maxMessageBytes, false))) // A member that gets no answer asks again.
	}
}

// handleState takes a member's state into the table. One that is no news goes no further, so that relayed states die out.
func (e *endpoint) handleState(frame []byte) {
	state, err := unmarshalState(frame[1:])
	if err != nil || state.Name == e.name || !e.members.update(state, time.Now()) {
		return
	}
	if e.relay != nil {
		e.relay(state, frame)
	}
	e.ears.NotifyState(state)
}
