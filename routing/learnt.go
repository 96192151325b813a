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
	"hollylever/policy"
	"hollylever/protocol"
	"hollylever/snapshot"
)

// entry is a server as discovery's form has it.
type entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// Fingerprint tells settings apart: under other ones the indices in what was learnt mean something else.
func Fingerprint(settings map[string]any) uint64 {
	sum := crc64.New(crc64.MakeTable(crc64.ECMA))
	for _, name := range slices.Sorted(maps.Keys(settings)) {
		fmt.Fprintf(sum, "%s=%v\n", name, settings[name])
	}
	return binary.BigEndian.Uint64(sum.Sum(nil))
}

// Keeper writes down what a balancer has learnt, while it serves.
type Keeper struct {
	b        *Balancer
	file     snapshot.File
	snapshot snapshot.Snapshot // its room is used again
	came     int               // retrievals, at the last one
	told     int               // lists, as of its list
	Held     time.Duration     // under the lock, for the last one
}

// Keeper makes one that writes to a file.
func (b *Balancer) Keeper(path, name string) *Keeper {
	return &Keeper{b: b, file: snapshot.File{Path: path}, snapshot: snapshot.Snapshot{BalancerName: name, SettingsFingerprint: Fingerprint(b.settings)}, told: -1}
}

// Keep writes what is known now, if any retrieval came since the last time. State is copied under the lock, and packed and written
// outside of it.
func (k *Keeper) Keep() error {
	b, s := k.b, &k.snapshot
	began := time.Now()
	b.mu.Lock()
	came := b.counts[count{"retrievals", none}]
	if came == k.came {
		b.mu.Unlock()
		return nil
	}
	k.came, s.WrittenAt = came, time.Now().UnixNano()
	s.BootID, s.SinceBoot = monotime.BootID(), monotime.Now()
	b.module.SaveState(b.now(), &s.BalancerState)
	whole := struct {
		Index     uint64  `json:"index"`
		Snapshot  bool    `json:"snapshot"`
		Endpoints []entry `json:"endpoints"`
	}{b.index, true, nil}
	changed := k.told != b.lists
	k.told = b.lists
	for i := 0; changed && i < len(b.servers); i++ {
		if h := &b.servers[i]; h.name != "" && h.health != policy.Removed {
			whole.Endpoints = append(whole.Endpoints, entry{h.name, h.address, named(b.zoneNames, h.zone), named(b.kindNames, h.kind), h.cell,
				names[h.health], h.weight, sinceMS(h.started)})
		}
	}
	s.DiscoveryServer, s.ListIndex = b.discovery, b.index
	b.mu.Unlock()
	k.Held = time.Since(began)
	if changed {
		var err error
		if s.EndpointList, err = json.Marshal(whole); err != nil {
			return err
		}
	}
	_, err := k.file.Write(s)
	return err
}

// sinceMS is a start as discovery has it: its milliseconds are read as a number that need not be exact.
func sinceMS(started int64) int64 {
	return (started + int64(time.Millisecond/2)) / int64(time.Millisecond)
}

// byPlace turns a table of the settings round. It is made once: looked for one by one, as many names as there are servers take long under the lock.
func byPlace(table map[string]int) []string {
	size := 0
	for _, place := range table {
		size = max(size, place+1)
	}
	names := make([]string, size)
	for name, place := range table {
		names[place] = name
	}
	return names
}

// named is the name of a place in one of the settings' tables; "" where the settings do not have it.
func named(names []string, place int) string {
	if place < 0 || place >= len(names) {
		return ""
	}
	return names[place]
}

// recall starts from what another process has left, as if this one had been there. The list of the configuration counts where it is the
// newer one. It tells how many servers are known.
func (b *Balancer) recall(s *snapshot.Snapshot, known []byte) (int, error) {
	saved, err := protocol.ParseEndpointList(s.EndpointList)
	if err != nil {
		return 0, err
	}
	before, same := map[string]bool{}, 0
	for _, endpoint := range saved.Endpoints {
		before[endpoint.Name] = true
	}
	configured, _ := protocol.ParseEndpointList(known) // Without one, or with a damaged one, no server is configured.
	for _, endpoint := range configured.Endpoints {
		if before[endpoint.Name] {
			same++
		}
	}
	listed := len(configured.Endpoints)
	if listed > 0 && 2*same < len(before) {
		return 0, fmt.Errorf("of another list: %d of its %d hosts are listed", same, len(before))
	}
	if s.ListIndex > configured.Index && s.DiscoveryServer == b.discovery {
		if err := b.tell(context.Background(), s.EndpointList, true); err != nil {
			return 0, err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.module.RestoreState(b.now(), &s.BalancerState, int64(s.Age)), nil
}
