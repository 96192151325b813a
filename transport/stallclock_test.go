package transport

import (
	"testing"
	"time"
)

// The process is stopped for a while, and the kernel takes in bytes. What is read right after counts from the beginning
// of the stall, but not from before it was known to be absent.
func TestArrivalsRightAfterAStallCountFromItsBeginning(t *testing.T) {
	const ms = time.Millisecond
	base := time.Now()
	at := func(n int) time.Time { return base.Add(time.Duration(n) * ms) }
	for _, c := range []struct {
		what                   string
		ticks                  []int // ms since the start
		notBefore, taken, want int
	}{
		{"no stall", []int{20, 40, 60}, 10, 65, 65},
		{"a late tick that is no stall", []int{20, 59}, 10, 60, 60},
		{"before the first tick after a stall", []int{20, 40}, 10, 640, 40},
		{"after it", []int{20, 40, 640}, 10, 641, 40},
		{"read before the tick, told after it", []int{20, 40, 640}, 10, 639, 40},
		{"absent amid the stall", []int{20, 40, 640}, 600, 641, 600},
		{"absent after it", []int{20, 40, 640}, 641, 642, 641},
		{"some time after it", []int{20, 40, 640, 660, 680, 700}, 10, 700, 700},
		{"before the last stall", []int{20, 640}, 10, 19, 19},
	} {
		s := &StallClock{base: base}
		for _, tick := range c.ticks {
			s.tick(int64(time.Duration(tick) * ms))
		}
		if got := s.ArrivedAt(at(c.notBefore), at(c.taken)); !got.Equal(at(c.want)) {
			t.Errorf("%s: %v, want %v", c.what, got.Sub(base), at(c.want).Sub(base))
		}
	}
	var none *StallClock
	if got := none.ArrivedAt(at(1), at(2)); !got.Equal(at(2)) {
		t.Error("a nil clock knows of a stall")
	}
}
