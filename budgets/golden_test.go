package budgets

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
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

// Two builds that grant different shares for the same requests can together exceed the whole while leadership passes
// from one to the other. The ledger knows at most three processes at a time here: more would be summed in map iteration
// order, so that rounding errors differ between runs.
func TestGoldenGrants(t *testing.T) {
	var lines []string
	for maxProcesses := range 8 {
		random, sum := rand.New(rand.NewPCG(uint64(maxProcesses), 21)), sha256.New()
		now := int64(1e12)
		ledger := New(now, maxProcesses, leaseTimeout)
		incarnations, seqs, held := [3]uint64{1, 1, 1}, [3]uint64{}, [3]HeldShare{}
		crashedAt := now
		overcommits, loseGrants := 0, false
		processes := 2 + maxProcesses%2 // With three, none crashes: a new incarnation counts as a further process.
		for range 20_000 {
			now += random.Int64N(60 * millisecond)
			switch n := random.IntN(processes); random.IntN(300) {
			case 0:
				if processes == 2 && now > crashedAt+leaseTimeout {
					crashedAt, incarnations[n], seqs[n], held[n] = now, incarnations[n]+1, 0, HeldShare{}
				}
			case 1:
				overcommits += ledger.Overcommits
				ledger = New(now, maxProcesses, leaseTimeout) // The leader changes.
			case 2:
				now += 2 * leaseTimeout
			case 3, 4:
				loseGrants = !loseGrants // While true, all grants are lost and promises accumulate.
			}
			n := random.IntN(processes)
			seqs[n]++
			request := ShareRequest{Seq: seqs[n], GrantSeq: held[n].GrantSeq, RequestRate: float64(random.IntN(500))}
			switch random.IntN(40) {
			case 0:
				request.RequestRate = []float64{math.NaN(), math.Inf(1), -5, 1e300, 0.3}[random.IntN(5)]
			case 1:
				request.GrantSeq = random.Uint64() // A false report of the share it holds.
			}
			share := ledger.Grant(now, Holder{fmt.Sprint("p", n), incarnations[n]}, request)
			if !loseGrants && random.IntN(3) != 0 { // Otherwise the grant is lost.
				held[n].Accept(request.Seq-uint64(random.IntN(2)), share)
			}
			fmt.Fprintln(sum, n, share, held[n].Share, held[n].GrantSeq, ledger.Overcommits, promised(ledger, now) > 0)
		}
		lines = append(lines, fmt.Sprint("most ", maxProcesses, " alone ", ShareWithoutLease(maxProcesses),
			" over ", overcommits+ledger.Overcommits, " ", hex.EncodeToString(sum.Sum(nil))))
	}
	compareGolden(t, "grants.golden", lines)
}
