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
	leavesOver = 10 * time.Second // out of a zone that an operator left
	byItself   = "fleet"
	startsFor  = int64(3 * time.Second) // at most, a process that starts takes over from others how far they are
)

// leaving is what this process has on zones: what it would propose if it leads, and how far it has come out of each or back.
type leaving struct {
	itself  bool
	terms   evacuation.RampDurations
	watch   evacuation.Controller
	paths   map[string]*evacuation.Ramp
	told    map[string]float64 // parts, as the balancer has them
	toldAt  int64
	asking  bool // a proposal is out; under the fleet's lock
	led     bool
	since   int64        // when it first could hear others
	begun   bool         // it goes its ways by itself
	stands  []ZoneStands // under the fleet's lock
	anyLeft []string     // as the log knows
}

// ZoneStands is how a zone stands, for people.
type ZoneStands struct {
	Zone    string  `json:"zone"`
	Hosts   int     `json:"hosts"`
	Failing int     `json:"failing"`
	Own     bool    `json:"own"`
	ByHand  bool    `json:"left_by_hand"`
	Fails   bool    `json:"left_as_it_fails"`
	Part    float64 `json:"part_away"`
}

// views gives each zone's hosts and how many of them several processes call failing, by name; whether a host of this process's own zone fails for
// itself too; and whether reads miss for all.
func (s *seen) views(now int64, own string) (all []evacuation.ZoneHealth, fails, scarce bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all = slices.Clone(s.counts)
	for _, h := range s.board.Status(now) {
		at, known := s.in[h.ID]
		if known && h.Ejected && h.Witnesses > 0 {
			all[at].Failing++
		}
		fails = fails || known && h.OwnConsecutiveFailures > 0 && all[at].Zone == own
	}
	return all, fails, s.scarce
}

// leaves moves on on the ways out of zones and back, and proposes what is to be left if this process leads.
func (f *Fleet) leaves(ctx context.Context) {
	now := Now()
	views, fails, scarce := f.seen.views(now, f.zone)
	if len(views) < 2 {
		return // One zone is never left.
	}
	f.mu.Lock()
	knows := f.acting.LatestRevision > 0
	left, leads, asking := f.acting.EvacuatedZones, f.keeper != nil && f.keeper.IsLeader() && f.acting.IsLeased, f.zones.asking
	f.mu.Unlock()
	if !knows {
		return // It has just started, and what is left already is no way to go.
	}
	l := &f.zones
	others := f.begins(now)
	if leads != l.led {
		l.led, l.watch = leads, evacuation.Controller{} // What another saw while it led is not known here.
	}
	if leads && l.itself && !asking {
		say, stays := l.watch.Tick(now, views, left)
		for _, v := range stays {
			f.log.Warn().Str("zone", v.Zone).Int("hosts", v.Endpoints).Int("failing", v.Failing).Msg("a zone fails and is not left: too little would remain")
		}
		for _, s := range say {
			f.say(ctx, s)
		}
	}
	parts, stands := map[string]float64{}, []ZoneStands{}
	for _, v := range views {
		path := l.paths[v.Zone]
		if path == nil {
			path = &evacuation.Ramp{}
			l.paths[v.Zone] = path
		}
		if part, told := others(v.Zone); told {
			path.Start(part)
		}
		// Others' word alone does not take it out of its own zone: once out, it would see nothing of it any more.
		own := v.Zone == f.zone && (v.Failing*2 < v.Endpoints || !fails)
		parts[v.Zone] = path.Advance(now, v.Zone, left, own, scarce, l.terms)
		stands = append(stands, ZoneStands{v.Zone, v.Endpoints, v.Failing, v.Zone == f.zone, slices.Contains(left, v.Zone), slices.Contains(left, evacuation.AutomaticPrefix+v.Zone), parts[v.Zone]})
	}
	f.mu.Lock()
	l.stands = stands
	f.mu.Unlock()
	again := false // Each second too: the list may have new hosts.
	for _, s := range stands {
		again = again || s.Part != l.told[s.Zone] || s.Part > 0 && now-l.toldAt > int64(time.Second)
		if s.Part == 0 && l.told[s.Zone] > 0 {
			f.log.Info().Str("zone", s.Zone).Msg("zone in use again for all keys")
		}
	}
	if again {
		f.acts.SetEvacuation(parts, time.Duration(l.terms.RecoveryNanos))
		moved := !maps.Equal(parts, l.told)
		if l.told, l.toldAt = parts, now; moved {
			f.leave()
		}
	}
	if !slices.Equal(left, l.anyLeft) {
		l.anyLeft = left
		f.log.Info().Strs("zones", left).Msg("zones left")
	}
}

// begins gives how far the others are, as long as this process starts: what it was left by the one before it may be old, and on the way back to a
// zone whose hosts are cold it must not begin at its end. The middle one counts: some may not know the last version.
func (f *Fleet) begins(now int64) (others func(zone string) (part float64, told bool)) {
	var fellows []membership.Member
	if l := &f.zones; !l.begun && f.exchange != nil { // Over an upgrade there is none until the process before this one has gone.
		if l.since == 0 {
			l.since = now
		}
		var partial []string
		for _, m := range f.lately() {
			switch {
			case m.Name == f.name || m.LatestRevision == 0:
			case m.IsPartial(): // Not all of its ways are known.
				partial = append(partial, m.Name)
			default:
				fellows = append(fellows, m)
			}
		}
		f.want(now, partial)
		f.mu.Lock()
		leased := f.acting.IsLeased
		f.mu.Unlock()
		l.begun = leased && len(fellows) > 0 || now-l.since > startsFor
	}
	return func(zone string) (float64, bool) {
		parts := []float64{}
		for _, m := range fellows {
			part := 0.0
			for _, w := range m.Evacuations {
				if w.Zone == zone {
					part = w.KeyFraction
				}
			}
			parts = append(parts, part)
		}
		if slices.Sort(parts); len(parts) == 0 {
			return 0, false
		}
		return parts[len(parts)/2], true
	}
}

// say proposes what the watch says, in the background: the majority decides.
func (f *Fleet) say(ctx context.Context, s evacuation.Proposal) {
	c := consensus.Proposal{ID: crand.Text(), Author: byItself, Reason: fmt.Sprintf("%s: %d of %d", s.Reason, s.Failing, s.Endpoints)}
	if c.EvacuateZones = []string{evacuation.AutomaticPrefix + s.Zone}; !s.Evacuate {
		c.EvacuateZones, c.RestoreZones = nil, c.EvacuateZones
	}
	f.mu.Lock()
	f.zones.asking = true
	f.mu.Unlock()
	go func() {
		o := f.Propose(ctx, c)
		f.mu.Lock()
		f.zones.asking = false
		f.mu.Unlock()
		f.log.Info().Str("zone", s.Zone).Bool("leaves", s.Evacuate).Int("hosts", s.Endpoints).Int("failing", s.Failing).Uint64("version", o.Revision).Msg("proposed of a zone")
	}()
}
