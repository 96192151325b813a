package transport

import "time"

// minBlockedAccept is the shortest accept call that is taken to have found the accept backlog empty. It is above zero
// because an accept that does find a connection can be delayed slightly as well.
const minBlockedAccept = 10 * time.Millisecond

// acceptBacklog estimates the earliest time at which an accepted connection may have entered the kernel's accept
// backlog. It is not safe for concurrent use; only the listener's accept loop uses it.
type acceptBacklog struct {
	stalls        *StallClock
	kernelEmptyAt time.Time // last time at which the backlog was known to be empty
	delayedSince  time.Time // start of the current delay in accepting; zero if there is none
}

// recordDelay records that nothing has been accepted since the given time. The earliest recorded delay is kept until
// the backlog is known to be empty again.
func (b *acceptBacklog) recordDelay(since time.Time) {
	if b.delayedSince.IsZero() {
		b.delayedSince = since
	}
}

// connectedSince returns the earliest time at which a connection may have entered the backlog, given when the accept
// that returned it was called and when it returned.
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
