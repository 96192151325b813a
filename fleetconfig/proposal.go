package fleetconfig

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"hollylever/config"
)

// Proposal is a change of the replicated configuration that an operator proposes, as a file states it (TOML) and as the
// endpoint for proposals takes it (JSON). What it does not state stays as it is.
type Proposal struct {
	// ID is the same in each attempt to propose it, so that it takes effect once.
	ID     string `toml:"-" json:"id"`
	Author string `toml:"by" json:"by,omitempty"`
	Reason string `toml:"why" json:"why,omitempty"`
	// BaseRevision is the only revision that it may follow; 0: any.
	BaseRevision uint64 `toml:"made_for" json:"made_for,omitempty"`

	// EjectEndpoints get no requests until UnejectEndpoints names them.
	EjectEndpoints   []string `toml:"out" json:"out,omitempty"`
	UnejectEndpoints []string `toml:"back" json:"back,omitempty"`
	// Limits are bounds of what the whole fleet may do, by name; a negative one is removed.
	Limits map[string]int64 `toml:"limits" json:"limits,omitempty"`
	// SettingsDigest is of the operators' settings that all should run with; "": any.
	SettingsDigest *string `toml:"settings_digest" json:"settings_digest,omitempty"`
	// DiscoverySource is the discovery service whose endpoint list counts; "": any. MinListIndex is the first index of
	// it that does.
	DiscoverySource *string `toml:"list_of" json:"list_of,omitempty"`
	MinListIndex    *uint64 `toml:"list_from" json:"list_from,omitempty"`
	// EvacuateZones get no keys until RestoreZones names them.
	EvacuateZones []string `toml:"leave" json:"leave,omitempty"`
	RestoreZones  []string `toml:"return" json:"return,omitempty"`
}

// ProposalResult is what became of a proposal.
type ProposalResult struct {
	ID       string `json:"id"`
	Revision uint64 `json:"version,omitempty"` // that it was accepted as; 0: it was not
	Reason   string `json:"wrong,omitempty"`   // why it was not; "": it was
	IsFinal  bool   `json:"sure"`              // false: the outcome is unknown, and it may still take effect
}

const proposalFields = "by, why, made_for, out, back, limits, settings_digest, list_of, list_from, leave, return"

// ParseProposal reads a proposal from the text of a file, whose name stands in the errors. It is strict: for each field
// that is unknown, and for the first of another type, there is an error with its place.
func ParseProposal(file string, text []byte) (Proposal, []config.FieldError) {
	var proposal Proposal
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := decoder.Decode(&proposal)
	return proposal, fieldErrors(file, err)
}

// fieldErrors gives what decoding a file returned as errors with a place.
func fieldErrors(file string, err error) []config.FieldError {
	var unknown *toml.StrictMissingError
	var malformed *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown):
		var all []config.FieldError
		for n := range unknown.Errors {
			all = append(all, fieldError(file, &unknown.Errors[n], "no such field; there are "+proposalFields))
		}
		return all
	case errors.As(err, &malformed):
		return []config.FieldError{fieldError(file, malformed, strings.TrimPrefix(malformed.Error(), "toml: "))}
	default:
		return []config.FieldError{{File: file, Reason: err.Error()}}
	}
}

func fieldError(file string, at *toml.DecodeError, why string) config.FieldError {
	line, column := at.Position()
	return config.FieldError{File: file, Line: line, Column: column, Field: strings.Join(at.Key(), "."), Reason: why}
}
