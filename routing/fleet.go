package routing

import (
	"hash/fnv"
	"strconv"
	"time"

	"hollylever/policy"
)

// What a fleet of balancers agrees on, laid over what this one knows. Without a fleet nothing of this is called.

// Fellows is what a fleet is told of trips, and what it knows of servers. It is called under the lock, and may not call back.
type OutlierExchange interface {
	HandleAttemptStarted(server string) (part float64, heeded bool)
	HandleAttemptEnded(server string, how policy.Outcome, took, expected int64)
}

// Joins has a fleet told of trips from now on.
func (b *Balancer) SetOutlierExchange(f OutlierExchange) {
	b.mu.Lock()
	b.fellows = f
	b.mu.Unlock()
}

// Portion takes which part of what all balancers may do is this one's; 0: as the settings state.
func (b *Balancer) SetBudgetShare(part float64) {
	if part <= 0 {
		part = 1 / max(1, number(b.settings, "balancers"))
	}
	b.mu.Lock()
	b.module.SetFleetShare(part)
	b.mu.Unlock()
}

// Missed is how many reads were settled since the start, and how many of them by a fetch, or by waiting for one.
func (b *Balancer) ReadCounts() (reads, misses int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reads, b.misses
}

// Scarce takes that reads miss for all balancers.
func (b *Balancer) SetWidespreadMisses(is bool) {
	b.mu.Lock()
	b.module.SetWidespreadMisses(is)
	b.mu.Unlock()
}

// Leaves takes which part of the keys does not go to each zone's servers now.
// For the time of fills after that its servers are not passed over as slow.
func (b *Balancer) SetEvacuation(parts map[string]float64, fills time.Duration) {
	b.mu.Lock()
	for zone, part := range parts {
		if z, stated := b.zones[zone]; stated {
			b.module.SetEvacuation(z, part, int64(fills))
		}
	}
	b.mu.Unlock()
}

// WarmUp is how long a server takes until it is warm.
func (b *Balancer) SlowStartDuration() time.Duration {
	return time.Duration(number(b.settings, "invariants.warmUp") * 1e6)
}

// Came is how many retrievals have come since the start.
func (b *Balancer) RequestCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts[count{"retrievals", none}]
}

// Listed is a server that the list has.
type Listed struct {
	Name, Zone string
	Weight     float64
}

// Servers are those that the list has.
func (b *Balancer) Servers() (all []Listed) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for s := range b.servers {
		if h := &b.servers[s]; h.name != "" && h.health != policy.Removed {
			all = append(all, Listed{Name: h.name, Zone: named(b.zoneNames, h.zone), Weight: h.weight})
		}
	}
	return all
}

// Tends takes which servers this balancer keeps idle connections to; those to others end after a moment. all: to all.
func (b *Balancer) SetConnectionSubset(names map[string]bool, all bool) {
	brief := map[int]bool{}
	b.mu.Lock()
	for s := range b.servers {
		if h := &b.servers[s]; !all && h.name != "" && !names[h.name] {
			brief[s] = true
		}
	}
	b.mu.Unlock()
	b.pool.Briefly(brief)
}

// Heard takes what others' word takes from servers' chances.
func (b *Balancer) ApplyPeerVerdicts(parts map[string]float64) {
	b.mu.Lock()
	for name, part := range parts {
		if s, known := b.byName[name]; known {
			b.module.UpdatePeerVerdict(s, part)
		}
	}
	b.mu.Unlock()
}

// Decides has f called before each decision, under the lock: it looks at the lease.
func (b *Balancer) SetLeaseCheck(f func()) {
	b.mu.Lock()
	if b.decides == nil && b.mostOpen == 0 {
		b.mostOpen = b.mostHeld
	}
	b.decides = f
	b.mu.Unlock()
}

func (b *Balancer) deciding() {
	if b.decides != nil {
		b.decides()
	}
}

// Heeds takes what the fleet agreed on: hosts that are out, and limits by name. held: how many retrievals are held at most; quota.T: tenant T's
// retrievals a second, for all balancers. Where the settings have a smaller one, that counts. Of a list that is another discovery's
// than listOf, or of an index under listFrom, only drains are taken.
func (b *Balancer) Heeds(out []string, limits map[string]int64, listOf string, listFrom uint64) {
	b.mu.Lock()
	b.listOf, b.listFrom = listOf, listFrom
	b.mostOpen = b.mostHeld
	if most, stated := limits["held"]; stated {
		b.mostOpen = int(min(int64(b.mostHeld), most))
	}
	for name, t := range b.tenants {
		quota := number(b.settings, "tenants."+strconv.Itoa(t)+".quotaRps")
		if most, stated := limits["quota."+name]; stated && (quota <= 0 || float64(most) < quota) {
			quota = max(float64(most), 1e-9) // None at all would mean no limit.
		}
		b.module.SetQuota(t, quota)
	}
	b.mu.Unlock()
	b.layOver(&b.byFleet, out)
}

// News takes what others' later lists call draining or gone.
func (b *Balancer) News(out []string) { b.layOver(&b.byNews, out) }

// Lists tells the index of the list that is acted on, a digest that tells it from another of that index, and its last drains.
func (b *Balancer) Lists() (index, digest uint64, drains []Drain) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for s := range b.servers {
		if h := &b.servers[s]; h.name != "" && h.health != policy.Removed {
			of := fnv.New64a()
			of.Write([]byte(h.name))
			of.Write([]byte{byte(h.health)})
			digest ^= of.Sum64()
		}
	}
	b.drains.each(func(d Drain) { // One that is ready again is no news any more.
		if s, known := b.byName[d.Host]; !known || b.servers[s].health != policy.Ready {
			drains = append(drains, d)
		}
	})
	return b.index, digest, drains
}
