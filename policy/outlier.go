package policy

import "math"

// Which endpoints are passed over because their attempts fail. Inputs are the successes and failures of an endpoint and
// of all, which fade.
//
// Each time a candidate is looked at, a chance of success is drawn from the beta posterior of its successes and
// failures (Thompson sampling, 1933, by a normal approximation). The endpoint is passed over if that is under
// successRatioFloor of the chance that all endpoints have: where all fail alike, as when the origin is failing, none is
// passed over. A failed connection, the verdict of other balancers and the outage of a zone tell more than an error,
// and are drawn for first.
//
// This guards against endpoints that the list still shows and that are dead, or that fail fast and so never look busy,
// which shows as errors from one endpoint or zone while the others are well. The guard holds since a failing endpoint
// is picked ever more rarely; being a draw, it is still tried now and then, so that it is found again, and balancers do
// not act in step.

const (
	// successRatioFloor is the part of all endpoints' chance of success under which one is passed over.
	successRatioFloor = 0.6

	// priorSuccesses and priorFailures are taken for an endpoint's before it has any: it is most likely well.
	priorSuccesses = 2.0
	priorFailures  = 0.1

	// minFailures is how many failures, the prior's among them, it takes before an endpoint may be passed over. One
	// with less than half a failure of its own left is not.
	minFailures = 0.6

	// A normal variable is approximated by the sum of four uniform ones (Irwin-Hall), whose mean is uniformSumMean and
	// whose variance is one over uniformSumPrecision.
	uniformSumMean      = 2
	uniformSumPrecision = 3

	// likelyDraw stands for each draw where nothing may be drawn: it is the median.
	likelyDraw = 0.5
)

// outcomeCounts are attempts that succeeded, and those that failed in a way that tells of the endpoint.
type outcomeCounts struct{ successes, failures sum }

// outlierState is what speaks against an endpoint.
type outlierState struct {
	outcomes    outcomeCounts
	silentSince int64   // when a connection failed or an attempt was overdue last, if nothing was answered since; 0
	peerVerdict float64 // of other balancers, 0 to 1; under 0: this one has the probe lease
}

// isProbe tells whether this balancer holds the probe lease for an endpoint that others eject.
func (o *outlierState) isProbe() bool { return o.peerVerdict < 0 }

// isOutlier draws whether an endpoint is passed over. draw returns a random number from 0 up to 1.
func (b *Balancer) isOutlier(index int, draw func() float64) bool {
	endpoint := &b.endpoints[index]
	state, evidence := &endpoint.outlier, b.clock.evidence
	successes := state.outcomes.successes.ValueAt(evidence) + priorSuccesses
	failures := state.outcomes.failures.ValueAt(evidence) + priorFailures
	if b.isUnreachable(endpoint, draw) {
		return true
	}
	if failures < minFailures || state.isProbe() {
		return false
	}
	n := successes + failures
	all := b.outcomes.successes.ValueAt(evidence) + priorSuccesses
	deviation := draw() + draw() + draw() + draw() - uniformSumMean
	chance := successes/n + deviation*math.Sqrt(uniformSumPrecision*successes*failures/(n+1))/n
	return chance < successRatioFloor*all/(all+b.outcomes.failures.ValueAt(evidence)+priorFailures)
}

// isUnreachable draws whether an endpoint is passed over for what tells more than an error: a connection that failed,
// which fades over the time constant; the verdict of other balancers; a zone that stopped answering. With the probe
// lease the outage of its zone does not keep the endpoint from being tried.
func (b *Balancer) isUnreachable(endpoint *endpointState, draw func() float64) bool {
	state := &endpoint.outlier
	age := float64(b.clock.now-state.silentSince) / float64(timeConstant)
	switch {
	case state.silentSince > 0 && draw() < math.Exp(-age):
		return true
	case state.peerVerdict > 0 && draw() < state.peerVerdict:
		return true
	}
	return !state.isProbe() && b.outages.ShouldAvoid(endpoint.zone, b.clock.now, draw())
}

// IsLikelyOutlier tells whether an endpoint is more likely to be passed over than not. It draws nothing, so that asking
// changes no decision.
func (b *Balancer) IsLikelyOutlier(index int) bool {
	return b.isOutlier(index, func() float64 { return likelyDraw })
}
