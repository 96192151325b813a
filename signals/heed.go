package signals

import (
	"errors"
	"math"
	"slices"
)

var ErrMessageTooLarge = errors.New("over the bound of a signal")

// evidence is what is said of a host: by how many, from how many zones, how many failures in a row in all; the newest failure, and the
// newest that somebody of this zone told of.
type evidence struct {
	witnesses, zones, failures         int
	latestFailure, latestFailureInZone int64
}

// said gathers what this balancer saw and what others said no longer ago than that.
func (b *Board) collectEvidence(now int64, h *endpointState, lately int64) (e evidence) {
	b.zonesSeen.clear()
	count := func(zone uint16, run int, first, failed int64) {
		if run == 0 || now-failed >= lately || failed < h.lastSuccess {
			return
		}
		if first < h.lastSuccess { // Guards busy hosts: this balancer saw it settle meanwhile, so no more than the last of these may count.
			run = 1
		}
		e.witnesses++
		e.failures += min(run, maxFailuresPerWitness)
		if b.zonesSeen.add(zone) {
			e.zones++
		}
		e.latestFailure = max(e.latestFailure, failed)
		if zone == b.self.Zone {
			e.latestFailureInZone = max(e.latestFailureInZone, failed)
		}
	}
	count(b.self.Zone, h.consecutiveFailures, h.lastFailure, h.lastFailure)
	for _, w := range h.reports {
		count(w.zone, int(w.consecutiveFailures), w.firstFailureAt, w.observedAt)
	}
	return e
}

// agrees tells whether several agree that a host fails: two at least, of two zones where the fleet has more, and beyond what chance explains.
// With failures as rare as f, so many in a row at so many of n balancers come about by chance at f^runs n^witnesses of the hosts.
func (b *Board) hasConsensus(e evidence) bool {
	return e.witnesses >= 2 && e.zones >= min(2, b.zoneCount) &&
		float64(e.failures)*math.Log(1/b.failureRate()) >= float64(e.witnesses)*math.Log(float64(len(b.members)))+math.Log(chanceMargin*float64(b.listedCount+1))
}

// settles is when somebody whose word counts here saw the host settle last: this one, one of its zone, or anybody since it failed for this zone
// last. So a zone that only its own balancers reach goes on for them, and one that others do not reach is left by these, but for a try
// now and then. elsewhere is when somebody of another zone did.
func (b *Board) lastSuccessSeen(h *endpointState, near int64) (last, elsewhere int64) {
	last = h.lastSuccess
	for _, w := range h.reports {
		switch {
		case w.consecutiveFailures > 0:
		case w.zone == b.self.Zone || w.observedAt > near:
			last = max(last, w.observedAt)
		default:
			elsewhere = max(elsewhere, w.observedAt)
		}
	}
	return last, elsewhere
}

// Look makes up what is heeded, at each turn of the caller's clock and whenever something came.
func (b *Board) Look(now int64) {
	b.ejectedCount, b.storedReports = 0, 0
	for id, h := range b.active {
		h.reports = slices.DeleteFunc(h.reports, func(w storedReport) bool {
			return now-w.observedAt > 2*evidenceTimeout && now-w.receivedAt > 2*evidenceTimeout
		})
		b.storedReports += len(h.reports)
		b.updateEjection(now, id, h)
		if h.ejectedAt != 0 && h.returnsAt == 0 {
			b.ejectedCount++
		}
		if h.ejectedAt == 0 && len(h.reports) == 0 && now-max(h.lastFailure, h.ejectionEndedAt) > evidenceTimeout+maxReturnSpread+relapseWindow && h.recoveryReportsDue == 0 {
			delete(b.active, id)
		}
	}
}

func (b *Board) updateEjection(now int64, id uint32, h *endpointState) {
	e := b.collectEvidence(now, h, ejectionWindow)
	good, _ := b.lastSuccessSeen(h, e.latestFailureInZone)
	agree := good < e.latestFailure && b.hasConsensus(e)
	switch {
	case h.ejectedAt == 0 || h.returnsAt != 0 && agree:
		if !agree {
			break
		}
		if h.ejectionEndedAt != 0 && now-h.ejectionEndedAt < relapseWindow {
			h.relapses++ // Each return that did not hold makes the next one slower.
		} else {
			h.relapses = 0
		}
		if h.ejectionStartsAt = now; h.returnsAt == 0 { // Not all at once: some leave sooner, by their place; who had not come back yet stays away.
			h.ejectionStartsAt += int64(b.spreadPosition(id) * float64(max(minEjectionSpread, 4*b.messageDelay)))
		}
		h.ejectedAt, h.returnsAt = now, 0
	case h.returnsAt != 0:
		if now >= h.returnsAt {
			h.ejectedAt, h.returnsAt = 0, 0
		}
	default:
		if good, _ := b.lastSuccessSeen(h, b.collectEvidence(now, h, 2*evidenceTimeout).latestFailureInZone); good > h.ejectedAt || b.collectEvidence(now, h, evidenceTimeout).witnesses == 0 {
			h.ejectionEndedAt = now
			h.returnsAt = now + int64(b.spreadPosition(id)*float64(min(maxReturnSpread, max(minReturnSpread, 4*b.messageDelay)<<min(h.relapses, 6))))
		}
	}
}

// Part is what others' word takes from a host's chance, here and now: none where this balancer saw it settle since, Try where it has the turn.
func (b *Board) Penalty(now int64, id uint32) float64 {
	h := b.endpoints[id]
	switch {
	case h == nil || h.ejectedAt == 0, h.lastSuccess > h.ejectedAt, float64(b.ejectedCount) > maxEjectedShare*float64(b.listedCount):
		return 0
	case h.returnsAt != 0:
		if now >= h.returnsAt {
			return 0
		}
	case now < h.ejectionStartsAt:
		return 0
	case b.holdsProbeLease(now, id, h):
		return ProbePenalty
	}
	return ejectedPenalty
}

// Sent tells that a trip goes to a host, and gives its part from then on: who has the turn tries once.
func (b *Board) Sent(now int64, id uint32) (part float64, heeded bool) {
	h := b.active[id]
	if h == nil || h.ejectedAt == 0 {
		return 0, false
	}
	h.lastAttempt = now
	return b.Penalty(now, id), true
}

// turn tells whether it is this balancer's turn to try a host that the fleet has left. Nobody is elected: it follows from the members, the host and
// the time since a trip failed there last, as far as that was heard. After a wait the first in the host's order may try once, after a
// step more the second; a failure has all wait anew. So one that is dead, or has nothing to send, is passed over within a step, and two
// try at once only where a word takes longer than a step. Who failed there last stands last in the order: one with a broken cable does not
// keep a host from all. Where a host settles for another zone, the first of this one may try at once.
func (b *Board) holdsProbeLease(now int64, id uint32, h *endpointState) bool {
	e := b.collectEvidence(now, h, 2*evidenceTimeout)
	_, elsewhere := b.lastSuccessSeen(h, e.latestFailureInZone)
	own, failed := memberScore(id, b.self.ID), map[uint32]int64{}
	for _, w := range h.reports {
		if w.consecutiveFailures > 0 {
			failed[w.sender] = w.observedAt
		}
	}
	mine := int64(0)
	if h.consecutiveFailures > 0 {
		mine = h.lastFailure
	}
	rank, inZone := 0, 0
	for _, m := range b.members {
		theirs, at := memberScore(id, m.ID), failed[m.ID]
		if m.ID == b.self.ID || at > mine || at == mine && (theirs < own || theirs == own && m.ID > b.self.ID) {
			continue
		}
		if rank++; m.Zone == b.self.Zone {
			inZone++
		}
	}
	step := max(minProbeStep, b.messageDelay)
	from := e.latestFailure + max(b.messageDelay, min(maxProbeDelay, max(minProbeDelay, (now-h.ejectedAt)/4))) + int64(rank)*step
	if elsewhere > h.ejectedAt && elsewhere > mine {
		from = min(from, elsewhere+int64(inZone)*step)
	}
	return now >= from && (h.lastAttempt < from-int64(rank)*step || now-h.lastAttempt > maxProbeDelay)
}

// Misses takes how many reads of this balancer came and missed since the start, and tells whether reads miss for all: a third of the members say so, two at
// least, of two zones where there are more. One alone has lost its own, as after a restart. It lasts two seconds, and until fewer say so.
func (b *Board) Misses(now int64, reads, misses int) bool {
	fades := math.Exp(-float64(now-b.missRateAt) / float64(missRateWindow))
	if b.missRateAt == 0 {
		fades = 0
	}
	b.decayedReads = b.decayedReads*fades + float64(max(0, reads-b.lastReads))
	b.decayedMisses = b.decayedMisses*fades + float64(max(0, misses-b.lastMisses))
	b.missRateAt, b.lastReads, b.lastMisses = now, reads, misses
	part := b.decayedMisses / max(minReadsForMissRate, b.decayedReads) // With few reads the part is small: they tell little.
	b.urgent = b.urgent || b.missRate < highMissRate && part >= highMissRate
	b.missRate = part
	many, some := 0, 0
	b.zonesSeen.clear()
	zones := 0
	count := func(part float64, zone uint16) {
		if part >= minReportedMissRate {
			some++
		}
		if part < highMissRate {
			return
		}
		if many++; b.zonesSeen.add(zone) {
			zones++
		}
	}
	count(part, b.self.Zone)
	for _, m := range b.senders {
		if now-m.heardAt < 3*repeatInterval {
			count(m.missRate, m.zone)
		}
	}
	enough := max(2, (len(b.members)+2)/3)
	switch {
	case !b.highMissAlarm && many >= enough && zones >= min(2, b.zoneCount):
		b.highMissAlarm, b.highMissSince = true, now
	case b.highMissAlarm && now-b.highMissSince >= minHighMissDuration && some < enough:
		b.highMissAlarm = false
	}
	return b.highMissAlarm
}

// place is where this balancer stands among all, for a host: evenly from 0 to 1.
func (b *Board) spreadPosition(id uint32) float64 {
	own, before := memberScore(^id, b.self.ID), 0
	for _, m := range b.members {
		if other := memberScore(^id, m.ID); other > own || other == own && m.ID < b.self.ID {
			before++
		}
	}
	return float64(before) / float64(len(b.members))
}

// Try in place of a part: this balancer has the turn to try the host once, and what it doubted itself counts for nothing then.
const ProbePenalty = -1.0

// Heeded gives the hosts that are held back here or have been until now, with what is taken from each.
func (b *Board) Heeded(now int64, of func(id uint32, part float64)) {
	for id, h := range b.active {
		if h.ejectedAt != 0 || h.ejectionEndedAt != 0 && now-h.ejectionEndedAt < evidenceTimeout+maxReturnSpread {
			of(id, b.Penalty(now, id))
		}
	}
}

// mix orders members for a host: a finalizer of 64 bits (Steele, Lea, Flood, Fast splittable pseudorandom number generators, 2014).
func memberScore(host, member uint32) uint64 {
	z := uint64(host)<<32 | uint64(member)
	z += 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// Stands is how one host stands, for people.
type Stands struct {
	Host            uint32  `json:"-"`
	Name            string  `json:"host"`
	Witnesses       int     `json:"witnesses"`
	Zones           int     `json:"zones"`
	Runs            int     `json:"failures_in_a_row"`
	Own             int     `json:"own_failures_in_a_row"`
	Heeded          bool    `json:"heeded"`
	HoldsProbeLease bool    `json:"turn"`
	Penalty         float64 `json:"part"`
	EjectedMillis   int64   `json:"for_ms"`
}

// Status gives the hosts of which anybody says something.
func (b *Board) Status(now int64) (all []Stands) {
	for id, h := range b.active {
		e := b.collectEvidence(now, h, evidenceTimeout)
		if e.witnesses == 0 && h.ejectedAt == 0 {
			continue
		}
		s := Stands{Host: id, Witnesses: e.witnesses, Zones: e.zones, Runs: e.failures, Own: h.consecutiveFailures, Heeded: h.ejectedAt != 0, HoldsProbeLease: h.ejectedAt != 0 && b.holdsProbeLease(now, id, h), Penalty: math.Round(b.Penalty(now, id)*100) / 100}
		if h.ejectedAt != 0 {
			s.EjectedMillis = (now - h.ejectedAt) / ms
		}
		all = append(all, s)
	}
	return all
}
