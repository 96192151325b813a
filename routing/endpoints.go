package routing

import (
	"time"

	"hollylever/policy"
	"hollylever/protocol"
	"hollylever/settings"
	"hollylever/transport"
)

// removedRetention is how long an endpoint that the list removed without draining it stays in use if
// invariants.onlyDrainingBinds is set: the list may be wrong, and connections to an endpoint that has really gone fail.
const removedRetention = int64(time.Minute)

// healthByStatus maps the list's statuses to the policy's health values; statusByHealth is the inverse.
var (
	healthByStatus = map[protocol.EndpointStatus]policy.Health{
		protocol.EndpointReady:    policy.Ready,
		protocol.EndpointDraining: policy.Draining,
		protocol.EndpointGone:     policy.Removed,
	}
	statusByHealth = map[policy.Health]string{
		policy.Ready:    protocol.EndpointReady.String(),
		policy.Draining: protocol.EndpointDraining.String(),
		policy.Removed:  protocol.EndpointGone.String(),
	}
)

// endpointTable holds the endpoints, indexed as in the policy. Balancer.mu guards it.
type endpointTable struct {
	all        []endpoint // an entry without a name is free
	indices    settings.IndexAllocator
	byName     map[string]int
	everListed nameHistory
}

// endpoint is a cache server of the endpoint list.
type endpoint struct {
	name, address             string
	health                    policy.Health
	listedStart               int64 // as given in the list, by the wall clock
	startedAt                 int64 // listedStart converted to the policy's clock
	machineType, replicaGroup int
	zone                      int    // -1: not in the settings
	typeName, zoneName        string // as the list names them, also if the settings do not
	weight                    float64
	isListed                  bool  // in the list being applied
	attempts                  int   // attempts held here, of requests that are not released yet
	removedAt                 int64 // time of the last health update from a list, by the policy's clock
	isRetired                 bool  // it drained or lost its address to another; not used until a list has it as ready
}

func newEndpointTable() endpointTable {
	return endpointTable{byName: map[string]int{}, everListed: nameHistory{names: map[string]bool{}}}
}

// peer returns the endpoint's process, for the pool. i is the endpoint's index.
func (e *endpoint) peer(i int) transport.Peer {
	return transport.Peer{Server: i, Address: e.address, Incarnation: e.listedStart}
}

// isPresent reports whether the endpoint is in the list as ready or draining.
func (e *endpoint) isPresent() bool { return e.name != "" && e.health != policy.Removed }

// allocate returns a free index.
func (t *endpointTable) allocate() int {
	i := t.indices.Allocate()
	if i == len(t.all) {
		t.all = append(t.all, endpoint{})
	}
	return i
}

// nameHistory holds the last maxEndpoints endpoint names that appeared in a list, so that an operator can eject an
// endpoint before it is listed again.
type nameHistory struct {
	names  map[string]bool
	ring   []string // the same names, in the order in which they were added
	oldest int      // index of the oldest name once the ring is full
}

// add records a name. If the history is full, it replaces the oldest.
func (h *nameHistory) add(name string) {
	if h.names[name] {
		return
	}
	if len(h.ring) < maxEndpoints {
		h.ring = append(h.ring, name)
	} else {
		delete(h.names, h.ring[h.oldest])
		h.ring[h.oldest] = name
		h.oldest = (h.oldest + 1) % maxEndpoints
	}
	h.names[name] = true
}

// hasListedEndpoints reports whether any list so far had an endpoint.
func (b *Balancer) hasListedEndpoints() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.endpoints.everListed.names) > 0
}

// updatePolicyEndpoint passes an endpoint to the policy. It must be called within an endpoint update, with b.mu held.
func (b *Balancer) updatePolicyEndpoint(now int64, i int) {
	e := &b.endpoints.all[i]
	b.policy.UpdateEndpoint(now, i, policy.EndpointInfo{Address: e.name, Health: b.effectiveHealth(e), StartedAt: e.startedAt,
		MachineType: e.machineType, Zone: e.zone, ReplicaGroup: e.replicaGroup, Weight: e.weight})
}

// effectiveHealth returns an endpoint's health according to the list and the ejections. b.mu must be held.
func (b *Balancer) effectiveHealth(e *endpoint) policy.Health {
	isEjected := b.ejections.all[e.name]
	switch {
	case e.health == policy.Ready && isEjected:
		return policy.Draining
	case b.catalog.onlyDrainingBinds && e.health == policy.Removed && (isEjected || e.isRetired):
		return policy.Draining // With onlyDrainingBinds the policy would still use an endpoint with health Removed.
	}
	return e.health
}

// maySend reports whether an attempt may still be sent to the process that the policy selected: its endpoint has not been
// removed, is not draining, and no other process has its place or its address.
func (b *Balancer) maySend(a attempt) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := &b.endpoints.all[a.endpoint]
	if e.name != a.name || e.peer(a.endpoint) != a.peer {
		return false
	}
	health := b.effectiveHealth(e)
	return health == policy.Ready || health == policy.Removed && b.catalog.onlyDrainingBinds
}

// isAvoided reports whether an endpoint currently gets no traffic, as ejected or as an outlier. b.mu must be held.
func (b *Balancer) isAvoided(i int) bool {
	e := &b.endpoints.all[i]
	return b.ejections.all[e.name] || e.health == policy.Ready && b.policy.IsLikelyOutlier(i)
}

// releaseRemovedEndpoints frees the indices of removed endpoints that are not retained. b.mu must be held.
func (b *Balancer) releaseRemovedEndpoints(now int64) {
	retained := 0
	for i := range b.endpoints.all {
		if b.retainsRemoved(now, &b.endpoints.all[i], retained) {
			retained++
		} else {
			b.releaseIfRemoved(i)
		}
	}
}

// retainsRemoved reports whether an endpoint that the list removed stays in use, given the number of other removed
// endpoints that do. b.mu must be held.
func (b *Balancer) retainsRemoved(now int64, e *endpoint, retained int) bool {
	return e.name != "" && e.health == policy.Removed && b.catalog.onlyDrainingBinds && !e.isRetired &&
		now < e.removedAt+removedRetention && retained < maxEndpoints
}

// releaseIfRemoved frees the index of an endpoint that the list removed, once no attempt is held there. It bounds
// memory in a process that runs for long while new endpoints keep appearing. b.mu must be held.
func (b *Balancer) releaseIfRemoved(i int) {
	e := &b.endpoints.all[i]
	if e.name == "" || e.health != policy.Removed || e.attempts > 0 {
		return
	}
	b.pool.DropPeer(e.peer(i))
	delete(b.endpoints.byName, e.name)
	*e = endpoint{health: policy.Removed}
	b.policy.RemoveEndpoint(i)
	b.endpoints.indices.Free(i)
}

// releaseAttempt records that an endpoint holds one attempt less. b.mu must be held.
func (b *Balancer) releaseAttempt(i int) {
	e := &b.endpoints.all[i]
	e.attempts--
	if !b.retainsRemoved(b.now(), e, 0) {
		b.releaseIfRemoved(i)
	}
}
