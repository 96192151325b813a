package stallwatch

import (
	"runtime/metrics"
	"syscall"
	"time"
)

// cpuTime returns the CPU time that the process has used, or before if the kernel does not provide it.
func cpuTime(before time.Duration) time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return before
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// UsageMeter measures the process's resource usage between calls. The zero value is ready for use. It must not be used
// concurrently.
type UsageMeter struct {
	cpu      time.Duration
	gcCycles uint64
}

// SinceLast returns the CPU time that the process used and the number of garbage collector cycles since the last call,
// or since the process started for the first call.
func (m *UsageMeter) SinceLast() (cpu time.Duration, gcCycles uint64) {
	sample := []metrics.Sample{{Name: metricNames[gcCyclesMetric]}}
	metrics.Read(sample)
	before := *m
	m.cpu, m.gcCycles = cpuTime(m.cpu), sample[0].Value.Uint64()
	return m.cpu - before.cpu, m.gcCycles - before.gcCycles
}
