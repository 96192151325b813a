// Package fleet runs what a process does as one of many: the exchange, its lease, and its part as a keeper if it is one. It brings
// clocks, sockets and the disk to agreed and members, and tells the balancer what to act on. One lock stands round what is agreed; nothing
// blocks under it but a keeper's disk.
package fleet

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"hollylever/budgets"
	"hollylever/consensus"
	"hollylever/evacuation"
	"hollylever/fields"
	"hollylever/fleetconfig"
	"hollylever/membership"
	"hollylever/monotime"
	"hollylever/store"
	"hollylever/subset"
)

// Acts is what is told what to act on: the balancer. Heeds is called under no lock, whenever it changes.
type Balancer interface {
	ApplyConfig(consensus.EffectiveConfig)
	ApplyPeerDrains(names []string) // hosts that other processes' later lists call draining or gone
	EndpointList() (index, digest uint64, drains []membership.DrainedEndpoint)
	Endpoints() []subset.Endpoint
	SetConnectionSubset(names map[string]bool, all bool)         // to which hosts idle connections are kept
	ApplyPeerVerdicts(parts map[string]float64)                  // what others' word takes from hosts' chances
	SetBudgetShare(part float64)                                 // of the fleet's budgets; 0: they are not divided
	RequestCount() int                                           // retrievals since the start
	SetEvacuation(parts map[string]float64, fills time.Duration) // which part of the keys does not go to each zone
	SlowStartDuration() time.Duration
	ReadCounts() (reads, misses int) // since the start
	SetWidespreadMisses(is bool)     // reads miss for all
}

// Fleet is one process's part in the fleet.
type Fleet struct {
	name, zone string
	settings   string // a digest of them
	own        consensus.ListRollbackGuard
	odd        bool // its settings are not those in force, and it said so
	terms      consensus.LeaseTiming
	keepers    []string
	acts       Balancer
	log        zerolog.Logger
	exchange   membership.Exchange
	came       chan []byte
	changed    chan struct{}
	life       uint64
	lost       atomic.Int64 // messages that came while too many waited
	until      atomic.Int64 // the lease's end, for who looks at each decision
	alone      atomic.Int64 // decisions without a lease
	under      atomic.Int64 // and under one
	trace      *os.File
	left       string // where the next process finds what this one acts on; "": nowhere
	join       func() error
	keeps      func() error
	seen       *seen // nil: no signals
	tends      tending
	zones      leaving
	gossips    gossips

	mu     sync.Mutex
	holder *consensus.LeaseHolder
	keeper *consensus.Replica
	last   *store.Log

	again         *time.Ticker // what could not be begun yet is tried again
	isReplicaLost bool         // its folder was damaged meanwhile: only a restart helps
	isReplicaDown bool         // its folder has failed and it has not been begun again
	acting        consensus.EffectiveConfig
	waiting       map[string]chan said
	cards         uint64
	portion       float64 // that the balancer was told
	came0         int     // retrievals, and when they were counted
	cameAt        int64
	news          []string
	late          consensus.PersistentCondition // its list is behind
	behind        time.Duration
	differs       bool
	contrary      int
}

const (
	minQueue     = 256 // messages that wait
	maxQueue     = 4 * fleetconfig.MaxMembers
	replicaEvery = 250 * time.Millisecond // a replica whose folder has failed is begun again so often
	joinEvery    = 50 * time.Millisecond
)

// rate is 1 but where a test has clocks that are off.
var rate = 1.0

// ClockOff is for tests' processes: this one's clock runs at so many times the true rate.
func SetClockRate(by float64) { rate = by }

// Now is the clock that leases run on: it goes on while the process, or the machine, stands still.
func Now() int64 {
	now := monotime.Now()
	if rate != 1 {
		return int64(float64(now) * rate)
	}
	return now
}

// Start joins the fleet, as the checked table says. name is the balancer's, of whose processes each is a life.
func Start(own fields.Values, name, zone, settings string, acts Balancer, log zerolog.Logger) (*Fleet, error) {
	if err := fleetconfig.Validate(own, name); err != nil {
		return nil, err
	}
	peers, _ := fleetconfig.ParsePeers(own.Word("fleet.peers"))
	f := &Fleet{name: name, zone: zone, settings: settings, terms: fleetconfig.ParseLeaseTiming(own), keepers: fleetconfig.ParseNames(own.Word("fleet.keepers")), acts: acts, log: log,
		behind: own.Duration("fleet.behind"), came: make(chan []byte, queueFor(peers, own)), changed: make(chan struct{}, 1), waiting: map[string]chan said{}}
	var seed [16]byte
	crand.Read(seed[:])
	f.life = nextIncarnation(os.Getenv("TMPDIR"), time.Now(), binary.LittleEndian.Uint32(seed[:4]))
	if own.Yes("fleet.signals") {
		f.seen = newSeen(name, zone, f.life, own.Duration("fleet.signal_delay"), queueFor(peers, own))
	}
	f.zones = leaving{itself: own.Yes("fleet.zones"), terms: evacuation.RampDurations{EvacuationNanos: int64(leavesOver), RecoveryNanos: int64(acts.SlowStartDuration() * 3 / 2)}, paths: map[string]*evacuation.Ramp{}}
	f.tends = tending{rule: subset.Config{MinEndpoints: int(own.Count("fleet.tends")), MinBalancers: subset.DefaultConfig.MinBalancers, ZoneLocal: own.Yes("fleet.tends_near")}}
	source := rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
	chance := source.IntN // Only called under the lock.
	if path := own.Word("fleet.trace"); path != "" {
		var err error
		if f.trace, err = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return nil, fmt.Errorf("fleet.trace: %w", err)
		}
	}
	if place := os.Getenv("TMPDIR"); place != "" {
		f.left = filepath.Join(place, "hollylever.fleet")
	}
	f.holder = consensus.NewLeaseHolder(Now(), name, f.life, f.terms, f.keepers, f, chance)
	f.recall()
	f.join = func() error {
		if f.exchange != nil {
			return nil
		}
		open := func() (membership.Exchange, error) {
			return membership.OpenPlain(name, own.Word("fleet.listen"), peers, fleetconfig.SendRate(own, len(peers)), f)
		}
		if own.Word("fleet.way") == "gossip" {
			open = func() (membership.Exchange, error) {
				return membership.OpenGossip(name, own.Word("fleet.listen"), peers, fleetconfig.SendRate(own, len(peers)), f)
			}
		}
		exchange, err := open()
		if err != nil {
			return fmt.Errorf("fleet.listen: %w", err)
		}
		f.mu.Lock()
		f.exchange = exchange
		f.mu.Unlock()
		return nil
	}
	f.keeps = func() error {
		if f.keeper != nil || f.isReplicaLost || !slices.Contains(f.keepers, name) {
			return nil
		}
		return f.keep(own.Word("fleet.state"), chance)
	}
	// Over an upgrade the process before this one still has the place, and may keep: the two are one member. This one acts alone, on
	// what the other left, until it has gone.
	switch err := f.join(); {
	case errors.Is(err, unix.EADDRINUSE):
		log.Info().Msg("another process of this name is in the fleet; this one joins when it has gone")
	case err != nil:
		return nil, err
	}
	if err := f.keeps(); err != nil && !errors.Is(err, store.ErrLocked) {
		return nil, err
	}
	log.Info().Str("listen", own.Word("fleet.listen")).Bool("keeper", f.keeper != nil).Dur("t_ms", f.terms.MaxDisagreement()).Msg("fleet joined")
	return f, nil
}

// queueFor is how many messages may wait here: a few of each process that the settings name or allow.
func queueFor(peers []membership.Peer, own fields.Values) int {
	return min(maxQueue, max(minQueue, 4*len(peers), 4*int(own.Count("fleet.most"))))
}

// keep begins a keeper, with what lasts of it.
func (f *Fleet) keep(path string, chance func(int) int) (err error) {
	var records [][]byte
	var lasting consensus.Storage = forgets{}
	if path != "" {
		f.last, records, err = store.Open(path)
		switch {
		case errors.Is(err, store.ErrLocked):
			return err // Another process of this balancer keeps, over an upgrade: one keeps at a time.
		case errors.Is(err, store.ErrCorrupt) && f.isReplicaDown:
			// What this process has voted for is lost, and it may not begin anew under the same incarnation: a restart may.
			f.log.Error().Str("file", path).Msg("replica stopped for good: its folder is damaged; restart the process")
			f.isReplicaLost = true
			f.last.Close()
			f.last = nil
			return nil
		case errors.Is(err, store.ErrCorrupt):
			f.log.Error().Str("file", path).Msg("what lasted is damaged and was put aside: this keeper learns anew")
		case err != nil:
			return fmt.Errorf("fleet.state: %w", err)
		}
		lasting = f.last
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.keeper, err = consensus.NewReplica(Now(), f.name, f.life, f.terms, f.keepers, records, lasting, f, chance); err != nil {
		f.keeper = nil
		if f.last != nil {
			f.last.Close()
			f.last = nil
		}
		return fmt.Errorf("fleet.state: %w", err)
	}
	return nil
}

// forgets is where a keeper without a disk writes: its life is its state's.
type forgets struct{}

func (forgets) Append([][]byte) error  { return nil }
func (forgets) Replace([][]byte) error { return nil }

// Send is how holder and keeper send: to itself by the way that all messages come.
func (f *Fleet) Send(to string, m *consensus.Message) {
	bytes := m.Marshal()
	if to == f.name {
		f.NotifyMessage(bytes)
		return
	}
	if f.exchange != nil {
		f.exchange.Send(to, bytes)
	}
}

// Message takes what the exchange hears. It does not wait.
func (f *Fleet) NotifyMessage(bytes []byte) {
	select {
	case f.came <- bytes:
	default:
		f.lost.Add(1)
	}
}

// Card takes a member's card: what later lists say of drains is news.
func (f *Fleet) NotifyState(membership.MemberState) {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// Run plays the process's part until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	f.gossips.timer = time.NewTimer(time.Hour)
	defer f.gossips.timer.Stop()
	tell := time.NewTicker(time.Second)
	defer tell.Stop()
	f.again = time.NewTicker(joinEvery)
	defer f.again.Stop()
	f.fellows() // Hosts and their zones are known before anybody is heard: what is left is not gone to.
	var looks <-chan time.Time
	var signals chan []byte
	if f.seen != nil {
		often := time.NewTicker(looksEvery)
		defer often.Stop()
		looks, signals = often.C, f.seen.came
	}
	for {
		select {
		case <-ctx.Done():
			f.mu.Lock()
			if f.exchange != nil {
				f.exchange.Close()
			}
			f.keeper = nil
			if f.last != nil {
				f.last.Close()
			}
			f.mu.Unlock()
			return
		case bytes := <-f.came:
			f.hear(bytes)
		case bytes := <-signals:
			if f.seen.hear(bytes) {
				f.signals()
			}
		case <-looks:
			f.signals()
			f.leaves(ctx)
		case <-timer.C:
		case <-f.changed:
			f.gossips.due(Now())
		case <-f.gossips.timer.C:
			f.gossip()
		case <-f.again.C:
			if f.join() == nil && f.keeps() == nil {
				f.again.Stop()
				f.saysReplicaIsBack()
			}
		case <-tell.C:
			if f.exchange != nil {
				f.exchange.PublishState(f.card())
				f.gossip()
				f.counts()
			}
			f.fellows()
		}
		timer.Reset(f.look())
	}
}

func (f *Fleet) hear(bytes []byte) {
	m, err := consensus.UnmarshalMessage(bytes)
	if err != nil {
		f.log.Warn().Err(err).Msg("not a message of the fleet")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch now := Now(); {
	case m.LeaseResponse != nil:
		f.holder.HandleLeaseResponse(now, m.LeaseResponse)
	case m.ProposalResult != nil:
		if wait := f.waiting[m.ProposalResult.ID]; wait != nil {
			select {
			case wait <- said{*m.ProposalResult, m.From}:
			default:
			}
		}
	case f.keeper != nil:
		f.keeper.HandleMessage(now, m)
	}
}

// endReplica ends this process's replica, whose folder has failed, and has it begun again from what is on the disk, as a restart would: a
// folder that fails for a while must not cost the replica, and three such the majority. Under the lock.
func (f *Fleet) endReplica(err error) {
	if !f.isReplicaDown {
		f.log.Error().Err(err).Msg("replica stopped: it is begun again from its folder")
	}
	f.keeper, f.isReplicaDown = nil, true
	if f.last != nil {
		f.last.Close()
		f.last = nil
	}
	f.again.Reset(replicaEvery)
}

// saysReplicaIsBack logs that a replica that was stopped runs again.
func (f *Fleet) saysReplicaIsBack() {
	f.mu.Lock()
	isBack := f.isReplicaDown && !f.isReplicaLost
	f.isReplicaDown = false
	f.mu.Unlock()
	if isBack {
		f.log.Info().Msg("replica runs again")
	}
}

// look does what is due, and tells the balancer what to act on if that has changed.
func (f *Fleet) look() time.Duration {
	f.mu.Lock()
	now := Now()
	f.holder.Tick(now)
	wait := f.holder.TimeUntilTick(now)
	if f.keeper != nil {
		f.keeper.Tick(now)
		wait = min(wait, f.keeper.TimeUntilTick(now))
		if err := f.keeper.Err(); err != nil {
			f.endReplica(err)
		}
	}
	was := f.acting
	f.acting = f.holder.EffectiveConfig(now)
	f.until.Store(f.holder.LeaseExpiry())
	if f.acting.IsLeased {
		wait = min(wait, time.Duration(f.holder.LeaseExpiry()-now))
	}
	acting, contrary := f.acting, f.holder.ConflictingResponses
	f.mu.Unlock()
	if contrary > f.contrary {
		f.contrary = contrary
		f.log.Error().Msg("there are two histories: what this process acts on is another's")
	}
	if was.MinRevision != acting.MinRevision || was.LatestRevision != acting.LatestRevision {
		f.log.Info().Uint64("floor", acting.MinRevision).Uint64("latest", acting.LatestRevision).Int("bans", len(acting.EjectedEndpoints)).Msg("acts on")
		f.acts.ApplyConfig(acting)
		f.leave()
	}
	if d := acting.BudgetShare - f.portion; d > 0.01*f.portion || d < 0 {
		f.portion = acting.BudgetShare
		f.acts.SetBudgetShare(acting.BudgetShare)
	}
	if odd := acting.IsLeased && acting.SettingsDigest != "" && acting.SettingsDigest != f.settings; odd != f.odd {
		if f.odd = odd; odd {
			f.log.Warn().Str("own", f.settings).Str("in_force", acting.SettingsDigest).Msg("settings are not those in force")
		}
	}
	if was.IsLeased != acting.IsLeased {
		if acting.IsLeased {
			f.log.Info().Uint64("latest", acting.LatestRevision).Msg("under a lease")
		} else {
			f.log.Warn().Uint64("latest", acting.LatestRevision).Msg("alone: cut off from the majority, acts on the strictest that it knows")
		}
	}
	return max(wait, time.Millisecond)
}

// counts takes how many retrievals come, for the part that is asked for.
func (f *Fleet) counts() {
	came, now := f.acts.RequestCount(), Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cameAt != 0 && now > f.cameAt {
		rate := float64(came-f.came0) / float64(now-f.cameAt) * 1e9
		f.holder.RequestRate += (rate - f.holder.RequestRate) / 2
	}
	f.came0, f.cameAt = came, now
}

// Decides is called before each decision: it looks at the lease. It allocates nothing.
func (f *Fleet) CheckLease() (leased bool) {
	now := Now()
	if leased = now < f.until.Load(); leased {
		f.under.Add(1)
	} else {
		f.alone.Add(1)
	}
	if f.trace != nil {
		f.traced(now, leased)
	}
	return leased
}

// traced writes on what was decided, for the checker of merged traces.
func (f *Fleet) traced(now int64, leased bool) {
	f.mu.Lock()
	a := f.acting
	digest := ""
	if v := f.holder.Revisions(); len(v) > 0 {
		digest = v[len(v)-1].Digest()
	}
	f.mu.Unlock()
	var t unix.Timespec
	unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	if !leased && f.terms.MaxMembers > 0 {
		a.BudgetShare = budgets.ShareWithoutLease(f.terms.MaxMembers)
	}
	fmt.Fprintf(f.trace, "%d %s %d %d %t %g %s\n", t.Nano(), f.name, a.MinRevision, a.LatestRevision, leased, a.BudgetShare, digest)
}

// Status is what the door shows.
type Status struct {
	Name     string                    `json:"name"`
	Zone     string                    `json:"zone,omitempty"`
	Leads    string                    `json:"leads,omitempty"`
	Acting   consensus.EffectiveConfig `json:"acting"`
	T        string                    `json:"t"`
	LeaseMS  int64                     `json:"lease_left_ms"`
	Alone    int64                     `json:"decisions_alone"`
	Under    int64                     `json:"decisions_under_lease"`
	Lost     int64                     `json:"messages_lost"`
	Members  []Stands                  `json:"members"`
	News     []string                  `json:"drains_by_others,omitempty"`
	Keeper   *KeeperStands             `json:"keeper,omitempty"`
	Versions []consensus.Revision      `json:"versions_that_count"`
	Signals  *SignalsStand             `json:"signals,omitempty"`
	Tends    []string                  `json:"tends,omitempty"`
	Zones    []ZoneStands              `json:"zones,omitempty"`
}

// Stands is a member as this process heard of it.
type Stands struct {
	membership.MemberState
	AgoMS int64 `json:"heard_ms_ago"`
	Gone  bool  `json:"gone"`
}

// KeeperStands is a keeper's own view.
type KeeperStands struct {
	Leads   bool `json:"leads"`
	Founded bool `json:"founded"`
	Holders int  `json:"holders"`
}

// Status tells how things stand.
func (f *Fleet) Status() Status {
	own := f.card()
	var list []membership.Member
	f.mu.Lock()
	if f.exchange != nil {
		list = f.exchange.Members()
	}
	f.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := Now()
	s := Status{Name: f.name, Zone: f.zone, Leads: f.holder.Leader(), Acting: f.holder.EffectiveConfig(now), T: f.terms.MaxDisagreement().Round(time.Millisecond).String(),
		LeaseMS: max(0, f.holder.LeaseExpiry()-now) / 1e6, Alone: f.alone.Load(), Under: f.under.Load(), Lost: f.lost.Load(), News: f.news,
		Versions: slices.Clone(f.holder.Revisions()), Members: []Stands{{MemberState: own}}}
	for _, m := range list {
		s.Members = append(s.Members, Stands{m.MemberState, time.Since(m.LastSeen).Milliseconds(), m.IsGone(time.Now())})
	}
	if f.seen != nil {
		s.Signals = f.seen.stand()
	}
	s.Tends, s.Zones = f.tends.has, f.zones.stands
	if f.keeper != nil {
		s.Keeper = &KeeperStands{Leads: f.keeper.IsLeader(), Founded: f.keeper.IsBootstrapped(), Holders: f.keeper.ActiveLeases(now)}
	}
	return s
}

// History is what this process knows of it: a keeper more than others.
func (f *Fleet) History() []consensus.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.keeper != nil && f.keeper.IsBootstrapped() {
		all, _ := f.keeper.History()
		return slices.Clone(all)
	}
	return slices.Clone(f.holder.Revisions())
}
