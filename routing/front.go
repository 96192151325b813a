package routing

import (
	"errors"
	"io"
	"strconv"
	"time"

	"hollylever/protocol"
	"hollylever/transport"
)

const (
	pipelined = 64               // commands of one client that are answered side by side
	writeFor  = 10 * time.Second // how long a client may take to read an answer, or a piece of a large one
	pieceOf   = 16 << 10
)

// turn is the place of a command among its client's: the answer when it is there, and, once nothing more is done for it, what became
// of that.
type turn struct {
	answer  chan reply
	written chan delivery
}

func newTurn() turn { return turn{make(chan reply, 1), make(chan delivery, 1)} }

// delivery is what became of an answer.
type delivery int

const (
	delivered   delivery = iota
	clientBroke          // the client ended the connection, or there was no answer as it had gone
	notTakenUp           // it did not read for too long
	valueBroke           // a large value could not be passed on to its end
)

// reply is what a client is sent: bytes, and behind them perhaps a large value as it comes. Or it is the answers to a run of
// rejected commands.
type reply struct {
	bytes    []byte
	value    *io.PipeReader
	rejected *rejections
}

// Serve serves one client until it goes away. It reads on while retrievals are out, so that its going is seen.
func (b *Balancer) Serve(c *transport.Client) {
	left, written := make(chan struct{}), make(chan struct{})
	answers := make(chan turn, pipelined+2) // One for a run of rejections, one for the last word to a client that is not read any further.
	go func() {
		defer close(written)
		b.write(c, answers, left)
	}()
	end := b.commands(c, answers, left)
	// Garbled or Stuck, half-way through a command: what came whole before is owed its answer, as long as the client stays.
	unread := end == transport.Garbled || end == transport.Stuck
	stays := unread && c.Await(1, true) == transport.Open
	if !stays && end != transport.Spared {
		close(left)
	}
	close(answers)
	<-written
	b.logClosed(c, end)
	if stays {
		c.Linger()
	}
}

// commands reads until the client's connection ends, and says how.
func (b *Balancer) commands(c *transport.Client, answers chan<- turn, left <-chan struct{}) transport.End {
	var begun time.Time // Since when a command has begun to come, zero between commands.
	surplus := surplus{client: c, answers: answers}
	for {
		if end := surplus.awaitPlace(b); end != transport.Open {
			return end
		}
		words, length, err := protocol.Command(c.Unread())
		if err != nil {
			c.Begin()
			answers <- ready(protocol.AppendWrong(nil, "protocol: "+err.Error()))
			return transport.Garbled
		}
		if length == 0 {
			if len(c.Unread()) == 0 {
				begun = time.Time{}
			} else if begun.IsZero() {
				begun = time.Now()
			}
			if c.Grow(protocol.Needs(c.Unread())) == transport.NoRoom {
				c.Begin()
				answers <- ready(protocol.AppendDismissed(nil, 0)) // It was never begun, and can't be read any further.
				return transport.Garbled
			}
			if end := c.Fill(begun); end != transport.Open {
				return end
			}
			continue
		}
		begun, surplus.run = time.Time{}, nil
		verb, wrong := protocol.ParseRequest(words)
		if verb.IsRequest() && c.HasEnded() {
			return transport.Left // What waited unread, for room or while the process stood still, has no client any more.
		}
		c.Begin()
		switch {
		case wrong != nil:
			answers <- ready(protocol.AppendWrong(nil, wrong.Error()))
		case verb.IsRequest():
			received := c.ArrivedAt(length)
			taken, done := c.Take(length)
			own, _, _ := protocol.Command(taken)
			t := newTurn()
			answers <- t
			go func() {
				defer done()
				b.retrieve(own, verb == protocol.VerbSet, t, caller{received: received, good: c.Good, left: left, gone: c.HasEnded})
			}()
			continue
		case verb == protocol.VerbPing && b.knowsAny():
			c.Good()
			answers <- ready(protocol.AppendPong(nil))
		case verb == protocol.VerbPing:
			answers <- ready(protocol.AppendWrong(nil, "no server is known yet"))
		default:
			name := words[0][:min(len(words[0]), 32)]
			answers <- ready(protocol.AppendWrong(nil, "unknown command "+strconv.Quote(string(name))))
		}
		c.Skip(length)
	}
}

// ready is the turn of a command that has its answer at once.
func ready(answer []byte) turn { return readyWith(reply{bytes: answer}) }

func readyWith(answer reply) turn {
	t := newTurn()
	t.answer <- answer
	return t
}

// write gives the client its answers in the order of its commands.
func (b *Balancer) write(c *transport.Client, answers <-chan turn, left <-chan struct{}) {
	for t := range answers {
		var message reply
		there := true
		select {
		case message = <-t.answer:
		case <-left:
			select {
			case message = <-t.answer: // The client may only have ended its sending.
			default:
				there = false // Nor may it get any further one, which it would take for this.
			}
		}
		how := clientBroke
		if there {
			how = deliver(c, message)
		}
		if how != delivered {
			c.Conn.Close() // The reader sees it and tells all that is out.
		}
		t.written <- how
		c.End()
	}
}

// deliver writes one answer.
func deliver(c *transport.Client, message reply) delivery {
	switch end := c.Hand(message.bytes, time.Now().Add(writeFor)); {
	case end == transport.Stuck:
		return notTakenUp
	case end != transport.Open:
		return clientBroke
	case !passOn(c, message.value):
		return valueBroke
	case !message.rejected.writeTo(c):
		return clientBroke
	}
	return delivered
}

// passOn gives the client a large value as it comes, and says whether all of it went out.
func passOn(c *transport.Client, value *io.PipeReader) bool {
	if value == nil {
		return true
	}
	defer func() { _ = value.Close() }() // Whoever writes into it hears that nobody reads any more.
	for piece := make([]byte, pieceOf); ; {
		n, err := value.Read(piece)
		if n > 0 && c.Hand(piece[:n], time.Now().Add(writeFor)) != transport.Open {
			return false
		}
		if err != nil {
			return errors.Is(err, io.EOF)
		}
	}
}

func (b *Balancer) knowsAny() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.once) > 0
}
