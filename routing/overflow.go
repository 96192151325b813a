package routing

import (
	"bytes"
	"sync"
	"time"

	"hollylever/protocol"
	"hollylever/transport"
)

// rejectionRun is a run of commands of one client that stand one behind the other and are all rejected: their answers
// take one place among the client's and no memory of their own, however many they are.
type rejectionRun struct {
	mu       sync.Mutex
	count    int
	isClosed bool // its answers are being written: what is rejected from now on belongs to another run
}

// add counts one more command, false where the run is closed.
func (r *rejectionRun) add() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isClosed {
		r.count++
	}
	return !r.isClosed
}

// close ends the run and returns how many commands it has.
func (r *rejectionRun) close() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isClosed = true
	return r.count
}

// writeTo writes the run's answers in pieces, false where the client does not take them.
func (r *rejectionRun) writeTo(c *transport.Client) bool {
	if r == nil {
		return true
	}
	answer := protocol.AppendRejected(nil, 0)
	for left := r.close(); left > 0; {
		batch := min(left, pieceSize/len(answer))
		if c.Send(bytes.Repeat(answer, batch), time.Now().Add(writeTimeout)) != transport.Open {
			return false
		}
		left -= batch
	}
	return true
}

// overflow rejects what one client sends beyond what its buffer holds while maxPipelined commands are in flight. Its
// disconnect has to be seen soon after it came, and stands behind all that the client sent before: so all of that is
// read, and no more of it is kept than fits.
type overflow struct {
	client  *transport.Client
	replies chan<- pendingReply
	run     *rejectionRun // the last one; nil where a command was accepted since
}

// awaitCapacity waits until one more command of the client may be handled, and rejects what overflows the buffer
// meanwhile.
func (o *overflow) awaitCapacity(b *Balancer) transport.End {
	for {
		end := o.client.AwaitReplies(maxPipelined, false)
		if end != transport.Overfull {
			return end
		}
		if !o.reject(b) {
			// The buffer holds a part of one command: the reader finds memory for it, or stops reading.
			return transport.Open
		}
	}
}

// reject rejects the oldest commands in the buffer until half of it is free, false where there is no whole one.
func (o *overflow) reject(b *Balancer) (isAnyRejected bool) {
	for target := len(o.client.Unread()) / 2; len(o.client.Unread()) > target; isAnyRejected = true {
		arguments, length, err := protocol.ParseCommand(o.client.Unread())
		if err != nil || length == 0 {
			break
		}
		b.countOverflow(arguments)
		o.client.Skip(length)
		if o.run == nil || !o.run.add() {
			o.run = &rejectionRun{count: 1}
			o.client.BeginReply()
			o.replies <- immediateReply(reply{rejected: o.run})
		}
	}
	return isAnyRejected
}

// countOverflow counts a rejected command as not admitted, by its workload.
func (b *Balancer) countOverflow(arguments [][]byte) {
	verb, err := protocol.ParseRequest(arguments)
	if !verb.IsRequest() || err != nil {
		return
	}
	attributes, err := protocol.ParseAttributes(arguments[3])
	b.mu.Lock()
	defer b.mu.Unlock()
	if workload, isKnown := b.catalog.workloads[string(attributes.Workload)]; err == nil && isKnown {
		b.counters.incrementFor(counterNotAdmitted, workload)
	} else {
		b.counters.increment(counterMalformed)
	}
}
