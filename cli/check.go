package cli

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"hollylever/config"
	"hollylever/fleetconfig"
	"hollylever/server"
)

func newCheckCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE...", Short: "Report every mistake in configurations (JSON) and own settings (TOML)",
		Args: cobra.MinimumNArgs(1), RunE: func(c *cobra.Command, files []string) error {
			total := 0
			for _, file := range files {
				mistakes := checkFile(file)
				for _, m := range mistakes {
					fmt.Fprintln(c.OutOrStdout(), m)
				}
				if len(mistakes) == 0 {
					fmt.Fprintf(c.OutOrStdout(), "%s: good%s\n", file, describeDisagreement(file))
				}
				total += len(mistakes)
			}
			if total > 0 {
				return exitError{errPrinted, exitMistake}
			}
			return nil
		}}
}

// checkFile returns all that is wrong with a file: with a platform's configuration if it begins as JSON, with own
// settings if not.
func checkFile(file string) []config.FieldError {
	text, err := config.ReadFile(file)
	if err != nil {
		return []config.FieldError{{File: file, Reason: err.Error()}}
	}
	if isConfiguration(file, text) {
		return checkConfiguration(file, text)
	}
	return checkSettings(file, text)
}

// isConfiguration tells a platform's configuration by its name or its first character.
func isConfiguration(file string, text []byte) bool {
	start := strings.TrimLeft(string(text[:min(len(text), 64)]), " \t\r\n\ufeff")
	return strings.HasSuffix(file, ".json") || strings.HasPrefix(start, "{")
}

func checkConfiguration(file string, text []byte) []config.FieldError {
	_, mistakes := server.ParseConfiguration(file, text, func(string) string { return "" })
	for n := range mistakes {
		if mistakes[n].File != file { // Without variables only a file that is no JSON object has another name in it.
			mistakes[n] = config.FieldError{File: file, Reason: "not a JSON object"}
		}
	}
	return mistakes
}

func checkSettings(file string, text []byte) []config.FieldError {
	settings, mistakes := config.Parse(file, text, server.SettingsTables)
	if len(mistakes) > 0 {
		return mistakes
	}
	if err := fleetconfig.Validate(settings, ""); err != nil {
		field, why, _ := strings.Cut(err.Error(), ": ")
		return []config.FieldError{{File: file, Field: field, Reason: why}}
	}
	return nil
}

// describeDisagreement tells T, the longest time for which two processes under leases can act on contradicting
// configurations, where a file has a fleet.
func describeDisagreement(file string) string {
	settings, mistakes := config.Read(file, server.SettingsTables)
	if len(mistakes) > 0 || !settings.Boolean("fleet.on") {
		return ""
	}
	return fmt.Sprintf("; T is %v", fleetconfig.ParseLeaseTiming(settings).MaxDisagreement().Round(time.Millisecond))
}
