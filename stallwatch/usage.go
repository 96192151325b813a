package stallwatch

import (
	"runtime/metrics"
	"syscall"
	"time"
)

// cpuTime returns the CPU time that the process has used, or before where the kernel does not tell.
func cpuTime(before time.Duration) time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return before
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// UsageMeter measures what the process uses from call to call. The zero value is ready; it must not be used
// concurrently.
type UsageMeter struct {
	cpu      time.Duration
	gcCycles uint64
}

// SinceLast returns the CPU time that the process used, and how often the garbage collector ran, since the last call;
// at first since the process began.
func (m *UsageMeter) SinceLast() (cpu time.Duration, gcCycles uint64) {
	sample := []metrics.Sample{{Name: metricNames[gcCyclesMetric]}}
	metrics.Read(sample)
	before := *m
	m.cpu, m.gcCycles = cpuTime(m.cpu), sample[0].Value.Uint64()
	return m.cpu - before.cpu, m.gcCycles - before.gcCycles
}
