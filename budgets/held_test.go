package budgets

import (
	"math"
	"testing"
)

// Guards against a late response to an earlier request replacing a share that the ledger has since lowered. A share is
// accepted only from a response to a later request, and only if its value is valid.
func TestHeldShareIgnoresLateGrants(t *testing.T) {
	var held HeldShare
	for _, c := range []struct {
		seq   uint64
		share float64
		want  HeldShare
	}{
		{1, 0.5, HeldShare{0.5, 1}},
		{1, 0.6, HeldShare{0.5, 1}},
		{2, 0, HeldShare{0.5, 1}},
		{2, 1.01, HeldShare{0.5, 1}},
		{2, math.NaN(), HeldShare{0.5, 1}},
		{3, 1, HeldShare{1, 3}},
		{2, 0.2, HeldShare{1, 3}},
	} {
		if held.Accept(c.seq, c.share); held != c.want {
			t.Errorf("after %d, %v: %+v, not %+v", c.seq, c.share, held, c.want)
		}
	}
}
