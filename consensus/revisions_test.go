package consensus

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

const testNameCount = 1024

// longestNames returns testNameCount distinct names of the maximum length.
func longestNames(kind string) (names []string) {
	for n := range testNameCount {
		name := fmt.Sprintf("%s-%04d-", kind, n)
		names = append(names, name+strings.Repeat("x", maxNameBytes-len(name)))
	}
	return names
}

// Guards against a state that no longer fits into one message or snapshot. It comes about when operators eject hosts
// one by one while a paused process holds a lease under the first revision: up to 1,024 revisions stay active. All must
// fit, a holder that knows some of them must get the rest as deltas, and a further revision must be refused.
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
		t.Errorf("revision accepted beyond the %d that may be active", maxActiveRevisions)
	}
	bytes := s.marshal()
	back, err := unmarshalState(bytes)
	if err != nil || len(back.History) != maxActiveRevisions || back.latest().Digest() != s.latest().Digest() ||
		len(bytes) > maxMessageBytes {
		t.Fatalf("state does not survive encoding: error %v, %d of %d revisions, %d bytes", err, len(back.History),
			maxActiveRevisions, len(bytes))
	}
	r := &Replica{Name: "b0", state: back}
	h := NewLeaseHolder(0, "p", 1, testTiming, []string{"b0"}, discardSender{}, func(int) int { return 0 })
	for _, known := range []uint64{0, 1000} {
		packed := (&Message{From: "b0", LeaseResponse: r.leaseResponse(1, known, true)}).Marshal()
		m, err := UnmarshalMessage(packed)
		if err != nil {
			t.Fatal(err)
		}
		if known == 1000 { // A holder that already knows the first 1,000 revisions.
			h = NewLeaseHolder(0, "p", 1, testTiming, []string{"b0"}, discardSender{}, func(int) int { return 0 })
			h.Restore(1, slices.Clone(back.History[:known]))
			if len(m.LeaseResponse.Revisions) != 0 || len(packed) > 10_000 {
				t.Errorf("%d bytes and %d full revisions for the last %d revisions, want only deltas", len(packed),
					len(m.LeaseResponse.Revisions), uint64(maxActiveRevisions)-known)
			}
		}
		if !h.mergeResponse(m.LeaseResponse) || len(h.known.active) != maxActiveRevisions ||
			len(h.known.config.EjectedEndpoints) != maxActiveRevisions-1 ||
			h.known.active[maxActiveRevisions-1].Digest() != s.latest().Digest() {
			t.Errorf("holder that knew %d revisions: has %d revisions and %d ejected endpoints", known,
				len(h.known.active), len(h.known.config.EjectedEndpoints))
		}
	}
	empty := NewLeaseHolder(0, "p", 1, testTiming, []string{"b0"}, discardSender{}, func(int) int { return 0 })
	if empty.mergeResponse(r.leaseResponse(1, 1000, true)) || len(empty.known.active) > 0 {
		t.Error("deltas accepted without their base revision")
	}
	decoded, err := UnmarshalRevisions(MarshalRevisions(h.known.active))
	if err != nil || len(decoded) != maxActiveRevisions ||
		decoded[maxActiveRevisions-1].Digest() != s.latest().Digest() {
		t.Errorf("revisions do not survive encoding: error %v, %d revisions", err, len(decoded))
	}
	if g := r.leaseResponse(1, 1020, false); len(g.Revisions) != 4 || len(g.Deltas) != 0 {
		t.Errorf("holder that does not accept deltas is sent %d revisions and %d deltas, want 4 and 0",
			len(g.Revisions), len(g.Deltas))
	}
}

// Guards against a delta that omits a field, which would give a holder a different configuration under the same
// revision number. Changes of every field must give the same digests after encoding as deltas.
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
			t.Errorf("revision decoded as %+v, want %+v", back[n], all[n])
		}
	}
}

// Guards against configurations that no longer fit into a message or snapshot: a fleet with 1,024 ejected hosts and
// 1,024 evacuated zones of the longest names, and with many revisions within one lease, must still replicate them all
// and re-admit a replica that lost its state.
func TestThousandEndpointsAndZonesReplicate(t *testing.T) {
	sim := newSimulation(t, 5, 3, 3, true)
	advanceUntil := func(what string, condition func() bool) {
		t.Helper()
		for end := sim.now + 60_000*ms; !condition(); sim.advance() {
			if sim.now > end || sim.violation != "" {
				t.Fatalf("not within 60 s of simulated time: %s; invariant violation: %q", what, sim.violation)
			}
		}
	}
	allHave := func(revision uint64, except int) bool {
		for n, p := range sim.processes {
			config := p.holder.EffectiveConfig(p.clock())
			if n != except && (!config.IsLeased || config.LatestRevision < revision) {
				return false
			}
		}
		return true
	}
	leaderIndex := func() int {
		return slices.IndexFunc(sim.processes, func(p *process) bool {
			return p.replica != nil && p.replica.IsLeader()
		})
	}
	advanceUntil("a lease on every process", func() bool { return allHave(1, -1) })
	sim.processes[5].isPaused = true // Its lease holds back the min revision.
	const proposalCount, batch = 192, 32
	for n := 0; n < proposalCount; n += batch {
		for i := range batch {
			sim.propose(4, leaderIndex(), Proposal{EjectEndpoints: []string{fmt.Sprint("host-", n+i)}})
		}
		advanceUntil("a result for each proposal", func() bool { return len(sim.processes[4].waiting) == 0 })
	}
	if len(sim.accepted) != proposalCount || len(sim.refused) > 0 {
		t.Errorf("%d of %d proposals accepted, %d refused", len(sim.accepted), proposalCount, len(sim.refused))
	}
	sim.processes[5].resume()
	advanceUntil("all revisions on every process", func() bool { return allHave(proposalCount+1, -1) })
	sim.propose(4, leaderIndex(), Proposal{EjectEndpoints: longestNames("host")})
	sim.propose(4, leaderIndex(), Proposal{EvacuateZones: longestNames("zone")})
	advanceUntil("the large revisions on every process", func() bool { return allHave(proposalCount+3, -1) })
	for _, p := range sim.processes {
		if config := p.holder.EffectiveConfig(p.clock()); len(config.EjectedEndpoints) != testNameCount+proposalCount ||
			len(config.EvacuatedZones) != testNameCount {
			t.Errorf("%s has %d ejected hosts and %d evacuated zones, want %d and %d", p.name,
				len(config.EjectedEndpoints), len(config.EvacuatedZones), testNameCount+proposalCount, testNameCount)
		}
	}
	lost := (leaderIndex() + 1) % 3
	sim.processes[lost].storage = nil
	sim.startProcess(lost, true, 3)
	advanceUntil("the replica that lost its state has all revisions", func() bool {
		r := sim.processes[lost].replica
		return r.IsBootstrapped() && len(r.state.latest().Config.EjectedEndpoints) == testNameCount+proposalCount &&
			allHave(proposalCount+3, -1)
	})
	if sim.violation != "" {
		t.Error(sim.violation)
	}
}
