package routing

import (
	"time"

	"hollylever/policy"
	"hollylever/protocol"
	"hollylever/transport"
)

// caller is the client of a request, as far as the request has to do with it.
type caller struct {
	received time.Time       // when the request's last byte arrived at this machine; its time counts from then
	good     func()          // called once the request is taken up
	left     <-chan struct{} // closed when the client goes away; nil: it never does
	gone     func() bool     // looks at the connection itself; nil: there is none to look at
}

// hasGone tells whether the client has gone by now, also where nobody has read its end yet. Both its end and what has an attempt sent
// may have become due while the process was held up, and then come in any order.
func (c caller) hasGone() bool { return c.gone != nil && c.gone() }

// exchange is the life of one request: from its words over its attempts to its one final answer, and on until its last attempt has
// ended. One goroutine runs it; all that it is told comes over one channel.
type exchange struct {
	balancer *Balancer
	words    [][]byte
	write    bool
	turn     turn
	caller   caller

	id         string
	class      int
	index      int   // of its slot
	size       int64 // what it takes of the memory for requests
	lines      []*transport.Line
	over       int // attempts that have ended
	isAnswered bool
	hasLeft    bool   // its client
	large      *begun // the large value that its client is being given
	record     requestRecord
}

// retrieve runs a request to its end.
func (b *Balancer) retrieve(words [][]byte, write bool, t turn, from caller) {
	x := &exchange{balancer: b, words: words, write: write, turn: t, caller: from}
	told, isAdmitted := x.admit()
	if !isAdmitted {
		return
	}
	from.good()
	for left := from.left; !x.isAnswered || x.over < x.decided(); {
		if x.hasLeft {
			left = nil
		}
		select {
		case <-left:
			x.clientLeft()
		case n := <-told:
			x.handle(n, told)
		}
	}
	how := <-t.written // Until then its answer takes memory.
	x.record.written = time.Since(x.caller.received)
	x.logEnd(how)
	x.release()
}

// decided is how many attempts the module has decided on.
func (x *exchange) decided() int {
	x.balancer.mu.Lock()
	defer x.balancer.mu.Unlock()
	return len(x.balancer.slots[x.index].at)
}

// clientLeft ends what is under way for a client that has gone, once.
func (x *exchange) clientLeft() {
	if x.hasLeft {
		return
	}
	x.hasLeft = true
	b := x.balancer
	if !x.isAnswered {
		x.record.how = "left"
	}
	x.isAnswered = true
	b.mu.Lock()
	delete(b.open, x.id)
	if slot := &b.slots[x.index]; !slot.final {
		slot.final = true
		b.counts[count{"left", none}]++
		if x.over == len(x.lines) {
			b.counts[count{"left_waiting", none}]++
		}
		b.module.HandleClientCancelled(b.now(), x.index)
	}
	b.slots[x.index].left = b.now()
	b.mu.Unlock()
	x.withdraw()
	if x.large != nil {
		_ = x.large.value.Close()
	}
}

// withdraw calls off what has not been handed over.
func (x *exchange) withdraw() {
	for _, line := range x.lines {
		line.Withdraw()
	}
}

// handle does what the module decided, or takes in how an attempt went.
func (x *exchange) handle(n news, told chan news) {
	switch n.what {
	case send:
		line := x.balancer.pool.Line()
		x.lines = append(x.lines, line)
		x.record.attempts = append(x.record.attempts, attemptRecord{server: n.name, sent: time.Since(x.caller.received)})
		if x.isAnswered {
			line.Cut() // Its client went away between the decision and this.
		}
		go x.attempt(line, n, told)
	case callOff:
		x.lines[n.trip].Cut()
	case dismiss:
		x.finish(protocol.AppendDismissed(nil, n.until), "dismissed")
	case giveUp:
		x.finish(protocol.AppendGivenUp(nil), "given_up")
	case begins:
		x.largeBegins(n)
	case clientGone:
		x.clientLeft()
	case ended:
		x.attemptEnded(n)
	}
}

// finish gives the final answer, if none was given.
func (x *exchange) finish(answer []byte, how string) {
	if x.isAnswered {
		return
	}
	x.isAnswered = true
	x.record.how = how
	x.withdraw() // Nothing is sent for it from now on.
	b := x.balancer
	b.mu.Lock()
	delete(b.open, x.id)
	b.counts[count{how, x.class}]++
	b.mu.Unlock()
	x.turn.answer <- reply{bytes: answer}
}

// largeBegins gives the client a large value as it comes, unless it has its final answer. It counts once it is whole.
func (x *exchange) largeBegins(n news) {
	b := x.balancer
	b.mu.Lock()
	takes := !b.slots[x.index].final
	if takes {
		b.slots[x.index].final = true
		b.heap += 2 * pieceOf
		x.size += 2 * pieceOf
		b.module.HandleResponseStarted(x.index, n.trip)
	}
	b.mu.Unlock()
	if n.begun.take <- takes; !takes {
		return
	}
	x.large, x.isAnswered, x.record.how = n.begun, true, "settled"
	for trip, line := range x.lines {
		if trip != n.trip {
			line.Cut()
		}
	}
	x.turn.answer <- reply{bytes: protocol.AppendBegun(nil, x.large.size), value: x.large.value}
}

// attemptEnded tells the module how an attempt ended. The first value that comes is the final answer.
func (x *exchange) attemptEnded(n news) {
	x.over++
	b := x.balancer
	b.mu.Lock()
	now, outcome, took := b.now(), x.outcomeOf(n), n.took
	if took == 0 {
		took = now - n.at
	}
	x.record.attempts[n.trip].end, x.record.attempts[n.trip].took = n.end, time.Duration(took)
	isFinal := outcome == policy.OK && !b.slots[x.index].final
	if isFinal {
		b.slots[x.index].final = true
		x.size += int64(len(n.answer))
		b.heap += int64(len(n.answer))
	} else if outcome != policy.OK {
		b.counts[count{"trip_" + n.end.String(), none}]++
	}
	if n.load != nil {
		b.module.HandleLoadReport(n.server, n.load)
	}
	if outcome == policy.OK && !x.write {
		if b.reads++; n.note > 1 {
			b.misses++
		}
	}
	if b.fellows != nil {
		b.fellows.HandleAttemptEnded(b.servers[n.server].name, outcome, took, b.expected[x.class])
	}
	b.deciding()
	b.module.HandleAttemptEnded(now, x.index, policy.AttemptResult{Attempt: n.trip, Endpoint: n.server, CacheResult: n.note, Outcome: outcome, Latency: took, IsAnswered: b.slots[x.index].final})
	b.mu.Unlock()
	if isFinal {
		x.finish(n.answer, "settled")
	}
}

// outcomeOf is what an attempt's end means to the module; under the lock.
func (x *exchange) outcomeOf(n news) policy.Outcome {
	b, outcome := x.balancer, outcomes[n.end]
	switch {
	case x.large == nil:
	case n.begun == x.large:
		delete(b.open, x.id)
		how := "given_up"
		if outcome == policy.OK {
			how = "settled"
		}
		b.counts[count{how, x.class}]++
	case outcome == policy.OK:
		return policy.Cancelled // It came while the large value was begun: nobody waits for it.
	}
	return outcome
}

// release gives back what the request took.
func (x *exchange) release() {
	b := x.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heap -= x.size
	for _, s := range b.slots[x.index].at {
		b.servers[s].trips--
		b.forgets(b.now(), s, 0)
	}
	b.slots[x.index] = slot{}
	b.held.Give(x.index)
}
