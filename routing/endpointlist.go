package routing

import (
	"errors"
	"slices"
	"time"

	"hollylever/policy"
	"hollylever/protocol"
)

// listState is the state of the endpoint list as a whole and of the watches on it. Balancer.mu guards it.
type listState struct {
	discovery         string       // address of the discovery service
	generation        uint64       // see snapshot.EndpointList
	index             uint64       // of the last list applied
	updates           int          // number of lists applied
	watches           []*listWatch // open watches, oldest first; at most maxWatches
	isFailing         bool         // a watch was lost, and none has delivered a valid list or empty line since
	toldAt            time.Time    // when a watch of this process, or of the one that the list was adopted from, last delivered data
	lastDeliveryAt    time.Time    // when a watch last delivered data or broke; zero after a change of discovery
	requiredDiscovery string       // from the fleet's configuration; "": each process uses its own
	minIndex          uint64       // minimum index of a list that is applied in full, from the fleet's configuration
	configuredDigest  uint64       // of the list in the configuration
}

// appliesInFull reports whether the fleet's configuration allows a list to be applied in full.
func (s *listState) appliesInFull(index uint64) bool {
	return index >= s.minIndex && (s.requiredDiscovery == "" || s.requiredDiscovery == s.discovery)
}

// applyListAtStart applies a list while no watch is open yet. It acquires b.mu.
func (b *Balancer) applyListAtStart(list protocol.EndpointList, source listSource) {
	_ = b.applyParsedList(list, source, func() error { return nil })
}

// applyWatchedList applies a list that a watch of this process delivered. It fails if the list cannot be parsed or the
// watch was cancelled. It acquires b.mu.
func (b *Balancer) applyWatchedList(watch *listWatch, text []byte) error {
	// Parsing thousands of endpoints takes as long as handling many requests, so it is done before locking.
	list, err := protocol.ParseEndpointList(text)
	if err != nil {
		return err
	}
	err = b.applyParsedList(list, listFromDiscovery, func() error {
		if err := watch.ctx.Err(); err != nil {
			return err
		}
		previousIndex := watch.index
		watch.index = list.Index
		switch {
		case list.Index < previousIndex:
			b.list.generation++ // The server was rebuilt.
		case list.Index < b.list.index:
			return errSuperseded
		}
		return nil
	})
	if errors.Is(err, errSuperseded) {
		return nil
	}
	return err
}

// errSuperseded is returned for a list that is older than one adopted from another process of this balancer. What it
// states is in that one already, and may have changed since.
var errSuperseded = errors.New("a newer list has been adopted")

// applyParsedList applies a list to the endpoints and the policy, unless mayApply, which is called with b.mu held,
// returns an error. It acquires b.mu.
func (b *Balancer) applyParsedList(list protocol.EndpointList, source listSource, mayApply func() error) error {
	update := listUpdate{balancer: b, list: list, source: source}
	defer func() { update.changes.log(b.log) }() // Without the lock held: writing the log may block on a slow reader.
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := mayApply(); err != nil {
		return err
	}
	update.now = b.now()
	update.apply()
	return nil
}

// listUpdate is the application of one list. Balancer.mu is held throughout.
type listUpdate struct {
	balancer *Balancer
	list     protocol.EndpointList
	source   listSource
	now      int64 // by the policy's clock
	changes  listChanges
}

func (u *listUpdate) apply() {
	b := u.balancer
	if u.source.isTold() {
		if !b.list.appliesInFull(u.list.Index) {
			u.keepDrainsOnly()
		}
		b.requestListSave()
	}
	b.list.index, u.changes.index = u.list.Index, u.list.Index
	b.list.updates++
	b.policy.BeginEndpointUpdate(u.kind())
	for i := range b.endpoints.all {
		b.endpoints.all[i].isListed = false
	}
	for _, entry := range u.list.Endpoints {
		u.applyEntry(entry)
	}
	u.removeUnlistedAndDisplaced()
	b.policy.CommitEndpointUpdate(u.now)
	b.releaseRemovedEndpoints(u.now)
}

// keepDrainsOnly reduces a list from a discovery service that the fleet does not use, or with an index below the
// agreed minimum, to its draining and removed endpoints: an endpoint that is about to stop must not get requests,
// whichever list says so.
func (u *listUpdate) keepDrainsOnly() {
	isReady := func(e protocol.Endpoint) bool { return healthByStatus[e.Status] == policy.Ready }
	u.list.Endpoints, u.list.IsSnapshot = slices.DeleteFunc(u.list.Endpoints, isReady), false
}

func (u *listUpdate) kind() policy.UpdateKind {
	switch {
	case u.isComplete() && u.source == listFromDiscovery:
		return policy.FullList
	case u.isComplete():
		return policy.SavedList
	}
	return policy.IncrementalList
}

// isComplete reports whether endpoints that the list does not have are removed.
func (u *listUpdate) isComplete() bool { return u.list.IsSnapshot || u.source == listFromConfiguration }

// applyEntry applies one endpoint of the list.
func (u *listUpdate) applyEntry(entry protocol.Endpoint) {
	b := u.balancer
	health := healthByStatus[entry.Status]
	b.endpoints.everListed.add(entry.Name)
	i, isKnown := b.endpoints.byName[entry.Name]
	if health == policy.Removed && u.source == listFromProcess {
		b.retired.add(entry.Name, u.list.Index) // The saved list has such endpoints only.
	}
	if !isKnown && health == policy.Removed {
		return
	}
	previousStatus := ""
	if isKnown {
		previousStatus = statusByHealth[b.endpoints.all[i].health]
		if e := &b.endpoints.all[i]; e.address != entry.Address || e.listedStart != entry.StartedAtNanos {
			b.pool.DropPeer(e.peer(i))
		}
	} else {
		i = b.endpoints.allocate()
	}
	previous := b.endpoints.all[i]
	startedAt := previous.startedAt
	if !isKnown || previous.listedStart != entry.StartedAtNanos {
		startedAt = b.fromWallClock(entry.StartedAtNanos)
	}
	b.endpoints.byName[entry.Name] = i
	b.endpoints.all[i] = endpoint{
		name:         entry.Name,
		address:      entry.Address,
		health:       health,
		listedStart:  entry.StartedAtNanos,
		startedAt:    startedAt,
		machineType:  b.catalog.machineType(entry.Kind),
		zone:         b.catalog.zone(entry.Zone),
		typeName:     entry.Kind,
		zoneName:     entry.Zone,
		replicaGroup: entry.Group,
		weight:       entry.Weight,
		isListed:     true,
		attempts:     previous.attempts,
		isRetired:    previous.isRetired || health == policy.Removed && u.source == listFromProcess,
	}
	u.setHealth(i, previousStatus, health)
}

// removeUnlistedAndDisplaced removes the endpoints that are missing from a full list, and those whose address now
// belongs to another endpoint.
func (u *listUpdate) removeUnlistedAndDisplaced() {
	b := u.balancer
	removesUnlisted := u.isComplete()
	ownerByAddress := map[string]int{}
	for i := range b.endpoints.all {
		e := &b.endpoints.all[i]
		if !e.isPresent() {
			continue
		}
		if removesUnlisted && !e.isListed {
			u.remove(i)
			continue
		}
		// If a list is late, it may still have an endpoint that has gone and whose address a new one has taken over.
		// The address belongs to the endpoint that started last, so that it gets no requests meant for the other.
		owner, isShared := ownerByAddress[e.address]
		switch {
		case !isShared:
			ownerByAddress[e.address] = i
		case b.endpoints.all[owner].startedAt < e.startedAt:
			u.displace(owner)
			ownerByAddress[e.address] = i
		case b.endpoints.all[owner].startedAt > e.startedAt:
			u.displace(i)
		}
	}
}

// displace removes an endpoint whose address now belongs to another.
func (u *listUpdate) displace(i int) {
	u.balancer.endpoints.all[i].isRetired = true
	u.remove(i)
}

func (u *listUpdate) remove(i int) {
	u.setHealth(i, statusByHealth[u.balancer.endpoints.all[i].health], policy.Removed)
}

// setHealth sets an endpoint's health as given by the list, records the change, and passes it to the policy.
// previousStatus is "" for an endpoint that was not in the table.
func (u *listUpdate) setHealth(i int, previousStatus string, health policy.Health) {
	b := u.balancer
	e := &b.endpoints.all[i]
	if statusByHealth[health] != previousStatus && u.source.isTold() {
		u.changes.add(e.name, health)
		if health != policy.Ready && previousStatus == statusByHealth[policy.Ready] {
			b.drains.add(e.name, b.list.index)
		}
	}
	e.health, e.removedAt = health, u.now
	e.isRetired = health == policy.Draining || health == policy.Removed && e.isRetired
	switch {
	case e.isRetired && !b.retired.has(e.name):
		b.retired.add(e.name, b.list.index)
	case health == policy.Ready:
		b.retired.remove(e.name)
	}
	b.updatePolicyEndpoint(u.now, i)
}
