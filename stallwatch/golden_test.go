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

// A stall that is named after the wrong cause sends whoever is on call to the wrong machine. Over a grid of
// observations, each cause and its duration stay as version 860147b found them.
func TestGoldenCauses(t *testing.T) {
	trace, seen := sha256.New(), map[Cause]int{}
	for _, threshold := range []time.Duration{50 * ms, DefaultThreshold, 400 * ms} {
		for _, delay := range []time.Duration{0, 49 * ms, 50 * ms, 100 * ms, 399 * ms, 400 * ms, 900 * ms} {
			for n := range 4 * 4 * 4 * 2 * 2 * 4 {
				of := func(choices int) int {
					choice := n % choices
					n /= choices
					return choice
				}
				part := func() time.Duration { return []time.Duration{0, delay / 4, delay / 2, delay}[of(4)] }
				o := Observation{WakeupDelay: delay, CPU: part(), RunDelay: part(), GCPause: part(), IsRunDelayKnown: of(2) == 1,
					ResumeSignals: of(2), Steal: delay}
				late := []time.Duration{0, threshold/2 - 1, threshold / 2, threshold}[of(4)]
				o.Lock, o.Accept, o.Log = delay+late, late, delay+2*late
				for _, stall := range Diagnose(o, threshold) {
					fmt.Fprintln(trace, string(stall.Cause), int64(stall.Duration))
					seen[stall.Cause]++
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

// The kernel gives its counts as text. Read from another column, they would have a starved process reported as a frozen
// machine.
func TestKernelCountsAreParsed(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	proc := procReader{listedAt: now}
	for name, text := range map[string]string{"1": "100 2000 3\n", "2": "5 70000 6\n", "3": "", "4": "12 0 1\n"} {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		proc.schedstatFiles = append(proc.schedstatFiles, path)
	}
	proc.schedstatFiles = append(proc.schedstatFiles, filepath.Join(dir, "gone"))
	if sum, known := proc.runDelay(now); sum != 72000 || !known {
		t.Errorf("run delay %v, known: %t", sum, known)
	}
	proc.schedstatFiles = proc.schedstatFiles[len(proc.schedstatFiles)-1:]
	if sum, known := proc.runDelay(now); sum != 0 || known {
		t.Errorf("of no thread: run delay %v, known: %t", sum, known)
	}
	proc.runDelay(now.Add(threadListInterval + 1))
	if len(proc.schedstatFiles) == 0 || !strings.HasPrefix(proc.schedstatFiles[0], "/proc/self/task/") {
		t.Errorf("after %v the threads are %q", threadListInterval, proc.schedstatFiles)
	}
	steal := func() time.Duration {
		text, err := os.ReadFile("/proc/stat")
		if err != nil {
			t.Fatal(err)
		}
		ticks, _ := strconv.Atoi(strings.Fields(string(text))[8])
		return time.Duration(ticks) * 10 * ms
	}
	if before, got, after := steal(), proc.steal(), steal(); got < before || got > after {
		t.Errorf("steal %v, between %v and %v", got, before, after)
	}
}

// A pause that is read from the wrong bucket is reported as another cause, or not at all. The longest one is the lower
// bound of the last bucket that grew; counts that can't be compared tell of none.
func TestLongestSinceIsTheLastBucketThatGrew(t *testing.T) {
	sample := []metrics.Sample{{Name: metricNames[schedulingLatencyMetric]}}
	metrics.Read(sample)
	now := appendBuckets(nil, sample[0])
	before := append([]uint64(nil), now...)
	if got := longestSince(now, before, sample[0]); got != 0 {
		t.Errorf("nothing grew: %v", got)
	}
	edges := sample[0].Value.Float64Histogram().Buckets
	for n := range now {
		now[n]++
		if got, want := longestSince(now, before, sample[0]), time.Duration(max(0, edges[n])*1e9); got != want {
			t.Errorf("bucket %d grew: %v, want %v", n, got, want)
		}
	}
	if got := longestSince(now, before[1:], sample[0]); got != 0 {
		t.Errorf("another number of buckets: %v", got)
	}
	if got := appendBuckets(before[:0], metrics.Sample{}); len(got) != 0 {
		t.Errorf("no histogram: %d buckets", len(got))
	}
}
