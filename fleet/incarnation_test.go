package fleet

import (
	"testing"
	"time"
)

// Each incarnation must be above the previous one. Otherwise peers treat the new process's messages as outdated, which
// happened when the wall clock was stepped back between two processes or both started within the same millisecond.
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
