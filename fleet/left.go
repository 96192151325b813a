package fleet

import (
	"encoding/json"
	"os"

	"hollylever/agreed"
	"hollylever/zones"
)

// left is what a process leaves for the one that comes after it: what counts, so that a ban holds from its first retrieval on.
type left struct {
	Floor    uint64           `json:"floor"`
	Versions []agreed.Version `json:"versions"`
	Ways     []leftWay        `json:"ways,omitempty"`
}

// leftWay is how far it was from a zone, and when by the machine's clock since its start.
type leftWay struct {
	Zone string  `json:"zone"`
	Part float64 `json:"part"`
	At   int64   `json:"at"`
}

const mostLeft = 2 << 20

// leave writes what this process acts on, aside and renamed.
func (f *Fleet) leave() {
	if f.left == "" {
		return
	}
	f.mu.Lock()
	var ways []leftWay
	for zone, path := range f.zones.paths {
		if part, at := path.Stands(); part > 0 {
			ways = append(ways, leftWay{zone, part, at})
		}
	}
	bytes, err := json.Marshal(left{f.acting.Floor, f.holder.Versions(), ways})
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
	if f.left == "" || err != nil || at.Size() > mostLeft {
		return
	}
	bytes, err := os.ReadFile(f.left)
	var l left
	if err != nil || json.Unmarshal(bytes, &l) != nil {
		return
	}
	for n, v := range l.Versions {
		if n > 0 && v.Number != l.Versions[n-1].Number+1 || v.Number < l.Floor {
			return // Not what a process writes.
		}
	}
	for _, w := range l.Ways {
		f.zones.paths[w.Zone] = &zones.Path{}
		f.zones.paths[w.Zone].Recall(w.Part, w.At, Now())
	}
	f.holder.Recall(l.Floor, l.Versions)
	f.acting = f.holder.Acting(Now())
	if f.acting.Latest > 0 {
		f.acts.Heeds(f.acting)
	}
}
