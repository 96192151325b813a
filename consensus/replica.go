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
	// heartbeatsPerLease is how often a leader is heard within the length of a lease: often enough that a follower
	// misses several in a row before it campaigns.
	heartbeatsPerLease = 16
	// electionTimeoutsPerLease makes a follower campaign after a quarter to half of a lease without a leader. That
	// leaves holders the rest of their leases to hear of the next leader.
	electionTimeoutsPerLease = 4
	// raftElectionTicks is never reached: raft's own election timer draws from the system's chance, and no run could
	// be repeated from its seed. electionTimer takes its place.
	raftElectionTicks = 1 << 30
	// maxRaftMessageBytes bounds the entries in one raft message: a follower that is far behind is not sent all of
	// them at once. A single larger entry goes alone.
	maxRaftMessageBytes = 64 << 10
	// maxRaftMessagesInFlight bounds what is sent to a follower that does not answer.
	maxRaftMessagesInFlight = 64
)

// Replica is one of the processes whose majority decides which revisions are in force: a raft node, the replicated
// state and, while it leads, the leases and the proposals that it answers for. It never blocks but in its Storage,
// and it does not lock: one goroutine calls all methods. All times are nanoseconds of that process's own clock.
type Replica struct {
	Name        string
	incarnation uint64   // raft's ID, which goes with the stored state: a replica that lost that has another
	replicas    []string // names of all replicas, in the order of the settings: the first bootstraps the fleet
	timing      LeaseTiming
	sender      Sender
	random      func(n int) int // draws below n
	err         error           // why it stopped; nil while it runs

	node  *raft.RawNode // nil until the replica has a state or has heard of one
	log   raftLog
	state replicatedState
	term  uint64 // of the last hard state that was written since the start; 0: none yet

	nextTick int64
	election electionTimer
	peers    peerTable
	leader   leadership
}

// electionTimer decides when a follower campaigns.
type electionTimer struct {
	campaignAt    int64
	leaderHeardAt int64 // 0: never
}

// leadership is what only a leader has. becomeLeader and becomeFollower begin it anew, so nothing that an earlier
// leader of this replica was asked is answered in a later term.
type leadership struct {
	since               int64 // 0: this replica does not take itself for the leader
	leases              leaseTable
	proposals           proposalTable
	proposedMinRevision uint64 // the last that was proposed and may not be committed yet
	memberChangeAt      int64  // when a change of the voters was proposed last; 0: not in this term
}

// NewReplica opens a replica with the records that its storage has, in their order. Without records it bootstraps a
// fleet or joins one, under the given incarnation; with records it has theirs. replicas are the names of all
// replicas, the same in the same order at each; random draws below n. An error tells which record cannot be read, or
// that the first one cannot be written.
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

// startNode begins to take part in raft.
func (r *Replica) startNode(now int64) (err error) {
	r.node, err = raft.NewRawNode(&raft.Config{
		ID:                        r.incarnation,
		ElectionTick:              raftElectionTicks,
		HeartbeatTick:             1,
		Storage:                   r.log.entries,
		Applied:                   r.log.applied,
		MaxSizePerMsg:             maxRaftMessageBytes,
		MaxInflightMsgs:           maxRaftMessagesInFlight,
		PreVote:                   true, // One that was cut off does not raise the term when it comes back.
		Logger:                    discardLogger{},
		DisableProposalForwarding: true, // A proposal is written by the leader that issued its ticket, or by none.
	})
	r.resetElectionTimer(now)
	if err != nil {
		return fmt.Errorf("start raft node: %w", err)
	}
	return nil
}

// resetElectionTimer puts the next campaign off, as a leader was heard or another candidate got this replica's vote.
func (r *Replica) resetElectionTimer(now int64) {
	timeout := r.electionTimeout()
	r.election.campaignAt = now + timeout + int64(r.random(int(timeout)))
}

// electionTimeout is the shortest time without a leader after which a follower campaigns.
func (r *Replica) electionTimeout() int64 {
	return int64(r.timing.LeaseDuration) / electionTimeoutsPerLease
}

func (r *Replica) heartbeatInterval() int64 {
	return int64(r.timing.LeaseDuration) / heartbeatsPerLease
}

// IsLeader tells whether this replica takes itself for the leader. Another may lead already; a lease is only granted
// once a majority has confirmed this one.
func (r *Replica) IsLeader() bool { return r.leader.since != 0 }

// IsBootstrapped tells whether this replica knows a history.
func (r *Replica) IsBootstrapped() bool { return r.node != nil && len(r.state.History) > 0 }

// History returns the revisions that this replica has, oldest first, and the lowest one that a lease can be under.
// The caller does not change them.
func (r *Replica) History() (revisions []Revision, minRevision uint64) {
	return r.state.History, r.state.MinRevision
}

// Err returns why the replica stopped: its storage failed, or a peer sent what raft cannot take. From then on it
// neither sends nor answers. It is nil while the replica runs.
func (r *Replica) Err() error { return r.err }

// TimeUntilTick is how long Tick has nothing to do.
func (r *Replica) TimeUntilTick(now int64) time.Duration {
	return time.Duration(max(0, r.nextTick-now))
}

// Tick does what is due at this time: heartbeats, campaigns, announcements, time-outs. The driver calls it once
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
		r.announceToAll() // It lost its state or is new: the leader lets it in when it hears this.
	}
	r.node.Tick()
	if !r.IsLeader() && now >= r.election.campaignAt {
		r.resetElectionTimer(now)
		_ = r.node.Campaign() // It fails where this replica is no voter, and then there is nothing to do.
	}
	if r.IsLeader() {
		r.leaderTick(now)
	}
	r.processReady(now)
}

// leaderTick does what only a leader does.
func (r *Replica) leaderTick(now int64) {
	r.dropOverdueRequests(now)
	r.confirmLeadership(now)
	r.expireProposals(now)
	r.advanceMinRevision(now)
	r.replaceLostIncarnation(now)
}

// HandleMessage takes a message of another process, or of this one's lease holder.
//
// Raft panics at messages that its own code never sends. A peer that is faulty or forged can send one, and without
// the guard it would end this process, which serves requests too. So the replica stops alone, and Err tells which
// peer sent it.
func (r *Replica) HandleMessage(now int64, m *Message) {
	if r.err != nil {
		return
	}
	defer func() {
		if cause := recover(); cause != nil {
			r.err = fmt.Errorf("handle message of %s: raft panicked: %v", m.From, cause)
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

// stepRaft hands a message of another replica to raft.
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
		// A replica that no longer hears the leader, but is heard, would unseat a leader that all others hear, again
		// and again: those who hear the leader ignore it.
		hearsLeader := r.election.leaderHeardAt != 0 && now-r.election.leaderHeardAt < r.electionTimeout()
		if r.IsLeader() || hearsLeader {
			return
		}
	}
	_ = r.node.Step(m) // Raft refuses messages of replicas that it does not know: they are dropped.
}

// knownLeader is the name of the leader as raft has it; "" where there is none or its name is not known.
func (r *Replica) knownLeader() string { return r.peers.names[r.node.BasicStatus().Lead] }

// processReady carries out all that raft has ready. What has to last is written before anything is sent: a vote or an
// acknowledgement that leaves before it is on disk can be given a second time after a crash, and then two leaders
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
			r.grantConfirmedLeases(now, requestNumber(read.RequestCtx), read.Index)
		}
		r.node.Advance(ready)
		if r.err == nil {
			r.err = r.compactLog()
		}
	}
}

// persistReady writes the hard state, entries and snapshot that raft has ready, and takes them up.
func (r *Replica) persistReady(now int64, ready *raft.Ready) error {
	if ready.HardState != nil && !raft.IsEmptyHardState(ready.HardState) {
		if vote := ready.GetVote(); vote != r.log.hardState.GetVote() && vote != r.incarnation {
			r.resetElectionTimer(now) // It voted for another, which gets its time.
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

// sendRaft sends raft's messages to those replicas whose names are known.
func (r *Replica) sendRaft(messages []*pb.Message) {
	for _, m := range messages {
		name := r.peers.names[m.GetTo()]
		if name == "" {
			continue
		}
		r.sender.Send(name, &Message{From: r.Name, Raft: marshalProto(m)})
		if m.GetType() == pb.MsgSnap {
			// Whether it arrives is not known here; raft sends it again if the follower's answers show that it did
			// not.
			r.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
}

// setLeadership takes up what raft says of who leads.
func (r *Replica) setLeadership(now int64, isLeading bool) {
	switch {
	case isLeading == r.IsLeader():
	case isLeading:
		r.becomeLeader(now)
	default:
		r.becomeFollower()
	}
}

// becomeLeader begins without leases and proposals. The min revision stays where it is until all leases of earlier
// leaders have expired, and budget shares do not grow until then.
func (r *Replica) becomeLeader(now int64) {
	r.leader = newLeadership(r.leader.leases.requestCount)
	r.leader.since = now
	if r.timing.MaxMembers > 0 {
		r.leader.leases.ledger = budgets.New(now, r.timing.MaxMembers, int64(r.timing.GranterTimeout()))
	}
}

// becomeFollower tells the proposers who wait that their proposals' fate is open: a later leader may still commit
// what was written. Tickets of the term are void from here on.
func (r *Replica) becomeFollower() {
	for _, p := range r.leader.proposals.pending {
		r.answerProposal(p, &ProposalResult{ID: p.proposal.ID, Reason: reasonLeaderChanged})
	}
	r.leader = newLeadership(r.leader.leases.requestCount)
}

// newLeadership is empty, but the numbers of lease requests go on: a late confirmation of an earlier term is then not
// taken for one of this.
func newLeadership(requestCount uint64) leadership {
	return leadership{leases: leaseTable{requestCount: requestCount, granted: map[holderID]*grantedLease{}}}
}

// applyEntry takes up an entry that a majority has written.
func (r *Replica) applyEntry(now int64, e *pb.Entry) {
	r.log.applied = e.GetIndex()
	r.state.beginTerm(e.GetTerm())
	if e.GetType() == pb.EntryConfChangeV2 || e.GetType() == pb.EntryConfChange {
		r.applyMemberChange(e.GetData())
		return
	}
	var c command
	if len(e.GetData()) == 0 || strictDecoding.Unmarshal(e.GetData(), &c) != nil {
		return
	}
	isOwnEntry := r.IsLeader() && e.GetTerm() == r.term // This replica wrote it, in the term in which it still leads.
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

// proposeCommand hands a command to raft, and tells whether raft took it.
func (r *Replica) proposeCommand(c command) bool { return r.node.Propose(encode(c)) == nil }
