package fleet

import (
	"slices"

	"hollylever/membership"
	"hollylever/subset"
)

// tending is which hosts are this process's to tend, and what that was made up from.
type tending struct {
	rule      subset.Config
	balancers []subset.Balancer
	hosts     []subset.Endpoint
	has       []string
}

// tend makes up anew which hosts are this process's, if members or hosts have changed. While nobody speaks all are.
func (f *Fleet) tend(lately []membership.Member, hosts []subset.Endpoint) {
	if f.tends.rule.MinEndpoints == 0 {
		return
	}
	balancers := []subset.Balancer{{Name: f.name, Zone: f.zone}}
	for _, m := range lately {
		if m.Name != f.name {
			balancers = append(balancers, subset.Balancer{Name: m.Name, Zone: m.Zone})
		}
	}
	if slices.Equal(balancers, f.tends.balancers) && slices.Equal(hosts, f.tends.hosts) {
		return
	}
	has := subset.New(balancers, hosts, f.tends.rule).EndpointsOf(f.name, hosts)
	names := map[string]bool{}
	for _, name := range has {
		names[name] = true
	}
	f.acts.SetConnectionSubset(names, len(balancers) == 1)
	f.mu.Lock()
	f.tends.balancers, f.tends.hosts, f.tends.has = balancers, hosts, has
	f.mu.Unlock()
}
