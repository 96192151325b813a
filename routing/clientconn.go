package routing

import (
	"strconv"
	"time"

	"hollylever/protocol"
	"hollylever/transport"
)

const (
	// maxPipelined is how many commands of one client are handled side by side.
	maxPipelined = 64

	// extraReplies is how many replies stand beside these: one for a run of rejections, one for the last error to a
	// client that is not read any further.
	extraReplies = 2

	// maxQuotedCommand in bytes bounds what the error for an unknown command repeats of it.
	maxQuotedCommand = 32
)

// Serve serves one client until its connection ends. It reads on while requests are in flight, so that the client's
// disconnect is seen.
func (b *Balancer) Serve(c *transport.Client) {
	disconnected, written := make(chan struct{}), make(chan struct{})
	replies := make(chan pendingReply, maxPipelined+extraReplies)
	go func() {
		defer close(written)
		writeReplies(c, replies, disconnected)
	}()
	reader := commandReader{balancer: b, client: c, replies: replies, disconnected: disconnected, overflow: overflow{client: c, replies: replies}}
	end := reader.run()
	// After a part of a command that breaks the protocol or is too slow: the commands before it get their answers, as
	// long as the client stays.
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
	replies      chan<- pendingReply
	disconnected <-chan struct{}
	partSince    time.Time // when a part of a command was first seen; zero between commands
	overflow     overflow
}

// run reads until the client's connection ends, and returns how it did.
func (r *commandReader) run() transport.End {
	for {
		if end := r.overflow.awaitCapacity(r.balancer); end != transport.Open {
			return end
		}
		arguments, length, err := protocol.ParseCommand(r.client.Unread())
		switch {
		case err != nil:
			r.client.BeginReply()
			r.answer(protocol.AppendError(nil, "protocol: "+err.Error()))
			return transport.Malformed
		case length == 0:
			if end := r.readMore(); end != transport.Open {
				return end
			}
		default:
			r.partSince, r.overflow.run = time.Time{}, nil
			if end := r.handle(arguments, length); end != transport.Open {
				return end
			}
		}
	}
}

// readMore reads the next bytes where no whole command has come.
func (r *commandReader) readMore() transport.End {
	c := r.client
	if len(c.Unread()) == 0 {
		r.partSince = time.Time{}
	} else if r.partSince.IsZero() {
		r.partSince = time.Now()
	}
	if c.Grow(protocol.MinCommandLength(c.Unread())) == transport.LocalShortage {
		c.BeginReply()
		// It was never begun, and cannot be read any further: as after a command that breaks the protocol.
		r.answer(protocol.AppendRejected(nil, 0))
		return transport.Malformed
	}
	return c.Fill(r.partSince)
}

// handle answers a command, or starts a request. It is ClientDisconnected where the client of a request has gone: what
// waited unread, for capacity or while the process was held up, has no client any more.
func (r *commandReader) handle(arguments [][]byte, length int) transport.End {
	verb, err := protocol.ParseRequest(arguments)
	if verb.IsRequest() && r.client.HasEnded() {
		return transport.ClientDisconnected
	}
	r.client.BeginReply()
	switch {
	case err != nil:
		r.answer(protocol.AppendError(nil, err.Error()))
	case verb.IsRequest():
		r.startRequest(length, verb == protocol.VerbSet)
		return transport.Open
	default:
		r.answerOther(verb, arguments[0])
	}
	r.client.Skip(length)
	return transport.Open
}

// startRequest hands the command that is read next to a goroutine of its own.
func (r *commandReader) startRequest(length int, isWrite bool) {
	c := r.client
	receivedAt := c.ArrivedAt(length)
	command, done := c.Take(length)
	arguments, _, _ := protocol.ParseCommand(command) // It has been read before, in the connection's buffer.
	reply := newPendingReply()
	r.replies <- reply
	go func() {
		defer done()
		r.balancer.handleRequest(arguments, isWrite, reply,
			client{receivedAt: receivedAt, onAdmitted: c.CountValidCommand, disconnected: r.disconnected, hasEnded: c.HasEnded})
	}()
}

// answerOther answers a command that is no request.
func (r *commandReader) answerOther(verb protocol.Verb, name []byte) {
	switch {
	case verb != protocol.VerbPing:
		name = name[:min(len(name), maxQuotedCommand)]
		r.answer(protocol.AppendError(nil, "unknown command "+strconv.Quote(string(name))))
	case r.balancer.hasListedEndpoints():
		r.client.CountValidCommand()
		r.answer(protocol.AppendPong(nil))
	default:
		r.answer(protocol.AppendError(nil, "no server is known yet"))
	}
}

// answer gives a command that has begun its answer at once.
func (r *commandReader) answer(answer []byte) {
	r.replies <- immediateReply(reply{bytes: answer})
}

// writeReplies gives the client its answers in the order of its commands, until there are no more.
func writeReplies(c *transport.Client, replies <-chan pendingReply, disconnected <-chan struct{}) {
	for pending := range replies {
		result := clientClosed
		if answer, isThere := pending.await(disconnected); isThere {
			result = answer.writeTo(c)
		}
		if result != delivered {
			c.Conn.Close() // Its reader sees that and ends all that is in flight for the client.
		}
		pending.delivery <- result
		c.EndReply()
	}
}
