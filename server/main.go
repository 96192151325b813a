// Package server is one real balancer: clients in front, cache hosts behind, the decision module between; and the commands of people.
// cmd/hollylever is this alone; cmd/hollyfleet hands in what makes it one of a fleet.
package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"hollylever/admin"
	"hollylever/fields"
	"hollylever/fleetconfig"
	"hollylever/routing"
	"hollylever/siblings"
	"hollylever/snapshot"
	"hollylever/stallwatch"
	"hollylever/transport"
)

const (
	stragglers = 500 * time.Millisecond // after SIGTERM clients go on coming and asking for so long
	cutFor     = 50 * time.Millisecond  // at the end of a stop: what is still on its way is cut off within so long

	// The protocol: SIGKILL may come the longest deadline, which counts as 3 s at most there, and killAfter after SIGTERM was sent; the
	// process may be held up by maxHoldUp at any time, so also as the signal comes and as the last answers go out.
	killAfter    = 700 * time.Millisecond
	killDeadline = 3 * time.Second
	maxHoldUp    = 150 * time.Millisecond
	lastAnswer   = killAfter - 2*maxHoldUp - cutFor // and the deadline: all have their answer so long after SIGTERM was handled
	sweepEvery   = 50 * time.Millisecond
	layEvery     = 20                     // sweeps: how often the system's limit on descriptors is looked at anew, as it may rise again
	flushFor     = 100 * time.Millisecond // for them at the end
)

// Fleet is what makes a balancer one of a fleet.
type Fleet interface {
	Run(context.Context)
	http.Handler // for the operators' door
}

// Join joins a fleet, as the checked table of our own settings says.
type Join func(own fields.Values, name, zone, settings string, b *routing.Balancer, log zerolog.Logger) (Fleet, error)

var joins Join // nil: this program is built without

// Main is the program.
func Main(join Join) {
	joins = join
	if len(os.Args) > 1 {
		os.Exit(commands(os.Args[1:], os.Stdout, os.Stderr))
	}
	if err := serve(os.Getenv("LB_EXTRA")); err != nil { // As the platform starts it: nothing of the commands is made.
		fmt.Fprintln(os.Stderr, "hollylever:", err)
		os.Exit(1)
	}
}

// serve is the balancer, until SIGTERM. ours names a file of our own settings, if any.
func serve(ours string) error {
	stop, again := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(again, syscall.SIGHUP) // First of all: uncaught it ends the program.
	ctx, end := context.WithCancel(context.Background())
	defer end()
	stalls := transport.NewStallClock()
	go stalls.Run(ctx)
	told, err := read(false)
	if err != nil {
		return err
	}
	own, err := extra(ours)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(told.cores)))
	memory := int64(told.memory * (1 << 20))
	all, kept := siblings.Resources{MemoryBytes: memory}, reserve
	if own.Yes("fleet.on") {
		kept += fleetReserve
	}
	front, hosts := divideDescriptors(told.sockets, kept)
	if told.inherited >= 0 {
		memory /= 2 // Guards against two processes over an upgrade, whose memory counts together.
		hosts, front = max(0, hosts-kept/2), max(0, front-kept/2)
		all.ClientConnections, all.EndpointConnections = int64(front), int64(hosts)
	}
	statedClients, statedHosts := front, hosts
	front, hosts = withinSystem(front, hosts, kept)
	debug.SetMemoryLimit(memory * 7 / 10)
	debug.SetGCPercent(int(min(400, max(50, memory>>20)))) // A small machine collects sooner.
	log, wrote, flush := logging(own, told.name)
	defer flush()
	idle, _ := told.settings["allowed.connIdle"].(float64)
	dial, _ := told.settings["allowed.dialTimeout"].(float64)
	pool := transport.NewPool(hosts, time.Duration(idle*1e6*0.7), time.Duration(dial*1e6))
	bans, left := "", "" // Without a place of their own they last as long as the process.
	var before *snapshot.Snapshot
	var family *siblings.Group // nil: nobody else can be there, or nothing is known of others
	if place := os.Getenv("TMPDIR"); place != "" {
		bans = filepath.Join(place, "hollylever.bans")
		if told.inherited >= 0 {
			if family, err = siblings.Join(place, all); err != nil {
				log.Warn().Err(err).Msg("siblings not joined")
			}
		}
		if own.Yes("learnt.on") {
			left = filepath.Join(place, "hollylever.learnt")
			at := snapshot.File{Path: left}
			if before, err = at.Read(told.name, routing.Fingerprint(told.settings), time.Now(), own.Duration("learnt.lasts")); err != nil {
				log.Warn().Err(err).Msg("snapshot not restored")
			}
		}
	}
	balancer, err := routing.New(told.settings, told.known, told.discovery, told.seed, pool, memory/6, bans, before, log)
	if err != nil {
		return fmt.Errorf("%s: known: %w", told.file, err)
	}
	var listener *transport.Listener
	if told.inherited >= 0 {
		if listener, err = transport.Inherit(told.inherited, front); err != nil {
			return fmt.Errorf("LB_LISTEN_FD: %w", err)
		}
	} else if listener, err = transport.Listen(told.listen, front); err != nil {
		return fmt.Errorf("%s: listen: %w", told.file, err)
	}
	listener.Budget = transport.NewBudget(memory / 3)
	limits := limited{listener, pool, balancer, kept}
	listener.Odd = func(err error) {
		log.Warn().Err(err).Msg("accept failed")
		if family == nil { // Else share lays the limits anew all the time.
			limits.layDescriptors(statedClients, statedHosts)
		}
	}
	if family != nil {
		limits.join(family)
	}
	var fleet Fleet
	if own.Yes("fleet.on") {
		if joins == nil {
			return errors.New("fleet.on: this program is built without; start hollyfleet in its place")
		}
		if err := fleetconfig.Validate(own, told.name); err != nil {
			return fmt.Errorf("%s: %w", ours, err)
		}
		zone, _ := told.settings["zone"].(string)
		if fleet, err = joins(own, told.name, zone, told.digest, balancer, log); err != nil {
			return fmt.Errorf("%s: %w", ours, err)
		}
	}
	mgmt := "" // No door for operators.
	if told.mgmt != "" {
		var asks http.Handler
		if fleet != nil {
			asks = fleet
		}
		if mgmt, err = admin.Open(told.mgmt, balancer, asks); err != nil {
			return fmt.Errorf("%s: mgmt: %w", told.file, err)
		}
	}

	still := stallwatch.New(balancer.Lock(), log, wrote)
	still.SetThreshold(own.Duration("watch.over"))
	listener.InHand = &still.Accept
	if own.Yes("watch.on") {
		go still.Run(ctx)
	}
	listener.Stalls = stalls
	go listener.Serve(balancer.Serve)
	balancer.SetReady(true)
	if family != nil {
		family.SetPhase(siblings.Serving)
		go limits.share(ctx, family, log)
	}
	every := make(chan time.Duration, 1)
	if left != "" {
		every <- own.Duration("learnt.every")
		go keep(ctx, balancer.NewSnapshotWriter(left, told.name), family, every, log)
	}
	if fleet != nil {
		gone := make(chan struct{})
		go func() { fleet.Run(ctx); close(gone) }()
		defer func() { end(); <-gone }()
	}
	go balancer.Follow(ctx)
	go balancer.WatchEjectionFile(ctx)
	log.Info().Str("listen", listener.Address()).Str("mgmt", mgmt).Int("clients", front).Int("hosts", hosts).
		Int64("memory_mb", int64(told.memory)).Msg("serving")

	hardStop := longest(told.settings)
	var spent stallwatch.UsageMeter
	summarize := func() {
		cpu, collections := spent.SinceLast()
		balancer.Summary(listener.Count(), cpu, collections)
	}
	sweeps := 0
	sweep, summary := time.NewTicker(sweepEvery), time.NewTicker(own.Duration("log.summary"))
	for {
		select {
		case <-sweep.C:
			pool.Sweep()
			listener.Sweep()
			if sweeps++; family == nil && sweeps%layEvery == 0 { // Else share lays the limits anew all the time.
				limits.layDescriptors(statedClients, statedHosts)
			}
		case <-summary.C:
			summarize()
		case <-again:
			now, err := read(true)
			newer, wrong := extra(ours)
			if err == nil {
				err = wrong
			}
			if err != nil {
				log.Warn().Err(err).Msg("configuration not taken") // What is in force stays.
				continue
			}
			log.Info().Str("discovery", now.discovery).Str("before", told.discovery).Msg("configuration read again")
			if now.discovery != told.discovery {
				balancer.SetDiscovery(now.discovery)
			}
			now.inherited = told.inherited
			told = now
			for _, name := range fields.Changed(parts, own, newer, fields.AtStart) {
				log.Info().Str("field", name).Msg("counts at the next start")
			}
			for _, name := range fields.Changed(parts, own, newer, fields.AtOnce) {
				log.Info().Str("field", name).Msg("counts from now on")
			}
			own = newer
			zerolog.SetGlobalLevel(levels[own.Word("log.level")])
			still.SetThreshold(own.Duration("watch.over"))
			summary.Reset(own.Duration("log.summary"))
			select {
			case every <- own.Duration("learnt.every"):
			default: // Nobody keeps anything, or the last change is not taken up yet; SIGHUP again.
			}
		case <-stop:
			balancer.SetReady(false)
			if family != nil {
				family.SetPhase(siblings.Draining)
			}
			began := time.Now()
			open, _ := balancer.OpenRequests()
			answered := began.Add(min(hardStop, killDeadline) + lastAnswer)
			until := answered.Add(cutFor)
			log.Info().Int("clients", listener.Count()).Int("open", open).Int64("limit_ms", time.Until(until).Milliseconds()).Msg("stopping")
			balancer.ExpireAt(answered)
			listener.Last()
			if told.inherited >= 0 {
				listener.Leave() // Whoever else holds the socket goes on accepting.
			}
			time.Sleep(stragglers)
			pool.Fade()
			all, cut := listener.Close(latest(until, time.Now().Add(cutFor))), 0
			if !all { // A stream, or a client that does not read: its time is over.
				if open, ids := balancer.OpenRequests(); open > 0 {
					log.Warn().Int("open", open).Strs("ids", ids).Msg("unanswered at the stop")
				}
				cut = listener.Cut(cutFor)
			}
			summarize()
			log.Info().Bool("all_answered", all).Int("cut_off", cut).Int64("took_ms", time.Since(began).Milliseconds()).Msg("stopped")
			return nil
		}
	}
}

// keep has what was learnt written down while it serves, so that a process that is killed leaves it too.
func keep(ctx context.Context, keeper *routing.SnapshotWriter, family *siblings.Group, every <-chan time.Duration, log zerolog.Logger) {
	odd, tick := false, time.NewTicker(time.Hour)
	for {
		select {
		case <-ctx.Done():
			return
		case span := <-every:
			tick.Reset(span)
			continue
		case <-tick.C:
		}
		if family != nil && !family.IsSnapshotWriter() {
			continue // Another process knows more.
		}
		err := keeper.Write()
		if err != nil && !errors.Is(err, snapshot.ErrLocked) && !odd {
			log.Warn().Err(err).Msg("not kept") // Once for a run of them.
		}
		odd = err != nil
	}
}

// flushed writes what the log still holds, for a moment: whoever should read it may be gone.
func flushed(out io.Closer) {
	done := make(chan struct{})
	go func() { out.Close(); close(done) }()
	select {
	case <-done:
	case <-time.After(flushFor):
	}
}

// latest is the later of two times.
func latest(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

// longest is the longest hard stop of all workloads.
func longest(settings map[string]any) time.Duration {
	most, count := 0.0, settings["workloads"].(float64)
	for i := range int(count) {
		stop, _ := settings["workloads."+strconv.Itoa(i)+".hardStop"].(float64)
		most = max(most, stop)
	}
	return time.Duration(most * 1e6)
}
