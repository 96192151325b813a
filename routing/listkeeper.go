package routing

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"hollylever/snapshot"
)

const (
	// savedListPollInterval is how often the lists that other processes of this balancer save are looked at.
	savedListPollInterval = 50 * time.Millisecond
	// saveCostShare bounds the part of the time that is spent on saving the list, while it changes without end, to one in
	// so many.
	saveCostShare = 50
	// maxSaveDelay bounds how long a change may wait to be saved.
	maxSaveDelay = 250 * time.Millisecond
	// confirmInterval is how often the list is saved while discovery confirms that it holds, for the time that it states.
	confirmInterval = time.Minute
	// saveRetryInterval is the wait after a write that failed.
	saveRetryInterval = time.Second
)

// listKeeper saves the endpoint list when this process is told of a change, and adopts newer lists that other processes
// of this balancer save. Only the goroutine of KeepList uses it.
type listKeeper struct {
	balancer *Balancer
	files    *snapshot.EndpointListFiles
	save     *time.Timer
	nextSave time.Time     // not before; a change that comes earlier waits
	isFailed bool          // the last write failed
	lockHeld time.Duration // how long the last write held Balancer.mu

	// Reused, to avoid allocations.
	entries []snapshotEntry
	encoded bytes.Buffer
}

// KeepList saves the endpoint list in a file whenever discovery tells of a change, and, if other processes of this
// balancer may run beside this one, adopts what they are told. It returns when the context ends. It must be called only
// once.
func (b *Balancer) KeepList(ctx context.Context, files *snapshot.EndpointListFiles, hasSiblings bool) {
	k := &listKeeper{balancer: b, files: files, save: time.NewTimer(0)}
	defer k.save.Stop()
	k.save.Stop()
	poll := time.NewTicker(savedListPollInterval)
	defer poll.Stop()
	if !hasSiblings {
		poll.Stop()
	}
	confirm := time.NewTicker(confirmInterval)
	defer confirm.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.saveRequested:
			k.save.Reset(time.Until(k.nextSave))
		case <-k.save.C:
			k.saveList()
		case <-poll.C:
			k.adoptLists()
		case <-confirm.C:
			b.saveConfirmedList()
		}
	}
}

// requestListSave has the list saved. b.mu must be held.
func (b *Balancer) requestListSave() {
	select {
	case b.saveRequested <- struct{}{}:
	default: // It is requested already, and the save reads the list after this change.
	}
}

// saveConfirmedList has the list saved if the watch is open and delivers data.
func (b *Balancer) saveConfirmedList() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.list.watches) > 0 && time.Since(b.list.toldAt) < lineTimeout {
		b.requestListSave()
	}
}

// saveList saves the list, and plans when the next save may be.
func (k *listKeeper) saveList() {
	startedAt := time.Now()
	err := k.write()
	delay := min(saveCostShare*time.Since(startedAt), maxSaveDelay)
	if err != nil {
		delay = saveRetryInterval
		k.save.Reset(delay)
		if !k.isFailed { // Once for a run of errors.
			k.balancer.log.Warn().Err(err).Msg("endpoint list not saved")
		}
	}
	k.isFailed = err != nil
	k.nextSave = time.Now().Add(delay)
}

// write copies the list with Balancer.mu held, and encodes and writes it without.
func (k *listKeeper) write() error {
	b := k.balancer
	b.mu.Lock()
	lockedAt := time.Now()
	list, entries := b.toSave(k.entries[:0])
	k.lockHeld = time.Since(lockedAt)
	b.mu.Unlock()
	k.entries = entries
	k.encoded.Reset()
	if err := json.NewEncoder(&k.encoded).Encode(snapshotList{Index: list.Index, IsFull: true, Endpoints: entries}); err != nil {
		return err
	}
	list.Endpoints = k.encoded.Bytes()
	return k.files.Write(&list)
}

// adoptLists adopts what other processes have saved since the last call.
func (k *listKeeper) adoptLists() {
	lists, err := k.files.ReadChanged(time.Now())
	if err != nil {
		k.balancer.log.Warn().Err(err).Msg("endpoint list not read")
	}
	for _, list := range lists {
		if err := k.balancer.adoptList(list); err != nil {
			k.balancer.log.Warn().Err(err).Msg("endpoint list not read")
		}
	}
}
