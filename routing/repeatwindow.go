package routing

import (
	"slices"
	"sync"
	"time"
)

// repeatWindow bounds when the attempts of one request may be completed. Servers drop duplicates of an idempotent request
// for a limited time after the first attempt that runs, and any of them may arrive first. So the last bytes of all
// attempts that may have run are sent within that time of each other. A nil repeatWindow has no bound.
type repeatWindow struct {
	length time.Duration

	mu       sync.Mutex
	admitted []admittedAttempt // that may have run
}

// admittedAttempt is an attempt whose last byte may have been sent.
type admittedAttempt struct {
	number  int
	sent    time.Time // when that was, at the earliest
	arrival time.Time // when the server was expected to have read it
}

// newRepeatWindow returns the window of a request of a workload, or nil if it needs none.
func (b *Balancer) newRepeatWindow(workload int) *repeatWindow {
	length, isLimited := b.policy.RepeatWindow(workload)
	if !isLimited {
		return nil
	}
	return &repeatWindow{length: time.Duration(length)}
}

// admit reports whether the last byte of an attempt may be sent now, to arrive at a time. If so, it counts the attempt
// among those that may have run.
func (w *repeatWindow) admit(number int, now, arrival time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	admitted := append(slices.Clone(w.admitted), admittedAttempt{number, now, arrival})
	last := slices.MaxFunc(admitted, func(one, other admittedAttempt) int { return one.arrival.Compare(other.arrival) })
	if len(admitted) > 1 && last.arrival.Sub(firstSent(admitted)) >= w.length {
		return false
	}
	w.admitted = admitted
	return true
}

// attemptElsewhere is the number of an attempt that another process may have sent. No attempt of this process has it.
const attemptElsewhere = -1

// admitElsewhere counts an attempt of the same request that another process may have sent, no sooner than at a time.
func (w *repeatWindow) admitElsewhere(notBefore time.Time) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.admitted = append(w.admitted, admittedAttempt{attemptElsewhere, notBefore, notBefore})
}

// firstSent returns when the first of the attempts was sent.
func firstSent(attempts []admittedAttempt) time.Time {
	return slices.MinFunc(attempts, func(one, other admittedAttempt) int { return one.sent.Compare(other.sent) }).sent
}

// forget removes an attempt that has proved not to have run.
func (w *repeatWindow) forget(number int) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.admitted = slices.DeleteFunc(w.admitted, func(a admittedAttempt) bool { return a.number == number })
}

// end returns the time from which on no further attempt may be completed; zero: there is none yet.
func (w *repeatWindow) end() time.Time {
	if w == nil {
		return time.Time{}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endLocked()
}

// endLocked is end for a caller that holds w.mu.
func (w *repeatWindow) endLocked() time.Time {
	if len(w.admitted) == 0 {
		return time.Time{}
	}
	return firstSent(w.admitted).Add(w.length)
}

// isShared reports whether more than one attempt may have run.
func (w *repeatWindow) isShared() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.admitted) > 1
}
