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

func join(config fields.Values, name, zone, settings string, b *routing.Balancer, log zerolog.Logger) (server.Fleet, error) {
	f, err := fleet.Start(config, name, zone, settings, balancerAdapter{b}, log)
	if err != nil {
		return nil, err
	}
	b.SetLeaseCheck(func() { f.CheckLease() })
	if exchange := f.OutlierExchange(); exchange != nil {
		b.SetOutlierExchange(exchange)
	}
	return f, nil
}

// acts puts what is agreed on before the balancer.
type balancerAdapter struct{ *routing.Balancer }

func (a balancerAdapter) ApplyConfig(config consensus.EffectiveConfig) {
	a.Balancer.Heeds(config.EjectedEndpoints, config.Limits, config.DiscoverySource, config.MinListIndex)
}

func (a balancerAdapter) ApplyPeerDrains(names []string) { a.News(names) }

func (a balancerAdapter) Endpoints() []subset.Endpoint {
	var all []subset.Endpoint
	for _, listed := range a.Balancer.Servers() {
		all = append(all, subset.Endpoint(listed))
	}
	return all
}

func (a balancerAdapter) EndpointList() (uint64, uint64, []membership.DrainedEndpoint) {
	index, digest, drains := a.Lists()
	converted := make([]membership.DrainedEndpoint, len(drains))
	for i, drain := range drains {
		converted[i] = membership.DrainedEndpoint(drain)
	}
	return index, digest, converted
}
