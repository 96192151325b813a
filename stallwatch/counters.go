package stallwatch

import (
	"bytes"
	"os"
	"runtime/metrics"
	"strconv"
	"syscall"
	"time"
)

// The runtime's metrics that are read, and their places in metricNames.
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

// counters are counts of the kernel and the runtime since the process began.
type counters struct {
	cpu             time.Duration
	runDelay        time.Duration
	isRunDelayKnown bool
	steal           time.Duration

	metrics             [len(metricNames)]metrics.Sample
	gcPauses            []uint64 // by bucket of the metric's histogram
	schedulingLatencies []uint64 // the same
}

// read updates all counters. It uses their memory again.
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

// longestGCPause returns the longest pause of the garbage collector since before.
func (c *counters) longestGCPause(before *counters) time.Duration {
	return longestSince(c.gcPauses, before.gcPauses, c.metrics[gcPauseMetric])
}

// longestSchedulingLatency returns the longest time since before that a goroutine was ready to run and did not.
func (c *counters) longestSchedulingLatency(before *counters) time.Duration {
	return longestSince(c.schedulingLatencies, before.schedulingLatencies, c.metrics[schedulingLatencyMetric])
}

// gcCycles returns how often the garbage collector ran since before.
func (c *counters) gcCycles(before *counters) uint64 {
	return c.metrics[gcCyclesMetric].Value.Uint64() - before.metrics[gcCyclesMetric].Value.Uint64()
}

// appendBuckets appends a histogram's counts; nothing where this version of the runtime does not have the metric.
func appendBuckets(counts []uint64, sample metrics.Sample) []uint64 {
	if sample.Value.Kind() != metrics.KindFloat64Histogram {
		return counts
	}
	return append(counts, sample.Value.Float64Histogram().Counts...)
}

// longestSince returns the lower bound of the largest bucket in which more was counted than before.
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
	// threadListInterval is how often the process's threads are listed anew. Listing allocates; reading their counts
	// does not.
	threadListInterval = time.Second
	// statTick is the unit of the times in /proc/stat.
	statTick = 10 * time.Millisecond
	// stealField is the place of the stolen time in the first line of /proc/stat, which begins with "cpu".
	stealField = 8
)

// procReader reads the kernel's counts from /proc. It keeps its buffers, as it reads often and should leave nothing to
// collect.
type procReader struct {
	schedstatFiles []string // of the process's threads
	listedAt       time.Time

	schedstatBuffer [96]byte
	statBuffer      [256]byte
}

// steal returns for how long a hypervisor ran something else than this machine, over all cores; 0 where the kernel does
// not tell.
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
	ticks, _ := strconv.ParseInt(string(fields[stealField]), 10, 64) // 0 if it is no number.
	return time.Duration(ticks) * statTick
}

// runDelay returns for how long the process's threads were ready to run and did not, all together.
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

// listThreads finds the threads that the process has now.
func (p *procReader) listThreads(now time.Time) {
	p.listedAt, p.schedstatFiles = now, p.schedstatFiles[:0]
	threads, _ := os.ReadDir("/proc/self/task") // Without it the run delay is not known.
	for _, thread := range threads {
		p.schedstatFiles = append(p.schedstatFiles, "/proc/self/task/"+thread.Name()+"/schedstat")
	}
}

// parseRunDelay returns the second number of a thread's schedstat, in nanoseconds, without allocating.
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

// readInto returns the beginning of a file, as much as fits into buffer, without allocating.
func readInto(path string, buffer []byte) ([]byte, error) {
	fd, err := syscall.Open(path, syscall.O_RDONLY|syscall.O_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	n, err := syscall.Read(fd, buffer)
	_ = syscall.Close(fd) // It was only read.
	if err != nil {
		return nil, err
	}
	return buffer[:n], nil
}
