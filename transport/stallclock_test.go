package transport

import (
	"testing"
	"time"
)

// The process is stopped for a while, and the kernel receives bytes. Bytes read right after the stall are dated to its
// beginning, but not to before the time at which they were known not to have arrived.
func TestArrivalsRightAfterAStallCountFromItsBeginning(t *testing.T) {
	const ms = time.Millisecond
	base := time.Now()
	at := func(n int) time.Time { return base.Add(time.Duration(n) * ms) }
	for _, c := range []struct {
		name                  string
		ticks                 []int // ms since the start
		notBefore, read, want int
	}{
		{"no stall", []int{20, 40, 60}, 10, 65, 65},
		{"a late tick within the threshold", []int{20, 59}, 10, 60, 60},
		{"before the first tick after a stall", []int{20, 40}, 10, 640, 40},
		{"after the first tick after a stall", []int{20, 40, 640}, 10, 641, 40},
		{"read before that tick, asked for after it", []int{20, 40, 640}, 10, 639, 40},
		{"known absent during the stall", []int{20, 40, 640}, 600, 641, 600},
		{"known absent after the stall", []int{20, 40, 640}, 641, 642, 641},
		{"later than the drain window", []int{20, 40, 640, 660, 680, 700}, 10, 700, 700},
		{"before the latest stall", []int{20, 640}, 10, 19, 19},
	} {
		s := &StallClock{base: base}
		for _, tick := range c.ticks {
			s.tick(int64(time.Duration(tick) * ms))
		}
		if got := s.ArrivedAt(at(c.notBefore), at(c.read)); !got.Equal(at(c.want)) {
			t.Errorf("%s: %v, want %v", c.name, got.Sub(base), at(c.want).Sub(base))
		}
	}
	var none *StallClock
	if got := none.ArrivedAt(at(1), at(2)); !got.Equal(at(2)) {
		t.Error("a nil clock reports a stall")
	}
}
