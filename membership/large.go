package membership

import (
	"errors"
	"sync"
)

var errBusy = errors.New("too many large messages on their way")

// maxLargeBytes is how many bytes of large messages may be on their way at once.
const maxLargeBytes = 4 * maxMessage

// large counts the messages on their way that are too large for a datagram: as many as there are peers, so that peers that do not answer keep nobody else
// from theirs, and maxLargeBytes in all.
type large struct {
	maxOut int

	mu         sync.Mutex
	out, bytes int
}

// begin tells whether one more may go.
func (l *large) begin(bytes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out >= l.maxOut || l.bytes+bytes > maxLargeBytes {
		return false
	}
	l.out++
	l.bytes += bytes
	return true
}

// end tells that one has gone, or failed.
func (l *large) end(bytes int) {
	l.mu.Lock()
	l.out--
	l.bytes -= bytes
	l.mu.Unlock()
}
