package server

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"hollylever/config"
	"hollylever/routing"
)

// Fleet is the part of a process that makes its balancer a member of a fleet.
type Fleet interface {
	// Run takes part in the fleet until the context ends.
	Run(context.Context)
	// The admin endpoint hands it the requests under /fleet.
	http.Handler
}

// Join starts the membership of a balancer in a fleet, as the checked table "fleet" of its own settings says.
// settingsDigest names the operators' settings that the process runs with, so that members can tell whether they run
// with the same ones.
type Join func(settings config.Values, name, zone, settingsDigest string, b *routing.Balancer, log zerolog.Logger) (Fleet, error)

// Main serves as the platform starts the program: under LB_CONFIG and the other variables, with LB_EXTRA naming the
// balancer's own settings. It ends the process with 1 and one line on standard error if the start fails. join is nil in
// a program without fleets.
func Main(join Join) {
	if err := Serve(os.Getenv("LB_EXTRA"), join); err != nil {
		fmt.Fprintln(os.Stderr, "hollylever:", err)
		os.Exit(1)
	}
}

// Serve runs one balancer until SIGTERM or an interrupt. settingsFile names the file of the balancer's own settings;
// with an empty name all are at their defaults. join is nil in a program without fleets. The error is that of a failed
// start; it names the variable or field.
func Serve(settingsFile string, join Join) error {
	signals := catchSignals() // First of all: a SIGHUP that is not caught ends the process.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := New(ctx, signals, settingsFile, join)
	if err != nil {
		return err
	}
	return s.Run(ctx)
}

// Signals are the channels on which a process gets the operators' signals.
type Signals struct {
	Terminate <-chan os.Signal // SIGTERM or an interrupt: shut down
	Reload    <-chan os.Signal // SIGHUP: read both configuration files again
}

func catchSignals() Signals {
	terminate, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP)
	return Signals{Terminate: terminate, Reload: reload}
}
