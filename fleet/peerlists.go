package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"hollylever/consensus"
	"hollylever/membership"
)

const (
	// minComparisonInterval is the least time between two comparisons of the members' endpoint lists: in a fleet of a
	// thousand, a thousand states come in a second, and each comparison reads all of them.
	minComparisonInterval = 50 * time.Millisecond

	minFullStateInterval = int64(250 * time.Millisecond) // between two requests for full states, which are long
	maxFullStateRequests = 2                             // at a time: one member tells most of what is missing
	maxLoggedEndpoints   = 32                            // named in one line of the log
)

// peerLists is what is kept between two comparisons of this process's endpoint list with its peers'. Run alone uses
// it.
type peerLists struct {
	timer                *time.Timer // of the next comparison
	comparedAt           int64
	fullStateRequestedAt int64 // on Now's clock
	rollbackGuard        consensus.ListRollbackGuard
	maxBehind            time.Duration // that this process's list may be behind a peer's before it is logged
	behind               consensus.PersistentCondition
	conflicts            bool // a peer has another list of the same index
}

// scheduleComparison has the lists compared as soon as minComparisonInterval allows.
func (p *peerLists) scheduleComparison(now int64) {
	p.timer.Reset(time.Duration(max(0, p.comparedAt+int64(minComparisonInterval)-now)))
}

// memberState returns what this process publishes of itself.
func (f *Fleet) memberState() membership.MemberState {
	index, digest, drains := f.balancer.EndpointList()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stateSeq++
	var evacuations []membership.ZoneEvacuation
	for _, zone := range f.zoneStatuses {
		if zone.Share > 0 {
			evacuations = append(evacuations, membership.ZoneEvacuation{Zone: zone.Zone, KeyFraction: zone.Share})
		}
	}
	return membership.MemberState{
		Name: f.name, Zone: f.zone, Incarnation: f.incarnation, Seq: f.stateSeq, SettingsDigest: f.settingsDigest,
		IsReplica: f.replica.state != nil, IsLeader: f.isLeader(),
		HasLease: f.effective.IsLeased, MinRevision: f.effective.MinRevision, LatestRevision: f.effective.LatestRevision,
		ListIndex: index, ListDigest: digest, Drains: drains, Evacuations: evacuations,
	}
}

// isLeader tells whether this process's replica leads. The caller holds mu.
func (f *Fleet) isLeader() bool { return f.replica.state != nil && f.replica.state.IsLeader() }

// liveMembers returns the members that were heard within maxSilence; none while the previous process, during an
// upgrade, still has the address.
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

// maxSilence is how long a member that publishes nothing still takes part in outlier detection and in connection
// subsets: three announcements, so that two lost ones change nothing.
const maxSilence = 3 * announceInterval

// requestFullStates asks a few of these members, whose states came with a part of their lists, for the whole. The
// members are drawn, so that a thousand processes do not ask the same two.
func (f *Fleet) requestFullStates(now int64, partial []string) {
	if len(partial) == 0 || now-f.peerLists.fullStateRequestedAt < minFullStateInterval {
		return
	}
	f.peerLists.fullStateRequestedAt = now
	for range min(maxFullStateRequests, len(partial)) {
		f.exchange.RequestFullState(partial[rand.IntN(len(partial))])
	}
}

// comparePeerLists takes from the peers' endpoint lists what is stricter than this process's own: endpoints that
// drain or are gone.
//
// Each process follows discovery by itself, and one whose watch has stalled would go on sending to an endpoint that
// shuts down, whose requests would then fail. A drain is safe to take from any peer; that an endpoint is ready again
// is taken from discovery alone.
func (f *Fleet) comparePeerLists() {
	f.peerLists.comparedAt = Now()
	index, digest, drains := f.balancer.EndpointList()
	own := consensus.EndpointListState{Name: f.name, Index: index, Digest: digest, Drained: convertDrains(drains)}
	lists := f.earlierOwnList(own)
	peers, partial := f.peerEndpointLists(index, digest)
	lists = append(lists, peers...)
	f.requestFullStates(f.peerLists.comparedAt, partial)
	result := consensus.CompareLists(index, digest, lists)
	f.applyPeerDrains(result.DrainedEndpoints)
	f.reportListState(index, result)
}

// earlierOwnList returns this process's own earlier list where the present one has a lower index: what that one
// drained stays drained for a while. Otherwise a discovery server that answers from an old state would bring back
// endpoints that have shut down.
func (f *Fleet) earlierOwnList(present consensus.EndpointListState) []consensus.EndpointListState {
	earlier, wentBack := f.peerLists.rollbackGuard.Observe(Now(), present)
	if wentBack {
		f.log.Warn().Uint64("index", present.Index).Uint64("previous_index", earlier[0].Index).
			Msg("endpoint list index went back")
	}
	return earlier
}

// peerEndpointLists returns the lists of the members that are there. Drains come with those that are later than this
// process's or contradict it; partial names which of these published a part of their drains only.
func (f *Fleet) peerEndpointLists(index, digest uint64) (lists []consensus.EndpointListState, partial []string) {
	now := time.Now()
	for _, m := range f.exchange.Members() {
		if m.IsGone(now) || m.Name == f.name {
			continue
		}
		list := consensus.EndpointListState{Name: m.Name, Index: m.ListIndex, Digest: m.ListDigest}
		if m.ListIndex > index || m.ListIndex == index && m.ListDigest != digest {
			list.Drained = convertDrains(m.Drains)
			if m.IsPartial() {
				partial = append(partial, m.Name)
			}
		}
		lists = append(lists, list)
	}
	return lists, partial
}

func convertDrains(drains []membership.DrainedEndpoint) (listed []consensus.DrainedEndpoint) {
	for _, drain := range drains {
		listed = append(listed, consensus.DrainedEndpoint(drain))
	}
	return listed
}

// applyPeerDrains has the balancer send nothing new to these endpoints. They replace those of the call before.
func (f *Fleet) applyPeerDrains(drains []string) {
	f.mu.Lock()
	haveChanged := !slices.Equal(drains, f.peerDrains)
	f.peerDrains = drains
	f.mu.Unlock()
	if haveChanged {
		f.balancer.ApplyPeerDrains(drains)
		f.log.Info().Strs("endpoints", drains[:min(len(drains), maxLoggedEndpoints)]).Int("count", len(drains)).
			Msg("drains from peers' lists changed")
	}
}

// reportListState logs when this process's list has been behind a peer's for too long, and when one of the same index
// begins to contradict it.
func (f *Fleet) reportListState(index uint64, result consensus.ListComparison) {
	p := &f.peerLists
	if p.behind.Observe(Now(), result.PeerAhead != "", p.maxBehind) {
		f.log.Warn().Uint64("index", index).Str("member", result.PeerAhead).Uint64("member_index", result.LatestIndex).
			Msg("endpoint list behind a peer's")
	}
	conflicts := result.ConflictingPeer != ""
	if conflicts && !p.conflicts {
		f.log.Warn().Uint64("index", index).Str("member", result.ConflictingPeer).
			Msg("endpoint list differs from a peer's of the same index")
	}
	p.conflicts = conflicts
}
