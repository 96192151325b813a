package siblings

import (
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"hollylever/monotime"
)

const (
	// MaxProcesses is the maximum number of processes of one balancer. An upgrade needs two, and an upgrade that is
	// started during another one needs three.
	MaxProcesses = 8
	// attemptDecay is the time constant with which counted attempts decay, to 1/e. It matches how quickly clients move
	// over to a new process.
	attemptDecay = 300 * time.Millisecond

	stateFilePrefix = "hollylever.kin." // followed by the slot number
	raiseLockFile   = "hollylever.kin.turn"
)

// ErrTooManyProcesses is returned by Join if the balancer already has MaxProcesses processes.
var ErrTooManyProcesses = fmt.Errorf("already %d processes of this balancer running", MaxProcesses)

// Group is this process's membership in the group of processes of its balancer. Its methods are safe for concurrent
// use.
//
// Each process has a slot: a file that it keeps locked while it runs and writes its state to. The kernel releases the
// lock however the process ends, which also frees its claim.
type Group struct {
	total        Resources // limits of all processes together
	directory    string
	slot         int
	stateFile    *os.File                  // state file of the slot, held under an exclusive flock
	raiseLock    *os.File                  // locked by the process that may raise its claim
	runningSlots [MaxProcesses]atomic.Bool // as last read

	mu           sync.Mutex // guards the fields below
	own          processState
	others       []processState // as last read
	results      *Results       // nil: not opened
	lastAttempts int            // attempts counted at the last Update
	lastUpdate   time.Time      // time of the last Update
}

// Join takes a free slot among the processes that share a directory. total is the limit for all of them together. Join
// returns ErrTooManyProcesses if no slot is free. If only publishing the state fails, it returns both the group and the
// error; the next Update publishes again.
func Join(directory string, total Resources) (*Group, error) {
	raiseLock, err := openFile(filepath.Join(directory, raiseLockFile), os.O_CREATE)
	if err != nil {
		return nil, fmt.Errorf("join processes of this balancer: %w", err)
	}
	g := &Group{total: total, directory: directory, raiseLock: raiseLock,
		own: processState{PID: os.Getpid(), StartedAt: startedAtBase + monotime.Now(), Phase: Starting}}
	for slot := range MaxProcesses {
		stateFile, err := openFile(g.statePath(slot), os.O_CREATE)
		if err != nil {
			raiseLock.Close()
			return nil, fmt.Errorf("join processes of this balancer: %w", err)
		}
		if !tryLock(stateFile, unix.LOCK_EX) {
			stateFile.Close()
			continue
		}
		g.slot, g.stateFile = slot, stateFile
		return g, g.publish()
	}
	raiseLock.Close()
	return nil, ErrTooManyProcesses
}

// Slot returns the number of this process's slot, below MaxProcesses. No other running process of the group has it.
func (g *Group) Slot() int { return g.slot }

// openFile opens a file for reading and writing. It does not follow symbolic links, as other users may be able to write
// to the directory.
func openFile(path string, flags int) (*os.File, error) {
	return os.OpenFile(path, flags|os.O_RDWR|unix.O_NOFOLLOW, 0o600)
}

// tryLock takes an flock of a file without blocking and reports whether it succeeded.
func tryLock(file *os.File, kind int) bool {
	return unix.Flock(int(file.Fd()), kind|unix.LOCK_NB) == nil
}

func (g *Group) statePath(slot int) string {
	return filepath.Join(g.directory, fmt.Sprint(stateFilePrefix, slot))
}

// publish writes this process's state to its file. The caller must hold g.mu, except in Join.
func (g *Group) publish() error {
	content, err := encodeState(g.own)
	if err != nil {
		return fmt.Errorf("publish state of this process: %w", err)
	}
	if _, err = g.stateFile.WriteAt(content, 0); err != nil {
		return fmt.Errorf("publish state of this process: %w", err)
	}
	return nil
}

// readOthers reads the states of the other processes. The caller must hold g.mu.
func (g *Group) readOthers() {
	g.others = g.others[:0]
	for slot := range MaxProcesses {
		if slot == g.slot {
			continue
		}
		content, isRunning := readState(g.statePath(slot))
		g.runningSlots[slot].Store(isRunning)
		if isRunning {
			g.others = append(g.others, decodeState(content, g.total))
		}
	}
}

// readState returns what the process of a slot has published and whether that process is running. Without a file the
// slot was never taken. If the lock is free, the process has ended and its claim no longer counts.
func readState(path string) (content []byte, isRunning bool) {
	file, err := openFile(path, 0)
	if err != nil {
		return nil, false
	}
	defer file.Close()
	if tryLock(file, unix.LOCK_SH) {
		return nil, false
	}
	content = make([]byte, stateSize)
	n, _ := file.ReadAt(content, 0) // Unreadable content counts as not published yet.
	return content[:n], true
}

// Update publishes this process's resource usage and the number of attempts it has sent since its start, and adjusts
// its claim. It returns the amounts that the process may use from now on, its share of the attempts to endpoints that
// are warming up, and the number of other running processes. These results are valid even if Update returns an error,
// which means that the state was not published.
func (g *Group) Update(usage Resources, attempts int) (allowed Resources, share float64, others int, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.own.Usage = usage
	if g.results != nil {
		g.results.findOthers()
	}
	g.countAttempts(attempts, time.Now())
	err = g.adjustClaim()
	return allowance(g.total, g.own, g.others), attemptShare(g.own, g.others), len(g.others), err
}

// countAttempts adds the attempts since the last call to the exponentially decaying count.
func (g *Group) countAttempts(attempts int, now time.Time) {
	remaining := math.Exp(-float64(now.Sub(g.lastUpdate)) / float64(attemptDecay))
	g.own.Attempts = g.own.Attempts*remaining + float64(max(0, attempts-g.lastAttempts))
	g.lastUpdate, g.lastAttempts = now, attempts
}

// adjustClaim reads the others' states, then changes and publishes this process's claim.
//
// raiseLock prevents two processes from raising their claims into the same unclaimed amount, which would exceed the
// limits. It is held from before the others' states are read until the claim is published. Processes never wait for it,
// so that one that hangs while holding it does not block the others. A process that does not get it can only lower its
// claim, and tries again at the next Update.
func (g *Group) adjustClaim() error {
	mayRaise := tryLock(g.raiseLock, unix.LOCK_EX)
	g.readOthers()
	g.own.Claim = nextClaim(g.total, g.own, g.others, mayRaise)
	err := g.publish()
	if mayRaise {
		err = errors.Join(err, unix.Flock(int(g.raiseLock.Fd()), unix.LOCK_UN))
	}
	return err
}

// SetPhase sets the phase of this process. The next Update publishes it.
func (g *Group) SetPhase(phase Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.own.Phase = phase
}

// IsSnapshotWriter reports whether this process writes the snapshot of learned state, according to the last Update.
func (g *Group) IsSnapshotWriter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return isSnapshotWriter(g.own, g.others)
}

// Close releases the slot and the claim, as the end of the process would. The group must not be used afterwards.
func (g *Group) Close() {
	g.stateFile.Close()
	g.raiseLock.Close()
}
