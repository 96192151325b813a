package consensus

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// maxProposalBytes bounds the encoded size of one proposal, so that several fit into one raft message together with
// what is pending.
const maxProposalBytes = 320 << 10

// Reasons for which a proposal cannot become the next revision. The texts are sent to proposers.
var (
	// ErrBaseRevision means that the latest revision is not the one that the proposal is based on.
	ErrBaseRevision = errors.New("made for another version")
	// ErrNoChange means that the latest revision already has everything that the proposal asks for.
	ErrNoChange  = errors.New("changes nothing")
	errMissingID = errors.New("id: missing")
	errEmptyName = errors.New("an empty name")
)

// Proposal describes the changes that make the next revision. It is also the delta between two revisions.
type Proposal struct {
	// ID is chosen by the proposer. It makes proposals idempotent: one that is sent twice takes effect once.
	ID string `cbor:"1,keyasint"`
	// Author and Reason are informational and appear in the history.
	Author string `cbor:"2,keyasint,omitempty"`
	Reason string `cbor:"3,keyasint,omitempty"`
	// BaseRevision is the only revision that the proposal applies to; 0: any.
	BaseRevision uint64 `cbor:"4,keyasint,omitempty"`
	// EjectEndpoints are hosts to eject, UnejectEndpoints ejected hosts to return to use.
	EjectEndpoints   []string `cbor:"5,keyasint,omitempty"`
	UnejectEndpoints []string `cbor:"6,keyasint,omitempty"`
	// Limits are limits to set, by name; a negative value removes the limit.
	Limits map[string]int64 `cbor:"7,keyasint,omitempty"`
	// SettingsDigest, DiscoverySource and MinListIndex are new values of the fields of the same names in
	// ReplicatedConfig; nil: unchanged.
	SettingsDigest  *string `cbor:"8,keyasint,omitempty"`
	DiscoverySource *string `cbor:"9,keyasint,omitempty"`
	MinListIndex    *uint64 `cbor:"10,keyasint,omitempty"`
	// EvacuateZones are zones to evacuate, RestoreZones evacuated zones to restore.
	EvacuateZones []string `cbor:"11,keyasint,omitempty"`
	RestoreZones  []string `cbor:"12,keyasint,omitempty"`
}

// Validate checks what does not depend on the configuration that the proposal is applied to: texts, names and sizes.
// The error starts with the name of the field as operators write it. Proposers call Validate before sending, and
// replicas for each proposal received over the network.
func (p *Proposal) Validate() error {
	if p.ID == "" {
		return errMissingID
	}
	if err := p.validateTexts(); err != nil {
		return err
	}
	if err := validateDisjoint("back", p.EjectEndpoints, p.UnejectEndpoints); err != nil {
		return err
	}
	if err := validateDisjoint("return", p.EvacuateZones, p.RestoreZones); err != nil {
		return err
	}
	if size := len(encode(p)); size > maxProposalBytes {
		return fmt.Errorf("out: %d bytes in all are over the %d of one proposal; propose in parts",
			size, maxProposalBytes)
	}
	return nil
}

// validateTexts checks all names and texts and returns the error for the first invalid field.
func (p *Proposal) validateTexts() error {
	for _, field := range []struct {
		name       string
		texts      []string
		maxEntries int
	}{
		{"id", []string{p.ID}, 1},
		{"by", []string{p.Author}, 1},
		{"why", []string{p.Reason}, 1},
		{"out", p.EjectEndpoints, maxNames},
		{"back", p.UnejectEndpoints, maxNames},
		{"leave", p.EvacuateZones, maxNames},
		{"return", p.RestoreZones, maxNames},
		{"limits", slices.Sorted(maps.Keys(p.Limits)), maxLimits},
		{"settings_digest", optionalText(p.SettingsDigest), 1},
		{"list_of", optionalText(p.DiscoverySource), 1},
	} {
		if len(field.texts) > field.maxEntries {
			return fmt.Errorf("%s: over %d entries", field.name, field.maxEntries)
		}
		for _, text := range field.texts {
			if !isPlainText(text) {
				return fmt.Errorf("%s: %.40q is over %d bytes or not plain text", field.name, text, maxNameBytes)
			}
			if text == "" && field.maxEntries > 1 {
				return fmt.Errorf("%s: %w", field.name, errEmptyName)
			}
		}
	}
	return nil
}

// isPlainText reports whether a text is short enough and can be shown on one line. U+FFFD is rejected as it is what
// invalid UTF-8 decodes to.
func isPlainText(text string) bool {
	isUnprintable := func(r rune) bool { return r < ' ' || r == 0x7f || r == 0xfffd }
	return len(text) <= maxNameBytes && !strings.ContainsFunc(text, isUnprintable)
}

// validateDisjoint returns an error if a proposal both adds and removes the same name.
func validateDisjoint(field string, added, removed []string) error {
	sorted := slices.Sorted(slices.Values(removed))
	for _, name := range added {
		if _, has := slices.BinarySearch(sorted, name); has {
			return fmt.Errorf("%s: %q goes both ways", field, name)
		}
	}
	return nil
}

func optionalText(s *string) []string {
	if s == nil {
		return nil
	}
	return []string{*s}
}

// apply returns the revision that results from the proposal, or the given revision and an error. Each replica applies
// proposals on its own, so the result must depend on nothing but the arguments.
func (p *Proposal) apply(before Revision) (Revision, error) {
	if p.BaseRevision != 0 && p.BaseRevision != before.Number {
		return before, fmt.Errorf("%w: %d, not %d", ErrBaseRevision, before.Number, p.BaseRevision)
	}
	next := p.next(before)
	config := &next.Config
	encoded := encode(config)
	switch {
	case bytes.Equal(encoded, encode(before.Config)):
		return before, ErrNoChange
	case len(encoded) > maxConfigBytes || !config.isWithinCountLimits():
		return before, fmt.Errorf("the document would be too large: %d bytes, %d hosts, %d limits", len(encoded),
			len(config.EjectedEndpoints), len(config.Limits))
	}
	return next, nil
}
