// Package outlier detects failing cache hosts from the combined evidence of several balancers. Each balancer reports
// the consecutive failures that it observed itself, and each decides independently to eject an endpoint once the
// reported failures are too improbable to be chance. While an endpoint is ejected, one balancer at a time holds the
// lease to probe it.
//
// The package is deterministic: the caller supplies the clock and transports the messages, and nothing here blocks,
// uses random numbers or does I/O. A Detector is not safe for concurrent use; its callers, package fleet and the
// simulator's adapter, serialize their calls.
//
// Guarantees:
//   - A report covers only what its sender observed itself. Received reports are not forwarded, so that they cannot
//     reinforce themselves.
//   - The outcome does not depend on the order or duplication of messages. A lost message delays it until the report is
//     repeated.
//   - A message takes at most MaxMessageBytes, and all stored state is bounded.
//   - If no messages arrive at all, an endpoint stays ejected for at most evidenceTimeout plus one return.
//
// All times and durations are in nanoseconds; times are readings of the caller's monotonic clock.
package outlier

import (
	"slices"
	"time"
)

const millisecond = int64(time.Millisecond)

const (
	// maxEndpoints limits the number of tracked endpoints. Endpoints beyond it in the list are not observed.
	maxEndpoints = 1 << 13
	// MaxMembers limits the members whose messages are accepted, this one included.
	MaxMembers = 4096
	// maxMessageDelay limits the value given to SetMessageDelay, so that one bad estimate does not delay ejections by
	// minutes.
	maxMessageDelay = 4000 * millisecond
)

// Member is a balancer whose messages are accepted. Zone is UnknownZone until it is known.
type Member struct {
	ID   uint32
	Zone uint16
}

// UnknownZone stands for a zone that is not known. No zone has this number. Earlier versions support no larger zone
// number.
const UnknownZone = 255

// endpointState holds this balancer's own observations of one endpoint, the reports of other members, and the state of
// its ejection: in use (ejectedAt is 0), ejected, or returning (returnsAt is set).
type endpointState struct {
	consecutiveFailures int   // of this balancer's own attempts, since its last success
	lastFailure         int64 // of this balancer's own attempts; 0: none
	lastSuccess         int64 // of this balancer's own attempts; 0: none
	lastAttempt         int64 // last attempt sent while the endpoint was ejected; 0: none

	recoveryReportsDue int   // in how many more messages the recovery is reported
	sentFailures       int   // effectiveFailures of the last report sent
	sentAt             int64 // when a report on this endpoint was last sent

	reports []storedReport // the latest from each member, sorted by sender

	ejectedAt        int64 // when the evidence sufficed; 0: not ejected
	ejectionStartsAt int64 // when this balancer stops using the endpoint
	returnsAt        int64 // when this balancer resumes using it; 0: no recovery detected yet
	ejectionEndedAt  int64 // when a recovery was last detected; 0: never
	relapses         int   // consecutive ejections, each within relapseWindow of the previous recovery
}

func (e *endpointState) isEjected() bool   { return e.ejectedAt != 0 }
func (e *endpointState) isReturning() bool { return e.returnsAt != 0 }

// senderState holds the state from one member's latest message.
type senderState struct {
	incarnation uint64
	seq         uint32
	zone        uint16
	missRate    float64
	heardAt     int64
}

// Detector is the outlier detector of one balancer. Use New to create one.
type Detector struct {
	self        Member
	incarnation uint64

	members     []Member // self first
	memberIndex map[uint32]int
	zoneCount   int // distinct known zones of members
	senders     map[uint32]senderState

	endpoints     map[uint32]*endpointState // all listed endpoints
	active        map[uint32]*endpointState // the subset of endpoints with any evidence
	listedCount   int
	ejectedCount  int // endpoints ejected and not returning, as of the last Tick
	storedReports int

	lastSeq      uint32
	lastSentAt   int64
	urgent       bool  // the next message does not wait for repeatInterval
	messageDelay int64 // estimated by the caller

	decayedAttempts float64 // decaying sums over attempts at endpoints that are not ejected
	decayedFailures float64

	misses    missRate
	missAlarm widespreadMissAlarm

	zonesSeen zoneSet // reusable buffer for counting distinct zones

	// Message counts: sent; accepted; stale, which are duplicates or older than one already accepted; and from senders
	// that are not members.
	MessagesSent, MessagesAccepted, MessagesStale, MessagesFromUnknown int
}

// New returns a detector without evidence. incarnation distinguishes it from earlier processes with the same ID and
// must be larger than theirs.
func New(self Member, incarnation uint64) *Detector {
	d := &Detector{
		self:        self,
		incarnation: incarnation,
		endpoints:   map[uint32]*endpointState{},
		active:      map[uint32]*endpointState{},
		senders:     map[uint32]senderState{},
	}
	d.SetMembers(nil)
	return d
}

// SetMembers replaces the members whose messages are accepted. It does not matter whether they include this balancer.
// Reports of members that are no longer listed are dropped.
func (d *Detector) SetMembers(members []Member) {
	d.members = append(d.members[:0], d.self)
	for _, m := range members {
		if m.ID != d.self.ID && len(d.members) < MaxMembers {
			d.members = append(d.members, m)
		}
	}
	d.memberIndex = make(map[uint32]int, len(d.members))
	for i, m := range d.members {
		d.memberIndex[m.ID] = i
	}
	d.countZones()
	d.dropDepartedMembers()
}

// countZones updates zoneCount, the number of distinct known zones of the members.
func (d *Detector) countZones() {
	d.zonesSeen.clear()
	d.zoneCount = 0
	for _, m := range d.members {
		if m.Zone != UnknownZone && d.zonesSeen.add(m.Zone) {
			d.zoneCount++
		}
	}
}

// dropDepartedMembers removes the state and reports of senders that are no longer members, as their reports must not
// count as evidence.
func (d *Detector) dropDepartedMembers() {
	isDeparted := func(id uint32) bool {
		_, ok := d.memberIndex[id]
		return !ok
	}
	for id := range d.senders {
		if isDeparted(id) {
			delete(d.senders, id)
		}
	}
	for _, endpoint := range d.active {
		endpoint.reports = slices.DeleteFunc(endpoint.reports, func(r storedReport) bool { return isDeparted(r.sender) })
	}
}

// SetEndpoints replaces the listed endpoints with those of the given IDs (see HashName). Evidence about other endpoints
// is dropped.
func (d *Detector) SetEndpoints(ids []uint32) {
	d.listedCount = min(len(ids), maxEndpoints)
	listed := make(map[uint32]bool, d.listedCount)
	for _, id := range ids[:d.listedCount] {
		listed[id] = true
		if d.endpoints[id] == nil {
			d.endpoints[id] = &endpointState{}
		}
	}
	for id := range d.endpoints {
		if !listed[id] {
			delete(d.endpoints, id)
			delete(d.active, id)
		}
	}
}

// SetMessageDelay sets the estimated delivery delay of incoming messages, in nanoseconds. Ejections and returns are
// spread over at least four times this delay, so that the fleet observes the effect of the first balancers' changes
// before the last ones follow.
func (d *Detector) SetMessageDelay(delay int64) { d.messageDelay = min(max(0, delay), maxMessageDelay) }

// Tick decides which endpoints are ejected. The caller invokes it at each tick of its clock and after each message.
func (d *Detector) Tick(now int64) {
	d.ejectedCount, d.storedReports = 0, 0
	for id, endpoint := range d.active {
		endpoint.dropExpiredReports(now)
		d.storedReports += len(endpoint.reports)
		d.updateEjection(now, id, endpoint)
		if endpoint.isEjected() && !endpoint.isReturning() {
			d.ejectedCount++
		}
		if endpoint.isInactive(now) {
			delete(d.active, id)
		}
	}
}

// isInactive reports whether an endpoint has no evidence, ejection or relapse left that could affect a decision.
func (e *endpointState) isInactive(now int64) bool {
	const retention = evidenceTimeout + maxReturnSpread + relapseWindow
	return !e.isEjected() && len(e.reports) == 0 && e.recoveryReportsDue == 0 &&
		now-max(e.lastFailure, e.ejectionEndedAt) > retention
}
