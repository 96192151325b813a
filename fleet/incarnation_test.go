package fleet

import (
	"testing"
	"time"
)

// The wall clock was stepped back between two processes, or both started within one millisecond, and peers took the
// second for the past of the first. Each incarnation has to be above the one before it.
func TestIncarnationsIncreaseDespiteClockSteps(t *testing.T) {
	folder, now := t.TempDir(), time.Now()
	before := nextIncarnation(folder, now, 1)
	for n, step := range []time.Duration{0, time.Millisecond, -time.Hour, 0, time.Hour, -time.Hour} {
		now = now.Add(step)
		next := nextIncarnation(folder, now, uint32(100-n))
		if next <= before {
			t.Errorf("step %d, by %v: %d is not above %d", n, step, next, before)
		}
		before = next
	}
}
