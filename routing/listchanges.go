package routing

import (
	"slices"

	"github.com/rs/zerolog"

	"hollylever/policy"
)

// maxChangesPerLine bounds the endpoints named in one log line, so that the line stays readable with the longest names.
const maxChangesPerLine = 64

// listChanges holds the endpoints whose health a list changed, in list order.
type listChanges struct {
	index   uint64
	changes []listChange
}

type listChange struct {
	name string
	to   policy.Health
}

func (c *listChanges) add(name string, to policy.Health) {
	c.changes = append(c.changes, listChange{name, to})
}

// log logs the changes, many per line. A rollout changes many endpoints at once, and a line for each would crowd
// everything else out of the retained log.
func (c *listChanges) log(log zerolog.Logger) {
	for part := range slices.Chunk(c.changes, maxChangesPerLine) {
		var names [policy.Removed + 1][]string
		for _, change := range part {
			names[change.to] = append(names[change.to], change.name)
		}
		log.Info().Uint64("index", c.index).Int("changed", len(c.changes)).Strs("ready", names[policy.Ready]).
			Strs("draining", names[policy.Draining]).Strs("gone", names[policy.Removed]).Msg("servers changed")
	}
}
