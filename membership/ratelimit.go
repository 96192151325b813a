package membership

import (
	"sync"
	"time"
)

// rateLimiter is a token bucket of bytes: it fills at a rate and holds what falls due in one second. Guards the
// network, and the leases that share it, against the traffic of a large fleet in an incident, when each member has a
// lot to tell.
type rateLimiter struct {
	bytesPerSecond float64 // 0: no limit

	mu        sync.Mutex // guards all below
	available float64    // bytes
	updatedAt time.Time  // zero: never, and the bucket is full
}

func newRateLimiter(bytesPerSecond int) rateLimiter {
	return rateLimiter{bytesPerSecond: float64(bytesPerSecond)}
}

// reservedFraction is the fraction of the bucket that a kind of frame may not use: without it, a burst of broadcasts
// would delay lease renewals until leases expire. Leases and revisions go first, then member states, then outlier
// reports.
func reservedFraction(kind frameKind) float64 {
	switch kind {
	case frameState:
		return 1.0 / 4
	case frameBroadcast:
		return 1.0 / 2
	default:
		return 0
	}
}

// take takes so many bytes for a frame of a kind and reports whether they were available; if not, nothing is taken.
func (l *rateLimiter) take(bytes int, kind frameKind, now time.Time) bool {
	if l.bytesPerSecond <= 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	if float64(bytes) > l.available-reservedFraction(kind)*l.bytesPerSecond {
		return false
	}
	l.available -= float64(bytes)
	return true
}

// refill adds what has fallen due since the last call. It is called under the lock.
func (l *rateLimiter) refill(now time.Time) {
	if l.updatedAt.IsZero() {
		l.available = l.bytesPerSecond
	} else {
		due := now.Sub(l.updatedAt).Seconds() * l.bytesPerSecond
		l.available = min(l.bytesPerSecond, l.available+due)
	}
	l.updatedAt = now
}

// maxStateBytes is how long the state that goes to each of so many receivers may be: a datagram, and all of them
// together half of what may be sent in a second.
func (l *rateLimiter) maxStateBytes(receivers int) int {
	const datagram = maxDatagramBytes - 1 // without the byte of the frame's kind
	if l.bytesPerSecond <= 0 {
		return datagram
	}
	return min(datagram, max(minStateBytes, int(l.bytesPerSecond/2)/max(1, receivers)))
}
