package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
)

// recordingSender records the messages that are sent, other than raft's, as readable lines.
type recordingSender struct{ lines []string }

func (s *recordingSender) Send(to string, m *Message) {
	if m.Raft == nil {
		s.lines = append(s.lines, fmt.Sprintf("to %s: %q", to, m.Marshal()))
	}
}

func (s *recordingSender) note(format string, args ...any) {
	s.lines = append(s.lines, "# "+fmt.Sprintf(format, args...))
}

// Guards against an operator who receives a wrong or no answer to a proposal, and acts on it. Produces each answer and
// compares its exact text.
func TestGoldenAnswers(t *testing.T) {
	sim := newSimulation(t, 1, 3, 0, true)
	for n := 0; n < 20_000 && !slices.ContainsFunc(sim.processes,
		func(p *process) bool { return p.replica.IsLeader() && p.holder.expiresAt != 0 }); n++ {
		sim.advance()
	}
	at := slices.IndexFunc(sim.processes, func(p *process) bool { return p.replica.IsLeader() })
	p, out := sim.processes[at], &recordingSender{}
	r, now := p.replica, p.clock()
	r.sender = out
	propose := func(what string, c Proposal) {
		out.note("%s", what)
		r.HandleMessage(now, &Message{From: "op", Proposal: &c, Ticket: &ProposalTicket{r.term, now}})
	}
	out.note("no ticket")
	r.HandleMessage(now, &Message{From: "op", Proposal: &Proposal{ID: "a", EjectEndpoints: []string{"h"}}})
	propose("another base", Proposal{ID: "base", BaseRevision: 9, EjectEndpoints: []string{"h"}})
	propose("the same again", Proposal{ID: "base", BaseRevision: 9, EjectEndpoints: []string{"h"}})
	propose("changes nothing", Proposal{ID: "empty", UnejectEndpoints: []string{"h"}})
	latest := &r.state.History[len(r.state.History)-1].Config
	latest.EjectedEndpoints = slices.Concat(longestNames("a"), longestNames("b")) // Sorted.
	propose("too large", Proposal{ID: "large", EjectEndpoints: append(longestNames("c"), "x")})
	latest.EjectedEndpoints = nil
	propose("already a version", Proposal{ID: r.state.latest().ProposalID, EjectEndpoints: []string{"h"}})
	for n := range maxPendingProposals {
		propose("written", Proposal{ID: fmt.Sprint("w", n), EjectEndpoints: []string{fmt.Sprint("h", n)}})
	}
	propose("one more than may wait", Proposal{ID: "more", EjectEndpoints: []string{"h"}})
	propose("waits already", Proposal{ID: "w1", EjectEndpoints: []string{"h1"}})
	r.leader.proposals.pending[0].isAccepted = true
	now += int64(proposalTimeout)
	out.note("no majority in time")
	r.Tick(now)
	propose("refused before", Proposal{ID: "w1", EjectEndpoints: []string{"h1"}})
	propose("waits when another leads", Proposal{ID: "late", EjectEndpoints: []string{"h2"}})
	other := sim.processes[(at+1)%3].replica
	step := func(m *pb.Message) {
		r.HandleMessage(now, &Message{From: other.Name, Raft: marshalProto(m)})
	}
	out.note("another leads")
	step(&pb.Message{Type: pb.MsgHeartbeat.Enum(), To: new(r.incarnation), From: new(other.incarnation),
		Term: new(r.term + 1)})
	r.HandleMessage(now, &Message{From: "op", Proposal: &Proposal{ID: "other", EjectEndpoints: []string{"h"}}})
	r.HandleMessage(now, &Message{From: "op", LeaseRequest: &LeaseRequest{Seq: 1, Incarnation: 1}})
	out.note("leads %t, broken %t", r.IsLeader(), r.Err() != nil)
	r.election.campaignAt, now = 0, now+int64(10*time.Second)
	out.note("nobody leads")
	r.Tick(now)
	r.HandleMessage(now, &Message{From: "op", Proposal: &Proposal{ID: "nobody", EjectEndpoints: []string{"h"}}})
	out.note("a message that cannot be: silent from then on")
	step(&pb.Message{Type: pb.MsgHeartbeat.Enum(), To: new(r.incarnation), From: new(other.incarnation),
		Term: new(r.term + 1), Commit: new(uint64(1 << 40))})
	r.Tick(now + ms)
	r.HandleMessage(now, &Message{From: "op", Proposal: &Proposal{ID: "broken", EjectEndpoints: []string{"h"}}})
	out.note("broken %t", r.Err() != nil)
	for name, storage := range map[string]Storage{"at once": failingStorage{}, "bad records": &memoryStorage{}} {
		_, err := NewReplica(0, "b0", 1, testTiming, []string{"b0"}, map[string][][]byte{"bad records": {{1}}}[name],
			storage, out, func(int) int { return 0 })
		if err == nil {
			t.Errorf("%s: NewReplica returned no error", name)
		}
	}
	checkGolden(t, "answers.golden", []byte(strings.Join(out.lines, "\n")+"\n"))
}

// failingStorage is a Storage whose disk is full.
type failingStorage struct{}

func (failingStorage) Append([][]byte) error  { return errors.New("full") }
func (failingStorage) Replace([][]byte) error { return errors.New("full") }

// Guards against a replica that votes twice in one term: if it sends a vote that it could not write, it may vote again
// after a restart. With a full disk, a replica must not send anything.
func TestStopsWhenStorageFails(t *testing.T) {
	sim := newSimulation(t, 1, 3, 0, true)
	for n := 0; n < 20_000 && !sim.processes[0].replica.IsBootstrapped(); n++ {
		sim.advance()
	}
	r, other, sent := sim.processes[0].replica, sim.processes[1].replica, 0
	r.sender, r.log.storage = countingSender{&sent}, failingStorage{}
	vote := &pb.Message{Type: pb.MsgVote.Enum(), To: new(r.incarnation), From: new(other.incarnation),
		Term: new(r.term + 9), Index: new(uint64(99)), LogTerm: new(r.term + 8)}
	r.HandleMessage(sim.processes[0].clock(), &Message{From: other.Name, Raft: marshalProto(vote)})
	if r.Err() == nil || sent > 0 {
		t.Errorf("with a full disk: error %v, %d messages sent; want an error and none sent", r.Err(), sent)
	}
}

type countingSender struct{ sent *int }

func (c countingSender) Send(string, *Message) { *c.sent++ }

// Guards against unintended changes of the bounds of proposals and messages, and of the texts with which a proposer is
// told about them.
func TestGoldenBounds(t *testing.T) {
	out := &recordingSender{}
	long, both := strings.Repeat("n", maxNameBytes+1), []string{"h"}
	many := make([]string, maxNames+1)
	for n := range many {
		many[n] = fmt.Sprint(n)
	}
	big := Proposal{ID: "i", EjectEndpoints: append(longestNames("o"), longestNames("p")...)}
	for _, c := range []Proposal{{}, {ID: long}, {ID: "i", Author: "\x7f"}, {ID: "i", Reason: "a\nb"},
		{ID: "i", EjectEndpoints: many}, {ID: "i", EjectEndpoints: []string{""}},
		{ID: "i", EjectEndpoints: both, UnejectEndpoints: both}, {ID: "i", EvacuateZones: both, RestoreZones: both},
		{ID: "i", Limits: map[string]int64{"\x00": 1}}, {ID: "i", DiscoverySource: &long},
		{ID: "i", SettingsDigest: &long}, {ID: "i", EvacuateZones: many}, {ID: "i", RestoreZones: many}, big,
		{ID: "i"}, {ID: "i", EjectEndpoints: many[:maxNames]}} {
		_, err := UnmarshalMessage((&Message{From: "a", Proposal: &c}).Marshal())
		out.note("%v; taken %t", c.Validate(), err == nil)
	}
	ask := &LeaseRequest{Seq: 1}
	for _, m := range []Message{{}, {From: "a"}, {LeaseRequest: ask}, {From: "a", LeaseRequest: ask,
		ProposalResult: &ProposalResult{}}, {From: long, LeaseRequest: ask}, {From: "a", LeaseRequest: ask},
		{From: "a", Raft: make([]byte, maxMessageBytes)}} {
		_, err := UnmarshalMessage(m.Marshal())
		out.note("taken %t", err == nil)
	}
	for _, bytes := range [][]byte{nil, {0xff}, encode(revisionChain{}),
		encode(revisionChain{First: Revision{Number: 1}, Deltas: make([]Proposal,
			maxRetainedRevisions+maxActiveRevisions+1)}),
		encode(revisionChain{First: Revision{Number: 1}, Deltas: slices.Repeat([]Proposal{big}, 400)})} {
		revisions, err := UnmarshalRevisions(bytes)
		out.note("%d versions, refused %t", len(revisions), err != nil)
	}
	checkGolden(t, "bounds.golden", []byte(strings.Join(out.lines, "\n")+"\n"))
}

// Guards against a lease holder that accepts a revision too many or misses one, and then acts on a configuration that
// the others do not have. The result of random responses, some reordered, with gaps or of another history, must stay
// the same for every response.
func TestGoldenGrants(t *testing.T) {
	draw, tr := rand.New(rand.NewPCG(5, 5)), newTraceHash()
	histories := [2][]Revision{}
	for h := range histories {
		histories[h] = []Revision{{Number: 1}}
		for n := range 60 {
			c := Proposal{ID: fmt.Sprint(h*n, "v", n), EjectEndpoints: []string{fmt.Sprint("h", draw.IntN(9))},
				UnejectEndpoints: []string{fmt.Sprint("i", draw.IntN(9))},
				Limits:           map[string]int64{"held": draw.Int64N(50) - 1}}
			histories[h] = append(histories[h], c.next(histories[h][n]))
		}
	}
	for range 40 {
		h := NewLeaseHolder(0, "p", 1, testTiming, []string{"k", "l"}, discardSender{}, draw.IntN)
		if draw.IntN(2) == 0 {
			h.Restore(1, histories[draw.IntN(2)][:1+draw.IntN(3)])
		}
		for now, reached := int64(0), 1; now < 60_000*ms; now += draw.Int64N(400 * ms) {
			h.Tick(now)
			reached = min(60, reached+draw.IntN(3))
			of := histories[max(0, draw.IntN(12)-10)]
			from := max(0, reached-draw.IntN(6)-1)
			g := &LeaseResponse{Seq: h.requests.seq - min(h.requests.seq, draw.Uint64N(3)), Leader: []string{"k", "l",
				""}[draw.IntN(3)], MinRevision: of[draw.IntN(reached)].Number,
				HistoryID: uint64(draw.IntN(30)/29 + 7), BudgetShare: draw.Float64()}
			if g.Revisions = of[from:reached]; draw.IntN(2) == 0 && from > 0 {
				g.Revisions, g.BaseRevision, g.Deltas = nil, of[from-1].Number, deltasOf(of[from-1], of[from:reached])
			}
			h.HandleLeaseResponse(now, g)
			a := h.EffectiveConfig(now)
			tr.add(a.MinRevision, a.LatestRevision, a.IsLeased, a.BudgetShare, a.ReplicatedConfig,
				h.ConflictingResponses, h.LeaseExpiry(), h.Leader(), h.TimeUntilTick(now), h.Revisions())
		}
	}
	checkGolden(t, "grants.golden", []byte(tr.sum()+"\n"))
}
