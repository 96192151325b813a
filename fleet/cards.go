package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"hollylever/consensus"
	"hollylever/membership"
)

// card is what this process tells of itself.
func (f *Fleet) card() membership.MemberState {
	index, digest, drains := f.acts.EndpointList()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cards++
	var ways []membership.ZoneEvacuation
	for _, z := range f.zones.stands {
		if z.Part > 0 {
			ways = append(ways, membership.ZoneEvacuation{Zone: z.Zone, KeyFraction: z.Part})
		}
	}
	return membership.MemberState{Evacuations: ways, Name: f.name, Zone: f.zone, Incarnation: f.life, Seq: f.cards, IsReplica: f.keeper != nil, IsLeader: f.keeper != nil && f.keeper.IsLeader(),
		SettingsDigest: f.settings, HasLease: f.acting.IsLeased, MinRevision: f.acting.MinRevision, LatestRevision: f.acting.LatestRevision, ListIndex: index, ListDigest: digest, Drains: drains}
}

// gossips is when cards are looked at: not at each that comes, as a thousand come in a second and each look is at all of them.
type gossips struct {
	timer  *time.Timer
	last   int64
	wanted int64 // when whole lists were asked for last
}

const (
	gossipEvery = 50 * time.Millisecond
	wantEvery   = int64(250 * time.Millisecond)
	wantAtOnce  = 2  // members that are asked for whole lists
	maxLogged   = 32 // hosts named in one line of the log
)

// due has the cards looked at, at once if they were not lately.
func (g *gossips) due(now int64) {
	g.timer.Reset(time.Duration(max(0, g.last+int64(gossipEvery)-now)))
}

// want asks a few of these members for their whole lists, by chance, and not too often.
func (f *Fleet) want(now int64, partial []string) {
	if len(partial) == 0 || now-f.gossips.wanted < wantEvery {
		return
	}
	f.gossips.wanted = now
	for range min(wantAtOnce, len(partial)) {
		f.exchange.RequestFullState(partial[rand.IntN(len(partial))])
	}
}

// gossip takes from other processes' cards what is strict: drains that this one's list does not have yet.
func (f *Fleet) gossip() {
	f.gossips.last = Now()
	index, digest, drains := f.acts.EndpointList()
	mine := consensus.EndpointListState{Name: f.name, Index: index, Digest: digest}
	for _, d := range drains {
		mine.Drained = append(mine.Drained, consensus.DrainedEndpoint(d))
	}
	cards, went := f.own.Observe(Now(), mine)
	if went {
		f.log.Warn().Uint64("index", index).Uint64("before", cards[0].Index).Msg("list went back: what the later one took out stays out for a while")
	}
	now, partial := time.Now(), []string(nil)
	for _, m := range f.exchange.Members() {
		if m.IsGone(now) || m.Name == f.name {
			continue
		}
		listed := consensus.EndpointListState{Name: m.Name, Index: m.ListIndex, Digest: m.ListDigest}
		if m.ListIndex > index || m.ListIndex == index && m.ListDigest != digest { // Of others the drains say nothing that counts here.
			for _, d := range m.Drains {
				listed.Drained = append(listed.Drained, consensus.DrainedEndpoint(d))
			}
			if m.IsPartial() {
				partial = append(partial, m.Name)
			}
		}
		cards = append(cards, listed)
	}
	f.want(f.gossips.last, partial)
	f.mu.Lock()
	what := consensus.CompareLists(index, digest, cards)
	news := what.DrainedEndpoints
	changed := !slices.Equal(news, f.news)
	f.news = news
	late := f.late.Observe(Now(), what.PeerAhead != "", f.behind)
	differs := f.differs
	f.differs = what.ConflictingPeer != ""
	f.mu.Unlock()
	if changed {
		f.acts.ApplyPeerDrains(news)
		f.log.Info().Strs("hosts", news[:min(len(news), maxLogged)]).Int("count", len(news)).Msg("drains by others' later lists")
	}
	if late {
		f.log.Warn().Uint64("index", index).Str("member", what.PeerAhead).Uint64("its", what.LatestIndex).Msg("list behind another's")
	}
	if !differs && what.ConflictingPeer != "" {
		f.log.Warn().Uint64("index", index).Str("member", what.ConflictingPeer).Msg("another list under the same index")
	}
}
