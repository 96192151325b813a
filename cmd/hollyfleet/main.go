// Command hollyfleet is a balancer that is one of a fleet: hollylever with the parts by which many agree.
package main

import (
	"github.com/rs/zerolog"

	"hollylever/cli"
	"hollylever/consensus"
	"hollylever/fields"
	"hollylever/fleet"
	"hollylever/membership"
	"hollylever/routing"
	"hollylever/server"
	"hollylever/subset"
)

func main() { cli.Main(join) }

// join starts the membership of a balancer in its fleet, and connects the two.
func join(own fields.Values, name, zone, settingsDigest string, b *routing.Balancer, log zerolog.Logger) (server.Fleet, error) {
	f, err := fleet.Start(own, name, zone, settingsDigest, balancerAdapter{b}, log)
	if err != nil {
		return nil, err
	}
	b.SetLeaseCheck(func() { f.CheckLease() })
	if exchange := f.OutlierExchange(); exchange != nil {
		b.SetOutlierExchange(exchange)
	}
	return f, nil
}

// balancerAdapter gives package fleet its view of the balancer, and the balancer what the fleet agreed on.
type balancerAdapter struct{ *routing.Balancer }

func (a balancerAdapter) ApplyConfig(what consensus.EffectiveConfig) {
	a.Balancer.Heeds(what.EjectedEndpoints, what.Limits, what.DiscoverySource, what.MinListIndex)
}

func (a balancerAdapter) ApplyPeerDrains(names []string) { a.News(names) }

func (a balancerAdapter) Endpoints() []subset.Endpoint {
	var all []subset.Endpoint
	for _, l := range a.Balancer.Servers() {
		all = append(all, subset.Endpoint(l))
	}
	return all
}

func (a balancerAdapter) EndpointList() (uint64, uint64, []membership.DrainedEndpoint) {
	index, digest, drains := a.Lists()
	out := make([]membership.DrainedEndpoint, len(drains))
	for n, d := range drains {
		out[n] = membership.DrainedEndpoint(d)
	}
	return index, digest, out
}
