package routing

import (
	"bytes"
	"sync"
	"time"

	"hollylever/protocol"
	"hollylever/transport"
)

// rejections is a run of commands of one client that stand one behind the other and are all rejected: their answers take one
// place among the client's and no memory of their own, however many they are.
type rejections struct {
	mu     sync.Mutex
	count  int
	closed bool // its answers are being written: what is rejected from now on belongs to another run
}

// add counts one more command, false where the run is closed.
func (r *rejections) add() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.count++
	}
	return !r.closed
}

// close ends the run and returns how many commands it has.
func (r *rejections) close() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	return r.count
}

// writeTo writes the run's answers in pieces, false where the client does not take them.
func (r *rejections) writeTo(c *transport.Client) bool {
	if r == nil {
		return true
	}
	answer := protocol.AppendDismissed(nil, 0)
	for left := r.close(); left > 0; {
		batch := min(left, pieceOf/len(answer))
		if c.Hand(bytes.Repeat(answer, batch), time.Now().Add(writeFor)) != transport.Open {
			return false
		}
		left -= batch
	}
	return true
}

// surplus rejects what one client sends beyond what its buffer holds while nobody can take it up. Its end has to be seen soon
// after it came, and stands behind all that the client sent before: so all of that is read, and no more of it is kept than fits.
type surplus struct {
	client  *transport.Client
	answers chan<- turn
	run     *rejections // the last one; nil where a command was taken up since
}

// awaitPlace waits until the client may have one more command answered, and rejects the surplus meanwhile.
func (s *surplus) awaitPlace(b *Balancer) transport.End {
	for {
		end := s.client.Await(pipelined, false)
		if end != transport.Surplus {
			return end
		}
		if !s.reject(b) {
			return transport.Open // The buffer holds a part of one command: whoever reads it finds it room or ends the client's reading.
		}
	}
}

// reject rejects the oldest commands in the buffer until half of it is free, false where there is no whole one.
func (s *surplus) reject(b *Balancer) (some bool) {
	for most := len(s.client.Unread()) / 2; len(s.client.Unread()) > most; some = true {
		words, length, err := protocol.Command(s.client.Unread())
		if err != nil || length == 0 {
			break
		}
		b.countSurplus(words)
		s.client.Skip(length)
		if s.run == nil || !s.run.add() {
			s.run = &rejections{count: 1}
			s.client.Begin()
			s.answers <- readyWith(reply{rejected: s.run})
		}
	}
	return some
}

// countSurplus counts a rejected command as sent back, by its class.
func (b *Balancer) countSurplus(words [][]byte) {
	verb, wrong := protocol.ParseRequest(words)
	if !verb.IsRequest() || wrong != nil {
		return
	}
	attributes, err := protocol.ParseAttributes(words[3])
	b.mu.Lock()
	defer b.mu.Unlock()
	if w, known := b.workloads[string(attributes.Workload)]; err == nil && known {
		b.counts[count{"sent_back", w}]++
	} else {
		b.counts[count{"sent_back_wrong", none}]++
	}
}
