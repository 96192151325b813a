// Package fleet drives a process's part in a fleet of balancers. It gives the pure packages (lease and replica,
// outlier detection, zone evacuation, connection subsets) their clock, sockets and disk, and tells the balancer what
// follows from them; it decides nothing itself.
//
// One goroutine, Run, handles all messages and timers. Other goroutines only put messages into the inbox (the
// exchange), look at the lease (CheckLease, by the balancer), report attempts (OutlierExchange, by the balancer),
// propose changes and read the status (the admin endpoint).
//
// Lock order: the balancer's lock, then Fleet.mu, then OutlierExchange.mu. The balancer is therefore never called
// with either of the latter held.
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
	"hollylever/store"
	"hollylever/subset"
)

// Balancer is what the fleet needs of the balancer: what the process acts on goes in, and what it knows comes out.
// Each method takes the balancer's own lock, so that none is called with a lock of this package held.
type Balancer interface {
	// ApplyConfig takes the effective configuration, each time that its revisions change.
	ApplyConfig(consensus.EffectiveConfig)
	// ApplyPeerDrains takes the endpoints that peers' later lists call draining or gone.
	ApplyPeerDrains(names []string)
	// EndpointList returns the index of the endpoint list in use, a digest of it, and the endpoints that it drained
	// last.
	EndpointList() (index, digest uint64, drains []membership.DrainedEndpoint)
	// Endpoints returns the endpoints of that list.
	Endpoints() []subset.Endpoint
	// SetConnectionSubset sets to which endpoints idle connections are kept: the named ones, or all.
	SetConnectionSubset(names map[string]bool, all bool)
	// ApplyPeerVerdicts takes, for each endpoint that is ejected or was lately, what peers' reports take from its
	// chance of success, from 0 to 1; under 0: this process has the probe lease of the endpoint, and sends it one
	// attempt.
	ApplyPeerVerdicts(penalties map[string]float64)
	// SetBudgetShare sets this process's share of the fleet's budgets; 0: they are not divided.
	SetBudgetShare(share float64)
	// RequestCount returns how many requests have come since the start.
	RequestCount() int
	// SetEvacuation sets, for each zone, the share of the keys that is not sent there, and how long its caches may
	// take to fill when they come back.
	SetEvacuation(shares map[string]float64, fillTime time.Duration)
	// SlowStartDuration returns how long a cold endpoint takes until it is warm.
	SlowStartDuration() time.Duration
	// ReadCounts returns how many reads have settled since the start, and how many of these missed the cache.
	ReadCounts() (reads, misses int)
	// SetWidespreadMisses tells whether reads miss at many processes of the fleet at once.
	SetWidespreadMisses(widespread bool)
}

// Fleet is one process's part in the fleet. It is safe for use by several goroutines; the comments below say who may
// touch what.
type Fleet struct {
	// Set by Start, constant after it.
	name, zone     string
	settingsDigest string
	incarnation    uint64
	leaseTiming    consensus.LeaseTiming
	voters         []string // names of the processes that may have a replica
	balancer       Balancer
	log            zerolog.Logger
	trace          *os.File     // nil: decisions are not traced
	handover       handoverFile // for the next process of this name
	openExchange   func() (membership.Exchange, error)
	openReplica    func() error

	// Safe for any goroutine without mu.
	inbox    inbox
	lease    leaseView
	outliers *OutlierExchange // nil: outliers are not shared

	// Used by the goroutine of Run alone, but for what their own comments say.
	peerLists   peerLists
	connections connectionSubset
	evacuation  evacuationState
	applied     appliedState
	load        loadMeter
	startRetry  *time.Ticker // of the exchange and the replica, while either could not be started

	mu              sync.Mutex          // guards what follows; nothing blocks under it but a replica's writes to its log
	exchange        membership.Exchange // nil: not joined yet; set once, by Start or Run
	holder          *consensus.LeaseHolder
	replica         replica
	effective       consensus.EffectiveConfig // as of the last tick
	proposals       map[string]chan reply     // for the answers to this process's own proposals, by id
	stateSeq        uint64                    // of the last MemberState that was published
	hasZoneProposal bool                      // this process's own proposal of a zone waits for its answer
	peerDrains      []string                  // endpoints that peers' later lists call draining or gone
	zoneStatuses    []ZoneStatus              // as of the last look at zones
	subset          []string                  // endpoints of the connection subset; nil: all
}

// startRetryInterval is how often opening the exchange and the replica is retried while the previous process, during
// an upgrade, still has the address or the log. It is short against the second or so that the new process serves
// without a lease.
const startRetryInterval = 50 * time.Millisecond

// clockRate is 1 but where a test has clocks that are off.
var clockRate = 1.0

// SetClockRate makes the clock of this process run at so many times the true rate. Tests call it before Start;
// nothing else may.
func SetClockRate(rate float64) { clockRate = rate }

// Now is the clock that leases run on, in nanoseconds since the machine's start. It goes on while the process or the
// machine is suspended, so that a lease cannot outlast its time by that.
func Now() int64 {
	now := monotime.Now()
	if clockRate != 1 {
		return int64(float64(now) * clockRate)
	}
	return now
}

// Start joins the fleet as the own settings say, for the balancer of this name, and resumes from the previous
// process's handover file. settingsDigest is of the operators' settings file. The caller then calls Run, once. Errors
// name the setting at fault.
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
	// The source is not safe for use by several goroutines: the lease holder and the replica draw from it under mu
	// alone.
	f.holder = consensus.NewLeaseHolder(Now(), name, f.incarnation, f.leaseTiming, f.voters, f, source.IntN)
	f.restoreHandover()
	f.openExchange = func() (membership.Exchange, error) { return openExchange(own, name, peers, f) }
	f.openReplica = func() error { return f.startReplica(own.Text("fleet.state"), source.IntN) }
	if err := f.startOrDefer(); err != nil {
		return nil, err
	}
	log.Info().Str("listen", own.Text("fleet.listen")).Bool("replica", f.replica.state != nil).
		Dur("max_disagreement_ms", f.leaseTiming.MaxDisagreement()).Msg("fleet joined")
	return f, nil
}

// randomSeed draws the low bits of the incarnation and the seed of the source of random choices.
func randomSeed() (seed [16]byte) {
	_, _ = crand.Read(seed[:]) // It does not fail; crypto/rand ends the program instead.
	return seed
}

// startOrDefer opens the exchange and the replica as the process starts. During an upgrade the previous process may
// still have the address and the log: the two are one member, so this one serves without a lease, on the handed-over
// configuration, until Run can open both.
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

// retryStart tries the exchange and the replica again, until both run.
func (f *Fleet) retryStart() {
	if f.join() == nil && f.openReplica() == nil {
		f.startRetry.Stop()
		f.logReplicaRestarted()
	}
}
