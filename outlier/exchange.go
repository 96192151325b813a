package outlier

import (
	"cmp"
	"slices"
)

const (
	// minMessageInterval is the least time between two messages, so that a burst of failures goes out as a few
	// messages.
	minMessageInterval = 50 * millisecond
	// repeatInterval is how often reports are repeated while nothing new happens: a lost message costs that long.
	repeatInterval = 500 * millisecond
	// recoveryRepeats is in how many messages a recovery is reported. It is not repeated for as long as it holds, as
	// failures are, so it must survive the loss of some.
	recoveryRepeats = 4
	// minReportsPerEndpoint is how many members' reports are kept of each endpoint in any case.
	minReportsPerEndpoint = 64
	// maxStoredReports bounds the reports of all endpoints together (2.6 MB); beyond it an endpoint keeps
	// minReportsPerEndpoint. As long as no endpoint has more than that, as many are kept as there are members.
	maxStoredReports = 1024 * minReportsPerEndpoint
)

// storedReport is the last report of one member on one endpoint, on this balancer's clock.
type storedReport struct {
	sender              uint32
	zone                uint16
	consecutiveFailures uint8 // 0: the endpoint succeeded
	firstFailureAt      int64 // the earliest that was reported of this run
	observedAt          int64 // the latest failure, or the success
	receivedAt          int64
}

// HandleMessage records what another balancer reports. Messages of nobody known, repeats, and messages older than one
// accepted before are counted and otherwise ignored: merging must not depend on the network's order.
func (d *Detector) HandleMessage(now int64, m *Message) {
	index := d.memberIndex[m.From] // 0 for this balancer and for those that are no members.
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
	zone := d.resolveZone(index, m.Zone)
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

// resolveZone returns the zone of a member: as this balancer knows it, or else as the member says. Each process numbers
// zones for itself, so that the former goes first.
func (d *Detector) resolveZone(index int, stated uint16) uint16 {
	member := &d.members[index]
	if member.Zone == UnknownZone && stated != UnknownZone {
		member.Zone = stated
		d.countZones()
	}
	return member.Zone
}

// storeReport keeps a report in place of its sender's last one. If there are too many, the one that was received
// longest ago gives way.
func (d *Detector) storeReport(endpoint *endpointState, report storedReport) {
	index, known := endpoint.findReport(report.sender)
	if known {
		previous := &endpoint.reports[index]
		if previous.consecutiveFailures > 0 && report.consecutiveFailures >= previous.consecutiveFailures {
			report.firstFailureAt = min(report.firstFailureAt, previous.firstFailureAt)
		}
		*previous = report
		return
	}
	if len(endpoint.reports) >= minReportsPerEndpoint && d.storedReports >= maxStoredReports {
		endpoint.evictOldestReport()
		d.storedReports--
		index, _ = endpoint.findReport(report.sender)
	}
	endpoint.reports = slices.Insert(endpoint.reports, index, report)
	d.storedReports++
}

// findReport returns where a sender's report is, or where it would have to be inserted.
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

// dropExpiredReports forgets reports that nothing reads any more.
func (e *endpointState) dropExpiredReports(now int64) {
	e.reports = slices.DeleteFunc(e.reports, func(r storedReport) bool {
		return now-r.observedAt > probeEvidenceWindow && now-r.receivedAt > probeEvidenceWindow
	})
}

// NextMessage returns the message that is due, or nil: at once after a change, repeated while something fails, and
// none while all is well. The caller sends it to all members.
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

// reportsDue returns a report of each endpoint of which others should hear, in no particular order. There are none
// while more than maxEjectedShare of the endpoints fail here: the cause is behind all of them, or this balancer's own
// network.
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

// countFailing counts the endpoints whose latest attempts of this balancer failed.
func (d *Detector) countFailing(now int64) (failing int) {
	for _, endpoint := range d.active {
		if endpoint.consecutiveFailures > 0 && now-endpoint.lastFailure < evidenceTimeout {
			failing++
		}
	}
	return failing
}

// isFailureDue reports whether others should hear of an endpoint's failures here. Once it is ejected everywhere, only
// failures since then, those of probes, are news.
func (d *Detector) isFailureDue(now int64, endpoint *endpointState) bool {
	if endpoint.consecutiveFailures == 0 || now-endpoint.lastFailure >= evidenceTimeout {
		return false
	}
	mayEject := !endpoint.isEjected() || endpoint.isReturning() || now-endpoint.ejectedAt < ejectionWindow
	if mayEject && endpoint.consecutiveFailures >= d.reportThreshold() {
		return true
	}
	return endpoint.isEjected() && endpoint.lastFailure > endpoint.ejectedAt
}

// selectReports returns as many reports as a message holds: those first that were sent longest ago or never, of these
// the most recent. If one is left out that says more than was sent of its endpoint, the next message is due at once.
func (d *Detector) selectReports(now int64, reports []Report) []Report {
	slices.SortFunc(reports, func(a, b Report) int { // Ties go by endpoint, so that a run can be repeated.
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

// effectiveFailures is how many consecutive failures of a report can count at its receivers.
func effectiveFailures(r Report) int { return min(int(r.ConsecutiveFailures), maxFailuresPerReporter) }
