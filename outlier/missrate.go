package outlier

import "math"

const (
	// missRateTimeConstant is the time constant over which a miss rate is an average.
	missRateTimeConstant = 500 * millisecond
	// minReadsForMissRate is how many reads in that time tell a rate; with fewer it is scaled down, as chance moves it.
	minReadsForMissRate = 10.0
	// elevatedMissRate is from where a balancer reports its miss rate, and what keeps the alarm up once it is raised.
	elevatedMissRate = 0.25
	// highMissRate is from where a balancer counts towards raising the alarm.
	highMissRate = 0.4
	// minAlarmDuration is how long the alarm stays up at least, so that it does not flap with the caches' first fills.
	minAlarmDuration = 2000 * millisecond
	// maxMissReportAge is how old a report of a miss rate may be: three repeats, so that the loss of two does no harm.
	maxMissReportAge = 3 * repeatInterval
	// alarmMembersDivisor: a third of the members must agree. One alone has lost its own cache, as after a restart.
	alarmMembersDivisor = 3
)

// missRate is the share of this balancer's recent reads that missed.
type missRate struct {
	value         float64 // from 0 to 1
	decayedReads  float64
	decayedMisses float64
	lastReads     int // the counters that were handed in last
	lastMisses    int
	updatedAt     int64 // 0: never
}

// update takes the reads and misses since the process started.
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

// percent is the rate's form in a message: 0 unless it is elevated.
func (r *missRate) percent() uint8 {
	if r.value < elevatedMissRate {
		return 0
	}
	return uint8(min(100, r.value*100))
}

// widespreadMissAlarm is up while reads miss for the whole fleet.
type widespreadMissAlarm struct {
	raised bool
	since  int64
}

// missVotes counts the balancers whose reads miss.
type missVotes struct {
	elevated  int
	high      int
	highZones int // that those with a high rate are in
}

// UpdateMissRate takes this balancer's reads and misses since its start, and reports whether reads miss for the whole
// fleet: for a third of the members, two at least, in two zones where there are more. The alarm lasts for
// minAlarmDuration, and until fewer than these have an elevated rate.
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

// countMissVotes counts this balancer and those that reported lately.
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
