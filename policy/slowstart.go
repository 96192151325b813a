package policy

import "math"

// What an endpoint that has just started may be sent. An endpoint states its start; for the time of the warm-up it can do startCapacity of its usual, climbing to the
// whole. Its budget at this balancer is a token bucket: what a warm endpoint answers here, per unit of weight, times what it can do by then. This guards cold endpoints
// against the sum of all balancers, each of which sends little: pushed over, they fall, and start cold again. It shows as endpoints that come and go.
//
// Shares are far below one request where the fleet is large, and whole ones saved up would come from all balancers at once. So a request is let in by chance, with the
// tokens that there are as its probability, and the tokens are spent either way: what all let in together is in the mean what all shares come to.
// docs/design.md, exception 9; coldfleet_test.go plays 5 to 300 balancers against the rule.

const (
	// slowStartMargin is the most of what the overload multiple allows: machines differ, and so do balancers' shares of the traffic.
	slowStartMargin = 0.9

	// provenHalfAt is how many answers prove half of what answers can prove of a warming endpoint. What it is sent beyond its stated
	// capacity rests on these.
	provenHalfAt = 8.0

	// slowStartBurst is how much may be saved up: so many times what falls due between two requests that could go there. Less, and a balancer that sees few requests would
	// let hardly any in; more, and an endpoint that was asked for nothing for a while would get all that was saved at once.
	slowStartBurst = 1.5

	// burstWindows is in how many parts of the time after which an overload tips an endpoint savings may be spent.
	burstWindows = 4

	// peakWindow is over how many time constants the most that warm endpoints answered is remembered, as there may be no warm one left.
	peakWindow = 10

	// minThroughput is what a warm endpoint is taken to answer all balancers together, in requests a second, before one has answered.
	minThroughput = 0.5
)

// slowStartState is an endpoint's start and its token bucket.
type slowStartState struct {
	stamp     int64   // its last start as the list states it
	startedAt int64   // the latest that it can have started; 0: long ago
	isWarm    bool    // by the last update of the list
	tokens    float64 // requests that it may still be sent
	updatedAt int64   // of the tokens
}

// restarted takes the start that the list states and tells whether it is a new one. It guards against stamps that are off: the latest start that the stamp and
// the time at which it is told allow counts.
func (s *slowStartState) restarted(now, stamp, stampError int64) bool {
	isNew := stamp > s.stamp || stampError > 0 && stamp > 0 && stamp != s.stamp
	if isNew {
		s.stamp, s.startedAt = stamp, max(1, min(now, stamp+stampError))
		s.tokens, s.updatedAt = 0, 0
	}
	return isNew
}

// begin has the endpoint count as started now, without the list telling it (restartDetector).
func (s *slowStartState) begin(now int64) {
	s.startedAt, s.tokens, s.updatedAt = now, 0, 0
}

// warmThroughput is what warm endpoints answer this balancer, per unit of weight.
type warmThroughput struct {
	answers sum     // each divided by the weight of the warm endpoints
	peak    float64 // the most of late, a second; it fades
	peakAt  int64
}

// update brings the peak up to now and returns it. perSecond turns answers into a rate.
func (w *warmThroughput) update(now, evidence int64, perSecond float64) float64 {
	faded := w.peak * math.Exp(-float64(now-w.peakAt)/float64(peakWindow*timeConstant))
	w.peak, w.peakAt = max(w.answers.ValueAt(evidence)*perSecond, faded), now
	return w.peak
}

// isWarmingUp tells whether an endpoint has started within the warm-up.
func (b *Balancer) isWarmingUp(now int64, index int) bool {
	startedAt := b.endpoints[index].slowStart.startedAt
	return startedAt > 0 && now < startedAt+b.settings.warmUp
}

// hasSlowStartBudget tells whether a warming endpoint may be sent a request now. Less than one token lets it in by chance, once a moment, and is spent.
func (b *Balancer) hasSlowStartBudget(now int64, index int) bool {
	state := &b.endpoints[index].slowStart
	if state.updatedAt < now && b.refillSlowStart(now, index) < 1 {
		state.tokens = math.Floor(state.tokens + b.random.float64())
	}
	return state.tokens >= 1
}

// refillSlowStart brings a warming endpoint's tokens up to now and returns them.
func (b *Balancer) refillSlowStart(now int64, index int) float64 {
	endpoint := &b.endpoints[index]
	perSecond := b.clock.pace * float64(second) / float64(timeConstant)
	capacity := b.warmingCapacity(now, endpoint)
	peak := b.warmThroughput.update(now, b.clock.evidence, perSecond)
	share := max(peak*endpoint.weight, minThroughput/b.fleetSize)
	arriving := b.admission.arrivals.ValueAt(b.clock.evidence) * perSecond * endpoint.weight / max(1, b.totalWeight)
	if peak == 0 { // No warm endpoint has answered yet: there may be none.
		share = max(share, arriving)
	}
	rate := share * capacity * b.processShare
	share = max(share, arriving)
	saved := max(float64(b.settings.overloadAfter)/float64(burstWindows*second), slowStartBurst/share)
	state := &endpoint.slowStart
	refilled := state.tokens + rate*float64(now-state.updatedAt)/float64(second)
	state.tokens, state.updatedAt = min(refilled, rate*saved), now
	return state.tokens
}

// warmingCapacity is the part of its usual that a warming endpoint may be sent: what is stated, and as much more, within the overload multiple, as its
// answers have proved. What it rejects or fails counts against that.
func (b *Balancer) warmingCapacity(now int64, endpoint *endpointState) float64 {
	s, evidence := &b.settings, b.clock.evidence
	stated := s.startCapacity + (1-s.startCapacity)*max(0, float64(now-endpoint.slowStart.startedAt)/float64(s.warmUp))
	most := slowStartMargin * s.overloadMultiple
	proved := endpoint.outlier.outcomes.successes.ValueAt(evidence) * b.clock.pace
	rejected, failed := endpoint.rejected.ValueAt(evidence), endpoint.outlier.outcomes.failures.ValueAt(evidence)
	return stated * (min(1, most) + max(0, most-1)*proved/(proved+provenHalfAt*(1+rejected+failed)))
}

// restartDetector finds a restart that no list shows: attempts broke and then no connection came about, with no answer between.
type restartDetector struct {
	failures int // in a row: 1 for attempts that broke, and one for each connection since
}

const (
	// restartConnectFailures is after how many connections that did not come about a broken endpoint counts as restarted: one alone may be the network.
	restartConnectFailures = 2

	// Each restart lowers how much may be in flight before requests are shed, as what made it fall may have been more than it bears
	// (health checks restart whoever holds too much): by restartTolerance, to minOverloadTolerance, once in restartSpacing, and back in toleranceRecovery.
	restartTolerance     = 0.7
	minOverloadTolerance = 0.3
	restartSpacing       = second / 2
	toleranceRecovery    = 40 * second
)

// detectRestart takes the end of an attempt.
func (b *Balancer) detectRestart(now int64, result AttemptResult) {
	endpoint := &b.endpoints[result.Endpoint]
	detector := &endpoint.restart
	switch result.Outcome {
	case ConnectFailed:
		b.count(&b.connectFailures)
		detector.failures += min(1, detector.failures)
		if detector.failures > restartConnectFailures {
			endpoint.slowStart.begin(now)
		}
		if detector.failures == restartConnectFailures+1 {
			b.admission.lowerTolerance(now)
		}
		endpoint.outlier.connectFailedAt = now
	case Reset:
		detector.failures = max(1, detector.failures)
	}
}

// lowerTolerance takes a restart that load may have brought on.
func (a *admissionLimiter) lowerTolerance(now int64) {
	if now > a.loweredAt+restartSpacing {
		a.tolerance, a.loweredAt = max(minOverloadTolerance, a.tolerance*restartTolerance), now
	}
}

// recover brings the tolerance back over a span.
func (a *admissionLimiter) recover(span int64) {
	a.tolerance = min(1, a.tolerance+float64(span)/float64(toleranceRecovery))
}
