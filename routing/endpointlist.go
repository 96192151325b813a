package routing

import (
	"context"
	"slices"
	"time"

	"hollylever/policy"
	"hollylever/protocol"
	"hollylever/transport"
)

// listState is what is known of the endpoint list as a whole, and of the watches on it. Balancer.mu guards it.
type listState struct {
	discovery         string       // address of the discovery service
	index             uint64       // of the list last applied
	updates           int          // lists applied so far
	watches           []*listWatch // open ones, oldest first; maxWatches at most
	isFailing         bool         // the list cannot be followed
	heardAt           time.Time    // when a watch was last heard, or broke off; zero after a change of discovery
	requiredDiscovery string       // by the fleet's configuration; "": each process's own counts
	minIndex          uint64       // of lists that count in full, by the fleet's configuration
}

// counts reports whether a list counts in full by the fleet's configuration.
func (s *listState) counts(index uint64) bool {
	return index >= s.minIndex && (s.requiredDiscovery == "" || s.requiredDiscovery == s.discovery)
}

// applyList applies a list to the endpoints and the policy. isSaved: it is from before the start. It fails where the
// list cannot be read, or where its watch was cancelled. It takes the lock.
func (b *Balancer) applyList(watch context.Context, text []byte, isSaved bool) error {
	// A list of thousands of endpoints takes as long to read as many requests do: it is read before the lock is taken.
	list, err := protocol.ParseEndpointList(text)
	if err != nil {
		return err
	}
	update := listUpdate{balancer: b, list: list, isSaved: isSaved}
	defer func() { update.changes.log(b.log) }() // Not under the lock: whoever reads the log may be slow.
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := watch.Err(); err != nil {
		return err
	}
	update.now = b.now()
	update.apply()
	return nil
}

// listUpdate is a list while it is applied, under the lock.
type listUpdate struct {
	balancer *Balancer
	list     protocol.EndpointList
	isSaved  bool  // the list is from before the start
	now      int64 // by the policy's clock
	changes  listChanges
}

func (u *listUpdate) apply() {
	b := u.balancer
	if !u.isSaved && !b.list.counts(u.list.Index) {
		u.keepDrainsOnly()
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

// keepDrainsOnly reduces a list that the fleet does not follow, or one before the index that it has agreed on, to its
// drains: an endpoint that is about to stop must not get requests, whichever list says so.
func (u *listUpdate) keepDrainsOnly() {
	isReady := func(e protocol.Endpoint) bool { return healthByStatus[e.Status] == policy.Ready }
	u.list.Endpoints, u.list.IsSnapshot = slices.DeleteFunc(u.list.Endpoints, isReady), false
}

func (u *listUpdate) kind() policy.UpdateKind {
	switch {
	case u.isSaved:
		return policy.SavedList
	case u.list.IsSnapshot:
		return policy.FullList
	}
	return policy.IncrementalList
}

// applyEntry takes over one endpoint of the list.
func (u *listUpdate) applyEntry(entry protocol.Endpoint) {
	b := u.balancer
	health := healthByStatus[entry.Status]
	b.endpoints.everListed.add(entry.Name)
	i, isKnown := b.endpoints.byName[entry.Name]
	if !isKnown && health == policy.Removed {
		return
	}
	previousStatus := ""
	if isKnown {
		previousStatus = statusByHealth[b.endpoints.all[i].health]
		if address := b.endpoints.all[i].address; address != entry.Address {
			b.pool.DropPeer(transport.Peer{Server: i, Address: address})
		}
	} else {
		i = b.endpoints.allocate()
	}
	previous := b.endpoints.all[i]
	startedAt := previous.startedAt
	if !isKnown || previous.statedStart != entry.StartedAtNanos {
		startedAt = b.fromWallClock(entry.StartedAtNanos)
	}
	b.endpoints.byName[entry.Name] = i
	b.endpoints.all[i] = endpoint{
		name:         entry.Name,
		address:      entry.Address,
		health:       health,
		statedStart:  entry.StartedAtNanos,
		startedAt:    startedAt,
		machineType:  b.catalog.machineType(entry.Kind),
		zone:         b.catalog.zone(entry.Zone),
		replicaGroup: entry.Group,
		weight:       entry.Weight,
		isListed:     true,
		attempts:     previous.attempts,
		isRetired:    previous.isRetired,
	}
	u.setHealth(i, previousStatus, health)
}

// removeUnlistedAndDisplaced removes the endpoints that a full list does not have, and those whose address belongs to
// another by now.
func (u *listUpdate) removeUnlistedAndDisplaced() {
	b := u.balancer
	removesUnlisted := u.isSaved || u.list.IsSnapshot
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
		// Guards a new endpoint against requests that are meant for the one that had its address: the list is late,
		// and that one has gone. Whichever started last has the address.
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

// displace removes an endpoint whose address is another's.
func (u *listUpdate) displace(i int) {
	u.balancer.endpoints.all[i].isRetired = true
	u.remove(i)
}

func (u *listUpdate) remove(i int) {
	u.setHealth(i, statusByHealth[u.balancer.endpoints.all[i].health], policy.Removed)
}

// setHealth sets an endpoint's health by the list, records what changed, and passes it to the policy. previousStatus
// is "" for an endpoint that was not known.
func (u *listUpdate) setHealth(i int, previousStatus string, health policy.Health) {
	b := u.balancer
	e := &b.endpoints.all[i]
	if statusByHealth[health] != previousStatus && !u.isSaved {
		u.changes.add(e.name, health)
		if health != policy.Ready && previousStatus == statusByHealth[policy.Ready] {
			b.drains.add(e.name, b.list.index)
		}
	}
	e.health, e.removedAt = health, u.now
	e.isRetired = health == policy.Draining || health == policy.Removed && e.isRetired
	b.updatePolicyEndpoint(u.now, i)
}
