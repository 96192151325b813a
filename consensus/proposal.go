package consensus

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// maxProposalBytes bounds one proposal, so that some fit into one message of raft with what is pending.
const maxProposalBytes = 320 << 10

// Why a proposal cannot become the next revision. Proposers read the texts.
var (
	// ErrBaseRevision is returned where another revision came in between.
	ErrBaseRevision = errors.New("made for another version")
	// ErrNoChange is returned where the latest revision has all of it already.
	ErrNoChange = errors.New("changes nothing")
	errNoID     = errors.New("id: missing")
	errNoName   = errors.New("an empty name")
)

// Proposal is what is to differ from the revision before. It is also the delta between two revisions.
type Proposal struct {
	// ID is chosen by the proposer: a proposal that is sent twice is in force once.
	ID string `cbor:"1,keyasint"`
	// Author and Reason are for whoever reads the history.
	Author string `cbor:"2,keyasint,omitempty"`
	Reason string `cbor:"3,keyasint,omitempty"`
	// BaseRevision is the revision that it was made for; 0: any.
	BaseRevision uint64 `cbor:"4,keyasint,omitempty"`
	// EjectEndpoints are hosts to eject, UnejectEndpoints ejected ones to use again.
	EjectEndpoints   []string `cbor:"5,keyasint,omitempty"`
	UnejectEndpoints []string `cbor:"6,keyasint,omitempty"`
	// Limits are limits to state; one under 0 is taken back.
	Limits map[string]int64 `cbor:"7,keyasint,omitempty"`
	// SettingsDigest, DiscoverySource and MinListIndex are new values of the fields of the same names; nil: as
	// before.
	SettingsDigest  *string `cbor:"8,keyasint,omitempty"`
	DiscoverySource *string `cbor:"9,keyasint,omitempty"`
	MinListIndex    *uint64 `cbor:"10,keyasint,omitempty"`
	// EvacuateZones are zones to leave, RestoreZones evacuated ones to use again.
	EvacuateZones []string `cbor:"11,keyasint,omitempty"`
	RestoreZones  []string `cbor:"12,keyasint,omitempty"`
}

// Validate checks what can be checked without the configuration that the proposal meets: texts, names, sizes. The
// error begins with the field, by the name that operators write. Proposers call it, and replicas for each proposal
// that comes over the network.
func (p *Proposal) Validate() error {
	if p.ID == "" {
		return errNoID
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

// validateTexts looks at all names and texts, in the order in which operators write the fields.
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
				return fmt.Errorf("%s: %w", field.name, errNoName)
			}
		}
	}
	return nil
}

// isPlainText tells whether a text can be shown on one line. U+FFFD stands for bytes that are not UTF-8.
func isPlainText(text string) bool {
	isOdd := func(r rune) bool { return r < ' ' || r == 0x7f || r == 0xfffd }
	return len(text) <= maxNameBytes && !strings.ContainsFunc(text, isOdd)
}

// validateDisjoint refuses a name that a proposal both adds and removes.
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

// apply makes the next revision. It depends on nothing but its arguments, as each replica does it for itself; an
// error has the revision unchanged beside it.
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
	case len(encoded) > maxConfigBytes || !config.hasCountsWithinBounds():
		return before, fmt.Errorf("the document would be too large: %d bytes, %d hosts, %d limits", len(encoded),
			len(config.EjectedEndpoints), len(config.Limits))
	}
	return next, nil
}
