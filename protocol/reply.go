package protocol

import (
	"strconv"

	"github.com/tidwall/redcon"
)

// AppendLargeValueHeader appends the bulk string header of a large value of size bytes. The caller sends the value and
// a line end after it.
func AppendLargeValueHeader(out []byte, size int) []byte {
	return append(strconv.AppendInt(append(out, '$'), int64(size), 10), lineEnd...)
}

// AppendValue appends the reply to a request that succeeded: its value.
func AppendValue(out, value []byte) []byte { return redcon.AppendBulk(out, value) }

// AppendRejected appends the reply to a request that is not served. If retryAfterNanos is positive, the reply states in
// whole milliseconds how long the client should wait before it retries.
func AppendRejected(out []byte, retryAfterNanos int64) []byte {
	if retryAfterNanos <= 0 {
		return redcon.AppendError(out, wordBusy)
	}
	out = append(out, "-"+wordBusy+" "...)
	return append(strconv.AppendInt(out, roundUpMillis(retryAfterNanos), 10), lineEnd...)
}

// AppendFailed appends the reply to a request that ended without a result. The reply does not say whether the request
// took effect: an attempt may have run.
func AppendFailed(out []byte) []byte { return redcon.AppendError(out, wordGivenUp) }

// AppendPong appends the reply to a PING.
func AppendPong(out []byte) []byte { return redcon.AppendString(out, wordPong) }

// AppendError appends the error reply to a malformed or unknown command.
func AppendError(out []byte, reason string) []byte { return redcon.AppendError(out, wordError+reason) }
