package subset

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
)

// newFleet returns the given numbers of balancers and endpoints of weight 1, spread evenly over zones.
func newFleet(balancerCount, endpointCount, zones int) (balancers []Balancer, endpoints []Endpoint) {
	for n := range balancerCount {
		balancers = append(balancers, Balancer{fmt.Sprint("b-", n), fmt.Sprint("z", n%zones)})
	}
	for n := range endpointCount {
		endpoints = append(endpoints, Endpoint{fmt.Sprint("h-", n), fmt.Sprint("z", n%zones), 1})
	}
	return balancers, endpoints
}

// connection is a connection that a balancer keeps to an endpoint.
type connection struct{ balancer, endpoint string }

type connectionSet map[connection]bool

func connections(balancers []Balancer, endpoints []Endpoint, config Config) connectionSet {
	assignment, set := New(balancers, endpoints, config), connectionSet{}
	for _, e := range endpoints {
		for _, b := range assignment.BalancersOf(e) {
			set[connection{b, e.Name}] = true
		}
	}
	return set
}

// countByName counts the connections of each endpoint and of each balancer.
func (s connectionSet) countByName() (byEndpoint, byBalancer map[string]int) {
	byEndpoint, byBalancer = map[string]int{}, map[string]int{}
	for c := range s {
		byEndpoint[c.endpoint]++
		byBalancer[c.balancer]++
	}
	return byEndpoint, byBalancer
}

// countMissingIn returns the number of connections in s that are not in other.
func (s connectionSet) countMissingIn(other connectionSet) (count int) {
	for c := range s {
		if !other[c] {
			count++
		}
	}
	return count
}

// If balancers chose their endpoints at random, some endpoints would be checked by six times as many balancers as
// others and some by none. At all sizes, each endpoint must have at least one balancer and at most 1.10 times the mean
// number.
func TestConnectionsAreSpreadEvenly(t *testing.T) {
	for _, size := range []struct{ balancers, endpoints int }{
		{3, 3}, {3, 5000}, {5, 24}, {12, 24}, {12, 5000}, {100, 24}, {100, 500}, {300, 1000}, {1000, 24}, {1000, 5000},
	} {
		if testing.Short() && size.balancers*size.endpoints > 1e6 {
			continue
		}
		for _, zoneLocal := range []bool{false, true} {
			config := DefaultConfig
			config.ZoneLocal = zoneLocal
			balancers, endpoints := newFleet(size.balancers, size.endpoints, 3)
			byEndpoint, byBalancer := connections(balancers, endpoints, config).countByName()
			total, most, fewest := 0, 0, math.MaxInt
			for _, count := range byEndpoint {
				total, most = total+count, max(most, count)
			}
			for _, count := range byBalancer {
				fewest = min(fewest, count)
			}
			if mean := float64(total) / float64(size.endpoints); len(byEndpoint) != size.endpoints || float64(most) > 1.10*mean {
				t.Errorf("%+v, zone local %t: %d endpoints have balancers, at most %d each, mean %.2f", size, zoneLocal, len(byEndpoint), most, mean)
			}
			if len(byBalancer) != size.balancers || fewest < 1 {
				t.Errorf("%+v, zone local %t: %d balancers have endpoints, at least %d each", size, zoneLocal, len(byBalancer), fewest)
			}
		}
	}
}

// An endpoint of twice the weight receives twice as many requests and needs twice as many connections.
func TestConnectionsFollowWeight(t *testing.T) {
	balancers, endpoints := newFleet(200, 100, 1)
	for n := range endpoints {
		endpoints[n].Weight = []float64{0.5, 1, 2}[n%3]
	}
	byEndpoint, _ := connections(balancers, endpoints, DefaultConfig).countByName()
	countsByWeight := [3]map[int]bool{{}, {}, {}}
	for n, e := range endpoints {
		countsByWeight[n%3][byEndpoint[e.Name]] = true
	}
	for n, counts := range countsByWeight {
		if len(counts) != 1 {
			t.Errorf("weight %v: %v connections", endpoints[n].Weight, counts)
		}
	}
	if atWeight1, atWeight2 := byEndpoint["h-1"], byEndpoint["h-2"]; math.Abs(float64(atWeight2)/float64(atWeight1)-2) > 0.1 {
		t.Errorf("%d connections, and %d with twice the weight", atWeight1, atWeight2)
	}
}

// Guards against endpoints of a small zone having too few balancers when zones differ in size. Endpoints use only
// balancers of their own zone if it has enough, and all endpoints of a zone have the same number of balancers.
func TestZoneLocalFallsBackToAllZones(t *testing.T) {
	var balancers []Balancer
	var endpoints []Endpoint
	for zone, size := range map[string]struct{ balancers, endpoints int }{"a": {40, 10}, "b": {10, 40}, "c": {1, 20}} {
		for n := range size.balancers {
			balancers = append(balancers, Balancer{fmt.Sprint(zone, n), zone})
		}
		for n := range size.endpoints {
			endpoints = append(endpoints, Endpoint{fmt.Sprint("h", zone, n), zone, 1})
		}
	}
	config := DefaultConfig
	config.ZoneLocal = true
	set := connections(balancers, endpoints, config)
	byEndpoint, _ := set.countByName()
	for c := range set {
		if zone := c.endpoint[1:2]; zone != "c" && c.balancer[:1] != zone {
			t.Errorf("%v crosses zones", c)
		}
	}
	for _, zone := range []string{"a", "b", "c"} {
		var counts []int
		for _, e := range endpoints {
			if e.Zone == zone {
				counts = append(counts, byEndpoint[e.Name])
			}
		}
		if slices.Max(counts) != slices.Min(counts) || slices.Min(counts) < 3 {
			t.Errorf("zone %s: %v connections", zone, counts)
		}
	}
}

// Guards against each deployment reopening all connections of the fleet because one more balancer changes all subsets.
// Over random joins and leaves, at most 1.2 times the minimum number of connections moves while the number of balancers
// per endpoint stays the same. The order of the lists does not matter.
func TestJoinsAndLeavesMoveLittle(t *testing.T) {
	steps := 300
	if n, err := strconv.Atoi(os.Getenv("HOLLYLEVER_STEPS")); err == nil {
		steps = n
	}
	random := rand.New(rand.NewPCG(8, 8))
	balancers, endpoints := newFleet(30, 60, 3)
	before := connections(balancers, endpoints, DefaultConfig)
	perEndpoint := DefaultConfig.BalancersPerEndpoint(len(balancers), len(endpoints))
	for step := range steps {
		isJoin, isEndpoint := random.IntN(2) == 0, random.IntN(2) == 0
		switch {
		case isJoin && isEndpoint:
			endpoints = append(endpoints, Endpoint{fmt.Sprint("h-", 1000+step), "z0", 1})
		case isJoin:
			balancers = append(balancers, Balancer{fmt.Sprint("b-", 1000+step), "z0"})
		case isEndpoint && len(endpoints) > 20:
			at := random.IntN(len(endpoints))
			endpoints = slices.Delete(slices.Clone(endpoints), at, at+1)
		case len(balancers) > 10:
			at := random.IntN(len(balancers))
			balancers = slices.Delete(slices.Clone(balancers), at, at+1)
		}
		random.Shuffle(len(balancers), func(i, j int) { balancers[i], balancers[j] = balancers[j], balancers[i] })
		random.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
		after := connections(balancers, endpoints, DefaultConfig)
		if now := DefaultConfig.BalancersPerEndpoint(len(balancers), len(endpoints)); now != perEndpoint {
			before, perEndpoint = after, now // Connections of all endpoints must move.
			continue
		}
		moved, minMoved := max(after.countMissingIn(before), before.countMissingIn(after)), minMoves(before, after)
		if float64(moved) > 1.2*float64(minMoved) {
			t.Fatalf("step %d: %d connections moved, the minimum is %d", step, moved, minMoved)
		}
		before = after
	}
}

// minMoves returns the minimum number of connections that must move: those of balancers and endpoints that joined or
// left.
func minMoves(before, after connectionSet) (total int) {
	endpointsBefore, balancersBefore := before.countByName()
	endpointsAfter, balancersAfter := after.countByName()
	countOnlyIn := func(counts, others map[string]int) {
		for name, count := range counts {
			if others[name] == 0 {
				total += count
			}
		}
	}
	countOnlyIn(endpointsAfter, endpointsBefore)
	countOnlyIn(endpointsBefore, endpointsAfter)
	countOnlyIn(balancersAfter, balancersBefore)
	countOnlyIn(balancersBefore, balancersAfter)
	return total
}
