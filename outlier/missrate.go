package outlier

import "math"

const (
	// missRateTimeConstant is the time constant of the decaying sums behind a miss rate.
	missRateTimeConstant = 500 * millisecond
	// minReadsForMissRate is the decayed number of reads required for a meaningful rate. With fewer reads the rate is
	// scaled down, as chance dominates it.
	minReadsForMissRate = 10.0
	// elevatedMissRate is the miss rate from which a balancer reports it and counts towards keeping a raised alarm.
	elevatedMissRate = 0.25
	// highMissRate is the miss rate from which a balancer counts towards raising the alarm.
	highMissRate = 0.4
	// minAlarmDuration is the minimum time for which the alarm stays raised, so that it does not flap while the caches
	// begin to fill.
	minAlarmDuration = 2000 * millisecond
	// maxMissReportAge is the maximum age of a reported miss rate: three repeat intervals, so that two consecutive
	// messages may be lost.
	maxMissReportAge = 3 * repeatInterval
	// alarmMembersDivisor sets the quorum for the alarm to a third of the members. A single member with a high rate has
	// only lost its own cache, as after a restart.
	alarmMembersDivisor = 3
)

// missRate computes the share of cache misses among this balancer's recent reads.
type missRate struct {
	value         float64 // from 0 to 1
	decayedReads  float64
	decayedMisses float64
	lastReads     int // the counters passed to the previous update
	lastMisses    int
	updatedAt     int64 // 0: never
}

// update recomputes the rate from the total numbers of reads and misses since the process started.
func (r *missRate) update(now int64, reads, misses int) {
	decay := math.Exp(-float64(now-r.updatedAt) / float64(missRateTimeConstant))
	if r.updatedAt == 0 {
		decay = 0
	}
	r.decayedReads = r.decayedReads*decay + float64(max(0, reads-r.lastReads))
	r.decayedMisses = r.decayedMisses*decay + float64(max(0, misses-r.lastMisses))
	r.updatedAt, r.lastReads, r.lastMisses = now, reads, misses
	r.value = r.decayedMisses / max(minReadsForMissRate, r.decayedReads)
}

// percent returns the rate as stated in a message: 0 unless it is elevated.
func (r *missRate) percent() uint8 {
	if r.value < elevatedMissRate {
		return 0
	}
	return uint8(min(100, r.value*100))
}

// widespreadMissAlarm is raised while cache misses are widespread: reads miss for the whole fleet.
type widespreadMissAlarm struct {
	raised bool
	since  int64
}

// missVotes counts the balancers with elevated and with high miss rates.
type missVotes struct {
	elevated  int // includes those with a high rate
	high      int
	highZones int // distinct zones of those with a high rate
}

// UpdateMissRate takes this balancer's total reads and misses since its start and reports whether cache misses are
// widespread. The alarm is raised when a third of the members, at least two, have a high miss rate, in at least two
// zones if the members are in more than one. It stays raised for at least minAlarmDuration, and until fewer members
// than that have an elevated rate.
func (d *Detector) UpdateMissRate(now int64, reads, misses int) bool {
	wasHigh := d.misses.value >= highMissRate
	d.misses.update(now, reads, misses)
	if !wasHigh && d.misses.value >= highMissRate {
		d.urgent = true
	}
	votes := d.countMissVotes(now)
	quorum := max(minReporters, (len(d.members)+alarmMembersDivisor-1)/alarmMembersDivisor)
	switch {
	case !d.missAlarm.raised && votes.high >= quorum && votes.highZones >= min(minReporterZones, d.zoneCount):
		d.missAlarm = widespreadMissAlarm{raised: true, since: now}
	case d.missAlarm.raised && now-d.missAlarm.since >= minAlarmDuration && votes.elevated < quorum:
		d.missAlarm.raised = false
	}
	return d.missAlarm.raised
}

// countMissVotes counts this balancer and the members whose latest message is recent enough.
func (d *Detector) countMissVotes(now int64) (votes missVotes) {
	d.zonesSeen.clear()
	count := func(rate float64, zone uint16) {
		if rate >= elevatedMissRate {
			votes.elevated++
		}
		if rate < highMissRate {
			return
		}
		votes.high++
		if d.zonesSeen.add(zone) {
			votes.highZones++
		}
	}
	count(d.misses.value, d.self.Zone)
	for _, sender := range d.senders {
		if now-sender.heardAt < maxMissReportAge {
			count(sender.missRate, sender.zone)
		}
	}
	return votes
}
