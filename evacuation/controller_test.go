package evacuation

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
)

const tickInterval = 50 * millisecond

// zonesOfEight returns zones z0, z1, ... of eight endpoints each, of which so many fail.
func zonesOfEight(failing ...int) (zones []ZoneHealth) {
	for n, f := range failing {
		zones = append(zones, ZoneHealth{fmt.Sprint("z", n), 8, f})
	}
	return zones
}

// controllerRun carries out each proposal at once and counts.
type controllerRun struct {
	controller Controller
	now        int64
	evacuated  []string

	evacuations, returns, blocked int
	changedAt                     []int64
}

func newControllerRun(evacuated ...string) *controllerRun {
	return &controllerRun{now: 1e12, evacuated: evacuated}
}

func (r *controllerRun) run(duration int64, zonesAt func(now int64) []ZoneHealth) {
	for end := r.now + duration; r.now < end; r.now += tickInterval {
		proposals, blocked := r.controller.Tick(r.now, zonesAt(r.now), r.evacuated)
		r.blocked += len(blocked)
		for _, p := range proposals {
			r.changedAt = append(r.changedAt, r.now)
			if p.Evacuate {
				r.evacuations++
				r.evacuated = append(r.evacuated, AutomaticPrefix+p.Zone)
			} else {
				r.returns++
				r.evacuated = slices.DeleteFunc(r.evacuated, func(name string) bool { return name == AutomaticPrefix+p.Zone })
			}
		}
	}
}

// A zone that fails kept a third of the requests waiting until each balancer had left its endpoints one by one. It is
// evacuated as one; but not for one endpoint, and never the last zone, whatever fails.
func TestFailingZoneIsEvacuatedAndReturnedTo(t *testing.T) {
	for _, c := range []struct {
		name                          string
		failing                       []int
		evacuations, returns, blocked int
	}{
		{"all healthy", []int{0, 0, 0}, 0, 0, 0},
		{"one endpoint", []int{1, 0, 0}, 0, 0, 0},
		{"too few", []int{4, 0, 0}, 0, 0, 0},
		{"a zone", []int{6, 0, 0}, 1, 0, 0},
		{"a zone, and too few of another", []int{8, 4, 0}, 1, 0, 0},
		{"two zones of three", []int{8, 8, 0}, 2, 0, 0},
		{"all zones: the last stays", []int{8, 8, 8}, 2, 0, 1},
		{"the only zone", []int{8}, 0, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newControllerRun()
			r.run(10_000*millisecond, func(int64) []ZoneHealth { return zonesOfEight(c.failing...) })
			if r.evacuations != c.evacuations || r.returns != c.returns || r.blocked != c.blocked {
				t.Errorf("%d evacuations, %d returns, %d blocked", r.evacuations, r.returns, r.blocked)
			}
			r.run(10_000*millisecond, func(int64) []ZoneHealth { return zonesOfEight(make([]int, len(c.failing))...) })
			if r.returns != c.evacuations || len(r.evacuated) != 0 {
				t.Errorf("after recovery: %d returns, %v still evacuated", r.returns, r.evacuated)
			}
		})
	}
}

// A hiccup of a quarter of a second moves no traffic.
func TestShortFailureIsIgnored(t *testing.T) {
	r := newControllerRun()
	r.run(10_000*millisecond, func(now int64) []ZoneHealth { return zonesOfEight(8*int(now/(250*millisecond)%2), 0, 0) })
	if r.evacuations != 0 {
		t.Errorf("%d evacuations for failures of 250 ms", r.evacuations)
	}
}

// Operators took out two of three zones, and the fleet left the third by itself. What operators evacuated counts as
// gone: the last zone stays.
func TestLastZoneBesideOperatorsStays(t *testing.T) {
	r := newControllerRun("z1", "z2")
	r.run(5000*millisecond, func(int64) []ZoneHealth { return zonesOfEight(8, 0, 0) })
	if r.evacuations != 0 || r.blocked != 1 {
		t.Errorf("%d evacuations, %d blocked", r.evacuations, r.blocked)
	}
}

// A zone that fails and recovers every four seconds was evacuated and returned to each time, with a cold cache. Holds
// double, so the changes become rare.
func TestFlappingZoneChangesEverMoreRarely(t *testing.T) {
	r := newControllerRun()
	began := r.now
	r.run(300_000*millisecond, func(now int64) []ZoneHealth {
		return zonesOfEight(8*int((now-began)/(4000*millisecond)%2), 0, 0)
	})
	for n := 2; n < len(r.changedAt); n++ {
		if apart := r.changedAt[n] - r.changedAt[n-1]; apart < evacuationHold {
			t.Errorf("two changes within %d ms", apart/millisecond)
		}
	}
	if len(r.changedAt) > 8 {
		t.Errorf("%d changes in five minutes", len(r.changedAt))
	}
}

// A zone that failed once a week would in the end stay evacuated for minutes each time, if relapses were never
// forgotten. A return that lasted five minutes is no longer held against it, one that lasted a little less is.
func TestRelapsesAreForgottenAfterFiveMinutes(t *testing.T) {
	for _, c := range []struct{ healthyFor, wantHold int64 }{
		{299_000 * millisecond, 2 * returnHold},
		{301_000 * millisecond, returnHold},
	} {
		r := newControllerRun()
		healthy := func(int64) []ZoneHealth { return zonesOfEight(0, 0) }
		failing := func(int64) []ZoneHealth { return zonesOfEight(8, 0) }
		r.run(1000*millisecond, failing)
		r.run(returnHold+tickInterval+c.healthyFor, healthy)
		r.run(1000*millisecond, failing)
		recoveredAt := r.now
		r.run(30_000*millisecond, healthy)
		if r.evacuations != 2 || r.returns != 2 {
			t.Fatalf("%d evacuations, %d returns", r.evacuations, r.returns)
		}
		if hold := r.changedAt[3] - recoveredAt; hold != c.wantHold {
			t.Errorf("healthy for %d s: returned to after %d ms", c.healthyFor/1000/millisecond, hold/millisecond)
		}
	}
}

// Seeded noise about one endpoint, about half of a zone, or for moments moves no traffic. HOLLYLEVER_PLANS is how many
// seeds are run.
func TestNoiseCausesNoEvacuation(t *testing.T) {
	seeds := 200
	if n, err := strconv.Atoi(os.Getenv("HOLLYLEVER_PLANS")); err == nil {
		seeds = n
	}
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 6))
		controller, now := &Controller{}, int64(1e12)
		zone, failingOfHalf := random.IntN(3), 0
		for step := range 400 {
			failing := make([]int, 3)
			switch seed % 3 {
			case 0: // One endpoint, for as long as it likes.
				failing[zone] = 1
			case 1: // Up to a half of a zone's.
				if step%20 == 0 {
					failingOfHalf = random.IntN(5)
				}
				failing[zone] = failingOfHalf
			default: // All of a zone's, for less than it takes.
				if step%10 < 4 {
					failing[zone] = 8
				}
			}
			if proposals, _ := controller.Tick(now, zonesOfEight(failing...), nil); len(proposals) > 0 {
				t.Fatalf("seed %d step %d: %+v", seed, step, proposals)
			}
			now += tickInterval
		}
	}
}

// A zone that was repaired after a bad night stayed evacuated for hours when holds doubled without a bound. The longest
// is 192 s.
func TestHoldIsBounded(t *testing.T) {
	state := &zoneState{relapses: 40}
	if hold := state.hold(1e12, true); hold != 192_000*millisecond {
		t.Errorf("after 40 relapses it is returned to after %d ms", hold/millisecond)
	}
}
