package consensus

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

const thousand = 1024

// thousandNames are as long as names may be.
func thousandNames(kind string) (names []string) {
	for n := range thousand {
		name := fmt.Sprintf("%s-%04d-", kind, n)
		names = append(names, name+strings.Repeat("x", maxNameBytes-len(name)))
	}
	return names
}

// An operator ejects hosts one by one while a paused process holds a lease under the first revision: 1,024 revisions
// can wait for it. All go in one message and in one snapshot, a holder that knows any of them has the rest as deltas,
// and one more is refused.
func TestThousandRevisionsCanBeActive(t *testing.T) {
	s := initialState(7, map[string]uint64{"b0": 1})
	for n := 1; n < maxActiveRevisions; n++ {
		id := fmt.Sprint("p", n)
		s.Unaccepted = append(s.Unaccepted, unacceptedProposal{Proposal{ID: id, Author: "op", Reason: "a test",
			EjectEndpoints: []string{fmt.Sprintf("host-%04d", n)}}, 1})
		if _, err := s.accept(id); err != nil {
			t.Fatalf("revision %d: %v", n+1, err)
		}
	}
	s.Unaccepted = []unacceptedProposal{{Proposal{ID: "more", EjectEndpoints: []string{"more"}}, 1}}
	if _, err := s.accept("more"); err == nil {
		t.Error("one more than can count is accepted")
	}
	bytes := s.marshal()
	back, err := unmarshalState(bytes)
	if err != nil || len(back.History) != maxActiveRevisions || back.latest().Digest() != s.latest().Digest() ||
		len(bytes) > maxMessageBytes {
		t.Fatalf("%v: %d revisions of %d, in %d bytes", err, len(back.History), maxActiveRevisions, len(bytes))
	}
	r := &Replica{Name: "b0", state: back}
	h := NewLeaseHolder(0, "p", 1, testTiming, []string{"b0"}, discardSender{}, func(int) int { return 0 })
	for _, known := range []uint64{0, 1000} {
		packed := (&Message{From: "b0", LeaseResponse: r.leaseResponse(1, known, true)}).Marshal()
		m, err := UnmarshalMessage(packed)
		if err != nil {
			t.Fatal(err)
		}
		if known == 1000 { // One that knows so many already.
			h = NewLeaseHolder(0, "p", 1, testTiming, []string{"b0"}, discardSender{}, func(int) int { return 0 })
			h.Restore(1, slices.Clone(back.History[:known]))
			if len(m.LeaseResponse.Revisions) != 0 || len(packed) > 10_000 {
				t.Errorf("%d bytes for the last %d revisions", len(packed), uint64(maxActiveRevisions)-known)
			}
		}
		if !h.mergeResponse(m.LeaseResponse) || len(h.known.active) != maxActiveRevisions ||
			len(h.known.config.EjectedEndpoints) != maxActiveRevisions-1 ||
			h.known.active[maxActiveRevisions-1].Digest() != s.latest().Digest() {
			t.Errorf("knowing %d: %d revisions, %d ejected", known, len(h.known.active),
				len(h.known.config.EjectedEndpoints))
		}
	}
	unknowing := NewLeaseHolder(0, "p", 1, testTiming, []string{"b0"}, discardSender{}, func(int) int { return 0 })
	if unknowing.mergeResponse(r.leaseResponse(1, 1000, true)) || len(unknowing.known.active) > 0 {
		t.Error("deltas are taken without what they begin with")
	}
	left, err := UnmarshalRevisions(MarshalRevisions(h.known.active))
	if err != nil || len(left) != maxActiveRevisions || left[maxActiveRevisions-1].Digest() != s.latest().Digest() {
		t.Errorf("%v: %d revisions come back", err, len(left))
	}
	if g := r.leaseResponse(1, 1020, false); len(g.Revisions) != 4 || len(g.Deltas) != 0 {
		t.Error("a holder of a build before deltas is sent deltas")
	}
}

// A delta that misses a field gives a holder another configuration under the same number. Changes of every kind are
// found again from the revisions and give the same digests.
func TestDeltasReproduceRevisions(t *testing.T) {
	d1, s1, f1 := "d1", "127.0.0.1:1", uint64(9)
	v := Revision{Number: 1}
	var all []Revision
	for n, c := range []Proposal{{EjectEndpoints: []string{"a", "b", "c"}, Limits: map[string]int64{"held": 5,
		"quota.t": 7}}, {UnejectEndpoints: []string{"b"}, EvacuateZones: []string{"z"}, SettingsDigest: &d1},
		{Limits: map[string]int64{"held": -1, "quota.t": 0}, DiscoverySource: &s1}, {RestoreZones: []string{"z"},
			MinListIndex: &f1, EjectEndpoints: []string{"b"}}} {
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

// A fleet of 1,024 hosts and 1,024 zones with the longest names outgrows a message or a snapshot. It agrees on all of
// them, on many revisions in the time of one lease, and lets a replica in that lost its state.
func TestThousandEndpointsAndZonesReplicate(t *testing.T) {
	sim := newSimulation(t, 5, 3, 3, true)
	until := func(what string, come func() bool) {
		t.Helper()
		for end := sim.now + 60_000*ms; !come(); sim.advance() {
			if sim.now > end || sim.violation != "" {
				t.Fatalf("%s does not come; %s", what, sim.violation)
			}
		}
	}
	all := func(revision uint64, but int) bool {
		for n, p := range sim.processes {
			if a := p.holder.EffectiveConfig(p.clock()); n != but && (!a.IsLeased || a.LatestRevision < revision) {
				return false
			}
		}
		return true
	}
	leads := func() int {
		return slices.IndexFunc(sim.processes, func(p *process) bool {
			return p.replica != nil &&
				p.replica.IsLeader()
		})
	}
	until("a lease everywhere", func() bool { return all(1, -1) })
	sim.processes[5].isPaused = true // Its lease keeps the min revision back.
	const many, atOnce = 192, 32
	for n := 0; n < many; n += atOnce {
		for i := range atOnce {
			sim.propose(4, leads(), Proposal{EjectEndpoints: []string{fmt.Sprint("host-", n+i)}})
		}
		until("an answer to each", func() bool { return len(sim.processes[4].waiting) == 0 })
	}
	if len(sim.accepted) != many || len(sim.refused) > 0 {
		t.Errorf("%d proposals of %d are accepted, %d refused", len(sim.accepted), many, len(sim.refused))
	}
	sim.processes[5].resume()
	until("all acting on all", func() bool { return all(many+1, -1) })
	sim.propose(4, leads(), Proposal{EjectEndpoints: thousandNames("host")})
	sim.propose(4, leads(), Proposal{EvacuateZones: thousandNames("zone")})
	until("all acting on the long ones", func() bool { return all(many+3, -1) })
	for _, p := range sim.processes {
		if a := p.holder.EffectiveConfig(p.clock()); len(a.EjectedEndpoints) != thousand+many ||
			len(a.EvacuatedZones) != thousand {
			t.Errorf("%s acts on %d hosts and %d zones", p.name, len(a.EjectedEndpoints), len(a.EvacuatedZones))
		}
	}
	lost := (leads() + 1) % 3
	sim.processes[lost].disk = nil
	sim.startProcess(lost, true, 3)
	until("the replica that lost its state", func() bool {
		r := sim.processes[lost].replica
		return r.IsBootstrapped() && len(r.state.latest().Config.EjectedEndpoints) == thousand+many && all(many+3, -1)
	})
	if sim.violation != "" {
		t.Error(sim.violation)
	}
}
