package policy

import "math"

// Outlier detection: passing over endpoints whose attempts fail. The inputs are decaying counts of the successes and
// failures of each endpoint and of all endpoints.
//
// Each time a candidate is examined, a success ratio is drawn from the beta posterior of its successes and failures
// (Thompson sampling, 1933, with a normal approximation). The endpoint is passed over if the drawn ratio is below
// successRatioFloor times the success ratio of all endpoints. So if all endpoints fail alike, for example because the
// origin is failing, none is passed over. A failed connection, the verdict of other balancers and a zone outage are
// stronger evidence than an error, and are checked first.
//
// This covers endpoints that are dead although the endpoint list still shows them, and endpoints that fail fast and
// therefore never look busy. Without it, requests fail at one endpoint or zone while the others are healthy. A failing
// endpoint is selected less and less often. As the decision is random, the endpoint is still tried now and then, so
// that its recovery is noticed, and balancers do not all change endpoints at the same time.

const (
	// successRatioFloor is the fraction of the success ratio of all endpoints below which an endpoint is passed over.
	successRatioFloor = 0.6

	// priorSuccesses and priorFailures are added to the counts of an endpoint and of all endpoints. An endpoint without
	// attempts is most likely healthy.
	priorSuccesses = 2.0
	priorFailures  = 0.1

	// minFailures is the least number of failures, priorFailures included, from which on an endpoint may be passed over
	// for its success ratio: its own failures, which decay, must come to at least half a failure.
	minFailures = 0.6

	// A normal variable is approximated by the sum of four uniform variables (Irwin-Hall distribution), which has the
	// mean uniformSumMean and the variance 1/uniformSumPrecision.
	uniformSumMean      = 2
	uniformSumPrecision = 3

	// medianDraw is the median of a uniform draw. It replaces random draws where the random source must not advance.
	medianDraw = 0.5
)

// outcomeCounts holds decaying counts of the attempts that succeeded, and of those that failed in a way that is
// evidence against the endpoint.
type outcomeCounts struct{ successes, failures sum }

// outlierState is the evidence on whether an endpoint is an outlier.
type outlierState struct {
	outcomes           outcomeCounts
	lastUnresponsiveAt int64   // latest failed connection or overdue attempt without a success since; 0: none
	peerVerdict        float64 // of other balancers, 0 to 1; negative: this balancer holds the probe lease
}

// isProbe reports whether this balancer holds the probe lease for an endpoint that the fleet has ejected.
func (o *outlierState) isProbe() bool { return o.peerVerdict < 0 }

// isOutlier decides at random whether an endpoint is passed over. draw returns a random number from 0 up to 1.
func (b *Balancer) isOutlier(index int, draw func() float64) bool {
	endpoint := &b.endpoints[index]
	state, activityTime := &endpoint.outlier, b.clock.activityTime
	successes := state.outcomes.successes.ValueAt(activityTime) + priorSuccesses
	failures := state.outcomes.failures.ValueAt(activityTime) + priorFailures
	if b.isUnreachable(endpoint, draw) {
		return true
	}
	if failures < minFailures || state.isProbe() {
		return false
	}
	n := successes + failures
	fleetSuccesses := b.outcomes.successes.ValueAt(activityTime) + priorSuccesses
	deviation := draw() + draw() + draw() + draw() - uniformSumMean
	drawnRatio := successes/n + deviation*math.Sqrt(uniformSumPrecision*successes*failures/(n+1))/n
	return drawnRatio < successRatioFloor*fleetSuccesses/(fleetSuccesses+b.outcomes.failures.ValueAt(activityTime)+priorFailures)
}

// isUnreachable decides at random whether an endpoint is passed over on evidence that is stronger than an error: a
// failed connection or overdue attempt, which decays with the time constant; the verdict of other balancers; an outage
// of its zone. A zone outage does not matter for an endpoint for which this balancer holds the probe lease.
func (b *Balancer) isUnreachable(endpoint *endpointState, draw func() float64) bool {
	state := &endpoint.outlier
	age := float64(b.clock.now-state.lastUnresponsiveAt) / float64(timeConstant)
	switch {
	case state.lastUnresponsiveAt > 0 && draw() < math.Exp(-age):
		return true
	case state.peerVerdict > 0 && draw() < state.peerVerdict:
		return true
	}
	return !state.isProbe() && b.outages.ShouldAvoid(endpoint.zone, b.clock.now, draw())
}

// IsLikelyOutlier reports whether an endpoint is more likely to be passed over than not. It draws no random number, so
// the call does not affect later decisions.
func (b *Balancer) IsLikelyOutlier(index int) bool {
	return b.isOutlier(index, func() float64 { return medianDraw })
}
