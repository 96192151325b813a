// Package outage detects zones that have stopped answering, from the outcomes of one balancer's own attempts. Package
// policy calls it for each attempt that is answered or fails, and asks it before it selects a server.
//
// A balancer of a large fleet sends each server one request in many seconds, so that a lost zone would cost it an
// attempt for each of the zone's servers if it found them out one by one. Failures of different servers of one zone
// without a response of that zone between them tell sooner, as long as other zones respond meanwhile: the detector asks
// how probable such a series would be if the zone failed no more often than the others, and suspects the zone when that
// is improbable.
//
// The package does no I/O: times are nanoseconds of the caller's clock, and random draws are handed in. A Detector must
// not be used concurrently.
package outage

import (
	"math"
	"slices"
)

const (
	// maxFalseAlarmProbability is how improbable a series of failures has to be, were the zone like the others, to
	// suspect it. A false alarm costs little, as the zone's next response ends it and other zones serve meanwhile; each
	// further failure that is waited for costs a request.
	maxFalseAlarmProbability = 1.0 / 50
	// priorFailures of priorAttempts are assumed of the other zones until their outcomes tell.
	priorFailures = 1.0
	priorAttempts = 10.0
	// outcomeWindow is over how many outcomes a zone's counts are averaged: long enough to tell a rate of some percent,
	// short enough to forget a fault that has passed.
	outcomeWindow = 64.0
	// minFailedServers is how many different servers make a series. The failures of one alone tell of that server.
	minFailedServers = 2
	// maxFailedServers bounds the servers remembered of a series, and with them the memory and the time of an outcome.
	// A longer series is called for only where more than 94 in 100 attempts fail everywhere.
	maxFailedServers = 64
	// maxBackoffFactor bounds by how much longer a zone is avoided when more of its servers have failed, so that its
	// return is noticed.
	maxBackoffFactor = 8
)

// Detector holds what one balancer knows of its zones.
type Detector struct {
	zones        []zoneHistory // by index + 1
	backoffNanos float64       // see New
}

// zoneHistory is what the outcomes of attempts to one zone's servers tell.
type zoneHistory struct {
	failures, attempts float64 // averaged over outcomeWindow

	// The series: different servers that failed since the zone's last response.
	failedServers []int
	seriesStartAt int64 // first failure of the series
	lastFailureAt int64

	lastResponseAt int64
	isSuspected    bool // kept, as it is asked for each server at each request and changes with outcomes alone
}

// New returns a Detector that tries a suspected zone again with a probability that grows over backoffNanos, in
// nanoseconds.
func New(backoffNanos int64) *Detector { return &Detector{backoffNanos: float64(backoffNanos)} }

// zone returns a zone by its index in the settings. Index -1, of servers whose zone the settings do not name, is one
// more zone.
func (d *Detector) zone(index int) *zoneHistory {
	for len(d.zones) < index+2 {
		d.zones = append(d.zones, zoneHistory{})
	}
	return &d.zones[index+1]
}

// recordOutcome counts an attempt, with 1 for a failure and 0 for a response.
func (z *zoneHistory) recordOutcome(failures float64) {
	z.failures += failures - z.failures/outcomeWindow
	z.attempts += 1 - z.attempts/outcomeWindow
}

// RecordResponse takes a response of any kind, a rejection too, from a server of the zone. It ends the zone's series.
func (d *Detector) RecordResponse(zoneIndex int, now int64) {
	z := d.zone(zoneIndex)
	z.recordOutcome(0)
	z.failedServers, z.lastResponseAt = z.failedServers[:0], now
	d.updateSuspicions()
}

// RecordFailure takes an attempt without a response: no connection came up, or nothing came in time.
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

// updateSuspicions judges all zones anew, as each outcome of one is evidence about the others.
func (d *Detector) updateSuspicions() {
	for i := range d.zones {
		d.zones[i].isSuspected = d.isLikelyDown(i)
	}
}

// IsSuspected tells whether the zone seems lost: its series of failures would be improbable in the other zones, and one
// of these has responded since it began.
func (d *Detector) IsSuspected(zoneIndex int) bool { return d.zone(zoneIndex).isSuspected }

// isLikelyDown works out what IsSuspected tells, for a position in d.zones.
func (d *Detector) isLikelyDown(position int) bool {
	z := &d.zones[position]
	if len(z.failedServers) < minFailedServers {
		return false
	}
	failures, attempts, otherResponded := priorFailures, priorAttempts, false
	for i := range d.zones {
		other := &d.zones[i]
		// Guards against two zones that are lost at a time: each would make the other's failures look usual.
		if i == position || len(other.failedServers) >= minFailedServers {
			continue
		}
		failures += other.failures
		attempts += other.attempts
		// Guards against a fault of this balancer's own, such as its network: nobody responds then, and no zone is to
		// blame.
		otherResponded = otherResponded || other.lastResponseAt > z.seriesStartAt
	}
	seriesProbability := math.Pow(failures/attempts, float64(len(z.failedServers)))
	return otherResponded && seriesProbability < maxFalseAlarmProbability
}

// ShouldAvoid tells whether a request should go to another zone, for a random draw from 0 to 1. A suspected zone is
// tried again with a probability that grows with the time since its last failure, and more slowly the more of its
// servers have failed.
func (d *Detector) ShouldAvoid(zoneIndex int, now int64, draw float64) bool {
	if !d.IsSuspected(zoneIndex) {
		return false
	}
	z := d.zone(zoneIndex)
	backoff := d.backoffNanos * float64(min(len(z.failedServers), maxBackoffFactor))
	return draw < math.Exp(-float64(now-z.lastFailureAt)/backoff)
}
