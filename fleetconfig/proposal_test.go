package fleetconfig

import (
	"fmt"
	"strings"
	"testing"
)

// An operator in an incident mistypes a field of a proposal. Were the field ignored, the proposal would be accepted and
// do something else; it is refused with its file, line and field before anybody votes.
func TestProposalErrorsNamePosition(t *testing.T) {
	for text, want := range map[string]string{
		"why = \"w\"\nouts = [\"h\"]\n":       "f:2:1: outs: no such field",
		"why = \"w\"\nout = \"h\"\n":          "f:2:7: out: ",
		"[limits]\nheld = \"many\"\n":         "f:2:8: limits.held: ",
		"why = \"w\"\nwhy = \"v\"\n":          "f:2:",
		"made_for = -1\n":                     "f:1:",
		"out = [\"h\"]\n[limits]\nheld = 5\n": "",
	} {
		proposal, mistakes := ParseProposal("f", []byte(text))
		got := ""
		for _, mistake := range mistakes {
			got += fmt.Sprintln(mistake)
		}
		if !strings.HasPrefix(got, want) {
			t.Errorf("%q: %q, not %q", text, got, want)
		}
		if want == "" && (got != "" || len(proposal.EjectEndpoints) != 1 || proposal.Limits["held"] != 5) {
			t.Errorf("%q: %q, %+v", text, got, proposal)
		}
	}
}
