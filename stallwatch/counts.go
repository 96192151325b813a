package stallwatch

import (
	"bytes"
	"os"
	"runtime/metrics"
	"strconv"
	"syscall"
	"time"
)

// counts are the kernel's and the runtime's, since the process began.
type counts struct {
	cpu, waited time.Duration
	known       bool // waited is
	stolen      time.Duration
	metrics     [len(names)]metrics.Sample
	pauses      []uint64 // by bucket
	latencies   []uint64
}

const cycles = "/gc/cycles/total:gc-cycles"

var names = [...]string{"/sched/pauses/total/gc:seconds", "/sched/latencies:seconds", cycles}

// used is the process's CPU time so far; it stays as it was where the kernel does not tell.
func used(before time.Duration) time.Duration {
	var use syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &use) != nil {
		return before
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// read takes them anew; what is kept of the last reading is used again.
func (c *counts) read(of *threads) {
	c.cpu = used(c.cpu)
	c.waited, c.known = of.waited(time.Now())
	c.stolen = of.stolen()
	for n := range names {
		c.metrics[n].Name = names[n]
	}
	metrics.Read(c.metrics[:])
	c.pauses, c.latencies = buckets(c.pauses, c.metrics[0]), buckets(c.latencies, c.metrics[1])
}

func buckets(into []uint64, s metrics.Sample) []uint64 {
	if s.Value.Kind() != metrics.KindFloat64Histogram {
		return into[:0]
	}
	return append(into[:0], s.Value.Float64Histogram().Counts...)
}

// longest is the largest bucket in which more was counted than before: its lower bound.
func longest(now, before []uint64, s metrics.Sample) time.Duration {
	for n := len(now) - 1; n >= 0 && len(now) == len(before); n-- {
		if now[n] > before[n] {
			return time.Duration(max(0, s.Value.Float64Histogram().Buckets[n]) * 1e9)
		}
	}
	return 0
}

// threads are the process's, as they were when last listed.
type threads struct {
	files  []string
	listed time.Time
	text   [96]byte
	all    [256]byte
}

const tick = 10 * time.Millisecond // of the kernel's clock in /proc/stat

// stolen is how long the machine under the kernel ran something else, over all cores: the eighth figure of the first line.
func (t *threads) stolen() time.Duration {
	at, err := syscall.Open("/proc/stat", syscall.O_RDONLY|syscall.O_CLOEXEC, 0)
	if err != nil {
		return 0
	}
	n, _ := syscall.Read(at, t.all[:])
	syscall.Close(at)
	first, _, _ := bytes.Cut(t.all[:max(0, n)], []byte("\n"))
	fields := bytes.Fields(first)
	if len(fields) < 9 {
		return 0
	}
	steal, _ := strconv.ParseInt(string(fields[8]), 10, 64)
	return time.Duration(steal) * tick
}

const listEvery = time.Second

// waited is how long the process's threads were ready and not run, all together: the second figure of each schedstat. It is read often,
// and leaves nothing to collect but the list.
func (t *threads) waited(now time.Time) (sum time.Duration, known bool) {
	if now.Sub(t.listed) > listEvery {
		t.listed, t.files = now, t.files[:0]
		tasks, _ := os.ReadDir("/proc/self/task")
		for _, task := range tasks {
			t.files = append(t.files, "/proc/self/task/"+task.Name()+"/schedstat")
		}
	}
	for _, file := range t.files {
		at, err := syscall.Open(file, syscall.O_RDONLY|syscall.O_CLOEXEC, 0)
		if err != nil {
			continue // It has ended.
		}
		n, err := syscall.Read(at, t.text[:])
		syscall.Close(at)
		if err != nil {
			continue
		}
		var waits, field int64
		for _, c := range t.text[:n] {
			if c == ' ' {
				field++
			} else if field == 1 && c >= '0' && c <= '9' {
				waits, known = 10*waits+int64(c-'0'), true
			}
		}
		sum += time.Duration(waits)
	}
	return sum, known
}

// Spent tells what the process used since it was asked last.
type UsageMeter struct {
	cpu time.Duration
	ran uint64 // collections
}

// Since gives the CPU time, and how often the collector ran.
func (s *UsageMeter) SinceLast() (cpu time.Duration, collections uint64) {
	sample := []metrics.Sample{{Name: cycles}}
	metrics.Read(sample)
	before := *s
	s.cpu, s.ran = used(s.cpu), sample[0].Value.Uint64()
	return s.cpu - before.cpu, s.ran - before.ran
}
