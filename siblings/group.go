package siblings

import (
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"hollylever/monotime"
)

const (
	// maxProcesses bounds the processes of one balancer. An upgrade takes two, and one that is started amid another
	// three.
	maxProcesses = 8
	// attemptDecay is the time in which counted attempts decay to 1/e. Clients move over to a new process that quickly.
	attemptDecay = 300 * time.Millisecond

	stateFilePrefix = "hollylever.kin." // and the number of the slot
	raiseLockFile   = "hollylever.kin.turn"
)

// ErrTooManyProcesses says that the balancer has maxProcesses processes already.
var ErrTooManyProcesses = fmt.Errorf("%d processes of this balancer run already", maxProcesses)

// Group is this process's place among the processes of its balancer. Its methods may be called concurrently.
//
// Each process has a slot: a file that it holds locked while it runs, and writes its state to. The kernel releases the
// lock however the process ends, which frees its claim.
type Group struct {
	total     Resources // what all processes may use together
	directory string
	slot      int
	stateFile *os.File // of the slot, under an exclusive flock
	raiseLock *os.File // locked by whichever process raises its claim

	mu           sync.Mutex // guards what follows
	own          processState
	others       []processState // as last read
	attemptsSeen int            // at the last Update
	updatedAt    time.Time      // of the last Update
}

// Join takes a slot among the processes that share a directory. total is what all of them may use together. It returns
// ErrTooManyProcesses if no slot is free. If only publishing the state fails it returns the group with the error: Update
// publishes again.
func Join(directory string, total Resources) (*Group, error) {
	raiseLock, err := openFile(filepath.Join(directory, raiseLockFile), os.O_CREATE)
	if err != nil {
		return nil, fmt.Errorf("join processes of this balancer: %w", err)
	}
	g := &Group{total: total, directory: directory, raiseLock: raiseLock,
		own: processState{PID: os.Getpid(), StartedAt: startedAtBase + monotime.Now(), Phase: Starting}}
	for slot := range maxProcesses {
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

// openFile opens a file to read and write. A link is not followed, as the directory may be writable for other users.
func openFile(path string, flags int) (*os.File, error) {
	return os.OpenFile(path, flags|os.O_RDWR|unix.O_NOFOLLOW, 0o600)
}

// tryLock takes the file's lock unless another process has one that excludes it.
func tryLock(file *os.File, kind int) bool {
	return unix.Flock(int(file.Fd()), kind|unix.LOCK_NB) == nil
}

func (g *Group) statePath(slot int) string {
	return filepath.Join(g.directory, fmt.Sprint(stateFilePrefix, slot))
}

// publish writes this process's state for the others to read. The caller holds g.mu, or is Join.
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

// readOthers reads the states of the other processes. The caller holds g.mu.
func (g *Group) readOthers() {
	g.others = g.others[:0]
	for slot := range maxProcesses {
		if slot == g.slot {
			continue
		}
		if content, isRunning := readState(g.statePath(slot)); isRunning {
			g.others = append(g.others, decodeState(content, g.total))
		}
	}
}

// readState returns what the process of a slot has published. A slot without a file was never taken; one whose lock is
// free belonged to a process that has ended, and what it claimed is free too.
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
	n, _ := file.ReadAt(content, 0) // What can't be read counts as not published yet.
	return content[:n], true
}

// Update publishes what this process uses and how many attempts it has handed over since its start, and adjusts its
// claim. It returns what the process may use from now on, its part of the attempts to cold servers, and how many other
// processes run. After an error these are right, but the others have not been told.
func (g *Group) Update(usage Resources, attempts int) (allowed Resources, share float64, others int, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.own.Usage = usage
	g.countAttempts(attempts, time.Now())
	err = g.adjustClaim()
	return allowance(g.total, g.own, g.others), attemptShare(g.own, g.others), len(g.others), err
}

// countAttempts adds the attempts since the last call to the decaying count.
func (g *Group) countAttempts(attempts int, now time.Time) {
	remaining := math.Exp(-float64(now.Sub(g.updatedAt)) / float64(attemptDecay))
	g.own.Attempts = g.own.Attempts*remaining + float64(max(0, attempts-g.attemptsSeen))
	g.updatedAt, g.attemptsSeen = now, attempts
}

// adjustClaim reads the others' states, then changes and publishes this process's claim.
//
// The lock guards against two processes that raise their claims into the same unclaimed rest, which would add up to
// more than there is. It is held from before the others are read until the claim is published, and never waited for: a
// process that stands still with it must not stop the others. Whoever does not get it only lowers its claim, and may
// raise it at the next Update.
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

// SetPhase sets the phase of this process; the others see it after the next Update.
func (g *Group) SetPhase(phase Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.own.Phase = phase
}

// IsSnapshotWriter tells whether this process is the one that writes the snapshot of what was learned, as of the last
// Update.
func (g *Group) IsSnapshotWriter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return isSnapshotWriter(g.own, g.others)
}

// Close gives up the slot and the claim, as the end of the process does. The group must not be used after it.
func (g *Group) Close() {
	g.stateFile.Close()
	g.raiseLock.Close()
}
