package policy

import "math"

// What an endpoint that has just started may be sent (slow start). An endpoint states its start. For the time of the
// warm-up it can do startCapacity of its usual, climbing to the whole, and falls over if it is sent more than
// overloadMultiple times that for overloadAfter.
//
// Its budget at this balancer is a token bucket: what a warm endpoint answers here per second and unit of weight, times
// the part of its usual that it can do by now. An endpoint that is as busy as a warm one, for what it can do, is below
// its limit by the overload multiple. The budget guards warming endpoints against the sum of all balancers, each of
// which sends little: pushed over, they fall, and start again. It shows as endpoints that come and go.
//
// Shares are far below one request where the fleet is large, and whole ones that were saved up would come from all
// balancers at once. So a request is let in by chance, with the tokens that there are as its probability, and the
// tokens are spent either way. What all balancers let in together is, in the mean, what all shares come to.
// docs/design.md, exception 9; slowstart_fleet_test.go plays 5 to 300 balancers against the rule.

const (
	// slowStartMargin is the part of what the overload multiple allows that is used at most: machines differ, and so do
	// balancers' shares of the traffic.
	slowStartMargin = 0.9

	// provenHalfAt is how many answers of late prove half of what answers can prove of a warming endpoint. What it is
	// sent beyond its stated capacity rests on these.
	provenHalfAt = 8.0

	// slowStartBurst is how much may be saved up, as a multiple of what comes in between two requests that could go
	// there. With less, a balancer that sees few requests would let hardly any in; with more, an endpoint that was sent
	// nothing for a while would get all that was saved at once.
	slowStartBurst = 1.5

	// burstWindows: at least what comes in within one in so many parts of overloadAfter may be saved up.
	burstWindows = 4

	// peakWindow is in how many time constants the most that warm endpoints answered fades to 1/e: there may be no warm
	// one left.
	peakWindow = 10

	// minThroughput is the least that a warm endpoint is taken to answer all balancers together, in requests a second.
	minThroughput = 0.5
)

// slowStartState is an endpoint's start and its token bucket.
type slowStartState struct {
	stamp     int64   // its last start as the list states it
	startedAt int64   // the latest that it can have started; 0: long ago
	isWarm    bool    // by the last update of the list
	tokens    float64 // requests that it may be sent
	updatedAt int64   // when the tokens were refilled last
}

// restarted takes the start that the list states, and tells whether it is a new one. Where stamps may be off, by
// stampError, the endpoint counts as started at the latest time that the stamp and the present allow: it is not taken
// for warm too soon.
func (s *slowStartState) restarted(now, stamp, stampError int64) bool {
	isLater := stamp > s.stamp
	isEarlier := stamp > 0 && stamp < s.stamp
	if !isLater && !(isEarlier && stampError > 0) {
		return false
	}
	s.stamp, s.startedAt = stamp, max(1, min(now, stamp+stampError))
	s.tokens, s.updatedAt = 0, 0
	return true
}

// begin has the endpoint count as started now, where a restart was seen that the list has not told.
func (s *slowStartState) begin(now int64) {
	s.startedAt, s.tokens, s.updatedAt = now, 0, 0
}

// warmThroughput is what warm endpoints answer this balancer per unit of weight. It does not rise as warm endpoints
// leave the list, since each answer is divided by the weight of those that there are at the time.
type warmThroughput struct {
	answers sum     // each divided by the weight of the warm endpoints
	peak    float64 // the most of late, in answers a second; it fades
	peakAt  int64
}

// update brings the peak up to now and returns it. perSecond turns the sum of answers into a rate.
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

// hasSlowStartBudget tells whether a warming endpoint may be sent a request now. A fraction of a token is the chance
// that it may. It is drawn for once at each time, and spent either way.
func (b *Balancer) hasSlowStartBudget(now int64, index int) bool {
	state := &b.endpoints[index].slowStart
	if state.updatedAt < now && b.refillSlowStart(now, index) < 1 {
		state.tokens = math.Floor(state.tokens + b.random.float64())
	}
	return state.tokens >= 1
}

// refillSlowStart brings a warming endpoint's tokens up to now and returns them. The endpoint gets what a warm one
// answers, times the part of that which it can do. Before any warm one has answered, there may be none: then it gets
// its part of what arrives.
func (b *Balancer) refillSlowStart(now int64, index int) float64 {
	endpoint := &b.endpoints[index]
	perSecond := b.clock.pace * float64(second) / float64(timeConstant)
	capacity := b.warmingCapacity(now, endpoint)
	peak := b.warmThroughput.update(now, b.clock.evidence, perSecond)
	usualRate := max(peak*endpoint.weight, minThroughput/b.fleetSize) // what a warm one answers, in requests a second
	arrivingRate := b.admission.arrivals.ValueAt(b.clock.evidence) * perSecond * endpoint.weight / max(1, b.totalWeight)
	if peak == 0 {
		usualRate = max(usualRate, arrivingRate)
	}
	rate := usualRate * capacity * b.processShare
	savedSeconds := max(float64(b.settings.overloadAfter)/float64(burstWindows*second), slowStartBurst/max(usualRate, arrivingRate))
	state := &endpoint.slowStart
	refilled := state.tokens + rate*float64(now-state.updatedAt)/float64(second)
	state.tokens, state.updatedAt = min(refilled, rate*savedSeconds), now
	return state.tokens
}

// warmingCapacity is the part of its usual that a warming endpoint may be sent: the stated part, climbing to the whole,
// times a factor within the overload multiple that rises with its answers of late. What it rejects or fails lowers the
// factor.
func (b *Balancer) warmingCapacity(now int64, endpoint *endpointState) float64 {
	s, evidence := &b.settings, b.clock.evidence
	stated := s.startCapacity + (1-s.startCapacity)*max(0, float64(now-endpoint.slowStart.startedAt)/float64(s.warmUp))
	most := slowStartMargin * s.overloadMultiple
	proved := endpoint.outlier.outcomes.successes.ValueAt(evidence) * b.clock.pace
	rejected, failed := endpoint.rejected.ValueAt(evidence), endpoint.outlier.outcomes.failures.ValueAt(evidence)
	return stated * (min(1, most) + max(0, most-1)*proved/(proved+provenHalfAt*(1+rejected+failed)))
}

// restartDetector finds a restart that the list does not show: attempts broke, and then no connection came about, with
// no answer between. It guards an endpoint that has restarted against being taken for warm until the list tells.
type restartDetector struct {
	failures int // 0: none broke since the last answer; else 1, and one for each connection that failed since
}

const (
	// restartConnectFailures is after how many failed connections an endpoint whose attempts broke counts as restarted.
	// One alone may be the network.
	restartConnectFailures = 2

	// restartTolerance is the factor by which a restart lowers how much may be in flight before requests are rejected
	// for overload: what made the endpoint fall may have been more than it bears, as health checks restart one that
	// holds too much.
	restartTolerance = 0.7

	// minOverloadTolerance is the least that restarts lower it to: endpoints may also crash for reasons of their own.
	minOverloadTolerance = 0.3

	// restartSpacing is the time, in nanoseconds, within which several restarts lower it once.
	restartSpacing = second / 2

	// toleranceRecovery is the time, in nanoseconds, in which it recovers by 1.
	toleranceRecovery = 40 * second
)

// detectRestart takes the end of an attempt. recordEndpointOutcome resets the detector at an answer.
func (b *Balancer) detectRestart(now int64, result AttemptResult) {
	endpoint := &b.endpoints[result.Endpoint]
	detector := &endpoint.restart
	switch result.Outcome {
	case ConnectFailed:
		b.count(&b.connectFailures)
		if detector.failures > 0 {
			detector.failures++
		}
		if detector.failures > restartConnectFailures {
			endpoint.slowStart.begin(now)
		}
		if detector.failures == restartConnectFailures+1 {
			b.admission.lowerTolerance(now)
		}
		endpoint.outlier.silentSince = now
	case Reset:
		detector.failures = max(1, detector.failures)
	}
}

// lowerTolerance takes a restart that load may have caused.
func (a *admissionLimiter) lowerTolerance(now int64) {
	if now > a.loweredAt+restartSpacing {
		a.tolerance, a.loweredAt = max(minOverloadTolerance, a.tolerance*restartTolerance), now
	}
}

// recover raises the tolerance for a time that has passed, in nanoseconds.
func (a *admissionLimiter) recover(span int64) {
	a.tolerance = min(1, a.tolerance+float64(span)/float64(toleranceRecovery))
}
