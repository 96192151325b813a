package outage

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files in testdata with the current results")

// Guards against changes in when a zone is suspected, even by a single attempt, which other tests do not detect. In
// runs with five zones that fail occasionally, one or two of them completely, all results must equal those of version
// 860147b.
func TestGoldenTrace(t *testing.T) {
	trace, suspected, avoided := sha256.New(), 0, 0
	for seed := range uint64(40) {
		random, d, now := rand.New(rand.NewPCG(seed, 3)), New(3*second), int64(0)
		rate := []float64{0, 0.02, 0.1, 0.4}[seed%4]
		for n := range 2000 {
			now += random.Int64N(20 * ms)
			zone, server := random.IntN(5)-1, random.IntN(120)
			isDown := n/300%2 == 1 && zone == n/600%4 || n/500%3 == 2 && zone == 3
			if isDown || random.Float64() < rate {
				d.RecordFailure(zone, server, now)
			} else {
				d.RecordResponse(zone, now)
			}
			asked, draw := random.IntN(5)-1, random.Float64()
			suspects, avoids := d.IsSuspected(asked), d.ShouldAvoid(asked, now+random.Int64N(second), draw)
			fmt.Fprintln(trace, suspects, avoids)
			if suspects {
				suspected++
			}
			if avoids {
				avoided++
			}
		}
	}
	if suspected < 1000 || avoided < 500 {
		t.Errorf("only %d results suspected and %d avoided: the run covers too few cases", suspected, avoided)
	}
	got, path := hex.EncodeToString(trace.Sum(nil)), filepath.Join("testdata", "trace.golden")
	if *update {
		if err := os.WriteFile(path, []byte(got+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil || strings.TrimSpace(string(want)) != got {
		t.Errorf("trace hash is %s, want %s (read error: %v)", got, want, err)
	}
}
