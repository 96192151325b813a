package routing

import (
	"time"

	"hollylever/choice"
	"hollylever/protocol"
	"hollylever/transport"
)

// retrieve is the life of a retrieval, from its words at the door over its trips to its one final answer, and on
// until its last trip has ended. left is closed when its client goes away.
func (b *Balancer) retrieve(words [][]byte, write bool, answer chan<- []byte, left <-chan struct{}) {
	workload, tenant, patience, predicted, err := protocol.Fields(words[3])
	if err != nil {
		answer <- protocol.AppendWrong(nil, err.Error())
		return
	}
	size := int64(0)
	for _, word := range words {
		size += int64(len(word))
	}

	b.mu.Lock()
	w, known := b.workloads[string(workload)]
	t, stated := b.tenants[string(tenant)]
	if !stated {
		t = -1
	}
	full := len(b.slots)-len(b.free) >= b.mostHeld || b.heap+size > b.mostHeap
	if !known || full {
		b.mu.Unlock()
		if !known {
			answer <- protocol.AppendWrong(nil, "unknown workload")
		} else {
			answer <- protocol.AppendDismissed(nil, 0) // Guards memory; it was never begun.
		}
		return
	}
	b.heap += size
	b.counts["retrievals"]++
	i, told := b.take()
	b.module.Asked(b.now(), i, patience, w, t, protocol.Key(words[1]), true, write, predicted)
	b.mu.Unlock()

	var lines []*transport.Line
	out := 0
	for answered := false; !answered || out > 0; {
		select {
		case <-left:
			left, answered = nil, true
			b.mu.Lock()
			if !b.slots[i].final {
				b.slots[i].final = true
				b.counts["left"]++
				b.module.Aborted(b.now(), i)
			}
			b.mu.Unlock()
		case n := <-told:
			var final []byte
			switch n.what {
			case send:
				line := b.pool.Line()
				lines = append(lines, line)
				out++
				go b.trip(line, words, n, told)
			case callOff:
				lines[n.trip].Cut()
			case dismiss:
				final = protocol.AppendDismissed(nil, n.until)
			case giveUp:
				final = protocol.AppendGivenUp(nil)
			case ended:
				out--
				if b.ended(i, n) {
					final = n.answer
				}
			}
			if final != nil && !answered {
				for _, line := range lines {
					line.Withdraw() // Nothing is sent for it from now on.
				}
				answer <- final
				answered = true
			}
		}
	}

	b.mu.Lock()
	b.heap -= size
	b.slots[i].told = nil
	b.free = append(b.free, i)
	b.mu.Unlock()
}

// ended tells the module how a trip ended, and whether that was the retrieval's final answer.
func (b *Balancer) ended(i int, n news) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, how := b.now(), outcomes[n.end]
	settles := how == choice.OK && !b.slots[i].final
	if settles {
		b.slots[i].final = true
		b.counts["settled"]++
	}
	b.counts[n.end.String()]++
	b.module.Ended(now, i, n.trip, n.server, n.note, how, now-n.at, b.slots[i].final)
	return settles
}

// trip sends a retrieval to a server once and waits for how that ends.
func (b *Balancer) trip(line *transport.Line, words [][]byte, n news, told chan<- news) {
	b.mu.Lock()
	address := b.servers[n.server].address
	b.mu.Unlock()
	until := b.at(n.until)
	end := line.Connect(address, until)
	if end == transport.Open {
		end = line.Hand(protocol.AppendRetrieval(nil, words, int64(time.Until(until))), until)
	}
	for end == transport.Open {
		var value []byte
		var length int
		if end, value, n.note, length = protocol.Answer(line.Unread()); end == transport.Open {
			end = line.Fill(until)
			continue
		}
		if end == transport.Settled {
			n.answer = protocol.AppendSettled(nil, value)
		}
		line.Skip(length)
	}
	line.Done(end <= transport.TurnedAway)
	n.what, n.end = ended, end
	told <- n
}
