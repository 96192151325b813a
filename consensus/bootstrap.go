package consensus

import (
	"maps"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// maxUnknownPeers bounds the incarnations without a name whose last message is remembered: a forged sender could
	// invent any number.
	maxUnknownPeers = 64
	// maxAnnouncedVoters bounds the voters in an announcement that is looked at: more than any fleet has.
	maxAnnouncedVoters = 256
	// bootstrapWindowHeartbeats and joinWindowHeartbeats are how old an announcement may be to count as said by a
	// replica that runs now: a bootstrap needs all replicas at once, a join can wait for a few that were lost.
	bootstrapWindowHeartbeats = 4
	joinWindowHeartbeats      = 8
)

// peerTable is what a replica knows of the other replicas. It outlasts terms.
type peerTable struct {
	names         map[uint64]string // of incarnations
	lastHeard     map[uint64]int64  // when raft messages of each incarnation came last
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

// recordHeard notes that an incarnation is alive.
func (t *peerTable) recordHeard(now int64, incarnation uint64) {
	if t.names[incarnation] != "" || len(t.lastHeard) < maxUnknownPeers {
		t.lastHeard[incarnation] = now
	}
}

// addVoters learns the names of the voters' incarnations.
func (t *peerTable) addVoters(voters map[string]uint64) {
	for name, incarnation := range voters {
		t.names[incarnation] = name
	}
}

// announceToAll tells all other replicas the incarnation and the voters that this one has.
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

// handleAnnouncement takes what another replica says of its state.
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
		r.err = r.startNode(now) // There is a history: the leader sends it, once this incarnation is a voter.
	case r.node != nil && len(a.Voters) == 0 && r.IsBootstrapped():
		r.announce(from)
	}
}

// tryBootstrap begins the history, if this replica is the first that the settings name and all others say that they
// know of none. A majority would not do: the others could be those that hold the history, and the fleet would act on
// two.
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

// bootstrap writes the first snapshot and announces its voters. The others, voters too, get the snapshot by raft.
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

// replaceLostIncarnation lets a replica in that came back without its state, or came new: its incarnation takes the
// place of its old one among the voters. It waits until the old one has been silent, and the last change of the
// voters has been over, for as long as a lease can last: else a replica that is only slow would lose its vote, and
// two changes in a row could take a majority's votes away.
func (r *Replica) replaceLostIncarnation(now int64) {
	for _, name := range r.replicas {
		a, isAnnounced := r.peers.announcements[name]
		old := r.state.Voters[name]
		if !isAnnounced || a.Incarnation == old || now-a.at > joinWindowHeartbeats*r.heartbeatInterval() {
			continue
		}
		unchangedSince := max(r.peers.lastHeard[old], r.leader.since, r.leader.memberChangeAt)
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
			r.leader.memberChangeAt = now
		}
		return // One change of the voters at a time: raft takes no second before the first is applied.
	}
}

// applyMemberChange takes up a change of the voters.
func (r *Replica) applyMemberChange(data []byte) {
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
	r.log.forceCompaction() // One that joins is sent a snapshot, and takes none that it is not in.
}
