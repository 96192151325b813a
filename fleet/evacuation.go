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
	// evacuationDuration is that of the ramp out of a zone which an operator evacuates: the other zones' caches fill
	// meanwhile.
	evacuationDuration = 10 * time.Second

	// maxRampAdoption is how long a process that starts keeps to its peers' ramps; after that it goes on by itself,
	// whether it has heard any or not.
	maxRampAdoption = int64(3 * time.Second)

	// reapplyInterval is how often the same shares are set at the balancer again: its list may have new endpoints.
	reapplyInterval = int64(time.Second)

	automaticAuthor = "fleet" // in the history, of proposals that no operator made
)

// evacuationState is this process's ramp for each zone, and the controller that proposes evacuations while it leads.
// Run alone uses it.
type evacuationState struct {
	isAutomatic bool // the fleet may evacuate zones by itself
	durations   evacuation.RampDurations
	controller  evacuation.Controller
	wasLeader   bool
	ramps       map[string]*evacuation.Ramp

	adoptionStartedAt int64 // on Now's clock; 0: the exchange is not open yet
	isAdoptionOver    bool  // the ramps advance without the peers

	applied     map[string]float64 // shares, as the balancer has them
	appliedAt   int64
	loggedZones []string // zones that are evacuated, as logged last
}

// newEvacuationState begins without any ramp. The ramp back into a zone takes one and a half times as long as an
// endpoint needs to warm up, so that each step comes when the keys of the one before are cached.
func newEvacuationState(isAutomatic bool, slowStart time.Duration) evacuationState {
	recovery := slowStart * 3 / 2
	return evacuationState{
		isAutomatic: isAutomatic,
		durations:   evacuation.RampDurations{EvacuationNanos: int64(evacuationDuration), RecoveryNanos: int64(recovery)},
		ramps:       map[string]*evacuation.Ramp{},
	}
}

// ZoneStatus is what the admin endpoint shows of a zone.
type ZoneStatus struct {
	Zone                   string  `json:"zone"`
	Endpoints              int     `json:"hosts"`
	Failing                int     `json:"failing"` // endpoints that are ejected, on peers' reports too
	IsOwn                  bool    `json:"own"`     // this process is in it
	EvacuatedByOperator    bool    `json:"left_by_hand"`
	EvacuatedAutomatically bool    `json:"left_as_it_fails"`
	Share                  float64 `json:"part_away"` // of the keys that does not go there now
}

// zoneInput is what the ramps and the controller go by.
type zoneInput struct {
	now              int64
	zones            []evacuation.ZoneHealth // sorted by name
	evacuated        []string                // by the effective configuration
	ownZoneFailing   bool                    // for this process itself
	widespreadMisses bool                    // reads miss at many processes at once
	isLeader         bool                    // this process leads, under a lease
	hasProposal      bool                    // one of a zone waits for its answer
}

// updateEvacuation advances the ramp of each zone, and proposes evacuations and their end if this process leads. Run
// calls it.
func (f *Fleet) updateEvacuation(ctx context.Context) {
	in, ok := f.zoneInput()
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

// zoneInput collects the input; false: nothing is to be done. With one zone there is nowhere else to send; and a
// process that knows no configuration yet must not begin the ramp out of a zone that the fleet evacuated long ago.
func (f *Fleet) zoneInput() (in zoneInput, ok bool) {
	in.now = Now()
	in.zones, in.ownZoneFailing, in.widespreadMisses = f.outliers.zoneHealth(in.now, f.zone)
	f.mu.Lock()
	defer f.mu.Unlock()
	in.evacuated, in.hasProposal = f.effective.EvacuatedZones, f.hasZoneProposal
	in.isLeader = f.isLeader() && f.effective.IsLeased
	return in, len(in.zones) >= 2 && f.effective.LatestRevision > 0
}

// proposeEvacuations proposes what the controller asks for, if this process leads. The controller starts empty
// whenever that begins or ends, since what another leader observed meanwhile is not known here.
func (f *Fleet) proposeEvacuations(ctx context.Context, in zoneInput) {
	e := &f.evacuation
	if in.isLeader != e.wasLeader {
		e.wasLeader, e.controller = in.isLeader, evacuation.Controller{}
	}
	if !in.isLeader || !e.isAutomatic || in.hasProposal {
		return
	}
	proposals, rejected := e.controller.Tick(in.now, in.zones, in.evacuated)
	for _, zone := range rejected {
		f.log.Warn().Str("zone", zone.Zone).Int("endpoints", zone.Endpoints).Int("failing", zone.Failing).
			Msg("zone evacuation rejected: too few endpoints would remain")
	}
	for _, proposal := range proposals {
		f.proposeZone(ctx, proposal)
	}
}

// proposeZone proposes to evacuate a zone or to end that, in the background: Run must not wait for the majority's
// answer.
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

// advanceRamps returns, for each zone, the share of the keys that does not go there now.
func (f *Fleet) advanceRamps(in zoneInput, peers peerRamps) (shares map[string]float64, statuses []ZoneStatus) {
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
		// A process stays in its own zone while that works for it, even if the fleet evacuates the zone: once out, it
		// would observe nothing of the zone any more.
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

// applyEvacuation sets the shares at the balancer if any has changed, and again each reapplyInterval while one is
// over 0. Changes go into the handover file.
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

// peerRamps are the members whose ramps a process that starts keeps to.
type peerRamps []membership.Member

// peersToAdopt returns the peers whose ramps this process keeps to now; none once its own ramps advance by
// themselves.
//
// The handover file may be old. A process that started at the end of a ramp while the others are in the middle of it
// would send all its keys to a zone whose caches are cold.
func (f *Fleet) peersToAdopt(now int64) (peers peerRamps) {
	e := &f.evacuation
	if e.isAdoptionOver || f.exchange == nil { // During an upgrade there is none until the previous process has gone.
		return nil
	}
	if e.adoptionStartedAt == 0 {
		e.adoptionStartedAt = now
	}
	var partial []string
	for _, m := range f.liveMembers() {
		switch {
		case m.Name == f.name || m.LatestRevision == 0:
		case m.IsPartial(): // Not all of its ramps are known.
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

// median returns the median of the shares of the keys that the peers do not send to a zone: some may not know the
// last revision yet. false: there are no peers.
func (peers peerRamps) median(zone string) (share float64, known bool) {
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
