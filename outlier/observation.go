package outlier

import (
	"fmt"

	"hollylever/policy"
)

const (
	// failureRateAttempts is the decay constant of the failure rate, in attempts: ten seconds at 200 attempts per
	// second.
	failureRateAttempts = 2000.0
	// minFailureRate is the lower limit of the estimated failure rate: no balancer has observed enough attempts to
	// establish a lower one.
	minFailureRate = 0.001
	// rareFailureRate is the failure rate up to which a single failure is reported. Above it single failures are noise,
	// but two consecutive ones are not.
	rareFailureRate = 0.01
	// maxReportedFailures limits the count of consecutive failures, so that it fits into a report.
	maxReportedFailures = 200
)

// Observation is what the result of an attempt shows about its endpoint.
type Observation int

const (
	// Inconclusive is the observation of an attempt whose result shows nothing about the endpoint.
	Inconclusive Observation = iota
	// Success is any answer, whatever its content.
	Success
	// Failure is an attempt that ended in an error, a timeout or a reset.
	Failure
	// ConnectFailure is an attempt for which no connection was made. It counts as two failures.
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

// failures returns the number of consecutive failures that the observation counts as.
func (o Observation) failures() int {
	switch o {
	case Failure:
		return 1
	case ConnectFailure:
		return 2
	}
	return 0
}

// Classify returns the observation for an attempt that ended with outcome after the duration took. expected is the
// latency objective of its request, in the same unit as took. A cancelled attempt counts as failed if it had used at
// least half of that time; hedging would otherwise hide an endpoint that hangs.
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

// Observe records the observation from an attempt of this balancer. Endpoints that are not listed are ignored.
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

// recordSuccess ends a run of failures. If other members may have acted on that run, the recovery is reported without
// waiting for repeatInterval.
func (d *Detector) recordSuccess(now int64, endpoint *endpointState) {
	endpoint.lastSuccess = now
	if endpoint.consecutiveFailures >= d.reportThreshold() || endpoint.isEjected() {
		endpoint.recoveryReportsDue = recoveryRepeats
		d.urgent = true
	}
	endpoint.consecutiveFailures, endpoint.sentFailures = 0, 0
}

// recordFailure extends a run of failures. It marks the next message as urgent while additional failures still count at
// the receivers, or if the endpoint is ejected and other members wait for the outcome of probes.
func (d *Detector) recordFailure(now int64, endpoint *endpointState, failures int) {
	before := endpoint.consecutiveFailures
	endpoint.consecutiveFailures = min(maxReportedFailures, before+failures)
	endpoint.lastFailure, endpoint.recoveryReportsDue = now, 0
	if before < maxFailuresPerReporter && endpoint.consecutiveFailures >= d.reportThreshold() || endpoint.isEjected() {
		d.urgent = true
	}
}

// updateFailureRate includes an attempt at an endpoint that is not ejected in the failure rate.
func (d *Detector) updateFailureRate(observation Observation) {
	const decay = 1 - 1/failureRateAttempts
	d.decayedFailures *= decay
	d.decayedAttempts = d.decayedAttempts*decay + 1
	if observation != Success {
		d.decayedFailures++
	}
}

// failureRate estimates the probability that an attempt fails at an endpoint that is not ejected. It starts at 0.005.
func (d *Detector) failureRate() float64 {
	return max(minFailureRate, (d.decayedFailures+0.5)/(d.decayedAttempts+100))
}

// reportThreshold returns the number of consecutive failures from which an endpoint is reported.
func (d *Detector) reportThreshold() int {
	if d.failureRate() <= rareFailureRate {
		return 1
	}
	return 2
}
