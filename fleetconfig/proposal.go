package fleetconfig

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"hollylever/fields"
)

// Proposal is what an operator proposes, as its file has it and as the door takes it.
type Proposal struct {
	ID               string           `toml:"-" json:"id"`
	Author           string           `toml:"by" json:"by,omitempty"`
	Reason           string           `toml:"why" json:"why,omitempty"`
	BaseRevision     uint64           `toml:"made_for" json:"made_for,omitempty"`
	EjectEndpoints   []string         `toml:"out" json:"out,omitempty"`
	UnejectEndpoints []string         `toml:"back" json:"back,omitempty"`
	Limits           map[string]int64 `toml:"limits" json:"limits,omitempty"`
	SettingsDigest   *string          `toml:"settings_digest" json:"settings_digest,omitempty"`
	DiscoverySource  *string          `toml:"list_of" json:"list_of,omitempty"`
	MinListIndex     *uint64          `toml:"list_from" json:"list_from,omitempty"`
	EvacuateZones    []string         `toml:"leave" json:"leave,omitempty"`
	RestoreZones     []string         `toml:"return" json:"return,omitempty"`
}

// Answer is what became of it.
type ProposalResult struct {
	ID       string `json:"id"`
	Revision uint64 `json:"version,omitempty"`
	Reason   string `json:"wrong,omitempty"`
	IsFinal  bool   `json:"sure"`
}

// ReadProposal reads a file, strictly: a field that is none, or of another kind, is a mistake with its place.
func ParseProposal(file string, text []byte) (p Proposal, wrong []fields.FieldError) {
	reader := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := reader.Decode(&p)
	var odd *toml.StrictMissingError
	var form *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &odd):
		for _, e := range odd.Errors {
			line, column := e.Position()
			wrong = append(wrong, fields.FieldError{File: file, Line: line, Column: column, Field: strings.Join(e.Key(), "."), Why: "no such field; there are by, why, made_for, out, back, " +
				"limits, settings_digest, list_of, list_from, leave, return"})
		}
	case errors.As(err, &form):
		line, column := form.Position()
		wrong = append(wrong, fields.FieldError{File: file, Line: line, Column: column, Field: strings.Join(form.Key(), "."),
			Why: strings.TrimPrefix(form.Error(), "toml: ")})
	default:
		wrong = append(wrong, fields.FieldError{File: file, Why: err.Error()})
	}
	return p, wrong
}
