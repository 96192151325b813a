package routing

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc64"
	"maps"
	"slices"
	"time"

	"hollylever/monotime"
	"hollylever/protocol"
	"hollylever/snapshot"
)

// snapshotList is the endpoint list in discovery's form, as a snapshot has it.
type snapshotList struct {
	Index     uint64          `json:"index"`
	IsFull    bool            `json:"snapshot"`
	Endpoints []snapshotEntry `json:"endpoints"`
}

// snapshotEntry is one endpoint of it.
type snapshotEntry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// Fingerprint tells settings apart: under other settings the indices in a snapshot mean something else.
func Fingerprint(settings map[string]any) uint64 {
	sum := crc64.New(crc64.MakeTable(crc64.ECMA))
	for _, name := range slices.Sorted(maps.Keys(settings)) {
		fmt.Fprintf(sum, "%s=%v\n", name, settings[name])
	}
	return binary.BigEndian.Uint64(sum.Sum(nil))
}

// SnapshotWriter writes what a balancer has learnt to a file while it serves. One goroutine uses it.
type SnapshotWriter struct {
	balancer     *Balancer
	file         snapshot.File
	snapshot     snapshot.Snapshot // its memory is used again for the next one
	requestCount int               // as of the last snapshot
	listUpdates  int               // as of the last snapshot's list
	LockHeld     time.Duration     // how long the last snapshot held the balancer's lock
}

// NewSnapshotWriter makes a writer to a file. name is the balancer's.
func (b *Balancer) NewSnapshotWriter(path, name string) *SnapshotWriter {
	return &SnapshotWriter{
		balancer:    b,
		file:        snapshot.File{Path: path},
		snapshot:    snapshot.Snapshot{BalancerName: name, SettingsFingerprint: Fingerprint(b.settings)},
		listUpdates: -1,
	}
}

// Write writes what is known now, if any request has been admitted since the last time. State is copied under the
// lock; it is encoded and written outside of it.
func (w *SnapshotWriter) Write() error {
	list, isListNew, isDue := w.copyState()
	if !isDue {
		return nil
	}
	if isListNew {
		var err error
		if w.snapshot.EndpointList, err = json.Marshal(list); err != nil {
			return err
		}
	}
	_, err := w.file.Write(&w.snapshot)
	return err
}

// copyState copies the balancer's state into the snapshot, but for the list, which it returns if that has changed.
// isDue: a request has been admitted since the last time.
func (w *SnapshotWriter) copyState() (list snapshotList, isListNew, isDue bool) {
	b, s := w.balancer, &w.snapshot
	began := time.Now()
	b.mu.Lock()
	defer func() {
		b.mu.Unlock()
		if isDue {
			w.LockHeld = time.Since(began)
		}
	}()
	requestCount := b.counters.total(counterRequests)
	if requestCount == w.requestCount {
		return list, false, false
	}
	w.requestCount, s.WrittenAt = requestCount, time.Now().UnixNano()
	s.BootID, s.SinceBoot = monotime.BootID(), monotime.Now()
	b.policy.SaveState(b.now(), &s.BalancerState)
	if isListNew = w.listUpdates != b.list.updates; isListNew {
		list = b.snapshotList()
	}
	w.listUpdates = b.list.updates
	s.DiscoveryServer, s.ListIndex = b.list.discovery, b.list.index
	return list, isListNew, true
}

// snapshotList copies the endpoint list; under the lock.
func (b *Balancer) snapshotList() snapshotList {
	list := snapshotList{Index: b.list.index, IsFull: true}
	for i := range b.endpoints.all {
		if e := &b.endpoints.all[i]; e.isPresent() {
			list.Endpoints = append(list.Endpoints, snapshotEntry{
				Name:    e.name,
				Address: e.address,
				Zone:    nameAt(b.catalog.zoneNames, e.zone),
				Type:    nameAt(b.catalog.machineTypeNames, e.machineType),
				Group:   e.replicaGroup,
				Status:  statusByHealth[e.health],
				Weight:  e.weight,
				SinceMS: startMillis(e.statedStart),
			})
		}
	}
	return list
}

// startMillis is a start as discovery has it: its milliseconds are read as a number that need not be exact.
func startMillis(started int64) int64 {
	return (started + int64(time.Millisecond/2)) / int64(time.Millisecond)
}

// restoreSnapshot restores what another process has saved, as if this one had learnt it. The known list of the
// configuration counts where it is the newer one. It returns how many endpoints were restored, and fails for a
// snapshot of another list.
func (b *Balancer) restoreSnapshot(s *snapshot.Snapshot, known []byte) (int, error) {
	index, err := checkSameList(s.EndpointList, known)
	if err != nil {
		return 0, err
	}
	if s.ListIndex > index && s.DiscoveryServer == b.list.discovery {
		if err := b.applyList(context.Background(), s.EndpointList, true); err != nil {
			return 0, err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.policy.RestoreState(b.now(), &s.BalancerState, int64(s.Age)), nil
}

// checkSameList fails where less than half of the saved list's endpoints are in the known list, if that has any. It
// returns the index of the known list.
func checkSameList(saved, known []byte) (index uint64, err error) {
	savedList, err := protocol.ParseEndpointList(saved)
	if err != nil {
		return 0, err
	}
	isSaved := map[string]bool{}
	for _, endpoint := range savedList.Endpoints {
		isSaved[endpoint.Name] = true
	}
	knownList, _ := protocol.ParseEndpointList(known) // New has read it already.
	listed, common := len(knownList.Endpoints), 0
	for _, endpoint := range knownList.Endpoints {
		if isSaved[endpoint.Name] {
			common++
		}
	}
	if listed > 0 && 2*common < len(isSaved) {
		return 0, fmt.Errorf("of another list: %d of its %d hosts are listed", common, len(isSaved))
	}
	return knownList.Index, nil
}
