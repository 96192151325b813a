// Command hollyfleet is hollylever as a member of a fleet: processes that agree on a configuration under leases, and
// share outlier detection, zone evacuation and budgets. Commands, settings and signals are those of hollylever.
package main

import (
	"github.com/rs/zerolog"
	"hollylever/cli"

	"hollylever/config"
	"hollylever/consensus"
	"hollylever/fleet"
	"hollylever/membership"
	"hollylever/routing"
	"hollylever/server"
	"hollylever/subset"
)

func main() { cli.Main(join) }

// join implements server.Join. settingsDigest is of the operators' settings file.
func join(
	config config.Values, name, zone, settingsDigest string, b *routing.Balancer, log zerolog.Logger,
) (server.Fleet, error) {
	f, err := fleet.Start(config, name, zone, settingsDigest, balancerAdapter{b}, log)
	if err != nil {
		return nil, err
	}
	b.SetLeaseCheck(func() { f.CheckLease() })
	if exchange := f.OutlierExchange(); exchange != nil {
		b.SetOutlierExchange(exchange)
	}
	return f, nil
}

// balancerAdapter gives the balancer the types of the fleet: it implements fleet.Balancer.
type balancerAdapter struct{ *routing.Balancer }

// ApplyConfig implements fleet.Balancer.
func (a balancerAdapter) ApplyConfig(config consensus.EffectiveConfig) {
	a.Balancer.ApplyFleetConfig(config.EjectedEndpoints, config.Limits, config.DiscoverySource, config.MinListIndex)
}

// Endpoints implements fleet.Balancer.
func (a balancerAdapter) Endpoints() []subset.Endpoint {
	var all []subset.Endpoint
	for _, listed := range a.Balancer.Servers() {
		all = append(all, subset.Endpoint(listed))
	}
	return all
}

// EndpointList implements fleet.Balancer.
func (a balancerAdapter) EndpointList() (uint64, uint64, []membership.DrainedEndpoint) {
	index, digest, drains := a.ListState()
	converted := make([]membership.DrainedEndpoint, len(drains))
	for i, drain := range drains {
		converted[i] = membership.DrainedEndpoint(drain)
	}
	return index, digest, converted
}
