package routing

import (
	"errors"
	"io"
	"time"

	"hollylever/transport"
)

// writeTimeout is how long a client may take to read an answer, or a piece of a large one: one that stays and does
// not read must not keep the memory of its answers.
const writeTimeout = 10 * time.Second

// pendingReply is the place of a command among its client's: its reply once there is one, and what became of that
// once nothing more is done for it.
type pendingReply struct {
	reply    chan reply
	delivery chan delivery
}

func newPendingReply() pendingReply { return pendingReply{make(chan reply, 1), make(chan delivery, 1)} }

// immediateReply is the pending reply of a command that is answered at once.
func immediateReply(r reply) pendingReply {
	pending := newPendingReply()
	pending.reply <- r
	return pending
}

// await returns the reply, or isThere false where the client disconnects before there is one. A client that has
// disconnected may only have ended its sending: a reply that is there by then is written. Without one no later one
// may be, which the client would take for this.
func (p pendingReply) await(disconnected <-chan struct{}) (r reply, isThere bool) {
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

// delivery is what became of an answer.
type delivery int

const (
	delivered       delivery = iota
	clientClosed             // the client ended the connection, or there was no answer as it had gone
	writeTimedOut            // the client did not read for writeTimeout
	valueIncomplete          // a large value could not be passed on to its end
)

// reply is what a client is sent: bytes, and behind them a large value as it comes. Or it is the answers to a run of
// rejected commands.
type reply struct {
	bytes    []byte
	value    *io.PipeReader // nil without one
	rejected *rejectionRun  // nil without one
}

// writeTo writes one reply.
func (r reply) writeTo(c *transport.Client) delivery {
	switch end := c.Send(r.bytes, time.Now().Add(writeTimeout)); {
	case end == transport.TimedOutBeforeSent:
		return writeTimedOut
	case end != transport.Open:
		return clientClosed
	case !copyValue(c, r.value):
		return valueIncomplete
	case !r.rejected.writeTo(c):
		return clientClosed
	}
	return delivered
}

// copyValue gives the client a large value as it comes, and reports whether all of it went out.
func copyValue(c *transport.Client, value *io.PipeReader) bool {
	if value == nil {
		return true
	}
	defer func() { _ = value.Close() }() // The attempt that writes into it learns that nobody reads any more.
	for piece := make([]byte, pieceSize); ; {
		n, err := value.Read(piece)
		if n > 0 && c.Send(piece[:n], time.Now().Add(writeTimeout)) != transport.Open {
			return false
		}
		if err != nil {
			return errors.Is(err, io.EOF)
		}
	}
}
