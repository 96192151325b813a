package routing

import (
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

// snapshotList is the endpoint list of a snapshot, encoded as discovery sends it.
type snapshotList struct {
	Index     uint64          `json:"index"`
	IsFull    bool            `json:"snapshot"`
	Endpoints []snapshotEntry `json:"endpoints"`
}

// snapshotEntry is one endpoint of a snapshotList.
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

// Fingerprint returns a checksum of the settings. A snapshot fits only the settings that it was taken with, as its
// indices refer to them.
func Fingerprint(settings map[string]any) uint64 {
	sum := crc64.New(crc64.MakeTable(crc64.ECMA))
	for _, name := range slices.Sorted(maps.Keys(settings)) {
		fmt.Fprintf(sum, "%s=%v\n", name, settings[name])
	}
	return binary.BigEndian.Uint64(sum.Sum(nil))
}

// SnapshotWriter writes a balancer's learned state to a file while the balancer serves. It is not safe for concurrent
// use.
type SnapshotWriter struct {
	balancer     *Balancer
	file         snapshot.File
	snapshot     snapshot.Snapshot // reused, to avoid allocations
	requestCount int               // as of the last snapshot
	updatesSeen  int               // number of lists applied, as of the last snapshot or of the start
	listUpdates  int               // as of the list in the last snapshot; -1: there is none
	LockHeld     time.Duration     // how long the last snapshot held Balancer.mu
}

// NewSnapshotWriter returns a writer to the file at path. name is the balancer's name.
func (b *Balancer) NewSnapshotWriter(path, name string) *SnapshotWriter {
	return &SnapshotWriter{
		balancer:    b,
		file:        snapshot.File{Path: path},
		snapshot:    snapshot.Snapshot{BalancerName: name, SettingsFingerprint: Fingerprint(b.settings)},
		updatesSeen: b.list.updates,
		listUpdates: -1,
	}
}

// Write writes a snapshot if any request has been admitted, or a list applied, since the last one. The version before
// this one knows of a drain by the snapshot only. Write copies the state with Balancer.mu held, and encodes and writes it
// without.
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

// copyState copies the balancer's state into the snapshot, except for the list, which it returns if the list has
// changed. isDue reports whether a request has been admitted, or a list applied, since the last snapshot.
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
	if requestCount == w.requestCount && b.list.updates == w.updatesSeen {
		return list, false, false
	}
	w.requestCount, w.updatesSeen = requestCount, b.list.updates
	s.WrittenAt = time.Now().UnixNano()
	s.BootID, s.SinceBoot = monotime.BootID(), monotime.Now()
	b.policy.SaveState(b.now(), &s.BalancerState)
	if isListNew = w.listUpdates != b.list.updates; isListNew {
		list = b.snapshotList()
	}
	w.listUpdates = b.list.updates
	s.DiscoveryServer, s.ListGeneration, s.ListIndex = b.list.discovery, b.list.generation, b.list.index
	return list, isListNew, true
}

// snapshotList copies the endpoint list. b.mu must be held.
func (b *Balancer) snapshotList() snapshotList {
	return snapshotList{Index: b.list.index, IsFull: true, Endpoints: b.appendEntries(nil)}
}

// appendEntries appends the endpoints that are ready or drain. b.mu must be held.
func (b *Balancer) appendEntries(entries []snapshotEntry) []snapshotEntry {
	for i := range b.endpoints.all {
		if e := &b.endpoints.all[i]; e.isPresent() {
			entries = append(entries, snapshotEntry{
				Name:    e.name,
				Address: e.address,
				Zone:    e.zoneName,
				Type:    e.typeName,
				Group:   e.replicaGroup,
				Status:  statusByHealth[e.health],
				Weight:  e.weight,
				SinceMS: startMillis(e.listedStart),
			})
		}
	}
	return entries
}

// startMillis converts a start time to discovery's unit, milliseconds. It rounds, as the nanoseconds come from
// milliseconds that were parsed as an inexact number.
func startMillis(started int64) int64 {
	return (started + int64(time.Millisecond/2)) / int64(time.Millisecond)
}

// restoreSnapshot restores the state that another process saved, as if this process had learned it. If the snapshot's
// list is newer than the one in effect, it is applied: the version before this one saves its list nowhere else.
// restoreSnapshot returns the number of endpoints restored, and fails if the snapshot belongs to a different list.
func (b *Balancer) restoreSnapshot(s *snapshot.Snapshot) (int, error) {
	if !b.isListInEffect(s) {
		saved, err := protocol.ParseEndpointList(s.EndpointList)
		if err != nil {
			return 0, err
		}
		if err := checkSameEndpoints(saved, b.presentEndpoints()); err != nil {
			return 0, err
		}
		if b.isNewerList(s) {
			b.applyListAtStart(saved, listFromProcess)
			b.list.toldAt = time.Now().Add(-s.Age)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.policy.RestoreState(b.now(), &s.BalancerState, int64(s.Age)), nil
}

// isListInEffect reports whether a snapshot's list is the one in effect.
func (b *Balancer) isListInEffect(s *snapshot.Snapshot) bool {
	return s.DiscoveryServer == b.list.discovery && s.ListGeneration == b.list.generation && s.ListIndex == b.list.index
}

// isNewerList reports whether a snapshot's list is newer than the one in effect.
func (b *Balancer) isNewerList(s *snapshot.Snapshot) bool {
	hasGeneration := s.ListGeneration > 0
	return s.DiscoveryServer == b.list.discovery && s.ListIndex > b.list.index && (!hasGeneration || s.ListGeneration >= b.list.generation)
}

// presentEndpoints returns the names of the endpoints that are ready or drain, as a list.
func (b *Balancer) presentEndpoints() (list protocol.EndpointList) {
	for i := range b.endpoints.all {
		if e := &b.endpoints.all[i]; e.isPresent() {
			list.Endpoints = append(list.Endpoints, protocol.Endpoint{Name: e.name})
		}
	}
	return list
}

// checkSameEndpoints fails if a list has endpoints, but less than half of the saved list's.
func checkSameEndpoints(saved, list protocol.EndpointList) error {
	isSaved := map[string]bool{}
	for _, endpoint := range saved.Endpoints {
		if endpoint.Status != protocol.EndpointGone {
			isSaved[endpoint.Name] = true
		}
	}
	common := 0
	for _, endpoint := range list.Endpoints {
		if isSaved[endpoint.Name] {
			common++
		}
	}
	if len(list.Endpoints) > 0 && 2*common < len(isSaved) {
		return fmt.Errorf("belongs to another endpoint list: %d of its %d endpoints are in the known list", common, len(isSaved))
	}
	return nil
}
