package membership

import (
	"sync"
	"time"
)

// rateLimiter is a token bucket that counts bytes and holds at most one second's worth. It keeps the traffic of a large
// fleet from overloading the network during an incident, when every member has much to send, which would also delay
// lease messages.
type rateLimiter struct {
	bytesPerSecond float64 // 0 means unlimited

	mu        sync.Mutex // guards the fields below
	available float64    // bytes
	updatedAt time.Time  // time of the last refill; zero before the first, when the bucket counts as full
}

func newRateLimiter(bytesPerSecond int) rateLimiter {
	return rateLimiter{bytesPerSecond: float64(bytesPerSecond)}
}

// reservedFraction returns the fraction of the bucket that is reserved for frames of higher priority than kind. Without
// the reserve, a burst of broadcasts could delay lease renewals until leases expire. Messages with leases and revisions
// have the highest priority, then member states, then broadcasts with outlier reports.
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

// take reports whether the given number of bytes may be sent now for a frame of the given kind, and if so, takes them
// from the bucket.
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

// refill adds the bytes accrued since the last call. The caller must hold l.mu.
func (l *rateLimiter) refill(now time.Time) {
	if l.updatedAt.IsZero() {
		l.available = l.bytesPerSecond
	} else {
		accrued := now.Sub(l.updatedAt).Seconds() * l.bytesPerSecond
		l.available = min(l.bytesPerSecond, l.available+accrued)
	}
	l.updatedAt = now
}

// maxStateBytes returns the maximum size of a published state: it must fit into a datagram, and sending it to all
// receivers may take at most half of the bytes allowed per second. It is never less than minStateBytes.
func (l *rateLimiter) maxStateBytes(receivers int) int {
	const maxPayload = maxDatagramBytes - 1 // one byte is the frame kind
	if l.bytesPerSecond <= 0 {
		return maxPayload
	}
	return min(maxPayload, max(minStateBytes, int(l.bytesPerSecond/2)/max(1, receivers)))
}
