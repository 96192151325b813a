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

// Two builds that grant other shares for the same requests can be over the whole together while the lead passes from
// one to the other. At most three processes are known to a ledger at a time here: more are summed in the order of a
// map, whose rounding differs from run to run.
func TestGoldenGrants(t *testing.T) {
	var lines []string
	for maxProcesses := range 8 {
		random, sum := rand.New(rand.NewPCG(uint64(maxProcesses), 21)), sha256.New()
		now := int64(1e12)
		ledger := New(now, maxProcesses, leaseTimeout)
		incarnations, seqs, held := [3]uint64{1, 1, 1}, [3]uint64{}, [3]HeldShare{}
		crashed := now
		over, deaf := 0, false
		processes := 2 + maxProcesses%2 // With three nobody crashes: a new incarnation is one process more.
		for range 20_000 {
			now += random.Int64N(60 * millisecond)
			switch n := random.IntN(processes); random.IntN(300) {
			case 0:
				if processes == 2 && now > crashed+leaseTimeout {
					crashed, incarnations[n], seqs[n], held[n] = now, incarnations[n]+1, 0, HeldShare{}
				}
			case 1:
				over += ledger.Overcommits
				ledger = New(now, maxProcesses, leaseTimeout) // Another leads.
			case 2:
				now += 2 * leaseTimeout
			case 3, 4:
				deaf = !deaf // No answer arrives: promises pile up.
			}
			n := random.IntN(processes)
			seqs[n]++
			request := ShareRequest{Seq: seqs[n], GrantSeq: held[n].GrantSeq, RequestRate: float64(random.IntN(500))}
			switch random.IntN(40) {
			case 0:
				request.RequestRate = []float64{math.NaN(), math.Inf(1), -5, 1e300, 0.3}[random.IntN(5)]
			case 1:
				request.GrantSeq = random.Uint64() // It lies about what it holds.
			}
			share := ledger.Grant(now, Holder{fmt.Sprint("p", n), incarnations[n]}, request)
			if !deaf && random.IntN(3) != 0 { // Else the answer is lost.
				held[n].Accept(request.Seq-uint64(random.IntN(2)), share)
			}
			fmt.Fprintln(sum, n, share, held[n].Share, held[n].GrantSeq, ledger.Overcommits, promised(ledger, now) > 0)
		}
		lines = append(lines, fmt.Sprint("most ", maxProcesses, " alone ", ShareWithoutLease(maxProcesses),
			" over ", over+ledger.Overcommits, " ", hex.EncodeToString(sum.Sum(nil))))
	}
	compareGolden(t, "grants.golden", lines)
}
