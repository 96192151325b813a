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

	maxHandoverBytes   = 4 << 20 // the longest chain of revisions and all ramps; a longer file is not read
	handoverPermission = 0o600

	// Up to so many revisions, with so many names in all, are written one by one, as older versions of this program
	// read them. More would make the file hundreds of megabytes long, and go as a chain: the first revision, and what
	// each later one changed.
	maxPlainRevisions = 64
	maxPlainNames     = 4096
)

// handoverFile is the path of the file with the effective configuration of a process, for the next process of its
// name. Without the file an endpoint that the fleet ejected would get requests again after an upgrade, until the new
// process has its first lease. "": there is none.
type handoverFile string

// newHandoverFile returns the file in a folder; none where there is no folder.
func newHandoverFile(folder string) handoverFile {
	if folder == "" {
		return ""
	}
	return handoverFile(filepath.Join(folder, handoverName))
}

// handoverState is the content of the file.
type handoverState struct {
	MinRevision uint64               `json:"floor"`
	Revisions   []consensus.Revision `json:"versions,omitempty"`
	Chain       []byte               `json:"chain,omitempty"` // the revisions in a shorter form, where they are many
	Ramps       []rampState          `json:"ways,omitempty"`
}

// rampState is the position of a zone's ramp: the share of the keys that did not go there, and when, in nanoseconds
// since the machine's start.
type rampState struct {
	Zone  string  `json:"zone"`
	Share float64 `json:"part"`
	At    int64   `json:"at"`
}

// write replaces the file by a rename, so that a crash leaves either the old content or the new.
func (h handoverFile) write(state handoverState) error {
	content, err := json.Marshal(state)
	if err != nil {
		return err
	}
	temporaryPath := string(h) + ".new"
	if err := os.WriteFile(temporaryPath, content, handoverPermission); err != nil {
		return err
	}
	return os.Rename(temporaryPath, string(h))
}

// read returns what the previous process left; false where the file is missing, too long or malformed: the process
// then starts as without it.
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
		if state.Revisions, err = consensus.UnmarshalRevisions(state.Chain); err != nil {
			return state, false
		}
	}
	return state, state.isConsecutive()
}

// isConsecutive tells whether the revisions follow each other, from the minimum revision on.
func (s *handoverState) isConsecutive() bool {
	for n, revision := range s.Revisions {
		if n > 0 && revision.Number != s.Revisions[n-1].Number+1 || revision.Number < s.MinRevision {
			return false
		}
	}
	return true
}

// shorten turns many revisions into the shorter form.
func (s *handoverState) shorten() {
	names := 0
	for _, revision := range s.Revisions {
		names += len(revision.Config.EjectedEndpoints) + len(revision.Config.EvacuatedZones) + len(revision.Config.Limits)
	}
	if len(s.Revisions) > maxPlainRevisions || names > maxPlainNames {
		s.Revisions, s.Chain = nil, consensus.MarshalRevisions(s.Revisions)
	}
}

// writeHandover writes the effective configuration and the position of each zone's ramp for the next process. Run
// calls it as either changes.
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
	for zone, ramp := range f.evacuation.ramps {
		if share, at := ramp.Position(); share > 0 {
			ramps = append(ramps, rampState{zone, share, at})
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	state := handoverState{MinRevision: f.effective.MinRevision, Revisions: f.holder.Revisions(), Ramps: ramps}
	state.shorten()
	return state
}

// restoreHandover has the process act on what the previous one left, until it has a lease. Start calls it.
func (f *Fleet) restoreHandover() {
	state, ok := f.handover.read()
	if !ok {
		return
	}
	for _, left := range state.Ramps {
		ramp := &evacuation.Ramp{}
		ramp.Resume(left.Share, left.At, Now())
		f.evacuation.ramps[left.Zone] = ramp
	}
	f.holder.Restore(state.MinRevision, state.Revisions)
	f.effective = f.holder.EffectiveConfig(Now())
	if f.effective.LatestRevision > 0 {
		f.balancer.ApplyConfig(f.effective)
	}
}
