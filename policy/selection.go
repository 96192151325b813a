package policy

import "math"

// Which of a key's candidates gets the attempt: one at random, passing over those that are well above the mean load or
// latency (randomized load balancing over a few hashed choices). Inputs are the attempts in flight, now and on average,
// per unit of weight, and the latency in nanoseconds.
//
// The latency of an endpoint follows from Little's law: attempts in flight on average, over the rate at which they are
// sent. So an endpoint that answers nothing shows, too. With hundreds of balancers hardly anything of one of them is in
// flight at an endpoint when the next request comes: the average over time and the latency show what the moment does
// not.
//
// This guards against a slow endpoint that would still take its third of the keys, which shows as late answers from one
// endpoint while others are idle. The guard holds since the chance to be passed over grows with the latency, and falls
// again as soon as others get slower; being a draw, it keeps balancers that see the same from acting in step.

const (
	// overloadRatio is how many times the mean load may be in flight at an endpoint before it is passed over.
	overloadRatio = 1.1

	// overloadSlack is how much more may be, as slack for chance.
	overloadSlack = 0.3

	// latencyExponent turns a uniform draw into one near 1, so that an endpoint that is slower than the mean is kept
	// with a probability of (mean latency / its latency) to the fifth power.
	latencyExponent = 0.2

	// jammedRatio is over how many times the mean latency an endpoint is left out until all are candidates, as it is
	// after a rejection: one key can be more than its candidates can take.
	jammedRatio = 3.0

	// priorAttempts is the weight, in attempts, of what all endpoints of its machine type tell of one.
	priorAttempts = 2.0

	// rejectionWeight is as how many attempts in flight a rejection counts: it tells of other balancers' attempts.
	rejectionWeight = 2.0

	// maxConnectFailureRatio is the part of the attempts that may fail to connect before the own zone no longer goes
	// first: a lost zone is found out endpoint by endpoint, and it may be the own one.
	maxConnectFailureRatio = 0.05
)

// loadMeter is how many attempts are in flight, now and on average over time.
type loadMeter struct {
	inFlight int
	average  average
}

// settle brings the average up to now. It is called before inFlight changes.
func (m *loadMeter) settle(evidence int64) { m.average.Update(evidence, m.inFlight) }

// latencyRecord is how long attempts took, at endpoints of one machine type or at all. The sums fade.
type latencyRecord struct {
	answers  sum
	time     sum // of these, nanoseconds
	rejected sum // each counts as taking the time constant
}

// mean is how long an attempt takes, in nanoseconds. While little is known it leans on others, the mean of a larger
// group.
func (l *latencyRecord) mean(evidence int64, others float64) float64 {
	rejected := l.rejected.ValueAt(evidence)
	n := l.answers.ValueAt(evidence) + rejected + priorAttempts
	return (l.time.ValueAt(evidence) + rejected*float64(timeConstant) + priorAttempts*others) / n
}

// meanLatency is how long an attempt takes at caches, in nanoseconds.
func (b *Balancer) meanLatency() float64 { return b.fleetwide.latency.mean(b.clock.evidence, 0) }

// loadAndLatency is how many attempts are in flight at an endpoint on average, per unit of weight, and how many
// nanoseconds each takes. While little is known of it, the latter leans on the answers of its machine type. While its
// cache fills after an evacuation, it counts as no slower than the mean.
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

// selectionOrder is the order in which the candidates of a request are tried.
type selectionOrder struct {
	ordered bool // by rank, not at random: many reads miss, and a key is to be fetched for one cache
	strict  bool // and whatever the load: the origin is failing, or all balancers agree that many reads miss
}

// selectionOrder returns the order that the misses of late ask for.
func (b *Balancer) selectionOrder() selectionOrder {
	evidence := b.clock.evidence
	ordered := b.misses.areFrequent(evidence)
	strict := ordered && (b.widespreadMisses || b.misses.isOriginFailing(evidence, 1))
	return selectionOrder{ordered, strict}
}

// selectEndpoint returns a candidate that is not well above the mean in load or latency; if all are, the one with the
// least load; noEndpoint if none may be sent to. Suspected outliers are passed over. Once all endpoints are candidates
// and all that may be sent to are suspected, it returns the one of them with the least in flight, which is still better
// than nothing.
func (b *Balancer) selectEndpoint(now int64, request *requestState) int {
	order := b.selectionOrder()
	n := b.rankCandidates(request.key, request.candidateCount, order.ordered)
	maxLoad := b.maxLoad()
	if order.ordered && !order.strict {
		b.moveLastReadFirst(request.key, n)
	}
	local := b.moveLocalFirst(n, order.strict)
	maxLatency := b.maxLatency()
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
		if b.isJammed(request, endpoint, latency) {
			continue
		}
		if order.strict || b.isNearMean(load, maxLoad, latency, maxLatency) {
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

// maxLoad is the load above which an endpoint is passed over: that of the mean endpoint now and on average, and some
// slack.
func (b *Balancer) maxLoad() float64 {
	mean := float64(b.load.inFlight)/float64(max(1, len(b.ready))) +
		b.load.average.Update(b.clock.evidence, b.load.inFlight)/max(1, b.totalWeight)
	return overloadRatio*mean + overloadSlack
}

// maxLatency is the latency above which an endpoint is likely passed over, in nanoseconds. With cache-aside, a key that
// moves costs an attempt and a fetch of its own, and only an endpoint that is nearly jammed loses keys.
func (b *Balancer) maxLatency() float64 {
	if b.settings.cacheAside {
		return b.meanLatency() * jammedRatio
	}
	return b.meanLatency()
}

// isJammed tells whether an endpoint is left out until all are candidates. One for which this balancer holds the probe
// lease is not.
func (b *Balancer) isJammed(request *requestState, endpoint *endpointState, latency float64) bool {
	if request.candidateCount >= len(b.ready) || endpoint.outlier.isProbe() {
		return false
	}
	return latency > jammedRatio*b.meanLatency()
}

// isNearMean tells whether an endpoint's load is not well above the mean, nor, by a draw, its latency. Nothing is drawn
// where its load is.
func (b *Balancer) isNearMean(load, maxLoad, latency, maxLatency float64) bool {
	if load <= maxLoad {
		return math.Pow(b.random.float64(), latencyExponent)*latency <= maxLatency
	}
	return false
}

// moveLastReadFirst puts the cache that answered a key last first among n candidates, so that while many reads miss the
// key is fetched for one cache only.
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

// moveLocalFirst puts those of n candidates that are in this balancer's zone, as crossing zones costs, or for which it
// holds the probe lease, before the others, and returns how many they are. It moves none where the order is strict, as
// all balancers need one order then, nor while many connections fail.
func (b *Balancer) moveLocalFirst(n int, isStrict bool) (local int) {
	connectFailures := b.connectFailures.ValueAt(b.clock.evidence)
	if isStrict || n == 0 {
		return 0
	}
	if connectFailures >= maxConnectFailureRatio*(b.outcomes.successes.ValueAt(b.clock.evidence)+1) {
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

// drawCandidate takes the next of the first n candidates out of them: the first, where they are ordered; else one at
// random, of the local ones while there are any.
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

// mayTry tells whether a candidate may get the next attempt: the rules allow it, retry tokens pay for it, and it has
// not been tried, unless there may be no other left.
func (b *Balancer) mayTry(now int64, request *requestState, index int) bool {
	if !b.isEligible(now, request, index) {
		return false
	}
	isRetry := len(request.attempts) > 0
	if isRetry && !(b.retries.canPay() && b.endpoints[index].retries.canPay()) {
		return false
	}
	return !request.hasTried(index) || len(b.ready) <= len(request.attempts)
}

// isSuspected tells whether a candidate is passed over as an outlier. An endpoint for which this balancer holds the
// probe lease gets no request that may run only once.
func (b *Balancer) isSuspected(request *requestState, index int) bool {
	if b.endpoints[index].outlier.isProbe() && b.settings.classes[request.class].effect == NonIdempotent {
		return true
	}
	return b.isOutlier(index, b.random.float64)
}
