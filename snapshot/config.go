package snapshot

import "hollylever/config"

// ConfigSection describes this package's table in the program's own settings file.
var ConfigSection = config.Section{Table: "learnt", Help: "What goes along to the process that comes after, in a file under $TMPDIR.",
	Fields: []config.Field{
		{Name: "on", Kind: config.Boolean, Default: "true", TakesEffect: config.OnRestart, Help: "Whether it is written and read."},
		{Name: "every", Kind: config.Duration, Default: "1s", Min: "100ms", Max: "1m", TakesEffect: config.OnReload,
			Help: "How often it is written while retrievals come."},
		{Name: "lasts", Kind: config.Duration, Default: "30s", Min: "1s", Max: "10m", TakesEffect: config.OnRestart,
			Help: "How old it may be to be taken."},
	}}
