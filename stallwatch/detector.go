// Package stallwatch detects that the program stalled, and logs why.
//
// A Detector is a goroutine that should wake up every 25 ms; how late it does tells how long the whole process did not
// run. Beside that it takes the decision module's lock as a request would, and reads the timers (timer.go) around
// accepted connections and writes of the log. Where anything took too long, it reads the counts of the kernel and the
// runtime (counters.go), diagnoses the cause (diagnose.go, which has no clock and does no I/O) and logs it (report.go).
//
// While nothing stalls that costs two wake-ups every 25 ms and some readings of counts every 100 ms, and nothing per
// request.
package stallwatch

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

const (
	// wakeupInterval is how often the Detector wakes up, and how often it takes the lock: a quarter of the default
	// threshold.
	wakeupInterval = 25 * time.Millisecond
	// wakeupsPerReading is after how many wake-ups the counters are read: a stall is measured against counts that are
	// 100 ms old at most.
	wakeupsPerReading = 4
	// cpuHistoryReadings is how many readings of the CPU time are remembered: those of one second.
	cpuHistoryReadings = 10
	// resumeSignalTimeout is how long a late wake-up waits for the SIGCONT that may have ended a stop.
	resumeSignalTimeout = 5 * time.Millisecond
	// maxResumeSignals bounds the signals that are queued between two wake-ups.
	maxResumeSignals = 16
)

// Detector detects stalls. Run owns all but the timers and the threshold, which any goroutine may use.
type Detector struct {
	Accept Timer // around the time for which an accepted connection waits for room

	threshold atomic.Int64 // nanoseconds
	logWrite  *Timer
	lockWait  Timer // around taking the decision module's lock
	lock      sync.Locker

	resumeSignals chan os.Signal
	proc          procReader
	previous      counters // as of the last reading
	current       counters // as of the gap that is diagnosed; kept for its memory
	cpuHistory    cpuHistory
	reporter      *reporter
}

// cpuHistory is the process's CPU time at the last readings, in a ring.
type cpuHistory struct {
	readings [cpuHistoryReadings]time.Duration
	count    int
}

func (h *cpuHistory) add(cpu time.Duration) {
	h.readings[h.count%cpuHistoryReadings] = cpu
	h.count++
}

// oldest returns the CPU time at the oldest reading; 0, as at the start of the process, until the ring is full.
func (h *cpuHistory) oldest() time.Duration { return h.readings[h.count%cpuHistoryReadings] }

// New returns a detector of stalls of the process, of the lock, and of what the timers measure: its Accept, and
// logWrite around writes of the log. It reports to log.
func New(lock sync.Locker, log zerolog.Logger, logWrite *Timer) *Detector {
	d := &Detector{lock: lock, logWrite: logWrite, reporter: newReporter(log)}
	d.SetThreshold(DefaultThreshold)
	return d
}

// SetThreshold sets the least time that counts as a stall.
func (d *Detector) SetThreshold(threshold time.Duration) { d.threshold.Store(int64(threshold)) }

// Run detects stalls until the context ends.
func (d *Detector) Run(ctx context.Context) {
	d.resumeSignals = make(chan os.Signal, maxResumeSignals)
	signal.Notify(d.resumeSignals, syscall.SIGCONT)
	defer signal.Stop(d.resumeSignals)
	go d.probeLock(ctx)
	go d.reporter.run(ctx)
	d.previous.read(&d.proc)
	dueAt := time.Now().Add(wakeupInterval)
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Until(dueAt))
		now := time.Now()
		wakeupDelay := now.Sub(dueAt)
		d.check(wakeupDelay, now)
		if n%wakeupsPerReading == 0 || wakeupDelay >= time.Duration(d.threshold.Load()) {
			d.previous.read(&d.proc)
			d.cpuHistory.add(d.previous.cpu)
		}
		dueAt = now.Add(wakeupInterval)
	}
}

// probeLock takes the decision module's lock now and then, as a request would, and measures how long it waits.
func (d *Detector) probeLock(ctx context.Context) {
	ticker := time.NewTicker(wakeupInterval)
	defer ticker.Stop()
	for ; ctx.Err() == nil; <-ticker.C {
		d.lockWait.Begin()
		d.lock.Lock()
		d.lockWait.End()
		d.lock.Unlock()
	}
}

// check diagnoses and reports the gap since the last wake-up, if anything took longer than the threshold.
func (d *Detector) check(wakeupDelay time.Duration, now time.Time) {
	threshold := time.Duration(d.threshold.Load())
	if wakeupDelay < threshold {
		d.takeResumeSignals(0) // Of a stop that was too short to count.
	}
	o := Observation{WakeupDelay: wakeupDelay}
	var isLockHeldNow bool
	o.Lock, isLockHeldNow = d.lockWait.takeLongest()
	o.Accept, _ = d.Accept.takeLongest()
	o.Log, _ = d.logWrite.takeLongest()
	if max(o.WakeupDelay, o.Lock, o.Accept, o.Log) < threshold {
		return
	}
	d.current.read(&d.proc)
	d.observeCounters(&o)
	if wakeupDelay >= threshold {
		o.ResumeSignals = d.takeResumeSignals(resumeSignalTimeout)
	}
	for _, stall := range Diagnose(o, threshold) {
		if !d.reporter.shouldLog(stall.Cause, now) {
			continue
		}
		functions := ""
		if stall.Cause == CauseLock && isLockHeldNow {
			functions = runningFunctions()
		}
		d.reporter.enqueue(report{Stall: stall, Observation: o, functions: functions,
			schedulingLatency: d.current.longestSchedulingLatency(&d.previous), gcCycles: d.current.gcCycles(&d.previous),
			cpuBefore: d.previous.cpu - d.cpuHistory.oldest()}, now)
	}
}

// observeCounters adds what the counters tell of the gap.
func (d *Detector) observeCounters(o *Observation) {
	o.CPU = d.current.cpu - d.previous.cpu
	o.RunDelay, o.IsRunDelayKnown = d.current.runDelay-d.previous.runDelay, d.current.isRunDelayKnown
	o.Steal = d.current.steal - d.previous.steal
	o.GCPause = d.current.longestGCPause(&d.previous)
}

// takeResumeSignals returns how many SIGCONTs came since the last call.
//
// timeout guards against a wake-up that goes before the signal which ended a stop: the kernel runs the process again,
// and the signal has to come through the runtime first. Without waiting for it a moment, the stop would be reported as
// a frozen machine.
func (d *Detector) takeResumeSignals(timeout time.Duration) (count int) {
	if len(d.resumeSignals) == 0 && timeout > 0 {
		select {
		case <-d.resumeSignals:
			count++
		case <-time.After(timeout):
		}
	}
	for ; len(d.resumeSignals) > 0; count++ {
		<-d.resumeSignals
	}
	return count
}
