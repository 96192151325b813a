// Package server is the life of one balancer process: start, serve, reload, drain, stop.
//
// A Server owns what a process has once: the listening socket, the pool of connections to cache hosts, the balancer
// between them (package routing), the admin endpoint, and the membership in a fleet where there is one. It decides
// nothing about requests.
//
// The start (New) goes through the steps of Server.start in order; each needs the ones before it. Run starts the
// background tasks and then handles one event at a time until SIGTERM: a sweep of idle connections, a summary in the
// log, SIGHUP (reload), SIGTERM (shutdown).
//
// cmd/hollylever runs a balancer alone; cmd/hollyfleet passes a Join, which makes it a member of a fleet. The commands
// for people are in package cli.
package server

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"hollylever/admin"
	"hollylever/config"
	"hollylever/fleetconfig"
	"hollylever/routing"
	"hollylever/siblings"
	"hollylever/snapshot"
	"hollylever/stallwatch"
	"hollylever/transport"
)

const (
	// sweepInterval is how often idle connections are looked for.
	sweepInterval = 50 * time.Millisecond
	// sweepsPerDescriptorCheck: so many sweeps apart the system's limit on descriptors is read again, as it may rise
	// again (each second).
	sweepsPerDescriptorCheck = 20
)

// Server is one balancer process. New and Run are called by one goroutine, which owns all fields; what it shares with
// the background tasks has locks of its own.
type Server struct {
	signals      Signals
	settingsFile string // of the balancer's own settings; empty: none
	join         Join

	configuration *Configuration // in force: from the start or from the last good reload
	settings      config.Values  // likewise, the balancer's own
	capacity      capacity       // as the configuration states it

	log       zerolog.Logger
	logWrites *stallwatch.Timer // times the writes to standard error
	flushLog  func()

	ejectionsPath     string                      // empty: ejections by hand last as long as the process
	snapshotPath      string                      // empty: none is written
	snapshotIntervals chan time.Duration          // tells the writer of snapshots its interval
	listFiles         *snapshot.EndpointListFiles // nil: the endpoint list is not saved
	previous          routing.Previous            // what other processes have left

	siblings  *siblings.Group // nil: no other process of this balancer can run, or nothing is known of them
	resources resourceLimits
	pool      *transport.Pool
	balancer  *routing.Balancer
	listener  *transport.Listener
	stalls    *stallwatch.Detector

	maxClients, maxEndpointConnections int // at the start: what the configuration states, within the system's limit

	fleet        Fleet         // nil: this balancer is in none
	fleetDone    chan struct{} // closed when the fleet's Run has returned
	adminAddress string        // empty: there is no admin endpoint

	summaryTicker *time.Ticker
	usage         stallwatch.UsageMeter
	sweeps        int
}

// New starts a process up to the point where it listens; no client is accepted before Run. settingsFile and join are as
// for Serve. The context ends the background tasks that begin here. An error names the variable or the field at fault.
func New(ctx context.Context, signals Signals, settingsFile string, join Join) (*Server, error) {
	s := &Server{signals: signals, settingsFile: settingsFile, join: join, flushLog: func() {}, snapshotIntervals: make(chan time.Duration, 1)}
	if err := s.start(ctx); err != nil {
		s.flushLog()
		return nil, err
	}
	return s, nil
}

// start is the sequence of a start.
func (s *Server) start(ctx context.Context) error {
	stallClock := transport.NewStallClock()
	go stallClock.Run(ctx)
	if err := s.readConfiguration(); err != nil {
		return err
	}
	s.applyCapacity()
	s.log, s.logWrites, s.flushLog = newLogger(s.settings, s.configuration.Name)
	s.pool = transport.NewPool(s.maxEndpointConnections, s.configuration.idleTimeout(), s.configuration.dialTimeout())
	s.pool.Memory = transport.NewMemoryAccount(clientMemoryLimit(s.capacity.memoryBytes))
	s.pool.Budget = s.newLargeValueBudget()
	s.openStateDirectory()
	if err := s.startBalancer(); err != nil {
		return err
	}
	if err := s.listen(stallClock); err != nil {
		return err
	}
	s.shareResources()
	if err := s.joinFleet(); err != nil {
		return err
	}
	if err := s.openAdminEndpoint(); err != nil {
		return err
	}
	s.watchStalls()
	return nil
}

// readConfiguration reads the platform's configuration file and the balancer's own settings.
func (s *Server) readConfiguration() (err error) {
	if s.configuration, err = readConfiguration(); err != nil {
		return err
	}
	s.settings, err = readSettings(s.settingsFile)
	return err
}

// applyCapacity lays the limits of the configuration on the runtime and computes how many connections there may be.
func (s *Server) applyCapacity() {
	runtime.GOMAXPROCS(max(1, int(s.configuration.Cores)))
	s.capacity = newCapacity(s.configuration, s.inFleet())
	s.maxClients, s.maxEndpointConnections = withinSystem(s.capacity.maxClients, s.capacity.maxEndpointConnections, s.capacity.reservedDescriptors)
	debug.SetMemoryLimit(collectorLimit(s.capacity.memoryBytes))
	debug.SetGCPercent(collectorPercent(s.capacity.memoryBytes))
}

func (s *Server) inFleet() bool { return s.settings.Boolean("fleet.on") }

func (s *Server) startBalancer() (err error) {
	c := s.configuration
	s.balancer, err = routing.New(c.Settings, c.EndpointList, c.DiscoveryAddress, c.Seed, s.pool, requestMemoryLimit(s.capacity.memoryBytes),
		s.ejectionsPath, s.previous, s.log)
	if err != nil {
		return fmt.Errorf("%s: known: %w", c.File, err)
	}
	if s.siblings != nil {
		s.shareResults()
	}
	return nil
}

// listen opens the listening socket, or takes over the inherited one.
func (s *Server) listen(stallClock *transport.StallClock) (err error) {
	c := s.configuration
	if c.hasInheritedSocket() {
		if s.listener, err = transport.Inherit(c.ListenDescriptor, s.maxClients); err != nil {
			return fmt.Errorf("LB_LISTEN_FD: %w", err)
		}
	} else if s.listener, err = transport.Listen(c.ListenAddress, s.maxClients); err != nil {
		return fmt.Errorf("%s: listen: %w", c.File, err)
	}
	s.listener.Memory = s.pool.Memory
	s.listener.Budget = s.newLargeValueBudget()
	s.listener.Stalls = stallClock
	s.listener.OnAcceptError = s.handleAcceptError
	return nil
}

// newLargeValueBudget returns a budget for the buffers of large values of one side.
func (s *Server) newLargeValueBudget() *transport.Budget {
	budget := transport.NewBudget(largeValueLimit(s.capacity.memoryBytes))
	budget.Memory = s.pool.Memory
	return budget
}

// handleAcceptError lowers the limits on connections if the system has fewer descriptors than at the start. The
// listener's goroutine calls it.
func (s *Server) handleAcceptError(err error) {
	s.log.Warn().Err(err).Msg("accept failed")
	s.checkDescriptors()
}

// checkDescriptors adapts the limits on connections to the system's limit. With siblings, resourceLimits.share does so
// all the time.
func (s *Server) checkDescriptors() {
	if s.siblings == nil {
		s.resources.setConnectionLimits(s.capacity.maxClients, s.capacity.maxEndpointConnections)
	}
}

// shareResources waits for this process's part of the balancer's resources, where other processes of it run.
func (s *Server) shareResources() {
	s.resources = resourceLimits{s.listener, s.pool, s.balancer, s.capacity.reservedDescriptors}
	if s.siblings != nil {
		s.resources.waitForShare(s.siblings)
	}
}

// errNoFleets is returned where the settings ask for a fleet of a program that has no Join.
var errNoFleets = errors.New("fleet.on: this program is built without; start hollyfleet in its place")

func (s *Server) joinFleet() (err error) {
	if !s.inFleet() {
		return nil
	}
	if s.join == nil {
		return errNoFleets
	}
	c := s.configuration
	if err := fleetconfig.Validate(s.settings, c.Name); err != nil {
		return fmt.Errorf("%s: %w", s.settingsFile, err)
	}
	if s.fleet, err = s.join(s.settings, c.Name, c.zone(), c.SettingsDigest, s.balancer, s.log); err != nil {
		return fmt.Errorf("%s: %w", s.settingsFile, err)
	}
	return nil
}

func (s *Server) openAdminEndpoint() (err error) {
	if s.configuration.AdminAddress == "" {
		return nil
	}
	var fleet http.Handler // A nil Fleet in it would not be a nil Handler.
	if s.fleet != nil {
		fleet = s.fleet
	}
	if s.adminAddress, err = admin.Open(s.configuration.AdminAddress, s.balancer, fleet); err != nil {
		return fmt.Errorf("%s: mgmt: %w", s.configuration.File, err)
	}
	return nil
}

func (s *Server) watchStalls() {
	s.stalls = stallwatch.New(s.balancer.Lock(), s.log, s.logWrites)
	s.stalls.SetThreshold(s.settings.Duration("watch.over"))
	s.listener.AdmissionWatchdog = &s.stalls.Accept
}
