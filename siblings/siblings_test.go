package siblings

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
)

var all = Resources{ClientConnections: 160, EndpointConnections: 160, MemoryBytes: 64 << 20}

func joined(t *testing.T, place string) *Group {
	t.Helper()
	k, err := Join(place, all)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// settle has all look some times, each in turn.
func settle(t *testing.T, kin ...*Group) (allowed []Resources) {
	t.Helper()
	for range 6 {
		allowed = nil
		for _, k := range kin {
			a, _, _, err := k.Update(k.own.Use, 0)
			if err != nil {
				t.Fatal(err)
			}
			allowed = append(allowed, a)
		}
	}
	return allowed
}

// Each way in which an upgrade can go ends with one process that holds all.
func TestOneHoldsAllInTheEnd(t *testing.T) {
	start := func(place string) *Group {
		k := joined(t, place)
		return k
	}
	whole := Resources{all.ClientConnections, all.EndpointConnections, all.MemoryBytes - all.MemoryBytes/4}
	serve := func(k *Group) { settle(t, k); k.SetPhase(Serving) }
	for what, play := range map[string]func(place string, old *Group) *Group{
		"an upgrade": func(place string, old *Group) *Group {
			young := start(place)
			old.own.Use = Resources{ClientConnections: 100, EndpointConnections: 40, MemoryBytes: 9 << 20}
			if a := settle(t, old, young); a[1].ClientConnections != 20 || a[0].ClientConnections != 140 {
				t.Errorf("one that starts may have %+v beside %+v", a[1], a[0])
			}
			young.SetPhase(Serving)
			if a := settle(t, old, young); a[0].ClientConnections != 130 || a[1].ClientConnections != 30 { // Nobody has to go.
				t.Errorf("both serve: %+v, %+v", a[0], a[1])
			}
			old.own.Use = Resources{ClientConnections: 30, EndpointConnections: 10, MemoryBytes: 9 << 20}
			old.SetPhase(Draining)
			if a := settle(t, old, young); a[0].ClientConnections != 30 || a[0].EndpointConnections != 25 || a[1].ClientConnections != 130 || a[1].EndpointConnections != 135 {
				t.Errorf("one leaves: %+v, %+v", a[0], a[1])
			}
			old.Leave()
			return young
		},
		"the old one killed early": func(place string, old *Group) *Group {
			young := start(place)
			settle(t, old, young)
			old.Leave()
			young.SetPhase(Serving)
			return young
		},
		"a new one that never gets ready": func(place string, old *Group) *Group {
			young := start(place)
			settle(t, old, young)
			young.Leave()
			return old
		},
		"a new one that crashes after its yes and is started again": func(place string, old *Group) *Group {
			young := start(place)
			settle(t, old, young)
			young.SetPhase(Serving)
			settle(t, old, young)
			old.own.Use = Resources{ClientConnections: 50, EndpointConnections: 20, MemoryBytes: 9 << 20}
			old.SetPhase(Draining)
			settle(t, old, young)
			young.Leave()
			again := start(place)
			settle(t, old, again)
			again.SetPhase(Serving)
			if a := settle(t, old, again); a[1].ClientConnections != 110 {
				t.Errorf("beside one that leaves: %+v", a[1])
			}
			old.Leave()
			return again
		},
		"two upgrades in a row": func(place string, old *Group) *Group {
			young := start(place)
			settle(t, old, young)
			young.SetPhase(Serving)
			old.SetPhase(Draining)
			old.own.Use = Resources{ClientConnections: 100, EndpointConnections: 100, MemoryBytes: 20 << 20}
			settle(t, old, young)
			last := start(place)
			settle(t, old, young, last)
			last.SetPhase(Serving)
			young.SetPhase(Draining)
			young.own.Use = Resources{ClientConnections: 10, EndpointConnections: 10, MemoryBytes: 9 << 20}
			settle(t, old, young, last)
			young.Leave()
			settle(t, old, last)
			old.Leave()
			return last
		},
	} {
		place := t.TempDir()
		old := start(place)
		serve(old)
		if a := settle(t, old); a[0] != whole {
			t.Errorf("%s: alone it may have %+v", what, a[0])
		}
		if last := play(place, old); settle(t, last)[0] != whole {
			t.Errorf("%s: in the end it may have %+v", what, settle(t, last)[0])
		} else {
			last.Leave()
		}
	}
}

// Whoever comes, goes, dies, stands still or looks late: what all claim is never over the whole, and nobody uses more
// than it claims. A process here takes up to what it was allowed, and gives back when it likes.
func TestClaimsNeverAddUpToMore(t *testing.T) {
	for seed := range uint64(150) {
		chance, place := rand.New(rand.NewPCG(seed, 2)), t.TempDir()
		var live []*Group
		for step := range 250 {
			switch n := chance.IntN(12); {
			case n == 0 && len(live) < 4:
				live = append(live, joined(t, place))
			case n == 1 && len(live) > 0:
				i := chance.IntN(len(live))
				live[i].Leave()
				live = append(live[:i], live[i+1:]...)
			case n == 2 && len(live) > 0:
				live[chance.IntN(len(live))].SetPhase([]Phase{Serving, Draining}[chance.IntN(2)])
			case n == 3:
				os.WriteFile(fmt.Sprintf("%s/hollylever.kin.%d", place, chance.IntN(maxSiblings)), []byte(`{"pid":`), 0o600) // Torn.
			case len(live) > 0:
				k := live[chance.IntN(len(live))]
				use := k.own.Use
				allowed := Allowed(k.total, k.own, k.others)
				for n, used := range use.parts() {
					if most := *allowed.parts()[n]; k.own.Phase != Draining && most > *used {
						*used += chance.Int64N(most - *used + 1)
					} else if chance.IntN(2) == 0 {
						*used -= chance.Int64N(*used + 1)
					}
				}
				if _, _, _, err := k.Update(use, 0); err != nil {
					t.Fatal(err)
				}
			}
			var sum Resources
			for _, k := range live {
				for n, claim := range sum.parts() {
					*claim += *k.own.Claim.parts()[n]
					if used := *k.own.Use.parts()[n]; used > *k.own.Claim.parts()[n] {
						t.Fatalf("seed %d, step %d: one uses %+v of %+v", seed, step, k.own.Use, k.own.Claim)
					}
				}
			}
			if sum.ClientConnections > all.ClientConnections || sum.EndpointConnections > all.EndpointConnections || sum.MemoryBytes > all.MemoryBytes {
				t.Fatalf("seed %d, step %d: %+v is claimed of %+v", seed, step, sum, all)
			}
		}
		for _, k := range live {
			k.Leave()
		}
	}
}

func TestPartsAndWriters(t *testing.T) {
	old, young := Row{Since: 1, Phase: Serving, Trips: 90}, Row{Since: 2, Phase: Serving, Trips: 30}
	if p := Part(old, []Row{young}); p != 0.75 {
		t.Errorf("its part is %v", p)
	}
	if p := Part(Row{}, []Row{old}); p != leastPart {
		t.Errorf("one that has sent nothing has %v", p)
	}
	if Part(young, nil) != 1 {
		t.Error("one that is alone has not all")
	}
	leaving := old
	leaving.Phase = Draining
	if p := Part(Row{Phase: Serving}, []Row{leaving}); p != successors {
		t.Errorf("one that takes over has %v", p)
	}
	for _, c := range []struct {
		own    Row
		others []Row
		writes bool
	}{{old, nil, true}, {old, []Row{young}, true}, {young, []Row{old}, false}, {young, []Row{leaving}, true}, {leaving, []Row{young}, false},
		{leaving, nil, true}, {Row{Phase: Starting}, []Row{old}, false}} {
		if Writes(c.own, c.others) != c.writes {
			t.Errorf("%+v beside %+v writes: %t", c.own, c.others, !c.writes)
		}
	}
}
