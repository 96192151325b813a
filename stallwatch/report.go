package stallwatch

import (
	"context"
	"runtime"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

const (
	// reportInterval is the shortest time between two log lines for the same cause. Stalls in between are only counted.
	reportInterval = 2 * time.Second
	// maxQueuedReports limits the reports that are queued while writing to the log blocks.
	maxQueuedReports = 16
	// maxStackBytes limits the size of the stack dump that is searched for the holder of the lock, and thereby the time
	// for which the runtime stops the program to produce it.
	maxStackBytes = 64 << 10
	// maxFunctions is the largest number of functions reported as possible holders of the lock.
	maxFunctions = 3
)

// report is the content of one log line about a stall.
type report struct {
	Stall
	Observation
	schedulingLatency time.Duration // longest during the gap
	gcCycles          uint64        // during the gap
	cpuBefore         time.Duration // CPU time used in the second before the gap
	functions         string        // possible holders of the lock
	suppressed        int           // stalls of the same cause that were not logged since the last log line
}

// reporter logs stalls. Its methods must not be called concurrently, except run.
type reporter struct {
	log            zerolog.Logger
	queue          chan report
	lastReportedAt map[Cause]time.Time
	suppressed     map[Cause]int
}

func newReporter(log zerolog.Logger) *reporter {
	return &reporter{log: log, queue: make(chan report, maxQueuedReports), lastReportedAt: map[Cause]time.Time{}, suppressed: map[Cause]int{}}
}

// shouldLog reports whether to log a stall of this cause now. If not, it counts the stall as suppressed.
func (r *reporter) shouldLog(cause Cause, now time.Time) bool {
	if last, ok := r.lastReportedAt[cause]; ok && now.Sub(last) < reportInterval {
		r.suppressed[cause]++
		return false
	}
	return true
}

// enqueue queues a stall to be logged by run. It does not block: if the queue is full, the stall counts as suppressed.
func (r *reporter) enqueue(stall report, now time.Time) {
	stall.suppressed = r.suppressed[stall.Cause]
	r.lastReportedAt[stall.Cause], r.suppressed[stall.Cause] = now, 0
	select {
	case r.queue <- stall:
	default:
		r.suppressed[stall.Cause] = stall.suppressed + 1
	}
}

// run logs queued stalls until the context ends. If the log's reader stops reading, only this goroutine blocks, and the
// Detector continues to measure.
func (r *reporter) run(ctx context.Context) {
	for {
		select {
		case stall := <-r.queue:
			r.write(stall)
		case <-ctx.Done():
			return
		}
	}
}

func (r *reporter) write(s report) {
	r.log.Warn().Str("cause", string(s.Cause)).Int64("duration_ms", s.Duration.Milliseconds()).
		Int64("wakeup_delay_ms", s.WakeupDelay.Milliseconds()).Int64("cpu_ms", s.CPU.Milliseconds()).
		Int64("run_delay_ms", s.RunDelay.Milliseconds()).Int64("gc_pause_ms", s.GCPause.Milliseconds()).
		Int64("scheduling_latency_ms", s.schedulingLatency.Milliseconds()).Uint64("gc_cycles", s.gcCycles).
		Int64("cpu_before_ms", s.cpuBefore.Milliseconds()).Int("resume_signals", s.ResumeSignals).
		Int64("steal_ms", s.Steal.Milliseconds()).Int64("lock_ms", s.Lock.Milliseconds()).Int64("accept_ms", s.Accept.Milliseconds()).
		Int64("log_ms", s.Log.Milliseconds()).Int("goroutines", runtime.NumGoroutine()).Int("suppressed", s.suppressed).
		Str("functions", s.functions).Msg("stall detected")
}

// modulePath is the prefix of the names of this program's functions in a stack dump.
const modulePath = "hollylever/"

// runningFunctions returns the names of functions that may hold the lock: those in which goroutines are that are not
// waiting for the network, a channel or a lock. It stops the program while the runtime dumps the stacks.
func runningFunctions() string {
	buffer := make([]byte, maxStackBytes)
	stacks := strings.Split(string(buffer[:runtime.Stack(buffer, true)]), "\n\n")
	var functions []string
	for _, stack := range stacks[1:] { // The first stack is this goroutine's own.
		header, frames, _ := strings.Cut(stack, "\n")
		if isWaiting(header) {
			continue
		}
		if function, ok := firstOwnFunction(frames); ok {
			functions = append(functions, function)
		}
	}
	return strings.Join(functions[:min(len(functions), maxFunctions)], " ")
}

// isWaiting reports, from the first line of a goroutine's stack, whether it waits for something that a holder of the
// lock never waits for.
func isWaiting(header string) bool {
	for _, state := range []string{"IO wait", "chan ", "select", "Mutex.Lock", "semacquire"} {
		if strings.Contains(header, state) {
			return true
		}
	}
	return false
}

// firstOwnFunction returns the innermost function of this program among a stack's frames, without the module path and
// the arguments.
func firstOwnFunction(frames string) (string, bool) {
	for _, line := range strings.Split(frames, "\n") {
		if call, ok := strings.CutPrefix(line, modulePath); ok {
			function, _, _ := strings.Cut(call, "(0x")
			return function, true
		}
	}
	return "", false
}
