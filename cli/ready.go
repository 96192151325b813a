package cli

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/spf13/cobra"
)

func newReadyCommand() *cobra.Command {
	a := &adminClient{}
	c := &cobra.Command{Use: "ready", Short: "Ask whether a balancer takes clients", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		_, err := a.request(http.MethodGet, "/ready")
		if a.asJSON {
			return printReadiness(c, err)
		}
		if err == nil {
			fmt.Fprintln(c.OutOrStdout(), "ready")
		}
		return err
	}}
	a.addFlags(c)
	return c
}

// printReadiness prints the answer to a request for readiness as JSON; one that did not come stays an error.
func printReadiness(c *cobra.Command, err error) error {
	var exit exitError
	isRefused := errors.As(err, &exit) && exit.code == exitRequestFailed
	if err != nil && !isRefused {
		return err
	}
	if err := printJSON(c, map[string]bool{"ready": !isRefused}); err != nil {
		return err
	}
	if isRefused {
		return exitError{errPrinted, exitRequestFailed}
	}
	return nil
}
