package main

import (
	"context"
	"time"
)

// trouble is what is done to a town, over a time. It ends with the context, and leaves nothing that hangs.
type trouble struct {
	name, says string
	play       func(ctx context.Context, w *town, over time.Duration)
	agree      bool // the balancers are a fleet that agrees
	zones      int  // that hosts and balancers are in; 0: one
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

var troubles = []trouble{
	{name: "none", says: "nothing happens", play: func(context.Context, *town, time.Duration) {}},
	{name: "crash", says: "two hosts die, the list hears of it a second later, and they come back cold", play: func(ctx context.Context, w *town, over time.Duration) {
		for _, n := range []int{1, 2} {
			w.hosts[n].Crash()
		}
		if !pause(ctx, min(time.Second, over/4)) {
			return
		}
		for _, n := range []int{1, 2} {
			w.tell(n, "Gone")
		}
		if !pause(ctx, over/3) {
			return
		}
		for _, n := range []int{1, 2} {
			if err := w.hosts[n].Restart(); err != nil {
				w.wrong("%s does not come back: %v", w.hosts[n].Name, err)
				continue
			}
			w.tell(n, "Ready")
		}
	}},
	{name: "slow", says: "the origin takes ten times as long", play: func(ctx context.Context, w *town, over time.Duration) {
		w.origin.Takes(10 * fetchTakes)
		pause(ctx, over)
		w.origin.Takes(fetchTakes)
	}},
	{name: "drain", says: "three hosts drain, go, and come back cold", play: func(ctx context.Context, w *town, over time.Duration) {
		for _, n := range []int{0, 3, 5} {
			w.hosts[n].SetEjected(true)
			w.tell(n, "Terminating")
		}
		if !pause(ctx, max(3*time.Second, over/3)) {
			return
		}
		for _, n := range []int{0, 3, 5} {
			if err := w.hosts[n].Restart(); err != nil {
				w.wrong("%s does not come back: %v", w.hosts[n].Name, err)
				continue
			}
			w.hosts[n].SetEjected(false)
			w.tell(n, "Ready")
		}
	}},
	{name: "flush", says: "all caches are emptied", play: func(ctx context.Context, w *town, over time.Duration) {
		for _, h := range w.hosts {
			h.Flush()
		}
	}},
	{name: "upgrade", says: "each balancer is replaced by a new process under load", play: func(ctx context.Context, w *town, over time.Duration) {
		for n, p := range w.platforms {
			w.mu.Lock()
			old := w.processes[n]
			w.mu.Unlock()
			young, err := p.Start()
			if err != nil {
				w.wrong("balancer %d has no new process: %v", n+1, err)
				continue
			}
			w.mu.Lock()
			w.processes[n], w.ended = young, append(w.ended, old)
			w.mu.Unlock()
			if err := young.Ready(5 * time.Second); err != nil {
				w.wrong("balancer %d: %v", n+1, err)
			}
			if old.Stop(4 * time.Second) {
				w.wrong("balancer %d had to be killed", n+1)
			}
			if !pause(ctx, over/10) {
				return
			}
		}
	}},
	{name: "cut", says: "one of a fleet of balancers is cut off from the others while a ban is agreed on", play: cutApart, agree: true},
	{name: "pause", says: "the balancer that leads a fleet stands still for longer than a lease", play: stopped, agree: true},
	{name: "die", says: "the balancer that leads a fleet is killed, and comes back with its file", play: died, agree: true},
	{name: "zone", says: "one of three zones hangs, and comes back cold; the fleet leaves it and returns", play: zoneFails, agree: true, zones: 3},
}
