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

// Timer measures how long a section of the program takes that should be short. One goroutine at a time is meant to be
// inside; of several the newest is measured. Any goroutine may call its methods, and none waits.
type Timer struct{ startedAt, longest atomic.Int64 }

// Begin enters the section.
func (t *Timer) Begin() { t.startedAt.Store(nanosSinceStart()) }

// End leaves the section.
func (t *Timer) End() {
	if startedAt := t.startedAt.Swap(0); startedAt > 0 {
		if took := nanosSinceStart() - startedAt; took > t.longest.Load() {
			t.longest.Store(took)
		}
	}
}

// takeLongest returns the longest time inside since the last call, and starts anew. What is still inside counts with
// its time so far; isInside tells that this is the longest.
func (t *Timer) takeLongest() (longest time.Duration, isRunning bool) {
	longest = time.Duration(t.longest.Swap(0))
	if startedAt := t.startedAt.Load(); startedAt > 0 {
		if elapsed := time.Duration(nanosSinceStart() - startedAt); elapsed > longest {
			return elapsed, true
		}
	}
	return longest, false
}

// TimedWriter measures each write with its Timer.
type TimedWriter struct {
	io.Writer
	*Timer
}

// Write writes through to the wrapped writer.
func (w TimedWriter) Write(content []byte) (int, error) {
	w.Begin()
	defer w.End()
	return w.Writer.Write(content)
}
