// Package subset says which endpoints a balancer keeps idle connections to, out of all it may use. It takes nothing
// from the ordinary path: the candidates of a key are the same for all balancers, and an endpoint outside the subset is
// sent to whenever a key asks for it. Only what costs while nothing is sent is divided.
//
// Each endpoint chooses its balancers, not each balancer its endpoints: it takes the first ones in its own order, by
// rendezvous hashing (see package rendezvous). So all endpoints of one weight have exactly as many; a balancer that
// comes or goes moves only what it gains or leaves behind, which is the least that can move; and an endpoint that
// comes or goes moves nothing of the others'.
//
// The package is pure: names in, names out. Whoever holds the same lists gets the same result without a message.
package subset

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"hollylever/rendezvous"
)

// Balancer is one that uses endpoints.
type Balancer struct {
	Name, Zone string
}

// Endpoint is one that balancers use. Weight is its size relative to others; one that is not positive and finite
// counts as 1.
type Endpoint struct {
	Name, Zone string
	Weight     float64
}

// Config says how large subsets are. More of either costs idle connections.
type Config struct {
	MinEndpoints int  // endpoints that a balancer has in the mean, at least
	MinBalancers int  // balancers that an endpoint has, at least: when some of them go, others still have a connection
	ZoneLocal    bool // prefer balancers of the endpoint's zone, where it has enough of them
}

// DefaultConfig is for fleets of all sizes: enough endpoints that a first request seldom waits for a connection, and
// three balancers an endpoint, so that two may go at once.
var DefaultConfig = Config{MinEndpoints: 20, MinBalancers: 3}

// BalancersPerEndpoint is how many balancers an endpoint of mean weight has, in a fleet of so many balancers and
// endpoints.
func (c Config) BalancersPerEndpoint(balancers, endpoints int) int {
	if balancers == 0 || endpoints == 0 {
		return 0
	}
	needed := (c.MinEndpoints*balancers + endpoints - 1) / endpoints // Rounded up.
	return min(balancers, max(c.MinBalancers, needed))
}

// Assignment says which balancers have which endpoints. It does not change once it is made; any number of goroutines
// may use it.
type Assignment struct {
	config      Config
	balancers   []Balancer       // sorted by name
	hashes      []uint64         // of their names
	all         []int            // indices of balancers: all,
	byZone      map[string][]int // and those of each zone
	perEndpoint int              // balancers of an endpoint of mean weight
	meanWeight  float64          // of endpoints
}

// New assigns these endpoints to these balancers. The order of the lists does not matter.
func New(balancers []Balancer, endpoints []Endpoint, config Config) *Assignment {
	a := &Assignment{
		config:      config,
		balancers:   slices.Clone(balancers),
		byZone:      map[string][]int{},
		perEndpoint: config.BalancersPerEndpoint(len(balancers), len(endpoints)),
	}
	slices.SortFunc(a.balancers, func(x, y Balancer) int { return cmp.Compare(x.Name, y.Name) })
	for i, b := range a.balancers {
		a.hashes = append(a.hashes, hashName(b.Name))
		a.all = append(a.all, i)
		a.byZone[b.Zone] = append(a.byZone[b.Zone], i)
	}
	for _, e := range endpoints {
		a.meanWeight += e.weight() / float64(len(endpoints))
	}
	return a
}

func (e Endpoint) weight() float64 {
	if e.Weight > 0 && !math.IsInf(e.Weight, 0) {
		return e.Weight
	}
	return 1
}

// BalancersOf returns the names of an endpoint's balancers in its own order: as many as its weight over the mean asks
// for, and one at least.
func (a *Assignment) BalancersOf(endpoint Endpoint) []string {
	if len(a.balancers) == 0 {
		return nil
	}
	wanted := int(math.Round(float64(a.perEndpoint) * endpoint.weight() / a.meanWeight))
	wanted = min(len(a.balancers), max(1, wanted))
	candidates := a.candidates(endpoint, wanted)
	wanted = min(wanted, len(candidates))

	names := make([]string, wanted)
	for i, ranked := range a.rank(endpoint, candidates)[:wanted] {
		names[i] = a.balancers[ranked.index].Name
	}
	return names
}

// candidates are the balancers of the endpoint's zone, if these are preferred and as many as it needs to be safe; else
// all. They are indices of balancers.
func (a *Assignment) candidates(endpoint Endpoint, wanted int) []int {
	near := a.byZone[endpoint.Zone]
	if a.config.ZoneLocal && len(near) >= min(wanted, a.config.MinBalancers) {
		return near
	}
	return a.all
}

// rankedBalancer is a balancer with its score for one endpoint.
type rankedBalancer struct {
	score uint64
	index int
}

// rank returns balancers in the order of an endpoint, the highest score first; equal scores go by name.
func (a *Assignment) rank(endpoint Endpoint, balancers []int) []rankedBalancer {
	hash := hashName(endpoint.Name)
	ranked := make([]rankedBalancer, len(balancers))
	for i, index := range balancers {
		ranked[i] = rankedBalancer{rendezvous.Mix(hash*rendezvous.GoldenRatio + a.hashes[index]), index}
	}
	slices.SortFunc(ranked, func(x, y rankedBalancer) int {
		return cmp.Or(cmp.Compare(y.score, x.score), cmp.Compare(x.index, y.index))
	})
	return ranked
}

// EndpointsOf returns the names of a balancer's endpoints, out of and in the order of those given.
func (a *Assignment) EndpointsOf(balancer string, endpoints []Endpoint) (names []string) {
	for _, e := range endpoints {
		if slices.Contains(a.BalancersOf(e), balancer) {
			names = append(names, e.Name)
		}
	}
	return names
}

func hashName(name string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(name))
	return sum.Sum64()
}
