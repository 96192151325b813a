package routing

import (
	"time"

	"hollylever/policy"
)

// The methods in this file are the policy's executor: it calls them under Balancer.mu, and none of them blocks.

var _ policy.Executor = (*Balancer)(nil)

// Send starts an attempt of a request at an endpoint, which ends at the deadline at the latest.
func (b *Balancer) Send(request, endpoint int, deadline int64) {
	slot, e := &b.requests.slots[request], &b.endpoints.all[endpoint]
	slot.events <- attemptStarted{attempt{
		number:    len(slot.attemptEndpoints),
		endpoint:  endpoint,
		name:      e.name,
		address:   e.address,
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

// Reject ends a request: it did not run, and the client may send it again after a while.
func (b *Balancer) Reject(request int, reason policy.Reason, retryAfter int64) {
	slot := &b.requests.slots[request]
	slot.isFinal = true
	b.counters.increment(rejectedCounters[reason])
	slot.events <- requestRejected{retryAfter}
}

// Fail ends a request of which nobody can tell whether it ran.
func (b *Balancer) Fail(request int, reason policy.Reason) {
	slot := &b.requests.slots[request]
	slot.isFinal = true
	b.counters.increment(failedCounters[reason])
	slot.events <- requestFailed{}
}

// Cancel ends an attempt.
func (b *Balancer) Cancel(request, number int) {
	b.requests.slots[request].events <- attemptCancelled{number}
}

// SetTimer has the policy's HandleTimer called with a tag after a time in ns.
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
	default: // It is asked for already.
	}
}
