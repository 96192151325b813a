package main

import (
	"fmt"
	"testing"
	"time"

	"hollylever/fleetconfig"
)

// parts is the least and the most of the keys that stay away from a zone, over all processes, and how many versions speak of it.
func (d *district) parts(zone string) (least, most float64, fails, byHand int) {
	least = 1
	for _, p := range d.procs {
		if p.cmd == nil || p.stopped {
			continue
		}
		for _, z := range p.signalled().Zones {
			if z.Zone != zone {
				continue
			}
			least, most = min(least, z.Part), max(most, z.Part)
			if z.Fails {
				fails++
			}
			if z.ByHand {
				byHand++
			}
		}
	}
	return least, most, fails, byHand
}

// zoneOf gives the hosts of a zone.
func (d *district) zoneOf(zone int) (hosts []int) {
	for h := range d.hosts {
		if h%d.zones == zone {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// restart has hosts come back cold and empty, as the list tells.
func (d *district) restart(hosts []int) {
	d.t.Helper()
	entries := map[string]string{}
	for _, h := range hosts {
		if err := d.hosts[h].Restart(); err != nil {
			d.t.Fatal(err)
		}
		entries[d.hosts[h].Name] = d.entry(h, "Ready", d.hosts[h].Figures().Started.UnixMilli())
	}
	d.list.Tell(entries)
}

// TestAZoneThatFailsIsLeft: its hosts hang while the list calls them ready. The fleet leaves it, all processes within a second of each other and by one
// version; when they are back, cold, it comes back in steps, and no host is pushed over. A relapse on the way is one more version.
func TestAZoneThatFailsIsLeft(t *testing.T) {
	t.Parallel()
	d := newDistrict(t, 4, 6, 12, "")
	d.load(60, 500)
	until(t, "hosts in use", func() bool { return d.hosts[0].Figures().Asked > 20 })
	zone := d.zoneOf(1)
	for round := range 2 {
		var goOn []func()
		for _, h := range zone {
			goOn = append(goOn, d.hosts[h].Hang())
		}
		until(t, "leaving", func() bool { _, most, _, _ := d.parts("z1"); return most == 1 })
		began := time.Now()
		until(t, "all leaving", func() bool { least, _, fails, _ := d.parts("z1"); return least == 1 && fails == len(d.procs) })
		t.Logf("round %d: the last left %v after the first was seen to", round, time.Since(began))
		for _, f := range goOn {
			f()
		}
		d.restart(zone)
		if round == 0 { // A relapse half-way back.
			until(t, "coming back", func() bool { _, most, fails, _ := d.parts("z1"); return fails == 0 && most < 0.8 })
			if least, _, _, _ := d.parts("z1"); least == 0 {
				t.Error("it is come back to at once")
			}
		}
	}
	until(t, "being back", func() bool { _, most, fails, _ := d.parts("z1"); return most == 0 && fails == 0 })
	for _, h := range zone {
		if f := d.hosts[h].Figures(); f.Pushed > 0 {
			t.Errorf("%s was pushed over: %d", d.hosts[h].Name, f.Pushed)
		}
	}
	if ids := d.procs[0].history(t); len(ids) != 4 {
		t.Errorf("%d versions, not one for each way: %v", len(ids), ids)
	}
	if f := d.quiet(); f.Wrong > 0 || d.origin.Twice() > 0 || f.Settled < f.Asked*8/10 {
		t.Errorf("%+v, %d twice", f, d.origin.Twice())
	}
}

// TestOneHostIsNoZone: one host of a zone fails, and one process's own network: nobody leaves the zone.
func TestOneHostIsNoZone(t *testing.T) {
	t.Parallel()
	d := newDistrict(t, 5, 6, 12, "")
	d.load(60, 500)
	until(t, "hosts in use", func() bool { return d.hosts[0].Figures().Asked > 20 })
	goOn := d.hosts[1].Hang()
	until(t, "leaving the host", func() bool { return d.left(d.hosts[1].Name) == len(d.procs) })
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) { // That long nobody leaves more.
		if _, most, fails, _ := d.parts("z1"); most > 0 || fails > 0 {
			t.Fatal("its zone is left")
		}
	}
	goOn()
	d.quiet()
}

// TestAZoneLeftByHand: an operator has the fleet leave a zone whose hosts are well. Nothing goes there once all are out; the fleet does not come back by
// itself, also when who leads is killed; told to return it does.
func TestAZoneLeftByHand(t *testing.T) {
	t.Parallel()
	d := newDistrict(t, 6, 5, 12, "")
	d.load(60, 500)
	until(t, "hosts in use", func() bool { return d.hosts[0].Figures().Asked > 20 })
	if a, err := d.procs[4].propose(fleetconfig.Proposal{ID: "leave", EvacuateZones: []string{"z2"}, Reason: "a test"}); err != nil || a.Revision != 2 {
		t.Fatalf("%+v, %v", a, err)
	}
	until(t, "being half-way out", func() bool { least, _, _, _ := d.parts("z2"); return least > 0.3 })
	s, _ := d.procs[4].status()
	var killed *process
	for _, p := range d.procs[:3] {
		if p.name == s.Leads {
			d.kill(p)
			killed = p
		}
	}
	until(t, "being out", func() bool { least, _, _, hand := d.parts("z2"); return least == 1 && hand == 4 })
	time.Sleep(time.Second) // What is under way ends.
	count := func() (n int) {
		for _, h := range d.zoneOf(2) {
			n += d.hosts[h].Figures().Asked
		}
		return n
	}
	before := count()
	time.Sleep(4 * time.Second) // That long nothing goes there, though the hosts are well.
	if went := count() - before; went > 0 {
		t.Errorf("%d trips went there", went)
	}
	if killed != nil { // One that starts does not go there to leave it in steps.
		d.start(killed)
		part := -1.0
		until(t, "the one that starts", func() bool {
			for _, z := range killed.signalled().Zones {
				if z.Zone == "z2" && part < 0 {
					part = z.Part
				}
			}
			return part >= 0
		})
		if part != 1 {
			t.Errorf("%s starts with %v of the keys away", killed.name, part)
		}
	}
	until(t, "accepting the return", func() bool {
		a, err := d.procs[4].propose(fleetconfig.Proposal{ID: fmt.Sprint("return", time.Now().UnixNano()), RestoreZones: []string{"z2"}})
		return err == nil && a.Revision == 3
	})
	until(t, "being back", func() bool { _, most, _, _ := d.parts("z2"); return most == 0 })
	before = count()
	until(t, "trips there", func() bool { return count() > before+20 })
	d.quiet()
}

// TestAZoneThatOnlyItsOwnReach: the hosts of a zone answer its own balancers and nobody else. Those go on there, the others leave it or its hosts, and all is
// settled.
func TestAZoneThatOnlyItsOwnReach(t *testing.T) {
	t.Parallel()
	d := newDistrict(t, 7, 6, 12, "")
	for n, p := range d.procs {
		if n%d.zones != 1 {
			defer d.unreached(p, func(h int) bool { return h%d.zones == 1 }).Close()
		}
	}
	d.agree(1)
	d.load(60, 500)
	until(t, "the others leaving its hosts", func() bool {
		for n, p := range d.procs {
			left := 0
			for _, h := range p.signalled().Signals.Hosts {
				if h.Heeded {
					left++
				}
			}
			if n%d.zones != 1 && left < 3 {
				return false
			}
		}
		return true
	})
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) { // That long its own go on.
		for n, p := range d.procs {
			for _, z := range p.signalled().Zones {
				if n%d.zones == 1 && z.Zone == "z1" && z.Part > 0 {
					t.Fatalf("%s leaves its own zone: %+v", p.name, z)
				}
			}
		}
	}
	before := 0
	for _, h := range d.zoneOf(1) {
		before += d.hosts[h].Figures().Asked
	}
	until(t, "its own using it", func() bool {
		now := 0
		for _, h := range d.zoneOf(1) {
			now += d.hosts[h].Figures().Asked
		}
		return now > before+50
	})
	d.kept()
}

// TestASecondZoneFailsDuringTheReturn: and who leads is stopped as it does. The first goes on coming back, the second is left and come back to.
func TestASecondZoneFailsDuringTheReturn(t *testing.T) {
	t.Parallel()
	d := newDistrict(t, 8, 6, 12, "")
	d.load(60, 500)
	until(t, "hosts in use", func() bool { return d.hosts[0].Figures().Asked > 20 })
	hang := func(zone int) (goOn func()) {
		var all []func()
		for _, h := range d.zoneOf(zone) {
			all = append(all, d.hosts[h].Hang())
		}
		return func() {
			for _, f := range all {
				f()
			}
		}
	}
	back := hang(1)
	until(t, "all leaving z1", func() bool { least, _, _, _ := d.parts("z1"); return least == 1 })
	back()
	until(t, "z1 coming back", func() bool { _, most, fails, _ := d.parts("z1"); return fails == 0 && most < 0.9 })
	s, _ := d.procs[5].status()
	var led *process
	for _, p := range d.procs[:3] {
		if p.name == s.Leads {
			led = p
		}
	}
	backToo := hang(2)
	if led != nil {
		d.stop(led)
	}
	until(t, "all leaving z2", func() bool { least, _, _, _ := d.parts("z2"); return least == 1 })
	if led != nil {
		d.goOn(led)
	}
	until(t, "z1 being back", func() bool { _, most, _, _ := d.parts("z1"); return most == 0 })
	backToo()
	until(t, "z2 being back", func() bool { least, most, fails, _ := d.parts("z2"); return least == 0 && most == 0 && fails == 0 })
	if worst, wrong := check(d.trace(), terms.MaxPause); wrong != "" || worst > terms.MaxDisagreement() {
		t.Errorf("longest contradiction %v of %v; %s", worst, terms.MaxDisagreement(), wrong)
	}
	if f := d.quiet(); f.Wrong > 0 || d.origin.Twice() > 0 || f.Settled < f.Asked*8/10 {
		t.Errorf("%+v, %d twice", f, d.origin.Twice())
	}
}

// TestAZoneWhoseHostsCrash: they take no connection, while the list calls them ready and the origin is slow all the while. It is left by one version, and come
// back to when they are up again, cold: no host is pushed over.
func TestAZoneWhoseHostsCrash(t *testing.T) {
	t.Parallel()
	d := newDistrict(t, 10, 6, 24, "")
	d.origin.Takes(60 * time.Millisecond)
	d.load(60, 500)
	until(t, "hosts in use", func() bool { return d.hosts[0].Figures().Asked > 20 })
	zone := d.zoneOf(1)
	for _, h := range zone {
		d.hosts[h].Down()
	}
	until(t, "all leaving", func() bool { least, _, fails, _ := d.parts("z1"); return least == 1 && fails == len(d.procs) })
	d.restart(zone)
	until(t, "being back", func() bool { _, most, fails, _ := d.parts("z1"); return most == 0 && fails == 0 })
	for _, h := range zone {
		if f := d.hosts[h].Figures(); f.Pushed > 0 {
			t.Errorf("%s was pushed over: %d", d.hosts[h].Name, f.Pushed)
		}
	}
	if ids := d.procs[0].history(t); len(ids) != 2 {
		t.Errorf("%d versions, not one for each way: %v", len(ids), ids)
	}
	f := d.quiet()
	if f.Wrong > 0 || d.origin.Twice() > 0 || f.Settled < f.Asked*8/10 {
		t.Errorf("%+v, %d twice", f, d.origin.Twice())
	}
	t.Logf("%+v", f)
}
