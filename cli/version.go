package cli

import (
	"errors"
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func newVersionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Tell what was built, and from what", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		info, known := debug.ReadBuildInfo()
		if !known {
			return exitError{errors.New("built without what tells its version"), exitMistake}
		}
		settings := map[string]string{}
		for _, s := range info.Settings {
			settings[s.Key] = s.Value
		}
		fmt.Fprintf(c.OutOrStdout(), "hollylever %s\n", info.Main.Version)
		for _, line := range []struct{ label, value string }{
			{"revision", settings["vcs.revision"]},
			{"of", settings["vcs.time"]},
			{"changed since", settings["vcs.modified"]},
			{"go", info.GoVersion},
		} {
			if line.value != "" {
				fmt.Fprintf(c.OutOrStdout(), "%-14s %s\n", line.label, line.value)
			}
		}
		return nil
	}}
}
