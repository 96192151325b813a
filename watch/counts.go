package watch

import (
	"bytes"
	"os"
	"path/filepath"
	"runtime/metrics"
	"strconv"
	"syscall"
	"time"
)

// counts are the kernel's and the runtime's, since the process began.
type counts struct {
	cpu, waited time.Duration
	known       bool // waited is
	metrics     [4]metrics.Sample
	pauses      []uint64 // by bucket
	latencies   []uint64
}

var names = [4]string{"/sched/pauses/total/gc:seconds", "/sched/latencies:seconds", "/gc/cycles/total:gc-cycles",
	"/sync/mutex/wait/total:seconds"}

// read takes them anew; what is kept of the last reading is used again.
func (c *counts) read() {
	var use syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &use) == nil {
		c.cpu = time.Duration(use.Utime.Nano() + use.Stime.Nano())
	}
	c.waited, c.known = waited()
	for n := range names {
		c.metrics[n].Name = names[n]
	}
	metrics.Read(c.metrics[:])
	c.pauses, c.latencies = buckets(c.pauses, c.metrics[0]), buckets(c.latencies, c.metrics[1])
}

func buckets(into []uint64, s metrics.Sample) []uint64 {
	if s.Value.Kind() != metrics.KindFloat64Histogram {
		return into[:0]
	}
	return append(into[:0], s.Value.Float64Histogram().Counts...)
}

// longest is the largest bucket in which more was counted than before: its lower bound.
func longest(now, before []uint64, s metrics.Sample) time.Duration {
	for n := len(now) - 1; n >= 0 && len(now) == len(before); n-- {
		if now[n] > before[n] {
			return time.Duration(max(0, s.Value.Float64Histogram().Buckets[n]) * 1e9)
		}
	}
	return 0
}

// waited is how long the process's threads were ready and not run, all together: the second figure of each schedstat.
func waited() (sum time.Duration, known bool) {
	tasks, err := filepath.Glob("/proc/self/task/*/schedstat")
	if err != nil {
		return 0, false
	}
	for _, task := range tasks {
		text, err := os.ReadFile(task)
		if err != nil {
			continue // It has ended.
		}
		if fields := bytes.Fields(text); len(fields) == 3 {
			n, err := strconv.ParseInt(string(fields[1]), 10, 64)
			sum, known = sum+time.Duration(n), known || err == nil
		}
	}
	return sum, known
}
