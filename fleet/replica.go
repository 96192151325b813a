package fleet

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"hollylever/consensus"
	"hollylever/store"
)

// replicaRestartInterval is how often a replica whose log failed is restarted. A full disk or a lost mount typically
// recovers within seconds; until the restart the fleet has one voter less.
const replicaRestartInterval = 250 * time.Millisecond

// replica is this process's replica and its log. Only Start, and afterwards Run, modify it. They modify state with
// Fleet.mu held, since other goroutines read it.
type replica struct {
	state *consensus.Replica // nil if this process has no replica, or it is not running
	log   *store.Log         // nil if the replica has no log, or it is not running

	hasFailed  bool // the log failed, and the replica has not been restarted since
	isDisabled bool // the log was corrupt after a failure: the replica stays down until the process restarts
}

// closeLog closes the log and releases its lock. It ignores the error, since records that could not be written were
// never acknowledged.
func (r *replica) closeLog() {
	if r.log != nil {
		r.log.Close()
		r.log = nil
	}
}

// volatileStorage is the storage of a replica without a log. Its votes are lost when the process ends; the incarnation
// tells the other voters that a later process has no knowledge of them.
type volatileStorage struct{}

// Append implements consensus.Storage.
func (volatileStorage) Append([][]byte) error { return nil }

// Replace implements consensus.Storage.
func (volatileStorage) Replace([][]byte) error { return nil }

// startReplica starts the replica from its log, if this process is a voter and the replica is not running. path is the
// path of the log; "" means no log. intN returns a random number in [0, n) and is called with mu held. During an
// upgrade startReplica returns store.ErrLocked while the previous process still runs the replica.
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
// A corrupt log is moved aside and the replica starts empty. This is safe when the process starts: it has a new
// incarnation, and the other voters ignore the votes of the previous one. It is not safe after a failure while the
// process runs: the replica would vote again under an incarnation whose votes are lost, and two leaders could be
// elected in one term. In that case the replica stays down (isDisabled) until the process is restarted.
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

// stopReplica stops the replica after its log failed with err, and schedules a restart from the state on disk, as a
// restart of the process would do. Without this, disks that are briefly full would cost the fleet its majority until
// each voter is restarted by hand. The caller must hold mu.
func (f *Fleet) stopReplica(err error) {
	r := &f.replica
	if !r.hasFailed {
		f.log.Error().Err(err).Msg("replica stopped: restarting from its log")
	}
	r.state, r.hasFailed = nil, true
	r.closeLog()
	f.startRetry.Reset(replicaRestartInterval)
}

// logReplicaRestarted logs once that a failed replica is running again.
func (f *Fleet) logReplicaRestarted() {
	f.mu.Lock()
	hasRestarted := f.replica.hasFailed && !f.replica.isDisabled
	f.replica.hasFailed = false
	f.mu.Unlock()
	if hasRestarted {
		f.log.Info().Msg("replica restarted")
	}
}
