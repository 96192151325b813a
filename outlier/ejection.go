package outlier

import "hollylever/rendezvous"

const (
	// minEjectionSpread is over how long the members stop using an ejected endpoint where messages are quick. It is
	// short: an endpoint that fails for several gives nothing to those who stay.
	minEjectionSpread = 200 * millisecond
	// minReturnSpread is over how long they take it into use again, so that it is not overloaded at once.
	minReturnSpread = 1000 * millisecond
	// maxReturnSpread bounds that after relapses.
	maxReturnSpread = 16000 * millisecond
	// delaysPerSpread is how many message delays a spread lasts at least: no more than a quarter of the members changes
	// over before a report of what the first ones met can reach the others.
	delaysPerSpread = 4
	// relapseWindow is how soon after a recovery a new ejection counts as a relapse, which doubles the next spread.
	relapseWindow = 20000 * millisecond
	// maxReturnDoublings bounds the doublings, so that the spread cannot overflow before maxReturnSpread is applied.
	maxReturnDoublings = 6
	// maxEjectedShare is the part of the endpoints that may be ejected. If more fail, the cause is behind all of them
	// or on this balancer's side, and sending to the rest would only overload it.
	maxEjectedShare = 0.4

	// ejectedPenalty is what an ejection takes from an endpoint's chance of success: all of it. With less, a busy fleet
	// would go on trying it.
	ejectedPenalty = 1.0
	// ProbePenalty stands in place of a penalty where this balancer holds the probe lease: one attempt shall go to the
	// endpoint, whatever this balancer thinks of it.
	ProbePenalty = -1.0
)

// updateEjection moves an endpoint through its life cycle: in use, ejected, returning, and in use again.
func (d *Detector) updateEjection(now int64, id uint32, endpoint *endpointState) {
	recent := d.collectEvidence(now, endpoint, ejectionWindow)
	lastSuccess, _ := d.lastSuccessSeen(endpoint, recent.latestFailureInZone)
	isFailing := lastSuccess < recent.latestFailure && d.hasConsensus(recent)
	switch {
	case isFailing && (!endpoint.isEjected() || endpoint.isReturning()):
		d.eject(now, id, endpoint)
	case !endpoint.isEjected():
		// In use, and the evidence does not suffice.
	case endpoint.isReturning():
		if now >= endpoint.returnsAt {
			endpoint.uneject()
		}
	case d.hasRecovered(now, endpoint):
		d.beginReturn(now, id, endpoint)
	}
}

// eject begins an ejection. Members stop using the endpoint one after another, in their order for it; one that has not
// taken it into use again since the ejection before just stays away.
func (d *Detector) eject(now int64, id uint32, endpoint *endpointState) {
	if endpoint.ejectionEndedAt != 0 && now-endpoint.ejectionEndedAt < relapseWindow {
		endpoint.relapses++
	} else {
		endpoint.relapses = 0
	}
	endpoint.ejectionStartsAt = now
	if !endpoint.isReturning() {
		spread := max(minEjectionSpread, delaysPerSpread*d.messageDelay)
		endpoint.ejectionStartsAt += int64(d.spreadPosition(id) * float64(spread))
	}
	endpoint.ejectedAt, endpoint.returnsAt = now, 0
}

// hasRecovered reports whether an ejection is over: the endpoint succeeded since for somebody who counts here, or the
// evidence has expired. The latter guards against an ejection that never ends because nobody can report any more.
func (d *Detector) hasRecovered(now int64, endpoint *endpointState) bool {
	known := d.collectEvidence(now, endpoint, probeEvidenceWindow)
	lastSuccess, _ := d.lastSuccessSeen(endpoint, known.latestFailureInZone)
	return lastSuccess > endpoint.ejectedAt || d.collectEvidence(now, endpoint, evidenceTimeout).reporters == 0
}

// beginReturn sets when this balancer takes the endpoint into use again. Members return one after another, the more
// slowly the more often a return did not last.
func (d *Detector) beginReturn(now int64, id uint32, endpoint *endpointState) {
	spread := max(minReturnSpread, delaysPerSpread*d.messageDelay) << min(endpoint.relapses, maxReturnDoublings)
	spread = min(maxReturnSpread, spread)
	endpoint.ejectionEndedAt = now
	endpoint.returnsAt = now + int64(d.spreadPosition(id)*float64(spread))
}

func (e *endpointState) uneject() { e.ejectedAt, e.returnsAt = 0, 0 }

// Penalty returns what the fleet's evidence takes from an endpoint's chance of success here: 0 for nothing, 1 for all
// of it, or ProbePenalty.
func (d *Detector) Penalty(now int64, id uint32) float64 {
	endpoint := d.endpoints[id]
	switch {
	case endpoint == nil || !d.isAvoided(now, endpoint):
		return 0
	case !endpoint.isReturning() && d.holdsProbeLease(now, id, endpoint):
		return ProbePenalty
	}
	return ejectedPenalty
}

// isAvoided reports whether this balancer acts on an endpoint's ejection now.
func (d *Detector) isAvoided(now int64, endpoint *endpointState) bool {
	switch {
	case !endpoint.isEjected():
		return false
	case endpoint.lastSuccess > endpoint.ejectedAt: // What this balancer sees itself outweighs what others report.
		return false
	case float64(d.ejectedCount) > maxEjectedShare*float64(d.listedCount):
		return false
	case endpoint.isReturning():
		return now < endpoint.returnsAt
	}
	return now >= endpoint.ejectionStartsAt
}

// RecordAttempt records that an attempt goes to an endpoint, which uses up a probe lease. It returns the penalty from
// then on, and whether the endpoint is ejected at all.
func (d *Detector) RecordAttempt(now int64, id uint32) (penalty float64, ejected bool) {
	endpoint := d.active[id]
	if endpoint == nil || !endpoint.isEjected() {
		return 0, false
	}
	endpoint.lastAttempt = now
	return d.Penalty(now, id), true
}

// EachEjection calls visit with each endpoint that is ejected or was until lately, and its penalty, in no particular
// order.
func (d *Detector) EachEjection(now int64, visit func(id uint32, penalty float64)) {
	for id, endpoint := range d.active {
		endedLately := endpoint.ejectionEndedAt != 0 && now-endpoint.ejectionEndedAt < evidenceTimeout+maxReturnSpread
		if endpoint.isEjected() || endedLately {
			visit(id, d.Penalty(now, id))
		}
	}
}

// spreadPosition is this balancer's place among the members for an endpoint, from 0 (first) to under 1. Places are
// ranks and no random draws, so that equally many members move in each part of a spread.
func (d *Detector) spreadPosition(id uint32) float64 {
	// The complement makes this order another one than that of probes.
	ownScore, before := memberScore(^id, d.self.ID), 0
	for _, m := range d.members {
		score := memberScore(^id, m.ID)
		if score > ownScore || score == ownScore && m.ID < d.self.ID {
			before++
		}
	}
	return float64(before) / float64(len(d.members))
}

// memberScore orders the members for an endpoint by rendezvous hashing: the highest score is first.
func memberScore(endpoint, member uint32) uint64 {
	return rendezvous.Mix((uint64(endpoint)<<32 | uint64(member)) + rendezvous.GoldenRatio)
}
