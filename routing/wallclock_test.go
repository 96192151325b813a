package routing

import (
	"testing"
	"time"

	"hollylever/fakes"
)

// The wall clock is stepped while the process runs, and a server comes back cold: it counts as cold, by whichever clock its start is stamped.
func TestAColdServerIsColdWhateverTheWallClockDoes(t *testing.T) {
	const long = 30 * time.Minute
	for _, c := range []struct {
		name              string
		step              time.Duration // of the wall clock, while the process runs
		stampedBeforeStep bool
	}{
		{"no step", 0, false},
		{"an hour back, stamped after it", -time.Hour, false},
		{"an hour back, stamped before it", -time.Hour, true},
		{"an hour on, stamped after it", time.Hour, false},
		{"an hour on, stamped before it", time.Hour, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := scriptedServer(t)
			b := newBalancerBefore(t, h.Address, nil)
			began := time.Now()
			b.wallClock = func() time.Time { return time.Now().Add(c.step) }
			stamp := began
			if !c.stampedBeforeStep {
				stamp = b.wallClock()
			}
			b.applyTestList(t, fakes.List(2, true, fakes.Entry("s", h.Address, "Ready", began.Add(-long).UnixMilli())))
			b.applyTestList(t, fakes.List(3, true, fakes.Entry("s", h.Address, "Ready", stamp.UnixMilli())))
			b.mu.Lock()
			defer b.mu.Unlock()
			warmUp := int64(20 * time.Second)
			age := b.now() - b.endpoints.all[b.endpoints.byName["s"]].startedAt
			if age > warmUp/10 {
				t.Errorf("it counts as started %v ago", time.Duration(age))
			}
		})
	}
}
