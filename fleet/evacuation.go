package fleet

import (
	"context"
	crand "crypto/rand"
	"fmt"
	"maps"
	"slices"
	"time"

	"hollylever/consensus"
	"hollylever/evacuation"
	"hollylever/membership"
)

const (
	// operatorEvacuationDuration is the duration of the ramp out of a zone that an operator evacuates. The caches of the
	// other zones fill during the ramp.
	operatorEvacuationDuration = 10 * time.Second

	// maxRampAdoption is the longest time for which a starting process follows its peers' ramps. Afterwards it advances
	// its own, whether or not it has heard from a peer.
	maxRampAdoption = int64(3 * time.Second)

	// reapplyInterval is how often unchanged shares are applied to the balancer again, since its endpoint list may have
	// gained endpoints.
	reapplyInterval = int64(time.Second)

	automaticAuthor = "fleet" // author, in the history, of proposals that no operator made
)

// evacuationState holds this process's ramp for each zone, and the controller that proposes evacuations while this
// process is the leader. Start restores the ramps from the handover file; then only Run uses the state.
type evacuationState struct {
	isAutomatic bool // the fleet may evacuate zones without an operator
	durations   evacuation.RampDurations
	controller  evacuation.Controller
	wasLeader   bool
	ramps       map[string]*evacuation.Ramp

	adoptionStartedAt int64 // on the clock of Now; 0 until the exchange is open
	isAdoptionOver    bool  // the ramps advance independently of the peers'

	applied     map[string]float64 // shares that were last applied to the balancer
	appliedAt   int64
	loggedZones []string // evacuated zones as last logged
}

// newEvacuationState returns a state without ramps. The ramp back into a zone takes one and a half times as long as an
// endpoint needs to warm up, so that the keys of each step are cached before the next step.
func newEvacuationState(isAutomatic bool, slowStart time.Duration) evacuationState {
	recovery := slowStart * 3 / 2
	return evacuationState{
		isAutomatic: isAutomatic,
		durations: evacuation.RampDurations{
			EvacuationNanos: int64(operatorEvacuationDuration), RecoveryNanos: int64(recovery),
		},
		ramps: map[string]*evacuation.Ramp{},
	}
}

// ZoneStatus is the state of a zone as shown by the admin endpoint.
type ZoneStatus struct {
	Zone                   string  `json:"zone"`
	Endpoints              int     `json:"hosts"`
	Failing                int     `json:"failing"` // as in evacuation.ZoneHealth
	IsOwn                  bool    `json:"own"`     // the zone is this process's own
	EvacuatedByOperator    bool    `json:"left_by_hand"`
	EvacuatedAutomatically bool    `json:"left_as_it_fails"`
	Share                  float64 `json:"part_away"` // of the zone's keys that is routed elsewhere
}

// zoneInput is the input of the ramps and the controller.
type zoneInput struct {
	now              int64
	zones            []evacuation.ZoneHealth // sorted by name
	evacuated        []string                // according to the effective configuration
	ownZoneFailing   bool                    // attempts of this process fail at an endpoint of its own zone
	widespreadMisses bool                    // reads miss at many processes of the fleet
	isLeader         bool                    // this process is the leader and has a lease
	hasProposal      bool                    // a zone proposal is pending
}

// updateEvacuation advances the ramp of each zone and proposes to evacuate zones or to return to them. It is called by
// Run.
func (f *Fleet) updateEvacuation(ctx context.Context) {
	in, ok := f.collectZoneInput()
	if !ok {
		return
	}
	peers := f.peersToAdopt(in.now)
	f.proposeEvacuations(ctx, in)
	shares, statuses := f.advanceRamps(in, peers)
	f.mu.Lock()
	f.zoneStatuses = statuses
	f.mu.Unlock()
	f.applyEvacuation(in.now, shares, statuses)
	f.logEvacuated(in.evacuated)
}

// collectZoneInput collects the input; ok is false if there is nothing to do. With a single zone there is no other to
// route to, and a process that has no configuration yet must not start the ramp out of a zone that was evacuated long
// ago.
func (f *Fleet) collectZoneInput() (in zoneInput, ok bool) {
	in.now = Now()
	in.zones, in.ownZoneFailing, in.widespreadMisses = f.outliers.zoneHealth(in.now, f.zone)
	f.mu.Lock()
	defer f.mu.Unlock()
	in.evacuated, in.hasProposal = f.effective.EvacuatedZones, f.hasZoneProposal
	in.isLeader = f.isLeader() && f.effective.IsLeased
	return in, len(in.zones) >= 2 && f.effective.LatestRevision > 0
}

// proposeEvacuations makes the proposals of the controller if this process is the leader. The controller is reset
// whenever leadership is gained or lost, as its record is out of date after another process has led.
func (f *Fleet) proposeEvacuations(ctx context.Context, in zoneInput) {
	e := &f.evacuation
	if in.isLeader != e.wasLeader {
		e.wasLeader, e.controller = in.isLeader, evacuation.Controller{}
	}
	if !in.isLeader || !e.isAutomatic || in.hasProposal {
		return
	}
	proposals, blocked := e.controller.Tick(in.now, in.zones, in.evacuated)
	for _, zone := range blocked {
		f.log.Warn().Str("zone", zone.Zone).Int("endpoints", zone.Endpoints).Int("failing", zone.Failing).
			Msg("zone evacuation rejected: too few endpoints would remain")
	}
	for _, proposal := range proposals {
		f.proposeZone(ctx, proposal)
	}
}

// proposeZone proposes to evacuate a zone or to return to it, in the background: Run must not block until a majority has
// answered.
func (f *Fleet) proposeZone(ctx context.Context, p evacuation.Proposal) {
	proposal := consensus.Proposal{
		ID: crand.Text(), Author: automaticAuthor, Reason: fmt.Sprintf("%s: %d of %d", p.Reason, p.Failing, p.Endpoints),
	}
	if zone := []string{evacuation.AutomaticPrefix + p.Zone}; p.Evacuate {
		proposal.EvacuateZones = zone
	} else {
		proposal.RestoreZones = zone
	}
	f.setHasZoneProposal(true)
	go func() {
		result := f.Propose(ctx, proposal)
		f.setHasZoneProposal(false)
		f.log.Info().Str("zone", p.Zone).Bool("evacuate", p.Evacuate).Int("endpoints", p.Endpoints).
			Int("failing", p.Failing).Uint64("revision", result.Revision).Msg("zone evacuation proposed")
	}()
}

func (f *Fleet) setHasZoneProposal(has bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hasZoneProposal = has
}

// advanceRamps advances the ramp of each zone and returns, by zone, the share of the keys that is routed elsewhere.
func (f *Fleet) advanceRamps(in zoneInput, peers rampPeers) (shares map[string]float64, statuses []ZoneStatus) {
	e := &f.evacuation
	shares = map[string]float64{}
	for _, zone := range in.zones {
		ramp := e.ramps[zone.Zone]
		if ramp == nil {
			ramp = &evacuation.Ramp{}
			e.ramps[zone.Zone] = ramp
		}
		if share, known := peers.median(zone.Zone); known {
			ramp.Start(share)
		}
		// Even if the fleet evacuates it, a process keeps using its own zone unless at least half of its endpoints fail
		// and its own attempts there fail too: without requests it could no longer observe the zone's health.
		staysInOwn := zone.Zone == f.zone && (zone.Failing*2 < zone.Endpoints || !in.ownZoneFailing)
		share := ramp.Advance(in.now, zone.Zone, in.evacuated, staysInOwn, in.widespreadMisses, e.durations)
		shares[zone.Zone] = share
		statuses = append(statuses, ZoneStatus{
			Zone: zone.Zone, Endpoints: zone.Endpoints, Failing: zone.Failing, IsOwn: zone.Zone == f.zone, Share: share,
			EvacuatedByOperator:    slices.Contains(in.evacuated, zone.Zone),
			EvacuatedAutomatically: slices.Contains(in.evacuated, evacuation.AutomaticPrefix+zone.Zone),
		})
	}
	return shares, statuses
}

// applyEvacuation applies the shares to the balancer when one has changed, and every reapplyInterval while one is over
// 0. Changed shares are written to the handover file.
func (f *Fleet) applyEvacuation(now int64, shares map[string]float64, statuses []ZoneStatus) {
	e := &f.evacuation
	isDue := false
	for _, zone := range statuses {
		isDue = isDue || zone.Share != e.applied[zone.Zone] || zone.Share > 0 && now-e.appliedAt > reapplyInterval
		if zone.Share == 0 && e.applied[zone.Zone] > 0 {
			f.log.Info().Str("zone", zone.Zone).Msg("zone evacuation ended")
		}
	}
	if !isDue {
		return
	}
	f.balancer.SetEvacuation(shares, time.Duration(e.durations.RecoveryNanos))
	haveChanged := !maps.Equal(shares, e.applied)
	e.applied, e.appliedAt = shares, now
	if haveChanged {
		f.writeHandover()
	}
}

func (f *Fleet) logEvacuated(evacuated []string) {
	if slices.Equal(evacuated, f.evacuation.loggedZones) {
		return
	}
	f.evacuation.loggedZones = evacuated
	f.log.Info().Strs("zones", evacuated).Msg("evacuated zones changed")
}

// rampPeers are the members whose ramps a starting process follows.
type rampPeers []membership.Member

// peersToAdopt returns the peers whose ramps this process follows; none once its own ramps advance independently.
//
// The handover file may be outdated. A process that resumed at the end of a ramp while its peers are in the middle of
// it would route all its keys to a zone with cold caches.
func (f *Fleet) peersToAdopt(now int64) (peers rampPeers) {
	e := &f.evacuation
	if e.isAdoptionOver || f.exchange == nil { // In an upgrade the exchange is nil until the previous process exits.
		return nil
	}
	if e.adoptionStartedAt == 0 {
		e.adoptionStartedAt = now
	}
	var partial []string
	for _, m := range f.liveMembers() {
		switch {
		case m.Name == f.name || m.LatestRevision == 0:
		case m.IsPartial(): // Some of its ramps may be missing.
			partial = append(partial, m.Name)
		default:
			peers = append(peers, m)
		}
	}
	f.requestFullStates(now, partial)
	f.mu.Lock()
	isLeased := f.effective.IsLeased
	f.mu.Unlock()
	e.isAdoptionOver = isLeased && len(peers) > 0 || now-e.adoptionStartedAt > maxRampAdoption
	return peers
}

// median returns the median of the peers' shares for a zone, since some peers may not have the latest revision yet. It
// returns false if there are no peers.
func (peers rampPeers) median(zone string) (share float64, known bool) {
	if len(peers) == 0 {
		return 0, false
	}
	shares := make([]float64, 0, len(peers))
	for _, m := range peers {
		share := 0.0
		for _, evacuated := range m.Evacuations {
			if evacuated.Zone == zone {
				share = evacuated.KeyFraction
			}
		}
		shares = append(shares, share)
	}
	slices.Sort(shares)
	return shares[len(shares)/2], true
}
