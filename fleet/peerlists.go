package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"hollylever/consensus"
	"hollylever/membership"
)

const (
	// minComparisonInterval is between two comparisons of the endpoint lists that come with cards: a thousand cards come in a second, and each
	// comparison reads all of them.
	minComparisonInterval = 50 * time.Millisecond

	minFullCardInterval = int64(250 * time.Millisecond) // between two requests for whole cards, which are long
	maxFullCardRequests = 2                             // members that are asked at a time: any of them tells most of what is missing
	maxLoggedEndpoints  = 32                            // named in one line of the log
)

// peerLists is what the comparison of this process's endpoint list with its peers' keeps between two looks. It is Run's own.
type peerLists struct {
	timer           *time.Timer // of the next comparison
	comparedAt      int64
	fullCardsSentAt int64 // when whole cards were requested last
	own             consensus.ListRollbackGuard
	maxBehind       time.Duration // that this process's list may be behind a peer's before it is logged
	behind          consensus.PersistentCondition
	conflicts       bool // a peer has another list of the same index
}

// scheduleComparison has the lists compared, at once if they were not lately.
func (p *peerLists) scheduleComparison(now int64) {
	p.timer.Reset(time.Duration(max(0, p.comparedAt+int64(minComparisonInterval)-now)))
}

// card is what this process tells the others of itself.
func (f *Fleet) card() membership.MemberState {
	index, digest, drains := f.acts.EndpointList()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cardsSent++
	var ways []membership.ZoneEvacuation
	for _, zone := range f.zoneStatuses {
		if zone.Share > 0 {
			ways = append(ways, membership.ZoneEvacuation{Zone: zone.Zone, KeyFraction: zone.Share})
		}
	}
	return membership.MemberState{
		Name: f.name, Zone: f.zone, Incarnation: f.incarnation, Seq: f.cardsSent, SettingsDigest: f.settingsDigest,
		IsReplica: f.replica.state != nil, IsLeader: f.isLeader(),
		HasLease: f.effective.IsLeased, MinRevision: f.effective.MinRevision, LatestRevision: f.effective.LatestRevision,
		ListIndex: index, ListDigest: digest, Drains: drains, Evacuations: ways,
	}
}

// isLeader tells whether this process's replica leads. The caller holds mu.
func (f *Fleet) isLeader() bool { return f.replica.state != nil && f.replica.state.IsLeader() }

// liveMembers gives the members that were heard lately; none while the process before, over an upgrade, still is the member.
func (f *Fleet) liveMembers() (live []membership.Member) {
	if f.exchange == nil {
		return nil
	}
	for _, m := range f.exchange.Members() {
		if time.Since(m.LastSeen) <= maxSilence {
			live = append(live, m)
		}
	}
	return live
}

// maxSilence is how long a member without a card still takes part in outlier detection and in connection subsets: three announcements, so that two
// lost ones change nothing.
const maxSilence = 3 * announceInterval

// requestFullCards asks a few of these members, whose cards came without the end of their lists, for the whole of them. The members are drawn, so that a
// thousand processes do not ask the same two.
func (f *Fleet) requestFullCards(now int64, partial []string) {
	if len(partial) == 0 || now-f.peerLists.fullCardsSentAt < minFullCardInterval {
		return
	}
	f.peerLists.fullCardsSentAt = now
	for range min(maxFullCardRequests, len(partial)) {
		f.exchange.RequestFullState(partial[rand.IntN(len(partial))])
	}
}

// comparePeerLists takes from the peers' endpoint lists what is stricter than this process's own: endpoints that drain or are gone.
//
// Each process follows discovery by itself, and one whose watch has stalled would go on sending to an endpoint that shuts down. Its peers know, and
// a drain is safe to take from any of them; that an endpoint is ready again is taken from discovery alone.
func (f *Fleet) comparePeerLists() {
	f.peerLists.comparedAt = Now()
	index, digest, drains := f.acts.EndpointList()
	lists := f.highestOwnList(consensus.EndpointListState{Name: f.name, Index: index, Digest: digest, Drained: listedDrains(drains)})
	peers, partial := f.laterLists(index, digest)
	lists = append(lists, peers...)
	f.requestFullCards(f.peerLists.comparedAt, partial)
	result := consensus.CompareLists(index, digest, lists)
	f.applyPeerDrains(result.DrainedEndpoints)
	f.reportListState(index, result)
}

// highestOwnList gives this process's own earlier list where the present one has a lower index: what that one drained stays drained for a while.
// Otherwise a discovery that answers from an old state would bring endpoints back that are shut down.
func (f *Fleet) highestOwnList(present consensus.EndpointListState) []consensus.EndpointListState {
	earlier, wentBack := f.peerLists.own.Observe(Now(), present)
	if wentBack {
		f.log.Warn().Uint64("index", present.Index).Uint64("previous_index", earlier[0].Index).Msg("endpoint list index went back")
	}
	return earlier
}

// laterLists gives the lists of all members that are heard, with the drains of those that are later than this process's or contradict it, and which of
// these have told a part of their drains only.
func (f *Fleet) laterLists(index, digest uint64) (lists []consensus.EndpointListState, partial []string) {
	now := time.Now()
	for _, m := range f.exchange.Members() {
		if m.IsGone(now) || m.Name == f.name {
			continue
		}
		list := consensus.EndpointListState{Name: m.Name, Index: m.ListIndex, Digest: m.ListDigest}
		if m.ListIndex > index || m.ListIndex == index && m.ListDigest != digest {
			list.Drained = listedDrains(m.Drains)
			if m.IsPartial() {
				partial = append(partial, m.Name)
			}
		}
		lists = append(lists, list)
	}
	return lists, partial
}

func listedDrains(drains []membership.DrainedEndpoint) (listed []consensus.DrainedEndpoint) {
	for _, drain := range drains {
		listed = append(listed, consensus.DrainedEndpoint(drain))
	}
	return listed
}

// applyPeerDrains has the balancer send nothing new to these endpoints, in place of those that it was told before.
func (f *Fleet) applyPeerDrains(drains []string) {
	f.mu.Lock()
	haveChanged := !slices.Equal(drains, f.peerDrains)
	f.peerDrains = drains
	f.mu.Unlock()
	if haveChanged {
		f.acts.ApplyPeerDrains(drains)
		f.log.Info().Strs("endpoints", drains[:min(len(drains), maxLoggedEndpoints)]).Int("count", len(drains)).Msg("drains from peers' lists changed")
	}
}

// reportListState logs when this process's list has been behind a peer's for too long, and when one of the same index begins to contradict it.
func (f *Fleet) reportListState(index uint64, result consensus.ListComparison) {
	p := &f.peerLists
	if p.behind.Observe(Now(), result.PeerAhead != "", p.maxBehind) {
		f.log.Warn().Uint64("index", index).Str("member", result.PeerAhead).Uint64("member_index", result.LatestIndex).Msg("endpoint list behind a peer's")
	}
	conflicts := result.ConflictingPeer != ""
	if conflicts && !p.conflicts {
		f.log.Warn().Uint64("index", index).Str("member", result.ConflictingPeer).Msg("endpoint list differs from a peer's of the same index")
	}
	p.conflicts = conflicts
}
