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

var update = flag.Bool("update", false, "write the golden values in testdata anew")

// During an upgrade both versions divide the limits by the same rule, each from the other's row. Were one to aim for other figures
// than the other expects, both would wait for room or close connections that need not go. Over seeded plans each figure stays as
// version 860147b computed it.
func TestGoldenDivision(t *testing.T) {
	trace, random := sha256.New(), rand.New(rand.NewPCG(5, 5))
	row := func() Row {
		amount := func(most Resources) (a Resources) {
			for n, x := range a.parts() {
				*x = random.Int64N(*most.parts()[n] + 1)
			}
			return a
		}
		r := Row{Pid: 1, Since: random.Int64N(4), Phase: []Phase{Starting, Serving, Draining, ""}[min(random.IntN(7), 3)], Claim: amount(all)}
		if random.IntN(4) == 0 {
			r.Claim = Resources{}
		}
		r.Use = amount(r.Claim)
		r.Trips = []float64{0, random.Float64() * 100, 1e300 * 1e8, math.NaN()}[min(random.IntN(20), 3)]
		if random.IntN(3) > 0 {
			r.Trips = random.Float64() * 100
		}
		return r
	}
	for range 5_000 {
		own, others := row(), []Row(nil)
		for range random.IntN(4) {
			others = append(others, row())
		}
		if own.Phase == "" {
			own.Phase = Serving
		}
		for _, raise := range []bool{false, true} {
			aim, claim, allowed := Aim(all, own, others), Divide(all, own, others, raise), Allowed(all, own, others)
			for _, a := range []Resources{aim, claim, allowed} {
				fmt.Fprintln(trace, a.ClientConnections, a.EndpointConnections, a.MemoryBytes)
			}
		}
		part := Part(own, others)
		if math.IsNaN(part) {
			part = -1 // One NaN has many forms.
		}
		fmt.Fprintln(trace, math.Float64bits(part), Writes(own, others), own.sound(Resources{ClientConnections: 100, EndpointConnections: 100, MemoryBytes: 50 << 20}))
	}
	got, path := hex.EncodeToString(trace.Sum(nil)), filepath.Join("testdata", "division.golden")
	if *update {
		if err := os.WriteFile(path, []byte(got+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil || strings.TrimSpace(string(want)) != got {
		t.Errorf("the trace is %s, want %s (%v)", got, want, err)
	}
}

// A new version that can't read the old one's row takes it for torn and is given nothing while it starts. The fixtures are rows that
// version 860147b wrote; each is written the same to the byte and read by the process beside it with the same content.
func TestStoredRowsStayReadable(t *testing.T) {
	for name, row := range map[string]Row{
		"starting": {Pid: 4711, Since: sinceBase + 12, Phase: Starting, Claim: Resources{ClientConnections: 20, EndpointConnections: 21, MemoryBytes: 16 << 20}},
		"serving": {Pid: 1, Since: sinceBase, Phase: Serving, Claim: Resources{ClientConnections: 140, EndpointConnections: 139, MemoryBytes: 48 << 20},
			Use: Resources{ClientConnections: 9, EndpointConnections: 8, MemoryBytes: 7 << 20}, Trips: 12.625},
		"leaving": {Pid: 2, Since: 1_700_000_000_000_000_000, Phase: Draining, Claim: Resources{ClientConnections: 1}, Use: Resources{ClientConnections: 1}, Trips: 0.1},
	} {
		place, path := t.TempDir(), filepath.Join("testdata", "row-"+name+".json")
		old := joined(t, place)
		old.own = row
		if err := old.write(); err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(filepath.Join(place, "hollylever.kin.0"))
		if err != nil {
			t.Fatal(err)
		}
		if *update {
			if err := os.WriteFile(path, text, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		stored, err := os.ReadFile(path)
		if err != nil || !bytes.Equal(stored, text) {
			t.Errorf("%s: written %q, stored %q, %v", name, text, stored, err)
		}
		if err := os.WriteFile(filepath.Join(place, "hollylever.kin.0"), stored, 0o600); err != nil {
			t.Fatal(err)
		}
		young := joined(t, place)
		young.look()
		if len(young.others) != 1 || young.others[0] != row {
			t.Errorf("%s: read as %+v, want %+v", name, young.others, row)
		}
		young.Leave()
		old.Leave()
	}
}
