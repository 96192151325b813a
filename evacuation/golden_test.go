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

var update = flag.Bool("update", false, "write the golden files in testdata from what the code does now")

// compareGolden holds lines against a file in testdata.
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

// A leader of another build that leaves a zone sooner, later or oftener than its neighbours undoes what they agreed on. Seeded zones fail, flap and
// come back for an hour, operators leave them meanwhile and proposals get lost; each proposal and each zone that has to stay is part of the trace.
func TestGoldenProposals(t *testing.T) {
	var lines []string
	for seed := range uint64(8) {
		chance := rand.New(rand.NewPCG(seed, 14))
		w, sum, now, left := &Controller{}, sha256.New(), int64(1e12), []string{}
		all := make([]ZoneHealth, 1+int(seed)%5)
		for n := range all {
			all[n] = ZoneHealth{Zone: fmt.Sprint("z", n), Endpoints: chance.IntN(9)}
		}
		counts := [3]int{}
		for step := range 36_000 {
			if chance.IntN(60) == 0 {
				n := chance.IntN(len(all))
				switch chance.IntN(8) {
				case 0, 1:
					all[n].Failing = all[n].Endpoints
				case 2:
					all[n].Failing = chance.IntN(all[n].Endpoints + 1)
				case 3:
					left = append(left, all[n].Zone) // By an operator.
				case 4:
					left = slices.DeleteFunc(left, func(name string) bool { return name == all[n].Zone })
				case 5:
					if chance.IntN(20) == 0 {
						w = &Controller{} // Another leads.
					}
				default:
					for n := range all {
						all[n].Failing = 0
					}
				}
			}
			say, stays := w.Tick(now, all, left)
			for _, s := range say {
				fmt.Fprintf(sum, "%d %s %t %q %d %d\n", now, s.Zone, s.Evacuate, s.Reason, s.Endpoints, s.Failing)
				if chance.IntN(4) == 0 {
					counts[2]++
					continue // The proposal is lost.
				}
				if s.Evacuate {
					counts[0]++
					left = append(left, AutomaticPrefix+s.Zone)
				} else {
					counts[1]++
					left = slices.DeleteFunc(left, func(name string) bool { return name == AutomaticPrefix+s.Zone })
				}
			}
			for _, v := range stays {
				fmt.Fprintf(sum, "%d stays %s %d %d\n", now, v.Zone, v.Endpoints, v.Failing)
			}
			if now += 100 * ms; step%1200 == 1199 { // A calm of eight minutes.
				now += 480_000 * ms
			}
		}
		lines = append(lines, fmt.Sprint("seed ", seed, " ", counts, " ", hex.EncodeToString(sum.Sum(nil))))
	}
	compareGolden(t, "proposals.golden", lines)
}

// Processes that stand at different places of the way send the same key to different hosts. Seeded ways out and back, by operators and by the fleet,
// with slow steps, own zones, clocks that jump and processes that go on from another's place.
func TestGoldenRamps(t *testing.T) {
	lines := []string{fmt.Sprint(AutomaticPrefix, " ", MinRemainingShare, " ", Steps)}
	for seed := range uint64(8) {
		chance := rand.New(rand.NewPCG(seed, 13))
		p, sum, now := &Ramp{}, sha256.New(), int64(1e12)
		terms := RampDurations{EvacuationNanos: int64(seed) * 2000 * ms, RecoveryNanos: chance.Int64N(60_000 * ms)}
		var left []string
		own, slow := false, false
		for range 20_000 {
			switch chance.IntN(160) {
			case 0:
				left = append(left, "z")
			case 1, 2:
				left = append(left, AutomaticPrefix+"z")
			case 3, 4, 5:
				left = []string{"y", AutomaticPrefix + "y"}
			case 6:
				own = !own
			case 7:
				slow = !slow
			case 8:
				p = &Ramp{}
			case 9:
				p.Start([]float64{math.NaN(), math.Inf(1), -0.1, 0, 0.3, 1, 1.1}[chance.IntN(7)])
			case 10:
				part, at := p.Position()
				p = &Ramp{}
				p.Resume(part, at+chance.Int64N(4000*ms)-2000*ms, now)
			case 11:
				now -= chance.Int64N(500 * ms)
			}
			now += chance.Int64N(200 * ms)
			share := p.Advance(now, "z", left, own, slow, terms)
			part, at := p.Position()
			fmt.Fprintln(sum, share, part, at, p.Part())
		}
		lines = append(lines, fmt.Sprint("seed ", seed, " ", hex.EncodeToString(sum.Sum(nil))))
	}
	compareGolden(t, "ramps.golden", lines)
}
