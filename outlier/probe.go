package outlier

const (
	// minProbeDelay is how long after a failure an ejected endpoint is probed again at the earliest.
	minProbeDelay = 1000 * millisecond
	// maxProbeDelay bounds the delay, which grows with the length of the ejection. A probe that was sent and of which
	// nothing was heard is repeated after it too.
	maxProbeDelay = 8000 * millisecond
	// ejectionPerProbeDelay is the length of an ejection over the probe delay it leads to: failed probes stay below a
	// fixed rate, and a recovery is found within a quarter of the outage's length.
	ejectionPerProbeDelay = 4
	// minProbeStagger is how long a lease holder has before the next member may probe too, so that one that is dead or has
	// nothing to send does not keep the endpoint ejected.
	minProbeStagger = 500 * millisecond
)

// holdsProbeLease reports whether this balancer may send one attempt to an ejected endpoint to find out whether it
// recovered. Nobody grants the lease: it follows from the members, the endpoint and the latest failure that was heard
// of. After the probe delay the first member in the endpoint's order may probe, a step later the second too, and so on;
// each further failure starts the delay again for all. Two probe at once only where a report takes longer than a step.
// Where another zone has seen the endpoint succeed, the first member of this zone need not wait for the others.
func (d *Detector) holdsProbeLease(now int64, id uint32, endpoint *endpointState) bool {
	known := d.collectEvidence(now, endpoint, probeEvidenceWindow)
	_, successInOtherZone := d.lastSuccessSeen(endpoint, known.latestFailureInZone)
	rank, rankInZone := d.probeRank(id, endpoint)

	delay := min(maxProbeDelay, max(minProbeDelay, (now-endpoint.ejectedAt)/ejectionPerProbeDelay))
	stagger := max(minProbeStagger, d.messageDelay)
	dueAt := known.latestFailure + max(d.messageDelay, delay) + int64(rank)*stagger
	if successInOtherZone > endpoint.ejectedAt && successInOtherZone > endpoint.ownLatestFailure() {
		dueAt = min(dueAt, successInOtherZone+int64(rankInZone)*stagger)
	}
	leaseUnused := endpoint.lastAttempt < dueAt-int64(rank)*stagger || now-endpoint.lastAttempt > maxProbeDelay
	return now >= dueAt && leaseUnused
}

// probeRank counts the members that may probe an endpoint before this one, among all and in this one's zone. Members
// are ordered by their latest failure at it, the earliest first, and by score among equals: one whose own network is
// broken, and whose probes fail for that, stands last and does not keep the endpoint from the others.
func (d *Detector) probeRank(id uint32, endpoint *endpointState) (rank, rankInZone int) {
	latestFailure := make(map[uint32]int64, len(endpoint.reports))
	for _, r := range endpoint.reports {
		if r.consecutiveFailures > 0 {
			latestFailure[r.sender] = r.observedAt
		}
	}
	ownFailure, ownScore := endpoint.ownLatestFailure(), memberScore(id, d.self.ID)
	isAfter := func(m Member) bool {
		failure, score := latestFailure[m.ID], memberScore(id, m.ID)
		return failure > ownFailure || failure == ownFailure && (score < ownScore || score == ownScore && m.ID > d.self.ID)
	}
	for _, m := range d.members {
		if m.ID == d.self.ID || isAfter(m) {
			continue
		}
		rank++
		if m.Zone == d.self.Zone {
			rankInZone++
		}
	}
	return rank, rankInZone
}

// ownLatestFailure is when this balancer's latest attempt failed, or 0 if it succeeded.
func (e *endpointState) ownLatestFailure() int64 {
	if e.consecutiveFailures == 0 {
		return 0
	}
	return e.lastFailure
}
