package fleet

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"hollylever/consensus"
	"hollylever/store"
)

// replicaRestartInterval is how often a replica whose log has failed is started again: a full disk or a lost mount is
// over within seconds, and until then the fleet has one voter less.
const replicaRestartInterval = 250 * time.Millisecond

// replica is this process's replica and the log that it writes. Start and then Run alone change it; state under
// Fleet.mu, as other goroutines read that.
type replica struct {
	state *consensus.Replica // nil: this process has none, or it does not run now
	log   *store.Log         // nil: it has no log, or it does not run now

	hasFailed  bool // its log has failed, and it has not been started again
	isDisabled bool // its log was found corrupt after such a failure: only a restart of the process helps
}

// closeLog closes the log and releases its lock. What it could not write was never acknowledged to anybody, so the
// error changes nothing.
func (r *replica) closeLog() {
	if r.log != nil {
		r.log.Close()
		r.log = nil
	}
}

// volatileStorage is the storage of a replica without a log: its votes last as long as its process, and the
// incarnation tells the other voters that a later process knows nothing of them.
type volatileStorage struct{}

// Append implements consensus.Storage.
func (volatileStorage) Append([][]byte) error { return nil }

// Replace implements consensus.Storage.
func (volatileStorage) Replace([][]byte) error { return nil }

// startReplica starts this process's replica from its log, if it is a voter and the replica does not run. path names
// the log; "": no log. intN draws below n, under mu. The error is store.ErrLocked while the previous process, during
// an upgrade, still runs the replica.
func (f *Fleet) startReplica(path string, intN func(n int) int) error {
	r := &f.replica
	if r.state != nil || r.isDisabled || !slices.Contains(f.voters, f.name) {
		return nil
	}
	storage, records, err := f.openReplicaLog(path)
	if err != nil || r.isDisabled {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	state, err := consensus.NewReplica(Now(), f.name, f.incarnation, f.leaseTiming, f.voters, records, storage, f, intN)
	if err != nil {
		r.closeLog()
		return fmt.Errorf("fleet.state: %w", err)
	}
	r.state = state
	return nil
}

// openReplicaLog opens the log and returns its records.
//
// A corrupt log is put aside and the replica starts empty. At the start of a process that is safe: the process has a
// new incarnation, and the other voters do not count the votes of the one before. After a failure during the
// process's life it is not: the replica would vote again under an incarnation whose votes are lost, and two leaders
// could be elected in one term. It then stays down (isDisabled) until the process is restarted.
func (f *Fleet) openReplicaLog(path string) (consensus.Storage, [][]byte, error) {
	if path == "" {
		return volatileStorage{}, nil, nil
	}
	log, records, err := store.Open(path)
	switch {
	case errors.Is(err, store.ErrLocked):
		return nil, nil, err
	case errors.Is(err, store.ErrCorrupt) && f.replica.hasFailed:
		f.log.Error().Str("file", path).Msg("replica stopped for good: its log is corrupt, restart the process")
		f.replica.isDisabled = true
		log.Close()
		return nil, nil, nil
	case errors.Is(err, store.ErrCorrupt):
		f.log.Error().Str("file", path).Msg("replica log corrupt: put aside, the replica starts empty")
	case err != nil:
		return nil, nil, fmt.Errorf("fleet.state: %w", err)
	}
	f.replica.log = log
	return log, records, nil
}

// stopReplica stops the replica, whose log has failed with err, and has it started again from what is on the disk, as
// a restart of the process would. Otherwise disks that are full for a moment would cost the fleet its majority until
// somebody restarts each voter. The caller holds mu.
func (f *Fleet) stopReplica(err error) {
	r := &f.replica
	if !r.hasFailed {
		f.log.Error().Err(err).Msg("replica stopped: restarting from its log")
	}
	r.state, r.hasFailed = nil, true
	r.closeLog()
	f.startRetry.Reset(replicaRestartInterval)
}

// logReplicaRestarted logs once that a replica that had failed runs again.
func (f *Fleet) logReplicaRestarted() {
	f.mu.Lock()
	hasRestarted := f.replica.hasFailed && !f.replica.isDisabled
	f.replica.hasFailed = false
	f.mu.Unlock()
	if hasRestarted {
		f.log.Info().Msg("replica restarted")
	}
}
