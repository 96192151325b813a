// Command hollylab shows hollylever at work, and puts load on balancers: experiments live here, with what they need, so
// that what serves stays lean.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
)

// The codes with which a command ends.
const (
	exitMistake = 1
	exitUse     = 2
	exitBroken  = 5 // a rule was broken
	exitEnded   = 130
)

type coded struct {
	error
	code int
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(commands(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// commands does what the words say, and gives the code to end with.
func commands(ctx context.Context, words []string, out, wrong io.Writer) int {
	root := &cobra.Command{Use: "hollylab", Short: "See hollylever at work, and put load on balancers",
		Long: "See hollylever at work, and put load on balancers.\n\nIt ends with 0 when done, 1 after a mistake, 2 after wrong use of the command line,\n" +
			"5 where a rule was broken, 130 where it was interrupted.",
		SilenceErrors: true, SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return errors.New("hollylab needs a command: see hollylab --help")
		}}
	root.SetArgs(words)
	root.SetOut(out)
	root.SetErr(wrong)
	root.AddCommand(demoCommand(), loadCommand(), overheadCommand(), curvesCommand())
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	var with coded
	if !errors.As(err, &with) {
		with = coded{err, exitUse}
	}
	if text, _, _ := strings.Cut(with.Error(), "\n"); text != "" {
		fmt.Fprintln(wrong, "hollylab:", text)
	}
	return with.code
}

// hollylever finds the program: the one named, beside this one, or on the path.
func hollylever(named string) (string, error) {
	if named != "" {
		return exec.LookPath(named)
	}
	if own, err := os.Executable(); err == nil {
		beside := filepath.Join(filepath.Dir(own), "hollylever")
		if _, err := os.Stat(beside); err == nil {
			return beside, nil
		}
	}
	found, err := exec.LookPath("hollylever")
	if err != nil {
		return "", errors.New("--hollylever: not given, and there is none beside hollylab or on the path")
	}
	return found, nil
}
