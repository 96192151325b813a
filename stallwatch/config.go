package stallwatch

import "hollylever/fields"

// ConfigSection is this package's table of the program's own settings file.
var ConfigSection = fields.Part{Table: "watch", Help: "What notices that the program stood still.", Fields: []fields.Field{
	{Name: "on", Kind: fields.Yes, Default: "true", When: fields.AtStart, Help: "Whether anything looks."},
	{Name: "over", Kind: fields.Duration, Default: "100ms", Least: "50ms", Most: "10s", When: fields.AtOnce,
		Help: "The least time that counts as standing still."},
}}
