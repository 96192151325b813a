package routing

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"

	"hollylever/settings"
	"hollylever/snapshot"
	"hollylever/transport"
)

// BenchmarkUnderTheLock measures, with 5,000 endpoints, work that is done while Balancer.mu is held: applying a list,
// collecting the figures, writing a snapshot, saving the list.
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
			balancer.applyWatchedList(&listWatch{ctx: context.Background()}, whole)
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
	b.Run("save", func(b *testing.B) {
		path := b.TempDir() + "/list"
		keeper := &listKeeper{balancer: balancer, files: snapshot.NewEndpointListFiles(path, 9, 0)}
		held := time.Duration(0)
		for b.Loop() {
			if err := keeper.write(); err != nil {
				b.Fatal(err)
			}
			held += keeper.lockHeld
		}
		info, err := os.Stat(path + ".0")
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(held)/float64(b.N), "ns/held")
		b.ReportMetric(float64(info.Size()), "bytes/file")
	})
}

// BenchmarkRestoreList measures what a start does, with 5,000 endpoints, to read a saved list and to apply it.
func BenchmarkRestoreList(b *testing.B) {
	var entries []string
	for n := range 5000 {
		entries = append(entries, entryJSON(fmt.Sprint("s-", n), fmt.Sprintf("127.0.%d.%d:7000", n/250, n%250+1), "Ready", 1))
	}
	whole := []byte(strings.Replace(incrementalList(entries...), "false", "true", 1))
	pool, stated := transport.NewPool(8, time.Minute, time.Second), settings.Flatten(gjson.Parse(testSettings))
	prefix := b.TempDir() + "/list"
	for _, isSaved := range []bool{false, true} {
		b.Run(fmt.Sprintf("saved=%t", isSaved), func(b *testing.B) {
			for b.Loop() {
				lists, err := snapshot.NewEndpointListFiles(prefix, 9, 0).ReadChanged(time.Now())
				if err != nil {
					b.Fatal(err)
				}
				balancer, err := New(stated, whole, "", 1, pool, 1<<20, "", Previous{Lists: lists}, zerolog.Nop())
				if err != nil {
					b.Fatal(err)
				}
				if !isSaved {
					b.StopTimer()
					keeper := &listKeeper{balancer: balancer, files: snapshot.NewEndpointListFiles(prefix+"-other", 9, 0)}
					balancer.list.index++
					if err := keeper.write(); err != nil {
						b.Fatal(err)
					}
					b.StartTimer()
				}
			}
			if !isSaved {
				if err := os.Rename(prefix+"-other.0", prefix+".0"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
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
