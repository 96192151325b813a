package outlier

import (
	"errors"
	"math"
	"slices"
)

var errLarge = errors.New("over the bound of a signal")

// evidence is what is said of a host: by how many, from how many zones, how many failures in a row in all; the newest failure, and the
// newest that somebody of this zone told of.
type evidence struct {
	witnesses, zones, runs int
	newest, near           int64
}

// said gathers what this balancer saw and what others said no longer ago than that.
func (b *Detector) said(now int64, h *host, lately int64) (e evidence) {
	b.set.clear()
	count := func(zone uint16, run int, first, failed int64) {
		if run == 0 || now-failed >= lately || failed < h.good {
			return
		}
		if first < h.good { // Guards busy hosts: this balancer saw it settle meanwhile, so no more than the last of these may count.
			run = 1
		}
		e.witnesses++
		e.runs += min(run, mostCounts)
		if b.set.add(zone) {
			e.zones++
		}
		e.newest = max(e.newest, failed)
		if zone == b.me.Zone {
			e.near = max(e.near, failed)
		}
	}
	count(b.me.Zone, h.run, h.failed, h.failed)
	for _, w := range h.words {
		count(w.zone, int(w.run), w.first, w.failed)
	}
	return e
}

// agrees tells whether several agree that a host fails: two at least, of two zones where the fleet has more, and beyond what chance explains.
// With failures as rare as f, so many in a row at so many of n balancers come about by chance at f^runs n^witnesses of the hosts.
func (b *Detector) agrees(e evidence) bool {
	return e.witnesses >= 2 && e.zones >= min(2, b.zones) &&
		float64(e.runs)*math.Log(1/b.rare()) >= float64(e.witnesses)*math.Log(float64(len(b.all)))+math.Log(unlikely*float64(b.listed+1))
}

// settles is when somebody whose word counts here saw the host settle last: this one, one of its zone, or anybody since it failed for this zone
// last. So a zone that only its own balancers reach goes on for them, and one that others do not reach is left by these, but for a try
// now and then. elsewhere is when somebody of another zone did.
func (b *Detector) settles(h *host, near int64) (last, elsewhere int64) {
	last = h.good
	for _, w := range h.words {
		switch {
		case w.run > 0:
		case w.zone == b.me.Zone || w.failed > near:
			last = max(last, w.failed)
		default:
			elsewhere = max(elsewhere, w.failed)
		}
	}
	return last, elsewhere
}

// Look makes up what is heeded, at each turn of the caller's clock and whenever something came.
func (b *Detector) Tick(now int64) {
	b.heeding, b.kept = 0, 0
	for id, h := range b.active {
		h.words = slices.DeleteFunc(h.words, func(w heard) bool { return now-w.failed > 2*Lasts && now-w.at > 2*Lasts })
		b.kept += len(h.words)
		b.heed(now, id, h)
		if h.since != 0 && h.back == 0 {
			b.heeding++
		}
		if h.since == 0 && len(h.words) == 0 && now-max(h.failed, h.ended) > Lasts+mostBack+calm && h.tells == 0 {
			delete(b.active, id)
		}
	}
}

func (b *Detector) heed(now int64, id uint32, h *host) {
	e := b.said(now, h, freshFor)
	good, _ := b.settles(h, e.near)
	agree := good < e.newest && b.agrees(e)
	switch {
	case h.since == 0 || h.back != 0 && agree:
		if !agree {
			break
		}
		if h.ended != 0 && now-h.ended < calm {
			h.relapses++ // Each return that did not hold makes the next one slower.
		} else {
			h.relapses = 0
		}
		if h.leaves = now; h.back == 0 { // Not all at once: some leave sooner, by their place; who had not come back yet stays away.
			h.leaves += int64(b.place(id) * float64(max(leastRamp, 4*b.delay)))
		}
		h.since, h.back = now, 0
	case h.back != 0:
		if now >= h.back {
			h.since, h.back = 0, 0
		}
	default:
		if good, _ := b.settles(h, b.said(now, h, 2*Lasts).near); good > h.since || b.said(now, h, Lasts).witnesses == 0 {
			h.ended = now
			h.back = now + int64(b.place(id)*float64(min(mostBack, max(backOver, 4*b.delay)<<min(h.relapses, 6))))
		}
	}
}

// Part is what others' word takes from a host's chance, here and now: none where this balancer saw it settle since, Try where it has the turn.
func (b *Detector) Part(now int64, id uint32) float64 {
	h := b.hosts[id]
	switch {
	case h == nil || h.since == 0, h.good > h.since, float64(b.heeding) > mostHeeded*float64(b.listed):
		return 0
	case h.back != 0:
		if now >= h.back {
			return 0
		}
	case now < h.leaves:
		return 0
	case b.turn(now, id, h):
		return Try
	}
	return mostPart
}

// Sent tells that a trip goes to a host, and gives its part from then on: who has the turn tries once.
func (b *Detector) RecordAttempt(now int64, id uint32) (part float64, heeded bool) {
	h := b.active[id]
	if h == nil || h.since == 0 {
		return 0, false
	}
	h.tried = now
	return b.Part(now, id), true
}

// turn tells whether it is this balancer's turn to try a host that the fleet has left. Nobody is elected: it follows from the members, the host and
// the time since a trip failed there last, as far as that was heard. After a wait the first in the host's order may try once, after a
// step more the second; a failure has all wait anew. So one that is dead, or has nothing to send, is passed over within a step, and two
// try at once only where a word takes longer than a step. Who failed there last stands last in the order: one with a broken cable does not
// keep a host from all. Where a host settles for another zone, the first of this one may try at once.
func (b *Detector) turn(now int64, id uint32, h *host) bool {
	e := b.said(now, h, 2*Lasts)
	_, elsewhere := b.settles(h, e.near)
	own, failed := mix(id, b.me.ID), map[uint32]int64{}
	for _, w := range h.words {
		if w.run > 0 {
			failed[w.from] = w.failed
		}
	}
	mine := int64(0)
	if h.run > 0 {
		mine = h.failed
	}
	rank, inZone := 0, 0
	for _, m := range b.all {
		theirs, at := mix(id, m.ID), failed[m.ID]
		if m.ID == b.me.ID || at > mine || at == mine && (theirs < own || theirs == own && m.ID > b.me.ID) {
			continue
		}
		if rank++; m.Zone == b.me.Zone {
			inZone++
		}
	}
	step := max(leastStep, b.delay)
	from := e.newest + max(b.delay, min(mostWait, max(leastWait, (now-h.since)/4))) + int64(rank)*step
	if elsewhere > h.since && elsewhere > mine {
		from = min(from, elsewhere+int64(inZone)*step)
	}
	return now >= from && (h.tried < from-int64(rank)*step || now-h.tried > mostWait)
}

// Misses takes how many reads of this balancer came and missed since the start, and tells whether reads miss for all: a third of the members say so, two at
// least, of two zones where there are more. One alone has lost its own, as after a restart. It lasts two seconds, and until fewer say so.
func (b *Detector) UpdateMissRate(now int64, reads, misses int) bool {
	fades := math.Exp(-float64(now-b.countedAt) / float64(missOver))
	if b.countedAt == 0 {
		fades = 0
	}
	b.reads = b.reads*fades + float64(max(0, reads-b.readsThen))
	b.misses = b.misses*fades + float64(max(0, misses-b.missesThen))
	b.countedAt, b.readsThen, b.missesThen = now, reads, misses
	part := b.misses / max(missReads, b.reads) // With few reads the part is small: they tell little.
	b.urgent = b.urgent || b.miss < missMany && part >= missMany
	b.miss = part
	many, some := 0, 0
	b.set.clear()
	zones := 0
	count := func(part float64, zone uint16) {
		if part >= missLeast {
			some++
		}
		if part < missMany {
			return
		}
		if many++; b.set.add(zone) {
			zones++
		}
	}
	count(part, b.me.Zone)
	for _, m := range b.spoke {
		if now-m.missAt < 3*repeatAfter {
			count(m.miss, m.zone)
		}
	}
	enough := max(2, (len(b.all)+2)/3)
	switch {
	case !b.scarce && many >= enough && zones >= min(2, b.zones):
		b.scarce, b.since = true, now
	case b.scarce && now-b.since >= missFor && some < enough:
		b.scarce = false
	}
	return b.scarce
}

// place is where this balancer stands among all, for a host: evenly from 0 to 1.
func (b *Detector) place(id uint32) float64 {
	own, before := mix(^id, b.me.ID), 0
	for _, m := range b.all {
		if other := mix(^id, m.ID); other > own || other == own && m.ID < b.me.ID {
			before++
		}
	}
	return float64(before) / float64(len(b.all))
}

// Try in place of a part: this balancer has the turn to try the host once, and what it doubted itself counts for nothing then.
const Try = -1.0

// Heeded gives the hosts that are held back here or have been until now, with what is taken from each.
func (b *Detector) EachEjection(now int64, of func(id uint32, part float64)) {
	for id, h := range b.active {
		if h.since != 0 || h.ended != 0 && now-h.ended < Lasts+mostBack {
			of(id, b.Part(now, id))
		}
	}
}

// mix orders members for a host: a finalizer of 64 bits (Steele, Lea, Flood, Fast splittable pseudorandom number generators, 2014).
func mix(host, member uint32) uint64 {
	z := uint64(host)<<32 | uint64(member)
	z += 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// Stands is how one host stands, for people.
type EndpointStatus struct {
	ID                     uint32  `json:"-"`
	Endpoint               string  `json:"host"`
	Witnesses              int     `json:"witnesses"`
	Zones                  int     `json:"zones"`
	ConsecutiveFailures    int     `json:"failures_in_a_row"`
	OwnConsecutiveFailures int     `json:"own_failures_in_a_row"`
	Ejected                bool    `json:"heeded"`
	Turn                   bool    `json:"turn"`
	Part                   float64 `json:"part"`
	ForMS                  int64   `json:"for_ms"`
}

// Status gives the hosts of which anybody says something.
func (b *Detector) Status(now int64) (all []EndpointStatus) {
	for id, h := range b.active {
		e := b.said(now, h, Lasts)
		if e.witnesses == 0 && h.since == 0 {
			continue
		}
		s := EndpointStatus{ID: id, Witnesses: e.witnesses, Zones: e.zones, ConsecutiveFailures: e.runs, OwnConsecutiveFailures: h.run, Ejected: h.since != 0, Turn: h.since != 0 && b.turn(now, id, h), Part: math.Round(b.Part(now, id)*100) / 100}
		if h.since != 0 {
			s.ForMS = (now - h.since) / ms
		}
		all = append(all, s)
	}
	return all
}
