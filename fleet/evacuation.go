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
	evacuationTime  = 10 * time.Second // out of a zone that an operator evacuates: the other zones' caches fill meanwhile
	automaticAuthor = "fleet"          // of a proposal, in the history, that no operator made

	// maxRampAdoption is how long a process that starts takes over from its peers where their ramps are; after that it goes on by itself, whoever it has heard.
	maxRampAdoption = int64(3 * time.Second)

	reapplyInterval = int64(time.Second) // between two tellings of the same shares: the list may have new endpoints
)

// evacuationState is this process's ramp for each zone, and the detector of failing zones that it has while it leads. It is Run's own, but for hasProposal.
type evacuationState struct {
	isAutomatic bool // the fleet may evacuate zones by itself
	terms       evacuation.RampDurations
	watch       evacuation.Controller
	wasLeader   bool
	hasProposal bool // one of a zone waits for its answer; under Fleet.mu
	paths       map[string]*evacuation.Ramp

	adoptionBegan  int64 // when peers could be heard first; 0: not yet
	isAdoptionOver bool  // the ramps go on by themselves

	applied   map[string]float64 // shares, as the balancer has them
	appliedAt int64
	logged    []string // evacuated zones, as the log has them
}

func newEvacuationState(isAutomatic bool, warmUp time.Duration) evacuationState {
	recovery := warmUp * 3 / 2 // As long as an endpoint takes to be warm, and half of that more: each step finds the keys of the one before cached.
	return evacuationState{isAutomatic: isAutomatic, terms: evacuation.RampDurations{EvacuationNanos: int64(evacuationTime), RecoveryNanos: int64(recovery)}, paths: map[string]*evacuation.Ramp{}}
}

// ZoneStatus is the status of a zone, for people.
type ZoneStatus struct {
	Zone                   string  `json:"zone"`
	Endpoints              int     `json:"hosts"`
	Failing                int     `json:"failing"` // of its endpoints, by several processes' verdicts
	IsOwn                  bool    `json:"own"`     // this process is in it
	EvacuatedByOperator    bool    `json:"left_by_hand"`
	EvacuatedAutomatically bool    `json:"left_as_it_fails"`
	Share                  float64 `json:"part_away"` // of the keys, that does not go there now
}

// zoneInput is what a look at the zones goes by.
type zoneInput struct {
	now          int64
	views        []evacuation.ZoneHealth // endpoints by zone, sorted by name
	evacuated    []string                // by the configuration in effect
	ownZoneFails bool                    // for this process too
	isMissing    bool                    // reads miss at many processes at once
	isLeader     bool                    // this process leads, under a lease
	hasProposal  bool
}

// updateEvacuation moves the ramp of each zone on, and proposes evacuations and returns if this process leads. Run calls it.
func (f *Fleet) updateEvacuation(ctx context.Context) {
	in, ok := f.zoneInput()
	if !ok {
		return
	}
	peerRamps := f.adoptPeerRamps(in.now)
	f.proposeEvacuations(ctx, in)
	shares, statuses := f.advanceRamps(in, peerRamps)
	f.mu.Lock()
	f.zoneStatuses = statuses
	f.mu.Unlock()
	f.applyEvacuation(in.now, shares, statuses)
	f.logEvacuated(in.evacuated)
}

// zoneInput puts the input together; false: there is nothing to look at. With one zone there is nowhere to go, and a process that knows no configuration yet
// must not take a zone that is evacuated already for one that is left now, with a ramp.
func (f *Fleet) zoneInput() (in zoneInput, ok bool) {
	in.now = Now()
	in.views, in.ownZoneFails, in.isMissing = f.outliers.zoneViews(in.now, f.zone)
	f.mu.Lock()
	defer f.mu.Unlock()
	in.evacuated, in.hasProposal = f.effective.EvacuatedZones, f.evacuation.hasProposal
	in.isLeader = f.isLeader() && f.effective.IsLeased
	return in, len(in.views) >= 2 && f.effective.LatestRevision > 0
}

// proposeEvacuations proposes what the zone detector finds, if this process leads. The detector is begun anew with each term as leader, since what another
// leader saw is not known here.
func (f *Fleet) proposeEvacuations(ctx context.Context, in zoneInput) {
	e := &f.evacuation
	if in.isLeader != e.wasLeader {
		e.wasLeader, e.watch = in.isLeader, evacuation.Controller{}
	}
	if !in.isLeader || !e.isAutomatic || in.hasProposal {
		return
	}
	proposals, rejected := e.watch.Tick(in.now, in.views, in.evacuated)
	for _, view := range rejected {
		f.log.Warn().Str("zone", view.Zone).Int("endpoints", view.Endpoints).Int("failing", view.Failing).Msg("zone evacuation rejected: too few endpoints would remain")
	}
	for _, proposal := range proposals {
		f.proposeZone(ctx, proposal)
	}
}

// proposeZone proposes to evacuate a zone or to return to it, in the background: Run must not wait for the majority's answer.
func (f *Fleet) proposeZone(ctx context.Context, p evacuation.Proposal) {
	change := consensus.Proposal{ID: crand.Text(), Author: automaticAuthor, Reason: fmt.Sprintf("%s: %d of %d", p.Reason, p.Failing, p.Endpoints)}
	if zone := []string{evacuation.AutomaticPrefix + p.Zone}; p.Evacuate {
		change.EvacuateZones = zone
	} else {
		change.RestoreZones = zone
	}
	f.setHasProposal(true)
	go func() {
		result := f.Propose(ctx, change)
		f.setHasProposal(false)
		f.log.Info().Str("zone", p.Zone).Bool("evacuate", p.Evacuate).Int("endpoints", p.Endpoints).Int("failing", p.Failing).Uint64("revision", result.Revision).
			Msg("zone evacuation proposed")
	}()
}

func (f *Fleet) setHasProposal(has bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuation.hasProposal = has
}

// advanceRamps gives, for each zone, the share of the keys that does not go there now.
func (f *Fleet) advanceRamps(in zoneInput, peerRamps peerRamps) (shares map[string]float64, statuses []ZoneStatus) {
	e := &f.evacuation
	shares = map[string]float64{}
	for _, view := range in.views {
		path := e.paths[view.Zone]
		if path == nil {
			path = &evacuation.Ramp{}
			e.paths[view.Zone] = path
		}
		if share, known := peerRamps.median(view.Zone); known {
			path.Start(share)
		}
		// A process stays in its own zone while that works for itself, even if the fleet evacuates it: once out, it would observe nothing of it any more.
		staysInOwn := view.Zone == f.zone && (view.Failing*2 < view.Endpoints || !in.ownZoneFails)
		share := path.Advance(in.now, view.Zone, in.evacuated, staysInOwn, in.isMissing, e.terms)
		shares[view.Zone] = share
		statuses = append(statuses, ZoneStatus{Zone: view.Zone, Endpoints: view.Endpoints, Failing: view.Failing, IsOwn: view.Zone == f.zone,
			EvacuatedByOperator: slices.Contains(in.evacuated, view.Zone), EvacuatedAutomatically: slices.Contains(in.evacuated, evacuation.AutomaticPrefix+view.Zone), Share: share})
	}
	return shares, statuses
}

// applyEvacuation tells the balancer the shares if they have changed, and again each second while any is over 0, as the list may have new endpoints. Changed
// ones are left to the next process.
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
	f.acts.SetEvacuation(shares, time.Duration(e.terms.RecoveryNanos))
	haveChanged := !maps.Equal(shares, e.applied)
	e.applied, e.appliedAt = shares, now
	if haveChanged {
		f.writeHandover()
	}
}

func (f *Fleet) logEvacuated(evacuated []string) {
	if slices.Equal(evacuated, f.evacuation.logged) {
		return
	}
	f.evacuation.logged = evacuated
	f.log.Info().Strs("zones", evacuated).Msg("evacuated zones changed")
}

// peerRamps are the members whose ramps a process that starts takes over.
type peerRamps []membership.Member

// adoptPeerRamps gives the peers whose ramps are taken over now; none once this process has gone on by itself.
//
// What the process before left may be old. A process that began at the end of a ramp while the others are still on it would send all its keys to
// endpoints that are cold.
func (f *Fleet) adoptPeerRamps(now int64) (peers peerRamps) {
	e := &f.evacuation
	if e.isAdoptionOver || f.exchange == nil { // Over an upgrade there is no exchange until the process before has gone.
		return nil
	}
	if e.adoptionBegan == 0 {
		e.adoptionBegan = now
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
	f.requestFullCards(now, partial)
	f.mu.Lock()
	isLeased := f.effective.IsLeased
	f.mu.Unlock()
	e.isAdoptionOver = isLeased && len(peers) > 0 || now-e.adoptionBegan > maxRampAdoption
	return peers
}

// median gives the share of the keys that the middle one of the peers does not send to a zone: some may not know the last revision. false: there are no
// peers.
func (peers peerRamps) median(zone string) (share float64, known bool) {
	if len(peers) == 0 {
		return 0, false
	}
	shares := make([]float64, 0, len(peers))
	for _, m := range peers {
		share := 0.0
		for _, way := range m.Evacuations {
			if way.Zone == zone {
				share = way.KeyFraction
			}
		}
		shares = append(shares, share)
	}
	slices.Sort(shares)
	return shares[len(shares)/2], true
}
