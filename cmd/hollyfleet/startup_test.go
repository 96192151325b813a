package main

import (
	"context"
	"testing"
	"time"

	"hollylever/fakes"
	"hollylever/fleetconfig"
)

// evacuationOf returns the share of the keys that a process does not send to a zone, and whether an operator
// evacuated it. known: the process has a lease, and a status of the zone.
func (p *process) evacuationOf(zone string) (share float64, byHand, known bool) {
	s, err := p.status()
	if err != nil || !s.Effective.IsLeased {
		return 0, false, false
	}
	for _, z := range p.adminStatus().Zones {
		if z.Zone == zone {
			return z.Share, z.EvacuatedByOperator, true
		}
	}
	return 0, false, false
}

// A process that was down while its fleet evacuated a zone sent requests there when it came back, and one that
// started during the recovery sent all keys to cold caches. The first has to send nothing there once it knows; the
// second has to start at the same point of the ramp as its peers; and the new process of an upgrade where the old one
// was.
func TestStartedProcessAdoptsPeersRamps(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 9, 5, 12, "")
	d.startLoad(60, 500)
	waitFor(t, "hosts in use", func() bool { return d.hosts[0].Figures().Requests > 20 })
	late := d.processes[4]
	d.kill(late)
	if a, err := d.processes[0].propose(fleetconfig.Proposal{ID: "leave", EvacuateZones: []string{"z2"}, Reason: "a test"}); err != nil || a.Revision != 2 {
		t.Fatalf("%+v, %v", a, err)
	}
	waitFor(t, "being out", func() bool { least, _, _, hand := d.evacuation("z2"); return least == 1 && hand == 4 })
	d.start(late) // What it left behind it knows nothing of that.
	waitFor(t, "knowing", func() bool {
		part, byHand, knows := late.evacuationOf("z2")
		if knows && byHand && part < 1 {
			t.Fatalf("it starts with %v of the keys away", part)
		}
		return knows && byHand
	})
	// An upgrade meanwhile: until the one before has gone the new one hears no other, and goes nothing there all the
	// same.
	young := *d.processes[2]
	young.clientAddress, young.adminAddress = freeAddress(t), freeAddress(t)
	d.start(&young)
	waitFor(t, "the new process knowing", func() bool {
		z := young.adminStatus().Zones
		return len(z) == 3 && z[2].EvacuatedByOperator && z[2].Share == 1
	})
	there := func() (n int) {
		for _, h := range d.hostsOfZone(2) {
			n += d.hosts[h].Figures().Requests
		}
		return n
	}
	before := there()
	ctx, enough := context.WithCancel(context.Background())
	clients := fakes.Ask(ctx, young.clientAddress, fakes.Load{Rate: 200, Keys: 500, Seed: 77, Patience: 1500 * time.Millisecond})
	waitFor(t, "answers of the new process", func() bool { return clients.Figures().Settled > 200 })
	enough()
	clients.Wait()
	if went := there() - before; went > 0 {
		t.Errorf("%d attempts went to the evacuated zone", went)
	}
	d.kill(&young)
	waitFor(t, "accepting the return", func() bool {
		a, err := d.processes[0].propose(fleetconfig.Proposal{ID: "return", RestoreZones: []string{"z2"}})
		return err == nil && a.Revision == 3
	})
	waitFor(t, "coming back", func() bool { least, most, _, _ := d.evacuation("z2"); return least > 0 && most < 0.85 })
	d.kill(late)
	d.start(late)
	waitFor(t, "standing with the others", func() bool {
		part, _, knows := late.evacuationOf("z2")
		return knows && part > 0
	})
	d.requireRampNear(t, "the one that started late", d.processes[1], func() float64 { part, _, _ := late.evacuationOf("z2"); return part })
	// An upgrade: until the one before has gone it hears no other, and goes on from where that one stood.
	next := *d.processes[3]
	next.clientAddress, next.adminAddress = freeAddress(t), freeAddress(t)
	d.start(&next)
	waitFor(t, "the new process", func() bool { return len(next.adminStatus().Zones) > 0 })
	d.requireRampNear(t, "the new one", d.processes[1], func() float64 {
		for _, z := range next.adminStatus().Zones {
			if z.Zone == "z2" {
				return z.Share
			}
		}
		return 1 // It knows of none: all of the zone's keys would be away.
	})
	d.kill(d.processes[3])
	d.processes[3] = &next
	waitFor(t, "being back", func() bool { _, most, _, _ := d.evacuation("z2"); return most == 0 })
	d.stopLoad()
}

// requireRampNear holds a process's ramp back into z2 against that of another, which is read before and after it: the
// ramp advances between two readings, the more the busier the machine is.
func (d *deployment) requireRampNear(t *testing.T, who string, other *process, part func() float64) {
	t.Helper()
	const off = 0.1
	before, _, _ := other.evacuationOf("z2")
	its := part()
	after, _, _ := other.evacuationOf("z2")
	if its < after-off || its > before+off || before < off {
		t.Errorf("%s stands at %v, another at %v and then %v", who, its, before, after)
	}
}

// A process is suspended for some seconds while the fleet comes back to a zone. When it resumes, its ramp has to be
// where its peers' are, or the zone's caches get its keys at another time than theirs.
func TestSuspendedProcessCatchesUpWithPeersRamps(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 11, 5, 12, "")
	d.startLoad(60, 500)
	waitFor(t, "hosts in use", func() bool { return d.hosts[0].Figures().Requests > 20 })
	if a, err := d.processes[0].propose(fleetconfig.Proposal{ID: "leave", EvacuateZones: []string{"z2"}, Reason: "a test"}); err != nil || a.Revision != 2 {
		t.Fatalf("%+v, %v", a, err)
	}
	waitFor(t, "being out", func() bool { least, _, _, hand := d.evacuation("z2"); return least == 1 && hand == 5 })
	waitFor(t, "accepting the return", func() bool {
		a, err := d.processes[0].propose(fleetconfig.Proposal{ID: "return", RestoreZones: []string{"z2"}})
		return err == nil && a.Revision == 3
	})
	waitFor(t, "coming back", func() bool { least, most, _, _ := d.evacuation("z2"); return least > 0 && most < 0.9 })
	d.suspend(d.processes[3])
	waitFor(t, "the others going on", func() bool { _, most, _, _ := d.evacuation("z2"); return most < 0.5 })
	d.resume(d.processes[3])
	waitFor(t, "standing with the others", func() bool {
		part, _, knows := d.processes[3].evacuationOf("z2")
		others, _, _ := d.processes[1].evacuationOf("z2")
		return knows && part < others+0.1 && part > others-0.1 && others > 0
	})
	waitFor(t, "being back", func() bool { _, most, _, _ := d.evacuation("z2"); return most == 0 })
	if worst, wrong := checkTrace(d.mergedTrace(), leaseTiming.MaxPause); wrong != "" || worst > leaseTiming.MaxDisagreement() {
		t.Errorf("longest contradiction %v of %v; %s", worst, leaseTiming.MaxDisagreement(), wrong)
	}
	d.stopLoad()
}
