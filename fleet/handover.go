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

	maxHandoverBytes   = 4 << 20 // holds the longest chain of revisions and all ramps; larger files are ignored
	handoverPermission = 0o600

	// Up to these limits each revision is written in full, in the format that older versions of this program read.
	// Beyond them the file could reach hundreds of megabytes, so the revisions are written as a chain: the first
	// revision, followed by the changes of each later one.
	maxPlainRevisions = 64
	maxPlainNames     = 4096
)

// handoverFile is the path of the file in which a process leaves its effective configuration for the next process of
// the same name; "" means no file. Without it, endpoints that the fleet ejected would get requests again after an
// upgrade until the new process has its first lease.
type handoverFile string

// newHandoverFile returns the path of the handover file in folder, or "" if folder is empty.
func newHandoverFile(folder string) handoverFile {
	if folder == "" {
		return ""
	}
	return handoverFile(filepath.Join(folder, handoverName))
}

// handoverState is the content of the handover file.
type handoverState struct {
	MinRevision uint64               `json:"floor"`
	Revisions   []consensus.Revision `json:"versions,omitempty"`
	Chain       []byte               `json:"chain,omitempty"` // compact form, instead of Revisions if these are many
	Ramps       []rampState          `json:"ways,omitempty"`
}

// rampState is the position of a zone's ramp: the share of the keys that was routed elsewhere, and when it was so, in
// nanoseconds since boot.
type rampState struct {
	Zone  string  `json:"zone"`
	Share float64 `json:"part"`
	At    int64   `json:"at"`
}

// write replaces the file atomically by a rename, so that a crash leaves either the old or the new content.
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

// read returns the state that the previous process wrote. ok is false if the file is missing, too large or malformed;
// the process then starts without it.
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

// isConsecutive reports whether the revision numbers have no gaps and are not below the min revision.
func (s *handoverState) isConsecutive() bool {
	for n, revision := range s.Revisions {
		if n > 0 && revision.Number != s.Revisions[n-1].Number+1 || revision.Number < s.MinRevision {
			return false
		}
	}
	return true
}

// shorten replaces the revisions with their compact encoding if they exceed the limits for the plain format.
func (s *handoverState) shorten() {
	names := 0
	for _, revision := range s.Revisions {
		names += len(revision.Config.EjectedEndpoints) + len(revision.Config.EvacuatedZones) + len(revision.Config.Limits)
	}
	if len(s.Revisions) > maxPlainRevisions || names > maxPlainNames {
		s.Revisions, s.Chain = nil, consensus.MarshalRevisions(s.Revisions)
	}
}

// writeHandover writes the effective configuration and the positions of the ramps for the next process. Run calls it
// when either changes.
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

// restoreHandover applies the state that the previous process left; it is in effect until this process has a lease. It
// is called by Start.
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
