package stallwatch

import (
	"context"
	"runtime"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

const (
	// reportInterval is how often a cause is logged that lasts; what is found in between is counted.
	reportInterval = 2 * time.Second
	// maxQueuedReports bounds the lines that wait for a log that takes nothing.
	maxQueuedReports = 16
	// maxStackBytes bounds the stacks that are searched for the holder of the lock, and with them the time for which
	// the runtime stops the program to write them down.
	maxStackBytes = 64 << 10
	// maxFunctions is how many functions are named that may hold the lock.
	maxFunctions = 3
)

// report is what one line of the log tells of a stall.
type report struct {
	Stall
	Observation
	schedulingLatency time.Duration // longest over the gap
	gcCycles          uint64        // over the gap
	cpuBefore         time.Duration // CPU time used in the second before the gap
	functions         string        // that may hold the lock
	suppressed        int           // times that the cause was found since it was last logged
}

// reporter logs stalls. Its methods must not be called concurrently, but for run.
type reporter struct {
	log            zerolog.Logger
	queue          chan report
	lastReportedAt map[Cause]time.Time
	suppressed     map[Cause]int
}

func newReporter(log zerolog.Logger) *reporter {
	return &reporter{log: log, queue: make(chan report, maxQueuedReports), lastReportedAt: map[Cause]time.Time{}, suppressed: map[Cause]int{}}
}

// isDue counts a stall of this cause, and tells whether to log it now.
func (r *reporter) isDue(cause Cause, now time.Time) bool {
	if last, ok := r.lastReportedAt[cause]; ok && now.Sub(last) < reportInterval {
		r.suppressed[cause]++
		return false
	}
	return true
}

// enqueue has a stall logged by run. It does not wait: where the log takes nothing, the stall counts as suppressed.
func (r *reporter) enqueue(stall report, now time.Time) {
	stall.suppressed = r.suppressed[stall.Cause]
	r.lastReportedAt[stall.Cause], r.suppressed[stall.Cause] = now, 0
	select {
	case r.queue <- stall:
	default:
		r.suppressed[stall.Cause] = stall.suppressed + 1
	}
}

// run logs what is queued, until the context ends. It guards against a log whose reader stands still: only this
// goroutine waits for it, and the Detector goes on measuring.
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

// modulePath begins the name of each function of this program in a stack.
const modulePath = "hollylever/"

// runningFunctions names functions of the program in which goroutines are that wait for nothing, or at least not for
// the network, a channel or a lock: one of them holds the lock that can't be had. It stops the program while the stacks
// are written down.
func runningFunctions() string {
	buffer := make([]byte, maxStackBytes)
	stacks := strings.Split(string(buffer[:runtime.Stack(buffer, true)]), "\n\n")
	var functions []string
	for _, stack := range stacks[1:] { // The first is this goroutine's own.
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

// isWaiting tells by the first line of a goroutine's stack whether it waits for something that a holder of the lock
// does not wait for.
func isWaiting(header string) bool {
	for _, state := range []string{"IO wait", "chan ", "select", "Mutex.Lock", "semacquire"} {
		if strings.Contains(header, state) {
			return true
		}
	}
	return false
}

// firstOwnFunction returns the innermost function of this program in a stack's frames, without module path and
// arguments.
func firstOwnFunction(frames string) (string, bool) {
	for _, line := range strings.Split(frames, "\n") {
		if call, ok := strings.CutPrefix(line, modulePath); ok {
			function, _, _ := strings.Cut(call, "(0x")
			return function, true
		}
	}
	return "", false
}
