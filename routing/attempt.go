package routing

import (
	"errors"
	"io"
	"time"

	"hollylever/protocol"
	"hollylever/tables"
	"hollylever/transport"
)

const (
	// handOverTimeout bounds the time from when an attempt states how long it will be waited for until its last byte is handed over: the
	// protocol allows it to state 150 ms too much. A large value takes longer: it states half of what is left and has the other half.
	handOverTimeout = 100 * time.Millisecond

	nextPieceTimeout      = 250 * time.Millisecond // for the next piece of an answer that has begun
	nextLargePieceTimeout = 3 * time.Second        // for the next piece of a large value
	// crossing: an attempt that begins to be handed over so long after its client went did not cross that.
	crossing = int64(50 * time.Millisecond)
)

var errCut = errors.New("the value breaks off")

// begun is a large value that an attempt has the beginning of: the request takes it for its client, or not.
type begun struct {
	size  int
	value *io.PipeReader
	take  chan bool
}

// attempt sends a request to a server once and waits for how that ends. Careful: so that as little as can be is sent
// of which nobody can tell whether it ran.
func (x *exchange) attempt(line *transport.Line, n news, told chan<- news) {
	until, clean := x.balancer.at(n.until), true
	end := x.unlessGone(n, told)
	if end == transport.Open {
		end = line.Connect(transport.Peer{Server: n.server, Address: n.address}, until)
	}
	if end == transport.Open && x.balancer.leaves(n.server) {
		end = transport.Withdrawn // It was told to go while the connection came up.
	}
	isUnused := false
	if end == transport.Open {
		end = x.unlessGone(n, told)
		isUnused = end != transport.Open
	}
	if end == transport.Open {
		end = x.send(line, until)
	}
	for end == transport.Open {
		if large, from := protocol.Large(line.Unread()); large > 0 {
			n.took = x.balancer.now() - n.at
			line.Skip(from)
			end, clean = x.balancer.pass(line, large, &n, told)
			break
		}
		response := protocol.ParseResponse(line.Unread())
		n.note = int(response.CacheResult)
		if end = response.End; end == transport.Open {
			end = more(line, until)
			continue
		}
		if end == transport.Settled {
			n.answer = protocol.AppendSettled(nil, response.Value)
		}
		n.load = x.balancer.report(response.Report)
		line.Skip(response.Length)
	}
	line.Done(isUnused || clean && end <= transport.TurnedAway)
	n.what, n.end = ended, end
	told <- n
}

// unlessGone is Open, or Withdrawn where the client has gone by now: nothing may be sent for it.
func (x *exchange) unlessGone(n news, told chan<- news) transport.End {
	if !x.caller.hasGone() {
		return transport.Open
	}
	b := x.balancer
	b.mu.Lock()
	b.counts[count{countWithheld, none}]++
	b.mu.Unlock()
	n.what = clientGone
	told <- n
	return transport.Withdrawn
}

// send writes the request to a server's connection: Open once its last byte was handed over.
func (x *exchange) send(line *transport.Line, until time.Time) transport.End {
	b := x.balancer
	begun := b.now()
	left := time.Until(until)
	told, handedBy := left, earliest(until, time.Now().Add(handOverTimeout))
	if protocol.IsLarge(x.words) {
		told = left / 2
		handedBy = until.Add(-told)
	}
	message, follows := protocol.AppendRetrieval(nil, x.words, int64(told))
	if follows != nil {
		if end := line.Begin(message, handedBy); end != transport.Open {
			return end
		}
		message = follows
	}
	var end transport.End
	if b.oneShot[x.class] {
		end = line.HandCarefully(message, handedBy, x.caller.hasGone)
	} else {
		end = line.Hand(message, handedBy)
	}
	if end == transport.Open {
		b.mu.Lock()
		b.counts[count{"handed", none}]++
		if left := b.slots[x.index].left; left > 0 && begun > left+crossing {
			b.counts[count{"sent_after_left", none}]++ // None is wanted.
		}
		b.mu.Unlock()
	}
	return end
}

func earliest(one, other time.Time) time.Time {
	if one.Before(other) {
		return one
	}
	return other
}

// more reads the next piece of an answer. Guards against an answer that begins and does not end.
func more(line *transport.Line, until time.Time) transport.End {
	begun := len(line.Unread()) > 0
	if begun && time.Until(until) > nextPieceTimeout {
		until = time.Now().Add(nextPieceTimeout)
	}
	end := line.Fill(until)
	if end == transport.Silent && begun {
		return transport.Garbled
	}
	return end
}

// pass hands a large value on as it comes, so that little of it is ever here, and reads what stands behind it. It says
// how that ended, and whether the connection is clean.
func (b *Balancer) pass(line *transport.Line, size int, n *news, told chan<- news) (end transport.End, clean bool) {
	value, into := io.Pipe()
	n.begun = &begun{size, value, make(chan bool, 1)}
	n.what = begins
	told <- *n
	if !<-n.begun.take {
		return transport.CalledOff, false
	}
	defer into.CloseWithError(errCut) // No more than a second Close where it is whole.
	for ended := 0; ended < len("\r\n"); {
		if line.Widen(); len(line.Unread()) == 0 {
			if end = line.Fill(time.Now().Add(nextLargePieceTimeout)); end != transport.Open {
				return end, false
			}
		}
		came := line.Unread()
		if size > 0 {
			came = came[:min(size, len(came))]
			if _, err := into.Write(came); err != nil {
				line.Cut() // Nobody reads it any more.
				return transport.CalledOff, false
			}
			size -= len(came)
			line.Skip(len(came))
			continue
		}
		// Guards the client against a value that is not as long as was said: it must be able to tell.
		if came[0] != "\r\n"[ended] {
			return transport.Garbled, false
		}
		ended++
		line.Skip(1)
	}
	_, _ = into.Write([]byte("\r\n")) // The reader may have gone: its client left.
	_ = into.Close()
	return b.passRest(line, n)
}

// passRest reads what stands behind a large value: the value was whole, whatever comes of it.
func (b *Balancer) passRest(line *transport.Line, n *news) (end transport.End, clean bool) {
	for until := time.Now().Add(nextPieceTimeout); ; { // In all: a rest that trickles in must not keep the request's place.
		rest := protocol.ParseResponseTail(line.Unread())
		if rest.End == transport.Settled {
			n.note, n.load = int(rest.CacheResult), b.report(rest.Report)
			line.Skip(rest.Length)
			return transport.Settled, true
		}
		if rest.End != transport.Open || line.Fill(until) != transport.Open {
			return transport.Settled, false
		}
	}
}

// report reads a server's load report, nil if there is none.
func (b *Balancer) report(text []byte) []float64 {
	if load := make([]float64, len(b.fields)); tables.Report(text, "=", b.fields, load) {
		return load
	}
	return nil
}
