package fleet

import (
	"encoding/json"
	"os"

	"hollylever/consensus"
	"hollylever/evacuation"
)

// left is what a process leaves for the one that comes after it: what counts, so that a ban holds from its first retrieval on.
type left struct {
	Floor    uint64               `json:"floor"`
	Versions []consensus.Revision `json:"versions,omitempty"`
	Chain    []byte               `json:"chain,omitempty"` // the same, where they are many: a version before takes them from its first lease
	Ways     []leftWay            `json:"ways,omitempty"`
}

// leftWay is how far it was from a zone, and when by the machine's clock since its start.
type leftWay struct {
	Zone string  `json:"zone"`
	Part float64 `json:"part"`
	At   int64   `json:"at"`
}

const (
	maxLeft      = 4 << 20 // bytes of the file: a chain of versions and the ways out of all zones
	plainVersion = 64      // versions that are left one by one
	plainNames   = 4096    // with so many names in all
)

// leavesPlain tells whether versions are left one by one.
func leavesPlain(versions []consensus.Revision) bool {
	names := 0
	for _, v := range versions {
		names += len(v.Config.EjectedEndpoints) + len(v.Config.EvacuatedZones) + len(v.Config.Limits)
	}
	return len(versions) <= plainVersion && names <= plainNames
}

// leave writes what this process acts on, aside and renamed.
func (f *Fleet) leave() {
	if f.left == "" {
		return
	}
	f.mu.Lock()
	var ways []leftWay
	for zone, path := range f.zones.paths {
		if part, at := path.Position(); part > 0 {
			ways = append(ways, leftWay{zone, part, at})
		}
	}
	l := left{Floor: f.acting.MinRevision, Versions: f.holder.Revisions(), Ways: ways}
	if !leavesPlain(l.Versions) {
		l.Versions, l.Chain = nil, consensus.MarshalRevisions(l.Versions)
	}
	bytes, err := json.Marshal(l)
	f.mu.Unlock()
	if err == nil {
		if err = os.WriteFile(f.left+".new", bytes, 0o600); err == nil {
			err = os.Rename(f.left+".new", f.left)
		}
	}
	if err != nil {
		f.log.Warn().Err(err).Msg("what is acted on was not left")
	}
}

// recall acts on what the process before left, alone, until there is a lease.
func (f *Fleet) recall() {
	at, err := os.Stat(f.left)
	if f.left == "" || err != nil || at.Size() > maxLeft {
		return
	}
	bytes, err := os.ReadFile(f.left)
	var l left
	if err != nil || json.Unmarshal(bytes, &l) != nil {
		return
	}
	if len(l.Chain) > 0 {
		if l.Versions, err = consensus.UnmarshalRevisions(l.Chain); err != nil {
			return
		}
	}
	for n, v := range l.Versions {
		if n > 0 && v.Number != l.Versions[n-1].Number+1 || v.Number < l.Floor {
			return // Not what a process writes.
		}
	}
	for _, w := range l.Ways {
		f.zones.paths[w.Zone] = &evacuation.Ramp{}
		f.zones.paths[w.Zone].Resume(w.Part, w.At, Now())
	}
	f.holder.Restore(l.Floor, l.Versions)
	f.acting = f.holder.EffectiveConfig(Now())
	if f.acting.LatestRevision > 0 {
		f.acts.ApplyConfig(f.acting)
	}
}
