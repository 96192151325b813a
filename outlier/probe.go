package outlier

const (
	// minProbeDelay is the minimum time between a failure of an ejected endpoint and the next probe.
	minProbeDelay = 1000 * millisecond
	// maxProbeDelay limits the probe delay, which grows with the duration of the ejection. It is also the time after
	// which a probe without a known outcome is repeated.
	maxProbeDelay = 8000 * millisecond
	// ejectionPerProbeDelay is the ratio of an ejection's duration to its probe delay. It limits the rate of failed
	// probes. The delay before a recovery is noticed is a quarter of the outage's duration, within the limits above, and
	// longer if the next member in the probe order has no requests to send.
	ejectionPerProbeDelay = 4
	// minProbeStagger is the minimum time before the next member in the probe order may probe too, so that a lease
	// holder that is down or has no requests to send does not keep the endpoint ejected.
	minProbeStagger = 500 * millisecond
)

// holdsProbeLease reports whether this balancer may send one attempt to an ejected endpoint to check whether it has
// recovered. The lease is not granted by any process: each member derives it from the members, the endpoint and the
// latest known failure. After the probe delay, or messageDelay if that is longer, the first member in the endpoint's
// probe order may probe, one stagger interval later also the second, and so on. Each new failure restarts the delay for
// all members. Two members probe at the same time only if a report takes longer than the stagger interval to arrive. If
// another zone has observed a success since the ejection and since this balancer's latest failure, this balancer skips
// the delay and ranks only among the members of its own zone.
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
	// No attempt was made since the delay ended for the first member, or its outcome is overdue. After a success in
	// another zone, attempts shortly before that success also count, as rank includes the members of other zones.
	leaseUnused := endpoint.lastAttempt < dueAt-int64(rank)*stagger || now-endpoint.lastAttempt > maxProbeDelay
	return now >= dueAt && leaseUnused
}

// probeRank returns the number of members that may probe an endpoint before this one, among all members and within this
// balancer's zone. Members are ordered by the time of their latest failure at the endpoint, earliest first, and then by
// score. A member whose probes fail because of its own network therefore ranks last and does not delay the others.
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

// ownLatestFailure returns the time of this balancer's latest failure, or 0 if it has observed a success since.
func (e *endpointState) ownLatestFailure() int64 {
	if e.consecutiveFailures == 0 {
		return 0
	}
	return e.lastFailure
}
