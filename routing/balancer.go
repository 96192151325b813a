package routing

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"hollylever/policy"
	"hollylever/protocol"
	"hollylever/siblings"
	"hollylever/transport"
)

// Balancer routes the requests of one process. Its methods are safe for concurrent use unless documented otherwise.
type Balancer struct {
	// Immutable after New.
	log            zerolog.Logger
	settings       map[string]any
	startedAt      time.Time // start of the policy's clock
	pool           *transport.Pool
	memory         *transport.MemoryAccount // the pool's, shared with the listener; nil: unlimited
	catalog        catalog
	deadlineDrift  int64         // how long after its timeout a client may still be waiting, in ns
	expired        chan struct{} // closed at the shutdown deadline
	watchRequested chan struct{} // signals that the policy requests a watch on the endpoint list
	saveRequested  chan struct{} // signals that the endpoint list is to be saved
	watchTimeouts  watchTimeouts
	wallClock      func() time.Time // may be stepped while the process runs
	dialDiscovery  func(ctx context.Context, network, address string) (net.Conn, error)

	// Synchronized independently of mu.
	isReady      atomic.Bool
	answerBy     atomic.Int64 // shutdown deadline for all final answers, by the policy's clock; 0: no shutdown
	ejectionFile ejectionFile
	warnings     warnings

	mu              sync.Mutex // guards the fields below and the policy's state
	policy          *policy.Balancer
	requests        requestTable
	results         resultStore
	endpoints       endpointTable
	ejections       ejections
	list            listState
	drains          drainLog
	retired         drainLog // endpoints that a list drained, or whose address it gave to another, and that are not ready since
	counters        counters
	leaseCheck      func()          // called before each decision; nil without a fleet
	outlierExchange OutlierExchange // nil without a fleet
}

// New returns a balancer that starts with the endpoint list in known, encoded as discovery sends it. It holds at most
// maxBytes of requests at once, and persists manual ejections at ejectionPath unless that is empty. previous is what
// other processes have left; of what cannot be restored the balancer starts without. New fails if known cannot be
// parsed.
func New(settings map[string]any, known []byte, discovery string, seed uint64, pool *transport.Pool, maxBytes int64, ejectionPath string,
	previous Previous, log zerolog.Logger) (*Balancer, error) {
	b := &Balancer{
		log:            log,
		settings:       settings,
		startedAt:      time.Now(),
		pool:           pool,
		memory:         pool.Memory,
		catalog:        newCatalog(settings),
		deadlineDrift:  int64(settingNumber(settings, "invariants.deadlineDrift") * 1e6),
		expired:        make(chan struct{}),
		watchRequested: make(chan struct{}, 1),
		saveRequested:  make(chan struct{}, 1),
		watchTimeouts:  protocolTimeouts,
		wallClock:      time.Now,
		dialDiscovery:  dialDiscovery,
		ejectionFile:   ejectionFile{path: ejectionPath},
		requests:       newRequestTable(settings, maxBytes),
		results:        resultStore{byDigest: map[siblings.RequestDigest]*requestResult{}, memory: pool.Memory},
		endpoints:      newEndpointTable(),
		list:           listState{discovery: discovery, lastDeliveryAt: time.Now()},
		counters:       counters{sinceStart: map[counterKey]int{}},
	}
	b.policy = policy.New(b.now(), seed, settings, b)
	if settings["registryMode"] != "subscribe" {
		b.WatchEndpoints() // The settings ask for polling; a watch delivers the changes too.
	}
	b.reloadEjections()
	configured, err := protocol.ParseEndpointList(known)
	if err != nil {
		return b, err
	}
	b.applyListAtStart(configured, listFromConfiguration)
	b.restore(previous, configured)
	return b, nil
}

// restore restores what other processes have left. What cannot be restored is logged.
func (b *Balancer) restore(previous Previous, configured protocol.EndpointList) {
	b.restoreList(previous.Lists, configured)
	if previous.Snapshot == nil {
		return
	}
	endpoints, err := b.restoreSnapshot(previous.Snapshot)
	if err != nil {
		b.log.Warn().Err(err).Msg("snapshot not restored")
		return
	}
	b.log.Info().Int("endpoints", endpoints).Int("keys", len(previous.Snapshot.BalancerState.Keys)).Int64("age_ms", previous.Snapshot.Age.Milliseconds()).
		Msg("snapshot restored")
}

// now returns the time by the policy's clock: the Unix time at which the balancer started plus the monotonic time
// elapsed since.
func (b *Balancer) now() int64 { return b.startedAt.UnixNano() + int64(time.Since(b.startedAt)) }

// clockAt converts a time.Time to the time by the policy's clock.
func (b *Balancer) clockAt(t time.Time) int64 {
	return b.startedAt.UnixNano() + int64(t.Sub(b.startedAt))
}

// timeAt converts a time of the policy's clock to a time.Time.
func (b *Balancer) timeAt(clock int64) time.Time {
	return b.startedAt.Add(time.Duration(clock - b.startedAt.UnixNano()))
}

// fromWallClock converts a wall-clock timestamp of the endpoint list to the policy's clock, which ignores steps of the
// wall clock. If the wall clock was stepped back since this process started, the timestamp may be from before or after
// the step; the later interpretation is used, as an endpoint whose start is assumed too late only gets less traffic
// for a while. The result is never later than now.
func (b *Balancer) fromWallClock(timestamp int64) int64 {
	if timestamp <= 0 {
		return timestamp
	}
	now := b.now()
	return min(now, timestamp+max(0, now-b.wallClock().UnixNano()))
}

// SetReady sets whether this process accepts clients, for Ready.
func (b *Balancer) SetReady(isReady bool) { b.isReady.Store(isReady) }

// Ready reports whether this process accepts clients and any list so far had an endpoint.
func (b *Balancer) Ready() bool { return b.isReady.Load() && b.hasListedEndpoints() }

// ExpireAt sets the shutdown deadline, by which every request gets its final answer. A request that arrives too late
// to meet its latency objective before the deadline is rejected at once; an admitted request whose own deadline is
// later fails at the shutdown deadline.
func (b *Balancer) ExpireAt(at time.Time) {
	b.answerBy.Store(b.clockAt(at))
	time.AfterFunc(time.Until(at), b.expireOpenRequests)
}

// expireOpenRequests expires each request that has no final answer yet.
func (b *Balancer) expireOpenRequests() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.expired)
	for i := range b.requests.slots {
		if slot := &b.requests.slots[i]; slot.events != nil && !slot.isFinal {
			b.counters.increment(counterExpired)
			b.policy.ExpireRequest(b.now(), i)
		}
	}
}

// ShareResults shares the results of requests with effects with other processes of this balancer. It must be called before
// the first request.
func (b *Balancer) ShareResults(shared *siblings.Results) { b.results.shared = shared }

// SetLimits sets how many bytes of requests may be held, and this process's share of the attempts while several
// processes act as one balancer.
func (b *Balancer) SetLimits(maxBytes int64, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests.maxBytes = maxBytes
	b.policy.SetProcessShare(share)
}

// Lock returns the lock that guards the policy, for a watchdog that measures how long acquiring it takes.
func (b *Balancer) Lock() sync.Locker { return &b.mu }
