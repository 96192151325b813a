package fleetconfig

import (
	"fmt"
	"strings"
	"testing"
)

// A proposal with a misspelled field must be rejected, with its file, line and field, before it is sent to the voters.
// If the field were ignored, the proposal would be accepted but have a different effect than intended.
func TestProposalErrorsNamePosition(t *testing.T) {
	for text, want := range map[string]string{
		"why = \"w\"\nouts = [\"h\"]\n":       "f:2:1: outs: no such field",
		"why = \"w\"\nout = \"h\"\n":          "f:2:7: out: ",
		"[limits]\nheld = \"many\"\n":         "f:2:8: limits.held: ",
		"why = \"w\"\nwhy = \"v\"\n":          "f:2:",
		"made_for = -1\n":                     "f:1:",
		"out = [\"h\"]\n[limits]\nheld = 5\n": "",
	} {
		proposal, errs := ParseProposal("f", []byte(text))
		got := ""
		for _, err := range errs {
			got += fmt.Sprintln(err)
		}
		if !strings.HasPrefix(got, want) {
			t.Errorf("%q: got %q, want %q", text, got, want)
		}
		if want == "" && (got != "" || len(proposal.EjectEndpoints) != 1 || proposal.Limits["held"] != 5) {
			t.Errorf("%q: %q, %+v", text, got, proposal)
		}
	}
}
