package stallwatch

import (
	"io"
	"sync/atomic"
	"time"
)

// startTime is the zero point of nanosSinceStart.
var startTime = time.Now()

// nanosSinceStart returns the nanoseconds since startTime, as an int64 that a Timer can store atomically. It is never
// 0, which in a Timer means that no measurement is running.
func nanosSinceStart() int64 { return int64(time.Since(startTime)) + 1 }

// Timer measures how long a section of code takes that should be short. It is meant for sections that one goroutine at
// a time executes; if several do, the latest to begin is measured. Its methods are safe for concurrent use and don't
// block.
type Timer struct{ startedAt, longest atomic.Int64 }

// Begin marks the start of the section.
func (t *Timer) Begin() { t.startedAt.Store(nanosSinceStart()) }

// End marks the end of the section.
func (t *Timer) End() {
	if startedAt := t.startedAt.Swap(0); startedAt > 0 {
		if took := nanosSinceStart() - startedAt; took > t.longest.Load() {
			t.longest.Store(took)
		}
	}
}

// takeLongest returns the longest time that the section took since the last call, and resets it. A section that has not
// ended counts with its time so far; isRunning reports whether that is the longest.
func (t *Timer) takeLongest() (longest time.Duration, isRunning bool) {
	longest = time.Duration(t.longest.Swap(0))
	if startedAt := t.startedAt.Load(); startedAt > 0 {
		if elapsed := time.Duration(nanosSinceStart() - startedAt); elapsed > longest {
			return elapsed, true
		}
	}
	return longest, false
}

// TimedWriter is an io.Writer that measures each write with its Timer.
type TimedWriter struct {
	io.Writer
	*Timer
}

// Write passes content to the wrapped writer.
func (w TimedWriter) Write(content []byte) (int, error) {
	w.Begin()
	defer w.End()
	return w.Writer.Write(content)
}
