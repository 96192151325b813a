package stallwatch

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime/metrics"
	"strconv"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "write the golden values in testdata anew")

// A stall that is named after the wrong cause sends whoever is on call to the wrong machine. Over a grid of gaps, each cause and its
// length stay as version 860147b found them.
func TestGoldenCauses(t *testing.T) {
	trace, seen := sha256.New(), map[Cause]int{}
	for _, over := range []time.Duration{50 * ms, Over, 400 * ms} {
		for _, beat := range []time.Duration{0, 49 * ms, 50 * ms, 100 * ms, 399 * ms, 400 * ms, 900 * ms} {
			for n := range 4 * 4 * 4 * 2 * 2 * 4 {
				of := func(choices int) int {
					choice := n % choices
					n /= choices
					return choice
				}
				part := func() time.Duration { return []time.Duration{0, beat / 4, beat / 2, beat}[of(4)] }
				g := Gap{Beat: beat, CPU: part(), Waited: part(), Pause: part(), Known: of(2) == 1, Resumed: of(2), Stolen: beat}
				late := []time.Duration{0, over/2 - 1, over / 2, over}[of(4)]
				g.Lock, g.Accept, g.Log = beat+late, late, beat+2*late
				for _, f := range Judge(g, over) {
					fmt.Fprintln(trace, string(f.Cause), int64(f.For))
					seen[f.Cause]++
				}
				fmt.Fprintln(trace)
			}
		}
	}
	if len(seen) != 9 {
		t.Errorf("the grid reaches %d of 9 causes: %v", len(seen), seen)
	}
	got, path := hex.EncodeToString(trace.Sum(nil)), filepath.Join("testdata", "causes.golden")
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

// The kernel counts in texts: a column off, and a starved program is said to be frozen.
func TestReadsTheKernelsCounts(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	of := threads{listed: now}
	for name, text := range map[string]string{"1": "100 2000 3\n", "2": "5 70000 6\n", "3": "", "4": "12 0 1\n"} {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		of.files = append(of.files, path)
	}
	of.files = append(of.files, filepath.Join(dir, "gone"))
	if sum, known := of.waited(now); sum != 72000 || !known {
		t.Errorf("%v waited, known: %t", sum, known)
	}
	of.files = of.files[len(of.files)-1:]
	if sum, known := of.waited(now); sum != 0 || known {
		t.Errorf("of no thread: %v waited, known: %t", sum, known)
	}
	if of.waited(now.Add(listEvery + 1)); len(of.files) == 0 || !strings.HasPrefix(of.files[0], "/proc/self/task/") {
		t.Errorf("after %v the threads are %q", listEvery, of.files)
	}
	steal := func() time.Duration {
		text, err := os.ReadFile("/proc/stat")
		if err != nil {
			t.Fatal(err)
		}
		ticks, _ := strconv.Atoi(strings.Fields(string(text))[8])
		return time.Duration(ticks) * 10 * ms
	}
	if before, got, after := steal(), of.stolen(), steal(); got < before || got > after {
		t.Errorf("%v stolen, between %v and %v", got, before, after)
	}
}

// The longest pause is the lower bound of the last bucket that grew; of counts that can't be compared nothing is told.
func TestLongestIsTheLastBucketThatGrew(t *testing.T) {
	sample := []metrics.Sample{{Name: names[1]}}
	metrics.Read(sample)
	now := buckets(nil, sample[0])
	before := append([]uint64(nil), now...)
	if got := longest(now, before, sample[0]); got != 0 {
		t.Errorf("nothing grew: %v", got)
	}
	edges := sample[0].Value.Float64Histogram().Buckets
	for n := range now {
		now[n]++
		if got, want := longest(now, before, sample[0]), time.Duration(max(0, edges[n])*1e9); got != want {
			t.Errorf("bucket %d grew: %v, want %v", n, got, want)
		}
	}
	if got := longest(now, before[1:], sample[0]); got != 0 {
		t.Errorf("another number of buckets: %v", got)
	}
	if got := buckets(before, metrics.Sample{}); len(got) != 0 {
		t.Errorf("no histogram: %d buckets", len(got))
	}
}
