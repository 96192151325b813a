package routing

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"

	"hollylever/settings"
	"hollylever/transport"
)

// BenchmarkUnderTheLock measures at 5,000 endpoints what is done under Balancer.mu: a list, the figures, a snapshot.
func BenchmarkUnderTheLock(b *testing.B) {
	var rows []string
	for n := range 5000 {
		rows = append(rows, entryJSON(fmt.Sprint("s-", n), fmt.Sprintf("127.0.%d.%d:7000", n/250, n%250+1), "Ready", 1))
	}
	whole := []byte(strings.Replace(incrementalList(rows...), "false", "true", 1))
	pool := transport.NewPool(8, time.Minute, time.Second)
	r, err := New(settings.Flatten(gjson.Parse(testSettings)), whole, "", 1, pool, 1<<20, "", nil, zerolog.Nop())
	if err != nil {
		b.Fatal(err)
	}
	b.Run("list", func(b *testing.B) {
		for b.Loop() {
			r.applyList(context.Background(), whole, false)
		}
	})
	b.Run("scrape", func(b *testing.B) {
		for b.Loop() {
			r.Figures()
		}
	})
	b.Run("snapshot", func(b *testing.B) {
		k := r.NewSnapshotWriter(b.TempDir()+"/learnt", "n1")
		held := time.Duration(0)
		for b.Loop() {
			r.counters.increment("retrievals")
			if err := k.Write(); err != nil {
				b.Fatal(err)
			}
			held += k.LockHeld
		}
		b.ReportMetric(float64(held)/float64(b.N), "ns/held")
	})
}
