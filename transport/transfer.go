package transport

import "time"

const (
	// minTransferRate is the rate, in bytes per second, with which the time that a transfer may take grows.
	minTransferRate = 256 << 10
	// transferTimeout is how long a small transfer may take before the client may be closed in favor of others. Slow clients
	// may take two seconds for a command.
	transferTimeout = 2700 * time.Millisecond
)

// transfer is the progress of a command that a client sends, or of a part of a reply that is written to it.
type transfer struct {
	startedAt  time.Time // zero if there is no transfer
	progressAt time.Time // when the last byte was transferred
	bytes      int       // transferred so far
}

// isOverdue reports whether the transfer has taken longer than any client that goes on needs. The time grows with what
// was transferred, so that a client can't extend it with a byte now and then.
func (t transfer) isOverdue(now time.Time) bool {
	allowed := transferTimeout + time.Duration(t.bytes)*time.Second/minTransferRate
	return !t.startedAt.IsZero() && now.Sub(t.startedAt) > allowed
}
