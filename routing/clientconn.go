package routing

import (
	"strconv"
	"sync/atomic"
	"time"

	"hollylever/protocol"
	"hollylever/transport"
)

const (
	// maxPipelined is how many commands of one client are handled concurrently.
	maxPipelined = 64

	// extraReplies is how many replies may be pending in addition to maxPipelined: one for a run of rejections, and one
	// for the final error to a client whose connection is not read any further.
	extraReplies = 2

	// maxQuotedCommand is how many bytes of an unknown command its error repeats.
	maxQuotedCommand = 32
)

// Serve serves one client until its connection ends. It keeps reading while requests are in flight, to detect the
// client's disconnect.
func (b *Balancer) Serve(c *transport.Client) {
	disconnected, written := make(chan struct{}), make(chan struct{})
	replies := make(chan *pendingReply, maxPipelined+extraReplies)
	closedByUs := new(atomic.Bool)
	go func() {
		defer close(written)
		writeReplies(c, replies, disconnected, closedByUs)
	}()
	reader := commandReader{balancer: b, client: c, replies: replies, disconnected: disconnected, closedByUs: closedByUs, overflow: overflow{client: c, replies: replies}}
	end := reader.run()
	// After a command that breaks the protocol, or a partial one that is too slow, the earlier commands still get their
	// replies, as long as the client stays connected.
	isUnreadable := end == transport.Malformed || end == transport.TimedOutBeforeSent
	staysConnected := isUnreadable && c.AwaitReplies(1, true) == transport.Open
	if !staysConnected && end != transport.ClosedIdle {
		close(disconnected)
	}
	close(replies)
	<-written
	b.logClosed(c, end)
	if staysConnected {
		c.Linger()
	}
}

// commandReader reads the commands of one client. One goroutine uses it.
type commandReader struct {
	balancer     *Balancer
	client       *transport.Client
	replies      chan<- *pendingReply
	disconnected <-chan struct{}
	closedByUs   *atomic.Bool
	partialSince time.Time // when a partial command was first seen; zero between commands
	discarding   int       // bytes of a rejected command that are still to be read and discarded
	overflow     overflow
}

// run reads until the client's connection ends, and returns how it ended.
func (r *commandReader) run() transport.End {
	for {
		if r.discarding > 0 {
			if end := r.discard(); end != transport.Open {
				return end
			}
			continue
		}
		if end := r.overflow.awaitCapacity(r.balancer); end != transport.Open {
			return end
		}
		r.client.AwaitTurn()
		arguments, length, err := protocol.ParseCommand(r.client.Unread())
		switch {
		case err != nil:
			r.client.BeginReply()
			r.queueReply(protocol.AppendError(nil, "protocol: "+err.Error()))
			return transport.Malformed
		case length == 0:
			if end := r.readMore(); end != transport.Open {
				return end
			}
		default:
			r.partialSince, r.overflow.run = time.Time{}, nil
			if end := r.handle(arguments, length); end != transport.Open {
				return end
			}
		}
	}
}

// readMore reads more bytes when the buffer does not hold a whole command.
func (r *commandReader) readMore() transport.End {
	c := r.client
	if len(c.Unread()) == 0 {
		r.partialSince = time.Time{}
	} else if r.partialSince.IsZero() {
		r.partialSince = time.Now()
	}
	length, isExact := protocol.MinCommandLength(c.Unread())
	end := c.Grow(length)
	if end == transport.Open {
		end = c.Fill(r.partialSince)
	}
	if end != transport.LocalShortage {
		return end
	}
	r.rejectPartial()
	if !isExact {
		return transport.Malformed // Where the next command starts is unknown, as after a command that breaks the protocol.
	}
	r.discarding = length
	return transport.Open
}

// rejectPartial rejects the command that has begun, for which there is no memory. It was not started.
func (r *commandReader) rejectPartial() {
	b := r.balancer
	b.mu.Lock()
	b.counters.increment(counterRejectedMemory)
	b.mu.Unlock()
	r.overflow.reject()
}

// discard reads on to the end of a rejected command, so that the commands behind it are handled.
func (r *commandReader) discard() transport.End {
	c := r.client
	skipped := min(r.discarding, len(c.Unread()))
	c.Skip(skipped)
	if r.discarding -= skipped; r.discarding == 0 {
		r.partialSince = time.Time{}
		return transport.Open
	}
	c.EnlargeEmptyBuffer()
	return c.Fill(r.partialSince)
}

// handle replies to a command, or starts a request. It returns ClientDisconnected if the client of a request has
// disconnected, which happens while the command waits unread for capacity or while the process is stalled.
func (r *commandReader) handle(arguments [][]byte, length int) transport.End {
	verb, err := protocol.ParseRequest(arguments)
	if verb.IsRequest() && r.client.HasEnded() {
		return transport.ClientDisconnected
	}
	r.client.ChargeCommand()
	replyNumber := r.client.BeginReply()
	switch {
	case err != nil:
		r.queueReply(protocol.AppendError(nil, err.Error()))
	case verb.IsRequest():
		r.startRequest(arguments, length, verb == protocol.VerbSet, replyNumber)
		return transport.Open
	default:
		r.answerNonRequest(verb, arguments[0])
	}
	r.client.Skip(length)
	return transport.Open
}

// startRequest takes the next command from the buffer and handles it in a new goroutine, if it is admitted. One that is
// not is answered at once: until then nothing but the client's buffer holds it, however many the client sends.
func (r *commandReader) startRequest(arguments [][]byte, length int, isWrite bool, replyNumber int) {
	c := r.client
	x := r.balancer.newExchange(arguments, isWrite, client{receivedAt: c.ArrivedAt(length),
		repliesBefore: func() int { return c.RepliesBefore(replyNumber) }, repliesOwed: c.RepliesOwed, closedByUs: r.closedByUs,
		onAdmitted: c.CountValidCommand, disconnected: r.disconnected, hasEnded: c.HasEnded, mayHaveEnded: c.MayHaveEnded})
	if rejection := x.admit(); rejection != nil {
		r.queueReply(rejection)
		c.Skip(length)
		return
	}
	c.ChargeRequest()
	command, done := c.Take(length)
	x.arguments, _, _ = protocol.ParseCommand(command) // Cannot fail: the same bytes were parsed in the connection's buffer.
	x.reply = newPendingReply()
	r.replies <- x.reply
	go func() {
		defer done()
		x.run()
	}()
}

// answerNonRequest replies to a command that is not a request.
func (r *commandReader) answerNonRequest(verb protocol.Verb, name []byte) {
	switch {
	case verb != protocol.VerbPing:
		name = name[:min(len(name), maxQuotedCommand)]
		r.queueReply(protocol.AppendError(nil, "unknown command "+strconv.Quote(string(name))))
	case r.balancer.hasListedEndpoints():
		r.client.CountValidCommand()
		r.queueReply(protocol.AppendPong(nil))
	default:
		r.queueReply(protocol.AppendError(nil, "no server is known yet"))
	}
}

// queueReply queues the reply to a command for which BeginReply was called.
func (r *commandReader) queueReply(content []byte) {
	r.replies <- immediateReply(reply{bytes: content})
}

// writeReplies writes the replies to the client in command order, until replies is closed. It sets closedByUs before it closes
// the connection of a client that has not.
func writeReplies(c *transport.Client, replies <-chan *pendingReply, disconnected <-chan struct{}, closedByUs *atomic.Bool) {
	for pending := range replies {
		result := clientClosed
		if r, ok := pending.await(disconnected); ok {
			pending.beginDelivery()
			result = r.writeTo(c)
		}
		if result != delivered {
			closedByUs.Store(closedByUs.Load() || result != clientClosed)
			c.Conn.Close() // The commandReader sees that and cancels what is in flight for the client.
		}
		pending.reportDelivery(result)
		c.EndReply()
	}
}
