// Command hollyfleet is a balancer that is one of a fleet: hollylever with the parts by which many agree.
package main

import (
	"github.com/rs/zerolog"

	"hollylever/consensus"
	"hollylever/fields"
	"hollylever/fleet"
	"hollylever/membership"
	"hollylever/routing"
	"hollylever/server"
	"hollylever/subset"
)

func main() { server.Main(join) }

func join(own fields.Values, name, zone, settings string, b *routing.Balancer, log zerolog.Logger) (server.Fleet, error) {
	f, err := fleet.Start(own, name, zone, settings, balancerAdapter{b}, log)
	if err != nil {
		return nil, err
	}
	b.SetLeaseCheck(func() { f.CheckLease() })
	if fellows := f.OutlierExchange(); fellows != nil {
		b.SetOutlierExchange(fellows)
	}
	return f, nil
}

// acts puts what is agreed on before the balancer.
type balancerAdapter struct{ *routing.Balancer }

func (a balancerAdapter) ApplyConfig(what consensus.EffectiveConfig) {
	a.Balancer.ApplyFleetConfig(what.EjectedEndpoints, what.Limits, what.DiscoverySource, what.MinListIndex)
}

func (a balancerAdapter) Endpoints() []subset.Endpoint {
	var all []subset.Endpoint
	for _, l := range a.Balancer.Servers() {
		all = append(all, subset.Endpoint(l))
	}
	return all
}

func (a balancerAdapter) EndpointList() (uint64, uint64, []membership.DrainedEndpoint) {
	index, digest, drains := a.ListState()
	out := make([]membership.DrainedEndpoint, len(drains))
	for n, d := range drains {
		out[n] = membership.DrainedEndpoint(d)
	}
	return index, digest, out
}
