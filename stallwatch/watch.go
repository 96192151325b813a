package stallwatch

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

const (
	beatEvery  = 25 * time.Millisecond
	countEvery = 4               // beats
	sayAgain   = 2 * time.Second // for one cause; what comes before that is counted
	mostStacks = 64 << 10
	spentFor   = 10 // readings
	resumeFor  = 5 * time.Millisecond
	mostWhere  = 3 // places named
)

// Watch is what looks. Its marks are handed to what they are around.
type Detector struct {
	Accept Timer

	lock   Timer
	wrote  *Timer // around writes of the log
	module sync.Locker
	log    zerolog.Logger
	lines  chan func()
	before counts
	now    counts
	of     threads
	over   atomic.Int64
	resume chan os.Signal
	spent  [spentFor]time.Duration // the process's CPU time at the last readings, in a ring
	at     int
	said   map[Cause]time.Time
	passed map[Cause]int
}

// New makes a watch over a lock, that says what it finds to a log.
func New(module sync.Locker, log zerolog.Logger, wrote *Timer) *Detector {
	w := &Detector{module: module, log: log, wrote: wrote, lines: make(chan func(), 16), said: map[Cause]time.Time{}, passed: map[Cause]int{}}
	w.SetThreshold(Over)
	return w
}

// Over sets the least time that counts as standing still.
func (w *Detector) SetThreshold(least time.Duration) { w.over.Store(int64(least)) }

// Run looks until the context ends.
func (w *Detector) Run(ctx context.Context) {
	w.resume = make(chan os.Signal, 16)
	signal.Notify(w.resume, syscall.SIGCONT)
	defer signal.Stop(w.resume)
	go w.probe(ctx)
	go func() { // A log that does not take a line must not keep the beat.
		for {
			select {
			case say := <-w.lines:
				say()
			case <-ctx.Done():
				return
			}
		}
	}()
	w.before.read(&w.of)
	due := time.Now().Add(beatEvery)
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Until(due))
		now := time.Now()
		late := now.Sub(due)
		if w.look(late, now); n%countEvery == 0 || late >= time.Duration(w.over.Load()) {
			w.before.read(&w.of)
			w.spent[w.at%spentFor] = w.before.cpu
			w.at++
		}
		due = now.Add(beatEvery)
	}
}

// probe takes the module's lock now and then, as a retrieval would.
func (w *Detector) probe(ctx context.Context) {
	for tick := time.NewTicker(beatEvery); ctx.Err() == nil; <-tick.C {
		w.lock.Begin()
		w.module.Lock()
		w.module.Unlock()
		w.lock.End()
	}
}

// resumed is how often the process was told to go on since the last look. Guards against a beat that wakes before that signal has come
// through the runtime: it waits a moment for the first.
func (w *Detector) resumed(wait time.Duration) (times int) {
	if len(w.resume) == 0 && wait > 0 {
		select {
		case <-w.resume:
			times++
		case <-time.After(wait):
		}
	}
	for ; len(w.resume) > 0; times++ {
		<-w.resume
	}
	return times
}

// look judges what came since the last beat.
func (w *Detector) look(late time.Duration, now time.Time) {
	g := Gap{Beat: late}
	over := time.Duration(w.over.Load())
	if late < over {
		w.resumed(0) // Told to go on after a stop that was short.
	}
	var stuck bool
	g.Lock, stuck = w.lock.take()
	g.Accept, _ = w.Accept.take()
	g.Log, _ = w.wrote.take()
	if max(g.Beat, g.Lock, g.Accept, g.Log) < over {
		return
	}
	w.now.read(&w.of)
	g.CPU, g.Waited, g.Known = w.now.cpu-w.before.cpu, w.now.waited-w.before.waited, w.now.known
	g.Stolen = w.now.stolen - w.before.stolen
	if late >= over {
		g.Resumed = w.resumed(resumeFor)
	}
	g.Pause = longest(w.now.pauses, w.before.pauses, w.now.metrics[0])
	latency := longest(w.now.latencies, w.before.latencies, w.now.metrics[1])
	spent := w.before.cpu - w.spent[w.at%spentFor] // In the second before; since the start where that is less.
	for _, f := range Judge(g, over) {
		if since, said := w.said[f.Cause]; said && now.Sub(since) < sayAgain {
			w.passed[f.Cause]++ // One that lasts is not said at each beat.
			continue
		}
		where := ""
		if f.Cause == Lock && stuck {
			where = places()
		}
		passed, ran := w.passed[f.Cause], w.now.metrics[2].Value.Uint64()-w.before.metrics[2].Value.Uint64()
		w.said[f.Cause], w.passed[f.Cause] = now, 0
		say := func() {
			w.log.Warn().Str("cause", string(f.Cause)).Int64("for_ms", f.For.Milliseconds()).
				Int64("beat_ms", g.Beat.Milliseconds()).Int64("cpu_ms", g.CPU.Milliseconds()).Int64("waited_ms", g.Waited.Milliseconds()).
				Int64("pause_ms", g.Pause.Milliseconds()).Int64("latency_ms", latency.Milliseconds()).Uint64("collections", ran).
				Int64("cpu_before_ms", spent.Milliseconds()).Int("resumed", g.Resumed).Int64("stolen_ms", g.Stolen.Milliseconds()).
				Int64("lock_ms", g.Lock.Milliseconds()).Int64("accept_ms", g.Accept.Milliseconds()).Int64("log_ms", g.Log.Milliseconds()).
				Int("goroutines", runtime.NumGoroutine()).Int("more", passed).Str("where", where).Msg("stood still")
		}
		select {
		case w.lines <- say:
		default: // The log takes nothing.
			w.passed[f.Cause] = passed + 1
		}
	}
}

// places names where goroutines of the program stand that neither wait for the network, a channel, nor the lock: who has it.
func places() string {
	text := make([]byte, mostStacks)
	text = text[:runtime.Stack(text, true)]
	var found []string
	for _, one := range strings.Split(string(text), "\n\n") {
		head, rest, _ := strings.Cut(one, "\n")
		if strings.Contains(head, "IO wait") || strings.Contains(head, "chan ") || strings.Contains(head, "select") ||
			strings.Contains(head, "Mutex.Lock") || strings.Contains(head, "semacquire") || strings.Contains(rest, "watch.places") {
			continue
		}
		for _, line := range strings.Split(rest, "\n") {
			if at, is := strings.CutPrefix(line, "hollylever/"); is {
				name, _, _ := strings.Cut(at, "(0x")
				found = append(found, name)
				break
			}
		}
	}
	return strings.Join(found[:min(len(found), mostWhere)], " ")
}
