package consensus

import (
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"hollylever/budgets"
)

const (
	// heartbeatsPerLease is how many heartbeats a leader sends within the duration of a lease: enough that a follower
	// only campaigns after it has missed several in a row.
	heartbeatsPerLease = 16
	// electionTimeoutsPerLease makes a follower campaign after a quarter to half of a lease duration without a leader.
	// Lease holders have the rest of their leases to find the next leader.
	electionTimeoutsPerLease = 4
	// raftElectionTicks is never reached. Raft's own election timer uses the system's random source, which would make
	// simulations irreproducible; electionTimer replaces it.
	raftElectionTicks = 1 << 30
	// maxRaftMessageBytes bounds the entries in one raft message, so that a follower that is far behind is not sent
	// all of them at once. A single entry that is larger is sent on its own.
	maxRaftMessageBytes = 64 << 10
	// maxRaftMessagesInFlight bounds how many messages are sent to a follower without an acknowledgement.
	maxRaftMessagesInFlight = 64
)

// Replica is one of the processes that decide on revisions by majority. It has a raft node, the replicated state and,
// while it leads, the leases that it granted and the proposals that it has to answer. It blocks only in its Storage. It
// is not safe for concurrent use. All times are nanoseconds on the process's own clock.
type Replica struct {
	Name        string
	incarnation uint64   // the raft ID, stored with the state; a replica that lost its state has a new one
	replicas    []string // names of all replicas, in the order of the settings; the first bootstraps the fleet
	timing      LeaseTiming
	sender      Sender
	random      func(n int) int // returns a number below n
	err         error           // why the replica stopped; nil while it runs

	node  *raft.RawNode // nil until the replica has a state or learns that a history exists
	log   raftLog
	state replicatedState
	term  uint64 // of the last hard state that was written since the start; 0 if none was

	nextTick int64
	election electionTimer
	peers    peerTable
	leader   leadership
}

// electionTimer decides when a follower campaigns.
type electionTimer struct {
	campaignAt    int64
	leaderHeardAt int64 // 0 if no leader was heard yet
}

// leadership is the state that only a leader has. becomeLeader and becomeFollower reset it, so that a request from one
// term of this replica's leadership is never answered in a later term.
type leadership struct {
	since               int64 // when this replica became the leader; 0 while it is not
	leases              leaseTable
	proposals           proposalTable
	proposedMinRevision uint64 // the last one that was proposed; it may not be committed yet
	voterChangeAt       int64  // when a change of the voters was last proposed; 0 if not in this term
}

// NewReplica starts a replica from the records of its storage, in their order. With records, the replica has the
// incarnation that is stored in them. Without records, it bootstraps a fleet or joins one, under the given incarnation.
// replicas are the names of all replicas, in the same order in each process; random returns a number below n.
// NewReplica returns an error if a record cannot be read, or if the first record cannot be written.
func NewReplica(now int64, name string, incarnation uint64, timing LeaseTiming, replicas []string, records [][]byte,
	storage Storage, sender Sender, random func(n int) int) (*Replica, error) {
	r := &Replica{
		Name:        name,
		incarnation: incarnation,
		replicas:    replicas,
		timing:      timing,
		sender:      sender,
		random:      random,
		log:         newRaftLog(storage),
		nextTick:    now,
		peers:       newPeerTable(),
		leader:      newLeadership(0),
	}
	if len(records) == 0 {
		if err := r.log.writeIncarnation(incarnation); err != nil {
			return nil, err
		}
		return r, nil
	}
	hasState, err := r.load(records)
	if err != nil {
		return nil, err
	}
	if hasState {
		if err := r.startNode(now); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// startNode starts the raft node.
func (r *Replica) startNode(now int64) (err error) {
	r.node, err = raft.NewRawNode(&raft.Config{
		ID:                        r.incarnation,
		ElectionTick:              raftElectionTicks,
		HeartbeatTick:             1,
		Storage:                   r.log.entries,
		Applied:                   r.log.applied,
		MaxSizePerMsg:             maxRaftMessageBytes,
		MaxInflightMsgs:           maxRaftMessagesInFlight,
		PreVote:                   true, // A replica that was partitioned does not raise the term when it returns.
		Logger:                    discardLogger{},
		DisableProposalForwarding: true, // Only the leader that issued a proposal's ticket writes the proposal.
	})
	r.resetElectionTimer(now)
	if err != nil {
		return fmt.Errorf("start raft node: %w", err)
	}
	return nil
}

// resetElectionTimer postpones the next campaign. It is called at the start, when a leader is heard, when another
// candidate gets this replica's vote, and when this replica campaigns.
func (r *Replica) resetElectionTimer(now int64) {
	timeout := r.electionTimeout()
	r.election.campaignAt = now + timeout + int64(r.random(int(timeout)))
}

// electionTimeout returns the shortest time without a leader after which a follower campaigns.
func (r *Replica) electionTimeout() int64 {
	return int64(r.timing.LeaseDuration) / electionTimeoutsPerLease
}

func (r *Replica) heartbeatInterval() int64 {
	return int64(r.timing.LeaseDuration) / heartbeatsPerLease
}

// IsLeader reports whether this replica considers itself the leader. Another replica may have become the leader
// already, so leases are only granted once a majority has confirmed the leadership.
func (r *Replica) IsLeader() bool { return r.leader.since != 0 }

// IsBootstrapped reports whether this replica has a history.
func (r *Replica) IsBootstrapped() bool { return r.node != nil && len(r.state.History) > 0 }

// History returns the revisions that this replica has, oldest first, and the min revision. The caller must not modify
// the revisions.
func (r *Replica) History() (revisions []Revision, minRevision uint64) {
	return r.state.History, r.state.MinRevision
}

// Err returns why the replica stopped: its storage failed, or a peer sent a message that raft cannot process. A stopped
// replica sends no messages. Err returns nil while the replica runs.
func (r *Replica) Err() error { return r.err }

// TimeUntilTick returns the time until Tick has something to do.
func (r *Replica) TimeUntilTick(now int64) time.Duration {
	return time.Duration(max(0, r.nextTick-now))
}

// Tick does what is due at this time: heartbeats, campaigns, announcements and timeouts. The caller calls it once
// TimeUntilTick has passed; earlier calls do nothing.
func (r *Replica) Tick(now int64) {
	if r.err != nil || now < r.nextTick {
		return
	}
	r.nextTick = now + r.heartbeatInterval()
	if r.node == nil {
		r.announceToAll()
		r.tryBootstrap(now)
		return
	}
	if r.state.Voters[r.Name] != r.incarnation {
		r.announceToAll() // It lost its state or is new: the announcement makes the leader add it to the voters.
	}
	r.node.Tick()
	if !r.IsLeader() && now >= r.election.campaignAt {
		r.resetElectionTimer(now)
		_ = r.node.Campaign() // It fails if this replica is not a voter; then there is nothing to do.
	}
	if r.IsLeader() {
		r.leaderTick(now)
	}
	r.processReady(now)
}

// leaderTick does the part of Tick that only a leader does.
func (r *Replica) leaderTick(now int64) {
	r.dropOverdueRequests(now)
	r.confirmLeadership(now)
	r.expireProposals(now)
	r.advanceMinRevision(now)
	r.admitIncarnation(now)
}

// HandleMessage processes a message from another process or from the lease holder of this process.
//
// Raft panics on messages that its own code never sends, but a faulty or forged peer can send them. HandleMessage
// recovers from the panic because this process also serves requests: only the replica stops, and Err names the peer.
func (r *Replica) HandleMessage(now int64, m *Message) {
	if r.err != nil {
		return
	}
	defer func() {
		if cause := recover(); cause != nil {
			r.err = fmt.Errorf("handle message from %s: raft panicked: %v", m.From, cause)
		}
	}()
	switch {
	case m.Announcement != nil:
		r.handleAnnouncement(now, m.From, m.Announcement)
	case r.node == nil:
		return
	case m.Raft != nil:
		r.stepRaft(now, m.Raft)
	case m.LeaseRequest != nil:
		r.handleLeaseRequest(now, m.From, *m.LeaseRequest)
	case m.Proposal != nil:
		r.handleProposal(now, m.From, *m.Proposal, m.Ticket)
	}
	r.processReady(now)
}

// stepRaft passes a message from another replica to raft.
func (r *Replica) stepRaft(now int64, data []byte) {
	m := &pb.Message{}
	if proto.Unmarshal(data, m) != nil || m.GetTo() != r.incarnation || raft.IsLocalMsg(m.GetType()) {
		return
	}
	r.peers.recordHeard(now, m.GetFrom())
	switch m.GetType() {
	case pb.MsgHeartbeat, pb.MsgApp, pb.MsgSnap:
		if m.GetTerm() >= r.term {
			r.resetElectionTimer(now)
			r.election.leaderHeardAt = now
		}
	case pb.MsgPreVote:
		// A replica that can send to the others but does not receive from the leader would repeatedly depose a leader
		// that all others hear. So replicas that hear the leader ignore its campaign.
		hearsLeader := r.election.leaderHeardAt != 0 && now-r.election.leaderHeardAt < r.electionTimeout()
		if r.IsLeader() || hearsLeader {
			return
		}
	}
	_ = r.node.Step(m) // Raft rejects messages from replicas that it does not know; they are dropped.
}

// knownLeader returns the name of the leader according to raft, or "" if there is none or its name is not known.
func (r *Replica) knownLeader() string { return r.peers.names[r.node.BasicStatus().Lead] }

// processReady processes everything that raft has ready. Records are persisted before any message is sent: if a vote or
// an acknowledgement were sent before it is on disk, the replica could vote again after a crash, and two leaders could
// have a majority in one term.
func (r *Replica) processReady(now int64) {
	for r.err == nil && r.node != nil && r.node.HasReady() {
		ready := r.node.Ready()
		if r.err = r.persistReady(now, &ready); r.err != nil {
			return
		}
		if ready.SoftState != nil {
			r.setLeadership(now, ready.RaftState == raft.StateLeader)
		}
		r.sendRaft(ready.Messages)
		for _, e := range ready.CommittedEntries {
			r.applyEntry(now, e)
		}
		for _, read := range ready.ReadStates {
			r.grantConfirmedLeases(now, decodeRequestNumber(read.RequestCtx), read.Index)
		}
		r.node.Advance(ready)
		if r.err == nil {
			r.err = r.compactLog()
		}
	}
}

// persistReady writes the hard state, entries and snapshot that raft has ready, and then adds them to the state in
// memory.
func (r *Replica) persistReady(now int64, ready *raft.Ready) error {
	if ready.HardState != nil && !raft.IsEmptyHardState(ready.HardState) {
		if vote := ready.GetVote(); vote != r.log.hardState.GetVote() && vote != r.incarnation {
			r.resetElectionTimer(now) // It voted for another candidate, which gets time to win.
		}
		r.term = ready.HardState.GetTerm()
	}
	if err := r.log.write(ready); err != nil {
		return fmt.Errorf("write replica log: %w", err)
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := r.restore(ready.Snapshot); err != nil {
			return err
		}
	}
	return r.log.append(ready)
}

// sendRaft sends raft's messages to the replicas whose names are known.
func (r *Replica) sendRaft(messages []*pb.Message) {
	for _, m := range messages {
		name := r.peers.names[m.GetTo()]
		if name == "" {
			continue
		}
		r.sender.Send(name, &Message{From: r.Name, Raft: marshalProto(m)})
		if m.GetType() == pb.MsgSnap {
			// Whether the snapshot arrives is not known here. Raft sends it again if the follower's responses show that
			// it did not.
			r.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
}

// setLeadership records whether this replica leads according to raft.
func (r *Replica) setLeadership(now int64, isLeading bool) {
	switch {
	case isLeading == r.IsLeader():
	case isLeading:
		r.becomeLeader(now)
	default:
		r.becomeFollower()
	}
}

// becomeLeader starts a leadership without leases and proposals. Until all leases of earlier leaders have expired, the
// min revision does not advance and budget shares do not grow.
func (r *Replica) becomeLeader(now int64) {
	r.leader = newLeadership(r.leader.leases.requestCount)
	r.leader.since = now
	if r.timing.MaxMembers > 0 {
		r.leader.leases.ledger = budgets.New(now, r.timing.MaxMembers, int64(r.timing.GranterTimeout()))
	}
}

// becomeFollower answers all waiting proposers that the result of their proposals is unknown: a later leader may still
// commit what was written. Tickets of the term are no longer valid.
func (r *Replica) becomeFollower() {
	for _, p := range r.leader.proposals.pending {
		r.answerProposal(p, &ProposalResult{ID: p.proposal.ID, Reason: reasonLeaderChanged})
	}
	r.leader = newLeadership(r.leader.leases.requestCount)
}

// newLeadership returns an empty leadership that continues the numbering of lease requests, so that a late confirmation
// from an earlier term is not mistaken for one of this term.
func newLeadership(requestCount uint64) leadership {
	return leadership{leases: leaseTable{requestCount: requestCount, granted: map[holderID]*grantedLease{}}}
}

// applyEntry applies a committed entry to the state.
func (r *Replica) applyEntry(now int64, e *pb.Entry) {
	r.log.applied = e.GetIndex()
	r.state.beginTerm(e.GetTerm())
	if e.GetType() == pb.EntryConfChangeV2 || e.GetType() == pb.EntryConfChange {
		r.applyVoterChange(e.GetData())
		return
	}
	var c command
	if len(e.GetData()) == 0 || strictDecoding.Unmarshal(e.GetData(), &c) != nil {
		return
	}
	// This replica wrote the entry, in the term that it still leads.
	isOwnEntry := r.IsLeader() && e.GetTerm() == r.term
	switch {
	case c.Propose != nil:
		r.applyProposal(now, c.Propose, e.GetTerm(), isOwnEntry)
	case c.Accept != "":
		r.applyAcceptance(c.Accept, isOwnEntry)
	case c.Withdraw != "":
		r.state.withdraw(c.Withdraw)
	case c.MinRevision != 0:
		r.state.MinRevision = max(r.state.MinRevision, min(c.MinRevision, r.state.latest().Number))
		if isOwnEntry {
			r.notifyHolders()
		}
	}
}

// proposeCommand proposes a command to raft and reports whether raft accepted it.
func (r *Replica) proposeCommand(c command) bool { return r.node.Propose(encode(c)) == nil }
