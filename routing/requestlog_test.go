package routing

import (
	"testing"
	"time"

	"hollylever/transport"
)

// Without the times of writing, the log cannot tell an attempt that was decided on late from one that was written slowly.
func TestRequestLogTellsWhenAttemptsWereWritten(t *testing.T) {
	const ms = time.Millisecond
	record := requestRecord{attempts: []attemptRecord{
		{server: "a", decided: ms, firstByte: 2 * ms, lastByte: 9 * ms, end: transport.CancelledAfterSent, took: 30 * ms},
		{server: "b", decided: 12 * ms, end: transport.ConnectRefused, took: ms},
	}}
	const want = "a +1ms first byte +2ms last byte +9ms called_off 30ms; b +12ms refused 1ms"
	if got := record.String(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
