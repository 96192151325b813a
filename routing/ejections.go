package routing

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"hollylever/policy"
)

// ejectionFilePollInterval is how often the file of manual ejections is checked for changes. During an upgrade, the
// other process writes it too.
const ejectionFilePollInterval = 50 * time.Millisecond

// ErrNeverListed is returned for a name that no list had and that is not ejected by hand.
var ErrNeverListed = errors.New("never listed")

// ejections holds the names of endpoints that get no traffic, whatever the list says. Balancer.mu guards it.
type ejections struct {
	all        map[string]bool // union of the sources below
	manual     map[string]bool // by an operator
	fleet      map[string]bool // by the fleet's configuration
	peerDrains map[string]bool // draining or removed in later lists of other members of the fleet
}

// ejectionSource is one of the sources of ejections.
type ejectionSource int

const (
	manualEjections ejectionSource = iota
	fleetEjections
	peerDrainEjections
)

// replace replaces the names of one source.
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

// Ban ejects an endpoint by hand, or ends its ejection. When it returns without an error, the change is in the file and
// in effect. It fails with ErrNeverListed for an unknown name, and if the file cannot be locked or written.
func (b *Balancer) Ban(name string, isEjected bool) error {
	if !b.isEjectable(name) {
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
	if err != nil || b.ejectionFile.path == "" { // Unchanged, or damaged and to be overwritten.
		b.mu.Lock()
		names = slices.Collect(maps.Keys(b.ejections.manual))
		b.mu.Unlock()
	}
	names = slices.DeleteFunc(names, func(other string) bool { return other == name })
	if isEjected {
		names = append(names, name)
	}
	if len(names) > maxEjections {
		return fmt.Errorf("%d endpoints are already ejected by hand", maxEjections)
	}
	if err := b.ejectionFile.write(names); err != nil {
		return err
	}
	b.setEjections(manualEjections, names)
	return nil
}

// isEjectable reports whether a name may be ejected: a list has or had it, or it is already ejected by hand.
func (b *Balancer) isEjectable(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, isListed := b.endpoints.byName[name]
	return isListed || b.endpoints.everListed.names[name] || b.ejections.manual[name]
}

// WatchEjectionFile applies changes that another process makes to the file of manual ejections, and closes connections
// to ejected endpoints as they become idle. It returns shortly after the context ends.
func (b *Balancer) WatchEjectionFile(ctx context.Context) {
	for tick := time.NewTicker(ejectionFilePollInterval); ctx.Err() == nil; <-tick.C {
		b.reloadEjections()
	}
}

// reloadEjections applies the file of manual ejections if it has changed, and closes idle connections to ejected
// endpoints.
func (b *Balancer) reloadEjections() {
	b.ejectionFile.mu.Lock()
	names, isNew, err := b.ejectionFile.poll()
	if isNew {
		b.setEjections(manualEjections, names)
	}
	if err != nil {
		b.log.Warn().Err(err).Msg("ejections not read") // The ejections in effect stay.
	}
	b.ejectionFile.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.ejections.all {
		if i, isListed := b.endpoints.byName[name]; isListed {
			b.pool.DropPeer(b.endpoints.all[i].peer(i))
		}
	}
}

// ApplyPeerDrains ejects the endpoints that are draining or removed in later lists of other members.
func (b *Balancer) ApplyPeerDrains(names []string) { b.setEjections(peerDrainEjections, names) }

// setEjections replaces the ejections of one source and passes the changes to the policy as an endpoint update.
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

// logEjection logs a change. It must be called without b.mu held, as writing the log may block on a slow reader.
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
