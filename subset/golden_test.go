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

var update = flag.Bool("update", false, "overwrite the golden files in testdata with the current output")

// If balancers of two builds compute different subsets, some endpoints are in no balancer's subset. The trace includes
// each endpoint's balancers and each balancer's endpoints, for several fleet sizes, zones, weights and configurations.
func TestGoldenSubsets(t *testing.T) {
	var lines []string
	for _, size := range [][3]int{{0, 3, 1}, {3, 0, 1}, {1, 1, 1}, {3, 3, 3}, {3, 200, 2}, {12, 24, 3}, {30, 7, 4}, {100, 60, 3}} {
		for _, config := range []Config{
			DefaultConfig,
			{MinEndpoints: 20, MinBalancers: 3, ZoneLocal: true},
			{MinEndpoints: 1, MinBalancers: 1, ZoneLocal: true},
			{},
		} {
			sum := sha256.New()
			balancers, endpoints := newFleet(size[0], size[1], size[2])
			for n := range endpoints {
				endpoints[n].Weight = []float64{1, 0, 2, 0.25, -3, math.Inf(1), math.NaN(), 7}[n%8]
				if n%5 == 4 {
					endpoints[n].Zone = "zone without balancers"
				}
			}
			assignment := New(balancers, endpoints, config)
			for _, e := range endpoints {
				fmt.Fprintf(sum, "%q\n", assignment.BalancersOf(e))
			}
			for _, b := range balancers {
				fmt.Fprintf(sum, "%q\n", assignment.EndpointsOf(b.Name, endpoints))
			}
			fmt.Fprintf(sum, "%q\n", assignment.EndpointsOf("unknown balancer", endpoints))
			perEndpoint := config.BalancersPerEndpoint(size[0], size[1])
			lines = append(lines, fmt.Sprint(size, " ", perEndpoint, " ", hex.EncodeToString(sum.Sum(nil))))
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
