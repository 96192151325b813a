package protocol

import (
	"strconv"

	"github.com/tidwall/redcon"
)

// AppendBegun writes what stands before a large value of so many bytes; the value and a line end follow it.
func AppendBegun(out []byte, size int) []byte {
	return append(strconv.AppendInt(append(out, '$'), int64(size), 10), lineEnd...)
}

// AppendSettled writes the reply to a request that succeeded: its value.
func AppendSettled(out, value []byte) []byte { return redcon.AppendBulk(out, value) }

// AppendDismissed writes the reply to a request that is not served: when to try again, in whole milliseconds, where
// that is known (over 0).
func AppendDismissed(out []byte, retryAfterNanos int64) []byte {
	if retryAfterNanos <= 0 {
		return redcon.AppendError(out, wordBusy)
	}
	out = append(out, "-"+wordBusy+" "...)
	return append(strconv.AppendInt(out, roundUpMillis(retryAfterNanos), 10), lineEnd...)
}

// AppendGivenUp writes the reply to a request without a result. It promises nothing: an attempt may have run.
func AppendGivenUp(out []byte) []byte { return redcon.AppendError(out, wordGivenUp) }

// AppendPong writes the reply to a PING.
func AppendPong(out []byte) []byte { return redcon.AppendString(out, wordPong) }

// AppendWrong writes the reply to a command that is malformed or unknown.
func AppendWrong(out []byte, reason string) []byte { return redcon.AppendError(out, wordError+reason) }
