package fleet

import (
	"encoding/json"
	"os"
	"path/filepath"

	"hollylever/consensus"
	"hollylever/evacuation"
)

const (
	handoverName = "hollylever.fleet"

	maxHandoverBytes   = 4 << 20 // a chain of versions and the ramps of all zones; what is longer is no file of ours
	maxPlainVersions   = 64      // versions that are written one by one, as the version of this program before the chain read them
	maxPlainNames      = 4096    // names in all of these
	handoverPermission = 0o600   // it names endpoints
)

// handoverFile is where a process leaves the configuration in effect for the next process of its name. Without it an endpoint that was disabled by the fleet
// would get requests again after an upgrade, until the new process has its first lease. "": it leaves nothing.
type handoverFile string

// handoverIn is the file in a folder; none where there is no folder.
func handoverIn(folder string) handoverFile {
	if folder == "" {
		return ""
	}
	return handoverFile(filepath.Join(folder, handoverName))
}

// handoverState is the content of the file.
type handoverState struct {
	MinRevision uint64               `json:"floor"`
	Versions    []consensus.Revision `json:"versions,omitempty"`
	Chain       []byte               `json:"chain,omitempty"` // the versions in a shorter form, where they are many
	Ramps       []rampState          `json:"ways,omitempty"`
}

// rampState is which share of the keys did not go to a zone, and when, by the machine's clock since its start.
type rampState struct {
	Zone  string  `json:"zone"`
	Share float64 `json:"part"`
	At    int64   `json:"at"`
}

// write replaces the file at one stroke, so that a crash leaves the one before whole.
func (h handoverFile) write(state handoverState) error {
	content, err := json.Marshal(state)
	if err != nil {
		return err
	}
	aside := string(h) + ".new"
	if err := os.WriteFile(aside, content, handoverPermission); err != nil {
		return err
	}
	return os.Rename(aside, string(h))
}

// read gives what the process before left; false where there is nothing that a process writes.
func (h handoverFile) read() (state handoverState, ok bool) {
	if h == "" {
		return state, false
	}
	info, err := os.Stat(string(h))
	if err != nil || info.Size() > maxHandoverBytes {
		return state, false
	}
	content, err := os.ReadFile(string(h))
	if err != nil || json.Unmarshal(content, &state) != nil {
		return state, false
	}
	if len(state.Chain) > 0 {
		if state.Versions, err = consensus.UnmarshalRevisions(state.Chain); err != nil {
			return state, false
		}
	}
	return state, state.isConsecutive()
}

// isConsecutive tells whether the versions follow each other, from the minimum revision on.
func (s *handoverState) isConsecutive() bool {
	for n, version := range s.Versions {
		if n > 0 && version.Number != s.Versions[n-1].Number+1 || version.Number < s.MinRevision {
			return false
		}
	}
	return true
}

// shorten puts many versions into the shorter form.
func (s *handoverState) shorten() {
	names := 0
	for _, version := range s.Versions {
		names += len(version.Config.EjectedEndpoints) + len(version.Config.EvacuatedZones) + len(version.Config.Limits)
	}
	if len(s.Versions) > maxPlainVersions || names > maxPlainNames {
		s.Versions, s.Chain = nil, consensus.MarshalRevisions(s.Versions)
	}
}

// writeHandover leaves the configuration in effect and the position of each zone's ramp to the next process. Run calls it as either changes.
func (f *Fleet) writeHandover() {
	if f.handover == "" {
		return
	}
	if err := f.handover.write(f.handoverState()); err != nil {
		f.log.Warn().Err(err).Msg("handover file not written")
	}
}

func (f *Fleet) handoverState() handoverState {
	var ramps []rampState
	for zone, path := range f.evacuation.paths {
		if share, at := path.Position(); share > 0 {
			ramps = append(ramps, rampState{zone, share, at})
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	state := handoverState{MinRevision: f.effective.MinRevision, Versions: f.holder.Revisions(), Ramps: ramps}
	state.shorten()
	return state
}

// recallHandover acts on what the process before left, until there is a lease. Start calls it.
func (f *Fleet) recallHandover() {
	state, ok := f.handover.read()
	if !ok {
		return
	}
	for _, ramp := range state.Ramps {
		path := &evacuation.Ramp{}
		path.Resume(ramp.Share, ramp.At, Now())
		f.evacuation.paths[ramp.Zone] = path
	}
	f.holder.Restore(state.MinRevision, state.Versions)
	f.effective = f.holder.EffectiveConfig(Now())
	if f.effective.LatestRevision > 0 {
		f.acts.ApplyConfig(f.effective)
	}
}
