package server

import (
	"io"
	"os"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"hollylever/fields"
	"hollylever/fleetconfig"
	"hollylever/snapshot"
	"hollylever/stallwatch"
)

// parts are all that our own settings file may hold.
var parts = []fields.Part{logPart, stallwatch.ConfigSection, snapshot.ConfigSection, fleetconfig.ConfigSection}

var logPart = fields.Part{Table: "log", Help: "The log, on standard error.", Fields: []fields.Field{
	{Name: "level", Kind: fields.Word, Default: "info", Words: []string{"debug", "info", "warn", "error"}, When: fields.AtOnce,
		Help: "From which level on lines are logged."},
	{Name: "form", Kind: fields.Word, Default: "json", Words: []string{"json", "console"}, When: fields.AtStart,
		Help: "One JSON object a line, or lines for people."},
	{Name: "summary", Kind: fields.Duration, Default: "10s", Least: "1s", Most: "1h", When: fields.AtOnce,
		Help: "How often the summary is logged."},
	{Name: "lines", Kind: fields.Count, Default: "4096", Least: "16", Most: "65536", When: fields.AtStart,
		Help: "How many lines wait for whoever reads the log; more, and the oldest are lost. A list of a thousand cache hosts can change at once."},
}}

var levels = map[string]zerolog.Level{"debug": zerolog.DebugLevel, "info": zerolog.InfoLevel, "warn": zerolog.WarnLevel, "error": zerolog.ErrorLevel}

// extra reads our own settings, if a file is named; else all is at its default.
func extra(file string) (fields.Values, error) {
	if file == "" {
		return fields.Standard(parts), nil
	}
	values, wrong := fields.Read(file, parts)
	if len(wrong) > 0 {
		return values, wrong[0]
	}
	return values, nil
}

// logging makes the log. Nobody waits for it: whoever reads it may stand still. flush writes what is left, for a moment.
func logging(values fields.Values, name string) (log zerolog.Logger, wrote *stallwatch.Timer, flush func()) {
	wrote = &stallwatch.Timer{}
	var form io.Writer = stallwatch.TimedWriter{Writer: os.Stderr, Timer: wrote}
	if values.Word("log.form") == "console" {
		form = zerolog.ConsoleWriter{Out: form, NoColor: true, TimeFormat: "15:04:05.000"}
	}
	out := diode.NewWriter(form, int(values.Count("log.lines")), 0, nil)
	zerolog.SetGlobalLevel(levels[values.Word("log.level")])
	return zerolog.New(out).With().Timestamp().Str("balancer", name).Logger(), wrote, func() { flushed(out) }
}
