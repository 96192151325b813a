// Package cli holds the commands of hollylever for people: a file each, and the client with which they speak to the
// admin endpoint of a running balancer. Without a command the program serves (package server).
//
// Texts, flags, output and exit codes are an interface: runbooks and scripts use them. The tests compare them with
// files in testdata.
package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"hollylever/server"
)

// The codes with which a command ends.
const (
	exitMistake       = 1 // in a file or argument, or a failed start
	exitUsage         = 2 // the command line is wrong
	exitNoAnswer      = 3 // the admin endpoint did not answer, or not as one does
	exitRequestFailed = 4 // the admin endpoint refused the request
)

// exitError is an error with the code that the command ends with.
type exitError struct {
	error
	code int
}

// Unwrap returns the error without the code.
func (e exitError) Unwrap() error { return e.error }

// errPrinted is the error of a command that has printed all there is to say.
var errPrinted = errors.New("")

// Main is the program. Without arguments it serves, as the platform starts it, and no command is set up. join is nil in
// a program without fleets.
func Main(join server.Join) {
	if len(os.Args) > 1 {
		os.Exit(run(os.Args[1:], os.Stdout, os.Stderr, join))
	}
	server.Main(join)
}

// run runs the command that the arguments name and returns the exit code. An error is one line on errOut.
func run(args []string, out, errOut io.Writer, join server.Join) int {
	root := newRootCommand(join)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.Execute()
	if err == nil {
		return 0
	}
	var exit exitError
	if !errors.As(err, &exit) {
		exit = exitError{err, exitUsage} // Cobra's own: an unknown command, an argument too many or too few.
	}
	if !errors.Is(exit.error, errPrinted) {
		line, _, _ := strings.Cut(exit.Error(), "\n")
		fmt.Fprintln(errOut, "hollylever:", line)
	}
	return exit.code
}

func newRootCommand(join server.Join) *cobra.Command {
	root := &cobra.Command{Use: "hollylever", Short: "A balancer for fleets of cache servers",
		Long: "A balancer for fleets of cache servers. Without a command it serves, as a platform starts it.\n\n" +
			"It ends with 0 when done, 1 after a mistake in what was given or a bad start, 2 after wrong use of the command line,\n" +
			"3 where a door did not answer as one, 4 where it answered no.",
		SilenceErrors: true, SilenceUsage: true, Args: cobra.NoArgs}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return exitError{err, exitUsage} })
	root.AddCommand(newServeCommand(join), newCheckCommand(), newHostsCommand(), newReadyCommand(), newFiguresCommand(), newFleetCommand(),
		newZonesCommand(), newConfigCommand(), newVersionCommand())
	for _, command := range append(root.Commands(), root) {
		requireSubcommand(command)
	}
	return root
}

// requireSubcommand has a command that only groups others refuse an argument that is none of them.
func requireSubcommand(c *cobra.Command) {
	if c.HasSubCommands() && c.RunE == nil {
		c.Args = cobra.NoArgs
		c.RunE = func(c *cobra.Command, _ []string) error {
			return exitError{fmt.Errorf("%s needs a command: see %s --help", c.CommandPath(), c.CommandPath()), exitUsage}
		}
	}
}
