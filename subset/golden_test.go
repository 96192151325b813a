package subset

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files in testdata from what the code does now")

// Balancers of two builds that compute other subsets leave some hosts without anybody who looks after them. Each host's balancers and each balancer's
// hosts are part of the trace, over sizes, zones, weights and nearness.
func TestGoldenSubsets(t *testing.T) {
	var lines []string
	for _, size := range [][3]int{{0, 3, 1}, {3, 0, 1}, {1, 1, 1}, {3, 3, 3}, {3, 200, 2}, {12, 24, 3}, {30, 7, 4}, {100, 60, 3}} {
		for _, rule := range []Config{DefaultConfig, {MinEndpoints: 20, MinBalancers: 3, ZoneLocal: true}, {MinEndpoints: 1, MinBalancers: 1, ZoneLocal: true}, {}} {
			sum := sha256.New()
			all, of := some(size[0], size[1], size[2])
			for n := range of {
				of[n].Weight = []float64{1, 0, 2, 0.25, -3, math.Inf(1), math.NaN(), 7}[n%8]
				if n%5 == 4 {
					of[n].Zone = "nobody's"
				}
			}
			s := New(all, of, rule)
			for _, h := range of {
				fmt.Fprintf(sum, "%q\n", s.BalancersOf(h))
			}
			for _, b := range all {
				fmt.Fprintf(sum, "%q\n", s.EndpointsOf(b.Name, of))
			}
			fmt.Fprintf(sum, "%q\n", s.EndpointsOf("nobody", of))
			lines = append(lines, fmt.Sprint(size, " ", rule.BalancersPerEndpoint(size[0], size[1]), " ", hex.EncodeToString(sum.Sum(nil))))
		}
	}
	path, got := "testdata/subsets.golden", strings.Join(lines, "\n")+"\n"
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
