// Package signals is what balancers tell each other of hosts that fail, and what a balancer makes of what it hears: evidence that has an age,
// weighs less than what it saw itself, and counts only as far as several agree. It is pure: the clock comes with each call, messages are
// handed in and out, and nothing here waits. Its callers, one at a time, are fleet (between processes) and benchlink (in the simulator).
//
// What it promises: nothing that was heard is told on as seen; merging does not depend on the order of messages, on repeats, or on lost ones
// for longer than a repeat takes; a message is 256 bytes at most, and all that is kept has a bound; and where nobody speaks, no host is
// held back for longer than Lasts.
package signals

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"hollylever/policy"
)

const (
	ms                    = int64(1e6)
	MostBytes             = 256                          // of a message
	maxReportsPerMessage  = 18                           // in one
	maxEndpoints          = 1 << 13                      // known here
	MaxMembers            = 4096                         // that may speak
	minReportsPerEndpoint = 64                           // words of each host are kept in any case,
	maxStoredReports      = 1024 * minReportsPerEndpoint // and as many as there are members as long as all have no more than that
	maxReportedFailures   = 200                          // failures in a row that are told
	ejectionWindow        = 3000 * ms                    // how old a failure may be to begin with
	evidenceTimeout       = 15000 * ms                   // and to go on: longer than who has the turn takes to try again
	repeatInterval        = 500 * ms
	minMessageInterval    = 50 * ms   // two messages
	recoveryRepeats       = 4         // so often that a host settles again is told
	minEjectionSpread     = 200 * ms  // over which all leave
	minReturnSpread       = 1000 * ms // and come back
	maxReturnSpread       = 16000 * ms
	relapseWindow         = 20000 * ms // without a relapse: the next return is as the first
	ejectedPenalty        = 1.0        // that others' word takes from a host's chance: with less, a busy fleet would try it all the while
	maxEjectedShare       = 0.4        // of the hosts: more, and what fails is behind all of them
	minProbeDelay         = 1000 * ms  // before a host that all have left is tried again
	maxProbeDelay         = 8000 * ms
	minProbeStep          = 500 * ms  // after which one with the turn that does not use it is passed over
	maxFailuresPerWitness = 4         // of one witness's failures in a row
	minFailureRate        = 0.001     // no balancer knows better than that how rare failures are
	chanceMargin          = 1000.0    // so many times as many hosts would have to be watched until chance alone takes one from all
	rareFailureRate       = 0.01      // where failures are rarer than that, one alone is told
	minReportedMissRate   = 0.25      // of the reads: so many misses are told
	highMissRate          = 0.4       // and of so many at a third of the members, reads are said to miss for all
	missRateWindow        = 500 * ms  // the time that is looked at
	minReadsForMissRate   = 10.0      // and the reads that are needed for the whole part
	minHighMissDuration   = 2000 * ms // at least
	failureRateAttempts   = 2000.0    // over which the rate of failures is known
)

// Sign is what the end of a trip tells of its host.
type Observation int

// The signs. Refused: no connection came about, which tells as much as two failures.
const (
	Nothing Observation = iota
	Success
	Failure
	ConnectFailure
)

// Of reads the end of a trip: one that was called off tells of its host only if it had taken long.
func Of(how policy.Outcome, took, expected int64) Observation {
	switch how {
	case policy.OK, policy.Missing:
		return Success
	case policy.Errored, policy.TimedOut, policy.Reset:
		return Failure
	case policy.Unreached:
		return ConnectFailure
	case policy.Cancelled:
		if took >= expected/2 {
			return Failure
		}
	}
	return Nothing
}

// Word is what one balancer saw of one host.
type Report struct {
	_                   struct{} `cbor:",toarray"`
	Endpoint            uint32   // of its name
	ConsecutiveFailures uint8    // trips that failed one after another, with none settled since; 0: it settles again
	AgeMillis           uint16   // ms since the last of these ended
}

// Message is what one balancer tells. Words are of what it saw itself; what is not in it has not changed.
type Message struct {
	_           struct{} `cbor:",toarray"`
	From        uint32
	Incarnation uint64 // which of its lives, and which message of it
	Seq         uint32
	Zone        uint16
	Reports     []Report
	MissPercent uint8 // of a hundred reads, so many missed lately; told where that is many
}

var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 32, MaxNestedLevels: 4, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // The options are constants.
	}
	return mode
}()

// Pack is a message's form between processes.
func (m *Message) Pack() []byte {
	bytes, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // Its type is our own.
	}
	return bytes
}

// Unpack takes no message that is not whole and within bounds.
func Unpack(bytes []byte) (*Message, error) {
	m := &Message{}
	if len(bytes) > MostBytes {
		return nil, ErrMessageTooLarge
	}
	if err := decodeMode.Unmarshal(bytes, m); err != nil {
		return nil, err
	}
	if len(m.Reports) > maxReportsPerMessage {
		return nil, ErrMessageTooLarge
	}
	return m, nil
}

// ID is the number that a name has in signals. Two names may have one, once in some billions of pairs: they share what is said of them then.
func ID(name string) uint32 {
	of := fnv.New32a()
	of.Write([]byte(name))
	return of.Sum32()
}

// Member is one that may speak. Zone is NoZone where it is not known.
type Member struct {
	ID   uint32
	Zone uint16
}

// NoZone is a zone that nobody knows. No zone has this number; versions before know no larger one.
const NoZone = 255

// heard is the last word of one member on one host.
type storedReport struct {
	sender              uint32
	zone                uint16
	consecutiveFailures uint8
	firstFailureAt      int64 // when the first of these was heard of
	observedAt          int64 // when the last of these ended, or it settled, on this clock
	receivedAt          int64 // when it was heard
}

type endpointState struct {
	consecutiveFailures      int
	lastFailure, lastSuccess int64          // when a trip failed last, and when one settled
	recoveryReportsDue       int            // so often more that it settles is told
	sentFailures             int            // failures in a row, as far as they count, that a message told last
	sentAt                   int64          // when one told of it
	lastAttempt              int64          // when a trip went there last while it was heeded
	reports                  []storedReport // by member
	ejectedAt                int64          // heeded from then on; 0: not
	ejectionStartsAt         int64          // and this one with it from then on
	returnsAt                int64          // not any more from then on, for this one; 0: it is not coming back
	ejectionEndedAt          int64          // when it was over last
	relapses                 int
}

type senderState struct {
	incarnation uint64
	seq         uint32
	zone        uint16
	missRate    float64
	heardAt     int64
}

// Board is what one balancer saw and heard.
type Board struct {
	self                        Member
	incarnation                 uint64
	lastSeq                     uint32
	members                     []Member // with this one
	zoneCount                   int      // that they are in
	endpoints                   map[uint32]*endpointState
	active                      map[uint32]*endpointState // of these, those that somebody says something of
	listedCount                 int
	memberIndex                 map[uint32]int // members, in all
	storedReports               int            // words, of all hosts
	zonesSeen                   zoneSet
	senders                     map[uint32]senderState
	lastSentAt                  int64   // when a message went out
	urgent                      bool    // something changed since
	messageDelay                int64   // of what was heard, lately
	decayedFailures             float64 // of the last trips, but at hosts that are heeded
	decayedAttempts             float64
	missRate                    float64 // of this balancer's reads, lately
	decayedReads, decayedMisses float64
	lastReads, lastMisses       int
	missRateAt                  int64
	highMissAlarm               bool // and of all
	highMissSince               int64
	ejectedCount                int

	Told, Took, Late, Odd int // messages: told, taken, older than one taken before, from nobody known
}

// New begins a board with nothing known. life tells it from an earlier one of the same id: it is larger.
func New(me Member, life uint64) *Board {
	b := &Board{self: me, incarnation: life, endpoints: map[uint32]*endpointState{}, active: map[uint32]*endpointState{}, senders: map[uint32]senderState{}}
	b.Members(nil)
	return b
}

// Members says who may speak: those heard lately, or all that are known to be. This one need not be among them.
func (b *Board) Members(all []Member) {
	b.members = append(b.members[:0], b.self)
	for _, m := range all {
		if m.ID != b.self.ID && len(b.members) < MaxMembers {
			b.members = append(b.members, m)
		}
	}
	b.memberIndex = make(map[uint32]int, len(b.members))
	for n, m := range b.members {
		b.memberIndex[m.ID] = n
	}
	b.countZones()
	b.dropDepartedMembers()
}

// inZones counts the zones that members are known to be in.
func (b *Board) countZones() {
	b.zonesSeen.clear()
	b.zoneCount = 0
	for _, m := range b.members {
		if m.Zone != NoZone && b.zonesSeen.add(m.Zone) {
			b.zoneCount++
		}
	}
}

// hush forgets the words of those who are no members any more, where members are known one by one.
func (b *Board) dropDepartedMembers() {
	gone := func(id uint32) bool { _, is := b.memberIndex[id]; return !is }
	for id := range b.senders {
		if gone(id) {
			delete(b.senders, id)
		}
	}
	for _, h := range b.active {
		h.reports = slices.DeleteFunc(h.reports, func(w storedReport) bool { return gone(w.sender) })
	}
}

// Hosts says which hosts there are: of others nothing is kept.
func (b *Board) Hosts(ids []uint32) {
	b.listedCount = min(len(ids), maxEndpoints)
	is := map[uint32]bool{}
	for _, id := range ids[:b.listedCount] {
		is[id] = true
		if b.endpoints[id] == nil {
			b.endpoints[id] = &endpointState{}
		}
	}
	for id := range b.endpoints {
		if !is[id] {
			delete(b.endpoints, id)
			delete(b.active, id)
		}
	}
}

// Saw takes what a trip of this balancer told of its host.
func (b *Board) Saw(now int64, id uint32, what Observation) {
	h := b.endpoints[id]
	if h == nil {
		return
	}
	if what != Nothing && h.ejectedAt == 0 {
		b.decayedFailures, b.decayedAttempts = b.decayedFailures*(1-1/failureRateAttempts), b.decayedAttempts*(1-1/failureRateAttempts)+1
		if what != Success {
			b.decayedFailures++
		}
	}
	switch what {
	case Success:
		h.lastSuccess = now
		if h.consecutiveFailures >= b.reportThreshold() || h.ejectedAt != 0 { // Others may heed what it was: they hear that it is over.
			h.recoveryReportsDue, b.urgent = recoveryRepeats, true
		}
		h.consecutiveFailures, h.sentFailures = 0, 0
	case Failure, ConnectFailure:
		was := h.consecutiveFailures
		h.consecutiveFailures = min(maxReportedFailures, h.consecutiveFailures+int(what-Success))
		h.lastFailure, h.recoveryReportsDue = now, 0
		b.active[id] = h
		b.urgent = b.urgent || was < maxFailuresPerWitness && h.consecutiveFailures >= b.reportThreshold() || h.ejectedAt != 0
	}
}

// rare is how often a trip fails at hosts that nobody calls failing: what chance explains.
func (b *Board) failureRate() float64 {
	return max(minFailureRate, (b.decayedFailures+0.5)/(b.decayedAttempts+100))
}

// worth is how many failures in a row are worth telling.
func (b *Board) reportThreshold() int {
	if b.failureRate() <= rareFailureRate {
		return 1
	}
	return 2
}

// Hear takes a message. Repeats, and what is older than one taken before, change nothing.
func (b *Board) Hear(now int64, m *Message) {
	from, was := b.memberIndex[m.From], b.senders[m.From]
	switch {
	case from == 0: // Nobody known, or this one.
		b.Odd++
		return
	case m.Incarnation < was.incarnation || m.Incarnation == was.incarnation && m.Seq <= was.seq:
		b.Late++
		return
	}
	b.Took++
	if b.members[from].Zone == NoZone && m.Zone != NoZone {
		b.members[from].Zone = m.Zone
		b.countZones()
	}
	zone := b.members[from].Zone // As this one knows it, where it does: between processes each has numbers of its own for zones.
	b.senders[m.From] = senderState{m.Incarnation, m.Seq, zone, float64(min(m.MissPercent, 100)) / 100, now}
	for _, w := range m.Reports {
		h := b.endpoints[w.Endpoint]
		if h == nil {
			continue
		}
		b.active[w.Endpoint] = h
		b.storeReport(h, storedReport{m.From, zone, w.ConsecutiveFailures, now - int64(w.AgeMillis)*ms, now - int64(w.AgeMillis)*ms, now})
	}
}

// hold keeps a word on a host, in place of the member's last one. Where there are too many the one that was heard longest ago gives way.
func (b *Board) storeReport(h *endpointState, word storedReport) {
	byMember := func(w storedReport, from uint32) int { return cmp.Compare(w.sender, from) }
	at, known := slices.BinarySearchFunc(h.reports, word.sender, byMember)
	if known {
		if old := h.reports[at]; old.consecutiveFailures > 0 && word.consecutiveFailures >= old.consecutiveFailures {
			word.firstFailureAt = min(word.firstFailureAt, old.firstFailureAt)
		}
		h.reports[at] = word
		return
	}
	if len(h.reports) >= minReportsPerEndpoint && b.storedReports >= maxStoredReports {
		oldest := 0
		for n := range h.reports {
			if h.reports[n].receivedAt < h.reports[oldest].receivedAt {
				oldest = n
			}
		}
		h.reports = slices.Delete(h.reports, oldest, oldest+1)
		at, _ = slices.BinarySearchFunc(h.reports, word.sender, byMember)
		b.storedReports--
	}
	h.reports = slices.Insert(h.reports, at, word)
	b.storedReports++
}

// Delay says how long signals take here, as far as that is known: leaving and coming back are spread over four times that.
func (b *Board) Delay(of int64) { b.messageDelay = min(max(0, of), 4000*ms) }

// failing is how many hosts fail here, one trip after another.
func (b *Board) countFailing(now int64) (n int) {
	for _, h := range b.active {
		if h.consecutiveFailures > 0 && now-h.lastFailure < evidenceTimeout {
			n++
		}
	}
	return n
}

// Tell gives the message that is due, if one is: at once when something changed, again while it is so, and none while all is well.
func (b *Board) Tell(now int64) *Message {
	if now-b.lastSentAt < minMessageInterval || !b.urgent && now-b.lastSentAt < repeatInterval {
		return nil
	}
	m := &Message{From: b.self.ID, Incarnation: b.incarnation, Zone: b.self.Zone}
	if b.missRate >= minReportedMissRate {
		m.MissPercent = uint8(min(100, b.missRate*100))
	}
	knows := float64(b.countFailing(now)) <= maxEjectedShare*float64(b.listedCount) // More, and what fails is behind all hosts, or this balancer's own.
	for id, h := range b.active {
		if !knows {
			break
		}
		// Where it is heeded already, only what is newer than that needs to be known.
		if now-h.lastFailure < evidenceTimeout && (h.consecutiveFailures >= b.reportThreshold() && (h.ejectedAt == 0 || h.returnsAt != 0 || now-h.ejectedAt < ejectionWindow) || h.consecutiveFailures > 0 && h.ejectedAt != 0 && h.lastFailure > h.ejectedAt) {
			m.Reports = append(m.Reports, Report{Endpoint: id, ConsecutiveFailures: uint8(h.consecutiveFailures), AgeMillis: ageMillis(now - h.lastFailure)})
		} else if h.recoveryReportsDue > 0 {
			m.Reports = append(m.Reports, Report{Endpoint: id, AgeMillis: ageMillis(now - h.lastSuccess)})
		}
	}
	b.urgent = false
	if len(m.Reports) == 0 && m.MissPercent == 0 {
		return nil
	}
	b.selectReports(now, m)
	b.lastSeq++
	m.Seq, b.lastSentAt = b.lastSeq, now
	b.Told++
	return m
}

// first keeps as many words as a message holds: those that were told longest ago or never, the freshest of these first. Where one is left out that says
// more than was told of its host, the next message is due at once.
func (b *Board) selectReports(now int64, m *Message) {
	slices.SortFunc(m.Reports, func(x, y Report) int { // Ties by host, so that a run can be repeated.
		return cmp.Or(cmp.Compare(b.endpoints[x.Endpoint].sentAt, b.endpoints[y.Endpoint].sentAt), cmp.Compare(x.AgeMillis, y.AgeMillis), cmp.Compare(x.Endpoint, y.Endpoint))
	})
	for n, w := range m.Reports {
		h, run := b.endpoints[w.Endpoint], min(int(w.ConsecutiveFailures), maxFailuresPerWitness)
		if n >= maxReportsPerMessage {
			b.urgent = b.urgent || run > h.sentFailures || run == 0 && h.recoveryReportsDue == recoveryRepeats
			continue
		}
		if h.sentFailures, h.sentAt = run, now; run == 0 {
			h.recoveryReportsDue--
		}
	}
	m.Reports = m.Reports[:min(len(m.Reports), maxReportsPerMessage)]
}

func ageMillis(of int64) uint16 { return uint16(min(max(0, of/ms), 65535)) }
