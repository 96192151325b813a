package routing

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"

	"hollylever/settings"
	"hollylever/transport"
)

// BenchmarkUnderTheLock measures, with 5,000 endpoints, work that is done while Balancer.mu is held: applying a list,
// collecting the figures, writing a snapshot.
func BenchmarkUnderTheLock(b *testing.B) {
	var entries []string
	for n := range 5000 {
		entries = append(entries, entryJSON(fmt.Sprint("s-", n), fmt.Sprintf("127.0.%d.%d:7000", n/250, n%250+1), "Ready", 1))
	}
	whole := []byte(strings.Replace(incrementalList(entries...), "false", "true", 1))
	pool := transport.NewPool(8, time.Minute, time.Second)
	balancer, err := New(settings.Flatten(gjson.Parse(testSettings)), whole, "", 1, pool, 1<<20, "", Previous{}, zerolog.Nop())
	if err != nil {
		b.Fatal(err)
	}
	b.Run("list", func(b *testing.B) {
		for b.Loop() {
			balancer.applyList(context.Background(), whole, listFromDiscovery)
		}
	})
	b.Run("scrape", func(b *testing.B) {
		for b.Loop() {
			balancer.Figures()
		}
	})
	b.Run("snapshot", func(b *testing.B) {
		writer := balancer.NewSnapshotWriter(b.TempDir()+"/learnt", "n1")
		held := time.Duration(0)
		for b.Loop() {
			balancer.counters.increment("retrievals")
			if err := writer.Write(); err != nil {
				b.Fatal(err)
			}
			held += writer.LockHeld
		}
		b.ReportMetric(float64(held)/float64(b.N), "ns/held")
	})
}

// BenchmarkRequestIdentity measures what is computed of each request with an effect.
func BenchmarkRequestIdentity(b *testing.B) {
	for _, size := range []int{64, 64 << 10, 4 << 20} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			arguments := append(requestArguments("c=book,t=acme,d=500"), make([]byte, size))
			for b.Loop() {
				newRequestIdentity([]byte("book"), arguments)
			}
		})
	}
}
