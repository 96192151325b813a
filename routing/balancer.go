// Package routing ties the decision module to connections: the life of a retrieval, the module's Host, its clock
// and timers, clients in front, and following the list. It decides nothing.
//
// One lock stands around the module, and nothing blocks under it. Each retrieval has a goroutine, which is told
// through a channel of its own what the module decided and how its trips ended.
package routing

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"hollylever/policy"
	"hollylever/protocol"
	"hollylever/snapshot"
	"hollylever/tables"
	"hollylever/transport"
)

// outcomes turns how a trip's connection ended into what the module calls it. TurnedAway up to Withdrawn prove that
// it never ran: its last byte was not handed over.
var outcomes = map[transport.End]policy.Outcome{
	transport.Settled:    policy.OK,
	transport.Errored:    policy.Errored,
	transport.TurnedAway: policy.Rejected,
	transport.Refused:    policy.ConnectFailed,
	transport.NeverUp:    policy.ConnectFailed,
	transport.NoRoom:     policy.NotSent,
	transport.CutShort:   policy.ConnectFailed,
	transport.Stuck:      policy.ConnectFailed,
	transport.Withdrawn:  policy.NotSent,
	transport.Broken:     policy.Reset,
	transport.Silent:     policy.TimedOut,
	transport.CalledOff:  policy.Cancelled,
	transport.Garbled:    policy.Reset,
}

var healths = map[protocol.EndpointStatus]policy.Health{
	protocol.EndpointReady: policy.Ready, protocol.EndpointDraining: policy.Draining, protocol.EndpointGone: policy.Removed,
}

var names = map[policy.Health]string{policy.Ready: protocol.EndpointReady.String(),
	policy.Draining: protocol.EndpointDraining.String(), policy.Removed: protocol.EndpointGone.String()}

// goneFor is how long a server that the list calls gone is kept where only draining binds.
const goneFor = int64(time.Minute)

// what a retrieval is told.
type what int

const (
	send what = iota
	callOff
	dismiss
	giveUp
	begins     // a large value
	clientGone // found by an attempt that was to be sent
	ended
)

// news is one thing that a retrieval is told: a decision of the module, or the end of a trip.
type news struct {
	what         what
	trip, server int
	name         string // of the server
	address      string // of the server when the trip was decided on
	at, until    int64
	took         int64 // until a large value began
	end          transport.End
	note         int
	load         []float64 // the host's report, nil if none came
	answer       []byte
	begun        *begun
}

// slot is a retrieval's place in the tables while it lives.
type slot struct {
	told  chan news
	at    []int // the servers of its trips
	final bool  // it has its final answer, or its client has gone
	left  int64 // when its client went, if it did
	ends  int64 // a trip that has no answer by then is over: what the client gets then has to reach it before the hard stop
}

// server is what the list says of one, and how many trips are held that went there.
type server struct {
	name, address    string
	health           policy.Health
	started          int64 // as the list states it, wall clock
	startedAt        int64 // the same by the module's clock
	kind, zone, cell int
	weight           float64
	listed           bool // by the list that is being told
	trips            int
	goneAt           int64 // when the list called it gone
	spent            bool  // it drained, or its address is another's: it is not used again until it is ready
}

// Balancer is one real balancer.
type Balancer struct {
	log      zerolog.Logger
	settings map[string]any
	began    time.Time
	pool     *transport.Pool
	follow   chan struct{}                                                        // the module wants the list followed
	timeouts watchTimeouts                                                        // of watches on the list
	wall     func() time.Time                                                     // the wall clock, which may be stepped
	dial     func(ctx context.Context, network, address string) (net.Conn, error) // to discovery
	mostHeld int
	mostHeap int64
	drift    int64        // so much longer than told a client may wait
	taking   atomic.Bool  // clients
	ends     atomic.Int64 // by the module's clock: all has its answer by then; 0: not yet known
	bans     bans
	warnings warnings // of requests

	mu          sync.Mutex // around all that follows, and the module
	module      *policy.Balancer
	discovery   string       // where the list is
	index       uint64       // of the list last told
	lists       int          // told so far
	watches     []*listWatch // on the list that are open, oldest first; maxWatches at most
	failing     bool         // the list can't be followed
	listHeardAt time.Time    // when a watch last brought something whole, or broke off; zero after a move
	servers     []server
	places      tables.Indices // of servers
	byName      map[string]int
	once        map[string]bool // names ever listed
	names       []string        // the same, in a ring
	oldest      int             // in it
	banned      map[string]bool // names of servers that are out, for whatever reason
	byHand      map[string]bool // of these, by hand
	byFleet     map[string]bool // by what the fleet agreed on
	byNews      map[string]bool // by others' later lists
	decides     func()          // called before each decision; nil: nobody asks
	fellows     OutlierExchange // nil: it decides alone
	expected    []int64         // by workload
	reads       int             // settled, and of these not from a cache
	misses      int
	mostOpen    int             // retrievals held at most, by what the fleet agreed on
	listOf      string          // the discovery whose lists count; "": each one's own
	listFrom    uint64          // and from which index on
	drains      drainLog        // of the list
	open        map[string]bool // ids of retrievals that have no final answer yet
	slots       []slot
	held        tables.Indices // of retrievals
	heap        int64          // bytes of the retrievals held
	workloads   map[string]int
	keepsGone   bool         // only draining binds: one that the list calls gone is kept for a while
	oneShot     map[int]bool // workloads that must not run twice
	tenants     map[string]int
	kinds       map[string]int
	zones       map[string]int
	kindNames   []string // the same by their place
	zoneNames   []string
	fields      map[string]int // of load reports
	counts      map[count]int  // since the start
	summed      map[count]int  // those that the last summary knew
}

// New makes a balancer that knows a list from before, in discovery's form. It keeps at most so many bytes of
// retrievals at once, and what is out by hand in a file, if one is named. before is what a process before it has left, if any.
func New(settings map[string]any, known []byte, discovery string, seed uint64, pool *transport.Pool, mostHeap int64, bansIn string,
	before *snapshot.Snapshot, log zerolog.Logger) (*Balancer, error) {
	b := &Balancer{log: log, discovery: discovery, settings: settings, began: time.Now(), pool: pool, follow: make(chan struct{}, 1),
		timeouts: protocolTimeouts, dial: dialDiscovery, wall: time.Now, listHeardAt: time.Now(),
		mostHeld: max(1, int(number(settings, "allowed.mostHeld"))), mostHeap: mostHeap, byName: map[string]int{},
		open: map[string]bool{}, once: map[string]bool{}, oneShot: map[int]bool{},
		workloads: tables.Places(settings, "workloads", ".name"), tenants: tables.Places(settings, "tenants", ".name"),
		kinds: tables.Places(settings, "hostTypes", ""), zones: tables.Places(settings, "zones", ""),
		fields: tables.Places(settings, "report.fields", ""), counts: map[count]int{}}
	b.kindNames, b.zoneNames = byPlace(b.kinds), byPlace(b.zones)
	for _, w := range b.workloads {
		b.oneShot[w] = settings["workloads."+strconv.Itoa(w)+".effect"] == "single_shot"
	}
	for w := range len(b.workloads) {
		b.expected = append(b.expected, int64(number(settings, "workloads."+strconv.Itoa(w)+".expectedTime")*1e6))
	}
	b.drift = int64(number(settings, "invariants.deadlineDrift") * 1e6)
	b.keepsGone, _ = settings["invariants.onlyDrainingBinds"].(bool)
	b.module = policy.New(b.now(), seed, settings, b)
	if settings["registryMode"] != "subscribe" {
		b.WatchEndpoints() // Where changes are to come unasked: here they come by a watch all the same.
	}
	b.bans.file = bansIn
	b.lookAtBans()
	if err := b.tell(context.Background(), known, true); err != nil || before == nil {
		return b, err
	}
	if servers, err := b.recall(before, known); err != nil {
		log.Warn().Err(err).Msg("not recalled") // The start is as without it.
	} else {
		log.Info().Int("servers", servers).Int("keys", len(before.BalancerState.Keys)).Int64("ago_ms", before.Age.Milliseconds()).Msg("recalled")
	}
	return b, nil
}

func number(settings map[string]any, name string) float64 { x, _ := settings[name].(float64); return x }

// now is the module's clock: Unix time at the start and what has passed since by the monotonic clock.
func (b *Balancer) now() int64 { return b.began.UnixNano() + int64(time.Since(b.began)) }

// fromWall turns a stated wall time into the module's clock, which does not follow steps of the wall clock. Where that was stepped back
// since this process began, a stamp may be from before the step or after it; the later reading counts: a server that is taken to have
// started too late only gets less for a while. No start is later than now.
func (b *Balancer) fromWall(stated int64) int64 {
	if stated <= 0 {
		return stated
	}
	now := b.now()
	return min(now, stated+max(0, now-b.wall().UnixNano()))
}

// at turns the module's clock into a time to wait for.
func (b *Balancer) at(clock int64) time.Time {
	return b.began.Add(time.Duration(clock - b.began.UnixNano()))
}

// take finds a small index for a retrieval. Its channel holds all that it can ever be told, so that telling
// never blocks.
func (b *Balancer) take() (int, chan news) {
	told := make(chan news, 4*max(1, int(number(b.settings, "allowed.mostTrips")))+2)
	i := b.held.Take()
	if i == len(b.slots) {
		b.slots = append(b.slots, slot{})
	}
	b.slots[i] = slot{told: told}
	return i, told
}

// Send and the methods after it are the module's Host; they are called under the lock.
func (b *Balancer) Send(i, s int, until int64) {
	r := &b.slots[i]
	until = min(until, r.ends)
	r.told <- news{what: send, trip: len(r.at), server: s, name: b.servers[s].name, address: b.servers[s].address, at: b.now(), until: until}
	r.at = append(r.at, s)
	b.servers[s].trips++
	b.counts[count{"trips", none}]++
	if b.fellows != nil {
		if part, heeded := b.fellows.HandleAttemptStarted(b.servers[s].name); heeded {
			b.module.UpdatePeerVerdict(s, part)
		}
	}
}

// Reject is final.
func (b *Balancer) Reject(i int, why policy.Reason, comeBack int64) {
	b.slots[i].final = true
	b.counts[count{rejectedFor[why], none}]++
	b.slots[i].told <- news{what: dismiss, until: comeBack}
}

// Fail is final.
func (b *Balancer) Fail(i int, why policy.Reason) {
	b.slots[i].final = true
	b.counts[count{failedFor[why], none}]++
	b.slots[i].told <- news{what: giveUp}
}

// Cancel stops waiting for a trip.
func (b *Balancer) Cancel(i, trip int) { b.slots[i].told <- news{what: callOff, trip: trip} }

// Wake sets a timer.
func (b *Balancer) SetTimer(tag int, after int64) {
	time.AfterFunc(time.Duration(after), func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.module.HandleTimer(b.now(), tag)
	})
}

// Subscribe asks for the list to be followed.
func (b *Balancer) WatchEndpoints() {
	select {
	case b.follow <- struct{}{}:
	default: // It is asked for already.
	}
}

// tell hands a list to the module, unless its watch has been let go; saved: it is from before the start.
func (b *Balancer) tell(watching context.Context, line []byte, saved bool) error {
	var changes listChanges
	defer func() { changes.log(b.log) }() // Not under the lock: whoever reads the log may be slow.
	// A list is read before the lock is taken: of thousands of servers that takes as long as many retrievals do.
	list, err := protocol.ParseEndpointList(line)
	if err != nil {
		return err
	}
	rows, index, whole := list.Endpoints, list.Index, list.IsSnapshot
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := watching.Err(); err != nil {
		return err
	}
	now, all := b.now(), saved || whole
	if !saved && (index < b.listFrom || b.listOf != "" && b.listOf != b.discovery) {
		// The fleet reads another list, or a later one: of this one only drains count.
		rows, all, whole = slices.DeleteFunc(rows, func(r protocol.Endpoint) bool { return healths[r.Status] == policy.Ready }), false, false
	}
	is := func(s int, from string, health policy.Health) {
		h := &b.servers[s]
		if to := names[health]; to != from && !saved {
			changes.add(h.name, health)
			if health != policy.Ready && from == names[policy.Ready] {
				b.drains.add(h.name, b.index)
			}
		}
		h.health, h.goneAt = health, now
		h.spent = health == policy.Draining || health == policy.Removed && h.spent
		b.row(now, s)
	}
	b.index, changes.index = index, index
	b.lists++
	switch {
	case saved:
		b.module.BeginEndpointUpdate(policy.SavedList)
	case whole:
		b.module.BeginEndpointUpdate(policy.FullList)
	default:
		b.module.BeginEndpointUpdate(policy.IncrementalList)
	}
	for s := range b.servers {
		b.servers[s].listed = false
	}
	for _, r := range rows {
		b.listedOnce(r.Name)
		s, known := b.byName[r.Name]
		if !known && healths[r.Status] == policy.Removed {
			continue
		}
		from := ""
		if known {
			from = names[b.servers[s].health]
			if old := b.servers[s].address; old != r.Address {
				b.pool.Drop(transport.Peer{Server: s, Address: old})
			}
		} else if s = b.places.Take(); s == len(b.servers) {
			b.servers = append(b.servers, server{})
		}
		k, stated := b.kinds[r.Kind]
		if !stated {
			k = len(b.kinds) // Guards against a kind that the settings do not name: all such are one more.
		}
		z, stated := b.zones[r.Zone]
		if !stated {
			z = -1
		}
		startedAt := b.servers[s].startedAt
		if !known || b.servers[s].started != r.StartedAtNanos {
			startedAt = b.fromWall(r.StartedAtNanos)
		}
		b.byName[r.Name] = s
		b.servers[s] = server{startedAt: startedAt, name: r.Name, address: r.Address, health: healths[r.Status], started: r.StartedAtNanos, kind: k, zone: z, cell: r.Group,
			weight: r.Weight, listed: true, trips: b.servers[s].trips, spent: b.servers[s].spent}
		is(s, from, healths[r.Status])
	}
	holders := map[string]int{}
	for s := range b.servers {
		h := &b.servers[s]
		if h.name == "" || h.health == policy.Removed {
			continue
		}
		if all && !h.listed {
			is(s, names[h.health], policy.Removed)
			continue
		}
		// Guards a new server against trips that are meant for the one that had its address: the list is late, and
		// that one is gone. Who started last has it.
		if other, shared := holders[h.address]; !shared {
			holders[h.address] = s
		} else if b.servers[other].startedAt < h.startedAt {
			b.servers[other].spent = true
			is(other, names[b.servers[other].health], policy.Removed)
			holders[h.address] = s
		} else if b.servers[other].startedAt > h.startedAt {
			h.spent = true
			is(s, names[h.health], policy.Removed)
		}
	}
	b.module.CommitEndpointUpdate(now)
	kept := 0
	for s := range b.servers {
		kept += b.forgets(now, s, kept)
	}
	return nil
}

// forgets gives a server's place back if it is gone for good, or else tells 1 where it is kept though it is gone.
func (b *Balancer) forgets(now int64, s, kept int) int {
	h := &b.servers[s]
	switch {
	case h.name == "" || h.health != policy.Removed:
	case b.keepsGone && !h.spent && now < h.goneAt+goneFor && kept < maxServers:
		return 1
	case h.trips == 0:
		b.forget(s)
	}
	return 0
}

// forget frees the place of a server that is gone and where no trip is held. Guards memory on long days, on which
// servers are ever new.
func (b *Balancer) forget(s int) {
	h := &b.servers[s]
	b.pool.Drop(transport.Peer{Server: s, Address: h.address})
	delete(b.byName, h.name)
	b.servers[s] = server{health: policy.Removed}
	b.module.RemoveEndpoint(s)
	b.places.Give(s)
}
