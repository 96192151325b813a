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
	// outlierInterval is how often the outlier detector is ticked when no messages arrive. It is short compared with
	// the second after which an ejected endpoint gets its first probe.
	outlierInterval = 50 * time.Millisecond

	maxZones = 4096 // zones that get a number of their own; equals the number of endpoints that a balancer knows
)

// OutlierExchange connects the balancer and the peers to the outlier detector, which identifies endpoints and zones by
// number.
//
// The balancer calls HandleAttemptStarted and HandleAttemptEnded with its own lock held. Therefore mu is never held
// during a call to the balancer, and only for short computations.
type OutlierExchange struct {
	messages chan []byte // from peers, not yet handled by Run
	dropped  atomic.Int64

	mu               sync.Mutex // guards the fields below
	detector         *outlier.Detector
	idByName         map[string]uint32 // endpoint IDs by name
	nameByID         map[uint32]string // endpoint names by ID
	zoneNumbers      map[string]uint16
	zones            []evacuation.ZoneHealth // sorted by name; endpoint counts of the last endpoint list
	zoneIndex        map[uint32]int          // index into zones by endpoint ID
	ejected          map[uint32]bool         // ejected endpoints as last logged
	malformed        int                     // messages that could not be decoded
	widespreadMisses bool                    // reads miss at many processes of the fleet
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

// zoneNumber returns the process-local number of a zone. It is UnknownZone for an empty name and for new zones beyond
// maxZones. The caller must hold mu, except in the constructor.
func (e *OutlierExchange) zoneNumber(name string) uint16 {
	number, known := e.zoneNumbers[name]
	switch {
	case known:
		return number
	case name == "" || len(e.zoneNumbers) >= maxZones:
		return outlier.UnknownZone
	}
	if number = uint16(len(e.zoneNumbers)); number >= outlier.UnknownZone {
		number++ // Skip UnknownZone.
	}
	e.zoneNumbers[name] = number
	return number
}

// OutlierExchange returns the exchange to which the balancer reports its attempts; nil if it is disabled.
func (f *Fleet) OutlierExchange() *OutlierExchange { return f.outliers }

// HandleAttemptStarted records that an attempt is sent to an endpoint. It returns the penalty of the endpoint (see
// Balancer.ApplyPeerVerdicts) and whether the endpoint is ejected. The balancer calls it with its own lock held.
func (e *OutlierExchange) HandleAttemptStarted(endpoint string) (penalty float64, ejected bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.detector.RecordAttempt(Now(), e.idByName[endpoint])
}

// HandleAttemptEnded records the outcome of an attempt and its actual and expected durations in nanoseconds. The
// balancer calls it with its own lock held.
func (e *OutlierExchange) HandleAttemptEnded(endpoint string, outcome policy.Outcome, took, expected int64) {
	observation := outlier.Classify(outcome, took, expected)
	if observation == outlier.Inconclusive {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.detector.Observe(Now(), e.idByName[endpoint], observation)
}

// handleMessage processes a peer's message. It returns false if the message could not be decoded.
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

// update sets the members whose reports count, and the endpoints.
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

// numberEndpoints assigns each endpoint an ID, a hash of its name, which is the same in all processes. The caller must
// hold mu.
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

// countZones counts the endpoints of each zone. The caller must hold mu.
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

// compareZone compares zones by name for slices.BinarySearchFunc.
func compareZone(health evacuation.ZoneHealth, zone string) int {
	return cmp.Compare(health.Zone, zone)
}

// outlierUpdate is the result of a tick of the detector, for the balancer, the peers and the log.
type outlierUpdate struct {
	penalties        map[string]float64 // by endpoint, for Balancer.ApplyPeerVerdicts
	message          []byte             // for the peers; nil if none is due
	changes          []ejectionChange   // sorted by endpoint
	missesChanged    bool
	widespreadMisses bool
}

// ejectionChange is an endpoint that was ejected or whose ejection ended.
type ejectionChange struct {
	endpoint  string
	isEjected bool
	status    outlier.EndpointStatus // set only if isEjected
}

// updateOutliers ticks the detector, passes the results to the balancer and the peers, and logs the changes. It is
// called by Run.
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
			f.log.Info().Str("endpoint", c.endpoint).Int("reporters", c.status.Reporters).
				Int("reporter_zones", c.status.ReporterZones).Int("consecutive_failures", c.status.ConsecutiveFailures).
				Int("own_consecutive_failures", c.status.OwnConsecutiveFailures).Msg("outlier ejected")
			continue
		}
		f.log.Info().Str("endpoint", c.endpoint).Msg("outlier ejection ended")
	}
}

// tick runs the due work of the detector. reads and misses are the balancer's counts since the start.
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

// ejectionChanges returns the ejections that began or ended since the last call. The caller must hold mu.
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

// zoneHealth returns the zones, sorted by name, with the number of endpoints in each and how many of them are ejected
// and have failures currently reported; whether attempts of this process fail at an endpoint of ownZone; and whether
// reads miss at many processes of the fleet.
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
		if status.Ejected && status.Reporters > 0 {
			zones[at].Failing++
		}
		if status.OwnConsecutiveFailures > 0 && zones[at].Zone == ownZone {
			ownZoneFailing = true
		}
	}
	return zones, ownZoneFailing, e.widespreadMisses
}

// OutlierStatus is the state of the outlier exchange as shown by the admin endpoint. The counts are of messages since
// the start.
type OutlierStatus struct {
	Sent             int                      `json:"told"`
	Accepted         int                      `json:"taken"`
	Stale            int                      `json:"older_than_known"`
	Invalid          int                      `json:"of_nobody_or_none"`
	Dropped          int64                    `json:"lost"`
	WidespreadMisses bool                     `json:"reads_miss_for_all"`
	Endpoints        []outlier.EndpointStatus `json:"hosts,omitempty"`
}

// status returns the counts and the endpoints for which any process has reports, sorted by name.
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
