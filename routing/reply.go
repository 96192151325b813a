package routing

import (
	"time"

	"hollylever/transport"
)

// writeTimeout is how long a client may take to read a reply, or a piece of a large value. It bounds how long a client
// that stays connected without reading can occupy memory with its replies.
const writeTimeout = 10 * time.Second

// pendingReply holds a command's position among the client's replies. It receives the reply once there is one, and then
// how the delivery of that reply ended. If the reply was known from the start, it has no channels.
type pendingReply struct {
	known    reply
	reply    chan reply
	delivery chan delivery
	turnAt   time.Time // when all replies before it had been written; set before delivery receives its end
	beganAt  time.Time // when the reply began to be written; set before delivery receives its end
}

func newPendingReply() *pendingReply {
	return &pendingReply{reply: make(chan reply, 1), delivery: make(chan delivery, 1)}
}

// immediateReply returns the pending reply of a command whose reply is already known. A client may have many of them
// queued, so they take little memory.
func immediateReply(r reply) *pendingReply { return &pendingReply{known: r} }

// isKnown reports whether the reply was known from the start.
func (p *pendingReply) isKnown() bool { return p.reply == nil }

// await returns the reply, or ok false if the client disconnects before there is one. A disconnect may be a half-close,
// after which the client still reads: a reply that is ready by then is written. If there is none, no later reply may be
// written either, since the client would take it for this one.
func (p *pendingReply) await(disconnected <-chan struct{}) (r reply, ok bool) {
	if p.isKnown() {
		return p.known, true
	}
	p.turnAt = time.Now()
	select {
	case r = <-p.reply:
		return r, true
	case <-disconnected:
	}
	select {
	case r = <-p.reply:
		return r, true
	default:
		return reply{}, false
	}
}

// beginDelivery records that the reply is about to be written.
func (p *pendingReply) beginDelivery() { p.beganAt = time.Now() }

// reportDelivery tells the request how the delivery of its reply ended.
func (p *pendingReply) reportDelivery(d delivery) {
	if !p.isKnown() {
		p.delivery <- d
	}
}

// delivery is how the delivery of a reply ended.
type delivery int

const (
	delivered       delivery = iota
	clientClosed             // the client closed the connection, or disconnected before there was a reply
	writeTimedOut            // the client did not read for writeTimeout
	valueIncomplete          // a large value had begun to be streamed and could not be completed
)

// reply is what a client is sent for one command: bytes, followed by a held value if there is one. It may instead be a large
// value that is streamed, or the replies to a run of rejected commands.
type reply struct {
	bytes    []byte
	held     *heldValue    // nil if there is none
	value    *largeValue   // nil if no large value is streamed
	rejected *rejectionRun // nil if this is not a run of rejections
}

// writeTo writes the reply to the client.
func (r reply) writeTo(c *transport.Client) delivery {
	if r.value != nil {
		return r.value.writeTo(c)
	}
	end := writePart(c, r.bytes)
	switch {
	case end == transport.Open && r.held != nil:
		end = r.held.writeTo(c)
	case end == transport.Open:
		end = r.rejected.writeTo(c)
	}
	return deliveryOfWrite(end)
}

// deliveryOfWrite returns how a delivery ended whose last write ended so.
func deliveryOfWrite(end transport.End) delivery {
	switch end {
	case transport.Open:
		return delivered
	case transport.TimedOutBeforeSent:
		return writeTimedOut
	default:
		return clientClosed
	}
}

// writePart writes the next part of a reply to the client.
func writePart(c *transport.Client, part []byte) transport.End {
	if len(part) == 0 {
		return transport.Open
	}
	c.AwaitSendTurn()
	return c.SendReply(part, time.Now().Add(writeTimeout))
}
