package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hollylever/evacuation"
	"hollylever/membership"
	"hollylever/outlier"
	"hollylever/policy"
	"hollylever/subset"
)

const (
	// outlierInterval is how often the outlier detector is ticked where no message comes: short against the second
	// after which an ejected endpoint gets its first probe.
	outlierInterval = 50 * time.Millisecond

	maxZones = 4096 // that are told apart: as many as endpoints that a balancer knows
)

// OutlierExchange connects the balancer and the peers with the outlier detector, which knows endpoints and zones by
// number.
//
// The balancer calls HandleAttemptStarted and HandleAttemptEnded with its own lock held; so the lock here is never
// held around a call of the balancer, and only for a few steps of computation.
type OutlierExchange struct {
	messages chan []byte // of peers, not handled by Run yet
	dropped  atomic.Int64

	mu               sync.Mutex // guards what follows
	detector         *outlier.Detector
	idByName         map[string]uint32 // endpoints, by name
	nameByID         map[uint32]string // and back
	zoneNumbers      map[string]uint16
	zones            []evacuation.ZoneHealth // sorted by name, with the endpoints of the last list
	zoneIndex        map[uint32]int          // into zones, by endpoint
	ejected          map[uint32]bool         // as logged last
	malformed        int                     // messages that could not be decoded
	widespreadMisses bool                    // reads miss at many processes at once
}

func newOutlierExchange(name, zone string, incarnation uint64, delay time.Duration, queue int) *OutlierExchange {
	e := &OutlierExchange{
		messages: make(chan []byte, queue), idByName: map[string]uint32{}, nameByID: map[uint32]string{},
		zoneNumbers: map[string]uint16{}, ejected: map[uint32]bool{},
	}
	e.detector = outlier.New(outlier.Member{ID: outlier.HashName(name), Zone: e.zoneNumber(zone)}, incarnation)
	e.detector.SetMessageDelay(int64(delay))
	return e
}

// zoneNumber returns a zone's number in this process: UnknownZone for one that is not stated, and for any beyond
// maxZones. The caller holds mu, but in the constructor.
func (e *OutlierExchange) zoneNumber(name string) uint16 {
	number, known := e.zoneNumbers[name]
	switch {
	case known:
		return number
	case name == "" || len(e.zoneNumbers) >= maxZones:
		return outlier.UnknownZone
	}
	if number = uint16(len(e.zoneNumbers)); number >= outlier.UnknownZone {
		number++ // That number is taken.
	}
	e.zoneNumbers[name] = number
	return number
}

// OutlierExchange returns what the balancer reports its attempts to; nil where outliers are not shared.
func (f *Fleet) OutlierExchange() *OutlierExchange { return f.outliers }

// HandleAttemptStarted records that an attempt goes to an endpoint. It returns what peers' reports take from the
// endpoint's chance of success (see ApplyPeerVerdicts) and whether it is ejected. The balancer calls it under its own
// lock.
func (e *OutlierExchange) HandleAttemptStarted(endpoint string) (penalty float64, ejected bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.detector.RecordAttempt(Now(), e.idByName[endpoint])
}

// HandleAttemptEnded records how an attempt ended, and how long it took and was expected to take, in nanoseconds. The
// balancer calls it under its own lock.
func (e *OutlierExchange) HandleAttemptEnded(endpoint string, outcome policy.Outcome, took, expected int64) {
	observation := outlier.Classify(outcome, took, expected)
	if observation == outlier.Inconclusive {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.detector.Observe(Now(), e.idByName[endpoint], observation)
}

// handleMessage takes a peer's message; false: it could not be decoded.
func (e *OutlierExchange) handleMessage(message []byte) bool {
	m, err := outlier.DecodeMessage(message)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.malformed++
		return false
	}
	e.detector.HandleMessage(Now(), m)
	return true
}

// update takes the members that may report, and the endpoints.
func (e *OutlierExchange) update(live []membership.Member, endpoints []subset.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reporters := make([]outlier.Member, 0, len(live))
	for _, m := range live {
		reporters = append(reporters, outlier.Member{ID: outlier.HashName(m.Name), Zone: e.zoneNumber(m.Zone)})
	}
	e.detector.SetMembers(reporters)
	e.detector.SetEndpoints(e.numberEndpoints(endpoints))
	e.countZones(endpoints)
}

// numberEndpoints numbers the endpoints by a hash of their names, which is the same at all processes. The caller
// holds mu.
func (e *OutlierExchange) numberEndpoints(endpoints []subset.Endpoint) []uint32 {
	clear(e.idByName)
	clear(e.nameByID)
	numbers := make([]uint32, len(endpoints))
	for n, endpoint := range endpoints {
		numbers[n] = outlier.HashName(endpoint.Name)
		e.idByName[endpoint.Name], e.nameByID[numbers[n]] = numbers[n], endpoint.Name
	}
	return numbers
}

// countZones counts the endpoints of each zone. The caller holds mu.
func (e *OutlierExchange) countZones(endpoints []subset.Endpoint) {
	counts := map[string]int{}
	for _, endpoint := range endpoints {
		if endpoint.Zone != "" {
			counts[endpoint.Zone]++
		}
	}
	e.zones, e.zoneIndex = nil, map[uint32]int{}
	for _, zone := range slices.Sorted(maps.Keys(counts)) {
		e.zones = append(e.zones, evacuation.ZoneHealth{Zone: zone, Endpoints: counts[zone]})
	}
	for _, endpoint := range endpoints {
		at, known := slices.BinarySearchFunc(e.zones, endpoint.Zone, compareZone)
		if known {
			e.zoneIndex[outlier.HashName(endpoint.Name)] = at
		}
	}
}

// compareZone orders zones by name, for a search.
func compareZone(health evacuation.ZoneHealth, zone string) int {
	return cmp.Compare(health.Zone, zone)
}

// outlierUpdate is what a tick of the detector has for the balancer, the peers and the log.
type outlierUpdate struct {
	penalties        map[string]float64 // as for ApplyPeerVerdicts, by endpoint
	message          []byte             // for the peers; nil: none is due
	changes          []ejectionChange   // sorted by endpoint
	missesChanged    bool
	widespreadMisses bool
}

// ejectionChange is an endpoint that was ejected, or whose ejection has ended.
type ejectionChange struct {
	endpoint  string
	isEjected bool
	status    outlier.EndpointStatus // of one that was ejected
}

// updateOutliers ticks the detector, tells the balancer and the peers what follows, and logs what changed. Run calls
// it.
func (f *Fleet) updateOutliers() {
	reads, misses := f.balancer.ReadCounts()
	u := f.outliers.tick(reads, misses)
	if u.missesChanged {
		f.balancer.SetWidespreadMisses(u.widespreadMisses)
		f.log.Info().Bool("active", u.widespreadMisses).Int("reads", reads).Int("misses", misses).
			Msg("widespread cache misses")
	}
	if len(u.penalties) > 0 {
		f.balancer.ApplyPeerVerdicts(u.penalties)
	}
	if u.message != nil && f.exchange != nil {
		f.exchange.Broadcast(u.message)
	}
	f.logEjections(u.changes)
}

func (f *Fleet) logEjections(changes []ejectionChange) {
	for _, c := range changes {
		if c.isEjected {
			f.log.Info().Str("endpoint", c.endpoint).Int("reporters", c.status.Witnesses).
				Int("reporter_zones", c.status.Zones).Int("consecutive_failures", c.status.ConsecutiveFailures).
				Int("own_consecutive_failures", c.status.OwnConsecutiveFailures).Msg("outlier ejected")
			continue
		}
		f.log.Info().Str("endpoint", c.endpoint).Msg("outlier ejection ended")
	}
}

// tick has the detector do what is due. reads and misses are the balancer's counts since the start.
func (e *OutlierExchange) tick(reads, misses int) outlierUpdate {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := Now()
	u := outlierUpdate{penalties: map[string]float64{}, widespreadMisses: e.detector.UpdateMissRate(now, reads, misses)}
	u.missesChanged = u.widespreadMisses != e.widespreadMisses
	e.widespreadMisses = u.widespreadMisses
	e.detector.Tick(now)
	e.detector.EachEjection(now, func(id uint32, penalty float64) { u.penalties[e.nameByID[id]] = penalty })
	if m := e.detector.NextMessage(now); m != nil {
		u.message = m.Encode()
	}
	if len(u.penalties) > 0 || len(e.ejected) > 0 {
		u.changes = e.ejectionChanges(now)
	}
	return u
}

// ejectionChanges returns the ejections that began or ended since it was called last. The caller holds mu.
func (e *OutlierExchange) ejectionChanges(now int64) (changes []ejectionChange) {
	ejected := map[uint32]bool{}
	for _, status := range e.detector.Status(now) {
		if !status.Ejected {
			continue
		}
		ejected[status.ID] = true
		if !e.ejected[status.ID] {
			changes = append(changes, ejectionChange{e.nameByID[status.ID], true, status})
		}
	}
	for id := range e.ejected {
		if !ejected[id] {
			changes = append(changes, ejectionChange{endpoint: e.nameByID[id]})
		}
	}
	e.ejected = ejected
	slices.SortFunc(changes, func(a, b ejectionChange) int { return cmp.Compare(a.endpoint, b.endpoint) })
	return changes
}

// zoneHealth returns the zones, sorted by name, with how many endpoints each has and how many of these are ejected on
// peers' reports too; whether an endpoint of ownZone fails for this process; and whether reads miss at many processes
// at once.
func (e *OutlierExchange) zoneHealth(
	now int64, ownZone string,
) (zones []evacuation.ZoneHealth, ownZoneFailing, widespreadMisses bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	zones = slices.Clone(e.zones)
	for _, status := range e.detector.Status(now) {
		at, known := e.zoneIndex[status.ID]
		if !known {
			continue
		}
		if status.Ejected && status.Witnesses > 0 {
			zones[at].Failing++
		}
		if status.OwnConsecutiveFailures > 0 && zones[at].Zone == ownZone {
			ownZoneFailing = true
		}
	}
	return zones, ownZoneFailing, e.widespreadMisses
}

// OutlierStatus is what the admin endpoint shows of outlier detection. The counts are of messages, since the start.
type OutlierStatus struct {
	Sent             int                      `json:"told"`
	Accepted         int                      `json:"taken"`
	Stale            int                      `json:"older_than_known"`
	Invalid          int                      `json:"of_nobody_or_none"`
	Dropped          int64                    `json:"lost"`
	WidespreadMisses bool                     `json:"reads_miss_for_all"`
	Endpoints        []outlier.EndpointStatus `json:"hosts,omitempty"`
}

// status returns the counts, and the endpoints of which any process reports something, sorted by name.
func (e *OutlierExchange) status() *OutlierStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.detector
	s := &OutlierStatus{
		Sent: d.MessagesSent, Accepted: d.MessagesAccepted, Stale: d.MessagesStale,
		Invalid: d.MessagesFromUnknown + e.malformed, Dropped: e.dropped.Load(),
		WidespreadMisses: e.widespreadMisses, Endpoints: d.Status(Now()),
	}
	for n := range s.Endpoints {
		s.Endpoints[n].Endpoint = e.nameByID[s.Endpoints[n].ID]
	}
	slices.SortFunc(s.Endpoints, func(a, b outlier.EndpointStatus) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return s
}
