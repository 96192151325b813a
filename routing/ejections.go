package routing

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"hollylever/policy"
	"hollylever/transport"
)

// ejectionsInterval is how often the file of manual ejections is checked for what the other process of an upgrade
// wrote.
const ejectionsInterval = 50 * time.Millisecond

// ErrNeverListed says that no list ever had an endpoint of this name.
var ErrNeverListed = errors.New("never listed")

// ejections are the names of endpoints that get no traffic, whatever the list says. Balancer.mu guards them.
type ejections struct {
	all        map[string]bool // from any of the sources below
	manual     map[string]bool // by an operator
	fleet      map[string]bool // by the fleet's configuration
	peerDrains map[string]bool // draining or removed by later lists of other members of the fleet
}

// ejectionSource is one of the sources of ejections.
type ejectionSource int

const (
	manualEjections ejectionSource = iota
	fleetEjections
	peerDrainEjections
)

// replace sets the names from one source.
func (e *ejections) replace(source ejectionSource, names []string) {
	set := map[string]bool{}
	for _, name := range names {
		set[name] = true
	}
	switch source {
	case manualEjections:
		e.manual = set
	case fleetEjections:
		e.fleet = set
	case peerDrainEjections:
		e.peerDrains = set
	}
	e.all = map[string]bool{}
	for _, names := range []map[string]bool{e.manual, e.fleet, e.peerDrains} {
		maps.Copy(e.all, names)
	}
}

// Ban ejects an endpoint by hand, or ends that. Once it has returned the change is in the file and in force. It fails
// with ErrNeverListed for an unknown name, and where the file cannot be locked or written.
func (b *Balancer) Ban(name string, isEjected bool) error {
	if !b.wasListed(name) {
		return ErrNeverListed
	}
	b.ejectionFile.mu.Lock()
	defer b.ejectionFile.mu.Unlock()
	unlock, err := b.ejectionFile.lock()
	if err != nil {
		return err
	}
	defer unlock()
	names, err := b.ejectionFile.readIfChanged()
	if err != nil || b.ejectionFile.path == "" { // Nothing new; a damaged file is replaced by what is in force.
		b.mu.Lock()
		names = slices.Collect(maps.Keys(b.ejections.manual))
		b.mu.Unlock()
	}
	names = slices.DeleteFunc(names, func(other string) bool { return other == name })
	if isEjected {
		names = append(names, name)
	}
	if len(names) > maxEjections {
		return fmt.Errorf("%d servers are out by hand already", maxEjections)
	}
	if err := b.ejectionFile.write(names); err != nil {
		return err
	}
	b.setEjections(manualEjections, names)
	return nil
}

// wasListed reports whether a name may be ejected: a list has or had it, or it is ejected already.
func (b *Balancer) wasListed(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, isListed := b.endpoints.byName[name]
	return isListed || b.endpoints.everListed.names[name] || b.ejections.manual[name]
}

// WatchEjectionFile applies what another process writes to the file of manual ejections, and closes connections to
// ejected endpoints as they become idle. It returns some time after the context ends.
func (b *Balancer) WatchEjectionFile(ctx context.Context) {
	for tick := time.NewTicker(ejectionsInterval); ctx.Err() == nil; <-tick.C {
		b.reloadEjections()
	}
}

// reloadEjections applies the file if it has changed, and closes idle connections to ejected endpoints.
func (b *Balancer) reloadEjections() {
	b.ejectionFile.mu.Lock()
	names, isNew, err := b.ejectionFile.poll()
	if isNew {
		b.setEjections(manualEjections, names)
	}
	if err != nil {
		b.log.Warn().Err(err).Msg("ejections not read") // What is in force stays.
	}
	b.ejectionFile.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.ejections.all {
		if i, isListed := b.endpoints.byName[name]; isListed {
			b.pool.DropPeer(transport.Peer{Server: i, Address: b.endpoints.all[i].address})
		}
	}
}

// ApplyPeerDrains ejects the endpoints that later lists of other members call draining or removed.
func (b *Balancer) ApplyPeerDrains(names []string) { b.setEjections(peerDrainEjections, names) }

// setEjections replaces the ejections of one source. The policy is told what changed as if the list had changed.
func (b *Balancer) setEjections(source ejectionSource, names []string) {
	var changed []string
	b.mu.Lock()
	before := b.ejections.all
	b.ejections.replace(source, names)
	now := b.now()
	b.policy.BeginEndpointUpdate(policy.IncrementalList)
	for i := range b.endpoints.all {
		if name := b.endpoints.all[i].name; name != "" && before[name] != b.ejections.all[name] {
			b.updatePolicyEndpoint(now, i)
			changed = append(changed, name)
		}
	}
	b.policy.CommitEndpointUpdate(now)
	b.mu.Unlock()
	for _, name := range changed {
		b.logEjection(source, name, !before[name])
	}
}

// logEjection logs a change; not under the lock, as whoever reads the log may be slow.
func (b *Balancer) logEjection(source ejectionSource, name string, isEjected bool) {
	switch source {
	case manualEjections:
		b.log.Info().Str("endpoint", name).Bool("ejected", isEjected).Msg("ejection by hand")
	case fleetEjections:
		b.log.Info().Str("endpoint", name).Bool("ejected", isEjected).Msg("ejection by the fleet")
	case peerDrainEjections:
		b.log.Info().Str("endpoint", name).Bool("ejected", isEjected).Msg("ejection by another member's list")
	}
}
