package consensus

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"
)

// What is strict counts at once, what is loose waits for the floor, and what is neither is the floor's.
func TestStrictest(t *testing.T) {
	v := Revision{Number: 1}
	next := func(c Proposal) Revision {
		c.ID = "x"
		n, err := c.apply(v)
		if err != nil {
			t.Fatal(err)
		}
		v = n
		return n
	}
	text, from := "d2", uint64(7)
	one := next(Proposal{EjectEndpoints: []string{"a", "b"}, Limits: map[string]int64{"held": 9, "q": 5}})
	two := next(Proposal{EjectEndpoints: []string{"c"}, UnejectEndpoints: []string{"a"}, Limits: map[string]int64{"held": 12, "q": 3}, SettingsDigest: &text, MinListIndex: &from})
	three := next(Proposal{Limits: map[string]int64{"q": -1}})
	d := strictest([]Revision{one, two, three})
	if !slices.Equal(d.EjectedEndpoints, []string{"a", "b", "c"}) || d.Limits["held"] != 9 || d.Limits["q"] != 3 || d.SettingsDigest != "" || d.MinListIndex != 7 {
		t.Errorf("over all: %+v", d)
	}
	if d = strictest([]Revision{three}); !slices.Equal(d.EjectedEndpoints, []string{"b", "c"}) || d.Limits["held"] != 12 || len(d.Limits) != 1 || d.SettingsDigest != text {
		t.Errorf("the last alone: %+v", d)
	}
	if _, err := (&Proposal{ID: "x", BaseRevision: 1, EjectEndpoints: []string{"z"}}).apply(v); !errors.Is(err, ErrBaseRevision) {
		t.Errorf("made for another version: %v", err)
	}
	if _, err := (&Proposal{ID: "x", EjectEndpoints: []string{"b"}}).apply(v); !errors.Is(err, ErrNoChange) {
		t.Errorf("changes nothing: %v", err)
	}
}

func TestChangesAreChecked(t *testing.T) {
	long := strings.Repeat("n", maxText+1)
	for want, c := range map[string]Proposal{
		"id: ":      {},
		"out: ":     {ID: "i", EjectEndpoints: []string{""}},
		"why: ":     {ID: "i", Reason: "a\nb"},
		"by: ":      {ID: "i", Author: long},
		"back: ":    {ID: "i", EjectEndpoints: []string{"h"}, UnejectEndpoints: []string{"h"}},
		"return: ":  {ID: "i", EvacuateZones: []string{"z"}, RestoreZones: []string{"z"}},
		"list_of: ": {ID: "i", DiscoverySource: &long},
		"limits: ":  {ID: "i", Limits: map[string]int64{"\x00": 1}},
	} {
		if err := c.Validate(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s%v", want, err)
		}
	}
}

func TestTerms(t *testing.T) {
	terms := LeaseTiming{LeaseDuration: 1800 * time.Millisecond, ClockRateError: 0.01, MaxPause: 150 * time.Millisecond}
	if got := terms.MaxDisagreement().Round(time.Millisecond); got != 1986*time.Millisecond || terms.Validate() != nil {
		t.Errorf("T %v, %v", got, terms.Validate())
	}
	for _, bad := range []LeaseTiming{{LeaseDuration: time.Millisecond}, {LeaseDuration: time.Second, ClockRateError: 0.5}, {LeaseDuration: time.Second, MaxPause: time.Minute}} {
		if bad.Validate() == nil {
			t.Errorf("%+v is taken", bad)
		}
	}
}

// No message leads a keeper or a holder astray or out of its bounds.
func FuzzUnpack(f *testing.F) {
	f.Add((&Message{From: "a", LeaseRequest: &LeaseRequest{Seq: 1}}).Marshal())
	f.Add((&Message{From: "a", Raft: []byte{8, 3, 16, 1}}).Marshal())
	f.Add((&Message{From: "a", LeaseResponse: &LeaseResponse{MinRevision: 9, Revisions: []Revision{{Number: 3}, {Number: 9}}}}).Marshal())
	f.Add((&Message{From: "b1", Announcement: &Announcement{Incarnation: 2, Voters: map[string]uint64{"b0": 1}}}).Marshal())
	f.Add((&Message{From: "b1", Proposal: &Proposal{ID: "x", EjectEndpoints: []string{"h"}}}).Marshal())
	f.Fuzz(func(t *testing.T, bytes []byte) {
		m, err := UnmarshalMessage(bytes)
		if err != nil {
			return
		}
		w := newTown(t, 1, 3, 0, true)
		for w.step < 400 {
			w.one()
		}
		p := w.procs[0]
		if m.LeaseResponse != nil {
			p.holder.HandleLeaseResponse(p.clock(), m.LeaseResponse)
			p.holder.EffectiveConfig(p.clock())
			if len(p.holder.versions) > maxBetween+1 {
				t.Fatal("a holder keeps more than can count")
			}
		} else {
			p.keeper.HandleMessage(p.clock(), m)
		}
		for w.step < 450 {
			w.now += ms
			w.one()
		}
	})
}

// A process that acts on one history takes nothing of another, and no lease.
func TestAnotherHistory(t *testing.T) {
	h := NewLeaseHolder(0, "p", 1, LeaseTiming{LeaseDuration: time.Second}, []string{"k"}, nowhere{}, func(int) int { return 0 })
	grant := func(seq, history uint64, versions ...Revision) {
		h.Tick(h.askAt)
		h.HandleLeaseResponse(h.sent[h.seq%8].at+1, &LeaseResponse{Seq: h.seq, Leader: "k", MinRevision: versions[0].Number, Revisions: versions, HistoryID: history})
	}
	one := Revision{Number: 1}
	if grant(1, 7, one); h.until == 0 || h.ConflictingResponses != 0 {
		t.Fatal("no lease")
	}
	was := h.until
	if grant(2, 8, one, Revision{Number: 2, ProposalID: "x"}); h.until != was || h.ConflictingResponses != 1 || len(h.versions) != 1 {
		t.Errorf("another history is taken: %d versions, contrary %d", len(h.versions), h.ConflictingResponses)
	}
	if grant(3, 7, one, Revision{Number: 2, ProposalID: "y"}); h.until <= was || len(h.versions) != 2 {
		t.Error("its own is not taken any more")
	}
}

type nowhere struct{}

func (nowhere) Send(string, *Message) {}

// What others tell of drains beyond one's own list counts; that a host is well never does.
func TestLists(t *testing.T) {
	others := []EndpointListState{{Name: "a", Index: 9, Digest: 1, Drained: []DrainedEndpoint{{"old", 4}, {"h", 8}, {"odd", 12}}}, {Name: "b", Index: 5, Digest: 3,
		Drained: []DrainedEndpoint{{"k", 5}}}, {Name: "c", Index: 5, Digest: 2, Drained: []DrainedEndpoint{{"own", 3}}}, {Name: "d", Index: 2, Drained: []DrainedEndpoint{{"past", 2}}}}
	c := CompareLists(5, 2, others)
	if !slices.Equal(c.DrainedEndpoints, []string{"h", "k"}) || c.PeerAhead != "a" || c.LatestIndex != 9 || c.ConflictingPeer != "b" {
		t.Errorf("%+v", c)
	}
	if c = CompareLists(9, 1, others); len(c.DrainedEndpoints) > 0 || c.PeerAhead != "" || c.ConflictingPeer != "" {
		t.Errorf("with the latest list: %+v", c)
	}
}

// A list that goes back is held against what it was, until it has come past that or has stayed lower for a minute.
func TestListGoesBack(t *testing.T) {
	var o ListRollbackGuard
	minute := int64(time.Minute)
	for n, c := range []struct {
		at    int64
		index uint64
		held  bool
		went  bool
	}{{1, 5, false, false}, {2, 9, false, false}, {3, 4, true, true}, {4, 6, true, false}, {5, 9, false, false}, {6, 1, true, true},
		{6 + minute - 1, 2, true, false}, {6 + minute, 3, false, false}, {7 + minute, 4, false, false}} {
		before, went := o.Observe(c.at, EndpointListState{Index: c.index, Drained: []DrainedEndpoint{{"h", c.index}}})
		if len(before) > 0 != c.held || went != c.went {
			t.Errorf("%d: index %d: held against %v, went %v", n, c.index, before, went)
		}
		if c.held {
			if got := CompareLists(c.index, 0, before); !slices.Contains(got.DrainedEndpoints, "h") {
				t.Errorf("%d: what was out is not out: %+v", n, got)
			}
		}
	}
}

// Without a ticket nothing is written: what the network repeats late cannot come into force after its proposer was told no for sure.
func TestTickets(t *testing.T) {
	w := newTown(t, 1, 3, 0, true)
	for n := 0; n < 20_000 && !slices.ContainsFunc(w.procs, func(p *proc) bool { return p.keeper.IsLeader() && p.holder.until != 0 }); n++ {
		w.one()
	}
	p := w.procs[slices.IndexFunc(w.procs, func(p *proc) bool { return p.keeper.IsLeader() })]
	k := p.keeper
	written := func(id string, t *ProposalTicket) bool {
		k.HandleMessage(p.clock(), &Message{From: p.name, Proposal: &Proposal{ID: id, EjectEndpoints: []string{id}}, Ticket: t})
		return slices.ContainsFunc(k.open, func(o open) bool { return o.change.ID == id })
	}
	fresh := &ProposalTicket{k.term, p.clock()}
	for why, ticket := range map[string]*ProposalTicket{"none": nil, "of another term": {k.term - 1, p.clock()}, "old": {k.term, p.clock() - int64(answerIn) - 1},
		"of the future": {k.term, p.clock() + int64(time.Second)}} {
		if written(why, ticket) {
			t.Errorf("written with a ticket: %s", why)
		}
	}
	if !written("good", fresh) {
		t.Error("not written with a good ticket")
	}
	k.answer(&open{change: Proposal{ID: "no"}, from: p.name, until: p.clock() + int64(answerIn)}, &ProposalResult{ID: "no", Reason: "no", IsFinal: true})
	if written("no", fresh) {
		t.Error("written after a sure no")
	}
}

// A list that is behind for a moment is not worth a line; one that stays behind is, once.
func TestLateIsSaidOnceAndNotAtOnce(t *testing.T) {
	var l PersistentCondition
	for _, step := range []struct {
		at   int64
		is   bool
		says bool
	}{{0, true, false}, {900 * ms, true, false}, {950 * ms, false, false}, {1000 * ms, true, false}, {1999 * ms, true, false}, {2000 * ms, true, true},
		{5000 * ms, true, false}, {5001 * ms, false, false}, {6000 * ms, true, false}, {7000 * ms, true, true}} {
		if says := l.Observe(step.at, step.is, time.Second); says != step.says {
			t.Errorf("at %v: %t", time.Duration(step.at), says)
		}
	}
}
