package agreed

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"
)

// What is strict counts at once, what is loose waits for the floor, and what is neither is the floor's.
func TestStrictestConfigOfActiveRevisions(t *testing.T) {
	v := Version{Number: 1}
	next := func(c Change) Version {
		c.ID = "x"
		n, err := c.apply(v)
		if err != nil {
			t.Fatal(err)
		}
		v = n
		return n
	}
	text, from := "d2", uint64(7)
	one := next(Change{Out: []string{"a", "b"}, Limits: map[string]int64{"held": 9, "q": 5}})
	two := next(Change{Out: []string{"c"}, Back: []string{"a"}, Limits: map[string]int64{"held": 12, "q": 3}, Digest: &text, From: &from})
	three := next(Change{Limits: map[string]int64{"q": -1}})
	d := strictest([]Version{one, two, three})
	if !slices.Equal(d.Bans, []string{"a", "b", "c"}) || d.Limits["held"] != 9 || d.Limits["q"] != 3 || d.Digest != "" || d.From != 7 {
		t.Errorf("over all: %+v", d)
	}
	if d = strictest([]Version{three}); !slices.Equal(d.Bans, []string{"b", "c"}) || d.Limits["held"] != 12 || len(d.Limits) != 1 || d.Digest != text {
		t.Errorf("the last alone: %+v", d)
	}
	if _, err := (&Change{ID: "x", Base: 1, Out: []string{"z"}}).apply(v); !errors.Is(err, ErrBase) {
		t.Errorf("made for another version: %v", err)
	}
	if _, err := (&Change{ID: "x", Out: []string{"b"}}).apply(v); !errors.Is(err, ErrEmpty) {
		t.Errorf("changes nothing: %v", err)
	}
}

func TestProposalValidateNamesTheField(t *testing.T) {
	long := strings.Repeat("n", maxNameBytes+1)
	for want, c := range map[string]Change{
		"id: ":      {},
		"out: ":     {ID: "i", Out: []string{""}},
		"why: ":     {ID: "i", Why: "a\nb"},
		"by: ":      {ID: "i", By: long},
		"back: ":    {ID: "i", Out: []string{"h"}, Back: []string{"h"}},
		"return: ":  {ID: "i", Leave: []string{"z"}, Return: []string{"z"}},
		"list_of: ": {ID: "i", Source: &long},
		"limits: ":  {ID: "i", Limits: map[string]int64{"\x00": 1}},
	} {
		if err := c.Check(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s%v", want, err)
		}
	}
}

func TestLeaseTimingBounds(t *testing.T) {
	terms := Terms{Lease: 1800 * time.Millisecond, RateError: 0.01, Pause: 150 * time.Millisecond}
	if got := terms.T().Round(time.Millisecond); got != 1986*time.Millisecond || terms.Check() != nil {
		t.Errorf("T %v, %v", got, terms.Check())
	}
	for _, bad := range []Terms{{Lease: time.Millisecond}, {Lease: time.Second, RateError: 0.5}, {Lease: time.Second, Pause: time.Minute}} {
		if bad.Check() == nil {
			t.Errorf("%+v is taken", bad)
		}
	}
}

// No message leads a keeper or a holder astray or out of its bounds.
func FuzzUnmarshalMessage(f *testing.F) {
	f.Add((&Message{From: "a", Ask: &Ask{Seq: 1}}).Pack())
	f.Add((&Message{From: "a", Raft: []byte{8, 3, 16, 1}}).Pack())
	f.Add((&Message{From: "a", Grant: &Grant{Floor: 9, Versions: []Version{{Number: 3}, {Number: 9}}}}).Pack())
	f.Add((&Message{From: "b1", Hello: &Hello{Life: 2, Voters: map[string]uint64{"b0": 1}}}).Pack())
	f.Add((&Message{From: "b1", Propose: &Change{ID: "x", Out: []string{"h"}}}).Pack())
	f.Fuzz(func(t *testing.T, bytes []byte) {
		m, err := Unpack(bytes)
		if err != nil {
			return
		}
		sim := newSimulation(t, 1, 3, 0, true)
		for sim.step < 400 {
			sim.advance()
		}
		p := sim.processes[0]
		if m.Grant != nil {
			p.holder.Heard(p.clock(), m.Grant)
			p.holder.Acting(p.clock())
			if len(p.holder.known.active) > maxActiveRevisions+1 {
				t.Fatal("a holder keeps more than can count")
			}
		} else {
			p.replica.Heard(p.clock(), m)
		}
		for sim.step < 450 {
			sim.now += ms
			sim.advance()
		}
	})
}

// A process that acts on one history takes nothing of another, and no lease.
func TestLeaseHolderRejectsAnotherHistory(t *testing.T) {
	h := NewHolder(0, "p", 1, Terms{Lease: time.Second}, []string{"k"}, discardSender{}, func(int) int { return 0 })
	grant := func(seq, history uint64, versions ...Version) {
		h.Look(h.requests.nextAt)
		h.Heard(h.requests.sent[h.requests.seq%8].at+1, &Grant{Seq: h.requests.seq, Leader: "k", Floor: versions[0].Number, Versions: versions, History: history})
	}
	one := Version{Number: 1}
	if grant(1, 7, one); h.expiresAt == 0 || h.Contrary != 0 {
		t.Fatal("no lease")
	}
	was := h.expiresAt
	if grant(2, 8, one, Version{Number: 2, ID: "x"}); h.expiresAt != was || h.Contrary != 1 || len(h.known.active) != 1 {
		t.Errorf("another history is taken: %d versions, contrary %d", len(h.known.active), h.Contrary)
	}
	if grant(3, 7, one, Version{Number: 2, ID: "y"}); h.expiresAt <= was || len(h.known.active) != 2 {
		t.Error("its own is not taken any more")
	}
}

type discardSender struct{}

func (discardSender) Send(string, *Message) {}

// What others tell of drains beyond one's own list counts; that a host is well never does.
func TestCompareListsTakesDrainsOnly(t *testing.T) {
	others := []Listed{{Name: "a", Index: 9, Digest: 1, Drains: []Drained{{"old", 4}, {"h", 8}, {"odd", 12}}}, {Name: "b", Index: 5, Digest: 3,
		Drains: []Drained{{"k", 5}}}, {Name: "c", Index: 5, Digest: 2, Drains: []Drained{{"own", 3}}}, {Name: "d", Index: 2, Drains: []Drained{{"past", 2}}}}
	c := Compare(5, 2, others)
	if !slices.Equal(c.News, []string{"h", "k"}) || c.Behind != "a" || c.Latest != 9 || c.Contrary != "b" {
		t.Errorf("%+v", c)
	}
	if c = Compare(9, 1, others); len(c.News) > 0 || c.Behind != "" || c.Contrary != "" {
		t.Errorf("with the latest list: %+v", c)
	}
}

// A list that goes back is held against what it was, until it has come past that or has stayed lower for a minute.
func TestListRollbackGuardHoldsUntilPastOrWindow(t *testing.T) {
	var o Own
	minute := int64(time.Minute)
	for n, c := range []struct {
		at    int64
		index uint64
		held  bool
		went  bool
	}{{1, 5, false, false}, {2, 9, false, false}, {3, 4, true, true}, {4, 6, true, false}, {5, 9, false, false}, {6, 1, true, true},
		{6 + minute - 1, 2, true, false}, {6 + minute, 3, false, false}, {7 + minute, 4, false, false}} {
		before, went := o.Saw(c.at, Listed{Index: c.index, Drains: []Drained{{"h", c.index}}})
		if len(before) > 0 != c.held || went != c.went {
			t.Errorf("%d: index %d: held against %v, went %v", n, c.index, before, went)
		}
		if c.held {
			if got := Compare(c.index, 0, before); !slices.Contains(got.News, "h") {
				t.Errorf("%d: what was out is not out: %+v", n, got)
			}
		}
	}
}

// Without a ticket nothing is written: what the network repeats late cannot come into force after its proposer was told no for sure.
func TestProposalNeedsValidTicket(t *testing.T) {
	sim := newSimulation(t, 1, 3, 0, true)
	for n := 0; n < 20_000 && !slices.ContainsFunc(sim.processes, func(p *process) bool { return p.replica.Leads() && p.holder.expiresAt != 0 }); n++ {
		sim.advance()
	}
	p := sim.processes[slices.IndexFunc(sim.processes, func(p *process) bool { return p.replica.Leads() })]
	k := p.replica
	written := func(id string, t *Ticket) bool {
		k.Heard(p.clock(), &Message{From: p.name, Propose: &Change{ID: id, Out: []string{id}}, Ticket: t})
		return slices.ContainsFunc(k.leader.proposals.pending, func(o pendingProposal) bool { return o.proposal.ID == id })
	}
	fresh := &Ticket{k.term, p.clock()}
	for why, ticket := range map[string]*Ticket{"none": nil, "of another term": {k.term - 1, p.clock()}, "old": {k.term, p.clock() - int64(proposalTimeout) - 1},
		"of the future": {k.term, p.clock() + int64(time.Second)}} {
		if written(why, ticket) {
			t.Errorf("written with a ticket: %s", why)
		}
	}
	if !written("good", fresh) {
		t.Error("not written with a good ticket")
	}
	k.answerProposal(pendingProposal{proposal: Change{ID: "no"}, from: p.name, deadline: p.clock() + int64(proposalTimeout)}, &Outcome{ID: "no", Wrong: "no", Sure: true})
	if written("no", fresh) {
		t.Error("written after a sure no")
	}
}

// A list that is behind for a moment is not worth a line; one that stays behind is, once.
func TestPersistentConditionReportsOnce(t *testing.T) {
	var l Late
	for _, step := range []struct {
		at   int64
		is   bool
		says bool
	}{{0, true, false}, {900 * ms, true, false}, {950 * ms, false, false}, {1000 * ms, true, false}, {1999 * ms, true, false}, {2000 * ms, true, true},
		{5000 * ms, true, false}, {5001 * ms, false, false}, {6000 * ms, true, false}, {7000 * ms, true, true}} {
		if says := l.Saw(step.at, step.is, time.Second); says != step.says {
			t.Errorf("at %v: %t", time.Duration(step.at), says)
		}
	}
}
