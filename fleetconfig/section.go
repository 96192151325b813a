package fleetconfig

import (
	"strconv"

	"hollylever/config"
)

const (
	maxAddressBytes = len("255.255.255.255:65535")
	// maxPeersBytes is the length of the longest valid peer list.
	maxPeersBytes = MaxMembers * (MaxNameBytes + len("=") + maxAddressBytes + len(", "))
)

// ConfigSection is the [fleet] table of a process's own settings.
var ConfigSection = config.Section{Table: "fleet", Help: "Being one of a fleet that agrees: bin/hollyfleet only.", Fields: []config.Field{
	{Name: "on", Kind: config.Boolean, Default: "false", TakesEffect: config.OnRestart, Help: "Whether it is."},
	{Name: "listen", Kind: config.Text, Default: "", TakesEffect: config.OnRestart,
		Help: "Where other processes of the fleet reach this one, ADDRESS:PORT, datagrams and connections."},
	{Name: "peers", Kind: config.Text, Default: "", MaxBytes: maxPeersBytes, TakesEffect: config.OnRestart,
		Help: "Processes named beforehand, this one among them: NAME=ADDRESS:PORT, with commas between."},
	{Name: "keepers", Kind: config.Text, Default: "", TakesEffect: config.OnRestart,
		Help: "Names of those whose majority accepts versions: one, three, five or seven, the same everywhere."},
	{Name: "way", Kind: config.Option, Default: "plain", Options: []string{"plain", "gossip"}, TakesEffect: config.OnRestart,
		Help: "Talk to the peers named only, or find others through them."},
	{Name: "state", Kind: config.Text, Default: "", TakesEffect: config.OnRestart,
		Help: "A keeper's file on a disk that lasts; without one it joins anew after each start."},
	{Name: "lease", Kind: config.Duration, Default: "1.8s", Min: "200ms", Max: "1m", TakesEffect: config.OnRestart,
		Help: "How long a lease lasts. The same everywhere."},
	{Name: "rate_error", Kind: config.Integer, Default: "10", Min: "0", Max: "100", TakesEffect: config.OnRestart,
		Help: "By how much a clock's rate may be off, in thousandths. The same everywhere."},
	{Name: "pause", Kind: config.Duration, Default: "150ms", Min: "0s", Max: "1m", TakesEffect: config.OnRestart,
		Help: "What may lie between the look at a lease and the act."},
	{Name: "behind", Kind: config.Duration, Default: "1s", Min: "0s", Max: "1m", TakesEffect: config.OnRestart,
		Help: "How long this process's list may be behind another's before it says so. Drains of later lists count at once."},
	{Name: "most", Kind: config.Integer, Default: "0", Min: "0", Max: strconv.Itoa(MaxMembers), TakesEffect: config.OnRestart,
		Help: "How many processes the fleet may have: budgets are divided among these by use; 0: by the balancers that the settings state. The same everywhere."},
	{Name: "tends", Kind: config.Integer, Default: "0", Min: "0", Max: "100000", TakesEffect: config.OnRestart,
		Help: "How many hosts a process keeps idle connections to, in the mean; 0: to all. The same everywhere."},
	{Name: "tends_near", Kind: config.Boolean, Default: "false", TakesEffect: config.OnRestart,
		Help: "Of its own zone, where that has hosts enough. The same everywhere."},
	{Name: "zones", Kind: config.Boolean, Default: "true", TakesEffect: config.OnRestart,
		Help: "Whether the fleet leaves zones that fail, and comes back, by itself."},
	{Name: "signals", Kind: config.Boolean, Default: "true", TakesEffect: config.OnRestart,
		Help: "Whether processes tell each other of hosts that fail, and heed it."},
	{Name: "signal_delay", Kind: config.Duration, Default: "50ms", Min: "1ms", Max: "4s", TakesEffect: config.OnRestart,
		Help: "How late signals may come: leaving a host and coming back are spread over four times that."},
	{Name: "rate", Kind: config.Integer, Default: "0", Min: "0", Max: "1000000000", TakesEffect: config.OnRestart,
		Help: "Bytes a second that it sends at most, 10000 or more; 0: 1 MB, and 16 kB for each process that peers or most name."},
	{Name: "trace", Kind: config.Text, Default: "", TakesEffect: config.OnRestart,
		Help: "A file for a line on each decision, for tests."},
}}
