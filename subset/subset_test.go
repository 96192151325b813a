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

func some(balancers, hosts, zones int) (all []Balancer, of []Endpoint) {
	for n := range balancers {
		all = append(all, Balancer{fmt.Sprint("b-", n), fmt.Sprint("z", n%zones)})
	}
	for n := range hosts {
		of = append(of, Endpoint{fmt.Sprint("h-", n), fmt.Sprint("z", n%zones), 1})
	}
	return all, of
}

// pairs are who has whom.
func pairs(all []Balancer, of []Endpoint, r Config) map[[2]string]bool {
	s, p := New(all, of, r), map[[2]string]bool{}
	for _, h := range of {
		for _, b := range s.BalancersOf(h) {
			p[[2]string{b, h.Name}] = true
		}
	}
	return p
}

// uses counts pairs by host and by balancer.
func uses(p map[[2]string]bool) (hosts, balancers map[string]int) {
	hosts, balancers = map[string]int{}, map[string]int{}
	for pair := range p {
		balancers[pair[0]]++
		hosts[pair[1]]++
	}
	return hosts, balancers
}

// The most that one host is in use by is at most 1.10 of the mean by weight, at all sizes; each host has some, and each balancer.
func TestFair(t *testing.T) {
	for _, size := range [][2]int{{3, 3}, {3, 5000}, {5, 24}, {12, 24}, {12, 5000}, {100, 24}, {100, 500}, {300, 1000}, {1000, 24}, {1000, 5000}} {
		if testing.Short() && size[0]*size[1] > 1e6 {
			continue
		}
		for _, near := range []bool{false, true} {
			rule := DefaultConfig
			rule.ZoneLocal = near
			all, of := some(size[0], size[1], 3)
			hosts, balancers := uses(pairs(all, of, rule))
			total, most, least := 0, 0, math.MaxInt
			for _, n := range hosts {
				total, most = total+n, max(most, n)
			}
			for _, n := range balancers {
				least = min(least, n)
			}
			if mean := float64(total) / float64(size[1]); len(hosts) != size[1] || float64(most) > 1.10*mean {
				t.Errorf("%v near %t: %d hosts in use, the most by %d, mean %.2f", size, near, len(hosts), most, mean)
			}
			if len(balancers) != size[0] || least < 1 {
				t.Errorf("%v near %t: %d balancers have hosts, the least %d", size, near, len(balancers), least)
			}
		}
	}
}

// By weight: a host of twice the weight has twice as many.
func TestByWeight(t *testing.T) {
	all, of := some(200, 100, 1)
	for n := range of {
		of[n].Weight = []float64{0.5, 1, 2}[n%3]
	}
	hosts, _ := uses(pairs(all, of, DefaultConfig))
	per := [3]map[int]bool{{}, {}, {}}
	for n, h := range of {
		per[n%3][hosts[h.Name]] = true
	}
	for n := range per {
		if len(per[n]) != 1 {
			t.Errorf("weight %v: uses %v", of[n].Weight, per[n])
		}
	}
	if a, b := hosts["h-1"], hosts["h-2"]; math.Abs(float64(b)/float64(a)-2) > 0.1 {
		t.Errorf("%d and %d", a, b)
	}
}

// Zones of unlike size: hosts keep to their zone where it has balancers enough, and are in use there alike.
func TestZonesOfUnlikeSize(t *testing.T) {
	var all []Balancer
	var of []Endpoint
	for zone, n := range map[string][2]int{"a": {40, 10}, "b": {10, 40}, "c": {1, 20}} {
		for b := range n[0] {
			all = append(all, Balancer{fmt.Sprint(zone, b), zone})
		}
		for h := range n[1] {
			of = append(of, Endpoint{fmt.Sprint("h", zone, h), zone, 1})
		}
	}
	rule := DefaultConfig
	rule.ZoneLocal = true
	p := pairs(all, of, rule)
	hosts, _ := uses(p)
	for pair := range p {
		if zone := pair[1][1:2]; zone != "c" && pair[0][:1] != zone {
			t.Errorf("%v crosses", pair)
		}
	}
	for _, zone := range []string{"a", "b", "c"} {
		var n []int
		for _, h := range of {
			if h.Zone == zone {
				n = append(n, hosts[h.Name])
			}
		}
		if slices.Max(n) != slices.Min(n) || slices.Min(n) < 3 {
			t.Errorf("zone %s: hosts are in use by %v", zone, n)
		}
	}
}

// Seeded joins and leaves: one balancer or host more or less moves no more than 1.2 times the least that must move, as long as the
// number that a host has stays the same; and the order of the lists does not matter.
func TestLittleMoves(t *testing.T) {
	steps := 300
	if n, err := strconv.Atoi(os.Getenv("HOLLYLEVER_STEPS")); err == nil {
		steps = n
	}
	chance := rand.New(rand.NewPCG(8, 8))
	all, of := some(30, 60, 3)
	next, before := 1000, pairs(all, of, DefaultConfig)
	each := DefaultConfig.BalancersPerEndpoint(len(all), len(of))
	for step := range steps {
		joins, host := chance.IntN(2) == 0, chance.IntN(2) == 0
		switch {
		case joins && host:
			of = append(of, Endpoint{fmt.Sprint("h-", next), "z0", 1})
		case joins:
			all = append(all, Balancer{fmt.Sprint("b-", next), "z0"})
		case host && len(of) > 20:
			at := chance.IntN(len(of))
			of = slices.Delete(slices.Clone(of), at, at+1)
		case len(all) > 10:
			at := chance.IntN(len(all))
			all = slices.Delete(slices.Clone(all), at, at+1)
		}
		next++
		chance.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		chance.Shuffle(len(of), func(i, j int) { of[i], of[j] = of[j], of[i] })
		now := pairs(all, of, DefaultConfig)
		if is := DefaultConfig.BalancersPerEndpoint(len(all), len(of)); is != each {
			before, each = now, is // All hosts have one more or less: that much has to move.
			continue
		}
		gained, lost := lacks(now, before), lacks(before, now)
		// The least: what the one that came has now, or the one that went had, once.
		hostsNow, balancersNow := uses(now)
		hostsBefore, balancersBefore := uses(before)
		least := 0
		for _, pair := range [][2]map[string]int{{hostsNow, hostsBefore}, {hostsBefore, hostsNow}, {balancersNow, balancersBefore}, {balancersBefore, balancersNow}} {
			for name, n := range pair[0] {
				if pair[1][name] == 0 {
					least += n
				}
			}
		}
		if moved := max(gained, lost); float64(moved) > 1.2*float64(least) {
			t.Fatalf("step %d: %d moved, the least is %d", step, moved, least)
		}
		before = now
	}
}

// lacks counts the pairs of one that the other does not have.
func lacks(one, other map[[2]string]bool) (n int) {
	for pair := range one {
		if !other[pair] {
			n++
		}
	}
	return n
}
