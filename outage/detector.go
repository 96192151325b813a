// Package outage detects zones that have stopped responding, from the outcomes of one balancer's own attempts. Package
// policy records each attempt that is answered or fails, and queries the detector before it selects a server.
//
// In a large fleet a balancer sends each server only one request in many seconds. If it detected the failed servers of
// an unreachable zone one by one, the outage would cost it an attempt for each server. Consecutive failures of
// different servers of one zone, without any response from that zone in between, reveal the outage sooner as long as
// other zones respond meanwhile. The detector computes how probable such a series would be if the zone failed no more
// often than the others, and suspects the zone if the series is improbable.
//
// The package does no I/O: the caller passes in times, in nanoseconds of its clock, and random numbers. A Detector is
// not safe for concurrent use.
package outage

import (
	"math"
	"slices"
)

const (
	// maxFalseAlarmProbability is the threshold for suspecting a zone: the probability of its series of failures if the
	// zone failed as often as the others. A false alarm is cheap, as the zone's next response ends it and other zones
	// serve the requests meanwhile, whereas waiting for each further failure costs a request.
	maxFalseAlarmProbability = 1.0 / 50
	// priorFailures and priorAttempts are the prior of the other zones' failure rate, which dominates until enough
	// outcomes are recorded.
	priorFailures = 1.0
	priorAttempts = 10.0
	// outcomeWindow is the decay constant of a zone's counts, in outcomes: long enough to measure a failure rate of a
	// few percent, short enough to discard a past fault.
	outcomeWindow = 64.0
	// minFailedServers is the minimum number of different failed servers in a series. Failures of a single server are
	// evidence only against that server.
	minFailedServers = 2
	// maxFailedServers limits the servers stored per series, and thereby memory use and the time to record an outcome.
	// A longer series would be needed only if more than 94% of the attempts fail in all zones.
	maxFailedServers = 64
	// maxBackoffFactor limits the factor by which failures of further servers prolong the avoidance of a zone, so that
	// its recovery is detected.
	maxBackoffFactor = 8
)

// Detector holds one balancer's outcome history of all zones.
type Detector struct {
	zones        []zoneHistory // by zone index + 1
	backoffNanos float64       // see New
}

// zoneHistory summarizes the outcomes of attempts at the servers of one zone.
type zoneHistory struct {
	failures, attempts float64 // decaying sums, see outcomeWindow

	// The series: the different servers that have failed since the zone's last response.
	failedServers []int
	seriesStartAt int64 // first failure of the series
	lastFailureAt int64

	lastResponseAt int64
	isSuspected    bool // cached: it is read per server and request and changes only with outcomes
}

// New returns a Detector. backoffNanos is the base time constant, in nanoseconds, with which the probability of
// retrying a suspected zone grows after a failure.
func New(backoffNanos int64) *Detector { return &Detector{backoffNanos: float64(backoffNanos)} }

// zone returns the history of a zone by its index in the settings. Index -1 is a zone of its own for all servers whose
// zone is not in the settings.
func (d *Detector) zone(index int) *zoneHistory {
	for len(d.zones) < index+2 {
		d.zones = append(d.zones, zoneHistory{})
	}
	return &d.zones[index+1]
}

// recordOutcome adds an attempt to the counts; failures is 1 for a failure and 0 for a response.
func (z *zoneHistory) recordOutcome(failures float64) {
	z.failures += failures - z.failures/outcomeWindow
	z.attempts += 1 - z.attempts/outcomeWindow
}

// RecordResponse records a response of any kind, including a rejection, from a server of the zone. It ends the zone's
// series.
func (d *Detector) RecordResponse(zoneIndex int, now int64) {
	z := d.zone(zoneIndex)
	z.recordOutcome(0)
	z.failedServers, z.lastResponseAt = z.failedServers[:0], now
	d.updateSuspicions()
}

// RecordFailure records an attempt without a response: the connection failed, or no response arrived in time.
func (d *Detector) RecordFailure(zoneIndex, server int, now int64) {
	z := d.zone(zoneIndex)
	z.recordOutcome(1)
	if len(z.failedServers) == 0 {
		z.seriesStartAt = now
	}
	z.lastFailureAt = now
	if len(z.failedServers) < maxFailedServers && !slices.Contains(z.failedServers, server) {
		z.failedServers = append(z.failedServers, server)
	}
	d.updateSuspicions()
}

// updateSuspicions re-evaluates all zones, as an outcome in one zone affects the failure rate the others are compared
// to.
func (d *Detector) updateSuspicions() {
	for i := range d.zones {
		d.zones[i].isSuspected = d.isLikelyDown(i)
	}
}

// IsSuspected reports whether the zone is probably down: its series of failures would be improbable in the other zones,
// and one of these has responded since the series began.
func (d *Detector) IsSuspected(zoneIndex int) bool { return d.zone(zoneIndex).isSuspected }

// isLikelyDown computes the result of IsSuspected for the zone at a position in d.zones.
func (d *Detector) isLikelyDown(position int) bool {
	z := &d.zones[position]
	if len(z.failedServers) < minFailedServers {
		return false
	}
	failures, attempts, otherResponded := priorFailures, priorAttempts, false
	for i := range d.zones {
		other := &d.zones[i]
		// Zones with a series of their own are excluded: if two zones are down at the same time, each would
		// otherwise make the other's failures look normal.
		if i == position || len(other.failedServers) >= minFailedServers {
			continue
		}
		failures += other.failures
		attempts += other.attempts
		// Requires a response from another zone. If none responds, the fault is on this balancer's side, such as
		// its network, and no zone should be suspected.
		otherResponded = otherResponded || other.lastResponseAt > z.seriesStartAt
	}
	seriesProbability := math.Pow(failures/attempts, float64(len(z.failedServers)))
	return otherResponded && seriesProbability < maxFalseAlarmProbability
}

// ShouldAvoid reports whether a request should go to another zone. draw is a uniform random number from 0 to 1. A
// suspected zone is retried with a probability that grows with the time since its last failure, and more slowly the
// more of its servers have failed.
func (d *Detector) ShouldAvoid(zoneIndex int, now int64, draw float64) bool {
	if !d.IsSuspected(zoneIndex) {
		return false
	}
	z := d.zone(zoneIndex)
	backoff := d.backoffNanos * float64(min(len(z.failedServers), maxBackoffFactor))
	return draw < math.Exp(-float64(now-z.lastFailureAt)/backoff)
}
