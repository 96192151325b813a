// Package outage detects zones that have stopped answering, from the outcomes of one balancer's own attempts. The
// decision module calls it for each attempt that is answered or fails and asks it before it picks a server. It is
// pure: the clock and the random draw are handed in.
//
// A balancer of a large fleet sends each server a request in many seconds, so that a lost zone costs it one attempt
// for each of the zone's servers if it finds them out one by one. Failures of different servers of one zone with no
// answer of that zone between them tell sooner, as long as other zones answer meanwhile.
package outage

import (
	"math"
	"slices"
)

const (
	// falseAlarm is how improbable a series of failures has to be, were the zone like the others, to suspect it. A false
	// alarm costs little, as the next answer of the zone ends it and other zones serve meanwhile; each further failure
	// that is waited for costs a request.
	falseAlarm = 1.0 / 50
	// priorFailures of priorAttempts are assumed of the other zones before their outcomes tell.
	priorFailures = 1.0
	priorAttempts = 10.0
	// countsKept is over how many outcomes the counts of a zone are averaged.
	countsKept = 64.0
	// fewest is how many different servers make a series: one alone tells of itself.
	fewest = 2
	// maxSeries bounds the servers remembered of a series; it is longer than any that the counts can call for.
	maxSeries = 64
	// maxBackoff bounds by how much longer a zone is left alone when more of its servers have failed.
	maxBackoff = 8
)

// Detector holds what one balancer knows of its zones. The zero value is ready for use.
type Detector struct {
	zones  []zone
	memory float64 // nanoseconds
}

type zone struct {
	failures, attempts float64 // averaged over countsKept outcomes
	series             []int   // different servers that failed since the zone's last answer
	begun, failedAt    int64   // when the series began, and when its last attempt failed
	answeredAt         int64
	suspected          bool // as the outcomes so far tell; kept, as it is asked for each server at each request
}

// New returns a Detector that tries a suspected zone again with a probability that grows over memory, in nanoseconds.
func New(memory int64) *Detector { return &Detector{memory: float64(memory)} }

// at returns a zone by its index; -1, the index of servers whose zone the settings do not name, is one more zone.
func (d *Detector) at(index int) *zone {
	for len(d.zones) < index+2 {
		d.zones = append(d.zones, zone{})
	}
	return &d.zones[index+1]
}

func (z *zone) count(failures float64) {
	z.failures += failures - z.failures/countsKept
	z.attempts += 1 - z.attempts/countsKept
}

// Answered takes an answer of any kind, a rejection too, from a server of the zone.
func (d *Detector) RecordResponse(index int, now int64) {
	z := d.at(index)
	z.count(0)
	z.series, z.answeredAt = z.series[:0], now
	d.judge()
}

// Failed takes an attempt without an answer: no connection came up, or nothing came in time.
func (d *Detector) RecordFailure(index, server int, now int64) {
	z := d.at(index)
	z.count(1)
	if len(z.series) == 0 {
		z.begun = now
	}
	z.failedAt = now
	if len(z.series) < maxSeries && !slices.Contains(z.series, server) {
		z.series = append(z.series, server)
	}
	d.judge()
}

// judge brings up to date which zones are suspected, as each outcome counts for all of them.
func (d *Detector) judge() {
	for i := range d.zones {
		d.zones[i].suspected = d.seemsLost(i)
	}
}

// Suspects tells whether the zone seems lost: its series of failures would be improbable in the other zones, and one
// of these has answered since it began.
func (d *Detector) IsSuspected(index int) bool { return d.at(index).suspected }

// seemsLost works out what Suspects tells, for a place in zones.
func (d *Detector) seemsLost(place int) bool {
	z := &d.zones[place]
	if len(z.series) < fewest {
		return false
	}
	failures, attempts, othersAnswer := priorFailures, priorAttempts, false
	for i := range d.zones {
		if other := &d.zones[i]; i != place && len(other.series) < fewest { // Two zones may be lost at a time.
			failures += other.failures
			attempts += other.attempts
			othersAnswer = othersAnswer || other.answeredAt > z.begun
		}
	}
	return othersAnswer && math.Pow(failures/attempts, float64(len(z.series))) < falseAlarm
}

// Avoids tells whether a request should go elsewhere, for a random draw from 0 to 1: a suspected zone is tried again
// with a probability that grows with the time since its last failure, and more slowly the more servers have failed.
func (d *Detector) ShouldAvoid(index int, now int64, draw float64) bool {
	if !d.IsSuspected(index) {
		return false
	}
	z := d.at(index)
	backoff := d.memory * float64(min(len(z.series), maxBackoff))
	return draw < math.Exp(-float64(now-z.failedAt)/backoff)
}
