package cli

import (
	"os"

	"github.com/spf13/cobra"

	"hollylever/server"
)

func newServeCommand(join server.Join) *cobra.Command {
	c := &cobra.Command{Use: "serve", Short: "Serve, under LB_CONFIG and the other variables", Args: cobra.NoArgs}
	settingsFile := c.Flags().String("extra", os.Getenv("LB_EXTRA"), "file of hollylever's own settings (LB_EXTRA)")
	c.RunE = func(*cobra.Command, []string) error {
		if err := server.Serve(*settingsFile, join); err != nil {
			return exitError{err, exitMistake}
		}
		return nil
	}
	return c
}
