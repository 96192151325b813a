// Package subset says which hosts a balancer keeps connections to and looks after, of all that it may use. It is pure: names in, names out, and whoever
// holds the same lists says the same without a word. It takes nothing from the ordinary path: a key's three candidates are the same three for
// all, and a host outside the subset is sent to whenever a key asks for it; only what costs while nothing is sent - connections kept while
// idle, looking after it - is the subset's.
//
// Each host chooses its balancers, not each balancer its hosts: the first so many in the host's own order of balancers (rendezvous hashing:
// Thaler and Ravishankar, A name-based mapping scheme for rendezvous, 1996). So all hosts of one weight have exactly as many, whatever the
// sizes; a balancer that comes or goes moves only what it gained or leaves behind, which is the least that can move; and a host that
// comes or goes moves nothing of the others'.
package subset

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// Balancer is one that uses hosts.
type Balancer struct {
	Name, Zone string
}

// Host is one that is used. Weight is its size against others'; 0 counts as 1.
type Endpoint struct {
	Name, Zone string
	Weight     float64
}

// Rule is how large subsets are.
type Config struct {
	MinEndpoints int  // that a balancer has in the mean, at least
	MinBalancers int  // that a host has, at least: where some of them go, others still look after it
	ZoneLocal    bool // hosts are given to balancers of their zone, as far as there are so many
}

// Usual keeps twenty hosts a balancer and three balancers a host.
var DefaultConfig = Config{MinEndpoints: 20, MinBalancers: 3}

// PerHost is how many balancers a host of mean weight has.
func (r Config) BalancersPerEndpoint(balancers, hosts int) int {
	if balancers == 0 || hosts == 0 {
		return 0
	}
	each := (r.MinEndpoints*balancers + hosts - 1) / hosts
	return min(balancers, max(r.MinBalancers, each))
}

// Sets are who has which hosts.
type Assignment struct {
	rule      Config
	balancers []Balancer
	hashes    []uint64 // of their names
	zones     map[string][]int
	mean      float64 // of the hosts' weights
	each      int
}

// New makes sets for these lists; their order does not matter.
func New(balancers []Balancer, hosts []Endpoint, rule Config) *Assignment {
	s := &Assignment{rule: rule, balancers: slices.Clone(balancers), zones: map[string][]int{}}
	slices.SortFunc(s.balancers, func(a, b Balancer) int { return cmp.Compare(a.Name, b.Name) })
	for n, b := range s.balancers {
		s.hashes = append(s.hashes, hash(b.Name))
		s.zones[b.Zone] = append(s.zones[b.Zone], n)
	}
	for _, h := range hosts {
		s.mean += weight(h) / float64(len(hosts))
	}
	s.each = rule.BalancersPerEndpoint(len(balancers), len(hosts))
	return s
}

func weight(h Endpoint) float64 {
	if h.Weight > 0 && !math.IsInf(h.Weight, 0) {
		return h.Weight
	}
	return 1
}

// Of gives the balancers that a host has, in the host's order: by its weight against the mean, and one at least.
func (s *Assignment) BalancersOf(h Endpoint) []string {
	if len(s.balancers) == 0 {
		return nil
	}
	many := min(len(s.balancers), max(1, int(math.Round(float64(s.each)*weight(h)/s.mean))))
	var from []int
	if near := s.zones[h.Zone]; s.rule.ZoneLocal && len(near) >= min(many, s.rule.MinBalancers) {
		from = near
		many = min(many, len(near))
	} else {
		from = make([]int, len(s.balancers))
		for n := range from {
			from[n] = n
		}
	}
	own := hash(h.Name)
	type ranked struct {
		score uint64
		n     int
	}
	all := make([]ranked, len(from))
	for n, b := range from {
		all[n] = ranked{mix(own, s.hashes[b]), b}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.n, b.n)) })
	names := make([]string, many)
	for n := range names {
		names[n] = s.balancers[all[n].n].Name
	}
	return names
}

// Has gives the hosts of one balancer, of these.
func (s *Assignment) EndpointsOf(balancer string, hosts []Endpoint) (names []string) {
	for _, h := range hosts {
		if slices.Contains(s.BalancersOf(h), balancer) {
			names = append(names, h.Name)
		}
	}
	return names
}

func hash(name string) uint64 {
	of := fnv.New64a()
	of.Write([]byte(name))
	return of.Sum64()
}

// mix is a finalizer of 64 bits (Steele, Lea, Flood, Fast splittable pseudorandom number generators, 2014) over both names' hashes.
func mix(a, b uint64) uint64 {
	z := a*0x9e3779b97f4a7c15 + b
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
