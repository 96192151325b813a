package transport

import "time"

// minBlockedAccept is how long an accept takes at least for it to count as one that found no connection waiting: an
// accept of a connection that did wait may be held up a little too.
const minBlockedAccept = 10 * time.Millisecond

// acceptBacklog bounds since when a connection that is accepted may have waited in the kernel's queue. The listener's
// accept loop alone uses it: it does not lock.
type acceptBacklog struct {
	stalls        *StallClock
	kernelEmptyAt time.Time // no connection waited then
	delayedSince  time.Time // since when nothing was accepted though connections may have come; zero: accepts go on
}

// recordDelay records that nothing has been accepted since a time. The earliest delay counts until the queue is seen
// empty again.
func (b *acceptBacklog) recordDelay(since time.Time) {
	if b.delayedSince.IsZero() {
		b.delayedSince = since
	}
}

// connectedSince returns since when the connection may have waited that an accept, called and returned at these times,
// has returned.
func (b *acceptBacklog) connectedSince(called, returned time.Time) time.Time {
	if returned.Sub(called) > minBlockedAccept {
		b.kernelEmptyAt, b.delayedSince = called, time.Time{}
	}
	since := b.stalls.ArrivedAt(b.kernelEmptyAt, returned)
	if !b.delayedSince.IsZero() && b.delayedSince.Before(since) {
		since = b.delayedSince
	}
	return since
}
