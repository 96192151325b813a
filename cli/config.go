package cli

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"hollylever/config"
	"hollylever/server"
)

func newConfigCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Show what hollylever's own settings may hold"}
	c.AddCommand(newConfigExampleCommand(), newConfigExplainCommand())
	return c
}

func newConfigExampleCommand() *cobra.Command {
	return &cobra.Command{Use: "example", Short: "Print a file with every field at its default", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := io.WriteString(c.OutOrStdout(), config.Example(server.SettingsTables))
			return err
		}}
}

func newConfigExplainCommand() *cobra.Command {
	return &cobra.Command{Use: "explain [FIELD]", Short: "Explain a field, a table of them, or all", Args: cobra.MaximumNArgs(1),
		ValidArgsFunction: func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
			return config.Names(server.SettingsTables), cobra.ShellCompDirectiveNoFileComp
		},
		RunE: func(c *cobra.Command, names []string) error {
			text := config.Explain(server.SettingsTables, strings.Join(names, ""))
			if text == "" {
				known := strings.Join(config.Names(server.SettingsTables), ", ")
				return exitError{fmt.Errorf("no field or table %q; there are %s", names[0], known), exitMistake}
			}
			_, err := io.WriteString(c.OutOrStdout(), text)
			return err
		}}
}
