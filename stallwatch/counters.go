package stallwatch

import (
	"bytes"
	"os"
	"runtime/metrics"
	"strconv"
	"syscall"
	"time"
)

// Indices of the Go runtime's metrics in metricNames.
const (
	gcPauseMetric = iota
	schedulingLatencyMetric
	gcCyclesMetric
)

var metricNames = [...]string{
	gcPauseMetric:           "/sched/pauses/total/gc:seconds",
	schedulingLatencyMetric: "/sched/latencies:seconds",
	gcCyclesMetric:          "/gc/cycles/total:gc-cycles",
}

// counters holds counters of the kernel and the Go runtime, each cumulative since the process or the machine started.
type counters struct {
	cpu             time.Duration
	runDelay        time.Duration
	isRunDelayKnown bool
	steal           time.Duration

	metrics             [len(metricNames)]metrics.Sample
	gcPauses            []uint64 // counts by bucket of the metric's histogram
	schedulingLatencies []uint64 // counts by bucket of the metric's histogram
}

// read updates all counters, reusing their memory.
func (c *counters) read(proc *procReader) {
	c.cpu = cpuTime(c.cpu)
	c.runDelay, c.isRunDelayKnown = proc.runDelay(time.Now())
	c.steal = proc.steal()
	for n := range metricNames {
		c.metrics[n].Name = metricNames[n]
	}
	metrics.Read(c.metrics[:])
	c.gcPauses = appendBuckets(c.gcPauses[:0], c.metrics[gcPauseMetric])
	c.schedulingLatencies = appendBuckets(c.schedulingLatencies[:0], c.metrics[schedulingLatencyMetric])
}

// longestGCPause returns the longest pause of the garbage collector since before was read.
func (c *counters) longestGCPause(before *counters) time.Duration {
	return longestSince(c.gcPauses, before.gcPauses, c.metrics[gcPauseMetric])
}

// longestSchedulingLatency returns the longest time that a goroutine was runnable but not running since before was
// read.
func (c *counters) longestSchedulingLatency(before *counters) time.Duration {
	return longestSince(c.schedulingLatencies, before.schedulingLatencies, c.metrics[schedulingLatencyMetric])
}

// gcCycles returns the number of garbage collector cycles since before was read.
func (c *counters) gcCycles(before *counters) uint64 {
	return c.metrics[gcCyclesMetric].Value.Uint64() - before.metrics[gcCyclesMetric].Value.Uint64()
}

// appendBuckets appends a histogram's counts to counts, or nothing if this version of the runtime lacks the metric.
func appendBuckets(counts []uint64, sample metrics.Sample) []uint64 {
	if sample.Value.Kind() != metrics.KindFloat64Histogram {
		return counts
	}
	return append(counts, sample.Value.Float64Histogram().Counts...)
}

// longestSince returns the lower bound of the highest bucket whose count has increased.
func longestSince(now, before []uint64, sample metrics.Sample) time.Duration {
	if len(now) != len(before) {
		return 0
	}
	for n := len(now) - 1; n >= 0; n-- {
		if now[n] > before[n] {
			return time.Duration(max(0, sample.Value.Float64Histogram().Buckets[n]) * 1e9)
		}
	}
	return 0
}

const (
	// threadListInterval is how often the list of the process's threads is refreshed. Listing them allocates memory;
	// reading their counters does not.
	threadListInterval = time.Second
	// statTick is the unit of time in /proc/stat.
	statTick = 10 * time.Millisecond
	// stealField is the index of the steal time in the first line of /proc/stat, where field 0 is "cpu".
	stealField = 8
)

// procReader reads the kernel's counters from /proc. It reuses its buffers, so that frequent reads create no work for
// the garbage collector.
type procReader struct {
	schedstatFiles []string // of the process's threads
	listedAt       time.Time

	schedstatBuffer [96]byte
	statBuffer      [256]byte
}

// steal returns the time for which the hypervisor did not run this virtual machine, over all cores, or 0 if the kernel
// does not provide it.
func (p *procReader) steal() time.Duration {
	content, err := readInto("/proc/stat", p.statBuffer[:])
	if err != nil {
		return 0
	}
	firstLine, _, _ := bytes.Cut(content, []byte("\n"))
	fields := bytes.Fields(firstLine)
	if len(fields) <= stealField {
		return 0
	}
	ticks, _ := strconv.ParseInt(string(fields[stealField]), 10, 64) // 0 if it is not a number.
	return time.Duration(ticks) * statTick
}

// runDelay returns the total time for which the process's threads were runnable but not running.
func (p *procReader) runDelay(now time.Time) (sum time.Duration, isKnown bool) {
	if now.Sub(p.listedAt) > threadListInterval {
		p.listThreads(now)
	}
	for _, path := range p.schedstatFiles {
		content, err := readInto(path, p.schedstatBuffer[:])
		if err != nil {
			continue // The thread has ended.
		}
		delay, ok := parseRunDelay(content)
		sum += delay
		isKnown = isKnown || ok
	}
	return sum, isKnown
}

// listThreads refreshes the list of the process's threads.
func (p *procReader) listThreads(now time.Time) {
	p.listedAt, p.schedstatFiles = now, p.schedstatFiles[:0]
	threads, _ := os.ReadDir("/proc/self/task") // On an error the list is empty and the run delay unknown.
	for _, thread := range threads {
		p.schedstatFiles = append(p.schedstatFiles, "/proc/self/task/"+thread.Name()+"/schedstat")
	}
}

// parseRunDelay returns the run delay in a thread's schedstat, which is the second number, in nanoseconds. It does not
// allocate.
func parseRunDelay(content []byte) (delay time.Duration, isKnown bool) {
	field := 0
	for _, c := range content {
		if c == ' ' {
			field++
		} else if field == 1 && c >= '0' && c <= '9' {
			delay, isKnown = 10*delay+time.Duration(c-'0'), true
		}
	}
	return delay, isKnown
}

// readInto reads the start of a file into buffer, as much as fits, without allocating.
func readInto(path string, buffer []byte) ([]byte, error) {
	fd, err := syscall.Open(path, syscall.O_RDONLY|syscall.O_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	n, err := syscall.Read(fd, buffer)
	_ = syscall.Close(fd) // Closing a file that was only read loses no data.
	if err != nil {
		return nil, err
	}
	return buffer[:n], nil
}
