package routing

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"hollylever/policy"
	"hollylever/snapshot"
	"hollylever/transport"
)

// Balancer routes requests of one process. Its methods may be called from any goroutine unless they say otherwise.
type Balancer struct {
	// Set by New and not changed afterwards.
	log            zerolog.Logger
	settings       map[string]any
	startedAt      time.Time // where the policy's clock starts
	pool           *transport.Pool
	catalog        catalog
	deadlineDrift  int64         // how much longer than its timeout a client may be kept waiting, in ns
	watchRequested chan struct{} // the policy wants the endpoint list to be watched
	watchTimeouts  watchTimeouts
	wallClock      func() time.Time // may be stepped while the process runs
	dialDiscovery  func(ctx context.Context, network, address string) (net.Conn, error)

	// Each with its own synchronization.
	isServing    atomic.Bool
	answerBy     atomic.Int64 // by the policy's clock: shutdown has all requests answered by then; 0: no shutdown
	ejectionFile ejectionFile
	warnings     warnings

	mu              sync.Mutex // guards all that follows, and the policy
	policy          *policy.Balancer
	requests        requestTable
	endpoints       endpointTable
	ejections       ejections
	list            listState
	drains          drainLog
	counters        counters
	leaseCheck      func()          // called before each decision; nil outside of a fleet
	outlierExchange OutlierExchange // nil outside of a fleet
}

// New makes a balancer that knows an endpoint list from before, in discovery's form. It holds at most maxBytes of
// requests at once, and keeps manual ejections in a file, if one is named. before is what a process before it has
// saved, if any; where that cannot be restored the balancer starts without it. New fails where the known list cannot
// be read.
func New(settings map[string]any, known []byte, discovery string, seed uint64, pool *transport.Pool, maxBytes int64, ejectionPath string,
	before *snapshot.Snapshot, log zerolog.Logger) (*Balancer, error) {
	b := &Balancer{
		log:            log,
		settings:       settings,
		startedAt:      time.Now(),
		pool:           pool,
		catalog:        newCatalog(settings),
		deadlineDrift:  int64(settingNumber(settings, "invariants.deadlineDrift") * 1e6),
		watchRequested: make(chan struct{}, 1),
		watchTimeouts:  protocolTimeouts,
		wallClock:      time.Now,
		dialDiscovery:  dialDiscovery,
		ejectionFile:   ejectionFile{path: ejectionPath},
		requests:       newRequestTable(settings, maxBytes),
		endpoints:      newEndpointTable(),
		list:           listState{discovery: discovery, heardAt: time.Now()},
		counters:       counters{sinceStart: map[counterKey]int{}},
	}
	b.policy = policy.New(b.now(), seed, settings, b)
	if settings["registryMode"] != "subscribe" {
		b.WatchEndpoints() // The settings ask for changes to be polled; a watch brings them as well.
	}
	b.reloadEjections()
	if err := b.applyList(context.Background(), known, true); err != nil || before == nil {
		return b, err
	}
	if endpoints, err := b.restoreSnapshot(before, known); err != nil {
		log.Warn().Err(err).Msg("snapshot not restored") // The start is as without it.
	} else {
		log.Info().Int("endpoints", endpoints).Int("keys", len(before.BalancerState.Keys)).Int64("age_ms", before.Age.Milliseconds()).Msg("snapshot restored")
	}
	return b, nil
}

// now is the policy's clock: Unix time at the start, and what has passed since by the monotonic clock.
func (b *Balancer) now() int64 { return b.startedAt.UnixNano() + int64(time.Since(b.startedAt)) }

// timeAt turns a time of the policy's clock into one to wait for.
func (b *Balancer) timeAt(clock int64) time.Time {
	return b.startedAt.Add(time.Duration(clock - b.startedAt.UnixNano()))
}

// fromWallClock turns a wall time, as the endpoint list states it, into the policy's clock, which does not follow
// steps of the wall clock. Where that was stepped back since this process began, a stamp may be from before the step
// or after it; the later reading counts: an endpoint that is taken to have started too late only gets less traffic
// for a while. The result is never later than now.
func (b *Balancer) fromWallClock(stated int64) int64 {
	if stated <= 0 {
		return stated
	}
	now := b.now()
	return min(now, stated+max(0, now-b.wallClock().UnixNano()))
}

// SetReady sets whether this process takes clients, as Ready reports it.
func (b *Balancer) SetReady(isReady bool) { b.isServing.Store(isReady) }

// Ready reports whether this process takes clients and has known an endpoint.
func (b *Balancer) Ready() bool { return b.isServing.Load() && b.hasListedEndpoints() }

// ExpireAt sets by when each request has its final answer, as the process shuts down then. A request that arrives too
// late for its latency objective before that is rejected at once; one that was admitted before and has a later
// deadline fails at that time.
func (b *Balancer) ExpireAt(at time.Time) {
	b.answerBy.Store(b.startedAt.UnixNano() + int64(at.Sub(b.startedAt)))
	time.AfterFunc(time.Until(at), b.expireAll)
}

// expireAll gives each request that has none its final answer.
func (b *Balancer) expireAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.requests.slots {
		if slot := &b.requests.slots[i]; slot.events != nil && !slot.isFinal {
			b.counters.increment(counterExpired)
			b.policy.ExpireRequest(b.now(), i)
		}
	}
}

// SetLimits sets how many bytes of requests may be held from now on, and this process's share of the attempts where
// several processes serve as one balancer.
func (b *Balancer) SetLimits(maxBytes int64, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests.maxBytes = maxBytes
	b.policy.SetProcessShare(share)
}

// Lock returns the lock around the policy, for a watchdog that measures how long it takes to get it.
func (b *Balancer) Lock() sync.Locker { return &b.mu }
