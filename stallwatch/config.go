package stallwatch

import "hollylever/config"

// ConfigSection describes this package's table in the program's own settings file.
var ConfigSection = config.Section{Table: "watch", Help: "What notices that the program stood still.", Fields: []config.Field{
	{Name: "on", Kind: config.Boolean, Default: "true", TakesEffect: config.OnRestart, Help: "Whether anything looks."},
	{Name: "over", Kind: config.Duration, Default: "100ms", Min: "50ms", Max: "10s", TakesEffect: config.OnReload,
		Help: "The least time that counts as standing still."},
}}
