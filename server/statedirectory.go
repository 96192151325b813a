package server

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"time"

	"github.com/rs/zerolog"

	"hollylever/routing"
	"hollylever/siblings"
	"hollylever/snapshot"
)

// Files in $TMPDIR; docs/upgrades.md lists them.
const (
	ejectionsFile  = "hollylever.bans"   // cache hosts that operators took out by hand
	snapshotFile   = "hollylever.learnt" // what the balancer learned
	listFilePrefix = "hollylever.list"   // the endpoint list, a file for each process: followed by the process's number
)

// openStateDirectory joins the other processes of this balancer and reads what they, or earlier ones, have left, all in
// $TMPDIR. None of it is needed to serve: an error is logged, and the process runs as without.
func (s *Server) openStateDirectory() {
	directory := os.Getenv("TMPDIR")
	if directory == "" {
		return
	}
	s.ejectionsPath = filepath.Join(directory, ejectionsFile)
	if s.configuration.hasInheritedSocket() { // Without one only one process can listen.
		var err error
		if s.siblings, err = siblings.Join(directory, s.capacity.total); err != nil {
			s.log.Warn().Err(err).Msg("sibling processes not joined")
		}
	}
	s.readEndpointLists(directory)
	if s.settings.Boolean("learnt.on") {
		s.snapshotPath = filepath.Join(directory, snapshotFile)
		s.readSnapshot()
	}
}

// readEndpointLists reads the endpoint lists that other processes have saved. A process that knows of no others has the
// last file, which no process of a group uses.
func (s *Server) readEndpointLists(directory string) {
	own := siblings.MaxProcesses
	if s.siblings != nil {
		own = s.siblings.Slot()
	}
	s.listFiles = snapshot.NewEndpointListFiles(filepath.Join(directory, listFilePrefix), siblings.MaxProcesses+1, own)
	var err error
	if s.previous.Lists, err = s.listFiles.ReadChanged(time.Now()); err != nil {
		s.log.Warn().Err(err).Msg("endpoint list not read")
	}
}

func (s *Server) readSnapshot() {
	var err error
	file := snapshot.File{Path: s.snapshotPath}
	fingerprint := routing.Fingerprint(s.configuration.Settings)
	s.previous.Snapshot, err = file.Read(s.configuration.Name, fingerprint, time.Now(), s.settings.Duration("learnt.lasts"))
	if err != nil {
		s.log.Warn().Err(err).Msg("snapshot not restored")
	}
}

// shareResults shares the results of requests with the other processes of this balancer. Without it the process serves all
// the same.
func (s *Server) shareResults() {
	shared, err := s.siblings.OpenResults()
	if err != nil {
		s.log.Warn().Err(err).Msg("results not shared with sibling processes")
		return
	}
	s.balancer.ShareResults(shared)
}

// writeSnapshots writes what the balancer learned at the interval that was sent last. Guards against a process that is
// killed: it leaves a snapshot at most one interval old, from which the next process starts.
func writeSnapshots(ctx context.Context, writer *routing.SnapshotWriter, group *siblings.Group, intervals <-chan time.Duration, log zerolog.Logger) {
	failed, ticker := false, time.NewTicker(time.Hour) // The first interval is sent before the goroutine starts.
	for {
		select {
		case <-ctx.Done():
			return
		case interval := <-intervals:
			ticker.Reset(interval)
			continue
		case <-ticker.C:
		}
		if group != nil && !group.IsSnapshotWriter() {
			continue // Another process of this balancer has learned more.
		}
		err := writer.Write()
		if err != nil && !errors.Is(err, snapshot.ErrLocked) && !failed {
			log.Warn().Err(err).Msg("snapshot not written") // Once for a run of errors.
		}
		failed = err != nil
	}
}
