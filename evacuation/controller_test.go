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

// zonesOfEight returns zones z0, z1, ... with eight endpoints each and the given numbers of failing endpoints.
func zonesOfEight(failing ...int) (zones []ZoneHealth) {
	for n, failingCount := range failing {
		zones = append(zones, ZoneHealth{fmt.Sprint("z", n), 8, failingCount})
	}
	return zones
}

// controllerRun simulates a fleet that applies each proposal immediately, and counts the changes.
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

// Guards against a failing zone delaying a third of the requests until each balancer has ejected its endpoints one by
// one. The zone is evacuated as a whole; but not because of one endpoint, and the last zone never.
func TestFailingZoneIsEvacuatedAndReturnedTo(t *testing.T) {
	for _, c := range []struct {
		name                          string
		failing                       []int
		evacuations, returns, blocked int
	}{
		{"all healthy", []int{0, 0, 0}, 0, 0, 0},
		{"one endpoint", []int{1, 0, 0}, 0, 0, 0},
		{"half of a zone", []int{4, 0, 0}, 0, 0, 0},
		{"a zone", []int{6, 0, 0}, 1, 0, 0},
		{"a zone, and half of another", []int{8, 4, 0}, 1, 0, 0},
		{"two zones of three", []int{8, 8, 0}, 2, 0, 0},
		{"all zones: the last is kept", []int{8, 8, 8}, 2, 0, 1},
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

// Failures of a quarter of a second, shorter than evacuationHold, move no traffic.
func TestShortFailureIsIgnored(t *testing.T) {
	r := newControllerRun()
	r.run(10_000*millisecond, func(now int64) []ZoneHealth { return zonesOfEight(8*int(now/(250*millisecond)%2), 0, 0) })
	if r.evacuations != 0 {
		t.Errorf("%d evacuations for failures of 250 ms", r.evacuations)
	}
}

// Guards against the fleet evacuating the last zone after operators evacuated the two others: zones evacuated by
// operators do not count as remaining capacity.
func TestLastZoneStaysWhenOperatorsEvacuatedTheOthers(t *testing.T) {
	r := newControllerRun("z1", "z2")
	r.run(5000*millisecond, func(int64) []ZoneHealth { return zonesOfEight(8, 0, 0) })
	if r.evacuations != 0 || r.blocked != 1 {
		t.Errorf("%d evacuations, %d blocked", r.evacuations, r.blocked)
	}
}

// Guards against evacuating and returning to a zone that fails and recovers every four seconds each time, with a cold
// cache. The hold doubles with each relapse, so that changes become rare.
func TestHoldsOfFlappingZoneDouble(t *testing.T) {
	r := newControllerRun()
	startedAt := r.now
	r.run(300_000*millisecond, func(now int64) []ZoneHealth {
		return zonesOfEight(8*int((now-startedAt)/(4000*millisecond)%2), 0, 0)
	})
	for n := 2; n < len(r.changedAt); n++ {
		if interval := r.changedAt[n] - r.changedAt[n-1]; interval < evacuationHold {
			t.Errorf("two changes within %d ms", interval/millisecond)
		}
	}
	if len(r.changedAt) > 8 {
		t.Errorf("%d changes in five minutes", len(r.changedAt))
	}
}

// If relapses were never forgotten, a zone that fails once a week would eventually stay evacuated for minutes each
// time. A zone that fails again later than five minutes after its return starts with the shortest hold.
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

// Random failures of one endpoint, of up to half of a zone, or of a whole zone for a short time move no traffic.
// HOLLYLEVER_PLANS sets the number of seeds.
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
			case 0: // One endpoint, for any time.
				failing[zone] = 1
			case 1: // Up to half of a zone's endpoints.
				if step%20 == 0 {
					failingOfHalf = random.IntN(5)
				}
				failing[zone] = failingOfHalf
			default: // All of a zone's endpoints, for less than evacuationHold.
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

// Without a limit on the doubling of the hold, a zone that was repaired after many relapses would stay evacuated for
// hours. The longest hold is 192 s.
func TestHoldIsBounded(t *testing.T) {
	state := &zoneState{relapses: 40}
	if hold := state.hold(1e12, true); hold != 192_000*millisecond {
		t.Errorf("after 40 relapses it is returned to after %d ms", hold/millisecond)
	}
}
