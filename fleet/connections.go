package fleet

import (
	"slices"

	"hollylever/config"
	"hollylever/membership"
	"hollylever/subset"
)

// connectionSubset holds the inputs of the last computation of the connection subset, the endpoints to which this
// process keeps idle connections. Only Run uses it.
type connectionSubset struct {
	config    subset.Config // subsets are disabled if MinEndpoints is 0
	balancers []subset.Balancer
	endpoints []subset.Endpoint
}

func newConnectionSubset(own config.Values) connectionSubset {
	return connectionSubset{config: subset.Config{
		MinEndpoints: int(own.Integer("fleet.tends")),
		MinBalancers: subset.DefaultConfig.MinBalancers,
		ZoneLocal:    own.Boolean("fleet.tends_near"),
	}}
}

// updateConnectionSubset recomputes the subset if members or endpoints have changed, and applies it to the balancer.
// While no other member is live the subset is all endpoints, since no other process would keep connections to the
// remaining ones.
func (f *Fleet) updateConnectionSubset(live []membership.Member, endpoints []subset.Endpoint) {
	c := &f.connections
	if c.config.MinEndpoints == 0 {
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
	own := subset.New(balancers, endpoints, c.config).EndpointsOf(f.name, endpoints)
	names := map[string]bool{}
	for _, name := range own {
		names[name] = true
	}
	isAlone := len(balancers) == 1
	f.balancer.SetConnectionSubset(names, isAlone)
	f.mu.Lock()
	f.subset = own
	f.mu.Unlock()
}
