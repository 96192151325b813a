package evacuation

import (
	"math"
	"testing"
)

// Guards against overloading a zone with cold caches by returning all keys at once. A process leaves a failing zone
// immediately and a zone evacuated by an operator in steps. It returns in steps, more slowly while reads miss; after a
// relapse during the return it leaves immediately again.
func TestRampMovesInSteps(t *testing.T) {
	durations := RampDurations{EvacuationNanos: 8000 * millisecond, RecoveryNanos: 16_000 * millisecond}
	var ramp Ramp
	now := int64(1e12)
	for n, step := range []struct {
		after                int64
		evacuated            []string
		ownZoneHealthy, slow bool
		want                 float64
	}{
		{0, nil, false, false, 0},
		{100 * millisecond, []string{"z"}, false, false, 1.0 / 32},
		{3900 * millisecond, []string{"z"}, false, false, 0.5},
		{4000 * millisecond, []string{"z"}, false, false, 1},
		{1000 * millisecond, nil, false, false, 30.0 / 32},
		{3000 * millisecond, nil, false, true, 0.90625},
		{100 * millisecond, []string{"y", AutomaticPrefix + "z"}, false, false, 1},
		{8000 * millisecond, nil, false, false, 0.5},
		{100 * millisecond, []string{AutomaticPrefix + "z"}, false, false, 1}, // A relapse during the return.
		{60_000 * millisecond, nil, false, false, 0},
		{100 * millisecond, []string{AutomaticPrefix + "z"}, true, false, 0}, // Its own zone, healthy for this process.
		{8000 * millisecond, []string{"z"}, true, false, 1},                  // An operator's evacuation takes precedence.
	} {
		now += step.after
		if got := ramp.Advance(now, "z", step.evacuated, step.ownZoneHealthy, step.slow, durations); got != step.want {
			t.Errorf("step %d: %v, want %v", n, got, step.want)
		}
	}
	var started Ramp
	if got := started.Advance(now, "z", []string{"z"}, false, false, durations); got != 1 {
		t.Errorf("a process that starts sends %v of its keys to a zone that was evacuated before", 1-got)
	}
}

// Guards against a process that starts during a return sending all of its keys to endpoints with cold caches at once.
// It starts at the share of the other processes and continues from there; an invalid share keeps all keys away.
func TestRampStartsAtShareOfOtherProcesses(t *testing.T) {
	durations := RampDurations{EvacuationNanos: 10_000 * millisecond, RecoveryNanos: 12_000 * millisecond}
	for _, c := range []struct {
		share                float64
		evacuated            []string
		wantFirst, wantLater float64
	}{
		{0, nil, 0, 0},
		{0.75, nil, 0.75, 0.5},
		{1, nil, 1, 0.75},
		{0.5, []string{"z"}, 1, 1},
		{0, []string{"z"}, 1, 1},
		{0, []string{AutomaticPrefix + "z"}, 1, 1},
		{math.NaN(), nil, 1, 0.75},
		{7, nil, 1, 0.75},
		{-1, nil, 1, 0.75},
	} {
		ramp, now := &Ramp{}, int64(1e12)
		ramp.Start(c.share)
		first := ramp.Advance(now, "z", c.evacuated, false, false, durations)
		later := ramp.Advance(now+3000*millisecond, "z", c.evacuated, false, false, durations)
		if first != c.wantFirst || later != c.wantLater {
			t.Errorf("%v, evacuated %v: %v and %v, want %v and %v", c.share, c.evacuated, first, later, c.wantFirst, c.wantLater)
		}
	}
}

// Guards against two processes whose clocks differ by nanoseconds sending the keys of one step to different zones. A
// share is rounded up to the next step only if it exceeds a whole step by more than the rounding tolerance.
func TestRampToleratesRounding(t *testing.T) {
	for _, c := range []struct{ share, want float64 }{
		{0.5, 16.0 / 32},
		{0.5 + 0.75e-6/32, 16.0 / 32},
		{0.5 + 1.25e-6/32, 17.0 / 32},
		{1, 1},
		{0, 0},
	} {
		ramp := Ramp{share: c.share}
		if got := ramp.roundedShare(); got != c.want {
			t.Errorf("%v is rounded to %v, want %v", c.share, got, c.want)
		}
	}
}
