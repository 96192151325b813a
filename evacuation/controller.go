// Package evacuation decides when a fleet stops using a zone whose endpoints fail and when it uses the zone again, and
// moves each process's traffic accordingly. A Controller runs in the leader and proposes changes, which a majority of
// the voters must accept. Every process runs one Ramp per zone, which gives the share of keys currently kept away from
// that zone.
//
// The package is pure: the caller passes in the clock and the observations, and nothing here blocks or does I/O.
// Neither type is safe for concurrent use: the driver in package fleet makes one call at a time. All times and
// durations are in nanoseconds.
//
// Guarantees:
//   - No zone is evacuated on evidence from a single balancer or a single zone, or about a single endpoint of several.
//   - The last zone is never evacuated, nor is one without which too little capacity would remain.
//   - A zone changes at most once per hold time, which doubles with each return that is followed by a relapse.
//   - Keys return to a zone in steps. Each key moves once, and all processes move the same keys first.
package evacuation

import (
	"slices"
	"time"
)

const millisecond = int64(time.Millisecond)

const (
	// failingShare is the share of a zone's endpoints that must fail for the zone to count as failing.
	failingShare = 0.6
	// healthyShare is the share of endpoints that may still fail in a zone that counts as healthy again. Between the
	// two thresholds nothing changes (hysteresis).
	healthyShare = 0.2
	// minFailing is how many endpoints must fail in a zone that has more than one: a single failing endpoint does not
	// make a failing zone.
	minFailing = 2
	// evacuationHold is how long a zone must fail without interruption before it is evacuated, so that a short failure
	// moves no traffic.
	evacuationHold = 300 * millisecond
	// returnHold is how long an evacuated zone must be healthy without interruption before it is used again. It doubles
	// with each relapse.
	returnHold = 3000 * millisecond
	// maxHoldDoublings limits returnHold to 192 s, so that a repaired zone is back in use within a few minutes.
	maxHoldDoublings = 6
	// relapseWindow is how long after a return a new failure counts as a relapse.
	relapseWindow = 300_000 * millisecond
	// proposalInterval is the minimum time between two proposals for one zone: the first may still be awaiting
	// agreement.
	proposalInterval = 1000 * millisecond
)

// MinRemainingShare is the share of all endpoints that must remain in use when a zone is evacuated. A smaller
// remainder would be overloaded and fail as well.
const MinRemainingShare = 1.0 / 3

// AutomaticPrefix marks the name of a zone that the fleet evacuated automatically; a zone that an operator evacuated is
// listed under its bare name. The replicated configuration may contain both entries for one zone, and each is removed
// independently: the fleet must not return to a zone that an operator evacuated.
const AutomaticPrefix = "fails:"

// Reasons for proposals. They are stored in the replicated history, which operators and older versions read, so their
// text must not change.
const (
	reasonFailing   = "its hosts fail for several" // several balancers see its endpoints fail
	reasonRecovered = "its hosts settle again"     // few of its endpoints fail
)

// ZoneHealth is a zone's health as observed by the fleet.
type ZoneHealth struct {
	Zone      string
	Endpoints int // number of endpoints in the zone
	Failing   int // number of these that are ejected and have current failure reports
}

// Proposal is a change that the Controller asks the fleet to agree on.
type Proposal struct {
	ZoneHealth        // the observation that the proposal is based on
	Evacuate   bool   // true: evacuate the zone; false: return to it
	Reason     string // shown to operators
}

// Controller decides for the leader when zones are evacuated and returned to. The zero value is ready for use and has
// no record of relapses, which is also the state after a change of leader.
type Controller struct{ zones map[string]*zoneState }

// zoneState is the Controller's record of one zone.
type zoneState struct {
	conditionSince   int64 // since when the condition for the next change has held without interruption; 0: it does not hold
	proposedAt       int64 // 0: never
	returnProposedAt int64 // when the last return was proposed; 0: never
	relapses         int   // consecutive evacuations proposed within relapseWindow of the return before
	blockedReported  bool  // the zone fails and cannot be evacuated, and Tick has listed it as blocked
}

// Tick returns the changes to propose now. evacuated is the evacuation list in force: bare names were added by
// operators, names with AutomaticPrefix by the fleet. blocked lists failing zones that cannot be evacuated because too
// little capacity would remain; each zone is listed once per such period.
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
		if isServing { // Later zones are checked against the capacity that remains without this one.
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

func (h ZoneHealth) isFailing() bool {
	return h.Endpoints > 0 && float64(h.Failing) >= failingShare*float64(h.Endpoints) && h.Failing >= min(minFailing, h.Endpoints)
}

func (h ZoneHealth) isHealthy() bool { return float64(h.Failing) <= healthyShare*float64(h.Endpoints) }

// isChangeDue reports whether the condition for the zone's next change (an evacuated zone is healthy, any other zone is
// failing) has held long enough without interruption.
func (s *zoneState) isChangeDue(now int64, health ZoneHealth, isEvacuated bool) bool {
	if isEvacuated && !health.isHealthy() || !isEvacuated && !health.isFailing() {
		s.conditionSince, s.blockedReported = 0, false
		return false
	}
	if s.conditionSince == 0 {
		s.conditionSince = now
	}
	return now-s.conditionSince >= s.hold(now, isEvacuated) && now-s.proposedAt >= proposalInterval
}

// hold returns how long the condition for the next change must hold. It guards against flapping: a zone that fails,
// recovers without load and fails again under load would otherwise be evacuated and returned to endlessly, with a cold
// cache each time. If the last return is recent, the next evacuation also waits until returnHold, with its doublings if
// any, has passed since that return was proposed.
func (s *zoneState) hold(now int64, isEvacuated bool) int64 {
	afterRelapses := returnHold << min(s.relapses, maxHoldDoublings)
	switch {
	case isEvacuated:
		return afterRelapses
	case s.isReturnRecent(now):
		return max(evacuationHold, afterRelapses-(now-s.returnProposedAt))
	}
	return evacuationHold
}

func (s *zoneState) isReturnRecent(now int64) bool {
	return s.returnProposedAt != 0 && now-s.returnProposedAt < relapseWindow
}

func (s *zoneState) proposeReturn(now int64, health ZoneHealth) Proposal {
	s.proposedAt, s.returnProposedAt, s.conditionSince = now, now, 0
	return Proposal{ZoneHealth: health, Evacuate: false, Reason: reasonRecovered}
}

func (s *zoneState) proposeEvacuation(now int64, health ZoneHealth) Proposal {
	if s.isReturnRecent(now) {
		s.relapses++
	} else {
		s.relapses = 0
	}
	s.proposedAt, s.conditionSince = now, 0
	return Proposal{ZoneHealth: health, Evacuate: true, Reason: reasonFailing}
}

// capacity is the capacity of the zones in use.
type capacity struct {
	totalEndpoints int // including those of evacuated zones
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

// canSpare reports whether enough capacity remains without the given zone, which must be in use.
func (c *capacity) canSpare(zone ZoneHealth) bool {
	return c.zones > 1 && float64(c.endpoints-zone.Endpoints) >= MinRemainingShare*float64(c.totalEndpoints)
}

func (c *capacity) remove(zone ZoneHealth) {
	c.endpoints -= zone.Endpoints
	c.zones--
}
