package siblings

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files in testdata")

// During an upgrade, processes of two versions divide the limits, each using the other's published state. If they
// computed different target claims, both would wait for free resources or close connections needlessly. Checks for
// seeded random states that all results equal those of version 860147b.
func TestGoldenDivision(t *testing.T) {
	digest, random := sha256.New(), rand.New(rand.NewPCG(5, 5))
	randomState := func() processState {
		amount := func(upper Resources) Resources {
			return forEachResource(func(r resource) int64 { return random.Int64N(upper.get(r) + 1) })
		}
		state := processState{PID: 1, StartedAt: random.Int64N(4),
			Phase: []Phase{Starting, Serving, Draining, ""}[min(random.IntN(7), 3)], Claim: amount(limits)}
		if random.IntN(4) == 0 {
			state.Claim = Resources{}
		}
		state.Usage = amount(state.Claim)
		state.Attempts = []float64{0, random.Float64() * 100, 1e300 * 1e8, math.NaN()}[min(random.IntN(20), 3)]
		if random.IntN(3) > 0 {
			state.Attempts = random.Float64() * 100
		}
		return state
	}
	for range 5_000 {
		own, others := randomState(), []processState(nil)
		for range random.IntN(4) {
			others = append(others, randomState())
		}
		if own.Phase == "" {
			own.Phase = Serving
		}
		for _, mayRaise := range []bool{false, true} {
			target, claim := targetClaim(limits, own, others), nextClaim(limits, own, others, mayRaise)
			for _, a := range []Resources{target, claim, allowance(limits, own, others)} {
				fmt.Fprintln(digest, a.ClientConnections, a.EndpointConnections, a.MemoryBytes)
			}
		}
		share := attemptShare(own, others)
		if math.IsNaN(share) {
			share = -1 // NaN has several bit patterns.
		}
		lowerLimits := Resources{ClientConnections: 100, EndpointConnections: 100, MemoryBytes: 50 << 20}
		fmt.Fprintln(digest, math.Float64bits(share), isSnapshotWriter(own, others), own.isValid(lowerLimits))
	}
	got, path := hex.EncodeToString(digest.Sum(nil)), filepath.Join("testdata", "division.golden")
	if *update {
		if err := os.WriteFile(path, []byte(got+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil || strings.TrimSpace(string(want)) != got {
		t.Errorf("digest of results is %s, want %s (%v)", got, want, err)
	}
}

// A new version that cannot decode the old version's state treats it as partially written and gets no resources while
// it starts. The fixtures are states published by version 860147b. Each state must be written byte for byte like its
// fixture and must be decoded to the same state by another process.
func TestPublishedStatesStayReadable(t *testing.T) {
	for name, state := range map[string]processState{
		"starting": {PID: 4711, StartedAt: startedAtBase + 12, Phase: Starting,
			Claim: Resources{ClientConnections: 20, EndpointConnections: 21, MemoryBytes: 16 << 20}},
		"serving": {PID: 1, StartedAt: startedAtBase, Phase: Serving,
			Claim: Resources{ClientConnections: 140, EndpointConnections: 139, MemoryBytes: 48 << 20},
			Usage: Resources{ClientConnections: 9, EndpointConnections: 8, MemoryBytes: 7 << 20}, Attempts: 12.625},
		"leaving": {PID: 2, StartedAt: 1_700_000_000_000_000_000, Phase: Draining,
			Claim: Resources{ClientConnections: 1}, Usage: Resources{ClientConnections: 1}, Attempts: 0.1},
	} {
		directory, path := t.TempDir(), filepath.Join("testdata", "row-"+name+".json")
		old := join(t, directory)
		old.own = state
		if err := old.publish(); err != nil {
			t.Fatal(err)
		}
		published, err := os.ReadFile(filepath.Join(directory, "hollylever.kin.0"))
		if err != nil {
			t.Fatal(err)
		}
		if *update {
			if err := os.WriteFile(path, published, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		stored, err := os.ReadFile(path)
		if err != nil || !bytes.Equal(stored, published) {
			t.Errorf("%s: written %q, stored %q, %v", name, published, stored, err)
		}
		if err := os.WriteFile(filepath.Join(directory, "hollylever.kin.0"), stored, 0o600); err != nil {
			t.Fatal(err)
		}
		successor := join(t, directory)
		successor.readOthers()
		if len(successor.others) != 1 || successor.others[0] != state {
			t.Errorf("%s: read as %+v, want %+v", name, successor.others, state)
		}
		successor.Close()
		old.Close()
	}
}
