package stallwatch

import "time"

// DefaultThreshold is the default of the shortest delay that counts as a stall.
const DefaultThreshold = 100 * time.Millisecond

// Observation holds the measurements of one gap: the time between two wake-ups of the Detector.
type Observation struct {
	WakeupDelay     time.Duration // how much later than scheduled the Detector woke up
	CPU             time.Duration // CPU time that the process used
	RunDelay        time.Duration // total time for which the process's threads were runnable but not running
	IsRunDelayKnown bool          // whether the kernel provides RunDelay
	Steal           time.Duration // time for which the hypervisor did not run this virtual machine, over all cores
	GCPause         time.Duration // longest pause of the garbage collector
	ResumeSignals   int           // number of SIGCONT signals received, which resume a stopped process

	Lock   time.Duration // longest wait for the lock that guards the policy
	Accept time.Duration // longest time that an accepted connection waited for a free slot
	Log    time.Duration // longest time that a write to the log took
}

// Cause is the cause of a stall, as it is written to the log.
type Cause string

// The first group are causes that stall the whole process, the second those that stall one part of it.
const (
	CauseStopped Cause = "stopped"   // stopped by a signal and resumed, by a CPU limiter or a person
	CauseFrozen  Cause = "frozen"    // not running, not runnable and not resumed by a signal: the machine itself was paused
	CauseStarved Cause = "starved"   // runnable, but other processes had the CPU
	CauseNotRun  Cause = "not run"   // starved or frozen; the kernel does not provide the run delay that would distinguish them
	CauseGCPause Cause = "collector" // a pause of the garbage collector
	CauseRuntime Cause = "runtime"   // running, but the Go scheduler ran other goroutines

	CauseLock   Cause = "lock"   // the lock that guards the policy was held for too long
	CauseAccept Cause = "accept" // an accepted connection found no free slot
	CauseLog    Cause = "log"    // the reader of the log did not read
)

// Stall is the cause and the duration of a stall.
type Stall struct {
	Cause    Cause
	Duration time.Duration
}

// Diagnose returns the stalls of a gap: at most one of the whole process, and one for each part that was delayed
// considerably longer than the process. threshold is the shortest delay that counts as a stall. Diagnose reads no clock
// and does no I/O.
func Diagnose(o Observation, threshold time.Duration) (stalls []Stall) {
	if o.WakeupDelay >= threshold {
		stalls = append(stalls, Stall{processCause(o), o.WakeupDelay})
	}
	for _, part := range []Stall{{CauseLock, o.Lock}, {CauseAccept, o.Accept}, {CauseLog, o.Log}} {
		// A stall of the process delays all its parts for as long, so a part is reported only if its delay is longer.
		if part.Duration >= DefaultThreshold && part.Duration-o.WakeupDelay >= threshold/2 {
			stalls = append(stalls, part)
		}
	}
	return stalls
}

// processCause returns the cause of a stall of the whole process. The order of the cases matters: what the kernel
// reports takes precedence over what can be inferred from the CPU time, and a garbage collector pause that was long
// only because the process did not run is not attributed to the garbage collector.
func processCause(o Observation) Cause {
	switch {
	case o.ResumeSignals > 0 && o.CPU <= o.WakeupDelay/2:
		return CauseStopped
	case o.IsRunDelayKnown && o.RunDelay >= o.WakeupDelay/2:
		return CauseStarved
	case o.GCPause >= o.WakeupDelay/2:
		return CauseGCPause
	case o.CPU > o.WakeupDelay/4:
		return CauseRuntime
	case o.IsRunDelayKnown:
		return CauseFrozen
	default:
		return CauseNotRun
	}
}
