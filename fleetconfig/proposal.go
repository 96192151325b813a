package fleetconfig

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"hollylever/config"
)

// Proposal is an operator's proposed change to the replicated configuration, as read from a file (TOML) and as accepted
// by the admin endpoint (JSON). Unset fields leave the configuration unchanged.
type Proposal struct {
	// ID is the same in all attempts to make the proposal, so that it takes effect only once.
	ID     string `toml:"-" json:"id"`
	Author string `toml:"by" json:"by,omitempty"`
	Reason string `toml:"why" json:"why,omitempty"`
	// BaseRevision is the revision that the proposal must directly follow; 0 means any.
	BaseRevision uint64 `toml:"made_for" json:"made_for,omitempty"`

	// EjectEndpoints get no requests until a proposal names them in UnejectEndpoints.
	EjectEndpoints   []string `toml:"out" json:"out,omitempty"`
	UnejectEndpoints []string `toml:"back" json:"back,omitempty"`
	// Limits are fleet-wide limits by name; a negative value removes the limit.
	Limits map[string]int64 `toml:"limits" json:"limits,omitempty"`
	// SettingsDigest is the digest of the operators' settings that all processes should use; "" means any.
	SettingsDigest *string `toml:"settings_digest" json:"settings_digest,omitempty"`
	// DiscoverySource is the discovery service whose endpoint list is used; "" means any. MinListIndex is the lowest
	// index of that list that is used.
	DiscoverySource *string `toml:"list_of" json:"list_of,omitempty"`
	MinListIndex    *uint64 `toml:"list_from" json:"list_from,omitempty"`
	// EvacuateZones get no keys until a proposal names them in RestoreZones.
	EvacuateZones []string `toml:"leave" json:"leave,omitempty"`
	RestoreZones  []string `toml:"return" json:"return,omitempty"`
}

// ProposalResult is the outcome of a proposal.
type ProposalResult struct {
	ID       string `json:"id"`
	Revision uint64 `json:"version,omitempty"` // revision of the accepted proposal; 0 if it was not accepted
	Reason   string `json:"wrong,omitempty"`   // why it was not accepted; "" if it was
	IsFinal  bool   `json:"sure"`              // false: outcome unknown, the proposal may still take effect
}

const proposalFields = "by, why, made_for, out, back, limits, settings_digest, list_of, list_from, leave, return"

// ParseProposal parses a proposal from the text of the named file. It returns an error with its position for each
// unknown field, or for the first syntax or type error.
func ParseProposal(file string, text []byte) (Proposal, []config.FieldError) {
	var proposal Proposal
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := decoder.Decode(&proposal)
	return proposal, fieldErrors(file, err)
}

// fieldErrors converts the error from decoding a file into errors with positions.
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

func fieldError(file string, err *toml.DecodeError, reason string) config.FieldError {
	line, column := err.Position()
	field := strings.Join(err.Key(), ".")
	return config.FieldError{File: file, Line: line, Column: column, Field: field, Reason: reason}
}
