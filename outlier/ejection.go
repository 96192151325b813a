package outlier

import "hollylever/rendezvous"

const (
	// minEjectionSpread is the time over which the members stop using an ejected endpoint when message delays are
	// small. It is short because an endpoint that fails for several members is of no use to the rest either.
	minEjectionSpread = 200 * millisecond
	// minReturnSpread is the time over which the members resume using an endpoint, so that the returning load does not
	// overload it.
	minReturnSpread = 1000 * millisecond
	// maxReturnSpread limits the return spread after relapses.
	maxReturnSpread = 16000 * millisecond
	// delaysPerSpread is the minimum length of a spread in message delays: at most a quarter of the members switch over
	// before reports of the first ones' results can reach the others.
	delaysPerSpread = 4
	// relapseWindow is the time after a recovery within which a new ejection counts as a relapse. Each relapse doubles
	// the next return spread.
	relapseWindow = 20000 * millisecond
	// maxReturnDoublings limits the doublings, so that the spread cannot overflow before maxReturnSpread is applied.
	maxReturnDoublings = 6
	// maxEjectedShare is the largest share of the endpoints that may be ejected. If more fail, the cause is a shared
	// dependency or this balancer itself, and shifting all load to the remaining endpoints would only overload them.
	maxEjectedShare = 0.4

	// ejectedPenalty is the share of an endpoint's estimated success probability that an ejection removes: all of it.
	// With a smaller penalty a busy fleet would keep sending attempts to the endpoint.
	ejectedPenalty = 1.0
	// ProbePenalty is returned instead of a penalty while this balancer holds the probe lease: it should send one
	// attempt to the endpoint regardless of its own estimate of it.
	ProbePenalty = -1.0
)

// updateEjection applies the state transitions of an endpoint: in use, ejected, returning, and in use again.
func (d *Detector) updateEjection(now int64, id uint32, endpoint *endpointState) {
	recent := d.collectEvidence(now, endpoint, ejectionWindow)
	lastSuccess, _ := d.lastSuccessSeen(endpoint, recent.latestFailureInZone)
	isFailing := lastSuccess < recent.latestFailure && d.hasConsensus(recent)
	switch {
	case isFailing && (!endpoint.isEjected() || endpoint.isReturning()):
		d.eject(now, id, endpoint)
	case !endpoint.isEjected():
		// The endpoint is in use and the evidence does not suffice to eject it.
	case endpoint.isReturning():
		if now >= endpoint.returnsAt {
			endpoint.uneject()
		}
	case d.hasRecovered(now, endpoint):
		d.beginReturn(now, id, endpoint)
	}
}

// eject starts an ejection. Members stop using the endpoint one after another, in the order of spreadPosition. A member
// that has not resumed using it since the previous ejection stops at once.
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

// hasRecovered reports whether an ejection is over: a success that counts for this balancer (see lastSuccessSeen) was
// observed since it began, or all evidence has expired. The expiry ensures that an ejection ends even if no member can
// report any more.
func (d *Detector) hasRecovered(now int64, endpoint *endpointState) bool {
	known := d.collectEvidence(now, endpoint, probeEvidenceWindow)
	lastSuccess, _ := d.lastSuccessSeen(endpoint, known.latestFailureInZone)
	return lastSuccess > endpoint.ejectedAt || d.collectEvidence(now, endpoint, evidenceTimeout).reporters == 0
}

// beginReturn sets when this balancer resumes using the endpoint. Members return one after another, over a time that
// doubles with each relapse.
func (d *Detector) beginReturn(now int64, id uint32, endpoint *endpointState) {
	spread := max(minReturnSpread, delaysPerSpread*d.messageDelay) << min(endpoint.relapses, maxReturnDoublings)
	spread = min(maxReturnSpread, spread)
	endpoint.ejectionEndedAt = now
	endpoint.returnsAt = now + int64(d.spreadPosition(id)*float64(spread))
}

func (e *endpointState) uneject() { e.ejectedAt, e.returnsAt = 0, 0 }

// Penalty returns the share of an endpoint's estimated success probability that the fleet's evidence removes: 0 for
// none, 1 for all of it, or ProbePenalty.
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

// isAvoided reports whether this balancer currently does not use an endpoint because it is ejected.
func (d *Detector) isAvoided(now int64, endpoint *endpointState) bool {
	switch {
	case !endpoint.isEjected():
		return false
	case endpoint.lastSuccess > endpoint.ejectedAt: // Own observations take precedence over reports.
		return false
	case float64(d.ejectedCount) > maxEjectedShare*float64(d.listedCount):
		return false
	case endpoint.isReturning():
		return now < endpoint.returnsAt
	}
	return now >= endpoint.ejectionStartsAt
}

// RecordAttempt records that an attempt is sent to an endpoint, which consumes a probe lease that this balancer holds.
// It returns the penalty after that, and whether the endpoint is ejected.
func (d *Detector) RecordAttempt(now int64, id uint32) (penalty float64, ejected bool) {
	endpoint := d.active[id]
	if endpoint == nil || !endpoint.isEjected() {
		return 0, false
	}
	endpoint.lastAttempt = now
	return d.Penalty(now, id), true
}

// EachEjection calls visit with each endpoint that is ejected or was until recently, and its penalty, in no particular
// order.
func (d *Detector) EachEjection(now int64, visit func(id uint32, penalty float64)) {
	for id, endpoint := range d.active {
		endedLately := endpoint.ejectionEndedAt != 0 && now-endpoint.ejectionEndedAt < evidenceTimeout+maxReturnSpread
		if endpoint.isEjected() || endedLately {
			visit(id, d.Penalty(now, id))
		}
	}
}

// spreadPosition returns this balancer's position within a spread for an endpoint, from 0 (first) to below 1. It is
// computed from the rank among the members instead of a random number, so that switch-overs are evenly distributed.
func (d *Detector) spreadPosition(id uint32) float64 {
	// The complement makes this order independent of the probe order.
	ownScore, before := memberScore(^id, d.self.ID), 0
	for _, m := range d.members {
		score := memberScore(^id, m.ID)
		if score > ownScore || score == ownScore && m.ID < d.self.ID {
			before++
		}
	}
	return float64(before) / float64(len(d.members))
}

// memberScore returns the rendezvous hash of an endpoint and a member, which orders the members per endpoint. The
// highest score comes first.
func memberScore(endpoint, member uint32) uint64 {
	return rendezvous.Mix((uint64(endpoint)<<32 | uint64(member)) + rendezvous.GoldenRatio)
}
