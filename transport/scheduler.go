package transport

import (
	"container/heap"
	"math"
	"sync"
	"time"
)

// Work is counted in units of about one command that is answered at once.
const (
	commandWork  = 1       // a command
	readWork     = 1       // a read from the kernel
	requestWork  = 8       // an admitted request, in all goroutines
	acceptWork   = 8       // an accepted connection
	bytesPerWork = 1 << 10 // of what is read

	acceptWeight = 64 // of accepting clients in the order of turns; a client's is 1

	turnWork        = 256 // that clients may cause in one turn
	crowdedTurnWork = 64  // the same while minCrowd clients or more wait
	minTurnWork     = 8   // the same for each of them
	freeWork        = 64  // that a client may cause at once without a turn
	initialWork     = 16  // the same for one that has just connected
	freeWorkPerSec  = 256 // by which that grows back, per second
)

const (
	// minCrowd is the number of waiting clients from which on turns are short and wait for an idle process however long that
	// takes, up to maxIdleWait. One or two that send hundreds of commands at once must have their replies in time also where
	// other work leaves the process no idle moment: their turns are longer, and come after maxUsualWait at the latest.
	minCrowd     = 3
	maxUsualWait = time.Millisecond
	// similarUsage is the ratio of the usages of two clients up to which they share a turn.
	similarUsage = 2
	// usageTimeConstant is the time in which what a client has used decays to 1/e.
	usageTimeConstant = time.Second
	// schedulerLinger is how long the scheduler waits for another client before its goroutine ends.
	schedulerLinger = 50 * time.Millisecond
)

// workAccount counts the work that a client causes. Only one goroutine uses it.
type workAccount struct {
	balance   float64 // work that it may cause before it needs a turn
	updatedAt time.Time
	unbilled  float64      // caused since updatedAt
	usage     float64      // decayed sum of what it caused
	weight    float64      // by which its usage is divided for its place in the order of turns
	turn      chan float64 // receives the work of its next turn
}

// newAcceptAccount returns the account of accepting clients. It stands for many clients, most of which are usual ones.
func newAcceptAccount(now time.Time) workAccount {
	account := newWorkAccount(now)
	account.weight = acceptWeight
	return account
}

// newWorkAccount returns the account of a client that has just connected.
func newWorkAccount(now time.Time) workAccount {
	return workAccount{balance: initialWork, updatedAt: now, usage: initialWork, weight: 1, turn: make(chan float64, 1)}
}

// charge counts work.
func (a *workAccount) charge(work float64) {
	a.balance -= work
	a.unbilled += work
}

// renew allows the work of one small request after the client's read had to wait: the runtime has polled the network for it,
// and so the process had nothing else to do.
func (a *workAccount) renew() { a.balance = max(a.balance, readWork+commandWork+requestWork) }

// update lets the balance grow and the usage decay to the present.
func (a *workAccount) update(now time.Time) {
	elapsed := now.Sub(a.updatedAt).Seconds()
	a.usage = a.usage*math.Exp(-elapsed/usageTimeConstant.Seconds()) + a.unbilled
	a.balance = max(a.balance, min(freeWork, a.balance+elapsed*freeWorkPerSec))
	a.unbilled, a.updatedAt = 0, now
}

// priority returns the client's place in the order of turns, lowest first: that of its usage. sinceStart makes priorities
// of different times comparable, as all usages decay alike.
func (a *workAccount) priority(sinceStart time.Duration) float64 {
	return math.Log(a.usage/a.weight) + sinceStart.Seconds()/usageTimeConstant.Seconds()
}

// needsTurn reports whether the client has to wait for a turn before it causes more work.
func (a *workAccount) needsTurn() bool {
	if a.balance > 0 {
		return false
	}
	a.update(time.Now())
	return a.balance <= 0
}

// scheduler divides the processor time that is left over among the clients that cause more work than usual. It gives
// them turns, one after the other, to the client with the least usage first. While minCrowd clients or more wait, each turn
// waits for a process with nothing else to do, up to maxIdleWait: so a crowd waits for all other work, whatever it sends and
// however many it is. While fewer wait, a turn comes after maxUsualWait. It is safe for concurrent use.
type scheduler struct {
	startedAt time.Time
	arrived   chan struct{} // signaled when a client waits

	mu        sync.Mutex // guards the fields below
	waiting   turnQueue
	isRunning bool
	figures   TurnFigures
}

// TurnFigures counts how often clients that caused more work than usual waited for a turn, and for how long.
type TurnFigures struct {
	Waits       int
	Waited      time.Duration // sum of all waits
	LongestWait time.Duration
}

// Add adds the figures of a further time.
func (f *TurnFigures) Add(further TurnFigures) {
	f.Waits += further.Waits
	f.Waited += further.Waited
	f.LongestWait = max(f.LongestWait, further.LongestWait)
}

func newScheduler() *scheduler {
	return &scheduler{startedAt: time.Now(), arrived: make(chan struct{}, 1)}
}

// takeFigures returns the counts since the last call.
func (s *scheduler) takeFigures() TurnFigures {
	s.mu.Lock()
	defer s.mu.Unlock()
	figures := s.figures
	s.figures = TurnFigures{}
	return figures
}

// await waits for a turn.
func (s *scheduler) await(a *workAccount) {
	began := time.Now()
	for a.balance <= 0 { // A step can cause more work than one turn allows.
		now := time.Now()
		a.update(now)
		s.enqueue(turnRequest{turn: a.turn, priority: a.priority(now.Sub(s.startedAt))})
		a.balance += <-a.turn
	}
	s.count(time.Since(began))
}

func (s *scheduler) enqueue(request turnRequest) {
	s.mu.Lock()
	heap.Push(&s.waiting, request)
	isRunning := s.isRunning
	s.isRunning = true
	s.mu.Unlock()
	if !isRunning {
		go s.run()
	}
	select {
	case s.arrived <- struct{}{}:
	default:
	}
}

// run gives turns until no client has waited for schedulerLinger.
func (s *scheduler) run() {
	idle := newIdleSignal()
	defer idle.close()
	for {
		s.awaitIdle(idle)
		if !s.giveTurn() && !s.awaitArrival() {
			return
		}
	}
}

// awaitIdle waits until the process has nothing else to do, for as long as suits the clients that wait.
func (s *scheduler) awaitIdle(idle *idleSignal) {
	turn := beginTurn()
	for {
		isIdle := idle.wait(maxUsualWait)
		if !s.isCrowded() {
			return
		}
		if isIdle || time.Since(turn.beganAt) > maxIdleWait {
			time.Sleep(turn.preempted())
			return
		}
	}
}

// isCrowded reports whether minCrowd clients or more wait.
func (s *scheduler) isCrowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting) >= minCrowd
}

// awaitArrival waits for a client, and returns false if run is to end as none has come.
func (s *scheduler) awaitArrival() bool {
	linger := time.NewTimer(schedulerLinger)
	defer linger.Stop()
	select {
	case <-s.arrived:
		return true
	case <-linger.C:
		return !s.stop()
	}
}

// giveTurn gives the next client its turn, and reports whether there is one. Clients of similar usage share it.
func (s *scheduler) giveTurn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		return false
	}
	work := float64(turnWork)
	if len(s.waiting) >= minCrowd {
		work = crowdedTurnWork
	}
	next := s.waiting.next(int(work / minTurnWork))
	for _, request := range next {
		request.turn <- work / float64(len(next))
	}
	return true
}

// stop records that run ends, unless a client waits, and reports whether it may.
func (s *scheduler) stop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isRunning = len(s.waiting) > 0
	return !s.isRunning
}

// count counts a wait.
func (s *scheduler) count(wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.figures.Add(TurnFigures{1, wait, wait})
}

// turnRequest is a client that waits for a turn.
type turnRequest struct {
	turn     chan<- float64
	priority float64 // lowest first
}

// turnQueue implements heap.Interface.
type turnQueue []turnRequest

// next removes the first request from a queue that is not empty, and up to limit in all of similar usage.
func (q *turnQueue) next(limit int) []turnRequest {
	all := []turnRequest{heap.Pop(q).(turnRequest)}
	similar := all[0].priority + math.Log(similarUsage)
	for len(*q) > 0 && len(all) < limit && (*q)[0].priority <= similar {
		all = append(all, heap.Pop(q).(turnRequest))
	}
	return all
}

func (q turnQueue) Len() int           { return len(q) }
func (q turnQueue) Less(i, j int) bool { return q[i].priority < q[j].priority }
func (q turnQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *turnQueue) Push(request any) { *q = append(*q, request.(turnRequest)) }

// Pop implements heap.Interface.
func (q *turnQueue) Pop() any {
	last := len(*q) - 1
	request := (*q)[last]
	*q = (*q)[:last]
	return request
}
