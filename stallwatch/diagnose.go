package stallwatch

import "time"

// DefaultThreshold is the threshold where nothing else is set: the least time that counts as a stall.
const DefaultThreshold = 100 * time.Millisecond

// Observation is what was measured over one gap, from the last wake-up of the Detector to this one.
type Observation struct {
	WakeupDelay     time.Duration // how late the Detector woke up
	CPU             time.Duration // CPU time that the process used
	RunDelay        time.Duration // for which its threads were ready to run and did not, all together
	IsRunDelayKnown bool          // this kernel counts RunDelay
	Steal           time.Duration // for which a hypervisor ran something else than this machine, over all cores
	GCPause         time.Duration // longest pause of the garbage collector
	ResumeSignals   int           // SIGCONTs received: times that the process was told to go on after a stop

	Lock   time.Duration // for which the decision module's lock could not be had
	Accept time.Duration // for which an accepted connection waited for room
	Log    time.Duration // for which a write of the log did not return
}

// Cause is why the program stalled, as the log spells it.
type Cause string

// The causes of a stall of the whole process, then those of a part of it.
const (
	CauseStopped Cause = "stopped"   // stopped by a signal and told to go on: a limit on its CPU time, or somebody
	CauseFrozen  Cause = "frozen"    // it did not run, was not ready to, and was not told to go on: the machine under it stood still
	CauseStarved Cause = "starved"   // it was ready to run, and other processes ran
	CauseNotRun  Cause = "not run"   // starved or frozen; this kernel does not tell which
	CauseGCPause Cause = "collector" // a pause of the garbage collector
	CauseRuntime Cause = "runtime"   // it ran, but the runtime's scheduler had something else to run

	CauseLock   Cause = "lock"   // the decision module's lock was held
	CauseAccept Cause = "accept" // an accepted connection found no room
	CauseLog    Cause = "log"    // nobody took what the log writes
)

// Stall is a cause and for how long it held the program up.
type Stall struct {
	Cause    Cause
	Duration time.Duration
}

// Diagnose names what stalled the program over a gap, if anything did: at most one cause of the whole process, and each
// part of it that was held up on top of that. threshold is the least time that counts as a stall. It has no clock and
// does no I/O.
func Diagnose(o Observation, threshold time.Duration) (stalls []Stall) {
	if o.WakeupDelay >= threshold {
		stalls = append(stalls, Stall{processCause(o), o.WakeupDelay})
	}
	for _, part := range []Stall{{CauseLock, o.Lock}, {CauseAccept, o.Accept}, {CauseLog, o.Log}} {
		// A process that did not run explains what else was late for as long: a part is named only where it was held up
		// for longer.
		if part.Duration >= DefaultThreshold && part.Duration-o.WakeupDelay >= threshold/2 {
			stalls = append(stalls, part)
		}
	}
	return stalls
}

// processCause names why the whole process was late. The order counts: what the kernel says goes before what can be
// guessed from the CPU time, and a pause of the collector during which the process was not run is no fault of the
// collector.
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
