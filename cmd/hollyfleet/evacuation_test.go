package main

import (
	"fmt"
	"testing"
	"time"

	"hollylever/fleetconfig"
)

// evacuation returns the least and the greatest share of the keys, over all processes, that is not sent to a zone,
// and how many processes know it as evacuated automatically and by an operator.
func (d *deployment) evacuation(zone string) (least, most float64, fails, byHand int) {
	least = 1
	for _, p := range d.processes {
		if p.cmd == nil || p.isSuspended {
			continue
		}
		for _, z := range p.adminStatus().Zones {
			if z.Zone != zone {
				continue
			}
			least, most = min(least, z.Share), max(most, z.Share)
			if z.EvacuatedAutomatically {
				fails++
			}
			if z.EvacuatedByOperator {
				byHand++
			}
		}
	}
	return least, most, fails, byHand
}

// hostsOfZone returns the hosts of a zone.
func (d *deployment) hostsOfZone(zone int) (hosts []int) {
	for h := range d.hosts {
		if h%d.zoneCount == zone {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// restartHosts has hosts come back cold and empty, as the list then tells.
func (d *deployment) restartHosts(hosts []int) {
	d.t.Helper()
	entries := map[string]string{}
	for _, h := range hosts {
		if err := d.hosts[h].Restart(); err != nil {
			d.t.Fatal(err)
		}
		entries[d.hosts[h].Name] = d.entry(h, "Ready", d.hosts[h].Figures().Started.UnixMilli())
	}
	d.discovery.UpdateEntries(entries)
}

// All hosts of a zone hang while the list calls them ready, and requests time out there one by one. The fleet has to
// evacuate the zone as a whole, by one revision, and to come back in steps when the hosts are up, cold: no host may
// be overrun. A relapse on the way is one more revision.
func TestFailingZoneIsEvacuatedAndRecovered(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 4, 6, 12, "")
	d.startLoad(60, 500)
	waitFor(t, "hosts in use", func() bool { return d.hosts[0].Figures().Requests > 20 })
	zone := d.hostsOfZone(1)
	for round := range 2 {
		var goOn []func()
		for _, h := range zone {
			goOn = append(goOn, d.hosts[h].Hang())
		}
		waitFor(t, "leaving", func() bool { _, most, _, _ := d.evacuation("z1"); return most == 1 })
		began := time.Now()
		waitFor(t, "all leaving", func() bool { least, _, fails, _ := d.evacuation("z1"); return least == 1 && fails == len(d.processes) })
		t.Logf("round %d: the last left %v after the first was seen to", round, time.Since(began))
		for _, f := range goOn {
			f()
		}
		d.restartHosts(zone)
		if round == 0 { // A relapse half-way back.
			waitFor(t, "coming back", func() bool { _, most, fails, _ := d.evacuation("z1"); return fails == 0 && most < 0.8 })
			if least, _, _, _ := d.evacuation("z1"); least == 0 {
				t.Error("it is come back to at once")
			}
		}
	}
	waitFor(t, "being back", func() bool { _, most, fails, _ := d.evacuation("z1"); return most == 0 && fails == 0 })
	for _, h := range zone {
		if f := d.hosts[h].Figures(); f.Overloads > 0 {
			t.Errorf("%s was overloaded while cold: %d commands, want none", d.hosts[h].Name, f.Overloads)
		}
	}
	if ids := d.processes[0].history(t); len(ids) != 4 {
		t.Errorf("%d revisions, not one for each direction: %v", len(ids), ids)
	}
	if f := d.stopLoad(); f.Wrong > 0 || d.origin.Twice() > 0 || f.Settled < f.Asked*8/10 {
		t.Errorf("%+v, %d twice", f, d.origin.Twice())
	}
}

// One host of a zone hangs. Its ejection is enough: nobody may evacuate the zone for it.
func TestOneFailingEndpointEvacuatesNoZone(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 5, 6, 12, "")
	d.startLoad(60, 500)
	waitFor(t, "hosts in use", func() bool { return d.hosts[0].Figures().Requests > 20 })
	goOn := d.hosts[1].Hang()
	waitFor(t, "leaving the host", func() bool { return d.countEjections(d.hosts[1].Name) == len(d.processes) })
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) { // That long nobody leaves more.
		if _, most, fails, _ := d.evacuation("z1"); most > 0 || fails > 0 {
			t.Fatal("its zone is left")
		}
	}
	goOn()
	d.stopLoad()
}

// An operator has the fleet evacuate a zone whose hosts work, for maintenance. Nothing may be sent there once the
// ramp is over, the fleet must not return by itself, not even when the leader is killed, and it has to return when
// told to.
func TestOperatorsEvacuationLastsUntilToldToReturn(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 6, 5, 12, "")
	d.startLoad(60, 500)
	waitFor(t, "hosts in use", func() bool { return d.hosts[0].Figures().Requests > 20 })
	if a, err := d.processes[4].propose(fleetconfig.Proposal{ID: "leave", EvacuateZones: []string{"z2"}, Reason: "a test"}); err != nil || a.Revision != 2 {
		t.Fatalf("%+v, %v", a, err)
	}
	waitFor(t, "being half-way out", func() bool { least, _, _, _ := d.evacuation("z2"); return least > 0.3 })
	s, _ := d.processes[4].status()
	var killed *process
	for _, p := range d.processes[:3] {
		if p.name == s.Leader {
			d.kill(p)
			killed = p
		}
	}
	waitFor(t, "being out", func() bool { least, _, _, hand := d.evacuation("z2"); return least == 1 && hand == 4 })
	time.Sleep(time.Second) // What is under way ends.
	count := func() (n int) {
		for _, h := range d.hostsOfZone(2) {
			n += d.hosts[h].Figures().Requests
		}
		return n
	}
	before := count()
	time.Sleep(4 * time.Second) // That long nothing goes there, though the hosts are well.
	if went := count() - before; went > 0 {
		t.Errorf("%d attempts went there", went)
	}
	if killed != nil { // One that starts does not go there to leave it in steps.
		d.start(killed)
		part := -1.0
		waitFor(t, "the one that starts", func() bool {
			for _, z := range killed.adminStatus().Zones {
				if z.Zone == "z2" && part < 0 {
					part = z.Share
				}
			}
			return part >= 0
		})
		if part != 1 {
			t.Errorf("%s starts with %v of the keys away", killed.name, part)
		}
	}
	waitFor(t, "accepting the return", func() bool {
		a, err := d.processes[4].propose(fleetconfig.Proposal{ID: fmt.Sprint("return", time.Now().UnixNano()), RestoreZones: []string{"z2"}})
		return err == nil && a.Revision == 3
	})
	waitFor(t, "being back", func() bool { _, most, _, _ := d.evacuation("z2"); return most == 0 })
	before = count()
	waitFor(t, "attempts there", func() bool { return count() > before+20 })
	d.stopLoad()
}

// A zone is cut off: its hosts answer the balancers in it and nobody else. Those have to go on using the zone, the
// others have to leave its hosts, and all requests are answered.
func TestZoneReachableFromInsideOnlyServesItsOwn(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 7, 6, 12, "")
	for n, p := range d.processes {
		if n%d.zoneCount != 1 {
			defer d.restartUnableToReach(p, func(h int) bool { return h%d.zoneCount == 1 }).Close()
		}
	}
	d.waitForAgreement(1)
	d.startLoad(60, 500)
	waitFor(t, "the others leaving its hosts", func() bool {
		for n, p := range d.processes {
			left := 0
			for _, h := range p.adminStatus().Outliers.Hosts {
				if h.Ejected {
					left++
				}
			}
			if n%d.zoneCount != 1 && left < 3 {
				return false
			}
		}
		return true
	})
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) { // That long its own go on.
		for n, p := range d.processes {
			for _, z := range p.adminStatus().Zones {
				if n%d.zoneCount == 1 && z.Zone == "z1" && z.Share > 0 {
					t.Fatalf("%s leaves its own zone: %+v", p.name, z)
				}
			}
		}
	}
	before := 0
	for _, h := range d.hostsOfZone(1) {
		before += d.hosts[h].Figures().Requests
	}
	waitFor(t, "its own using it", func() bool {
		now := 0
		for _, h := range d.hostsOfZone(1) {
			now += d.hosts[h].Figures().Requests
		}
		return now > before+50
	})
	d.requireAllAnswered()
}

// A second zone fails while the fleet returns to the first, and the leader is suspended at that moment. The first
// recovery has to go on, and the second zone has to be evacuated and recovered too.
func TestSecondZoneFailsDuringRecovery(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 8, 6, 12, "")
	d.startLoad(60, 500)
	waitFor(t, "hosts in use", func() bool { return d.hosts[0].Figures().Requests > 20 })
	hang := func(zone int) (goOn func()) {
		var all []func()
		for _, h := range d.hostsOfZone(zone) {
			all = append(all, d.hosts[h].Hang())
		}
		return func() {
			for _, f := range all {
				f()
			}
		}
	}
	back := hang(1)
	waitFor(t, "all leaving z1", func() bool { least, _, _, _ := d.evacuation("z1"); return least == 1 })
	back()
	waitFor(t, "z1 coming back", func() bool { _, most, fails, _ := d.evacuation("z1"); return fails == 0 && most < 0.9 })
	s, _ := d.processes[5].status()
	var led *process
	for _, p := range d.processes[:3] {
		if p.name == s.Leader {
			led = p
		}
	}
	backToo := hang(2)
	if led != nil {
		d.suspend(led)
	}
	waitFor(t, "all leaving z2", func() bool { least, _, _, _ := d.evacuation("z2"); return least == 1 })
	if led != nil {
		d.resume(led)
	}
	waitFor(t, "z1 being back", func() bool { _, most, _, _ := d.evacuation("z1"); return most == 0 })
	backToo()
	waitFor(t, "z2 being back", func() bool { least, most, fails, _ := d.evacuation("z2"); return least == 0 && most == 0 && fails == 0 })
	all, late := judgeStops(d.mergedTrace(), leaseTiming.MaxPause, 1)
	if worst, wrong := checkTrace(all, leaseTiming.MaxPause); late != "" || wrong != "" || worst > leaseTiming.MaxDisagreement() {
		t.Errorf("longest contradiction %v of %v; %s%s", worst, leaseTiming.MaxDisagreement(), wrong, late)
	}
	if f := d.stopLoad(); f.Wrong > 0 || d.origin.Twice() > 0 || f.Settled < f.Asked*8/10 {
		t.Errorf("%+v, %d twice", f, d.origin.Twice())
	}
}

// All hosts of a zone crash, refuse connections, and come back cold, while the list calls them ready and the origin
// is slow. The zone has to be evacuated by one revision and recovered by another, and no host may be overrun.
func TestZoneOfCrashedEndpointsIsEvacuatedAndRecovered(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 10, 6, 24, "")
	d.origin.Takes(60 * time.Millisecond)
	d.startLoad(60, 500)
	waitFor(t, "hosts in use", func() bool { return d.hosts[0].Figures().Requests > 20 })
	zone := d.hostsOfZone(1)
	for _, h := range zone {
		d.hosts[h].Crash()
	}
	waitFor(t, "all leaving", func() bool { least, _, fails, _ := d.evacuation("z1"); return least == 1 && fails == len(d.processes) })
	d.restartHosts(zone)
	waitFor(t, "being back", func() bool { _, most, fails, _ := d.evacuation("z1"); return most == 0 && fails == 0 })
	for _, h := range zone {
		if f := d.hosts[h].Figures(); f.Overloads > 0 {
			t.Errorf("%s was overloaded while cold: %d commands, want none", d.hosts[h].Name, f.Overloads)
		}
	}
	if ids := d.processes[0].history(t); len(ids) != 2 {
		t.Errorf("%d revisions, not one for each direction: %v", len(ids), ids)
	}
	f := d.stopLoad()
	if f.Wrong > 0 || d.origin.Twice() > 0 || f.Settled < f.Asked*8/10 {
		t.Errorf("%+v, %d twice", f, d.origin.Twice())
	}
	t.Logf("%+v", f)
}
