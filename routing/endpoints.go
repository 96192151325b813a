package routing

import (
	"time"

	"hollylever/policy"
	"hollylever/protocol"
	"hollylever/settings"
	"hollylever/transport"
)

// removedRetention is how long an endpoint that the list removed without a drain is kept in use where only draining
// binds: such a list may be wrong, and an endpoint that has really gone shows it by failed connections.
const removedRetention = int64(time.Minute)

// healthByStatus has the list's statuses, statusByHealth the reverse.
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

// endpointTable holds the endpoints by the index that the policy knows them by. Balancer.mu guards it.
type endpointTable struct {
	all        []endpoint // one without a name is a free place
	indices    settings.IndexAllocator
	byName     map[string]int
	everListed nameHistory
}

// endpoint is a cache server as the list has it.
type endpoint struct {
	name, address             string
	health                    policy.Health
	statedStart               int64 // as the list states it, by the wall clock
	startedAt                 int64 // the same by the policy's clock
	machineType, replicaGroup int
	zone                      int // -1: the settings do not name it
	weight                    float64
	isListed                  bool  // by the list that is being applied
	attempts                  int   // of requests that have not been released
	removedAt                 int64 // when the list last changed its health, by the policy's clock
	isRetired                 bool  // it drained, or its address is another's: it is not used again until it is ready
}

func newEndpointTable() endpointTable {
	return endpointTable{byName: map[string]int{}, everListed: nameHistory{names: map[string]bool{}}}
}

// isPresent reports whether the list has the endpoint, ready or draining.
func (e *endpoint) isPresent() bool { return e.name != "" && e.health != policy.Removed }

// allocate returns the index of a free place.
func (t *endpointTable) allocate() int {
	i := t.indices.Allocate()
	if i == len(t.all) {
		t.all = append(t.all, endpoint{})
	}
	return i
}

// nameHistory holds the last maxEndpoints names of endpoints that a list had, so that an operator may eject one
// before it is listed again.
type nameHistory struct {
	names  map[string]bool
	ring   []string // the same, in the order in which they were first listed
	oldest int      // its index in a ring that is full
}

// add remembers a name, in place of the oldest where there are too many.
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

// hasListedEndpoints reports whether any list has had an endpoint.
func (b *Balancer) hasListedEndpoints() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.endpoints.everListed.names) > 0
}

// updatePolicyEndpoint passes an endpoint to the policy, within an endpoint update; under the lock.
func (b *Balancer) updatePolicyEndpoint(now int64, i int) {
	e := &b.endpoints.all[i]
	b.policy.UpdateEndpoint(now, i, policy.EndpointInfo{Address: e.name, Health: b.effectiveHealth(e), StartedAt: e.startedAt,
		MachineType: e.machineType, Zone: e.zone, ReplicaGroup: e.replicaGroup, Weight: e.weight})
}

// effectiveHealth is an endpoint's health by the list and by ejections; under the lock.
func (b *Balancer) effectiveHealth(e *endpoint) policy.Health {
	isEjected := b.ejections.all[e.name]
	switch {
	case e.health == policy.Ready && isEjected:
		return policy.Draining
	case b.catalog.onlyDrainingBinds && e.health == policy.Removed && (isEjected || e.isRetired):
		return policy.Draining // Guards against use of it: where only draining binds the policy uses a removed endpoint.
	}
	return e.health
}

// isDraining reports whether an endpoint drains, whatever the policy decided before it was told so.
func (b *Balancer) isDraining(i int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.effectiveHealth(&b.endpoints.all[i]) == policy.Draining
}

// isAvoided reports whether an endpoint gets no traffic now, ejected or as an outlier; under the lock.
func (b *Balancer) isAvoided(i int) bool {
	e := &b.endpoints.all[i]
	return b.ejections.all[e.name] || e.health == policy.Ready && b.policy.IsLikelyOutlier(i)
}

// releaseRemovedEndpoints frees the places of endpoints that are gone for good; under the lock.
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

// retainsRemoved reports whether an endpoint that the list removed stays in use, beside so many others of its kind;
// under the lock.
func (b *Balancer) retainsRemoved(now int64, e *endpoint, retained int) bool {
	return e.name != "" && e.health == policy.Removed && b.catalog.onlyDrainingBinds && !e.isRetired &&
		now < e.removedAt+removedRetention && retained < maxEndpoints
}

// releaseIfRemoved frees the place of an endpoint that the list removed once no attempt is held there; under the
// lock. Guards memory over long days, on which new endpoints keep coming.
func (b *Balancer) releaseIfRemoved(i int) {
	e := &b.endpoints.all[i]
	if e.name == "" || e.health != policy.Removed || e.attempts > 0 {
		return
	}
	b.pool.DropPeer(transport.Peer{Server: i, Address: e.address})
	delete(b.endpoints.byName, e.name)
	*e = endpoint{health: policy.Removed}
	b.policy.RemoveEndpoint(i)
	b.endpoints.indices.Free(i)
}

// releaseAttempt notes that an attempt is no longer held against an endpoint; under the lock.
func (b *Balancer) releaseAttempt(i int) {
	e := &b.endpoints.all[i]
	e.attempts--
	if !b.retainsRemoved(b.now(), e, 0) {
		b.releaseIfRemoved(i)
	}
}
