package outlier

import (
	"fmt"

	"hollylever/policy"
)

const (
	// failureRateAttempts is over how many attempts the failure rate is an average: ten seconds at 200 a second.
	failureRateAttempts = 2000.0
	// minFailureRate is the lowest rate that is believed: no balancer has seen enough attempts to know a lower one.
	minFailureRate = 0.001
	// rareFailureRate is up to where a single failure is news. Above it single failures are noise, two in a row are
	// not.
	rareFailureRate = 0.01
	// maxReportedFailures bounds the consecutive failures that are counted, so that they fit into a report.
	maxReportedFailures = 200
)

// Observation is what the end of an attempt tells of its endpoint.
type Observation int

const (
	// Inconclusive is the observation of an attempt whose end says nothing of the endpoint.
	Inconclusive Observation = iota
	// Success is an answer, whatever it says.
	Success
	// Failure is an attempt that ended in an error, a timeout or a reset.
	Failure
	// ConnectFailure is an attempt for which no connection was made. It weighs as much as two failures.
	ConnectFailure
)

// String returns the observation's name for logs.
func (o Observation) String() string {
	switch o {
	case Inconclusive:
		return "inconclusive"
	case Success:
		return "success"
	case Failure:
		return "failure"
	case ConnectFailure:
		return "connect failure"
	}
	return fmt.Sprintf("Observation(%d)", int(o))
}

// failures is how many consecutive failures the observation counts as.
func (o Observation) failures() int {
	switch o {
	case Failure:
		return 1
	case ConnectFailure:
		return 2
	}
	return 0
}

// Classify tells what an attempt says of its endpoint that ended with outcome after took, where expected is the
// latency objective of its request (any unit, the same for both). An attempt that was cancelled counts as failed if
// it had used half of that: hedging would otherwise hide an endpoint that hangs.
func Classify(outcome policy.Outcome, took, expected int64) Observation {
	switch outcome {
	case policy.OK, policy.CacheMiss:
		return Success
	case policy.Errored, policy.TimedOut, policy.Reset:
		return Failure
	case policy.ConnectFailed:
		return ConnectFailure
	case policy.Cancelled:
		if took >= expected/2 {
			return Failure
		}
	}
	return Inconclusive
}

// Observe records what an own attempt says of its endpoint. Endpoints that are not listed are ignored.
func (d *Detector) Observe(now int64, id uint32, observation Observation) {
	endpoint := d.endpoints[id]
	if endpoint == nil {
		return
	}
	if observation != Inconclusive && !endpoint.isEjected() {
		d.updateFailureRate(observation)
	}
	switch observation {
	case Success:
		d.recordSuccess(now, endpoint)
	case Failure, ConnectFailure:
		d.active[id] = endpoint
		d.recordFailure(now, endpoint, observation.failures())
	}
}

// recordSuccess ends a run of failures. If others may act on that run they are told at once that it is over.
func (d *Detector) recordSuccess(now int64, endpoint *endpointState) {
	endpoint.lastSuccess = now
	if endpoint.consecutiveFailures >= d.reportThreshold() || endpoint.isEjected() {
		endpoint.recoveryReportsDue = recoveryRepeats
		d.urgent = true
	}
	endpoint.consecutiveFailures, endpoint.sentFailures = 0, 0
}

// recordFailure prolongs a run of failures, and makes a message due at once while each further failure still counts for
// others, or where the endpoint is ejected and they wait for the outcome of probes.
func (d *Detector) recordFailure(now int64, endpoint *endpointState, failures int) {
	before := endpoint.consecutiveFailures
	endpoint.consecutiveFailures = min(maxReportedFailures, before+failures)
	endpoint.lastFailure, endpoint.recoveryReportsDue = now, 0
	if before < maxFailuresPerReporter && endpoint.consecutiveFailures >= d.reportThreshold() || endpoint.isEjected() {
		d.urgent = true
	}
}

// updateFailureRate counts an attempt at an endpoint that is not ejected.
func (d *Detector) updateFailureRate(observation Observation) {
	const decay = 1 - 1/failureRateAttempts
	d.decayedFailures *= decay
	d.decayedAttempts = d.decayedAttempts*decay + 1
	if observation != Success {
		d.decayedFailures++
	}
}

// failureRate is the chance that an attempt fails at an endpoint that nobody holds for an outlier. It begins at 0.005.
func (d *Detector) failureRate() float64 {
	return max(minFailureRate, (d.decayedFailures+0.5)/(d.decayedAttempts+100))
}

// reportThreshold is from how many consecutive failures on an endpoint is reported.
func (d *Detector) reportThreshold() int {
	if d.failureRate() <= rareFailureRate {
		return 1
	}
	return 2
}
