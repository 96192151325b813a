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
)

// seen is what this process and others saw of hosts: the board, and names for its numbers. Its lock is held for moments only, and the
// balancer's may be held around it, never the other way.
type seen struct {
	came chan []byte
	lost atomic.Int64

	mu     sync.Mutex
	board  *outlier.Detector
	ids    map[string]uint32
	names  map[uint32]string
	counts []evacuation.ZoneHealth // hosts by zone, sorted by its name, made up with the list
	in     map[uint32]int          // which of these a host is in
	zones  map[string]uint16
	heeds  map[uint32]bool // that the log knows of
	odd    int             // what was no signal
	scarce bool            // reads miss for all
}

const (
	looksEvery = 50 * time.Millisecond
	silentFor  = 3 * time.Second // a member without a card for so long has no turn
)

func newSeen(name, zone string, life uint64, delay time.Duration, queue int) *seen {
	s := &seen{came: make(chan []byte, queue), ids: map[string]uint32{}, names: map[uint32]string{}, zones: map[string]uint16{}, heeds: map[uint32]bool{}}
	s.board = outlier.New(outlier.Member{ID: outlier.HashName(name), Zone: s.zone(zone)}, life)
	s.board.SetMessageDelay(int64(delay))
	return s
}

// maxZones is how many zones have a number; there is no more than one a host that a balancer knows.
const maxZones = 4096

// zone is a zone's number here; one that is not stated, and any beyond the bound, is none.
func (s *seen) zone(name string) uint16 {
	n, known := s.zones[name]
	switch {
	case known:
		return n
	case name == "" || len(s.zones) >= maxZones:
		return outlier.UnknownZone
	}
	if n = uint16(len(s.zones)); n >= outlier.UnknownZone {
		n++ // That number says that there is none.
	}
	s.zones[name] = n
	return n
}

// Fellows is what the balancer tells of its trips; nil where signals are off.
func (f *Fleet) OutlierExchange() *seen { return f.seen }

// Sent tells that a trip goes to a host.
func (s *seen) HandleAttemptStarted(server string) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.RecordAttempt(Now(), s.ids[server])
}

// Saw tells how a trip ended.
func (s *seen) HandleAttemptEnded(server string, how policy.Outcome, took, expected int64) {
	if sign := outlier.Classify(how, took, expected); sign != outlier.Inconclusive {
		s.mu.Lock()
		s.board.Observe(Now(), s.ids[server], sign)
		s.mu.Unlock()
	}
}

// Signal takes what the exchange hears. It does not wait.
func (f *Fleet) NotifyBroadcast(bytes []byte) {
	if f.seen == nil {
		return
	}
	select {
	case f.seen.came <- bytes:
	default:
		f.seen.lost.Add(1)
	}
}

func (s *seen) hear(bytes []byte) bool {
	m, err := outlier.DecodeMessage(bytes)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.odd++
		return false
	}
	s.board.HandleMessage(Now(), m)
	return true
}

// lately is who was heard lately: nobody before this process has joined, as over an upgrade until the one before it has gone.
func (f *Fleet) lately() (all []membership.Member) {
	if f.exchange == nil {
		return nil
	}
	for _, m := range f.exchange.Members() {
		if time.Since(m.LastSeen) <= silentFor {
			all = append(all, m)
		}
	}
	return all
}

// fellows says who may speak and which hosts there are, and takes up which of these are this process's to tend.
func (f *Fleet) fellows() {
	servers, lately := f.acts.Endpoints(), f.lately()
	f.tend(lately, servers)
	s := f.seen
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []outlier.Member
	for _, m := range lately {
		all = append(all, outlier.Member{ID: outlier.HashName(m.Name), Zone: s.zone(m.Zone)})
	}
	s.board.SetMembers(all)
	clear(s.ids)
	clear(s.names)
	s.counts, s.in = nil, map[uint32]int{}
	hosts := make([]uint32, len(servers))
	byZone := map[string]int{}
	for n, h := range servers {
		hosts[n] = outlier.HashName(h.Name)
		s.ids[h.Name], s.names[hosts[n]] = hosts[n], h.Name
		if h.Zone != "" {
			byZone[h.Zone]++
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		s.counts = append(s.counts, evacuation.ZoneHealth{Zone: zone, Endpoints: byZone[zone]})
	}
	for n, h := range servers {
		if at := slices.IndexFunc(s.counts, func(v evacuation.ZoneHealth) bool { return v.Zone == h.Zone }); at >= 0 {
			s.in[hosts[n]] = at
		}
	}
	s.board.SetEndpoints(hosts)
}

// signals looks at what was seen and heard: it hands the balancer what is heeded, tells what is due, and logs what changed.
func (f *Fleet) signals() {
	s, parts := f.seen, map[string]float64{}
	type change struct {
		host  string
		heeds bool
		outlier.EndpointStatus
	}
	var changes []change
	reads, misses := f.acts.ReadCounts()
	s.mu.Lock()
	now := Now()
	scarce := s.board.UpdateMissRate(now, reads, misses)
	turned := scarce != s.scarce
	s.scarce = scarce
	s.board.Tick(now)
	s.board.EachEjection(now, func(id uint32, part float64) { parts[s.names[id]] = part })
	var message []byte
	if m := s.board.NextMessage(now); m != nil {
		message = m.Encode()
	}
	if len(parts) > 0 || len(s.heeds) > 0 {
		heeds := map[uint32]bool{}
		for _, st := range s.board.Status(now) {
			if !st.Ejected {
				continue
			}
			if heeds[st.ID] = true; !s.heeds[st.ID] {
				changes = append(changes, change{s.names[st.ID], true, st})
			}
		}
		for id := range s.heeds {
			if !heeds[id] {
				changes = append(changes, change{host: s.names[id]})
			}
		}
		s.heeds = heeds
	}
	s.mu.Unlock()
	if turned {
		f.acts.SetWidespreadMisses(scarce)
		f.log.Info().Bool("is", scarce).Int("reads", reads).Int("misses", misses).Msg("reads miss for all")
	}
	if len(parts) > 0 {
		f.acts.ApplyPeerVerdicts(parts)
	}
	if message != nil && f.exchange != nil {
		f.exchange.Broadcast(message)
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.host, b.host) })
	for _, c := range changes {
		if c.heeds {
			f.log.Info().Str("server", c.host).Int("witnesses", c.Witnesses).Int("zones", c.Zones).Int("failures", c.ConsecutiveFailures).Int("own", c.OwnConsecutiveFailures).Msg("server fails for several: left but for turns")
		} else {
			f.log.Info().Str("server", c.host).Msg("server settles again, or nobody says otherwise any more")
		}
	}
}

// SignalsStand is what the door shows of signals.
type SignalsStand struct {
	Told  int                      `json:"told"`
	Took  int                      `json:"taken"`
	Late  int                      `json:"older_than_known"`
	Odd   int                      `json:"of_nobody_or_none"`
	Lost  int64                    `json:"lost"`
	Miss  bool                     `json:"reads_miss_for_all"`
	Hosts []outlier.EndpointStatus `json:"hosts,omitempty"`
}

func (s *seen) stand() *SignalsStand {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := &SignalsStand{Told: s.board.MessagesSent, Took: s.board.MessagesAccepted, Late: s.board.MessagesStale, Odd: s.board.MessagesFromUnknown + s.odd, Lost: s.lost.Load(), Miss: s.scarce,
		Hosts: s.board.Status(Now())}
	for n := range st.Hosts {
		st.Hosts[n].Endpoint = s.names[st.Hosts[n].ID]
	}
	slices.SortFunc(st.Hosts, func(a, b outlier.EndpointStatus) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return st
}
