package transport

import (
	"time"

	"golang.org/x/sys/unix"
)

// maxPreemption bounds what turnTime.preempted returns.
const maxPreemption = 10 * time.Millisecond

// turnTime measures how long a turn takes.
type turnTime struct {
	beganAt    time.Time
	cpuAtBegin time.Duration // of the process
}

func beginTurn() turnTime { return turnTime{time.Now(), processCPU()} }

// preempted returns how long the process has not run since the turn began, although it had something to do: other processes
// use the same processor. A process that rests for as long leaves the others a larger part than it has to, and the kernel
// runs it sooner when something arrives.
func (t turnTime) preempted() time.Duration {
	return min(maxPreemption, max(0, time.Since(t.beganAt)-(processCPU()-t.cpuAtBegin)))
}

// processCPU returns the processor time that the process has used; 0 if that is not known.
func processCPU() time.Duration {
	var used unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &used); err != nil {
		return 0
	}
	return time.Duration(used.Nano())
}
