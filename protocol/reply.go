package protocol

import (
	"strconv"

	"github.com/tidwall/redcon"
)

// AppendLargeValueHeader writes what stands before a large value of so many bytes; the value and a line end follow it.
func AppendLargeValueHeader(out []byte, size int) []byte {
	return append(strconv.AppendInt(append(out, '$'), int64(size), 10), lineEnd...)
}

// AppendValue writes the reply to a request that succeeded: its value.
func AppendValue(out, value []byte) []byte { return redcon.AppendBulk(out, value) }

// AppendRejected writes the reply to a request that is not served: when to try again, in whole milliseconds, where
// that is known (over 0).
func AppendRejected(out []byte, retryAfterNanos int64) []byte {
	if retryAfterNanos <= 0 {
		return redcon.AppendError(out, wordBusy)
	}
	out = append(out, "-"+wordBusy+" "...)
	return append(strconv.AppendInt(out, roundUpMillis(retryAfterNanos), 10), lineEnd...)
}

// AppendFailed writes the reply to a request without a result. It promises nothing: an attempt may have run.
func AppendFailed(out []byte) []byte { return redcon.AppendError(out, wordGivenUp) }

// AppendPong writes the reply to a PING.
func AppendPong(out []byte) []byte { return redcon.AppendString(out, wordPong) }

// AppendError writes the reply to a command that is malformed or unknown.
func AppendError(out []byte, reason string) []byte { return redcon.AppendError(out, wordError+reason) }
