package routing

import (
	"fmt"
	"time"
)

// valueRecord is what the request log states about a large value that an attempt has received.
type valueRecord struct {
	size          int       // in bytes; 0: there was none
	receivedBytes int       // bytes that have arrived
	headAt        time.Time // when its header had arrived
	lastAt        time.Time // when the last bytes arrived; headAt if none have
	passedOnAt    time.Time // when it was offered to the client before it was whole; zero: not at all
}

// newValueRecord returns the record of a value whose header arrives now.
func newValueRecord(size int, now time.Time) valueRecord {
	return valueRecord{size: size, headAt: now, lastAt: now}
}

// recordReceived records that so many bytes have arrived by now, if they are more than before.
func (v *valueRecord) recordReceived(bytes int, now time.Time) {
	if bytes > v.receivedBytes {
		v.receivedBytes, v.lastAt = bytes, now
	}
}

// describe tells of the value, with times since the request was received.
func (v valueRecord) describe(receivedAt time.Time) string {
	if v.size == 0 {
		return ""
	}
	text := fmt.Sprintf(" value of %d head +%s, %d by +%s", v.size, milliseconds(v.headAt.Sub(receivedAt)), v.receivedBytes, milliseconds(v.lastAt.Sub(receivedAt)))
	if !v.passedOnAt.IsZero() {
		text += " passed on +" + milliseconds(v.passedOnAt.Sub(receivedAt))
	}
	return text
}
