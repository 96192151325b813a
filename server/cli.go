package server

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"hollylever/fields"
	"hollylever/fleetconfig"
)

// The codes with which a command ends.
const (
	exitMistake = 1 // in what was given, or a bad start
	exitUse     = 2 // of the command line
	exitNoDoor  = 3 // the door did not answer, or not as a door does
	exitNo      = 4 // the door answered no
)

// coded is an error with the code that it ends with.
type coded struct {
	error
	code int
}

// errTold is an error of which everything has been said.
var errTold = errors.New("")

// commands does what the words say, and gives the code to end with. What goes wrong is one line.
func commands(words []string, out, wrong io.Writer) int {
	root := &cobra.Command{Use: "hollylever", Short: "A balancer for fleets of cache servers",
		Long: "A balancer for fleets of cache servers. Without a command it serves, as a platform starts it.\n\n" +
			"It ends with 0 when done, 1 after a mistake in what was given or a bad start, 2 after wrong use of the command line,\n" +
			"3 where a door did not answer as one, 4 where it answered no.",
		SilenceErrors: true, SilenceUsage: true, Args: cobra.NoArgs}
	root.SetArgs(words)
	root.SetOut(out)
	root.SetErr(wrong)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return coded{err, exitUse} })
	root.AddCommand(serveCommand(), checkCommand(), hostsCommand(), readyCommand(), figuresCommand(), fleetCommand(), zonesCommand(), configCommand(), versionCommand())
	for _, c := range append(root.Commands(), root) {
		noWord(c)
	}
	err := root.Execute()
	if err == nil {
		return 0
	}
	var with coded
	if !errors.As(err, &with) {
		with = coded{err, exitUse} // Cobra's own: an unknown command, a word too many or too few.
	}
	if !errors.Is(with.error, errTold) {
		line, _, _ := strings.Cut(with.Error(), "\n")
		fmt.Fprintln(wrong, "hollylever:", line)
	}
	return with.code
}

// noWord has a command that only groups others refuse a word that is none of them.
func noWord(c *cobra.Command) {
	if c.HasSubCommands() && c.RunE == nil {
		c.Args = cobra.NoArgs
		c.RunE = func(c *cobra.Command, _ []string) error {
			return coded{fmt.Errorf("%s needs a command: see %s --help", c.CommandPath(), c.CommandPath()), exitUse}
		}
	}
}

func serveCommand() *cobra.Command {
	c := &cobra.Command{Use: "serve", Short: "Serve, under LB_CONFIG and the other variables", Args: cobra.NoArgs}
	file := c.Flags().String("extra", os.Getenv("LB_EXTRA"), "file of hollylever's own settings (LB_EXTRA)")
	c.RunE = func(*cobra.Command, []string) error {
		if err := serve(*file); err != nil {
			return coded{err, exitMistake}
		}
		return nil
	}
	return c
}

func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE...", Short: "Report every mistake in configurations (JSON) and own settings (TOML)",
		Args: cobra.MinimumNArgs(1), RunE: func(c *cobra.Command, files []string) error {
			bad := 0
			for _, file := range files {
				wrong := checked(file)
				for _, m := range wrong {
					fmt.Fprintln(c.OutOrStdout(), m)
				}
				if len(wrong) == 0 {
					fmt.Fprintf(c.OutOrStdout(), "%s: good%s\n", file, stated(file))
				}
				bad += len(wrong)
			}
			if bad > 0 {
				return coded{errTold, exitMistake}
			}
			return nil
		}}
}

// checked finds all that is wrong with a file: a platform's configuration if it begins as JSON, own settings if not.
func checked(file string) []fields.FieldError {
	text, err := fields.Whole(file)
	if err != nil {
		return []fields.FieldError{{File: file, Why: err.Error()}}
	}
	if begins := strings.TrimLeft(string(text[:min(len(text), 64)]), " \t\r\n\ufeff"); !strings.HasSuffix(file, ".json") && !strings.HasPrefix(begins, "{") {
		own, wrong := fields.Parse(file, text, parts)
		if len(wrong) > 0 {
			return wrong
		}
		if err := fleetconfig.Validate(own, ""); err != nil {
			field, why, _ := strings.Cut(err.Error(), ": ")
			return []fields.FieldError{{File: file, Field: field, Why: why}}
		}
		return nil
	}
	_, wrong := examine(file, text, func(string) string { return "" })
	for n := range wrong {
		if wrong[n].File != file {
			wrong[n] = fields.FieldError{File: file, Why: "not a JSON object"}
		}
	}
	return wrong
}

// stated tells T, the longest time for which two processes under leases can contradict each other, where a file has a fleet.
func stated(file string) string {
	own, wrong := fields.Read(file, parts)
	if len(wrong) > 0 || !own.Yes("fleet.on") {
		return ""
	}
	return fmt.Sprintf("; T is %v", fleetconfig.ParseLeaseTiming(own).MaxDisagreement().Round(time.Millisecond))
}

func configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Show what hollylever's own settings may hold"}
	c.AddCommand(&cobra.Command{Use: "example", Short: "Print a file with every field at its default", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := io.WriteString(c.OutOrStdout(), fields.Example(parts))
			return err
		}})
	c.AddCommand(&cobra.Command{Use: "explain [FIELD]", Short: "Explain a field, a table of them, or all", Args: cobra.MaximumNArgs(1),
		ValidArgsFunction: func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
			return fields.Names(parts), cobra.ShellCompDirectiveNoFileComp
		},
		RunE: func(c *cobra.Command, names []string) error {
			text := fields.Explain(parts, strings.Join(names, ""))
			if text == "" {
				return coded{fmt.Errorf("no field or table %q; there are %s", names[0], strings.Join(fields.Names(parts), ", ")), exitMistake}
			}
			_, err := io.WriteString(c.OutOrStdout(), text)
			return err
		}})
	return c
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Tell what was built, and from what", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		info, known := debug.ReadBuildInfo()
		if !known {
			return coded{errors.New("built without what tells its version"), exitMistake}
		}
		said := map[string]string{}
		for _, s := range info.Settings {
			said[s.Key] = s.Value
		}
		fmt.Fprintf(c.OutOrStdout(), "hollylever %s\n", info.Main.Version)
		for _, line := range [][2]string{{"revision", said["vcs.revision"]}, {"of", said["vcs.time"]}, {"changed since", said["vcs.modified"]}, {"go", info.GoVersion}} {
			if line[1] != "" {
				fmt.Fprintf(c.OutOrStdout(), "%-14s %s\n", line[0], line[1])
			}
		}
		return nil
	}}
}
