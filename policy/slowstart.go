package policy

import "math"

// Slow start: the limit on the attempts at an endpoint that has started recently. Endpoints state when they started.
// During the warm-up an endpoint's capacity rises from startCapacity to its full capacity, and the endpoint crashes if
// it is sent more than overloadMultiple times its capacity for overloadAfter.
//
// The limit is a token bucket at each balancer. It refills at the rate at which a warm endpoint answers this balancer,
// per unit of weight, times the fraction of full capacity that the warming endpoint has by now, times a factor of at
// most slowStartMargin x overloadMultiple (warmingLoadLimit). At a factor of 1, a warming endpoint is as busy, relative
// to its capacity, as a warm one. A warm endpoint at full capacity is below its limit by the overload multiple. Each
// balancer sends little, but without the limit the sum over all balancers would crash a warming endpoint, which would
// then restart and crash again.
//
// In a large fleet, a balancer's share is far below one request. Fractions that were saved up to whole requests would
// be sent by all balancers at the same time. Instead, a fractional token is the probability that a request is allowed,
// and is spent whether or not it is, so that the fleet as a whole sends, on average, the sum of all shares. See
// docs/design.md, exception 9 (the page lists exceptions to the ordinary path); slowstart_fleet_test.go simulates
// fleets of 5 to 300 balancers.

const (
	// slowStartMargin is the fraction of the overload multiple that is used at most, as machines and the balancers'
	// shares of the traffic differ.
	slowStartMargin = 0.9

	// halfConfidenceSuccesses is the number of recent successes at which a warming endpoint without rejections or
	// failures gets half of the maximum that is sent beyond its stated capacity.
	halfConfidenceSuccesses = 8.0

	// slowStartBurst bounds the bucket, as a multiple of the tokens earned between two requests that could go to the
	// endpoint. The tokens of overloadAfter/minBurstDivisor are the bound if they are more. With a smaller bound, a
	// balancer with little traffic would send hardly anything; with a larger one, an idle endpoint would later receive
	// all the saved tokens' worth of requests at once.
	slowStartBurst = 1.5

	// minBurstDivisor is the divisor of overloadAfter that gives the least time whose tokens the bucket can hold.
	minBurstDivisor = 4

	// peakTimeConstants is the number of time constants in which the peak throughput of warm endpoints decays to 1/e.
	// The peak is kept because there may be no warm endpoint left to measure.
	peakTimeConstants = 10

	// minThroughput is the least rate, in requests per second, at which a warm endpoint is assumed to answer all
	// balancers together.
	minThroughput = 0.5
)

// slowStartState holds the start time of an endpoint and its token bucket.
type slowStartState struct {
	listedStart int64   // last start as the endpoint list states it
	startedAt   int64   // latest time at which it can have started; 0: long ago
	isWarm      bool    // as of the last update of the endpoint list
	tokens      float64 // requests that may be sent to it
	updatedAt   int64   // last refill of the tokens
}

// recordListedStart records the start that the endpoint list states and reports whether it is a new one. If the stated
// starts are inexact by up to startTimeError, the endpoint counts as started at the latest possible time that is not in
// the future, so that it does not count as warm too soon. An earlier stated start is then also a new one, as a later
// start may be stated with an earlier time. startedAt is at least 1, as 0 means long ago.
func (s *slowStartState) recordListedStart(now, listedStart, startTimeError int64) bool {
	isLater := listedStart > s.listedStart
	isEarlier := listedStart > 0 && listedStart < s.listedStart
	if !isLater && !(isEarlier && startTimeError > 0) {
		return false
	}
	s.listedStart, s.startedAt = listedStart, max(1, min(now, listedStart+startTimeError))
	s.tokens, s.updatedAt = 0, 0
	return true
}

// markRestarted sets the start to now, after a restart that was detected but is not in the endpoint list.
func (s *slowStartState) markRestarted(now int64) {
	s.startedAt, s.tokens, s.updatedAt = now, 0, 0
}

// warmThroughput is the rate at which warm endpoints answer this balancer, per unit of weight. Each answer is divided
// by the total weight of the warm endpoints at its time, so that the rate does not rise when warm endpoints leave the
// list.
type warmThroughput struct {
	answers sum     // each divided by the total weight of the warm endpoints
	peak    float64 // decaying peak of the rate, in answers per second
	peakAt  int64   // last update of peak
}

// update brings the peak up to date and returns it. perSecond converts the sum of answers into a rate per second.
func (w *warmThroughput) update(now, activityTime int64, perSecond float64) float64 {
	decayed := w.peak * math.Exp(-float64(now-w.peakAt)/float64(peakTimeConstants*timeConstant))
	w.peak, w.peakAt = max(w.answers.ValueAt(activityTime)*perSecond, decayed), now
	return w.peak
}

// isWarmingUp reports whether an endpoint started less than the warm-up time ago.
func (b *Balancer) isWarmingUp(now int64, index int) bool {
	startedAt := b.endpoints[index].slowStart.startedAt
	return startedAt > 0 && now < startedAt+b.settings.warmUp
}

// hasSlowStartBudget reports whether a warming endpoint may be sent a request now. If the bucket holds less than one
// token, the fraction is the probability that it may; it is drawn at most once per value of now, and spent whatever
// the result.
func (b *Balancer) hasSlowStartBudget(now int64, index int) bool {
	state := &b.endpoints[index].slowStart
	if state.updatedAt < now && b.refillSlowStart(now, index) < 1 {
		state.tokens = math.Floor(state.tokens + b.random.float64())
	}
	return state.tokens >= 1
}

// refillSlowStart refills a warming endpoint's token bucket up to now and returns the tokens. The rate is the
// throughput of a warm endpoint times the warming endpoint's capacity and this process's share of the balancer's
// attempts. Until a warm endpoint has answered (there may be none), that throughput is unknown. The endpoint's share of
// arriving requests is used instead, or this balancer's share of minThroughput if that is higher.
func (b *Balancer) refillSlowStart(now int64, index int) float64 {
	endpoint := &b.endpoints[index]
	perSecond := b.clock.rate * float64(second) / float64(timeConstant)
	loadLimit := b.warmingLoadLimit(now, endpoint)
	peak := b.warmThroughput.update(now, b.clock.activityTime, perSecond)
	warmRate := max(peak*endpoint.weight, minThroughput/b.fleetSize) // in requests per second
	arrivingRate := b.admission.arrivals.ValueAt(b.clock.activityTime) * perSecond * endpoint.weight / max(1, b.totalWeight)
	if peak == 0 {
		warmRate = max(warmRate, arrivingRate)
	}
	rate := warmRate * loadLimit * b.processShare
	burstSeconds := max(float64(b.settings.overloadAfter)/float64(minBurstDivisor*second), slowStartBurst/max(warmRate, arrivingRate))
	state := &endpoint.slowStart
	refilled := state.tokens + rate*float64(now-state.updatedAt)/float64(second)
	state.tokens, state.updatedAt = min(refilled, rate*burstSeconds), now
	return state.tokens
}

// warmingLoadLimit returns the load that a warming endpoint may be sent, as a fraction of the throughput of a warm one.
// It is the capacity that the settings state for the time since the start, times a factor that stays within the
// overload multiple. The factor rises with recent successes and falls with rejections and failures.
func (b *Balancer) warmingLoadLimit(now int64, endpoint *endpointState) float64 {
	s, activityTime := &b.settings, b.clock.activityTime
	statedCapacity := s.startCapacity + (1-s.startCapacity)*max(0, float64(now-endpoint.slowStart.startedAt)/float64(s.warmUp))
	maxFactor := slowStartMargin * s.overloadMultiple
	successes := endpoint.outlier.outcomes.successes.ValueAt(activityTime) * b.clock.rate
	rejected, failed := endpoint.rejected.ValueAt(activityTime), endpoint.outlier.outcomes.failures.ValueAt(activityTime)
	return statedCapacity * (min(1, maxFactor) + max(0, maxFactor-1)*successes/(successes+halfConfidenceSuccesses*(1+rejected+failed)))
}

// restartDetector detects a restart that the endpoint list does not show: an attempt ended with a reset connection, and
// further connections failed with no success in between. Without it, the endpoint would count as warm until the list
// states its restart.
type restartDetector struct {
	failures int // 0: no reset since the last success; else 1 plus the number of failed connections since
}

const (
	// restartConnectFailures: an endpoint counts as restarted after this many failed connections following a reset. A
	// single one may be a network fault.
	restartConnectFailures = 2

	// restartCapacityFactor is what a restart multiplies the admission limiter's capacity factor by. That lowers the
	// number of attempts in flight above which requests are rejected. Overload may have caused the restart, as health
	// checks restart an endpoint that holds too many requests.
	restartCapacityFactor = 0.7

	// minCapacityFactor is the least capacity factor after restarts, as endpoints may also crash for other reasons.
	minCapacityFactor = 0.3

	// restartSpacing is the time, in nanoseconds, within which several restarts lower the capacity factor only once.
	restartSpacing = second / 2

	// capacityFactorRecovery is the time, in nanoseconds, in which the capacity factor recovers by 1.
	capacityFactorRecovery = 40 * second
)

// detectRestart updates the restart detector of an endpoint with the result of an attempt. It also counts a failed
// connection and marks its endpoint unresponsive. It does not reset the detector after a success: recordEndpointOutcome
// does.
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
			endpoint.slowStart.markRestarted(now)
		}
		if detector.failures == restartConnectFailures+1 {
			b.admission.lowerCapacityFactor(now)
		}
		endpoint.outlier.lastUnresponsiveAt = now
	case Reset:
		detector.failures = max(1, detector.failures)
	}
}

// lowerCapacityFactor lowers the capacity factor after a restart, at most once per restartSpacing.
func (a *admissionLimiter) lowerCapacityFactor(now int64) {
	if now > a.capacityLoweredAt+restartSpacing {
		a.capacityFactor, a.capacityLoweredAt = max(minCapacityFactor, a.capacityFactor*restartCapacityFactor), now
	}
}

// recoverCapacityFactor raises the capacity factor in proportion to the elapsed time, in nanoseconds.
func (a *admissionLimiter) recoverCapacityFactor(elapsed int64) {
	a.capacityFactor = min(1, a.capacityFactor+float64(elapsed)/float64(capacityFactorRecovery))
}
