package agreed

import (
	"testing"
)

// A forged or damaged message ends the process, or fills its memory: no bytes lead a replica or a lease holder astray or out of its bounds.
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
