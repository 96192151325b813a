// Package stallwatch detects stalls of the program and logs their causes.
//
// A Detector is scheduled to wake up every 25 ms; its wakeup delay shows for how long the whole process did not run. It
// also takes the lock that guards the policy, as a request does, and reads the timers (timer.go) around accepted
// connections and writes to the log. If anything took too long, it reads the counters of the kernel and the Go runtime
// (counters.go), diagnoses the cause (diagnose.go, which reads no clock and does no I/O) and logs it (report.go).
//
// Without stalls this costs two wake-ups every 25 ms and a reading of the counters every 100 ms, and nothing per
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
	// wakeupInterval is how often the Detector wakes up, and how often it takes the lock. It is a quarter of the
	// default threshold.
	wakeupInterval = 25 * time.Millisecond
	// wakeupsPerReading is the number of wake-ups between two readings of the counters, so that a stall is measured
	// against counters that are at most 100 ms old.
	wakeupsPerReading = 4
	// cpuHistoryReadings is how many readings of the CPU time are remembered; they cover one second.
	cpuHistoryReadings = 10
	// resumeSignalTimeout is how long the Detector, after a late wake-up, waits for the SIGCONT that may have resumed
	// the process.
	resumeSignalTimeout = 5 * time.Millisecond
	// maxResumeSignals limits the signals that are queued between two wake-ups.
	maxResumeSignals = 16
)

// Detector detects stalls. Only the timers and the threshold are safe for concurrent use; Run owns the other fields.
type Detector struct {
	Accept Timer // measures how long an accepted connection waits for a free slot

	threshold atomic.Int64 // nanoseconds
	logWrite  *Timer
	lockWait  Timer // measures how long it takes to acquire lock
	lock      sync.Locker

	resumeSignals chan os.Signal
	proc          procReader
	previous      counters // at the last regular reading
	current       counters // at the end of the gap that is diagnosed; a field so that its memory is reused
	cpuHistory    cpuHistory
	reporter      *reporter
}

// cpuHistory is a ring buffer of the process's CPU time at the last readings.
type cpuHistory struct {
	readings [cpuHistoryReadings]time.Duration
	count    int
}

func (h *cpuHistory) add(cpu time.Duration) {
	h.readings[h.count%cpuHistoryReadings] = cpu
	h.count++
}

// oldest returns the CPU time at the oldest reading. Until the ring buffer is full it returns 0, the CPU time at the
// start of the process.
func (h *cpuHistory) oldest() time.Duration { return h.readings[h.count%cpuHistoryReadings] }

// New returns a Detector for stalls of the process, waits for lock, and the sections measured by the timers: its
// Accept, and logWrite, which measures writes to the log. Stalls are reported to log.
func New(lock sync.Locker, log zerolog.Logger, logWrite *Timer) *Detector {
	d := &Detector{lock: lock, logWrite: logWrite, reporter: newReporter(log)}
	d.SetThreshold(DefaultThreshold)
	return d
}

// SetThreshold sets the shortest delay that counts as a stall.
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

// probeLock periodically takes the lock that guards the policy, as a request does, and measures how long it waits for
// it.
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

// check diagnoses the gap since the last wake-up and reports its stalls, if anything reached the threshold.
func (d *Detector) check(wakeupDelay time.Duration, now time.Time) {
	threshold := time.Duration(d.threshold.Load())
	if wakeupDelay < threshold {
		d.takeResumeSignals(0) // Discards signals of a stop that was too short to count as a stall.
	}
	o := Observation{WakeupDelay: wakeupDelay}
	var isLockStillHeld bool
	o.Lock, isLockStillHeld = d.lockWait.takeLongest()
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
		if stall.Cause == CauseLock && isLockStillHeld {
			functions = runningFunctions()
		}
		d.reporter.enqueue(report{Stall: stall, Observation: o, functions: functions,
			schedulingLatency: d.current.longestSchedulingLatency(&d.previous), gcCycles: d.current.gcCycles(&d.previous),
			cpuBefore: d.previous.cpu - d.cpuHistory.oldest()}, now)
	}
}

// observeCounters adds to o how much the counters changed during the gap.
func (d *Detector) observeCounters(o *Observation) {
	o.CPU = d.current.cpu - d.previous.cpu
	o.RunDelay, o.IsRunDelayKnown = d.current.runDelay-d.previous.runDelay, d.current.isRunDelayKnown
	o.Steal = d.current.steal - d.previous.steal
	o.GCPause = d.current.longestGCPause(&d.previous)
}

// takeResumeSignals returns the number of SIGCONT signals received since the last call. If there is none, it waits up
// to timeout for one.
//
// The wait is needed because after a stop the Detector can wake up before the Go runtime has delivered the SIGCONT.
// Without it the stop would be reported as a frozen machine.
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
