package routing

import (
	"time"

	"hollylever/policy"
)

// The methods in this file implement policy.Executor. The policy calls them while Balancer.mu is held, and none of them
// blocks.

var _ policy.Executor = (*Balancer)(nil)

// Send starts an attempt of a request at an endpoint. The attempt ends at the deadline at the latest.
func (b *Balancer) Send(request, endpoint int, deadline int64) {
	slot, e := &b.requests.slots[request], &b.endpoints.all[endpoint]
	slot.events <- attemptStarted{attempt{
		number:    len(slot.attemptEndpoints),
		endpoint:  endpoint,
		name:      e.name,
		peer:      e.peer(endpoint),
		startedAt: b.now(),
		deadline:  min(deadline, slot.attemptDeadline),
	}}
	slot.attemptEndpoints = append(slot.attemptEndpoints, endpoint)
	e.attempts++
	b.counters.increment(counterAttempts)
	if b.outlierExchange != nil {
		if part, isSuppressed := b.outlierExchange.HandleAttemptStarted(e.name); isSuppressed {
			b.policy.UpdatePeerVerdict(endpoint, part)
		}
	}
}

// Reject ends a request that did not run. The client may send it again after retryAfter.
func (b *Balancer) Reject(request int, reason policy.Reason, retryAfter int64) {
	slot := &b.requests.slots[request]
	slot.isFinal = true
	b.counters.increment(rejectedCounters[reason])
	slot.events <- requestRejected{retryAfter}
}

// Fail ends a request of which it is unknown whether it ran.
func (b *Balancer) Fail(request int, reason policy.Reason) {
	slot := &b.requests.slots[request]
	slot.isFinal = true
	b.counters.increment(failedCounters[reason])
	slot.events <- requestFailed{}
}

// Cancel cancels an attempt.
func (b *Balancer) Cancel(request, number int) {
	b.requests.slots[request].events <- attemptCancelled{number}
}

// SetTimer calls the policy's HandleTimer with a tag after a time in ns.
func (b *Balancer) SetTimer(tag int, after int64) {
	time.AfterFunc(time.Duration(after), func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.policy.HandleTimer(b.now(), tag)
	})
}

// WatchEndpoints asks Follow to open a watch on the endpoint list.
func (b *Balancer) WatchEndpoints() {
	select {
	case b.watchRequested <- struct{}{}:
	default: // A request for a watch is already pending.
	}
}
