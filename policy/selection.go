package policy

import "math"

// Which of a key's candidates gets the attempt: one at random, passing over those that are well above the mean load or latency. Inputs are the attempts in flight now and on average,
// per unit of weight, and how long an attempt takes (Little's law: what is in flight for each that was sent). With hundreds of balancers hardly anything of one
// is in flight at an endpoint when the next request comes, so the average over time and the latency show what the moment does not. This guards against a slow
// endpoint that would still take its third of the keys; the random pass-over keeps balancers that see the same from acting in step.

const (
	// overloadRatio and overloadSlack: an endpoint is passed over above so many times the mean in flight, and so much more for chance.
	overloadRatio = 1.1
	overloadSlack = 0.3

	// latencyExponent turns a uniform draw into one near 1, so that an endpoint is passed over the more surely the further its latency is above the mean:
	// by the fifth power of the ratio.
	latencyExponent = 0.2

	// jammedRatio is how many times the mean latency marks an endpoint as jammed: it is left out until all are candidates, as after a rejection, since
	// a key can be more than its candidates can take.
	jammedRatio = 3.0

	// priorAttempts is as how many attempts of its own counts what all endpoints of its machine type tell.
	priorAttempts = 2.0

	// rejectionWeight is as how many attempts in flight counts a rejection: it tells of others' attempts.
	rejectionWeight = 2.0

	// maxConnectFailureRatio is the part of the attempts without a connection above which the own zone does not go first: a lost zone is found out endpoint by
	// endpoint, and the own one may be it.
	maxConnectFailureRatio = 0.05
)

// loadMeter is how many attempts are in flight, now and on average.
type loadMeter struct {
	inFlight int
	average  average
}

// settle brings the average up to now; called before inFlight changes.
func (m *loadMeter) settle(evidence int64) { m.average.Update(evidence, m.inFlight) }

// latencyRecord is how long attempts took, at endpoints of one machine type or at all.
type latencyRecord struct {
	answers  sum
	time     sum // of these, nanoseconds
	rejected sum // each counts as taking the time constant
}

// mean is how long an attempt takes; before that is known, as long as others do.
func (l *latencyRecord) mean(evidence int64, others float64) float64 {
	rejected := l.rejected.ValueAt(evidence)
	n := l.answers.ValueAt(evidence) + rejected + priorAttempts
	return (l.time.ValueAt(evidence) + rejected*float64(timeConstant) + priorAttempts*others) / n
}

// meanLatency is how long an attempt takes at all caches.
func (b *Balancer) meanLatency() float64 { return b.fleetwide.latency.mean(b.clock.evidence, 0) }

// loadAndLatency is how many attempts are in flight at an endpoint on average, per unit of weight, and how long each takes. While few tell of it, its machine
// type tells more, by answers, as silence is its own.
func (b *Balancer) loadAndLatency(index int) (load, latency float64) {
	endpoint := &b.endpoints[index]
	evidence := b.clock.evidence
	attempts := endpoint.attempts.ValueAt(evidence)
	own := endpoint.load.average.Update(evidence, endpoint.load.inFlight) + rejectionWeight*endpoint.rejected.ValueAt(evidence)
	prior := b.machineTypes[endpoint.machineType].latency.mean(evidence, b.meanLatency())
	latency = (own*float64(timeConstant)/b.clock.pace + priorAttempts*prior) / (attempts + priorAttempts)
	if b.clock.now < endpoint.evacuated.cacheFillsUntil {
		latency = min(latency, b.meanLatency())
	}
	return own / endpoint.weight, latency
}

// selectionOrder is how the candidates of a request are gone through.
type selectionOrder struct {
	ordered bool // in the ranking's order, not at random: many reads miss, and a key is to be fetched once
	strict  bool // and whatever the load: the origin is failing, or all balancers agree that reads miss
}

func (b *Balancer) selectionOrder() selectionOrder {
	evidence := b.clock.evidence
	ordered := b.misses.areFrequent(evidence)
	strict := ordered && (b.widespreadMisses || b.misses.isOriginFailing(evidence, 1))
	return selectionOrder{ordered, strict}
}

// selectEndpoint picks a candidate and passes over one well above the mean; all of them over: the least loaded. If all that may be sent to are suspected, the
// least loaded of those, once all endpoints are candidates: still better than nothing.
func (b *Balancer) selectEndpoint(now int64, request *requestState) int {
	order := b.selectionOrder()
	n := b.rankCandidates(request.key, request.candidateCount, order.ordered)
	mean := float64(b.load.inFlight)/float64(max(1, len(b.ready))) +
		b.load.average.Update(b.clock.evidence, b.load.inFlight)/max(1, b.totalWeight)
	maxLoad := overloadRatio*mean + overloadSlack
	if order.ordered && !order.strict {
		b.moveLastReadFirst(request.key, n)
	}
	local := b.moveLocalFirst(n, order.strict)
	maxLatency := b.meanLatency()
	if b.settings.cacheAside {
		maxLatency *= jammedRatio // A key that moves costs an attempt and a fetch of its own: only what is nearly jammed loses keys.
	}
	leastLoaded, leastSuspected, leastLoad := noEndpoint, noEndpoint, 0.0
	for ; n > 0; n, local = n-1, local-1 {
		index := b.drawCandidate(n, local, order.ordered)
		if !b.mayTry(now, request, index) {
			continue
		}
		endpoint := &b.endpoints[index]
		if b.isSuspected(request, index) {
			if leastSuspected == noEndpoint || endpoint.load.inFlight < b.endpoints[leastSuspected].load.inFlight {
				leastSuspected = index
			}
			continue
		}
		load, latency := b.loadAndLatency(index)
		load += float64(endpoint.load.inFlight)
		if request.candidateCount < len(b.ready) && latency > jammedRatio*b.meanLatency() && !endpoint.outlier.isProbe() {
			continue
		}
		if order.strict || load <= maxLoad && math.Pow(b.random.float64(), latencyExponent)*latency <= maxLatency {
			return index
		}
		if leastLoaded == noEndpoint || load < leastLoad {
			leastLoaded, leastLoad = index, load
		}
	}
	if leastLoaded == noEndpoint && request.candidateCount >= len(b.ready) {
		return leastSuspected
	}
	return leastLoaded
}

// moveLastReadFirst guards a short origin: while many reads miss, a key keeps to the cache that answered it last, so that it is fetched for one.
func (b *Balancer) moveLastReadFirst(key uint64, n int) {
	last := b.recentKeys[key%maxRecentKeys]
	if last.key != key {
		return
	}
	for place := range n {
		if b.candidates[place].endpoint == last.endpoint {
			b.candidates[0], b.candidates[place] = b.candidates[place], b.candidates[0]
		}
	}
}

// moveLocalFirst puts the candidates of this balancer's zone before the others, as crossing zones costs, and those that it holds the probe lease for. It
// returns how many these are. Not while the origin fails, as keys need one order for all then, nor while connects fail.
func (b *Balancer) moveLocalFirst(n int, isStrict bool) (local int) {
	connectFailures := b.connectFailures.ValueAt(b.clock.evidence)
	if isStrict || n == 0 || connectFailures >= maxConnectFailureRatio*(b.outcomes.successes.ValueAt(b.clock.evidence)+1) {
		return 0
	}
	for place := range n {
		candidate := b.candidates[place]
		endpoint := &b.endpoints[candidate.endpoint]
		if endpoint.zone == b.settings.zone || endpoint.outlier.isProbe() {
			copy(b.candidates[local+1:place+1], b.candidates[local:place])
			b.candidates[local] = candidate
			local++
		}
	}
	return local
}

// drawCandidate takes the next of the first n candidates: the first in order, or one at random, of the local ones while there are any.
func (b *Balancer) drawCandidate(n, local int, ordered bool) int {
	place := 0
	if !ordered {
		if local <= 0 {
			local = n
		}
		place = b.random.intN(local)
	}
	index := b.candidates[place].endpoint
	copy(b.candidates[place:n], b.candidates[place+1:n])
	return index
}

// mayTry tells whether a candidate may get the next attempt: the rules allow it, retry tokens pay for it, and it was not tried while others are left.
func (b *Balancer) mayTry(now int64, request *requestState, index int) bool {
	if !b.isEligible(now, request, index) {
		return false
	}
	if len(request.attempts) > 0 && !(b.retries.canPay() && b.endpoints[index].retries.canPay()) {
		return false
	}
	return !request.hasTried(index) || len(b.ready) <= len(request.attempts)
}

// isSuspected tells whether a candidate is passed over as an outlier. A probe of one that others eject is no matter for a request that may run only once.
func (b *Balancer) isSuspected(request *requestState, index int) bool {
	if b.endpoints[index].outlier.isProbe() && b.settings.classes[request.class].effect == NonIdempotent {
		return true
	}
	return b.isOutlier(index, b.random.float64)
}
