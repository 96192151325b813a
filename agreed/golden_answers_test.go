package agreed

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

// outbox keeps what was sent, as lines that can be read.
type outbox struct{ lines []string }

func (o *outbox) Send(to string, m *Message) {
	if m.Raft == nil {
		o.lines = append(o.lines, fmt.Sprintf("to %s: %q", to, m.Pack()))
	}
}

func (o *outbox) note(format string, with ...any) {
	o.lines = append(o.lines, "# "+fmt.Sprintf(format, with...))
}

// An operator who reads another answer than the one that a proposal had, or none, does the wrong thing next. Each answer is played, with its
// exact text.
func TestGoldenAnswers(t *testing.T) {
	sim := newSimulation(t, 1, 3, 0, true)
	for n := 0; n < 20_000 && !slices.ContainsFunc(sim.processes, func(p *process) bool { return p.replica.Leads() && p.holder.expiresAt != 0 }); n++ {
		sim.advance()
	}
	at := slices.IndexFunc(sim.processes, func(p *process) bool { return p.replica.Leads() })
	p, out := sim.processes[at], &outbox{}
	k, now := p.replica, p.clock()
	k.sender = out
	propose := func(what string, c Change) {
		out.note("%s", what)
		k.Heard(now, &Message{From: "op", Propose: &c, Ticket: &Ticket{k.term, now}})
	}
	out.note("no ticket")
	k.Heard(now, &Message{From: "op", Propose: &Change{ID: "a", Out: []string{"h"}}})
	propose("another base", Change{ID: "base", Base: 9, Out: []string{"h"}})
	propose("the same again", Change{ID: "base", Base: 9, Out: []string{"h"}})
	propose("changes nothing", Change{ID: "empty", Back: []string{"h"}})
	k.state.History[len(k.state.History)-1].Document.Bans = slices.Sorted(slices.Values(slices.Concat(thousandNames("a"), thousandNames("b"))))
	propose("too large", Change{ID: "large", Out: append(thousandNames("c"), "x")})
	k.state.History[len(k.state.History)-1].Document.Bans = nil
	propose("already a version", Change{ID: k.state.latest().ID, Out: []string{"h"}})
	for n := range maxPendingProposals {
		propose("written", Change{ID: fmt.Sprint("w", n), Out: []string{fmt.Sprint("h", n)}})
	}
	propose("one more than may wait", Change{ID: "more", Out: []string{"h"}})
	propose("waits already", Change{ID: "w1", Out: []string{"h1"}})
	k.leader.proposals.pending[0].isAccepted = true
	now += int64(proposalTimeout)
	out.note("no majority in time")
	k.Look(now)
	propose("refused before", Change{ID: "w1", Out: []string{"h1"}})
	propose("waits when another leads", Change{ID: "late", Out: []string{"h2"}})
	other := sim.processes[(at+1)%3].replica
	step := func(m *pb.Message) {
		k.Heard(now, &Message{From: other.Name, Raft: marshalProto(m)})
	}
	out.note("another leads")
	step(&pb.Message{Type: pb.MsgHeartbeat.Enum(), To: new(k.incarnation), From: new(other.incarnation), Term: new(k.term + 1)})
	k.Heard(now, &Message{From: "op", Propose: &Change{ID: "other", Out: []string{"h"}}})
	k.Heard(now, &Message{From: "op", Ask: &Ask{Seq: 1, Life: 1}})
	out.note("leads %t, broken %t", k.Leads(), k.Broken() != nil)
	k.election.campaignAt, now = 0, now+int64(10*time.Second)
	out.note("nobody leads")
	k.Look(now)
	k.Heard(now, &Message{From: "op", Propose: &Change{ID: "nobody", Out: []string{"h"}}})
	out.note("a message that cannot be: silent from then on")
	step(&pb.Message{Type: pb.MsgHeartbeat.Enum(), To: new(k.incarnation), From: new(other.incarnation), Term: new(k.term + 1), Commit: new(uint64(1 << 40))})
	k.Look(now + ms)
	k.Heard(now, &Message{From: "op", Propose: &Change{ID: "broken", Out: []string{"h"}}})
	out.note("broken %t", k.Broken() != nil)
	for name, full := range map[string]Lasting{"at once": failingStorage{}, "bad records": &memoryStorage{}} {
		_, err := NewKeeper(0, "b0", 1, testTiming, []string{"b0"}, map[string][][]byte{"bad records": {{1}}}[name], full, out, func(int) int { return 0 })
		if err == nil {
			t.Errorf("%s: a replica begins", name)
		}
	}
	checkGolden(t, "answers.golden", []byte(strings.Join(out.lines, "\n")+"\n"))
}

// failing is a disk that is full.
type failingStorage struct{}

func (failingStorage) Add([][]byte) error  { return errors.New("full") }
func (failingStorage) Swap([][]byte) error { return errors.New("full") }

// A replica that says what it could not write may vote twice after it starts again: with a full disk it says nothing more.
func TestStopsWhenStorageFails(t *testing.T) {
	sim := newSimulation(t, 1, 3, 0, true)
	for n := 0; n < 20_000 && !sim.processes[0].replica.Founded(); n++ {
		sim.advance()
	}
	k, other, sent := sim.processes[0].replica, sim.processes[1].replica, 0
	k.sender, k.log.storage = countingSender{&sent}, failingStorage{}
	vote := &pb.Message{Type: pb.MsgVote.Enum(), To: new(k.incarnation), From: new(other.incarnation), Term: new(k.term + 9), Index: new(uint64(99)), LogTerm: new(k.term + 8)}
	k.Heard(sim.processes[0].clock(), &Message{From: other.Name, Raft: marshalProto(vote)})
	if k.Broken() == nil || sent > 0 {
		t.Errorf("with a full disk: broken %v, %d messages sent", k.Broken(), sent)
	}
}

type countingSender struct{ sent *int }

func (c countingSender) Send(string, *Message) { *c.sent++ }

// What a change may be is said to its proposer, and a message out of bounds is dropped: the texts and the bounds stay.
func TestGoldenBounds(t *testing.T) {
	out := &outbox{}
	long, both := strings.Repeat("n", maxNameBytes+1), []string{"h"}
	many := make([]string, maxNames+1)
	for n := range many {
		many[n] = fmt.Sprint(n)
	}
	big := Change{ID: "i", Out: append(thousandNames("o"), thousandNames("p")...)}
	for _, c := range []Change{{}, {ID: long}, {ID: "i", By: "\x7f"}, {ID: "i", Why: "a\nb"}, {ID: "i", Out: many}, {ID: "i", Out: []string{""}},
		{ID: "i", Out: both, Back: both}, {ID: "i", Leave: both, Return: both}, {ID: "i", Limits: map[string]int64{"\x00": 1}}, {ID: "i", Source: &long},
		{ID: "i", Digest: &long}, {ID: "i", Leave: many}, {ID: "i", Return: many}, big, {ID: "i"}, {ID: "i", Out: many[:maxNames]}} {
		_, err := Unpack((&Message{From: "a", Propose: &c}).Pack())
		out.note("%v; taken %t", c.Check(), err == nil)
	}
	ask := &Ask{Seq: 1}
	for _, m := range []Message{{}, {From: "a"}, {Ask: ask}, {From: "a", Ask: ask, Outcome: &Outcome{}}, {From: long, Ask: ask}, {From: "a", Ask: ask},
		{From: "a", Raft: make([]byte, maxMessageBytes)}} {
		_, err := Unpack(m.Pack())
		out.note("taken %t", err == nil)
	}
	for _, bytes := range [][]byte{nil, {0xff}, encode(revisionChain{}), encode(revisionChain{First: Version{Number: 1}, Deltas: make([]Change, maxShownRevisions+maxActiveRevisions+1)}),
		encode(revisionChain{First: Version{Number: 1}, Deltas: slices.Repeat([]Change{big}, 400)})} {
		versions, err := UnpackChain(bytes)
		out.note("%d versions, refused %t", len(versions), err != nil)
	}
	checkGolden(t, "bounds.golden", []byte(strings.Join(out.lines, "\n")+"\n"))
}

// A process that takes up a version too much, or misses one, acts on what the others do not: what a holder makes of grants out of order, with
// gaps, of another history, is the same, grant for grant.
func TestGoldenGrants(t *testing.T) {
	draw, tr := rand.New(rand.NewPCG(5, 5)), newTraceHash()
	histories := [2][]Version{}
	for h := range histories {
		histories[h] = []Version{{Number: 1}}
		for n := range 60 {
			c := Change{ID: fmt.Sprint(h*n, "v", n), Out: []string{fmt.Sprint("h", draw.IntN(9))}, Back: []string{fmt.Sprint("i", draw.IntN(9))},
				Limits: map[string]int64{"held": draw.Int64N(50) - 1}}
			histories[h] = append(histories[h], c.next(histories[h][n]))
		}
	}
	for range 40 {
		h := NewHolder(0, "p", 1, testTiming, []string{"k", "l"}, discardSender{}, draw.IntN)
		if draw.IntN(2) == 0 {
			h.Recall(1, histories[draw.IntN(2)][:1+draw.IntN(3)])
		}
		for now, reached := int64(0), 1; now < 60_000*ms; now += draw.Int64N(400 * ms) {
			h.Look(now)
			reached = min(60, reached+draw.IntN(3))
			of := histories[max(0, draw.IntN(12)-10)]
			from := max(0, reached-draw.IntN(6)-1)
			g := &Grant{Seq: h.requests.seq - min(h.requests.seq, draw.Uint64N(3)), Leader: []string{"k", "l", ""}[draw.IntN(3)], Floor: of[draw.IntN(reached)].Number,
				History: uint64(draw.IntN(30)/29 + 7), Part: draw.Float64()}
			if g.Versions = of[from:reached]; draw.IntN(2) == 0 && from > 0 {
				g.Versions, g.Base, g.Steps = nil, of[from-1].Number, deltasOf(of[from-1], of[from:reached])
			}
			h.Heard(now, g)
			a := h.Acting(now)
			tr.add(a.Floor, a.Latest, a.Leased, a.Part, a.Document, h.Contrary, h.Until(), h.Leader(), h.Wait(now), h.Versions())
		}
	}
	checkGolden(t, "grants.golden", []byte(tr.sum()+"\n"))
}
