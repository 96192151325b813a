package evacuation

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "overwrite the golden files in testdata with the current output")

// compareGolden compares lines with a golden file in testdata.
func compareGolden(t *testing.T, name string, lines []string) {
	t.Helper()
	path, got := "testdata/"+name, strings.Join(lines, "\n")+"\n"
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: got\n%swant\n%s", path, got, want)
	}
}

// Leaders of different builds must make the same proposals: one that evacuates a zone sooner, later or more often than
// the others undoes what they agreed on. Over an hour of simulated time, random zones fail, flap and recover, operators
// evacuate zones and proposals get lost. The trace includes each proposal and each zone that is blocked from
// evacuation.
func TestGoldenProposals(t *testing.T) {
	var lines []string
	for seed := range uint64(8) {
		random := rand.New(rand.NewPCG(seed, 14))
		controller, sum, now, evacuated := &Controller{}, sha256.New(), int64(1e12), []string{}
		zones := make([]ZoneHealth, 1+int(seed)%5)
		for n := range zones {
			zones[n] = ZoneHealth{Zone: fmt.Sprint("z", n), Endpoints: random.IntN(9)}
		}
		counts := [3]int{}
		for step := range 36_000 {
			if random.IntN(60) == 0 {
				n := random.IntN(len(zones))
				switch random.IntN(8) {
				case 0, 1:
					zones[n].Failing = zones[n].Endpoints
				case 2:
					zones[n].Failing = random.IntN(zones[n].Endpoints + 1)
				case 3:
					evacuated = append(evacuated, zones[n].Zone) // By an operator.
				case 4:
					evacuated = slices.DeleteFunc(evacuated, func(name string) bool { return name == zones[n].Zone })
				case 5:
					if random.IntN(20) == 0 {
						controller = &Controller{} // The leader changes.
					}
				default:
					for n := range zones {
						zones[n].Failing = 0
					}
				}
			}
			proposals, blocked := controller.Tick(now, zones, evacuated)
			for _, proposal := range proposals {
				fmt.Fprintf(sum, "%d %s %t %q %d %d\n", now, proposal.Zone, proposal.Evacuate, proposal.Reason,
					proposal.Endpoints, proposal.Failing)
				if random.IntN(4) == 0 {
					counts[2]++
					continue // The proposal is lost.
				}
				if proposal.Evacuate {
					counts[0]++
					evacuated = append(evacuated, AutomaticPrefix+proposal.Zone)
				} else {
					counts[1]++
					evacuated = slices.DeleteFunc(evacuated, func(name string) bool { return name == AutomaticPrefix+proposal.Zone })
				}
			}
			for _, v := range blocked {
				fmt.Fprintf(sum, "%d stays %s %d %d\n", now, v.Zone, v.Endpoints, v.Failing)
			}
			if now += 100 * millisecond; step%1200 == 1199 { // Eight minutes without changes.
				now += 480_000 * millisecond
			}
		}
		lines = append(lines, fmt.Sprint("seed ", seed, " ", counts, " ", hex.EncodeToString(sum.Sum(nil))))
	}
	compareGolden(t, "proposals.golden", lines)
}

// Processes whose ramps have different shares send the same key to different endpoints, so all builds must compute the
// same shares. Covers random evacuations and returns, by operators and by the fleet, with slow ramps, the process's
// own zone, clock jumps and handover between processes.
func TestGoldenRamps(t *testing.T) {
	lines := []string{fmt.Sprint(AutomaticPrefix, " ", MinRemainingShare, " ", rampSteps)}
	for seed := range uint64(8) {
		random := rand.New(rand.NewPCG(seed, 13))
		ramp, sum, now := &Ramp{}, sha256.New(), int64(1e12)
		durations := RampDurations{
			EvacuationNanos: int64(seed) * 2000 * millisecond,
			RecoveryNanos:   random.Int64N(60_000 * millisecond),
		}
		var evacuated []string
		ownZoneHealthy, slow := false, false
		for range 20_000 {
			switch random.IntN(160) {
			case 0:
				evacuated = append(evacuated, "z")
			case 1, 2:
				evacuated = append(evacuated, AutomaticPrefix+"z")
			case 3, 4, 5:
				evacuated = []string{"y", AutomaticPrefix + "y"}
			case 6:
				ownZoneHealthy = !ownZoneHealthy
			case 7:
				slow = !slow
			case 8:
				ramp = &Ramp{}
			case 9:
				ramp.Start([]float64{math.NaN(), math.Inf(1), -0.1, 0, 0.3, 1, 1.1}[random.IntN(7)])
			case 10:
				share, at := ramp.Position()
				ramp = &Ramp{}
				ramp.Resume(share, at+random.Int64N(4000*millisecond)-2000*millisecond, now)
			case 11:
				now -= random.Int64N(500 * millisecond)
			}
			now += random.Int64N(200 * millisecond)
			share := ramp.Advance(now, "z", evacuated, ownZoneHealthy, slow, durations)
			unrounded, at := ramp.Position()
			fmt.Fprintln(sum, share, unrounded, at, ramp.roundedShare())
		}
		lines = append(lines, fmt.Sprint("seed ", seed, " ", hex.EncodeToString(sum.Sum(nil))))
	}
	compareGolden(t, "ramps.golden", lines)
}
