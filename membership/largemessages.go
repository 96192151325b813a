package membership

import "sync"

// maxLargeBytesInFlight limits the memory held by large messages that wait for slow receivers.
const maxLargeBytesInFlight = 4 * maxMessageBytes

// largeMessageLimiter limits the number and total size of in-flight frames that are too long for a datagram.
// maxInFlight is at least the number of peers: with a lower limit, sends to unresponsive peers could occupy all slots
// until they time out, and responsive peers would receive nothing.
type largeMessageLimiter struct {
	maxInFlight int

	mu            sync.Mutex // guards the fields below
	inFlight      int
	bytesInFlight int
}

// acquire reserves a slot for a frame and reports whether one was free. The caller must release a reserved slot.
func (l *largeMessageLimiter) acquire(bytes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight >= l.maxInFlight || l.bytesInFlight+bytes > maxLargeBytesInFlight {
		return false
	}
	l.inFlight++
	l.bytesInFlight += bytes
	return true
}

// release frees the slot of a frame that has been sent or has failed.
func (l *largeMessageLimiter) release(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	l.bytesInFlight -= bytes
}
