package routing

import (
	"time"

	"hollylever/policy"
	"hollylever/protocol"
)

const answerReserveTime = int64(5 * time.Millisecond) // at most, for a final answer's way to its client

// admit takes a request up: it gets a slot and the module is asked. A request that can't be taken up has its final answer at once.
func (x *exchange) admit() (told chan news, isAdmitted bool) {
	attributes, err := protocol.ParseAttributes(x.words[3])
	if err != nil {
		x.turn.answer <- reply{bytes: protocol.AppendWrong(nil, err.Error())}
		return nil, false
	}
	for _, word := range x.words {
		x.size += int64(len(word))
	}
	patience := attributes.TimeoutNanos
	x.record.patience = time.Duration(patience)
	x.record.waited = time.Since(x.caller.received)
	patience = max(0, patience-int64(x.record.waited))
	b := x.balancer
	b.mu.Lock()
	w, known := b.workloads[string(attributes.Workload)]
	x.class, x.id = w, string(x.words[2])
	full := b.held.Out() >= b.mostHeld || b.decides != nil && b.held.Out() >= b.mostOpen || b.heap+x.size > b.mostHeap
	stops := false
	if ends := b.ends.Load(); ends > 0 && known {
		// Guards a stop against clients that go on asking on connections on which something is out: these have to come to an end.
		most := ends - b.now()
		stops = most < min(patience, b.expected[w])
		patience = min(patience, most)
	}
	if isTwice := b.open[x.id]; !known || isTwice || full || stops {
		answer := b.refuse(w, known, isTwice, full)
		b.mu.Unlock()
		x.turn.answer <- reply{bytes: answer}
		return nil, false
	}
	owner, stated := b.tenants[string(attributes.Tenant)]
	if !stated {
		owner = -1
	}
	b.open[x.id] = true
	b.heap += x.size
	b.counts[count{"retrievals", none}]++
	x.index, told = b.take()
	b.slots[x.index].ends = b.now() + patience - min(answerReserveTime, patience/64) + b.drift
	b.deciding()
	b.module.HandleRequest(b.now(), x.index, policy.RequestInfo{Remaining: patience, Class: w, Tenant: owner, Key: protocol.Key(x.words[1]), HasKey: true, IsWrite: x.write, PredictedWork: attributes.PredictedNanos})
	b.mu.Unlock()
	return told, true
}

// refuse counts a request that is not taken up and gives its answer; under the lock.
func (b *Balancer) refuse(class int, isKnown, isTwice, isFull bool) []byte {
	switch {
	case !isKnown:
		b.counts[count{"sent_back_wrong", none}]++
		return protocol.AppendWrong(nil, "unknown workload")
	case isTwice: // Guards the one that is out: a server takes this for the same and could answer either.
		b.counts[count{"sent_back_wrong", class}]++
		return protocol.AppendWrong(nil, "a retrieval of this id is open")
	case isFull: // Guards memory; it was never begun.
		b.counts[count{rejectedForMemory, none}]++
	default:
		b.counts[count{rejectedForStop, none}]++
	}
	b.counts[count{"sent_back", class}]++
	return protocol.AppendDismissed(nil, 0)
}
