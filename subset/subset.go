// Package subset computes connection subsets: to which of the endpoints that a balancer may use it keeps idle
// connections. Routing is not affected: the candidates of a key are the same for all balancers, and a balancer sends
// requests to an endpoint outside its subset whenever a key requires it. Only the cost of idle connections is divided.
//
// Balancers are assigned to each endpoint, not endpoints to each balancer: an endpoint gets the highest-ranked balancers
// by rendezvous hashing (see package rendezvous). All endpoints of equal weight therefore have the same number of
// balancers. While that number does not change, a balancer that joins or leaves moves only its own connections, which is
// the minimum, and an endpoint that joins or leaves moves no connections of other endpoints.
//
// The package is pure: the result depends only on the names, zones and weights passed in. Processes with the same lists
// compute the same result without communication.
package subset

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"hollylever/rendezvous"
)

// Balancer identifies a balancer.
type Balancer struct {
	Name, Zone string
}

// Endpoint is an endpoint that balancers use. Weight is its size relative to others; a weight that is not positive and
// finite counts as 1.
type Endpoint struct {
	Name, Zone string
	Weight     float64
}

// Config sets the size of subsets. Higher minimums cost more idle connections.
type Config struct {
	MinEndpoints int  // minimum of the mean number of endpoints per balancer
	MinBalancers int  // minimum number of balancers per endpoint: if some leave, others are still connected
	ZoneLocal    bool // prefer balancers of the endpoint's zone if there are enough of them
}

// DefaultConfig suits fleets of all sizes: enough endpoints per balancer that a first request rarely waits for a
// connection, and three balancers per endpoint, so that two of them may leave at once.
var DefaultConfig = Config{MinEndpoints: 20, MinBalancers: 3}

// BalancersPerEndpoint returns the number of balancers of an endpoint of mean weight, in a fleet with the given numbers
// of balancers and endpoints.
func (c Config) BalancersPerEndpoint(balancers, endpoints int) int {
	if balancers == 0 || endpoints == 0 {
		return 0
	}
	needed := (c.MinEndpoints*balancers + endpoints - 1) / endpoints // Rounded up.
	return min(balancers, max(c.MinBalancers, needed))
}

// Assignment maps endpoints to balancers and balancers to endpoints. It is immutable and safe for concurrent use.
type Assignment struct {
	config      Config
	balancers   []Balancer       // sorted by name
	hashes      []uint64         // hashes of the balancers' names
	all         []int            // indices of all balancers
	byZone      map[string][]int // indices of each zone's balancers
	perEndpoint int              // number of balancers of an endpoint of mean weight
	meanWeight  float64          // mean weight of endpoints
}

// New assigns the given endpoints to the given balancers. The order of the lists does not matter.
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

// BalancersOf returns the names of an endpoint's balancers, the highest-ranked first. Their number is proportional to
// the endpoint's weight relative to the mean, and at least one.
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

// candidates returns the indices of the balancers of the endpoint's zone, if these are preferred and there are at least
// MinBalancers of them (or wanted, if that is less); otherwise the indices of all balancers.
func (a *Assignment) candidates(endpoint Endpoint, wanted int) []int {
	sameZone := a.byZone[endpoint.Zone]
	if a.config.ZoneLocal && len(sameZone) >= min(wanted, a.config.MinBalancers) {
		return sameZone
	}
	return a.all
}

// rankedBalancer is a balancer with its score for one endpoint.
type rankedBalancer struct {
	score uint64
	index int
}

// rank returns the balancers with the given indices ranked for an endpoint, the highest score first; balancers with
// equal scores are ordered by name.
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

// EndpointsOf returns the names of those of the given endpoints that are assigned to a balancer, in the given order.
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
