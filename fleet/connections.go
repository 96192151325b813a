package fleet

import (
	"slices"

	"hollylever/fields"
	"hollylever/membership"
	"hollylever/subset"
)

// connectionSubset is to which endpoints this process keeps idle connections, and what that was computed from. It is Run's own.
type connectionSubset struct {
	rule      subset.Config // Hosts 0: to all
	balancers []subset.Balancer
	endpoints []subset.Endpoint
}

func newConnectionSubset(own fields.Values) connectionSubset {
	return connectionSubset{rule: subset.Config{MinEndpoints: int(own.Count("fleet.tends")), MinBalancers: subset.DefaultConfig.MinBalancers, ZoneLocal: own.Yes("fleet.tends_near")}}
}

// updateConnectionSubset computes the subset anew if members or endpoints have changed, and tells the balancer. While no other member is heard it is all
// endpoints: alone, a process has to be able to reach any of them at once.
func (f *Fleet) updateConnectionSubset(live []membership.Member, endpoints []subset.Endpoint) {
	c := &f.connections
	if c.rule.MinEndpoints == 0 {
		return
	}
	balancers := []subset.Balancer{{Name: f.name, Zone: f.zone}}
	for _, m := range live {
		if m.Name != f.name {
			balancers = append(balancers, subset.Balancer{Name: m.Name, Zone: m.Zone})
		}
	}
	if slices.Equal(balancers, c.balancers) && slices.Equal(endpoints, c.endpoints) {
		return
	}
	c.balancers, c.endpoints = balancers, endpoints
	own := subset.New(balancers, endpoints, c.rule).EndpointsOf(f.name, endpoints)
	names := map[string]bool{}
	for _, name := range own {
		names[name] = true
	}
	isAlone := len(balancers) == 1
	f.acts.SetConnectionSubset(names, isAlone)
	f.mu.Lock()
	f.subset = own
	f.mu.Unlock()
}
