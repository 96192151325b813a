package fleetconfig

import (
	"strconv"

	"hollylever/fields"
)

const (
	maxAddressBytes = len("255.255.255.255:65535")
	// maxPeersBytes is the length of the longest list of peers that a fleet may have.
	maxPeersBytes = MaxMembers * (MaxNameBytes + len("=") + maxAddressBytes + len(", "))
)

// ConfigSection is the [fleet] table of a process's own settings.
var ConfigSection = fields.Part{Table: "fleet", Help: "Being one of a fleet that agrees: bin/hollyfleet only.", Fields: []fields.Field{
	{Name: "on", Kind: fields.Yes, Default: "false", When: fields.AtStart, Help: "Whether it is."},
	{Name: "listen", Kind: fields.Text, Default: "", When: fields.AtStart,
		Help: "Where other processes of the fleet reach this one, ADDRESS:PORT, datagrams and connections."},
	{Name: "peers", Kind: fields.Text, Default: "", MaxText: maxPeersBytes, When: fields.AtStart,
		Help: "Processes named beforehand, this one among them: NAME=ADDRESS:PORT, with commas between."},
	{Name: "keepers", Kind: fields.Text, Default: "", When: fields.AtStart,
		Help: "Names of those whose majority accepts versions: one, three, five or seven, the same everywhere."},
	{Name: "way", Kind: fields.Word, Default: "plain", Words: []string{"plain", "gossip"}, When: fields.AtStart,
		Help: "Talk to the peers named only, or find others through them."},
	{Name: "state", Kind: fields.Text, Default: "", When: fields.AtStart,
		Help: "A keeper's file on a disk that lasts; without one it joins anew after each start."},
	{Name: "lease", Kind: fields.Duration, Default: "1.8s", Least: "200ms", Most: "1m", When: fields.AtStart,
		Help: "How long a lease lasts. The same everywhere."},
	{Name: "rate_error", Kind: fields.Count, Default: "10", Least: "0", Most: "100", When: fields.AtStart,
		Help: "By how much a clock's rate may be off, in thousandths. The same everywhere."},
	{Name: "pause", Kind: fields.Duration, Default: "150ms", Least: "0s", Most: "1m", When: fields.AtStart,
		Help: "What may lie between the look at a lease and the act."},
	{Name: "behind", Kind: fields.Duration, Default: "1s", Least: "0s", Most: "1m", When: fields.AtStart,
		Help: "How long this process's list may be behind another's before it says so. Drains of later lists count at once."},
	{Name: "most", Kind: fields.Count, Default: "0", Least: "0", Most: strconv.Itoa(MaxMembers), When: fields.AtStart,
		Help: "How many processes the fleet may have: budgets are divided among these by use; 0: by the balancers that the settings state. The same everywhere."},
	{Name: "tends", Kind: fields.Count, Default: "0", Least: "0", Most: "100000", When: fields.AtStart,
		Help: "How many hosts a process keeps idle connections to, in the mean; 0: to all. The same everywhere."},
	{Name: "tends_near", Kind: fields.Yes, Default: "false", When: fields.AtStart,
		Help: "Of its own zone, where that has hosts enough. The same everywhere."},
	{Name: "zones", Kind: fields.Yes, Default: "true", When: fields.AtStart,
		Help: "Whether the fleet leaves zones that fail, and comes back, by itself."},
	{Name: "signals", Kind: fields.Yes, Default: "true", When: fields.AtStart,
		Help: "Whether processes tell each other of hosts that fail, and heed it."},
	{Name: "signal_delay", Kind: fields.Duration, Default: "50ms", Least: "1ms", Most: "4s", When: fields.AtStart,
		Help: "How late signals may come: leaving a host and coming back are spread over four times that."},
	{Name: "rate", Kind: fields.Count, Default: "0", Least: "0", Most: "1000000000", When: fields.AtStart,
		Help: "Bytes a second that it sends at most, 10000 or more; 0: 1 MB, and 16 kB for each process that peers or most name."},
	{Name: "trace", Kind: fields.Text, Default: "", When: fields.AtStart,
		Help: "A file for a line on each decision, for tests."},
}}
