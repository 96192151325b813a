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

var update = flag.Bool("update", false, "rewrite the golden values in testdata")

// A stall reported with the wrong cause sends the engineer on call to the wrong machine. Over a grid of observations,
// all causes and durations must stay as in version 860147b.
func TestGoldenCauses(t *testing.T) {
	trace, seen := sha256.New(), map[Cause]int{}
	for _, threshold := range []time.Duration{50 * ms, DefaultThreshold, 400 * ms} {
		for _, delay := range []time.Duration{0, 49 * ms, 50 * ms, 100 * ms, 399 * ms, 400 * ms, 900 * ms} {
			for n := range 4 * 4 * 4 * 2 * 2 * 4 {
				choose := func(choices int) int {
					choice := n % choices
					n /= choices
					return choice
				}
				part := func() time.Duration { return []time.Duration{0, delay / 4, delay / 2, delay}[choose(4)] }
				o := Observation{WakeupDelay: delay, CPU: part(), RunDelay: part(), GCPause: part(), IsRunDelayKnown: choose(2) == 1,
					ResumeSignals: choose(2), Steal: delay}
				excess := []time.Duration{0, threshold/2 - 1, threshold / 2, threshold}[choose(4)]
				o.Lock, o.Accept, o.Log = delay+excess, excess, delay+2*excess
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
	hash, path := hex.EncodeToString(trace.Sum(nil)), filepath.Join("testdata", "causes.golden")
	if *update {
		if err := os.WriteFile(path, []byte(hash+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil || strings.TrimSpace(string(want)) != hash {
		t.Errorf("hash of the causes is %s, want %s (error %v)", hash, want, err)
	}
}

// The kernel provides its counters as text. If the wrong column were parsed, a starved process would be reported as a
// frozen machine.
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
		t.Errorf("without threads: run delay %v, known: %t", sum, known)
	}
	proc.runDelay(now.Add(threadListInterval + 1))
	if len(proc.schedstatFiles) == 0 || !strings.HasPrefix(proc.schedstatFiles[0], "/proc/self/task/") {
		t.Errorf("after %v the threads are %q", threadListInterval, proc.schedstatFiles)
	}
	readSteal := func() time.Duration {
		text, err := os.ReadFile("/proc/stat")
		if err != nil {
			t.Fatal(err)
		}
		ticks, _ := strconv.Atoi(strings.Fields(string(text))[8])
		return time.Duration(ticks) * 10 * ms
	}
	if before, got, after := readSteal(), proc.steal(), readSteal(); got < before || got > after {
		t.Errorf("steal %v, want a value from %v to %v", got, before, after)
	}
}

// A pause read from the wrong bucket would be reported with the wrong cause, or not at all. The longest pause is the
// lower bound of the highest bucket whose count increased; it is 0 if the numbers of buckets differ.
func TestLongestSinceIsTheHighestIncreasedBucket(t *testing.T) {
	sample := []metrics.Sample{{Name: metricNames[schedulingLatencyMetric]}}
	metrics.Read(sample)
	now := appendBuckets(nil, sample[0])
	before := append([]uint64(nil), now...)
	if got := longestSince(now, before, sample[0]); got != 0 {
		t.Errorf("no count increased: %v, want 0", got)
	}
	edges := sample[0].Value.Float64Histogram().Buckets
	for n := range now {
		now[n]++
		if got, want := longestSince(now, before, sample[0]), time.Duration(max(0, edges[n])*1e9); got != want {
			t.Errorf("count of bucket %d increased: %v, want %v", n, got, want)
		}
	}
	if got := longestSince(now, before[1:], sample[0]); got != 0 {
		t.Errorf("different number of buckets: %v, want 0", got)
	}
	if got := appendBuckets(before[:0], metrics.Sample{}); len(got) != 0 {
		t.Errorf("metric without a histogram: %d buckets, want 0", len(got))
	}
}
