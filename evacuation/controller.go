// Package evacuation decides when a fleet stops using a zone whose endpoints fail and when it returns, and how far each
// process has come on the way. A Controller runs in the process that leads: it proposes, and a majority of the voters
// accepts. A Ramp runs in every process, one a zone: it says which share of the keys does not go there now.
//
// The package is pure: the clock and what was observed are handed in, and nothing here waits or does I/O. Neither type
// locks: the driver in fleet makes one call at a time. All times and spans are nanoseconds.
//
// What it guarantees:
//   - No zone is evacuated on the evidence of one balancer, of one zone, or about one endpoint.
//   - The last zone is never evacuated, nor one without which too little capacity remains.
//   - A zone changes at most once in each hold, which doubles with each return that does not last.
//   - A return is taken in steps, each key once, the same keys first in all processes.
package evacuation

import (
	"slices"
	"time"
)

const millisecond = int64(time.Millisecond)

const (
	// failingShare is the share of a zone's endpoints that must fail for the zone to be failing.
	failingShare = 0.6
	// healthyShare is the share that may still fail when the zone is healthy again. Between the two nothing changes.
	healthyShare = 0.2
	// minFailing is how many endpoints must fail, where there are more than one: one that fails is no failing zone.
	minFailing = 2
	// evacuationHold is for how long a zone must fail without a break, so that a hiccup moves no traffic.
	evacuationHold = 300 * millisecond
	// returnHold is for how long it must be healthy without a break. It doubles with each relapse.
	returnHold = 3000 * millisecond
	// maxHoldDoublings bounds that: 192 s, so that a zone that is repaired is back within some minutes.
	maxHoldDoublings = 6
	// relapseWindow is how soon after a return a new failure counts as a relapse.
	relapseWindow = 300_000 * millisecond
	// proposalInterval is the least time between two proposals for one zone: the first may still be under way.
	proposalInterval = 1000 * millisecond
)

// MinRemainingShare is the share of all endpoints that must remain in use when a zone is evacuated. Less would be
// overloaded, and the fleet would lose both.
const MinRemainingShare = 1.0 / 3

// AutomaticPrefix precedes the name of a zone that the fleet evacuated by itself, beside the bare name of one that
// operators evacuated. Both may stand in the replicated configuration, and each is taken back alone: the fleet must
// not return to a zone that an operator took out.
const AutomaticPrefix = "fails:"

// Reasons of proposals. They are kept in the replicated history, which operators and older versions read.
const (
	reasonFailing   = "its hosts fail for several"
	reasonRecovered = "its hosts settle again"
)

// ZoneHealth is a zone's health on the fleet's evidence.
type ZoneHealth struct {
	Zone      string
	Endpoints int // endpoints that the zone has
	Failing   int // of these, endpoints that several balancers report as failing
}

// Proposal is a change that the Controller would have the fleet agree on.
type Proposal struct {
	ZoneHealth        // what it is based on
	Evacuate   bool   // evacuate the zone; else return to it
	Reason     string // for operators
}

// Controller is the rule by which the leader evacuates zones. The zero value is ready for use and knows of no
// relapses, as after a change of the leader.
type Controller struct{ zones map[string]*zoneState }

// zoneState is what the Controller remembers of one zone.
type zoneState struct {
	since           int64 // when the condition for the next change came to hold, without a break since; 0: it does not
	proposedAt      int64 // 0: never
	returnedAt      int64 // when the last return was proposed; 0: never
	relapses        int   // failures in a row that came within relapseWindow of the return before them
	blockedReported bool  // it fails and cannot be evacuated, and the caller was told
}

// Tick returns the changes to propose now. evacuated is the list in force: bare names by operators, names after
// AutomaticPrefix by the fleet. blocked are zones that fail and cannot be evacuated because too little would remain;
// each is returned once while that lasts.
func (c *Controller) Tick(now int64, zones []ZoneHealth, evacuated []string) (proposals []Proposal, blocked []ZoneHealth) {
	remaining := remainingCapacity(zones, evacuated)
	for _, health := range zones {
		state := c.state(health.Zone)
		isEvacuated := slices.Contains(evacuated, AutomaticPrefix+health.Zone)
		if !state.isChangeDue(now, health, isEvacuated) {
			continue
		}
		if isEvacuated {
			proposals = append(proposals, state.proposeReturn(now, health))
			continue
		}
		isServing := !slices.Contains(evacuated, health.Zone)
		if isServing && !remaining.canSpare(health) {
			if !state.blockedReported {
				state.blockedReported = true
				blocked = append(blocked, health)
			}
			continue
		}
		proposals = append(proposals, state.proposeEvacuation(now, health))
		if isServing { // The zones after this one are judged by what remains then.
			remaining.remove(health)
		}
	}
	return proposals, blocked
}

func (c *Controller) state(zone string) *zoneState {
	if c.zones == nil {
		c.zones = map[string]*zoneState{}
	}
	if c.zones[zone] == nil {
		c.zones[zone] = &zoneState{}
	}
	return c.zones[zone]
}

func (v ZoneHealth) isFailing() bool {
	return v.Endpoints > 0 && float64(v.Failing) >= failingShare*float64(v.Endpoints) && v.Failing >= min(minFailing, v.Endpoints)
}

func (v ZoneHealth) isHealthy() bool { return float64(v.Failing) <= healthyShare*float64(v.Endpoints) }

// isChangeDue reports whether the condition for the zone's next change (that it is healthy, if it is evacuated; else
// that it fails) has held for long enough without a break.
func (z *zoneState) isChangeDue(now int64, health ZoneHealth, isEvacuated bool) bool {
	if isEvacuated && !health.isHealthy() || !isEvacuated && !health.isFailing() {
		z.since, z.blockedReported = 0, false
		return false
	}
	if z.since == 0 {
		z.since = now
	}
	return now-z.since >= z.hold(now, isEvacuated) && now-z.proposedAt >= proposalInterval
}

// hold is for how long the condition must hold. It guards against flapping: a zone that fails, recovers under no load
// and fails again under load would be evacuated and returned to for ever, a cold cache each time. After a return the
// same hold has to pass until the next evacuation.
func (z *zoneState) hold(now int64, isEvacuated bool) int64 {
	afterRelapses := returnHold << min(z.relapses, maxHoldDoublings)
	switch {
	case isEvacuated:
		return afterRelapses
	case z.isReturnRecent(now):
		return max(evacuationHold, afterRelapses-(now-z.returnedAt))
	}
	return evacuationHold
}

func (z *zoneState) isReturnRecent(now int64) bool {
	return z.returnedAt != 0 && now-z.returnedAt < relapseWindow
}

func (z *zoneState) proposeReturn(now int64, health ZoneHealth) Proposal {
	z.proposedAt, z.returnedAt, z.since = now, now, 0
	return Proposal{ZoneHealth: health, Evacuate: false, Reason: reasonRecovered}
}

func (z *zoneState) proposeEvacuation(now int64, health ZoneHealth) Proposal {
	if z.isReturnRecent(now) {
		z.relapses++
	} else {
		z.relapses = 0
	}
	z.proposedAt, z.since = now, 0
	return Proposal{ZoneHealth: health, Evacuate: true, Reason: reasonFailing}
}

// capacity is what the zones in use have.
type capacity struct {
	totalEndpoints int // also of evacuated zones
	endpoints      int
	zones          int
}

func remainingCapacity(zones []ZoneHealth, evacuated []string) (remaining capacity) {
	for _, health := range zones {
		remaining.totalEndpoints += health.Endpoints
		if !slices.Contains(evacuated, health.Zone) && !slices.Contains(evacuated, AutomaticPrefix+health.Zone) {
			remaining.endpoints += health.Endpoints
			remaining.zones++
		}
	}
	return remaining
}

// canSpare reports whether enough remains without a zone that is in use.
func (c *capacity) canSpare(zone ZoneHealth) bool {
	return c.zones > 1 && float64(c.endpoints-zone.Endpoints) >= MinRemainingShare*float64(c.totalEndpoints)
}

func (c *capacity) remove(zone ZoneHealth) {
	c.endpoints -= zone.Endpoints
	c.zones--
}
