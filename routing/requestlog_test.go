package routing

import (
	"testing"
	"time"

	"hollylever/transport"
)

// Without the times of writing, the log cannot tell an attempt that was decided on late from one that was written slowly.
func TestRequestLogTellsWhenAttemptsWereWritten(t *testing.T) {
	const ms = time.Millisecond
	begin := time.Now()
	record := requestRecord{receivedAt: begin, attempts: []attemptRecord{
		{server: "a", decided: ms, firstByte: 2 * ms, lastByte: 9 * ms, end: transport.CancelledAfterSent, took: 30 * ms},
		{server: "b", decided: 12 * ms, end: transport.ConnectRefused, took: ms},
		{server: "c", decided: 13 * ms, end: transport.ResponseTimedOut, took: 80 * ms,
			value: valueRecord{size: 70000, receivedBytes: 12, headAt: begin.Add(14 * ms), lastAt: begin.Add(15 * ms), passedOnAt: begin.Add(75 * ms)}},
	}}
	const want = "a +1ms first byte +2ms last byte +9ms called_off 30ms; b +12ms refused 1ms; " +
		"c +13ms value of 70000 head +14ms, 12 by +15ms passed on +75ms silent 80ms"
	if got := record.String(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
