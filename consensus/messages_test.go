package consensus

import "testing"

// Guards against forged or damaged messages that crash the process or exhaust its memory: whatever bytes arrive, a
// replica and a lease holder go on working within their bounds.
func FuzzUnmarshalMessage(f *testing.F) {
	f.Add((&Message{From: "a", LeaseRequest: &LeaseRequest{Seq: 1}}).Marshal())
	f.Add((&Message{From: "a", Raft: []byte{8, 3, 16, 1}}).Marshal())
	f.Add((&Message{From: "a", LeaseResponse: &LeaseResponse{MinRevision: 9, Revisions: []Revision{{Number: 3},
		{Number: 9}}}}).Marshal())
	f.Add((&Message{From: "b1", Announcement: &Announcement{Incarnation: 2,
		Voters: map[string]uint64{"b0": 1}}}).Marshal())
	f.Add((&Message{From: "b1", Proposal: &Proposal{ID: "x", EjectEndpoints: []string{"h"}}}).Marshal())
	f.Fuzz(func(t *testing.T, bytes []byte) {
		m, err := UnmarshalMessage(bytes)
		if err != nil {
			return
		}
		sim := newSimulation(t, 1, 3, 0, true)
		for sim.step < 400 {
			sim.advance()
		}
		p := sim.processes[0]
		if m.LeaseResponse != nil {
			p.holder.HandleLeaseResponse(p.clock(), m.LeaseResponse)
			p.holder.EffectiveConfig(p.clock())
			if len(p.holder.known.active) > maxActiveRevisions+1 {
				t.Fatalf("lease holder keeps %d active revisions, at most %d are allowed", len(p.holder.known.active),
					maxActiveRevisions+1)
			}
		} else {
			p.replica.HandleMessage(p.clock(), m)
		}
		for sim.step < 450 {
			sim.now += ms
			sim.advance()
		}
	})
}
