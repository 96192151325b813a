// Package fleet runs one process's membership in a fleet of balancers. It connects the packages that hold the logic
// (leases and replicas, outlier detection, zone evacuation, connection subsets) to the clock, the network and the
// disk, and applies their results to the balancer. It makes no decisions of its own.
//
// A single goroutine, Run, handles all messages and timers. Other goroutines only enqueue messages (the exchange),
// check the lease (the balancer, through CheckLease), report attempts (the balancer, through OutlierExchange), and
// propose changes or read the status (the admin endpoint).
//
// Lock order: the balancer's lock, then Fleet.mu, then OutlierExchange.mu. The balancer must therefore never be
// called with Fleet.mu or OutlierExchange.mu held.
package fleet

import (
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"hollylever/config"
	"hollylever/consensus"
	"hollylever/fleetconfig"
	"hollylever/membership"
	"hollylever/monotime"
	"hollylever/outlier"
	"hollylever/rendezvous"
	"hollylever/store"
	"hollylever/subset"
)

// Balancer is the interface between the fleet and the balancer: the fleet applies the configuration through it and
// reads the balancer's state from it. Each method acquires the balancer's lock, so none may be called while a lock of
// this package is held.
type Balancer interface {
	// ApplyConfig applies the effective configuration. It is called each time the revisions change.
	ApplyConfig(consensus.EffectiveConfig)
	// ApplyPeerDrains applies the endpoints that are draining or gone in peers' later endpoint lists.
	ApplyPeerDrains(names []string)
	// EndpointList returns the index and the digest of the endpoint list in use, and the endpoints that it drained
	// most recently.
	EndpointList() (index, digest uint64, drains []membership.DrainedEndpoint)
	// Endpoints returns the endpoints of the endpoint list in use.
	Endpoints() []subset.Endpoint
	// SetConnectionSubset sets the endpoints to which idle connections are kept: those in names, or every endpoint if
	// all is true.
	SetConnectionSubset(names map[string]bool, all bool)
	// ApplyPeerVerdicts sets, for each endpoint that is ejected or was recently, by how much peers' reports reduce its
	// success probability, 0 to 1. A negative value means that this process holds the probe lease of the endpoint and
	// sends it one attempt.
	ApplyPeerVerdicts(penalties map[string]float64)
	// SetBudgetShare sets this process's share of the fleet's budgets; 0 means that they are not divided.
	SetBudgetShare(share float64)
	// RequestCount returns the number of requests received since the start.
	RequestCount() int
	// SetEvacuation sets, for each zone, the share of the keys that is routed elsewhere, and how long the zone's
	// caches may take to fill when keys return to it.
	SetEvacuation(shares map[string]float64, fillTime time.Duration)
	// SlowStartDuration returns how long an endpoint with a cold cache takes to warm up.
	SlowStartDuration() time.Duration
	// ReadCounts returns the number of reads completed since the start, and how many of them missed the cache.
	ReadCounts() (reads, misses int)
	// SetWidespreadMisses sets whether reads currently miss at many processes of the fleet.
	SetWidespreadMisses(widespread bool)
}

// Fleet is one process's membership in the fleet. It is safe for concurrent use; the comments on the fields state
// which goroutines may access them.
type Fleet struct {
	// Set by Start and immutable afterwards.
	name, zone     string
	settingsDigest string
	incarnation    uint64
	leaseTiming    consensus.LeaseTiming
	voters         []string // names of the processes that may run a replica
	balancer       Balancer
	log            zerolog.Logger
	trace          *os.File     // nil if decisions are not traced
	handover       handoverFile // read by the next process of this name
	openExchange   func() (membership.Exchange, error)
	openReplica    func() error

	// Safe for concurrent use without mu.
	inbox    inbox
	lease    leaseView
	outliers *OutlierExchange // nil if the outlier exchange is disabled

	// Used only by Run's goroutine, except as noted on the types.
	peerLists   peerLists
	connections connectionSubset
	evacuation  evacuationState
	applied     appliedState
	load        loadMeter
	startRetry  *time.Ticker // retries the exchange and the replica until both run

	mu              sync.Mutex          // guards the fields below; held for no blocking call but a replica's log writes
	exchange        membership.Exchange // nil until the fleet is joined; set once, by Start or Run
	holder          *consensus.LeaseHolder
	replica         replica
	effective       consensus.EffectiveConfig // as of the last tick
	proposals       map[string]chan reply     // reply channels of this process's pending proposals, by ID
	stateSeq        uint64                    // sequence number of the last published MemberState
	hasZoneProposal bool                      // a zone proposal of this process is pending
	peerDrains      []string                  // endpoints that are draining or gone in peers' later lists
	zoneStatuses    []ZoneStatus              // as of the last update of the evacuation
	subset          []string                  // endpoints of the connection subset; nil means all
}

// startRetryInterval is how often opening the exchange and the replica is retried during an upgrade, while the
// previous process still holds the address or the log. It is short compared with the second or so for which the new
// process serves without a lease.
const startRetryInterval = 50 * time.Millisecond

// clockRate is 1 except in tests that simulate clock rate errors.
var clockRate = 1.0

// SetClockRate makes the clock of this process run at a multiple of the true rate. It must be called before Start,
// and only by tests.
func SetClockRate(rate float64) { clockRate = rate }

// Now returns the lease clock in nanoseconds since boot. The clock advances while the process or the machine is
// suspended, so a lease cannot outlive its duration across a suspension.
func Now() int64 {
	now := monotime.Now()
	if clockRate != 1 {
		return int64(float64(now) * clockRate)
	}
	return now
}

// Start joins the fleet under the given name, as configured by the process's own settings, and resumes from the
// handover file of the previous process. settingsDigest is the digest of the operators' settings file. The caller
// must then call Run once. Errors name the invalid setting.
func Start(
	own config.Values, name, zone, settingsDigest string, balancer Balancer, log zerolog.Logger,
) (*Fleet, error) {
	if err := fleetconfig.Validate(own, name); err != nil {
		return nil, err
	}
	peers, err := fleetconfig.ParsePeers(own.Text("fleet.peers"))
	if err != nil {
		return nil, fmt.Errorf("fleet.peers: %w", err)
	}
	folder := os.Getenv("TMPDIR")
	seed := randomSeed()
	incarnation := nextIncarnation(folder, time.Now(), binary.LittleEndian.Uint32(seed[:4]))
	trace, err := openTrace(own.Text("fleet.trace"))
	if err != nil {
		return nil, err
	}
	queue := queueSize(len(peers), int(own.Integer("fleet.most")))
	f := &Fleet{
		name: name, zone: zone, settingsDigest: settingsDigest, incarnation: incarnation,
		leaseTiming: fleetconfig.ParseLeaseTiming(own), voters: fleetconfig.ParseNames(own.Text("fleet.keepers")),
		balancer: balancer, log: log, trace: trace, handover: newHandoverFile(folder), inbox: newInbox(queue),
		peerLists:   peerLists{maxBehind: own.Duration("fleet.behind")},
		connections: newConnectionSubset(own),
		evacuation:  newEvacuationState(own.Boolean("fleet.zones"), balancer.SlowStartDuration()),
		proposals:   map[string]chan reply{},
	}
	if own.Boolean("fleet.signals") {
		f.outliers = newOutlierExchange(name, zone, f.incarnation, own.Duration("fleet.signal_delay"), queue)
	}
	source := rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
	// The source is not safe for concurrent use: the lease holder and the replica use it only with mu held.
	f.holder = consensus.NewLeaseHolder(Now(), name, f.incarnation, f.leaseTiming, f.voters, f, source.IntN)
	f.holder.NumberRequestsFrom(firstLeaseRequest(name, f.incarnation))
	f.restoreHandover()
	f.openExchange = func() (membership.Exchange, error) { return newExchange(own, name, peers, f) }
	f.openReplica = func() error { return f.startReplica(own.Text("fleet.state"), source.IntN) }
	if err := f.startOrDefer(); err != nil {
		return nil, err
	}
	log.Info().Str("listen", own.Text("fleet.listen")).Bool("replica", f.replica.state != nil).
		Dur("max_disagreement_ms", f.leaseTiming.MaxDisagreement()).Msg("fleet joined")
	return f, nil
}

// firstLeaseRequest returns the number from which a process numbers its lease requests.
func firstLeaseRequest(name string, incarnation uint64) uint64 {
	return rendezvous.Mix(incarnation^uint64(outlier.HashName(name))*rendezvous.GoldenRatio) >> leaseRequestBits
}

// leaseRequestBits leaves each process this many bits to count its requests in.
const leaseRequestBits = 16

// randomSeed returns random bytes for the low bits of the incarnation and for seeding the random number generator.
func randomSeed() (seed [16]byte) {
	_, _ = crand.Read(seed[:]) // Never returns an error: crypto/rand aborts the program instead.
	return seed
}

// startOrDefer opens the exchange and the replica when the process starts. During an upgrade the previous process may
// still hold the address and the log. Both processes are the same member, so this one serves without a lease, on the
// configuration from the handover file, until Run can open both.
func (f *Fleet) startOrDefer() error {
	switch err := f.join(); {
	case errors.Is(err, unix.EADDRINUSE):
		f.log.Info().Msg("join deferred: another process of this name is in the fleet")
	case err != nil:
		return err
	}
	if err := f.openReplica(); err != nil && !errors.Is(err, store.ErrLocked) {
		return err
	}
	return nil
}

// retryStart retries opening the exchange and the replica, and stops the retry ticker once both run.
func (f *Fleet) retryStart() {
	if f.join() == nil && f.openReplica() == nil {
		f.startRetry.Stop()
		f.logReplicaRestarted()
	}
}
