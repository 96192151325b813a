// Package zones decides when a fleet leaves a zone whose hosts fail and when it comes back, and how far each process has come on the way. It
// is pure: the clock and what was seen are handed in. A Watch is what the process that leads has: it says what to propose, and a
// majority of the keepers decides (agreed's field zones left). A Path is what every process has for each zone: which part of the keys does
// not go there now.
//
// What it promises: nobody leaves on the word of one balancer, one zone, or on one host; the last zone is never left, nor one without which too little
// is left; no more than one change of a zone in each hold, which doubles with each return that does not last; and a way back is taken in
// steps, each key once, for all processes the same keys first.
package evacuation

import "slices"

const (
	ms       = int64(1e6)
	failing  = 0.6       // of a zone's hosts that several processes call failing: the zone fails
	settled  = 0.2       // and at most so many: it does not any more
	fewest   = 2         // hosts that fail, so that one alone is no zone
	sure     = 300 * ms  // for so long
	calm     = 3000 * ms // and for so long before it is come back to, doubled with each relapse
	mostCalm = 64 * calm
	forgets  = 300_000 * ms // a return that lasted so long did last
	Steps    = 32           // on the way out and back
	mostLag  = 4            // while reads miss for all, a step takes so many times as long
)

// Remains is the part of all hosts that has to be left without a zone.
const MinRemainingShare = 1.0 / 3

// Fails marks a zone that the fleet left by itself, beside those that operators left: "fails:z". Both may stand together; each is taken back alone.
const AutomaticPrefix = "fails:"

// View is a zone as the fleet's signals show it: how many hosts it has, and how many of them several processes call failing.
type ZoneHealth struct {
	Zone               string
	Endpoints, Failing int
}

// Say is what a Watch would have proposed: to leave a zone or to come back, and why.
type Proposal struct {
	Zone     string
	Evacuate bool
	Reason   string
	ZoneHealth
}

type watched struct {
	since    int64 // that it has failed, or been well, without a break; 0: not
	returned int64
	relapses int
	said     int64
	stays    bool // it fails and is not left, and that was said
}

// Watch looks at all zones. A new one, as after another has come to lead, knows of no relapses.
type Controller struct{ zones map[string]*watched }

const again = 1000 * ms // between two proposals of the same

// Look gives what to propose now, given which zones are left (by themselves, or by operators). stays: a zone fails and is not left, as too
// little would remain; it is told once.
func (w *Controller) Tick(now int64, views []ZoneHealth, left []string) (say []Proposal, stays []ZoneHealth) {
	if w.zones == nil {
		w.zones = map[string]*watched{}
	}
	all, used, usedZones := 0, 0, 0
	for _, v := range views {
		all += v.Endpoints
		if !slices.Contains(left, v.Zone) && !slices.Contains(left, AutomaticPrefix+v.Zone) {
			used += v.Endpoints
			usedZones++
		}
	}
	for _, v := range views {
		z := w.zones[v.Zone]
		if z == nil {
			z = &watched{}
			w.zones[v.Zone] = z
		}
		gone := slices.Contains(left, AutomaticPrefix+v.Zone)
		bad := v.Endpoints > 0 && float64(v.Failing) >= failing*float64(v.Endpoints) && v.Failing >= min(fewest, v.Endpoints)
		well := float64(v.Failing) <= settled*float64(v.Endpoints)
		if gone && !well || !gone && !bad {
			z.since, z.stays = 0, false
			continue
		}
		if z.since == 0 {
			z.since = now
		}
		hold := sure
		if gone {
			hold = min(mostCalm, calm<<min(z.relapses, 6))
		} else if z.returned != 0 && now-z.returned < forgets {
			hold = max(sure, min(mostCalm, calm<<min(z.relapses, 6))-(now-z.returned))
		}
		if now-z.since < hold || now-z.said < again {
			continue
		}
		if gone {
			z.said, z.returned, z.since = now, now, 0
			say = append(say, Proposal{v.Zone, false, "its hosts settle again", v})
			continue
		}
		inUse := !slices.Contains(left, v.Zone)
		if inUse && (usedZones <= 1 || float64(used-v.Endpoints) < MinRemainingShare*float64(all)) {
			if !z.stays {
				z.stays = true
				stays = append(stays, v)
			}
			continue
		}
		if z.returned != 0 && now-z.returned < forgets {
			z.relapses++
		} else {
			z.relapses = 0
		}
		z.said, z.since = now, 0
		say = append(say, Proposal{v.Zone, true, "its hosts fail for several", v})
		if inUse { // The next one is judged by what remains then.
			used, usedZones = used-v.Endpoints, usedZones-1
		}
	}
	return say, stays
}

// Path is how far a process has come out of a zone, or back: the part of the keys that does not go there.
type Ramp struct {
	part float64
	at   int64
}

// Terms are how long the ways take.
type RampDurations struct {
	EvacuationNanos int64 // out of a zone that an operator left; one that fails is left at once, as it gives nothing to who stays
	RecoveryNanos   int64 // back: as long as its hosts take to be warm, and half of that more
}

// Begin has a process that starts stand where the others do: they may be on the way back to a zone whose hosts are cold.
func (p *Ramp) Start(part float64) {
	if !(part >= 0 && part <= 1) { // Not a number, either.
		part = 1
	}
	*p = Ramp{part: part}
}

// Stands is where it was, and when: for the process that comes after this one.
func (p *Ramp) Position() (part float64, at int64) { return p.part, p.at }

// Recall has it go on from where the process before this one stood, at a time that may be another clock's.
func (p *Ramp) Resume(part float64, at, now int64) {
	p.Start(part)
	p.at = max(1, min(at, now))
}

// Look moves on. left: which zones are; own: this process's zone, of which it sees itself that it does not fail: it stays there, as a zone that
// only its own balancers reach goes on for them, but not where an operator left it. slow: reads miss for all, and each step takes longer.
func (p *Ramp) Advance(now int64, zone string, left []string, own, slow bool, t RampDurations) float64 {
	fails, byHand := slices.Contains(left, AutomaticPrefix+zone) && !own, slices.Contains(left, zone)
	passed := float64(max(0, now-p.at))
	if p.at == 0 { // It has just started: what is left already it never goes to.
		if passed = 0; byHand {
			p.part = 1
		}
	}
	if p.at = now; slow {
		passed /= mostLag
	}
	switch {
	case fails:
		p.part = 1
	case byHand:
		p.part = min(1, p.part+passed/float64(max(1, t.EvacuationNanos)))
	default:
		p.part = max(0, p.part-passed/float64(max(1, t.RecoveryNanos)))
	}
	return p.Part()
}

// Part is the part in whole steps, so that processes whose clocks differ little send the same keys.
func (p *Ramp) Part() float64 {
	steps := int(p.part*Steps + 0.999999)
	return float64(steps) / Steps
}
