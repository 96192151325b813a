package stallwatch

import (
	"io"
	"sync/atomic"
	"time"
)

var begun = time.Now()

func clock() int64 { return int64(time.Since(begun)) + 1 }

// Mark is around something that should not take long. One at a time is in it, or the newest is timed.
type Timer struct{ since, longest atomic.Int64 }

// Begin enters it.
func (m *Timer) Begin() { m.since.Store(clock()) }

// End leaves it.
func (m *Timer) End() {
	if since := m.since.Swap(0); since > 0 {
		if took := clock() - since; took > m.longest.Load() {
			m.longest.Store(took)
		}
	}
}

// take gives the longest time in it since the last look, what is still in it included; still: that is the longest.
func (m *Timer) take() (longest time.Duration, still bool) {
	longest = time.Duration(m.longest.Swap(0))
	if since := m.since.Load(); since > 0 {
		if now := time.Duration(clock() - since); now > longest {
			return now, true
		}
	}
	return longest, false
}

// Writer marks each write. The log's.
type TimedWriter struct {
	io.Writer
	*Timer
}

func (w TimedWriter) Write(text []byte) (int, error) {
	w.Begin()
	defer w.End()
	return w.Writer.Write(text)
}
