// Package outlier detects cache hosts that fail, on the evidence of several balancers together: each reports the
// consecutive failures that it observed itself, and each ejects an endpoint for itself once chance no longer explains
// what was reported. While an endpoint is ejected, one balancer at a time holds the lease to probe it.
//
// The package is pure: the clock and the messages are handed in and out, and nothing here waits, draws or does I/O. A
// Detector does not lock: its callers, fleet between processes and the simulator's adapter, make one call at a time.
//
// What it guarantees:
//   - A report is only about what its sender observed itself; nothing received is passed on, so no rumour feeds itself.
//   - The outcome does not depend on the order of messages, on repeats, or on losses for longer than a repeat takes.
//   - A message takes MaxMessageBytes at most, and everything that is stored has a bound.
//   - Without messages from anybody, no endpoint stays ejected for longer than evidenceTimeout and a return.
//
// All times are nanoseconds of one monotonic clock of the caller; all spans are nanoseconds.
package outlier

import (
	"slices"
	"time"
)

const millisecond = int64(time.Millisecond)

const (
	// maxEndpoints bounds the endpoints that are known here. Further ones of the list are not observed.
	maxEndpoints = 1 << 13
	// MaxMembers bounds the members whose messages are taken, this one included.
	MaxMembers = 4096
	// maxMessageDelay bounds what SetMessageDelay is told, so that one bad estimate does not stop ejection for minutes.
	maxMessageDelay = 4000 * millisecond
)

// Member is a balancer whose messages are taken. Zone is UnknownZone until it is known.
type Member struct {
	ID   uint32
	Zone uint16
}

// UnknownZone is the zone of a member whose zone is not known. No zone has this number; earlier versions know no
// larger one.
const UnknownZone = 255

// endpointState is what this balancer observed of one endpoint, what others reported of it, and where it stands in the
// life cycle of an ejection: in use (ejectedAt is 0), ejected, or returning (returnsAt is set).
type endpointState struct {
	consecutiveFailures int   // of this balancer's own attempts, none of which succeeded since
	lastFailure         int64 // of an own attempt; 0: none
	lastSuccess         int64 // of an own attempt; 0: none
	lastAttempt         int64 // sent while the endpoint was ejected; 0: none

	recoveryReportsDue int   // messages that still have to say that the endpoint succeeds again
	sentFailures       int   // consecutive failures that the last report stated, as far as they count
	sentAt             int64 // when a report of it went out last

	reports []storedReport // the last one of each member, sorted by sender

	ejectedAt        int64 // when the fleet's evidence was enough; 0: it is not ejected
	ejectionStartsAt int64 // when this balancer acts on that
	returnsAt        int64 // when this balancer takes it into use again; 0: no recovery was seen yet
	ejectionEndedAt  int64 // when a recovery was seen last; 0: never
	relapses         int   // ejections in a row, each within relapseWindow of the recovery before it
}

func (e *endpointState) isEjected() bool   { return e.ejectedAt != 0 }
func (e *endpointState) isReturning() bool { return e.returnsAt != 0 }

// senderState is the last message of one member.
type senderState struct {
	incarnation uint64
	seq         uint32
	zone        uint16
	missRate    float64
	heardAt     int64
}

// Detector is one balancer's outlier detector. New makes one.
type Detector struct {
	self        Member
	incarnation uint64

	members     []Member // self first
	memberIndex map[uint32]int
	zoneCount   int // distinct known zones of members
	senders     map[uint32]senderState

	endpoints     map[uint32]*endpointState // all that are listed
	active        map[uint32]*endpointState // those of endpoints of which there is any evidence
	listedCount   int
	ejectedCount  int // of active, those ejected and not returning, as of the last Tick
	storedReports int

	lastSeq      uint32
	lastSentAt   int64
	urgent       bool  // the next message need not wait for repeatInterval
	messageDelay int64 // how late messages arrive, as the caller knows it

	decayedAttempts float64 // attempts and failures of the recent past, at endpoints that are not ejected
	decayedFailures float64

	misses    missRate
	missAlarm widespreadMissAlarm

	zonesSeen zoneSet // scratch of the functions that count zones

	// Counts of messages: sent, accepted, older than one accepted before, and from senders that are no members.
	MessagesSent, MessagesAccepted, MessagesStale, MessagesFromUnknown int
}

// New returns a detector without evidence. incarnation tells it from an earlier process with the same ID and must be
// larger than that one's.
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

// SetMembers replaces the members whose messages are taken; self may be among them or not. What members reported that
// are not among these is dropped.
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

// countZones counts the zones that members are known to be in.
func (d *Detector) countZones() {
	d.zonesSeen.clear()
	d.zoneCount = 0
	for _, m := range d.members {
		if m.Zone != UnknownZone && d.zonesSeen.add(m.Zone) {
			d.zoneCount++
		}
	}
}

// dropDepartedMembers forgets the reports of those who are no longer members: they are no witnesses any more.
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

// SetEndpoints replaces the listed endpoints by those with these IDs (see HashName). Evidence about others is dropped.
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

// SetMessageDelay sets how late messages arrive here, in nanoseconds, as far as the caller knows. Ejections and
// returns are spread over four times that, so that the fleet sees the effect of the first balancers before the last
// ones follow.
func (d *Detector) SetMessageDelay(delay int64) { d.messageDelay = min(max(0, delay), maxMessageDelay) }

// Tick decides which endpoints are ejected. The caller runs it at each tick of its clock and after each message.
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

// isInactive reports whether no evidence, ejection or relapse of an endpoint can matter any more.
func (e *endpointState) isInactive(now int64) bool {
	const retention = evidenceTimeout + maxReturnSpread + relapseWindow
	return !e.isEjected() && len(e.reports) == 0 && e.recoveryReportsDue == 0 &&
		now-max(e.lastFailure, e.ejectionEndedAt) > retention
}
