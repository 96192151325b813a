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
	// outlierInterval is how often outlier detection is looked at where no message comes: short against the second after which an ejected endpoint
	// gets its first probe.
	outlierInterval = 50 * time.Millisecond

	maxZones = 4096 // zones that are told apart; there are no more than endpoints that a balancer knows
)

// OutlierExchange is what this process and its peers observed of endpoints. It gives the detector, which counts endpoints and zones by number, the
// names of both.
//
// Its lock is held for moments only; the balancer calls Sent and Saw with its own lock held, so this one is never held around a call of the balancer.
type OutlierExchange struct {
	messages chan []byte // of peers, that Run has not handled yet
	dropped  atomic.Int64

	mu          sync.Mutex // guards what follows
	detector    *outlier.Detector
	ids         map[string]uint32 // of endpoints, by name
	names       map[uint32]string // and back
	zoneNumbers map[string]uint16
	zoneCounts  []evacuation.ZoneHealth // endpoints by zone, sorted by its name, as of the last list
	zoneOf      map[uint32]int          // index into zoneCounts, by endpoint
	ejected     map[uint32]bool         // as the log tells
	malformed   int                     // messages that could not be read
	isMissing   bool                    // reads miss at many processes at once
}

func newOutlierExchange(name, zone string, incarnation uint64, delay time.Duration, queue int) *OutlierExchange {
	e := &OutlierExchange{messages: make(chan []byte, queue), ids: map[string]uint32{}, names: map[uint32]string{}, zoneNumbers: map[string]uint16{},
		ejected: map[uint32]bool{}}
	e.detector = outlier.New(outlier.Member{ID: outlier.HashName(name), Zone: e.zoneNumber(zone)}, incarnation)
	e.detector.SetMessageDelay(int64(delay))
	return e
}

// zoneNumber gives a zone's number in this process; a zone that is not stated, and any beyond the bound, has none. The caller holds mu.
func (e *OutlierExchange) zoneNumber(name string) uint16 {
	number, known := e.zoneNumbers[name]
	switch {
	case known:
		return number
	case name == "" || len(e.zoneNumbers) >= maxZones:
		return outlier.UnknownZone
	}
	if number = uint16(len(e.zoneNumbers)); number >= outlier.UnknownZone {
		number++ // That number says that there is none.
	}
	e.zoneNumbers[name] = number
	return number
}

// Fellows gives what the balancer reports its attempts to; nil where outliers are not shared.
func (f *Fleet) OutlierExchange() *OutlierExchange { return f.outliers }

// Sent tells that an attempt goes to an endpoint. It gives which share of the endpoint's traffic peers' verdicts suppress now, and whether it is ejected.
// The balancer calls it under its lock.
func (e *OutlierExchange) HandleAttemptStarted(endpoint string) (share float64, ejected bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.detector.RecordAttempt(Now(), e.ids[endpoint])
}

// Saw tells how an attempt ended, and how long it took and was expected to take, in nanoseconds. The balancer calls it under its lock.
func (e *OutlierExchange) HandleAttemptEnded(endpoint string, outcome policy.Outcome, took, expected int64) {
	observation := outlier.Classify(outcome, took, expected)
	if observation == outlier.Inconclusive {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.detector.Observe(Now(), e.ids[endpoint], observation)
}

// handleMessage takes a peer's message; false: it could not be read.
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

// update takes which members may report and which endpoints there are.
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

// numberEndpoints gives each endpoint its number. The caller holds mu.
func (e *OutlierExchange) numberEndpoints(endpoints []subset.Endpoint) []uint32 {
	clear(e.ids)
	clear(e.names)
	numbers := make([]uint32, len(endpoints))
	for n, endpoint := range endpoints {
		numbers[n] = outlier.HashName(endpoint.Name)
		e.ids[endpoint.Name], e.names[numbers[n]] = numbers[n], endpoint.Name
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
	e.zoneCounts, e.zoneOf = nil, map[uint32]int{}
	for _, zone := range slices.Sorted(maps.Keys(counts)) {
		e.zoneCounts = append(e.zoneCounts, evacuation.ZoneHealth{Zone: zone, Endpoints: counts[zone]})
	}
	for _, endpoint := range endpoints {
		at, known := slices.BinarySearchFunc(e.zoneCounts, endpoint.Zone, func(v evacuation.ZoneHealth, zone string) int { return cmp.Compare(v.Zone, zone) })
		if known {
			e.zoneOf[outlier.HashName(endpoint.Name)] = at
		}
	}
}

// outlierUpdate is what a look at the detector gives the balancer, the peers and the log.
type outlierUpdate struct {
	shares        map[string]float64 // of traffic that is suppressed, by endpoint
	message       []byte             // for the peers; nil: nothing is due
	changes       []ejectionChange   // sorted by endpoint
	missesChanged bool
	isMissing     bool
}

// ejectionChange is an endpoint that was ejected, or is not any more.
type ejectionChange struct {
	endpoint  string
	isEjected bool
	status    outlier.EndpointStatus // of one that was ejected
}

// updateOutliers ticks the detector, tells the balancer and the peers what follows, and logs what changed. Run calls it.
func (f *Fleet) updateOutliers() {
	reads, misses := f.acts.ReadCounts()
	u := f.outliers.tick(reads, misses)
	if u.missesChanged {
		f.acts.SetWidespreadMisses(u.isMissing)
		f.log.Info().Bool("active", u.isMissing).Int("reads", reads).Int("misses", misses).Msg("widespread cache misses")
	}
	if len(u.shares) > 0 {
		f.acts.ApplyPeerVerdicts(u.shares)
	}
	if u.message != nil && f.exchange != nil {
		f.exchange.Broadcast(u.message)
	}
	f.logEjections(u.changes)
}

func (f *Fleet) logEjections(changes []ejectionChange) {
	for _, c := range changes {
		if c.isEjected {
			f.log.Info().Str("endpoint", c.endpoint).Int("reporters", c.status.Witnesses).Int("reporter_zones", c.status.Zones).
				Int("consecutive_failures", c.status.ConsecutiveFailures).Int("own_consecutive_failures", c.status.OwnConsecutiveFailures).Msg("outlier ejected")
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
	u := outlierUpdate{shares: map[string]float64{}, isMissing: e.detector.UpdateMissRate(now, reads, misses)}
	u.missesChanged = u.isMissing != e.isMissing
	e.isMissing = u.isMissing
	e.detector.Tick(now)
	e.detector.EachEjection(now, func(id uint32, share float64) { u.shares[e.names[id]] = share })
	if m := e.detector.NextMessage(now); m != nil {
		u.message = m.Encode()
	}
	if len(u.shares) > 0 || len(e.ejected) > 0 {
		u.changes = e.ejectionChanges(now)
	}
	return u
}

// ejectionChanges gives which endpoints were ejected, and which are not any more, since it was called last. The caller holds mu.
func (e *OutlierExchange) ejectionChanges(now int64) (changes []ejectionChange) {
	ejected := map[uint32]bool{}
	for _, status := range e.detector.Status(now) {
		if !status.Ejected {
			continue
		}
		ejected[status.ID] = true
		if !e.ejected[status.ID] {
			changes = append(changes, ejectionChange{e.names[status.ID], true, status})
		}
	}
	for id := range e.ejected {
		if !ejected[id] {
			changes = append(changes, ejectionChange{endpoint: e.names[id]})
		}
	}
	e.ejected = ejected
	slices.SortFunc(changes, func(a, b ejectionChange) int { return cmp.Compare(a.endpoint, b.endpoint) })
	return changes
}

// zoneViews gives the endpoints of each zone and how many of them are ejected by peers' verdicts too, sorted by zone; whether an endpoint of ownZone fails
// for this process; and whether reads miss at many processes at once.
func (e *OutlierExchange) zoneViews(now int64, ownZone string) (views []evacuation.ZoneHealth, ownZoneFails, isMissing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	views = slices.Clone(e.zoneCounts)
	for _, status := range e.detector.Status(now) {
		at, known := e.zoneOf[status.ID]
		if !known {
			continue
		}
		if status.Ejected && status.Witnesses > 0 {
			views[at].Failing++
		}
		if status.OwnConsecutiveFailures > 0 && views[at].Zone == ownZone {
			ownZoneFails = true
		}
	}
	return views, ownZoneFails, e.isMissing
}

// OutlierStatus is what the admin endpoint shows of outlier detection.
type OutlierStatus struct {
	Sent      int                      `json:"told"`
	Accepted  int                      `json:"taken"`
	Stale     int                      `json:"older_than_known"`
	Invalid   int                      `json:"of_nobody_or_none"`
	Dropped   int64                    `json:"lost"`
	IsMissing bool                     `json:"reads_miss_for_all"`
	Endpoints []outlier.EndpointStatus `json:"hosts,omitempty"`
}

// status gives the counts since the start and the endpoints of which anybody reports something, by name.
func (e *OutlierExchange) status() *OutlierStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.detector
	s := &OutlierStatus{Sent: d.MessagesSent, Accepted: d.MessagesAccepted, Stale: d.MessagesStale, Invalid: d.MessagesFromUnknown + e.malformed, Dropped: e.dropped.Load(), IsMissing: e.isMissing,
		Endpoints: d.Status(Now())}
	for n := range s.Endpoints {
		s.Endpoints[n].Endpoint = e.names[s.Endpoints[n].ID]
	}
	slices.SortFunc(s.Endpoints, func(a, b outlier.EndpointStatus) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return s
}
