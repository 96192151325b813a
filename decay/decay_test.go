package decay

import (
	"math"
	"testing"
)

// Old failures that never fade would keep a recovered server avoided. A sum is 1/e of itself after one TimeConstant,
// and a clock that goes back neither revives nor moves it.
func TestSumDecays(t *testing.T) {
	var sum Sum
	sum.Add(0, 8)
	if got := sum.ValueAt(TimeConstant); math.Abs(got-8/math.E) > 1e-9 {
		t.Errorf("%g after one time constant, not %g", got, 8/math.E)
	}
	if sum.Add(0, 1); sum.UpdatedAt != TimeConstant {
		t.Error("a clock that went back moved the sum")
	}
}

// An average that lags would let a burst pass for load, and load for a burst: it approaches a level that holds, and
// decays as a sum does after that level has ended.
func TestAverageIsTimeWeighted(t *testing.T) {
	var average Average
	average.Update(0, 0)
	if got := average.Update(100*TimeConstant, 5); math.Abs(got-5) > 1e-9 {
		t.Errorf("%g after a long time at 5", got)
	}
	if got := average.Update(101*TimeConstant, 0); math.Abs(got-5/math.E) > 1e-9 {
		t.Errorf("%g one time constant after level 5 ended", got)
	}
}
