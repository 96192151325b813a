package cli

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"os"

	"github.com/spf13/cobra"

	"hollylever/config"
	"hollylever/fleetconfig"
)

func newProposeCommand(a *adminClient) *cobra.Command {
	return &cobra.Command{Use: "propose FILE", Short: "Propose what a file (TOML) has, and wait for the majority's answer", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			text, err := config.ReadFile(files[0])
			if err != nil {
				return exitError{fmt.Errorf("%s: %w", files[0], err), exitMistake}
			}
			proposal, mistakes := fleetconfig.ParseProposal(files[0], text)
			for _, m := range mistakes {
				fmt.Fprintln(c.OutOrStdout(), m)
			}
			if len(mistakes) > 0 {
				return exitError{errPrinted, exitMistake}
			}
			return a.propose(c, proposal)
		}}
}

// propose makes a proposal to the fleet under a new id and prints its result. A proposal that was rejected is an error,
// and so is one whose result is not known: it may still be accepted.
func (a *adminClient) propose(c *cobra.Command, proposal fleetconfig.Proposal) error {
	proposal.ID = rand.Text()
	if proposal.Author == "" {
		proposal.Author = orElse(os.Getenv("USER"), "unnamed")
	}
	body, err := json.Marshal(proposal)
	if err != nil {
		return exitError{err, exitMistake}
	}
	text, err := a.requestWith(http.MethodPost, "/fleet/propose", body, proposalTimeout)
	if err != nil {
		return err
	}
	var result fleetconfig.ProposalResult
	if json.Unmarshal([]byte(text), &result) != nil {
		return a.errNotAdminEndpoint()
	}
	if a.asJSON {
		if err := printJSON(c, result); err != nil {
			return err
		}
	}
	switch {
	case result.Revision == 0 && result.IsFinal:
		return exitError{fmt.Errorf("no: %s", printable(result.Reason)), exitRequestFailed}
	case result.Revision == 0:
		return exitError{fmt.Errorf("unknown: %s (hollylever fleet history)", printable(result.Reason)), exitRequestFailed}
	case !a.asJSON:
		fmt.Fprintf(c.OutOrStdout(), "accepted: version %d\n", result.Revision)
	}
	return nil
}
