package routing

import (
	"bytes"
	"sync"

	"hollylever/protocol"
	"hollylever/transport"
)

// rejectionRun is a run of consecutive commands of one client that are all rejected. Their replies share one pending
// reply and take no further memory, however many they are.
type rejectionRun struct {
	mu       sync.Mutex
	count    int
	isClosed bool // its replies are being written: later rejections belong to another run
}

// add counts one more command. It returns false if the run is closed.
func (r *rejectionRun) add() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isClosed {
		r.count++
	}
	return !r.isClosed
}

// close closes the run and returns how many commands it has.
func (r *rejectionRun) close() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isClosed = true
	return r.count
}

// writeTo writes the run's replies in batches. It returns Open once all are written.
func (r *rejectionRun) writeTo(c *transport.Client) transport.End {
	if r == nil {
		return transport.Open
	}
	answer := protocol.AppendRejected(nil, 0)
	for remaining := r.close(); remaining > 0; {
		batch := min(remaining, maxPieceSize/len(answer))
		if end := writePart(c, bytes.Repeat(answer, batch)); end != transport.Open {
			return end
		}
		remaining -= batch
	}
	return transport.Open
}

// overflow rejects the commands that one client sends beyond the capacity of its buffer while maxPipelined commands are
// in flight. A disconnect has to be detected soon, but is read only after all that the client sent before it. So
// everything is read, and no more of it is kept than fits into the buffer. commandReader uses it for commands without
// memory too.
type overflow struct {
	client  *transport.Client
	replies chan<- *pendingReply
	run     *rejectionRun // the most recent one; nil if a command was accepted since
}

// awaitCapacity waits until one more command of the client may be handled. It rejects the commands that overflow the
// buffer in the meantime.
func (o *overflow) awaitCapacity(b *Balancer) transport.End {
	for {
		end := o.client.AwaitReplies(maxPipelined, false)
		if end != transport.Overfull {
			return end
		}
		if !o.rejectOldest(b) {
			// The buffer holds a partial command: commandReader grows the buffer for it, or stops reading.
			return transport.Open
		}
	}
}

// rejectOldest rejects the oldest commands in the buffer until half of its content is consumed. It returns false if the buffer
// holds no whole command.
func (o *overflow) rejectOldest(b *Balancer) (isAnyRejected bool) {
	for target := len(o.client.Unread()) / 2; len(o.client.Unread()) > target; isAnyRejected = true {
		o.client.AwaitTurn()
		arguments, length, err := protocol.ParseCommand(o.client.Unread())
		if err != nil || length == 0 {
			break
		}
		o.client.ChargeCommand()
		b.countRejectedCommand(arguments)
		o.client.Skip(length)
		o.reject()
	}
	return isAnyRejected
}

// reject queues the rejection of one more command.
func (o *overflow) reject() {
	if o.run == nil || !o.run.add() {
		o.run = &rejectionRun{count: 1}
		o.client.BeginReply()
		o.replies <- immediateReply(reply{rejected: o.run})
	}
}

// countRejectedCommand counts a rejected command as not admitted, under its workload.
func (b *Balancer) countRejectedCommand(arguments [][]byte) {
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
