package decay

import (
	"math"
	"testing"
)

// Guards against old failures that never decay, because of which a recovered server would still be avoided. A sum
// decays to 1/e of its value after one TimeConstant, and a clock that is set back neither raises it nor changes its
// time.
func TestSumDecays(t *testing.T) {
	var sum Sum
	sum.Add(0, 8)
	if got := sum.ValueAt(TimeConstant); math.Abs(got-8/math.E) > 1e-9 {
		t.Errorf("%g after one time constant, not %g", got, 8/math.E)
	}
	if sum.Add(0, 1); sum.UpdatedAt != TimeConstant {
		t.Error("a clock that was set back changed UpdatedAt")
	}
}

// Guards against an average that mistakes a burst for sustained load, or sustained load for a burst. It approaches a
// level that stays constant, and after that level has ended it decays as a sum does.
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
