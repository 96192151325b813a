package outlier

import (
	"cmp"
	"slices"
)

const (
	// minMessageInterval is the minimum time between two messages, so that a burst of failures is batched into a few
	// messages.
	minMessageInterval = 50 * millisecond
	// repeatInterval is the interval at which reports are repeated while nothing changes. It is the delay that a lost
	// message causes.
	repeatInterval = 500 * millisecond
	// recoveryRepeats is the number of messages in which a recovery is reported. Unlike failures, which are repeated as
	// long as they persist, a recovery is reported only this many times and must survive the loss of some messages.
	recoveryRepeats = 4
	// minReportsPerEndpoint is the number of reports that can be stored for each endpoint in any case.
	minReportsPerEndpoint = 64
	// Once evictionThreshold reports (2.6 MB) are stored in total, a further member's report on an endpoint with
	// minReportsPerEndpoint or more replaces the one that arrived there longest ago. Below the threshold, a report of every member is
	// stored for each endpoint.
	evictionThreshold = 1024 * minReportsPerEndpoint
)

// storedReport is the latest report of one member on one endpoint, with times of this balancer's clock.
type storedReport struct {
	sender              uint32
	zone                uint16
	consecutiveFailures uint8 // 0: the endpoint succeeded
	firstFailureAt      int64 // the earliest reported failure of this run of failures
	observedAt          int64 // the latest failure, or the success
	receivedAt          int64
}

// HandleMessage stores the reports of another balancer. Messages from unknown senders, duplicates, and messages older
// than one already accepted are counted and otherwise ignored, so that the result does not depend on delivery order.
func (d *Detector) HandleMessage(now int64, m *Message) {
	index := d.memberIndex[m.From] // 0 for this balancer and for senders that are not members.
	if index == 0 {
		d.MessagesFromUnknown++
		return
	}
	previous := d.senders[m.From]
	if m.Incarnation < previous.incarnation || m.Incarnation == previous.incarnation && m.Seq <= previous.seq {
		d.MessagesStale++
		return
	}
	d.MessagesAccepted++
	zone := d.learnZone(index, m.Zone)
	d.senders[m.From] = senderState{m.Incarnation, m.Seq, zone, float64(min(m.MissPercent, 100)) / 100, now}
	for _, r := range m.Reports {
		endpoint := d.endpoints[r.Endpoint]
		if endpoint == nil {
			continue
		}
		d.active[r.Endpoint] = endpoint
		observedAt := now - int64(r.AgeMillis)*millisecond
		d.storeReport(endpoint, storedReport{m.From, zone, r.ConsecutiveFailures, observedAt, observedAt, now})
	}
}

// learnZone returns the zone of a member. If this balancer does not know it, it stores the zone stated by the member and
// counts the zones again. A known zone takes precedence because each process assigns its own zone numbers.
func (d *Detector) learnZone(index int, stated uint16) uint16 {
	member := &d.members[index]
	if member.Zone == UnknownZone && stated != UnknownZone {
		member.Zone = stated
		d.countZones()
	}
	return member.Zone
}

// storeReport replaces the sender's previous report, or adds one. If there are too many reports, it evicts the
// endpoint's least recently received one.
func (d *Detector) storeReport(endpoint *endpointState, report storedReport) {
	index, known := endpoint.findReport(report.sender)
	if known {
		previous := &endpoint.reports[index]
		if previous.consecutiveFailures > 0 && report.consecutiveFailures >= previous.consecutiveFailures {
			// A lower count would be a new run of failures.
			report.firstFailureAt = min(report.firstFailureAt, previous.firstFailureAt)
		}
		*previous = report
		return
	}
	if len(endpoint.reports) >= minReportsPerEndpoint && d.storedReports >= evictionThreshold {
		endpoint.evictOldestReport()
		d.storedReports--
		index, _ = endpoint.findReport(report.sender)
	}
	endpoint.reports = slices.Insert(endpoint.reports, index, report)
	d.storedReports++
}

// findReport returns the index of a sender's report, or the index at which to insert one.
func (e *endpointState) findReport(sender uint32) (index int, found bool) {
	return slices.BinarySearchFunc(e.reports, sender, func(r storedReport, sender uint32) int {
		return cmp.Compare(r.sender, sender)
	})
}

func (e *endpointState) evictOldestReport() {
	oldest := 0
	for i := range e.reports {
		if e.reports[i].receivedAt < e.reports[oldest].receivedAt {
			oldest = i
		}
	}
	e.reports = slices.Delete(e.reports, oldest, oldest+1)
}

// dropExpiredReports removes reports that can no longer affect any decision.
func (e *endpointState) dropExpiredReports(now int64) {
	e.reports = slices.DeleteFunc(e.reports, func(r storedReport) bool {
		return now-r.observedAt > probeEvidenceWindow && now-r.receivedAt > probeEvidenceWindow
	})
}

// NextMessage returns the message that is due, or nil. A message is due soon after a change and is repeated while there
// is anything to report; otherwise none is sent. The caller sends it to all members.
func (d *Detector) NextMessage(now int64) *Message {
	sinceLast := now - d.lastSentAt
	if sinceLast < minMessageInterval || !d.urgent && sinceLast < repeatInterval {
		return nil
	}
	m := &Message{
		From:        d.self.ID,
		Incarnation: d.incarnation,
		Zone:        d.self.Zone,
		Reports:     d.reportsDue(now),
		MissPercent: d.misses.percent(),
	}
	d.urgent = false
	if len(m.Reports) == 0 && m.MissPercent == 0 {
		return nil
	}
	m.Reports = d.selectReports(now, m.Reports)
	d.lastSeq++
	m.Seq, d.lastSentAt = d.lastSeq, now
	d.MessagesSent++
	return m
}

// reportsDue returns the reports to send, at most one per endpoint, in no particular order. It returns none while more
// than maxEjectedShare of the endpoints fail for this balancer, as the cause is then a shared dependency or this
// balancer's own network.
func (d *Detector) reportsDue(now int64) (reports []Report) {
	if float64(d.countFailing(now)) > maxEjectedShare*float64(d.listedCount) {
		return nil
	}
	for id, endpoint := range d.active {
		switch {
		case d.isFailureDue(now, endpoint):
			reports = append(reports, Report{
				Endpoint:            id,
				ConsecutiveFailures: uint8(endpoint.consecutiveFailures),
				AgeMillis:           ageMillis(now - endpoint.lastFailure),
			})
		case endpoint.recoveryReportsDue > 0:
			reports = append(reports, Report{Endpoint: id, AgeMillis: ageMillis(now - endpoint.lastSuccess)})
		}
	}
	return reports
}

// countFailing returns the number of endpoints at which this balancer's latest attempts failed, within
// evidenceTimeout.
func (d *Detector) countFailing(now int64) (failing int) {
	for _, endpoint := range d.active {
		if endpoint.consecutiveFailures > 0 && now-endpoint.lastFailure < evidenceTimeout {
			failing++
		}
	}
	return failing
}

// isFailureDue reports whether this balancer's failures at an endpoint are to be reported. They can affect whether the
// endpoint is ejected while it is in use, while it is returning, and until its ejection has had time to take effect
// everywhere; they are then reported from reportThreshold on. Any failure since the ejection began is reported: later
// on, these are the failures of probes, and only they carry new information.
func (d *Detector) isFailureDue(now int64, endpoint *endpointState) bool {
	if endpoint.consecutiveFailures == 0 || now-endpoint.lastFailure >= evidenceTimeout {
		return false
	}
	mayAffectEjection := !endpoint.isEjected() || endpoint.isReturning() || now-endpoint.ejectedAt < ejectionWindow
	if mayAffectEjection && endpoint.consecutiveFailures >= d.reportThreshold() {
		return true
	}
	return endpoint.isEjected() && endpoint.lastFailure > endpoint.ejectedAt
}

// selectReports returns as many reports as fit into a message. Endpoints that were never reported or were reported
// longest ago come first; ties go to the most recent observation. If an omitted report has more failures than were last
// sent, or is the first of a recovery, the next message is sent as soon as possible.
func (d *Detector) selectReports(now int64, reports []Report) []Report {
	slices.SortFunc(reports, func(a, b Report) int { // Remaining ties are broken by ID for reproducible runs.
		return cmp.Or(
			cmp.Compare(d.endpoints[a.Endpoint].sentAt, d.endpoints[b.Endpoint].sentAt),
			cmp.Compare(a.AgeMillis, b.AgeMillis),
			cmp.Compare(a.Endpoint, b.Endpoint))
	})
	selected := reports[:min(len(reports), maxReportsPerMessage)]
	for _, r := range selected {
		endpoint := d.endpoints[r.Endpoint]
		endpoint.sentFailures, endpoint.sentAt = effectiveFailures(r), now
		if r.ConsecutiveFailures == 0 {
			endpoint.recoveryReportsDue--
		}
	}
	for _, r := range reports[len(selected):] {
		endpoint := d.endpoints[r.Endpoint]
		isFirstOfRecovery := r.ConsecutiveFailures == 0 && endpoint.recoveryReportsDue == recoveryRepeats
		if effectiveFailures(r) > endpoint.sentFailures || isFirstOfRecovery {
			d.urgent = true
		}
	}
	return selected
}

// effectiveFailures returns a report's consecutive failures, up to the maximum that receivers count.
func effectiveFailures(r Report) int { return min(int(r.ConsecutiveFailures), maxFailuresPerReporter) }
