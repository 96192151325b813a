package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"hollylever/consensus"
	"hollylever/membership"
)

const (
	// minComparisonInterval is the least time between two comparisons of the members' endpoint lists. A fleet of a
	// thousand members publishes a thousand states per second, and each comparison reads all of them.
	minComparisonInterval = 50 * time.Millisecond

	minFullStateInterval = int64(250 * time.Millisecond) // between two rounds of requests, as full states are long
	maxFullStateRequests = 2                             // per round: one member has most of what is missing
	maxLoggedEndpoints   = 32                            // per log line
)

// peerLists is the state kept between comparisons of this process's endpoint list with its peers'. Only Run uses it.
type peerLists struct {
	timer                *time.Timer // fires when the next comparison is due
	comparedAt           int64       // on the clock of Now
	fullStateRequestedAt int64       // on the clock of Now
	rollbackGuard        consensus.ListRollbackGuard
	maxBehind            time.Duration // how long this process's list may be behind a peer's before that is logged
	behind               consensus.PersistentCondition
	conflicts            bool // a peer has a different list with the same index
}

// scheduleComparison schedules a comparison as soon as minComparisonInterval allows.
func (p *peerLists) scheduleComparison(now int64) {
	p.timer.Reset(time.Duration(max(0, p.comparedAt+int64(minComparisonInterval)-now)))
}

// memberState returns the state that this process publishes to the other members.
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

// isLeader reports whether this process's replica is the leader. The caller must hold mu.
func (f *Fleet) isLeader() bool { return f.replica.state != nil && f.replica.state.IsLeader() }

// liveMembers returns the members heard from within maxSilence. During an upgrade there are none while the previous
// process still holds the address.
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

// maxSilence is how long a silent member still counts for outlier detection and connection subsets: three announcement
// intervals, so that two lost announcements have no effect.
const maxSilence = 3 * announceInterval

// requestFullStates requests the full states of a few of the given members, whose published states contained only part
// of their lists. The members are chosen at random, so that a thousand processes do not all ask the same two.
func (f *Fleet) requestFullStates(now int64, partial []string) {
	if len(partial) == 0 || now-f.peerLists.fullStateRequestedAt < minFullStateInterval {
		return
	}
	f.peerLists.fullStateRequestedAt = now
	for range min(maxFullStateRequests, len(partial)) {
		f.exchange.RequestFullState(partial[rand.IntN(len(partial))])
	}
}

// comparePeerLists compares the endpoint lists and applies the drains of the peers' lists: endpoints that are draining
// or gone there.
//
// Each process watches discovery independently. If its watch stalls, it would keep sending requests to an endpoint that
// is shutting down, and they would fail. Drains are safe to accept from any peer; that an endpoint is ready again is
// accepted only from discovery.
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

// earlierOwnList returns this process's previous endpoint list if the present one has a lower index, so that the drains
// of the previous list stay in effect for a while. Otherwise a discovery server with outdated state would bring back
// endpoints that have shut down.
func (f *Fleet) earlierOwnList(present consensus.EndpointListState) []consensus.EndpointListState {
	earlier, wentBack := f.peerLists.rollbackGuard.Observe(Now(), present)
	if wentBack {
		f.log.Warn().Uint64("index", present.Index).Uint64("previous_index", earlier[0].Index).
			Msg("endpoint list index went back")
	}
	return earlier
}

// peerEndpointLists returns the endpoint lists of the peers that are not gone. Only lists that are later than this
// process's or conflict with it include their drains; partial names the peers of those lists that published only part
// of their drains.
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

// applyPeerDrains sets the endpoints to which the balancer sends no new requests because of peers' lists, replacing
// those of the previous call.
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

// reportListState logs when this process's list has been behind a peer's for too long, and when a peer's list of the
// same index starts to differ from it.
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
