package policy

import "math"

// Which endpoints are passed over because their attempts fail. Each time a candidate is looked at, a chance of success is drawn from the beta posterior of its successes and
// failures (Thompson sampling, by a normal approximation) and held against a part of the chance that all endpoints have: where all fail alike, as when the origin is in
// trouble, nobody is passed over. Being a draw, a suspected endpoint is tried now and then, and balancers do not act in step. This guards against endpoints that the list
// still shows and that are dead, or that fail fast and so never look busy.

const (
	// successRatioFloor is the part of the chance of success of all endpoints under which one is passed over.
	successRatioFloor = 0.6

	// priorSuccesses and priorFailures are what is taken of an endpoint before it is known.
	priorSuccesses = 2.0
	priorFailures  = 0.1

	// minFailures is how many failures it takes, the prior's with them, before an endpoint is looked at: half a failure of late is none.
	minFailures = 0.6

	// likelyDraw stands for each draw where nothing may be drawn.
	likelyDraw = 0.5
)

// outcomeCounts are attempts that succeeded, and those that failed in a way that tells of the endpoint. They fade.
type outcomeCounts struct{ successes, failures sum }

// outlierState is what speaks against an endpoint.
type outlierState struct {
	outcomes        outcomeCounts
	connectFailedAt int64   // when a connection did not come about or an attempt was overdue, if nothing was answered since; 0
	peerVerdict     float64 // what others' reports take from its chance to be selected; under 0: the probe lease is here
}

// isProbe tells whether this balancer holds the probe lease for an endpoint that others eject.
func (o *outlierState) isProbe() bool { return o.peerVerdict < 0 }

// isOutlier draws whether an endpoint is passed over.
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
	normal := draw() + draw() + draw() + draw() - 2 // of variance 1/3
	chance := successes/n + normal*math.Sqrt(3*successes*failures/(n+1))/n
	return chance < successRatioFloor*all/(all+b.outcomes.failures.ValueAt(evidence)+priorFailures)
}

// isUnreachable draws whether an endpoint is passed over for what tells more than an error: a connection that failed, which fades over the time constant; the reports
// of others; a zone that stopped answering.
func (b *Balancer) isUnreachable(endpoint *endpointState, draw func() float64) bool {
	state := &endpoint.outlier
	age := float64(b.clock.now-state.connectFailedAt) / float64(timeConstant)
	switch {
	case state.connectFailedAt > 0 && draw() < math.Exp(-age):
		return true
	case state.peerVerdict > 0 && draw() < state.peerVerdict:
		return true
	}
	return !state.isProbe() && b.outages.ShouldAvoid(endpoint.zone, b.clock.now, draw())
}

// IsLikelyOutlier tells whether an endpoint would sooner be passed over than not. It draws nothing.
func (b *Balancer) IsLikelyOutlier(index int) bool {
	return b.isOutlier(index, func() float64 { return likelyDraw })
}
