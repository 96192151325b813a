package server

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"hollylever/config"
	"hollylever/routing"
	"hollylever/siblings"
)

// Run accepts clients and serves them until SIGTERM; it returns when the shutdown is over. Serve calls it once, after
// New.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.close(cancel)
	s.startTasks(ctx)
	s.log.Info().Str("listen", s.listener.Address()).Str("mgmt", s.adminAddress).Int("max_clients", s.maxClients).
		Int("max_endpoint_connections", s.maxEndpointConnections).Int64("memory_mb", int64(s.configuration.MemoryMB)).Msg("serving")
	hardStop := s.configuration.longestHardStop() // A reload changes only the discovery address.
	sweep := time.NewTicker(sweepInterval)
	s.summaryTicker = time.NewTicker(s.settings.Duration("log.summary"))
	for {
		select {
		case <-sweep.C:
			s.sweep()
		case <-s.summaryTicker.C:
			s.logSummary()
		case <-s.signals.Reload:
			s.reload()
		case <-s.signals.Terminate:
			s.shutdown(hardStop)
			return nil
		}
	}
}

// startTasks starts what runs beside the loop of Run, until the context ends. Clients are accepted from here on.
func (s *Server) startTasks(ctx context.Context) {
	if s.settings.Boolean("watch.on") {
		go s.stalls.Run(ctx)
	}
	go s.listener.Serve(s.balancer.Serve)
	s.balancer.SetReady(true)
	if s.siblings != nil {
		s.siblings.SetPhase(siblings.Serving)
		go s.resources.share(ctx, s.siblings, s.log)
	}
	if s.snapshotPath != "" {
		s.snapshotIntervals <- s.settings.Duration("learnt.every")
		go writeSnapshots(ctx, s.balancer.NewSnapshotWriter(s.snapshotPath, s.configuration.Name), s.siblings, s.snapshotIntervals, s.log)
	}
	if s.listFiles != nil {
		go s.balancer.KeepList(ctx, s.listFiles, s.siblings != nil)
	}
	if s.fleet != nil {
		s.fleetDone = make(chan struct{})
		go func() { s.fleet.Run(ctx); close(s.fleetDone) }()
	}
	go s.balancer.Follow(ctx)
	go s.balancer.WatchEjectionFile(ctx)
}

// close waits until the fleet has ended (it writes its handover file then), then writes what the log still holds.
func (s *Server) close(cancel context.CancelFunc) {
	if s.fleet != nil {
		cancel()
		<-s.fleetDone
	}
	s.flushLog()
	cancel()
}

// sweep closes connections that are idle for too long.
func (s *Server) sweep() {
	s.pool.Sweep()
	s.listener.Sweep()
	s.balancer.CountTurns(s.listener.TakeTurnFigures())
	if s.sweeps++; s.sweeps%sweepsPerDescriptorCheck == 0 {
		s.checkDescriptors()
	}
}

func (s *Server) logSummary() {
	s.balancer.CountTurns(s.listener.TakeTurnFigures())
	cpu, collections := s.usage.SinceLast()
	clients := routing.ClientCounts{Connected: s.listener.Count(), Partial: s.listener.CountPartial()}
	s.balancer.Summary(clients, cpu, collections)
}

// reload reads both configuration files again (SIGHUP). If either is bad, neither is taken: what was in force stays.
//
// Of the platform's file only the discovery address applies to a running process. Of the balancer's own settings those
// apply that are marked config.OnReload; the others are logged and apply at the next start.
func (s *Server) reload() {
	configuration, err := rereadConfiguration()
	settings, settingsErr := readSettings(s.settingsFile)
	if err == nil {
		err = settingsErr
	}
	if err != nil {
		s.log.Warn().Err(err).Msg("configuration rejected")
		return
	}
	s.applyConfiguration(configuration)
	s.applySettings(settings)
}

func (s *Server) applyConfiguration(c *Configuration) {
	previous := s.configuration
	s.log.Info().Str("discovery", c.DiscoveryAddress).Str("previous_discovery", previous.DiscoveryAddress).Msg("configuration reloaded")
	if c.DiscoveryAddress != previous.DiscoveryAddress {
		s.balancer.SetDiscovery(c.DiscoveryAddress)
	}
	c.ListenDescriptor = previous.ListenDescriptor // LB_LISTEN_FD counts at the start only.
	s.configuration = c
}

func (s *Server) applySettings(settings config.Values) {
	for _, name := range config.ChangedFields(SettingsTables, s.settings, settings, config.OnRestart) {
		s.log.Info().Str("field", name).Msg("setting applies after restart")
	}
	for _, name := range config.ChangedFields(SettingsTables, s.settings, settings, config.OnReload) {
		s.log.Info().Str("field", name).Msg("setting applied")
	}
	s.settings = settings
	zerolog.SetGlobalLevel(logLevels[settings.Text("log.level")])
	s.stalls.SetThreshold(settings.Duration("watch.over"))
	s.summaryTicker.Reset(settings.Duration("log.summary"))
	select {
	case s.snapshotIntervals <- settings.Duration("learnt.every"):
	default: // No snapshots are written, or the last change is not taken up yet; SIGHUP can be sent again.
	}
}
