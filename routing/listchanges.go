package routing

import (
	"slices"

	"github.com/rs/zerolog"

	"hollylever/policy"
)

// changesPerLine bounds the endpoints that one line of the log names, so that a line stays readable with the longest
// names.
const changesPerLine = 64

// listChanges are the endpoints whose health a list changed, in its order.
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

// log names all of them, many in a line. A rollout changes many endpoints at once: a line for each would push
// everything else out of what is kept of a log.
func (c *listChanges) log(log zerolog.Logger) {
	for part := range slices.Chunk(c.changes, changesPerLine) {
		var names [policy.Removed + 1][]string
		for _, change := range part {
			names[change.to] = append(names[change.to], change.name)
		}
		log.Info().Uint64("index", c.index).Int("changed", len(c.changes)).Strs("ready", names[policy.Ready]).
			Strs("draining", names[policy.Draining]).Strs("gone", names[policy.Removed]).Msg("servers changed")
	}
}
