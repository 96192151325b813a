package server

import (
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"

	"hollylever/config"
	"hollylever/fleetconfig"
	"hollylever/snapshot"
	"hollylever/stallwatch"
)

// SettingsTables are the tables that the file of the balancer's own settings may hold.
var SettingsTables = []config.Section{logTable, stallwatch.ConfigSection, snapshot.ConfigSection, fleetconfig.ConfigSection}

var logTable = config.Section{Table: "log", Help: "The log, on standard error.", Fields: []config.Field{
	{Name: "level", Kind: config.Option, Default: "info", Options: []string{"debug", "info", "warn", "error"}, TakesEffect: config.OnReload,
		Help: "From which level on lines are logged."},
	{Name: "form", Kind: config.Option, Default: "json", Options: []string{"json", "console"}, TakesEffect: config.OnRestart,
		Help: "One JSON object a line, or lines for people."},
	{Name: "summary", Kind: config.Duration, Default: "10s", Min: "1s", Max: "1h", TakesEffect: config.OnReload,
		Help: "How often the summary is logged."},
	{Name: "lines", Kind: config.Integer, Default: "4096", Min: "16", Max: "65536", TakesEffect: config.OnRestart,
		Help: "How many lines wait for whoever reads the log; more, and the oldest are lost. A list of a thousand cache hosts can change at once."},
}}

var logLevels = map[string]zerolog.Level{"debug": zerolog.DebugLevel, "info": zerolog.InfoLevel, "warn": zerolog.WarnLevel, "error": zerolog.ErrorLevel}

// flushTimeout bounds the writing of what the log holds as the process ends: the reader of standard error may have
// gone.
const flushTimeout = 100 * time.Millisecond

// readSettings reads the balancer's own settings. With an empty name all are at their defaults. The error is the first
// mistake of the file.
func readSettings(file string) (config.Values, error) {
	if file == "" {
		return config.Defaults(SettingsTables), nil
	}
	values, mistakes := config.Read(file, SettingsTables)
	if len(mistakes) > 0 {
		return values, mistakes[0]
	}
	return values, nil
}

// newLogger makes the log, on standard error. Logging never blocks: lines that the reader does not take in time are
// dropped, the oldest first. writes times the writes; flush writes what is left, for at most flushTimeout.
func newLogger(settings config.Values, name string) (log zerolog.Logger, writes *stallwatch.Timer, flush func()) {
	writes = &stallwatch.Timer{}
	var output io.Writer = stallwatch.TimedWriter{Writer: os.Stderr, Timer: writes}
	if settings.Text("log.form") == "console" {
		output = zerolog.ConsoleWriter{Out: output, NoColor: true, TimeFormat: "15:04:05.000"}
	}
	buffered := newLogWriter(output, int(settings.Integer("log.lines")))
	zerolog.SetGlobalLevel(logLevels[settings.Text("log.level")])
	return zerolog.New(buffered).With().Timestamp().Str("balancer", name).Logger(), writes, func() { closeWithin(buffered, flushTimeout) }
}

// closeWithin closes what is given, and waits for it at most for the time-out.
func closeWithin(c io.Closer, timeout time.Duration) {
	done := make(chan struct{})
	go func() { c.Close(); close(done) }()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}
