package routing

import (
	"hash/fnv"
	"strconv"
	"time"

	"hollylever/policy"
)

// The methods in this file are called by the member of a fleet, and not at all by a balancer without a fleet.

// OutlierExchange is the fleet's shared outlier detection. It is called with Balancer.mu held and must not call back.
type OutlierExchange interface {
	// HandleAttemptStarted is called for each attempt. If isSuppressed, part is the fraction by which the endpoint's
	// probability of success is to be reduced from now on.
	HandleAttemptStarted(endpoint string) (part float64, isSuppressed bool)
	// HandleAttemptEnded is called with an attempt's outcome, its latency and the latency objective, both in ns.
	HandleAttemptEnded(endpoint string, outcome policy.Outcome, latency, objective int64)
}

// SetOutlierExchange sets the exchange that is notified of attempts.
func (b *Balancer) SetOutlierExchange(exchange OutlierExchange) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outlierExchange = exchange
}

// ApplyPeerVerdicts passes to the policy the fractions by which reports of other members reduce endpoints' probability
// of success. For negative values see policy.Balancer.UpdatePeerVerdict.
func (b *Balancer) ApplyPeerVerdicts(parts map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, part := range parts {
		if i, isListed := b.endpoints.byName[name]; isListed {
			b.policy.UpdatePeerVerdict(i, part)
		}
	}
}

// SetLeaseCheck sets a function to be called before each decision, with Balancer.mu held.
func (b *Balancer) SetLeaseCheck(check func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaseCheck == nil && b.requests.maxHeldByFleet == 0 {
		b.requests.maxHeldByFleet = b.requests.maxHeld
	}
	b.leaseCheck = check
}

// checkLease calls the lease check, if there is one. b.mu must be held.
func (b *Balancer) checkLease() {
	if b.leaseCheck != nil {
		b.leaseCheck()
	}
}

// SetBudgetShare sets this balancer's share of the budgets of all balancers. 0 or less means an equal share, by the
// number of balancers in the settings.
func (b *Balancer) SetBudgetShare(share float64) {
	if share <= 0 {
		share = 1 / max(1, settingNumber(b.settings, "balancers"))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.policy.SetFleetShare(share)
}

// SetWidespreadMisses sets whether reads miss the cache at all balancers.
func (b *Balancer) SetWidespreadMisses(isWidespread bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.policy.SetWidespreadMisses(isWidespread)
}

// SetEvacuation sets, by zone, the fraction of the keys that is not routed to the zone's endpoints. For the duration
// refill after that, the zone's endpoints are not avoided as slow.
func (b *Balancer) SetEvacuation(parts map[string]float64, refill time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, part := range parts {
		if zone, isNamed := b.catalog.zones[name]; isNamed {
			b.policy.SetEvacuation(zone, part, int64(refill))
		}
	}
}

// SlowStartDuration returns how long an endpoint takes to warm up.
func (b *Balancer) SlowStartDuration() time.Duration {
	return time.Duration(settingNumber(b.settings, "invariants.warmUp") * 1e6)
}

// ListedEndpoint is an endpoint of the list.
type ListedEndpoint struct {
	Name, Zone string
	Weight     float64
}

// Servers returns the endpoints that the list has as ready or draining.
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

// SetConnectionSubset sets the endpoints to which this balancer keeps idle connections: all of them if isAll is set.
// Idle connections to other endpoints are closed after a short time.
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

// Names of limits in the fleet's configuration.
const (
	limitHeldRequests = "held"   // maximum number of requests held
	limitQuotaPrefix  = "quota." // followed by a tenant's name: the tenant's requests per second over all balancers
)

// minQuota, in requests per second, stands for a quota of zero, as the policy takes 0 for no limit.
const minQuota = 1e-9

// ApplyFleetConfig applies the fleet's configuration: ejected endpoints, and limits by name. A smaller limit in the
// settings takes precedence. Of a list with an index below minListIndex, or from a discovery address other than
// discovery, only drains are applied. With an empty discovery each process uses its own.
func (b *Balancer) ApplyFleetConfig(ejected []string, limits map[string]int64, discovery string, minListIndex uint64) {
	b.mu.Lock()
	b.list.requiredDiscovery, b.list.minIndex = discovery, minListIndex
	b.requests.maxHeldByFleet = b.requests.maxHeld
	if limit, isSet := limits[limitHeldRequests]; isSet {
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

// ListState returns the index of the list in effect, a digest that tells apart different lists of the same index, and
// the last drains, without those of endpoints that are ready again.
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
