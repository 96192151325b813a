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

// Two builds that grant other shares for the same requests can be over the whole together while the lead passes from one to the other. At most three
// processes are known to a ledger at a time here: more are summed in the order of a map, whose rounding differs from run to run.
func TestGoldenGrants(t *testing.T) {
	var lines []string
	for most := range 8 {
		chance, sum := rand.New(rand.NewPCG(uint64(most), 21)), sha256.New()
		const outlasts = 1837 * ms
		now := int64(1e12)
		l := New(now, most, outlasts)
		lives, seqs, held := [3]uint64{1, 1, 1}, [3]uint64{}, [3]HeldShare{}
		crashed := now
		over, deaf := 0, false
		processes := 2 + most%2 // With three nobody crashes: a new life is one process more.
		for range 20_000 {
			now += chance.Int64N(60 * ms)
			switch n := chance.IntN(processes); chance.IntN(300) {
			case 0:
				if processes == 2 && now > crashed+outlasts {
					crashed, lives[n], seqs[n], held[n] = now, lives[n]+1, 0, HeldShare{}
				}
			case 1:
				over += l.Over
				l = New(now, most, outlasts) // Another leads.
			case 2:
				now += 2 * outlasts
			case 3, 4:
				deaf = !deaf // No answer arrives: promises pile up.
			}
			n := chance.IntN(processes)
			seqs[n]++
			told := ShareRequest{Seq: seqs[n], GrantSeq: held[n].GrantSeq, RequestRate: float64(chance.IntN(500))}
			switch chance.IntN(40) {
			case 0:
				told.RequestRate = []float64{math.NaN(), math.Inf(1), -5, 1e300, 0.3}[chance.IntN(5)]
			case 1:
				told.GrantSeq = chance.Uint64() // It lies about what it holds.
			}
			share := l.Grant(now, Holder{fmt.Sprint("p", n), lives[n]}, told)
			if !deaf && chance.IntN(3) != 0 { // Else the answer is lost.
				held[n].Accept(told.Seq-uint64(chance.IntN(2)), share)
			}
			fmt.Fprintln(sum, n, share, held[n].Share, held[n].GrantSeq, l.Over, l.Promised(now) > 0)
		}
		lines = append(lines, fmt.Sprint("most ", most, " alone ", ShareWithoutLease(most), " over ", over+l.Over, " ", hex.EncodeToString(sum.Sum(nil))))
	}
	compareGolden(t, "grants.golden", lines)
}

// A ledger that knows as many processes as it may keep gives any other the share of one alone, and keeps nothing of it.
func TestGoldenFullLedger(t *testing.T) {
	l, now := New(0, 4, 1837*ms), int64(1e12)
	for n := range maxAccounts {
		l.holders[Holder{fmt.Sprint("p", n), 1}] = &account{rate: 1, promises: []promise{{1, 1e-6, now + 1}}}
	}
	if share := l.Grant(now, Holder{"one more", 1}, ShareRequest{Seq: 1, RequestRate: 100}); share != ShareWithoutLease(4) || len(l.holders) != maxAccounts {
		t.Errorf("share %v, %d processes known", share, len(l.holders))
	}
	var h HeldShare
	for _, c := range []struct {
		seq   uint64
		share float64
		want  HeldShare
	}{{1, 0.5, HeldShare{0.5, 1}}, {1, 0.6, HeldShare{0.5, 1}}, {2, 0, HeldShare{0.5, 1}}, {2, 1.01, HeldShare{0.5, 1}}, {2, math.NaN(), HeldShare{0.5, 1}}, {3, 1, HeldShare{1, 3}}, {2, 0.2, HeldShare{1, 3}}} {
		if h.Accept(c.seq, c.share); h != c.want {
			t.Errorf("after %d, %v: %+v, not %+v", c.seq, c.share, h, c.want)
		}
	}
}
