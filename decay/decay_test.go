package decay

import (
	"math"
	"testing"
)

func TestSumFades(t *testing.T) {
	var s Sum
	s.Add(0, 8)
	if got := s.ValueAt(TimeConstant); math.Abs(got-8/math.E) > 1e-9 {
		t.Errorf("%g after one memory, not %g", got, 8/math.E)
	}
	if s.Add(0, 1); s.UpdatedAt != TimeConstant {
		t.Error("a clock that went back moved the sum")
	}
}

func TestLevelAverages(t *testing.T) {
	var l Average
	l.Update(0, 0)
	if got := l.Update(100*TimeConstant, 5); math.Abs(got-5) > 1e-9 {
		t.Errorf("%g after a long time at 5", got)
	}
	if got := l.Update(101*TimeConstant, 0); math.Abs(got-5/math.E) > 1e-9 {
		t.Errorf("%g one memory after 5 ended", got)
	}
}
