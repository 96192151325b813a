package consensus

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

const thousand = 1024

// thousandNames are as long as may be.
func thousandNames(kind string) (names []string) {
	for n := range thousand {
		name := fmt.Sprintf("%s-%04d-", kind, n)
		names = append(names, name+strings.Repeat("x", maxText-len(name)))
	}
	return names
}

// 1,024 versions, each with one more of 1,024 hosts out, can wait for a lease under the first; all go in one message and in one snapshot, and
// a holder that knows any of them has the rest in steps.
func TestAThousandVersionsCanWait(t *testing.T) {
	s := founding(7, map[string]uint64{"b0": 1})
	for n := 1; n < maxBetween; n++ {
		id := fmt.Sprint("p", n)
		s.Candidates = append(s.Candidates, candidate{Proposal{ID: id, Author: "op", Reason: "a test", EjectEndpoints: []string{fmt.Sprintf("host-%04d", n)}}, 1})
		if _, err := s.accept(id); err != nil {
			t.Fatalf("version %d: %v", n+1, err)
		}
	}
	s.Candidates = []candidate{{Proposal{ID: "more", EjectEndpoints: []string{"more"}}, 1}}
	if _, err := s.accept("more"); err == nil {
		t.Error("one more than can count is accepted")
	}
	bytes := s.packed()
	back, err := unpackState(bytes)
	if err != nil || len(back.History) != maxBetween || back.latest().Digest() != s.latest().Digest() || len(bytes) > maxMessage {
		t.Fatalf("%v: %d versions of %d, in %d bytes", err, len(back.History), maxBetween, len(bytes))
	}
	k := &Replica{Name: "b0", state: back}
	h := NewLeaseHolder(0, "p", 1, terms, []string{"b0"}, nowhere{}, func(int) int { return 0 })
	for _, known := range []uint64{0, 1000} {
		packed := (&Message{From: "b0", LeaseResponse: k.grant(1, known, true)}).Marshal()
		m, err := UnmarshalMessage(packed)
		if err != nil {
			t.Fatal(err)
		}
		if known == 1000 { // One that has been told of so many.
			h = NewLeaseHolder(0, "p", 1, terms, []string{"b0"}, nowhere{}, func(int) int { return 0 })
			h.Restore(1, slices.Clone(back.History[:known]))
			if len(m.LeaseResponse.Revisions) != 0 || len(packed) > 10_000 {
				t.Errorf("%d bytes for the last %d versions", len(packed), uint64(maxBetween)-known)
			}
		}
		if !h.learn(m.LeaseResponse) || len(h.versions) != maxBetween || len(h.acting.EjectedEndpoints) != maxBetween-1 ||
			h.versions[maxBetween-1].Digest() != s.latest().Digest() {
			t.Errorf("knowing %d: %d versions, %d bans", known, len(h.versions), len(h.acting.EjectedEndpoints))
		}
	}
	unknowing := NewLeaseHolder(0, "p", 1, terms, []string{"b0"}, nowhere{}, func(int) int { return 0 })
	if unknowing.learn(k.grant(1, 1000, true)) || len(unknowing.versions) > 0 {
		t.Error("steps are taken without what they begin with")
	}
	left, err := UnmarshalRevisions(MarshalRevisions(h.versions))
	if err != nil || len(left) != maxBetween || left[maxBetween-1].Digest() != s.latest().Digest() {
		t.Errorf("%v: %d versions come back", err, len(left))
	}
	if g := k.grant(1, 1020, false); len(g.Revisions) != 4 || len(g.Deltas) != 0 {
		t.Error("one of a version before is told steps")
	}
}

// What a version changed, of every kind, is found again from the two documents.
func TestSteps(t *testing.T) {
	d1, s1, f1 := "d1", "127.0.0.1:1", uint64(9)
	v := Revision{Number: 1}
	var all []Revision
	for n, c := range []Proposal{{EjectEndpoints: []string{"a", "b", "c"}, Limits: map[string]int64{"held": 5, "quota.t": 7}}, {UnejectEndpoints: []string{"b"}, EvacuateZones: []string{"z"}, SettingsDigest: &d1},
		{Limits: map[string]int64{"held": -1, "quota.t": 0}, DiscoverySource: &s1}, {RestoreZones: []string{"z"}, MinListIndex: &f1, EjectEndpoints: []string{"b"}}} {
		c.ID, c.Author, c.Reason = fmt.Sprint("p", n), "op", "w"
		next, err := c.apply(v)
		if err != nil {
			t.Fatal(err)
		}
		all, v = append(all, next), next
	}
	back, err := UnmarshalRevisions(MarshalRevisions(all))
	if err != nil || len(back) != len(all) {
		t.Fatal(back, err)
	}
	for n := range all {
		if all[n].Digest() != back[n].Digest() {
			t.Errorf("%+v is %+v", back[n], all[n])
		}
	}
}

// A fleet agrees on 1,024 hosts and 1,024 zones of the longest names, on many versions in the time of one lease, and lets a replica in that lost
// all of it.
func TestAgreementOnAThousand(t *testing.T) {
	w := newTown(t, 5, 3, 3, true)
	until := func(what string, come func() bool) {
		t.Helper()
		for end := w.now + 60_000*ms; !come(); w.one() {
			if w.now > end || w.broken != "" {
				t.Fatalf("%s does not come; %s", what, w.broken)
			}
		}
	}
	all := func(version uint64, but int) bool {
		for n, p := range w.procs {
			if a := p.holder.EffectiveConfig(p.clock()); n != but && (!a.IsLeased || a.LatestRevision < version) {
				return false
			}
		}
		return true
	}
	leads := func() int {
		return slices.IndexFunc(w.procs, func(p *proc) bool { return p.keeper != nil && p.keeper.IsLeader() })
	}
	until("a lease everywhere", func() bool { return all(1, -1) })
	w.procs[5].stopped = true // Its lease keeps the floor back.
	const many, atOnce = 192, 32
	for n := 0; n < many; n += atOnce {
		for i := range atOnce {
			w.propose(4, leads(), Proposal{EjectEndpoints: []string{fmt.Sprint("host-", n+i)}})
		}
		until("an answer to each", func() bool { return len(w.procs[4].waiting) == 0 })
	}
	if len(w.settled) != many || len(w.refused) > 0 {
		t.Errorf("%d proposals of %d are accepted, %d refused", len(w.settled), many, len(w.refused))
	}
	w.procs[5].wake()
	until("all acting on all", func() bool { return all(many+1, -1) })
	w.propose(4, leads(), Proposal{EjectEndpoints: thousandNames("host")})
	w.propose(4, leads(), Proposal{EvacuateZones: thousandNames("zone")})
	until("all acting on the long ones", func() bool { return all(many+3, -1) })
	for _, p := range w.procs {
		if a := p.holder.EffectiveConfig(p.clock()); len(a.EjectedEndpoints) != thousand+many || len(a.EvacuatedZones) != thousand {
			t.Errorf("%s acts on %d hosts and %d zones", p.name, len(a.EjectedEndpoints), len(a.EvacuatedZones))
		}
	}
	lost := (leads() + 1) % 3
	w.procs[lost].disk = nil
	w.start(lost, true, 3)
	until("the replica that lost its state", func() bool {
		k := w.procs[lost].keeper
		return k.IsBootstrapped() && len(k.state.latest().Config.EjectedEndpoints) == thousand+many && all(many+3, -1)
	})
	if w.broken != "" {
		t.Error(w.broken)
	}
}
