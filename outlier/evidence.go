package outlier

import "math"

const (
	// ejectionWindow is the maximum age of a failure that counts towards a new ejection. It spans a few attempts of a
	// balancer with little traffic, so that two such balancers can be reporters at the same time.
	ejectionWindow = 3000 * millisecond
	// evidenceTimeout is how long evidence keeps an endpoint ejected. It is longer than the probe lease takes to pass
	// to the next balancer, so that an ejection does not expire between two probes.
	evidenceTimeout = 15000 * millisecond
	// probeEvidenceWindow is the maximum age of failures that determine who probes next. They are used for that even
	// after they have expired as evidence.
	probeEvidenceWindow = 2 * evidenceTimeout
	// minReporters is the minimum number of balancers that must agree: a single one may have a network fault of its
	// own.
	minReporters = 2
	// minReporterZones is the minimum number of zones they must be in, if there are that many: a single zone may
	// be partitioned from the others.
	minReporterZones = 2
	// maxFailuresPerReporter limits the weight of one balancer's consecutive failures, so that one that reports false
	// values cannot replace other reporters.
	maxFailuresPerReporter = 4
	// falsePositiveMargin is the inverse of the accepted probability that chance alone ejects any of the endpoints.
	falsePositiveMargin = 1000.0
)

// evidence aggregates the failures of an endpoint that count within a time window.
type evidence struct {
	reporters           int   // balancers that observed failures, this one included
	zones               int   // distinct zones of the reporters
	failures            int   // sum of consecutive failures, at most maxFailuresPerReporter of each reporter
	latestFailure       int64 // of any reporter; 0: none
	latestFailureInZone int64 // of a reporter in this balancer's zone; 0: none
}

// collectEvidence aggregates this balancer's own observations and the stored reports that are more recent than window.
func (d *Detector) collectEvidence(now int64, endpoint *endpointState, window int64) evidence {
	d.zonesSeen.clear()
	var sum evidence
	count := func(zone uint16, failures int, first, latest int64) {
		if failures == 0 || now-latest >= window || latest < endpoint.lastSuccess {
			return
		}
		// An overloaded endpoint fails some attempts and answers others at the same time; it must not be ejected by
		// the whole fleet for that. If this balancer observed a success since the run of failures began, only the
		// run's last failure counts.
		if first < endpoint.lastSuccess {
			failures = 1
		}
		sum.reporters++
		sum.failures += min(failures, maxFailuresPerReporter)
		if d.zonesSeen.add(zone) {
			sum.zones++
		}
		sum.latestFailure = max(sum.latestFailure, latest)
		if zone == d.self.Zone {
			sum.latestFailureInZone = max(sum.latestFailureInZone, latest)
		}
	}
	count(d.self.Zone, endpoint.consecutiveFailures, endpoint.lastFailure, endpoint.lastFailure)
	for _, r := range endpoint.reports {
		count(r.zone, int(r.consecutiveFailures), r.firstFailureAt, r.observedAt)
	}
	return sum
}

// hasConsensus reports whether the evidence suffices for an ejection: enough reporters in enough zones, and more
// failures than chance explains.
//
// If single attempts fail at the rate f, a given set of w out of n balancers observes a total of r consecutive failures
// with probability f^r, and there are at most n^w such sets. The code compares logarithms to check that the probability
// over all endpoints is at most 1/falsePositiveMargin:
//
//	f^r * n^w * (endpoints+1) <= 1/falsePositiveMargin
func (d *Detector) hasConsensus(e evidence) bool {
	if e.reporters < minReporters || e.zones < min(minReporterZones, d.zoneCount) {
		return false
	}
	logImprobability := float64(e.failures) * math.Log(1/d.failureRate())
	required := float64(e.reporters)*math.Log(float64(len(d.members))) + math.Log(falsePositiveMargin*float64(d.listedCount+1))
	return logImprobability >= required
}

// lastSuccessSeen returns the time of the endpoint's last success that counts for this balancer: one observed by this
// balancer, by a member of its zone, or by any member after latestFailureInZone. lastInOtherZone is the latest success
// in another zone that does not count.
//
// As a result, an endpoint that is reachable only from its own zone stays in use there, and one that is reachable only
// from other zones is ejected by the members of this zone, which send it only probes.
func (d *Detector) lastSuccessSeen(endpoint *endpointState, latestFailureInZone int64) (last, lastInOtherZone int64) {
	last = endpoint.lastSuccess
	for _, r := range endpoint.reports {
		switch {
		case r.consecutiveFailures > 0:
		case r.zone == d.self.Zone || r.observedAt > latestFailureInZone:
			last = max(last, r.observedAt)
		default:
			lastInOtherZone = max(lastInOtherZone, r.observedAt)
		}
	}
	return last, lastInOtherZone
}

// zoneSet is a set of zones. Zone numbers are small, so it is a slice indexed by zone. A generation counter makes it
// reusable without clearing the slice.
type zoneSet struct {
	generation uint32
	addedIn    []uint32 // by zone: the generation in which it was last added
}

// clear empties the set.
func (s *zoneSet) clear() {
	if s.generation++; s.generation == 0 { // The counter wrapped around: old entries would look current.
		clear(s.addedIn)
		s.generation = 1
	}
}

// add adds a zone and reports whether it was not in the set before.
func (s *zoneSet) add(zone uint16) bool {
	if missing := int(zone) + 1 - len(s.addedIn); missing > 0 {
		s.addedIn = append(s.addedIn, make([]uint32, missing)...)
	}
	isNew := s.addedIn[zone] != s.generation
	s.addedIn[zone] = s.generation
	return isNew
}
