package snapshot

import "hollylever/fields"

// ConfigSection is this package's table of the program's own settings file.
var ConfigSection = fields.Part{Table: "learnt", Help: "What goes along to the process that comes after, in a file under $TMPDIR.",
	Fields: []fields.Field{
		{Name: "on", Kind: fields.Yes, Default: "true", When: fields.AtStart, Help: "Whether it is written and read."},
		{Name: "every", Kind: fields.Duration, Default: "1s", Least: "100ms", Most: "1m", When: fields.AtOnce,
			Help: "How often it is written while retrievals come."},
		{Name: "lasts", Kind: fields.Duration, Default: "30s", Least: "1s", Most: "10m", When: fields.AtStart,
			Help: "How old it may be to be taken."},
	}}
