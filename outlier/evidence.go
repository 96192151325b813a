package outlier

import "math"

const (
	// ejectionWindow is how recent a failure must be to count towards a new ejection: a few attempts of a quiet
	// balancer, so that two of them can be witnesses at the same time.
	ejectionWindow = 3000 * millisecond
	// evidenceTimeout is how long evidence keeps an endpoint ejected. It is longer than a probe takes to come round to
	// the next balancer, so that an ejection does not lapse between two probes.
	evidenceTimeout = 15000 * millisecond
	// probeEvidenceWindow is how far back failures count for who probes next, also after they expired as evidence.
	probeEvidenceWindow = 2 * evidenceTimeout
	// minReporters is how many balancers must agree: one alone may have a broken network of its own.
	minReporters = 2
	// minReporterZones is from how many zones they must be, where there are more: one zone may be cut off.
	minReporterZones = 2
	// maxFailuresPerReporter bounds what one balancer's consecutive failures weigh, so that one that lies cannot make up
	// for others.
	maxFailuresPerReporter = 4
	// falsePositiveMargin is how many times as many endpoints would have to be watched until chance alone ejects one.
	falsePositiveMargin = 1000.0
)

// evidence sums up the failures of an endpoint that count within a window.
type evidence struct {
	reporters           int   // balancers that report failures
	zones               int   // that these are in
	failures            int   // consecutive ones, each witness's up to maxFailuresPerWitness
	latestFailure       int64 // anybody's; 0: none
	latestFailureInZone int64 // of a witness in this balancer's zone; 0: none
}

// collectEvidence sums up what this balancer observed and what others reported, as far as it is younger than window.
func (d *Detector) collectEvidence(now int64, endpoint *endpointState, window int64) evidence {
	d.zonesSeen.clear()
	var sum evidence
	count := func(zone uint16, failures int, first, latest int64) {
		if failures == 0 || now-latest >= window || latest < endpoint.lastSuccess {
			return
		}
		// An overloaded endpoint fails for one and succeeds for another all the time, and everybody would leave it.
		// If this balancer saw a success since the run began, only the run's last failure can count.
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

// hasConsensus reports whether the evidence suffices for an ejection: enough witnesses in enough zones, and more
// failures than chance explains.
//
// If single attempts fail at the rate f, then a given set of w out of n balancers sees r consecutive failures in all
// with probability f^r, and there are at most n^w such sets. Over all endpoints that must stay below 1/chanceMargin:
//
//	f^r * n^w * (endpoints+1) <= 1/chanceMargin, in logarithms below
func (d *Detector) hasConsensus(e evidence) bool {
	if e.reporters < minReporters || e.zones < min(minReporterZones, d.zoneCount) {
		return false
	}
	logImprobability := float64(e.failures) * math.Log(1/d.failureRate())
	required := float64(e.reporters)*math.Log(float64(len(d.members))) + math.Log(falsePositiveMargin*float64(d.listedCount+1))
	return logImprobability >= required
}

// lastSuccessSeen returns when a balancer whose success counts here saw the endpoint succeed last: this one, one of its
// zone, or anybody after latestFailureInZone. elsewhere is the latest success of another zone that does not count.
//
// So an endpoint that only its own zone reaches stays in use there, and one that only other zones reach is ejected
// here, but for probes.
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

// zoneSet counts distinct zones. Zone numbers are small, so it is an array that is reused without being cleared.
type zoneSet struct {
	generation uint32
	addedIn    []uint32 // by zone: the round in which it was added last
}

// clear begins a new set.
func (s *zoneSet) clear() {
	if s.generation++; s.generation == 0 { // The counter wrapped: older entries would look like new ones.
		clear(s.addedIn)
		s.generation = 1
	}
}

// add reports whether the zone is new in the set, and adds it.
func (s *zoneSet) add(zone uint16) bool {
	if missing := int(zone) + 1 - len(s.addedIn); missing > 0 {
		s.addedIn = append(s.addedIn, make([]uint32, missing)...)
	}
	isNew := s.addedIn[zone] != s.generation
	s.addedIn[zone] = s.generation
	return isNew
}
