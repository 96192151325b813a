package routing

import (
	"time"

	"hollylever/protocol"
	"hollylever/siblings"
)

// A request with an effect that comes again under its ID after its client has left, on any connection, gets the result of the
// first one: it waits while that runs. It runs itself only if the first one has not run. While the first client waits, and where
// the two are not the same request, it gets an error (resultowner.go).

// idSharing is what an exchange knows of itself and of other requests of its ID, if it has an effect.
type idSharing struct {
	identity       siblings.RequestIdentity // of a request with an effect; zero: none
	result         *requestResult           // of a request with an effect; nil: none
	earlier        *requestResult           // of an earlier request of the same ID, which it gets; nil: it runs itself
	contested      *requestResult           // of an earlier request of the same ID, for which another client waits; nil: none
	contestedOwner *resultOwner             // that client; nil: it is another process's
	owner          *resultOwner             // its own client, while the reply of owned is owed to that
	owned          *requestResult
	remaining      time.Duration // until its deadline, if it gets the result of an earlier one
	hasEarlierRun  bool          // an earlier request of its ID may have run
}

// identify computes what a request with an effect is recognized by. That takes time for a large one, so no lock is held.
func (x *exchange) identify(workload []byte) {
	catalog := &x.balancer.catalog
	if w, isKnown := catalog.workloads[string(workload)]; isKnown && catalog.hasEffect[w] && x.identity == (siblings.RequestIdentity{}) {
		x.identity = newRequestIdentity(workload, x.arguments)
	}
}

// isSameRequest reports whether an earlier request of the ID asks for the same, as far as is known.
func (x *exchange) isSameRequest(earlier *requestResult) bool {
	return earlier.content == x.identity.Content || earlier.content == siblings.RequestContent{}
}

// mayRunAgain reports whether a request may run although an earlier one of its ID has begun: it is the same request, no client
// waits for the earlier one, the effect does not repeat within the window of that, and its result is not known. The caller holds
// Balancer.mu.
func (x *exchange) mayRunAgain(earlier *requestResult) bool {
	return earlier.isDone() && earlier.state == siblings.ResultUnknown && !x.balancer.catalog.isSingleShot[x.workload] && x.isSameRequest(earlier) &&
		!earlier.isOwned()
}

// findEarlier returns the result of an earlier request of the ID, or nil. The caller holds Balancer.mu.
func (x *exchange) findEarlier(a admission) *requestResult {
	b := x.balancer
	if !a.isKnownWorkload || !b.catalog.hasEffect[a.workload] {
		return nil
	}
	return b.results.find(x.identity.Digest)
}

// join admits a request that gets the result of an earlier one, at once or after the client of that has left. It returns the
// reply to one that does not. The caller holds Balancer.mu.
func (x *exchange) join(earlier *requestResult, a admission) (rejection []byte) {
	switch {
	case !x.isSameRequest(earlier):
		return x.rejectID(errorIDTaken, a.workload)
	case earlier.isElsewhere && a.isDuplicate:
		return x.rejectID(errorIDOpen, a.workload)
	case earlier.isOwned():
		x.contest(earlier, a)
	default:
		x.share(earlier, a)
	}
	return nil
}

// beginResult records that the request runs, with what its attempts need to know of an earlier one. It returns the result of
// the same request at another process, if that begins it at the same time. The caller holds Balancer.mu.
func (x *exchange) beginResult(repeated *requestResult) (earlier *requestResult) {
	b := x.balancer
	x.repeatWindow = b.newRepeatWindow(x.workload)
	if !b.catalog.hasEffect[x.workload] {
		return nil
	}
	if x.result, earlier = b.results.begin(x.identity, x.repeatWindow, repeated); earlier == nil {
		x.own(x.result)
		x.repeatWindow, x.windowBase, x.hasEarlierRun = x.result.window, x.result.windowBase, repeated != nil
	}
	return earlier
}

// share admits a request that gets the result of an earlier one. It is never rejected, as the earlier one may have run. The
// caller holds Balancer.mu.
func (x *exchange) share(earlier *requestResult, a admission) {
	b := x.balancer
	b.counters.increment(counterRequests)
	b.counters.increment(counterRepeated)
	x.earlier, x.remaining = earlier, time.Duration(a.remaining)
	x.own(earlier)
	b.requests.openIDs[x.id] = x
	x.reservedMemory = x.commandMemory()
	b.memory.Add(x.reservedMemory)
}

// runShared waits for the result of the earlier request and answers with it. It returns false if the earlier one has not run:
// then the request is admitted anew.
func (x *exchange) runShared() bool {
	state, answer := x.awaitEarlier()
	switch {
	case x.isDisconnected:
		x.countDisconnected()
	case state == siblings.ResultNone:
		return false
	case state == siblings.ResultAnswer:
		x.finishShared(answer, outcomeAnswered)
	default:
		x.finishShared(protocol.AppendFailed(nil), outcomeFailed)
	}
	return true
}

// awaitEarlier waits for the result of the earlier request until the deadline, the end of the process or the client's
// disconnect. After those it is not known.
func (x *exchange) awaitEarlier() (siblings.ResultState, []byte) {
	deadline := time.NewTimer(x.remaining - time.Duration(min(maxReplyReserve, int64(x.remaining)/replyReserveDivisor)))
	defer deadline.Stop()
	var poll <-chan time.Time
	if x.earlier.isElsewhere {
		ticker := time.NewTicker(resultPollInterval)
		defer ticker.Stop()
		poll = ticker.C
	}
	for !x.earlier.isDone() {
		select {
		case <-x.earlier.done:
		case <-poll:
			if state, answer, isKnown := x.balancer.pollElsewhere(x.earlier); isKnown {
				return state, answer
			}
		case <-deadline.C:
			return siblings.ResultUnknown, nil
		case <-x.balancer.expired:
			return siblings.ResultUnknown, nil
		case <-x.client.disconnected:
			x.isDisconnected = true
			return siblings.ResultUnknown, nil
		}
	}
	x.balancer.mu.Lock()
	defer x.balancer.mu.Unlock()
	return x.earlier.state, x.earlier.answer
}

// pollElsewhere returns the result of a request that another process runs, if it is known.
func (b *Balancer) pollElsewhere(result *requestResult) (state siblings.ResultState, answer []byte, isKnown bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	shared := b.results.shared.Find(result.digest)
	return shared.State, shared.Answer, shared.State != siblings.ResultOpen && shared.State != siblings.ResultClaimed
}

// countDisconnected counts a request whose client has disconnected while it waited for the result of an earlier one.
func (x *exchange) countDisconnected() {
	b := x.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counters.increment(counterDisconnected)
	b.requests.closeID(x)
	x.disownLeft()
	x.record.outcome = outcomeDisconnected
}

// finishShared sends the final reply.
func (x *exchange) finishShared(answer []byte, outcome string) {
	b := x.balancer
	b.mu.Lock()
	b.counters.incrementFor(outcome, x.workload)
	b.requests.closeID(x)
	b.mu.Unlock()
	x.record.outcome = outcome
	x.reply.reply <- reply{bytes: answer}
}

// admitAnew admits a request whose earlier one has not run. It returns false if that was rejected, and has replied then.
func (x *exchange) admitAnew() bool {
	x.releaseMemory()
	x.client.onAdmitted = func() {}
	x.leaveEarlier()
	rejection := x.admit()
	if rejection != nil {
		x.record.outcome = outcomeRejected
		x.reply.reply <- reply{bytes: rejection}
	}
	return rejection == nil
}

// leaveEarlier ends the wait for the result of the earlier request.
func (x *exchange) leaveEarlier() {
	b := x.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests.closeID(x)
	x.disownLeft()
}

// releaseMemory returns the memory that a request holds which is not in the request table.
func (x *exchange) releaseMemory() {
	x.balancer.memory.Release(x.reservedMemory)
	x.reservedMemory, x.earlier, x.contested = 0, nil, nil
}

// resolveResult records the result of a request whose attempts have ended, if no answer has arrived.
func (x *exchange) resolveResult() {
	state := siblings.ResultNone
	if x.mayHaveRun || x.hasEarlierRun {
		state = siblings.ResultUnknown
	}
	b := x.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests.endAbandoned(x)
	b.results.resolve(x.result, state, nil)
}
