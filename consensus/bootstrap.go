package consensus

import (
	"maps"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// maxUnknownPeers bounds the records of the last message of each incarnation: one of unknown name is recorded only
	// while fewer than this many are recorded in all. A forged sender could invent any number of incarnations.
	maxUnknownPeers = 64
	// maxAnnouncedVoters bounds the voters in an announcement; one with more is ignored. No fleet has that many voters.
	maxAnnouncedVoters = 256
	// An announcement up to this many heartbeat intervals old shows that its sender is running. A bootstrap needs all
	// replicas at the same time; a join tolerates a few lost announcements.
	bootstrapWindowHeartbeats = 4
	joinWindowHeartbeats      = 8
)

// peerTable is what a replica knows about the other replicas. It is kept across terms.
type peerTable struct {
	names         map[uint64]string // replica names by incarnation
	lastHeard     map[uint64]int64  // when the last raft message of each incarnation arrived
	announcements map[string]receivedAnnouncement
}

type receivedAnnouncement struct {
	Announcement
	at int64
}

func newPeerTable() peerTable {
	return peerTable{
		names:         map[uint64]string{},
		lastHeard:     map[uint64]int64{},
		announcements: map[string]receivedAnnouncement{},
	}
}

// recordHeard records that a raft message from an incarnation has arrived.
func (t *peerTable) recordHeard(now int64, incarnation uint64) {
	if t.names[incarnation] != "" || len(t.lastHeard) < maxUnknownPeers {
		t.lastHeard[incarnation] = now
	}
}

// addVoters adds the names of the voters' incarnations.
func (t *peerTable) addVoters(voters map[string]uint64) {
	for name, incarnation := range voters {
		t.names[incarnation] = name
	}
}

func (r *Replica) announceToAll() {
	for _, name := range r.replicas {
		if name != r.Name {
			r.announce(name)
		}
	}
}

func (r *Replica) announce(to string) {
	announcement := &Announcement{Incarnation: r.incarnation, Voters: maps.Clone(r.state.Voters)}
	r.sender.Send(to, &Message{From: r.Name, Announcement: announcement})
}

// handleAnnouncement records an announcement. A replica without a raft node starts one when the sender knows a history;
// a replica with a history answers a sender that knows none.
func (r *Replica) handleAnnouncement(now int64, from string, a *Announcement) {
	if !slices.Contains(r.replicas, from) || from == r.Name || len(a.Voters) > maxAnnouncedVoters {
		return
	}
	r.peers.announcements[from] = receivedAnnouncement{*a, now}
	r.peers.names[a.Incarnation] = from
	for name, incarnation := range a.Voters {
		if slices.Contains(r.replicas, name) {
			r.peers.names[incarnation] = name
		}
	}
	switch {
	case r.node == nil && len(a.Voters) > 0:
		r.err = r.startNode(now) // The leader sends the history once this incarnation is a voter.
	case r.node != nil && len(a.Voters) == 0 && r.IsBootstrapped():
		r.announce(from)
	}
}

// tryBootstrap starts a history (the replicated log of revisions) if this replica is the first in the settings and all
// others have announced that they know none. A majority is not enough: the remaining replicas could be the ones that
// have the history, and the fleet would then have two histories.
func (r *Replica) tryBootstrap(now int64) {
	if r.replicas[0] != r.Name {
		return
	}
	voters := map[string]uint64{r.Name: r.incarnation}
	for _, name := range r.replicas[1:] {
		a, isAnnounced := r.peers.announcements[name]
		if !isAnnounced || len(a.Voters) > 0 || now-a.at > bootstrapWindowHeartbeats*r.heartbeatInterval() {
			return
		}
		voters[name] = a.Incarnation
	}
	r.bootstrap(now, voters)
}

// bootstrap writes the first snapshot and announces its voters. The other voters receive the snapshot through raft.
func (r *Replica) bootstrap(now int64, voters map[string]uint64) {
	first := initialState(r.incarnation, voters)
	snapshot := &pb.Snapshot{
		Data: first.marshal(),
		Metadata: &pb.SnapshotMetadata{
			Index:     new(uint64(1)),
			Term:      new(uint64(1)),
			ConfState: &pb.ConfState{Voters: slices.Sorted(maps.Values(voters))},
		},
	}
	hard := &pb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))}
	if r.err = r.log.writeBootstrap(snapshot, hard); r.err != nil {
		return
	}
	if r.err = r.restore(snapshot); r.err == nil {
		r.log.setHardState(hard)
		r.err = r.startNode(now)
	}
	r.announceToAll()
}

// admitIncarnation adds a replica that lost its state, or is new, to the voters: its incarnation replaces its old one.
// For as long as a lease can last, this leader must have led, the old incarnation must have been silent and no other
// change of the voters may have been proposed. Otherwise, a replica that is only slow would lose its vote, and two
// successive changes could remove the votes of a majority.
func (r *Replica) admitIncarnation(now int64) {
	for _, name := range r.replicas {
		a, isAnnounced := r.peers.announcements[name]
		old := r.state.Voters[name]
		if !isAnnounced || a.Incarnation == old || now-a.at > joinWindowHeartbeats*r.heartbeatInterval() {
			continue
		}
		unchangedSince := max(r.peers.lastHeard[old], r.leader.since, r.leader.voterChangeAt)
		if now-unchangedSince < int64(r.timing.GranterTimeout()) {
			continue
		}
		changes := []*pb.ConfChangeSingle{{Type: pb.ConfChangeAddNode.Enum(), NodeId: new(a.Incarnation)}}
		if old != 0 {
			changes = append(changes, &pb.ConfChangeSingle{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: new(old)})
		}
		r.peers.names[a.Incarnation] = name
		context := encode(map[string]uint64{name: a.Incarnation})
		if r.node.ProposeConfChange(&pb.ConfChangeV2{Changes: changes, Context: context}) == nil {
			r.leader.voterChangeAt = now
		}
		return // One change of the voters at a time: raft accepts no second one before the first is applied.
	}
}

// applyVoterChange applies a committed change of the voters.
func (r *Replica) applyVoterChange(data []byte) {
	change := &pb.ConfChangeV2{}
	if proto.Unmarshal(data, change) != nil {
		return
	}
	var voters map[string]uint64
	if strictDecoding.Unmarshal(change.GetContext(), &voters) == nil && len(voters) > 0 {
		r.state.Voters = maps.Clone(r.state.Voters)
		maps.Copy(r.state.Voters, voters)
		r.peers.addVoters(r.state.Voters)
	}
	r.log.confState = r.node.ApplyConfChange(change)
	r.log.forceCompaction() // A joining replica is sent a snapshot, and rejects one whose voters do not include it.
}
