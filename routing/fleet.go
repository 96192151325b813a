package routing

import (
	"hash/fnv"
	"strconv"
	"time"

	"hollylever/policy"
)

// The methods in this file are called by a fleet's member. Without a fleet none of them is.

// OutlierExchange is the fleet's shared outlier detection. It is called under Balancer.mu, and may not call back.
type OutlierExchange interface {
	// HandleAttemptStarted is told of an attempt. It returns by which part the endpoint's chance of success is to be
	// reduced from now on, if isSuppressed.
	HandleAttemptStarted(endpoint string) (part float64, isSuppressed bool)
	// HandleAttemptEnded is told of an attempt's outcome, its latency and the latency objective, both in ns.
	HandleAttemptEnded(endpoint string, outcome policy.Outcome, latency, objective int64)
}

// SetOutlierExchange has a fleet told of attempts from now on.
func (b *Balancer) SetOutlierExchange(exchange OutlierExchange) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outlierExchange = exchange
}

// ApplyPeerVerdicts passes on by which part other members' reports reduce endpoints' chances of success.
func (b *Balancer) ApplyPeerVerdicts(parts map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, part := range parts {
		if i, isListed := b.endpoints.byName[name]; isListed {
			b.policy.UpdatePeerVerdict(i, part)
		}
	}
}

// SetLeaseCheck has check called before each decision, under Balancer.mu.
func (b *Balancer) SetLeaseCheck(check func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaseCheck == nil && b.requests.maxHeldByFleet == 0 {
		b.requests.maxHeldByFleet = b.requests.maxHeld
	}
	b.leaseCheck = check
}

// checkLease calls the lease check, if there is one; under the lock.
func (b *Balancer) checkLease() {
	if b.leaseCheck != nil {
		b.leaseCheck()
	}
}

// SetBudgetShare sets which part of what all balancers may do is this one's; 0: as the settings state.
func (b *Balancer) SetBudgetShare(share float64) {
	if share <= 0 {
		share = 1 / max(1, settingNumber(b.settings, "balancers"))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.policy.SetFleetShare(share)
}

// SetWidespreadMisses sets whether reads miss for all balancers.
func (b *Balancer) SetWidespreadMisses(isWidespread bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.policy.SetWidespreadMisses(isWidespread)
}

// SetEvacuation sets which part of the keys does not go to each zone's endpoints now. For the time of refill after
// that the zone's endpoints are not passed over as slow.
func (b *Balancer) SetEvacuation(parts map[string]float64, refill time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, part := range parts {
		if zone, isNamed := b.catalog.zones[name]; isNamed {
			b.policy.SetEvacuation(zone, part, int64(refill))
		}
	}
}

// SlowStartDuration returns how long an endpoint takes until it is warm.
func (b *Balancer) SlowStartDuration() time.Duration {
	return time.Duration(settingNumber(b.settings, "invariants.warmUp") * 1e6)
}

// ListedEndpoint is an endpoint that the list has.
type ListedEndpoint struct {
	Name, Zone string
	Weight     float64
}

// Servers returns the endpoints that the list has, ready or draining.
func (b *Balancer) Servers() (all []ListedEndpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.endpoints.all {
		if e := &b.endpoints.all[i]; e.isPresent() {
			all = append(all, ListedEndpoint{Name: e.name, Zone: nameAt(b.catalog.zoneNames, e.zone), Weight: e.weight})
		}
	}
	return all
}

// SetConnectionSubset sets to which endpoints this balancer keeps idle connections; those to others end soon. isAll:
// to all.
func (b *Balancer) SetConnectionSubset(names map[string]bool, isAll bool) {
	others := map[int]bool{}
	b.mu.Lock()
	for i := range b.endpoints.all {
		if e := &b.endpoints.all[i]; !isAll && e.name != "" && !names[e.name] {
			others[i] = true
		}
	}
	b.mu.Unlock()
	b.pool.SetBriefServers(others)
}

// The limits of the fleet's configuration.
const (
	limitHeld        = "held"   // requests held at most
	limitQuotaPrefix = "quota." // and a tenant's name: the tenant's requests a second, over all balancers
)

// minQuota stands for a quota of none at all, as a quota of 0 would mean that there is no limit; in requests a second.
const minQuota = 1e-9

// ApplyFleetConfig applies the fleet's configuration: ejected endpoints, and limits by name. Where the settings have
// a smaller limit, that counts. Of a list that is another discovery's, or of an index under minListIndex, only drains
// are applied; "" as discovery: each process's own counts.
func (b *Balancer) ApplyFleetConfig(ejected []string, limits map[string]int64, discovery string, minListIndex uint64) {
	b.mu.Lock()
	b.list.requiredDiscovery, b.list.minIndex = discovery, minListIndex
	b.requests.maxHeldByFleet = b.requests.maxHeld
	if limit, isSet := limits[limitHeld]; isSet {
		b.requests.maxHeldByFleet = int(min(int64(b.requests.maxHeld), limit))
	}
	for name, tenant := range b.catalog.tenants {
		quota := settingNumber(b.settings, "tenants."+strconv.Itoa(tenant)+".quotaRps")
		if limit, isSet := limits[limitQuotaPrefix+name]; isSet && (quota <= 0 || float64(limit) < quota) {
			quota = max(float64(limit), minQuota)
		}
		b.policy.SetQuota(tenant, quota)
	}
	b.mu.Unlock()
	b.setEjections(fleetEjections, ejected)
}

// ListState returns the index of the list that is in force, a digest that differs for another list of the same index,
// and its last drains, without those of endpoints that are ready again.
func (b *Balancer) ListState() (index, digest uint64, drains []Drain) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.endpoints.all {
		if e := &b.endpoints.all[i]; e.isPresent() {
			hash := fnv.New64a()
			hash.Write([]byte(e.name))
			hash.Write([]byte{byte(e.health)})
			digest ^= hash.Sum64()
		}
	}
	b.drains.each(func(d Drain) {
		if i, isListed := b.endpoints.byName[d.Host]; !isListed || b.endpoints.all[i].health != policy.Ready {
			drains = append(drains, d)
		}
	})
	return b.list.index, digest, drains
}
