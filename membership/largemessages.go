package membership

import "sync"

// maxLargeBytesInFlight bounds the memory of large messages that wait for slow receivers.
const maxLargeBytesInFlight = 4 * maxMessageBytes

// largeMessageLimiter bounds the frames in flight that are too long for a datagram, in number and in bytes. There may
// be as many as there are peers: were there fewer, peers that do not answer would take all places until they time out,
// and a peer that does answer would get nothing.
type largeMessageLimiter struct {
	maxInFlight int

	mu            sync.Mutex // guards all below
	inFlight      int
	bytesInFlight int
}

// acquire takes a place for a frame and reports whether there was one. A place that was taken is given back by release.
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

// release gives the place of a frame back once it has been sent or has failed.
func (l *largeMessageLimiter) release(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	l.bytesInFlight -= bytes
}
