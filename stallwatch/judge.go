// Package watch notices that the program stood still, and says why. serving starts it; what it looks at (the
// module's lock, accepts, writes of the log) is handed in as marks and a lock. While all is well it costs a
// wake-up every 25 ms and some readings of the kernel's and the runtime's counts every 100 ms, nothing a retrieval.
//
// judge.go decides, from what was seen over one gap, what kept the program; it has no clock and no I/O.
package stallwatch

import "time"

// Over is the least time that counts as standing still, where nothing else is set.
const Over = 100 * time.Millisecond

// Gap is what was seen over the time in question.
type Gap struct {
	Beat    time.Duration // how late the beat woke
	CPU     time.Duration // that the process used
	Waited  time.Duration // that its threads were ready to run and did not
	Pause   time.Duration // longest pause of the collector
	Lock    time.Duration // for which the module's lock was not to be had
	Accept  time.Duration // for which an accepted connection waited in hand
	Log     time.Duration // in a write of the log
	Known   bool          // Waited is known here
	Resumed int           // times that it was told to go on after a stop by a signal
	Stolen  time.Duration // that the machine under the kernel did not run the cores
}

// Cause is what kept the program.
type Cause string

// The causes, as the log names them.
const (
	Stopped   Cause = "stopped"   // it was stopped by a signal, and told to go on: a limit on its CPU time, or somebody
	Frozen    Cause = "frozen"    // it was not run, asked for no run, and nobody told it to go on: the machine under it stood still
	Starved   Cause = "starved"   // it was ready to run, and others ran
	NotRun    Cause = "not run"   // starved or frozen; this kernel does not tell which
	Collector Cause = "collector" // a pause of the collector
	Runtime   Cause = "runtime"   // it ran, something else of it
	Lock      Cause = "lock"
	Accept    Cause = "accept"
	Log       Cause = "log"
)

// Finding is a cause and for how long.
type Finding struct {
	Cause Cause
	For   time.Duration
}

// Judge names what kept the program over a gap, if anything did. A program that did not run at all explains
// everything else that was late; what waited by itself is told apart from it by how much longer it did.
func Judge(g Gap, over time.Duration) (found []Finding) {
	if g.Beat >= over {
		cause := Runtime
		switch {
		case g.Resumed > 0 && g.CPU <= g.Beat/2:
			cause = Stopped
		case g.Known && g.Waited >= g.Beat/2:
			cause = Starved
		case g.Pause >= g.Beat/2:
			cause = Collector
		case g.CPU > g.Beat/4:
		case g.Known:
			cause = Frozen
		default:
			cause = NotRun
		}
		found = append(found, Finding{cause, g.Beat})
	}
	for _, own := range []Finding{{Lock, g.Lock}, {Accept, g.Accept}, {Log, g.Log}} {
		if own.For >= Over && own.For-g.Beat >= over/2 {
			found = append(found, own)
		}
	}
	return found
}
