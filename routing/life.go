package routing

import (
	"time"

	"hollylever/choice"
	"hollylever/protocol"
	"hollylever/tables"
	"hollylever/transport"
)

const tailFor = 100 * time.Millisecond // how long the rest of an answer may take once more of it has come

// retrieve is the life of a retrieval, from its words at the door over its trips to its one final answer, and on
// until its last trip has ended. good is called once it is begun, left is closed when its client goes away.
func (b *Balancer) retrieve(words [][]byte, write bool, t turn, good func(), left <-chan struct{}) {
	workload, tenant, patience, predicted, err := protocol.Fields(words[3])
	if err != nil {
		t.answer <- protocol.AppendWrong(nil, err.Error())
		return
	}
	size := int64(0)
	for _, word := range words {
		size += int64(len(word))
	}

	b.mu.Lock()
	w, known := b.workloads[string(workload)]
	owner, stated := b.tenants[string(tenant)]
	if !stated {
		owner = -1
	}
	id := string(words[2])
	full := b.held.Out() >= b.mostHeld || b.heap+size > b.mostHeap
	if !known || b.open[id] || full {
		twice := b.open[id]
		switch {
		case !known:
			b.counts[count{"sent_back_wrong", none}]++
		case twice:
			b.counts[count{"sent_back_wrong", w}]++
		default:
			b.counts[count{"sent_back", w}]++
		}
		b.mu.Unlock()
		switch {
		case !known:
			t.answer <- protocol.AppendWrong(nil, "unknown workload")
		case twice: // Guards the one that is out: a host takes this for the same and could answer either.
			t.answer <- protocol.AppendWrong(nil, "a retrieval of this id is open")
		default:
			t.answer <- protocol.AppendDismissed(nil, 0) // Guards memory; it was never begun.
		}
		return
	}
	b.open[id] = true
	b.heap += size
	b.counts[count{"retrievals", none}]++
	i, told := b.take()
	b.module.Asked(b.now(), i, patience, w, owner, protocol.Key(words[1]), true, write, predicted)
	b.mu.Unlock()
	good()

	var lines []*transport.Line
	over := 0 // trips that have ended
	for answered := false; !answered || over < b.trips(i); {
		select {
		case <-left:
			left, answered = nil, true
			b.mu.Lock()
			delete(b.open, id)
			if !b.slots[i].final {
				b.slots[i].final = true
				b.counts[count{"left", none}]++
				b.module.Aborted(b.now(), i)
			}
			b.mu.Unlock()
			for _, line := range lines {
				line.Withdraw()
			}
		case n := <-told:
			var final []byte
			how := ""
			switch n.what {
			case send:
				line := b.pool.Line()
				lines = append(lines, line)
				if answered {
					line.Cut() // Its client went away between the decision and this.
				}
				go b.trip(line, words, b.oneShot[w], n, told)
			case callOff:
				lines[n.trip].Cut()
			case dismiss:
				final, how = protocol.AppendDismissed(nil, n.until), "dismissed"
			case giveUp:
				final, how = protocol.AppendGivenUp(nil), "given_up"
			case ended:
				over++
				b.mu.Lock()
				now, outcome := b.now(), outcomes[n.end]
				if outcome == choice.OK && !b.slots[i].final {
					b.slots[i].final = true
					final, how = n.answer, "settled"
					size += int64(len(final))
					b.heap += int64(len(final))
				} else if outcome != choice.OK {
					b.counts[count{"trip_" + n.end.String(), none}]++
				}
				if n.load != nil {
					b.module.Reported(now, n.server, n.load)
				}
				b.module.Ended(now, i, n.trip, n.server, n.note, outcome, now-n.at, b.slots[i].final)
				b.mu.Unlock()
			}
			if final != nil && !answered {
				for _, line := range lines {
					line.Withdraw() // Nothing is sent for it from now on.
				}
				b.mu.Lock()
				delete(b.open, id)
				b.counts[count{how, w}]++
				b.mu.Unlock()
				t.answer <- final
				answered = true
			}
		}
	}

	<-t.written // Until then its answer takes memory.
	b.mu.Lock()
	b.heap -= size
	for _, s := range b.slots[i].at {
		if b.servers[s].trips--; b.servers[s].trips == 0 && b.servers[s].health == choice.Gone {
			b.forget(s)
		}
	}
	b.slots[i] = slot{}
	b.held.Give(i)
	b.mu.Unlock()
}

// trips is how many trips the module has decided on for a retrieval.
func (b *Balancer) trips(i int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.slots[i].at)
}

// trip sends a retrieval to a server once and waits for how that ends. Careful: so that as little as can be is sent
// of which nobody can tell whether it ran.
func (b *Balancer) trip(line *transport.Line, words [][]byte, careful bool, n news, told chan<- news) {
	until := b.at(n.until)
	end := line.Connect(transport.Peer{Server: n.server, Address: n.address}, until)
	if end == transport.Open {
		message := protocol.AppendRetrieval(nil, words, int64(time.Until(until)))
		if careful {
			end = line.HandCarefully(message, until)
		} else {
			end = line.Hand(message, until)
		}
		if end == transport.Open {
			b.mu.Lock()
			b.counts[count{"handed", none}]++
			b.mu.Unlock()
		}
	}
	for end == transport.Open {
		var value, report []byte
		var length int
		if end, value, report, n.note, length = protocol.Answer(line.Unread()); end == transport.Open {
			begun := len(line.Unread()) > 0
			if begun && until.Sub(time.Now()) > tailFor {
				until = time.Now().Add(tailFor) // Guards against an answer that begins and does not end.
			}
			if end = line.Fill(until); end == transport.Silent && begun {
				end = transport.Garbled
			}
			continue
		}
		if end == transport.Settled {
			n.answer = protocol.AppendSettled(nil, value)
		}
		if load := make([]float64, len(b.fields)); tables.Report(report, "=", b.fields, load) {
			n.load = load
		}
		line.Skip(length)
	}
	line.Done(end <= transport.TurnedAway)
	n.what, n.end = ended, end
	told <- n
}
