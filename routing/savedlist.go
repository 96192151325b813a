package routing

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"github.com/rs/zerolog"

	"hollylever/monotime"
	"hollylever/protocol"
	"hollylever/snapshot"
)

// maxIndexAge is how old a saved list may be for discovery to be asked only for what changed after its index. A server
// that was rebuilt since may have a higher index by then, and would not tell of all that is different.
const maxIndexAge = 10 * time.Minute

// firstGeneration is the generation of the lists of a process that found none of another process.
const firstGeneration = 1

// Reasons for which a saved endpoint list is not restored.
var (
	errOlderThanConfigured = errors.New("older than the list in the configuration")
	errOtherDiscovery      = errors.New("from another discovery server")
)

// Previous is what other processes of this balancer have left for a process that starts.
type Previous struct {
	Snapshot *snapshot.Snapshot       // what one of them learned; nil: nothing
	Lists    []*snapshot.EndpointList // the endpoint lists that discovery told them
}

// restoreList applies the newest endpoint list that another process saved, as if this process had been told of it: the
// processes are one balancer, so a drain that one of them was told of binds all, also while discovery is down.
func (b *Balancer) restoreList(lists []*snapshot.EndpointList, configured protocol.EndpointList) {
	b.list.configuredDigest = listDigest(configured)
	b.list.generation = firstGeneration
	for _, list := range lists {
		b.list.generation = max(b.list.generation, list.Generation)
	}
	saved := newestList(lists, b.list.discovery)
	if saved == nil {
		return
	}
	parsed, err := protocol.ParseEndpointList(saved.Endpoints)
	if err == nil {
		err = b.checkRestorable(saved, parsed, configured)
	}
	if err != nil {
		b.refuseList(saved, err)
		return
	}
	b.list.generation = saved.Generation
	b.applyListAtStart(parsed, listFromProcess)
	b.list.toldAt = time.Now().Add(-saved.Age)
	if saved.DiscoveryServer != b.list.discovery || saved.Age > maxIndexAge {
		b.list.index = 0 // The server may number its lists differently: the first watch asks for the whole list.
		b.list.generation++
	}
	b.log.Info().Uint64("index", saved.Index).Int("endpoints", len(parsed.Endpoints)).Int("draining", countDraining(parsed)).
		Int64("age_ms", saved.Age.Milliseconds()).Msg("endpoint list restored")
}

// refuseList logs that a saved list is not restored. Unless the configuration is just as new, what this process is told
// from now on must count as newer than the refused list, whatever its index.
func (b *Balancer) refuseList(saved *snapshot.EndpointList, err error) {
	level := zerolog.InfoLevel
	if !errors.Is(err, errOlderThanConfigured) {
		level = zerolog.WarnLevel
		b.list.generation++
	}
	b.log.WithLevel(level).Err(err).Uint64("index", saved.Index).Msg("endpoint list not restored")
}

// newestList returns the newest list of a discovery server, or if there is none the last told one of another server, or
// nil.
func newestList(lists []*snapshot.EndpointList, discovery string) (newest *snapshot.EndpointList) {
	for _, list := range lists {
		switch isOwn := list.DiscoveryServer == discovery; {
		case newest == nil:
			newest = list
		case isOwn != (newest.DiscoveryServer == discovery):
			if isOwn {
				newest = list
			}
		case isOwn && list.IsNewerThan(newest), !isOwn && list.ToldAt > newest.ToldAt:
			newest = list
		}
	}
	return newest
}

// checkRestorable returns an error unless a saved list is to replace the configured one. It always does if the process
// that saved it was started with the same configured list, as it was told of it after that. With another configured
// list, it does if that one is older and has at least half of its endpoints: a discovery server that was rebuilt starts
// with a low index again, and its endpoints must not be replaced by those of the server before.
func (b *Balancer) checkRestorable(saved *snapshot.EndpointList, parsed, configured protocol.EndpointList) error {
	switch {
	case saved.ConfiguredDigest == b.list.configuredDigest:
		return nil
	case saved.DiscoveryServer != b.list.discovery:
		return fmt.Errorf("%w: %s", errOtherDiscovery, saved.DiscoveryServer)
	case saved.Index <= configured.Index:
		return fmt.Errorf("%w: index %d, configured %d", errOlderThanConfigured, saved.Index, configured.Index)
	}
	return checkSameEndpoints(parsed, configured)
}

// listDigest returns a digest of a list that does not depend on the order of its endpoints.
func listDigest(list protocol.EndpointList) uint64 {
	digest := list.Index
	hash := fnv.New64a()
	var fields []byte
	for _, e := range list.Endpoints {
		fields = fields[:0]
		for _, text := range []string{e.Name, e.Address, e.Kind, e.Zone} {
			fields = binary.LittleEndian.AppendUint32(fields, uint32(len(text)))
			fields = append(fields, text...)
		}
		for _, number := range []uint64{uint64(e.Status), uint64(e.StartedAtNanos), uint64(e.Group), math.Float64bits(e.Weight)} {
			fields = binary.LittleEndian.AppendUint64(fields, number)
		}
		hash.Reset()
		hash.Write(fields)
		digest += hash.Sum64()
	}
	return digest
}

func countDraining(list protocol.EndpointList) (count int) {
	for _, e := range list.Endpoints {
		if e.Status == protocol.EndpointDraining {
			count++
		}
	}
	return count
}

// adoptList applies the list that a running process of this balancer has saved, if it is newer than this process's own.
// During an upgrade the watch of one process may still deliver while that of the other is down.
func (b *Balancer) adoptList(saved *snapshot.EndpointList) error {
	errNotNewer := errors.New("not newer")
	isNewer := func() error {
		if saved.DiscoveryServer != b.list.discovery || saved.Generation < b.list.generation || saved.Index <= b.list.index {
			return errNotNewer
		}
		return nil
	}
	b.mu.Lock()
	err := isNewer()
	b.mu.Unlock()
	if err != nil {
		return nil
	}
	parsed, err := protocol.ParseEndpointList(saved.Endpoints)
	if err != nil {
		return err
	}
	err = b.applyParsedList(parsed, listFromProcess, func() error {
		if err := isNewer(); err != nil {
			return err
		}
		b.list.generation, b.list.toldAt = saved.Generation, time.Now().Add(-saved.Age)
		return nil
	})
	if errors.Is(err, errNotNewer) {
		return nil
	}
	return err
}

// toSave returns what is to be saved of the endpoint list, except for the endpoints, which it copies to entries. b.mu
// must be held.
func (b *Balancer) toSave(entries []snapshotEntry) (snapshot.EndpointList, []snapshotEntry) {
	entries = b.appendEntries(entries)
	b.retired.each(func(d Drain) {
		if i, isListed := b.endpoints.byName[d.Host]; !isListed || !b.endpoints.all[i].isPresent() {
			entries = append(entries, snapshotEntry{Name: d.Host, Status: protocol.EndpointGone.String()})
		}
	})
	toldAgo := time.Since(b.list.toldAt)
	return snapshot.EndpointList{
		DiscoveryServer:  b.list.discovery,
		Generation:       b.list.generation,
		Index:            b.list.index,
		ConfiguredDigest: b.list.configuredDigest,
		ToldAt:           time.Now().Add(-toldAgo).UnixNano(),
		BootID:           monotime.BootID(),
		SinceBoot:        monotime.Now() - int64(toldAgo),
	}, entries
}
