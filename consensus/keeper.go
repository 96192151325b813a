package consensus

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"hollylever/budgets"
	"hollylever/fleetconfig"
)

// Lasting is where a keeper's records go. What Add was given is there after any crash once it has returned; Swap puts records
// in the place of all that were there, or changes nothing.
type Storage interface {
	Append(records [][]byte) error
	Replace(records [][]byte) error
}

const (
	beats       = 16      // to a lease: how often whoever leads is heard
	entriesKept = 512     // before the log is made short
	bytesKept   = 4 << 20 // or so many of them
	answerIn    = 5 * time.Second
	maxAsking   = 2 * fleetconfig.MaxMembers // asks that wait for a majority's word: over an upgrade there are two of each
	maxHolders  = 2 * fleetconfig.MaxMembers
	maxOpen     = 64            // proposals that wait
	maxOpenSize = 2 * maxChange // and their bytes: they are a part of the state
)

// record is one that lasts. A part of it is there.
type record struct {
	Life     uint64 `cbor:"1,keyasint,omitempty"`
	Hard     []byte `cbor:"2,keyasint,omitempty"`
	Entry    []byte `cbor:"3,keyasint,omitempty"`
	Snapshot []byte `cbor:"4,keyasint,omitempty"`
}

// Keeper is one of those whose majority accepts versions. Chance draws below n. It does not lock: one caller at a time.
type Replica struct {
	Name    string
	life    uint64
	terms   LeaseTiming
	names   []string // of all keepers
	net     Sender
	lasting Storage
	chance  func(n int) int
	broken  error // what kept it from writing: it is silent from then on

	node    *raft.RawNode // nil: it knows nothing yet
	storage *raft.MemoryStorage
	conf    *pb.ConfState
	hard    *pb.HardState
	state   state
	applied uint64
	kept    int // entries since the last snapshot
	weighs  int // their bytes

	beatAt, campaignAt int64
	leaderAt           int64 // when one that leads was heard
	ledAt              int64 // since when it leads; 0: it does not
	term               uint64
	heardOf            map[uint64]int64 // when each life of a keeper was last heard
	hellos             map[string]heardHello
	ids                map[uint64]string // names of lives

	asking   []asking
	asked    uint64 // of them, ever
	reading  uint64 // up to which a majority is being asked whether this one leads
	readAt   int64
	holders  map[holder]*holding
	ledger   *budgets.Ledger // of parts, if it leads and budgets are divided
	open     []open          // proposals, if it leads
	said     []said
	moving   uint64 // the floor that has been proposed
	changing int64  // when a change of members was proposed last
}

type asking struct {
	from string
	ask  LeaseRequest
	at   int64
	n    uint64
}

// holder is one life of a process: one that came back under the same name, or the second over an upgrade, is another.
type holder = budgets.Holder

// holding is what it said it knows, and when its lease is over on any clock, on this one.
type holding struct {
	known uint64
	sent  uint64 // the last version that it was sent, which may have been lost
	steps bool   // it takes steps
	ends  int64
}

type open struct {
	change   Proposal
	from     string
	until    int64
	accepted bool // the second entry is written
	size     int  // bytes of the change
}

// said is a no that was sure, and when.
type said struct {
	ProposalResult
	at int64
}

type heardHello struct {
	Announcement
	at int64
}

// NewKeeper begins a keeper with the records that its Lasting had; with none it founds or joins. life is taken where it has none yet.
func NewReplica(now int64, name string, life uint64, terms LeaseTiming, names []string, records [][]byte, lasting Storage, net Sender,
	chance func(n int) int) (*Replica, error) {
	k := &Replica{Name: name, life: life, terms: terms, names: names, net: net, lasting: lasting, chance: chance, beatAt: now,
		storage: raft.NewMemoryStorage(), hard: &pb.HardState{}, conf: &pb.ConfState{}, heardOf: map[uint64]int64{}, hellos: map[string]heardHello{},
		ids: map[uint64]string{}, holders: map[holder]*holding{}}
	if len(records) == 0 {
		return k, lasting.Append([][]byte{pack(record{Life: life})})
	}
	known := false
	for n, bytes := range records {
		var r record
		if err := strict.Unmarshal(bytes, &r); err != nil || n == 0 && r.Life == 0 {
			return nil, fmt.Errorf("record %d of what lasts: not a keeper's", n)
		}
		switch {
		case n == 0:
			k.life = r.Life
		case r.Hard != nil:
			hard := &pb.HardState{}
			if err := proto.Unmarshal(r.Hard, hard); err != nil {
				return nil, err
			}
			k.hard, known = hard, true
		case r.Entry != nil:
			e := &pb.Entry{}
			if err := proto.Unmarshal(r.Entry, e); err != nil {
				return nil, err
			}
			if err := k.storage.Append([]*pb.Entry{e}); err != nil {
				return nil, err
			}
			k.kept, known = k.kept+1, true
		case r.Snapshot != nil:
			s := &pb.Snapshot{}
			if err := proto.Unmarshal(r.Snapshot, s); err != nil {
				return nil, err
			}
			if err := k.restore(s); err != nil {
				return nil, err
			}
			known = true
		}
	}
	if known {
		k.storage.SetHardState(k.hard)
		return k, k.start(now)
	}
	return k, nil
}

// restore takes a snapshot as what the state is.
func (k *Replica) restore(s *pb.Snapshot) error {
	of, err := unpackState(s.GetData())
	if err != nil || len(of.History) == 0 || of.History[0].Number > of.Floor || of.Floor > of.latest().Number {
		return errors.New("a snapshot that is none")
	}
	if err := k.storage.ApplySnapshot(s); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
		return err
	}
	k.state, k.applied, k.conf, k.kept = of, s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState(), 0
	k.called()
	return nil
}

// called knows the names of lives.
func (k *Replica) called() {
	for name, life := range k.state.Voters {
		k.ids[life] = name
	}
}

// silent is raft's log: what matters shows in our own figures. What raft takes for impossible is a panic, as ever.
type silent struct{}

func (silent) Debug(...any)            {}
func (silent) Debugf(string, ...any)   {}
func (silent) Error(...any)            {}
func (silent) Errorf(string, ...any)   {}
func (silent) Info(...any)             {}
func (silent) Infof(string, ...any)    {}
func (silent) Warning(...any)          {}
func (silent) Warningf(string, ...any) {}
func (silent) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (silent) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (silent) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (silent) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

func (k *Replica) start(now int64) (err error) {
	// Raft's own election timer never ends: ours has its chance handed in, so that a run can be repeated.
	k.node, err = raft.NewRawNode(&raft.Config{ID: k.life, ElectionTick: 1 << 30, HeartbeatTick: 1, Storage: k.storage, Applied: k.applied,
		MaxSizePerMsg: 64 << 10, MaxInflightMsgs: 64, PreVote: true, Logger: silent{}, DisableProposalForwarding: true})
	k.later(now)
	return err
}

// later puts the next campaign off: whoever leads was heard.
func (k *Replica) later(now int64) {
	quarter := int64(k.terms.LeaseDuration) / 4
	k.campaignAt = now + quarter + int64(k.chance(int(quarter)))
}

func (k *Replica) beat() int64 { return int64(k.terms.LeaseDuration) / beats }

// Leads tells whether this keeper takes itself for the one that leads.
func (k *Replica) IsLeader() bool { return k.ledAt != 0 }

// Founded tells whether it knows a history.
func (k *Replica) IsBootstrapped() bool { return k.node != nil && len(k.state.History) > 0 }

// History is what it knows, and the floor.
func (k *Replica) History() ([]Revision, uint64) { return k.state.History, k.state.Floor }

// Broken is why it is silent, if it is.
func (k *Replica) Err() error { return k.broken }

// Holders are how many hold a lease of this one.
func (k *Replica) ActiveLeases(now int64) (n int) {
	for _, h := range k.holders {
		if h.ends > now {
			n++
		}
	}
	return n
}

// Wait is how long nothing is to be done.
func (k *Replica) TimeUntilTick(now int64) time.Duration { return time.Duration(max(0, k.beatAt-now)) }

// Look does what is due.
func (k *Replica) Tick(now int64) {
	if k.broken != nil || now < k.beatAt {
		return
	}
	k.beatAt = now + k.beat()
	if k.node == nil {
		k.greet(now, "")
		k.found(now)
		return
	}
	if k.state.Voters[k.Name] != k.life {
		k.greet(now, "") // Its state was lost: it asks to join.
	}
	k.node.Tick()
	if !k.IsLeader() && now >= k.campaignAt {
		k.later(now)
		k.node.Campaign()
	}
	k.lead(now)
	k.settle(now)
}

// greet tells the other keepers, or one, what this one has.
func (k *Replica) greet(now int64, to string) {
	for _, name := range k.names {
		if name != k.Name && (to == "" || to == name) {
			k.net.Send(name, &Message{From: k.Name, Announcement: &Announcement{Incarnation: k.life, Voters: maps.Clone(k.state.Voters)}})
		}
	}
}

// found begins the history, if this is the first keeper named and no other knows of any.
func (k *Replica) found(now int64) {
	if k.names[0] != k.Name {
		return
	}
	voters := map[string]uint64{k.Name: k.life}
	for _, name := range k.names[1:] {
		h, heard := k.hellos[name]
		if !heard || len(h.Voters) > 0 || now-h.at > 4*k.beat() {
			return
		}
		voters[name] = h.Incarnation
	}
	k.begin(now, voters)
}

// begin takes a founding: all that were there have the same first snapshot.
func (k *Replica) begin(now int64, voters map[string]uint64) {
	first := founding(k.life, voters)
	lives := slices.Sorted(maps.Values(voters))
	s := &pb.Snapshot{Data: first.packed(), Metadata: &pb.SnapshotMetadata{Index: new(uint64(1)), Term: new(uint64(1)),
		ConfState: &pb.ConfState{Voters: lives}}}
	k.hard = &pb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))}
	if k.broken = k.lasting.Append([][]byte{pack(record{Snapshot: mustProto(s)}), pack(record{Hard: mustProto(k.hard)})}); k.broken != nil {
		return
	}
	if k.broken = k.restore(s); k.broken == nil {
		k.storage.SetHardState(k.hard)
		k.broken = k.start(now)
	}
	k.greet(now, "")
}

func mustProto(m proto.Message) []byte {
	bytes, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err) // All that is written is raft's own.
	}
	return bytes
}

// Heard takes a message of another process.
func (k *Replica) HandleMessage(now int64, m *Message) {
	if k.broken != nil {
		return
	}
	defer func() {
		if odd := recover(); odd != nil { // Guards the process: raft takes some messages for impossible, and an odd peer can send them.
			k.broken = fmt.Errorf("of %s: %v", m.From, odd)
		}
	}()
	switch {
	case m.Announcement != nil:
		k.greeted(now, m.From, m.Announcement)
	case k.node == nil:
		return
	case m.Raft != nil:
		k.step(now, m.Raft)
	case m.LeaseRequest != nil:
		k.ask(now, m.From, *m.LeaseRequest)
	case m.Proposal != nil:
		k.propose(now, m.From, *m.Proposal, m.Ticket)
	}
	k.settle(now)
}

func (k *Replica) greeted(now int64, from string, h *Announcement) {
	if !slices.Contains(k.names, from) || from == k.Name || len(h.Voters) > maxText {
		return
	}
	k.hellos[from] = heardHello{*h, now}
	k.ids[h.Incarnation] = from
	for name, life := range h.Voters {
		if slices.Contains(k.names, name) {
			k.ids[life] = name
		}
	}
	switch {
	case k.node == nil && len(h.Voters) > 0:
		k.broken = k.start(now) // There is a history: whoever leads sends it, after a swap of lives if this one is not in it.
	case k.node != nil && len(h.Voters) == 0 && k.IsBootstrapped():
		k.greet(now, from)
	}
}

func (k *Replica) step(now int64, bytes []byte) {
	m := &pb.Message{}
	if proto.Unmarshal(bytes, m) != nil || m.GetTo() != k.life || raft.IsLocalMsg(m.GetType()) {
		return
	}
	if k.ids[m.GetFrom()] != "" || len(k.heardOf) < maxOpen {
		k.heardOf[m.GetFrom()] = now
	}
	switch m.GetType() {
	case pb.MsgHeartbeat, pb.MsgApp, pb.MsgSnap:
		if m.GetTerm() >= k.term {
			k.later(now)
			k.leaderAt = now
		}
	case pb.MsgPreVote: // Guards who leads against one that does not hear it: others do.
		if k.IsLeader() || k.leaderAt != 0 && now-k.leaderAt < int64(k.terms.LeaseDuration)/4 {
			return
		}
	}
	k.node.Step(m)
}

// ask takes an ask for a lease: whoever leads has a majority say so before it grants.
func (k *Replica) ask(now int64, from string, a LeaseRequest) {
	if !k.IsLeader() {
		if leader := k.ids[k.node.BasicStatus().Lead]; leader != "" {
			k.net.Send(from, &Message{From: k.Name, LeaseResponse: &LeaseResponse{Leader: leader}})
		}
		return
	}
	if len(k.asking) < maxAsking {
		k.asked++
		k.asking = append(k.asking, asking{from, a, now, k.asked})
	}
	k.confirm(now)
}

// confirm asks the majority whether this one leads, on behalf of all asks so far.
func (k *Replica) confirm(now int64) {
	if len(k.asking) == 0 || k.reading != 0 && now-k.readAt < k.beat() {
		return
	}
	k.reading, k.readAt = k.asked, now
	k.node.ReadIndex([]byte(fmt.Sprint(k.asked)))
}

// confirmed: a majority said, after these asks came, that this one leads.
func (k *Replica) confirmed(now int64, upTo, index uint64) {
	if !k.IsLeader() || k.applied < index {
		return // It has not applied what was accepted before: the asks wait for the next word.
	}
	if upTo >= k.reading {
		k.reading = 0
	}
	rest := k.asking[:0]
	for _, a := range k.asking {
		if a.n > upTo {
			rest = append(rest, a)
			continue
		}
		who := holder{Name: a.from, Incarnation: a.ask.Incarnation}
		h := k.holders[who]
		if h == nil {
			if len(k.holders) >= maxHolders {
				continue
			}
			h = &holding{}
			k.holders[who] = h
		}
		h.known, h.steps, h.ends = max(h.known, a.ask.KnownRevision), a.ask.AcceptsDeltas, now+int64(k.terms.GranterTimeout())
		g := k.grant(a.ask.Seq, a.ask.KnownRevision, h.steps)
		h.sent = k.state.latest().Number
		if k.ledger != nil {
			g.BudgetShare = k.ledger.Grant(now, who, budgets.ShareRequest{Seq: a.ask.Seq, GrantSeq: a.ask.ShareSeq, RequestRate: a.ask.RequestRate})
		}
		k.net.Send(a.from, &Message{From: k.Name, LeaseResponse: g})
	}
	k.asking = rest
}

// grant has what a holder lacks: as steps from what it knows, where it takes these.
func (k *Replica) grant(seq, known uint64, steps bool) *LeaseResponse {
	g := &LeaseResponse{Seq: seq, Leader: k.Name, MinRevision: k.state.Floor, HistoryID: k.state.ID}
	counting := k.state.counting()
	if known < k.state.Floor {
		known = 0
	}
	at := 0 // The first that it lacks.
	for at < len(counting) && counting[at].Number <= known {
		at++
	}
	switch {
	case at == len(counting):
	case !steps:
		g.Revisions = counting[at:]
	case at == 0:
		g.Revisions, g.Deltas = counting[:1], stepsOf(counting[0], counting[1:])
	default:
		g.BaseRevision, g.Deltas = counting[at-1].Number, stepsOf(counting[at-1], counting[at:])
	}
	return g
}

// lead does what only the one that leads does.
func (k *Replica) lead(now int64) {
	if !k.IsLeader() {
		return
	}
	k.asking = slices.DeleteFunc(k.asking, func(a asking) bool { return now-a.at > int64(k.terms.LeaseDuration) }) // Their leases would be over.
	k.confirm(now)
	for n := 0; n < len(k.open); n++ {
		o := &k.open[n]
		if now < o.until {
			continue
		}
		if !o.accepted {
			k.write(entry{Withdraw: o.change.ID})
			k.answer(o, &ProposalResult{ID: o.change.ID, Reason: "no majority within 5s: not in force, and it will not be", IsFinal: true})
		} else {
			k.answer(o, &ProposalResult{ID: o.change.ID, Reason: "no word of a majority within 5s: look at the history"})
		}
		k.open = slices.Delete(k.open, n, n+1)
		n--
	}
	latest := k.state.latest().Number
	if k.state.Floor < latest && k.moving < latest && now-k.ledAt >= int64(k.terms.GranterTimeout()) && k.allKnow(now, latest) {
		if k.write(entry{Floor: latest}) {
			k.moving = latest
		}
	}
	k.admit(now)
}

// allKnow tells whether no lease is left under a version before this one.
func (k *Replica) allKnow(now int64, latest uint64) bool {
	all := true
	for who, h := range k.holders {
		all = all && (h.known >= latest || now >= h.ends)
		if now > h.ends+int64(time.Minute) {
			delete(k.holders, who)
		}
	}
	return all
}

// admit swaps the life of a keeper that lost its state, once the old one has been silent for as long as a lease lasts.
func (k *Replica) admit(now int64) {
	for _, name := range k.names {
		h, heard := k.hellos[name]
		old := k.state.Voters[name]
		if !heard || h.Incarnation == old || now-h.at > 8*k.beat() ||
			now-max(k.heardOf[old], k.ledAt, k.changing) < int64(k.terms.GranterTimeout()) {
			continue
		}
		changes := []*pb.ConfChangeSingle{{Type: pb.ConfChangeAddNode.Enum(), NodeId: new(h.Incarnation)}}
		if old != 0 {
			changes = append(changes, &pb.ConfChangeSingle{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: new(old)})
		}
		k.ids[h.Incarnation] = name
		if k.node.ProposeConfChange(&pb.ConfChangeV2{Changes: changes, Context: pack(map[string]uint64{name: h.Incarnation})}) == nil {
			k.changing = now
		}
		return
	}
}

// propose takes a proposal.
func (k *Replica) propose(now int64, from string, c Proposal, t *ProposalTicket) {
	o := open{change: c, from: from, until: now + int64(answerIn), size: len(pack(c))}
	k.said = slices.DeleteFunc(k.said, func(s said) bool { return now-s.at > 2*int64(answerIn) })
	before := slices.IndexFunc(k.said, func(s said) bool { return s.ID == c.ID })
	number := uint64(0)
	if k.IsBootstrapped() {
		number = k.state.numberOf(c.ID)
	}
	switch {
	case !k.IsLeader():
		leader := k.ids[k.node.BasicStatus().Lead]
		if leader == "" || leader == k.Name {
			k.answer(&o, &ProposalResult{ID: c.ID, Reason: "nobody leads: no majority of the keepers is heard", IsFinal: true})
		} else {
			k.net.Send(from, &Message{From: k.Name, LeaseResponse: &LeaseResponse{Leader: leader}}) // The proposer asks there.
		}
	case number != 0:
		k.answer(&o, &ProposalResult{ID: c.ID, Revision: number, IsFinal: true})
	case slices.ContainsFunc(k.open, func(o open) bool { return o.change.ID == c.ID }):
	case before >= 0:
		k.answer(&o, &k.said[before].ProposalResult)
	case t == nil || t.Term != k.term || now-t.IssuedAt > int64(answerIn) || now < t.IssuedAt:
		k.answer(&o, &ProposalResult{ID: c.ID, Ticket: &ProposalTicket{k.term, now}})
	case len(k.open) >= maxOpen || k.openSize()+o.size > maxOpenSize:
		k.answer(&o, &ProposalResult{ID: c.ID, Reason: "too many proposals wait", IsFinal: true})
	default:
		if _, err := c.apply(k.state.latest()); err != nil {
			k.answer(&o, &ProposalResult{ID: c.ID, Reason: err.Error(), IsFinal: true})
		} else if k.write(entry{Propose: &c}) {
			k.open = append(k.open, o)
		}
	}
}

// openSize is how many bytes the proposals that wait have.
func (k *Replica) openSize() (bytes int) {
	for n := range k.open {
		bytes += k.open[n].size
	}
	return bytes
}

func (k *Replica) answer(o *open, what *ProposalResult) {
	if what.IsFinal && what.Revision == 0 && k.IsLeader() && !slices.ContainsFunc(k.said, func(s said) bool { return s.ID == what.ID }) && len(k.said) < maxAsking {
		k.said = append(k.said, said{*what, o.until - int64(answerIn)}) // Whatever the network repeats gets the same answer.
	}
	k.net.Send(o.from, &Message{From: k.Name, ProposalResult: what})
}

func (k *Replica) write(e entry) bool { return k.node.Propose(pack(e)) == nil }

// settle does all that raft has ready: what has to last is written before anything is sent.
func (k *Replica) settle(now int64) {
	for k.broken == nil && k.node != nil && k.node.HasReady() {
		rd := k.node.Ready()
		if !k.keep(now, &rd) {
			return
		}
		for _, m := range rd.Messages {
			if name := k.ids[m.GetTo()]; name != "" {
				k.net.Send(name, &Message{From: k.Name, Raft: mustProto(m)})
				if m.GetType() == pb.MsgSnap {
					k.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
				}
			}
		}
		for _, e := range rd.CommittedEntries {
			k.apply(now, e)
		}
		for _, r := range rd.ReadStates {
			upTo := uint64(0)
			fmt.Sscan(string(r.RequestCtx), &upTo)
			k.confirmed(now, upTo, r.Index)
		}
		k.node.Advance(rd)
		k.shorten()
	}
}

// keep writes what has to last, and takes up who leads.
func (k *Replica) keep(now int64, rd *raft.Ready) bool {
	var records [][]byte
	if !raft.IsEmptySnap(rd.Snapshot) {
		records = append(records, pack(record{Snapshot: mustProto(rd.Snapshot)}))
	}
	for _, e := range rd.Entries {
		records = append(records, pack(record{Entry: mustProto(e)}))
	}
	if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
		records = append(records, pack(record{Hard: mustProto(rd.HardState)}))
		if rd.HardState.GetVote() != k.hard.GetVote() && rd.HardState.GetVote() != k.life {
			k.later(now) // It voted for another, which gets its time.
		}
		k.hard, k.term = rd.HardState, rd.HardState.GetTerm()
	}
	if len(records) > 0 {
		if k.broken = k.lasting.Append(records); k.broken != nil {
			return false // Guards the vote: what is not written may not be said.
		}
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if k.broken = k.restore(rd.Snapshot); k.broken != nil {
			return false
		}
	}
	k.storage.Append(rd.Entries)
	k.kept += len(rd.Entries)
	for _, e := range rd.Entries {
		k.weighs += len(e.GetData())
	}
	if rd.HardState != nil {
		k.storage.SetHardState(k.hard)
	}
	if rd.SoftState != nil {
		k.leads(now, rd.SoftState.RaftState == raft.StateLeader)
	}
	return true
}

// leads takes up that this one leads, or does not any more: nothing that it was asked before counts then.
func (k *Replica) leads(now int64, leads bool) {
	if leads == k.IsLeader() {
		return
	}
	for _, o := range k.open {
		if !leads {
			k.answer(&o, &ProposalResult{ID: o.change.ID, Reason: "another leads now: look at the history"})
		}
	}
	k.ledAt, k.asking, k.reading, k.open, k.moving, k.changing, k.said = 0, nil, 0, nil, 0, 0, nil // Tickets of this term are void.
	k.holders, k.ledger = map[holder]*holding{}, nil
	if leads {
		k.ledAt = now
		if k.terms.MaxMembers > 0 {
			k.ledger = budgets.New(now, k.terms.MaxMembers, int64(k.terms.GranterTimeout()))
		}
	}
}

// apply takes an entry that a majority has.
func (k *Replica) apply(now int64, e *pb.Entry) {
	k.applied = e.GetIndex()
	k.state.term(e.GetTerm())
	switch e.GetType() {
	case pb.EntryConfChangeV2, pb.EntryConfChange:
		cc := &pb.ConfChangeV2{}
		if proto.Unmarshal(e.GetData(), cc) != nil {
			return
		}
		var voters map[string]uint64
		if strict.Unmarshal(cc.GetContext(), &voters) == nil && len(voters) > 0 {
			k.state.Voters = maps.Clone(k.state.Voters)
			maps.Copy(k.state.Voters, voters)
			k.called()
		}
		k.conf = k.node.ApplyConfChange(cc)
		k.kept = entriesKept // One that joins is sent a snapshot, and takes none that it is not in.
		return
	}
	var step entry
	if len(e.GetData()) == 0 || strict.Unmarshal(e.GetData(), &step) != nil {
		return
	}
	own := k.IsLeader() && e.GetTerm() == k.term
	switch {
	case step.Propose != nil:
		k.state.Candidates = append(k.state.Candidates, candidate{*step.Propose, e.GetTerm()})
		if at := k.opened(step.Propose.ID); own && at >= 0 && now < k.open[at].until {
			k.open[at].accepted = k.write(entry{Accept: step.Propose.ID})
		}
	case step.Accept != "":
		number, err := k.state.accept(step.Accept)
		if at := k.opened(step.Accept); at >= 0 {
			what := &ProposalResult{ID: step.Accept, Revision: number, IsFinal: true}
			if err != nil {
				what.Reason = err.Error()
			}
			k.answer(&k.open[at], what)
			k.open = slices.Delete(k.open, at, at+1)
		}
		if own && err == nil {
			k.tell()
		}
	case step.Withdraw != "":
		k.state.withdraw(step.Withdraw)
	case step.Floor != 0:
		k.state.Floor = max(k.state.Floor, min(step.Floor, k.state.latest().Number))
		if own {
			k.tell()
		}
	}
}

func (k *Replica) opened(id string) int {
	return slices.IndexFunc(k.open, func(o open) bool { return o.change.ID == id })
}

// tell gives the news to all who hold a lease: what is strict counts as soon as it is heard.
func (k *Replica) tell() {
	for _, who := range slices.SortedFunc(maps.Keys(k.holders), func(a, b holder) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	}) {
		h := k.holders[who]
		from := h.known
		if h.steps { // What is lost on the way it has with its next ask.
			from = max(h.known, h.sent)
		}
		k.net.Send(who.Name, &Message{From: k.Name, LeaseResponse: k.grant(0, from, h.steps)})
		h.sent = k.state.latest().Number
	}
}

// shorten puts a snapshot in the place of a long log.
func (k *Replica) shorten() {
	if k.kept < entriesKept && k.weighs < bytesKept || k.applied == 0 || k.broken != nil {
		return
	}
	s, err := k.storage.CreateSnapshot(k.applied, k.conf, k.state.packed())
	if err != nil {
		k.kept, k.weighs = 0, 0
		return
	}
	k.storage.Compact(k.applied)
	records := [][]byte{pack(record{Life: k.life}), pack(record{Snapshot: mustProto(s)})}
	last, _ := k.storage.LastIndex()
	if rest, err := k.storage.Entries(k.applied+1, last+1, 1<<30); err == nil {
		for _, e := range rest {
			records = append(records, pack(record{Entry: mustProto(e)}))
		}
	}
	k.kept, k.weighs = 0, 0
	k.broken = k.lasting.Replace(append(records, pack(record{Hard: mustProto(k.hard)})))
}
