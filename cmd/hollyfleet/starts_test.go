package main

import (
	"context"
	"testing"
	"time"

	"hollylever/fakes"
	"hollylever/fleetconfig"
)

// partOf is how far a process is from a zone, as its door shows it; knows: it does, and what is left it knows by a lease.
func (p *process) partOf(zone string) (part float64, byHand, knows bool) {
	s, err := p.status()
	if err != nil || !s.Acting.Leased {
		return 0, false, false
	}
	for _, z := range p.signalled().Zones {
		if z.Zone == zone {
			return z.Part, z.ByHand, true
		}
	}
	return 0, false, false
}

// TestOneThatStartsStandsWhereTheOthersDo: one that was killed before a zone was left goes nothing there once it knows; one that starts amid the way back
// stands where the others do, and does not begin at its end.
func TestOneThatStartsStandsWhereTheOthersDo(t *testing.T) {
	t.Parallel()
	d := newDistrict(t, 9, 5, 12, "")
	d.load(60, 500)
	until(t, "hosts in use", func() bool { return d.hosts[0].Figures().Asked > 20 })
	late := d.procs[4]
	d.kill(late)
	if a, err := d.procs[0].propose(fleetconfig.Proposal{ID: "leave", EvacuateZones: []string{"z2"}, Reason: "a test"}); err != nil || a.Revision != 2 {
		t.Fatalf("%+v, %v", a, err)
	}
	until(t, "being out", func() bool { least, _, _, hand := d.parts("z2"); return least == 1 && hand == 4 })
	d.start(late) // What it left behind it knows nothing of that.
	until(t, "knowing", func() bool {
		part, byHand, knows := late.partOf("z2")
		if knows && byHand && part < 1 {
			t.Fatalf("it starts with %v of the keys away", part)
		}
		return knows && byHand
	})
	// An upgrade meanwhile: until the one before has gone the new one hears no other, and goes nothing there all the same.
	young := *d.procs[2]
	young.listen, young.door = free(t), free(t)
	d.start(&young)
	until(t, "the new process knowing", func() bool {
		z := young.signalled().Zones
		return len(z) == 3 && z[2].ByHand && z[2].Part == 1
	})
	there := func() (n int) {
		for _, h := range d.zoneOf(2) {
			n += d.hosts[h].Figures().Asked
		}
		return n
	}
	before := there()
	ctx, enough := context.WithCancel(context.Background())
	clients := fakes.Ask(ctx, young.listen, fakes.Load{Rate: 200, Keys: 500, Seed: 77, Patience: 1500 * time.Millisecond})
	until(t, "answers of the new process", func() bool { return clients.Figures().Settled > 200 })
	enough()
	clients.Wait()
	if went := there() - before; went > 0 {
		t.Errorf("%d trips went to the zone that is left", went)
	}
	d.kill(&young)
	until(t, "accepting the return", func() bool {
		a, err := d.procs[0].propose(fleetconfig.Proposal{ID: "return", RestoreZones: []string{"z2"}})
		return err == nil && a.Revision == 3
	})
	until(t, "coming back", func() bool { least, most, _, _ := d.parts("z2"); return least > 0 && most < 0.85 })
	d.kill(late)
	d.start(late)
	until(t, "standing with the others", func() bool {
		part, _, knows := late.partOf("z2")
		return knows && part > 0
	})
	d.standsWith(t, "the one that started late", d.procs[1], func() float64 { part, _, _ := late.partOf("z2"); return part })
	// An upgrade: until the one before has gone it hears no other, and goes on from where that one stood.
	next := *d.procs[3]
	next.listen, next.door = free(t), free(t)
	d.start(&next)
	until(t, "the new process", func() bool { return len(next.signalled().Zones) > 0 })
	d.standsWith(t, "the new one", d.procs[1], func() float64 {
		for _, z := range next.signalled().Zones {
			if z.Zone == "z2" {
				return z.Part
			}
		}
		return 1 // It knows of none: all of the zone's keys would be away.
	})
	d.kill(d.procs[3])
	d.procs[3] = &next
	until(t, "being back", func() bool { _, most, _, _ := d.parts("z2"); return most == 0 })
	d.quiet()
}

// standsWith holds how far a process is on the way back from z2 against another, which is read before and after it: the way goes on
// between two readings, the longer the busier the machine is.
func (d *district) standsWith(t *testing.T, who string, other *process, part func() float64) {
	t.Helper()
	const off = 0.1
	before, _, _ := other.partOf("z2")
	its := part()
	after, _, _ := other.partOf("z2")
	if its < after-off || its > before+off || before < off {
		t.Errorf("%s stands at %v, another at %v and then %v", who, its, before, after)
	}
}

// TestOneThatStoodStillAmidTheWayBack: a process is stopped for some seconds while the fleet comes back to a zone. When it goes on it stands where the others
// do, and all end at the same place.
func TestOneThatStoodStillAmidTheWayBack(t *testing.T) {
	t.Parallel()
	d := newDistrict(t, 11, 5, 12, "")
	d.load(60, 500)
	until(t, "hosts in use", func() bool { return d.hosts[0].Figures().Asked > 20 })
	if a, err := d.procs[0].propose(fleetconfig.Proposal{ID: "leave", EvacuateZones: []string{"z2"}, Reason: "a test"}); err != nil || a.Revision != 2 {
		t.Fatalf("%+v, %v", a, err)
	}
	until(t, "being out", func() bool { least, _, _, hand := d.parts("z2"); return least == 1 && hand == 5 })
	until(t, "accepting the return", func() bool {
		a, err := d.procs[0].propose(fleetconfig.Proposal{ID: "return", RestoreZones: []string{"z2"}})
		return err == nil && a.Revision == 3
	})
	until(t, "coming back", func() bool { least, most, _, _ := d.parts("z2"); return least > 0 && most < 0.9 })
	d.stop(d.procs[3])
	until(t, "the others going on", func() bool { _, most, _, _ := d.parts("z2"); return most < 0.5 })
	d.goOn(d.procs[3])
	until(t, "standing with the others", func() bool {
		part, _, knows := d.procs[3].partOf("z2")
		others, _, _ := d.procs[1].partOf("z2")
		return knows && part < others+0.1 && part > others-0.1 && others > 0
	})
	until(t, "being back", func() bool { _, most, _, _ := d.parts("z2"); return most == 0 })
	if worst, wrong := check(d.trace(), terms.MaxPause); wrong != "" || worst > terms.MaxDisagreement() {
		t.Errorf("longest contradiction %v of %v; %s", worst, terms.MaxDisagreement(), wrong)
	}
	d.quiet()
}
