package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"gonum.org/v1/plot/plotter"
)

// zoneFails: the hosts of one zone hang while the list calls them ready, then restart cold. The fleet leaves the zone
// and comes back to it.
func zoneFails(ctx context.Context, w *town, over time.Duration) {
	w.agree(ctx, 1)
	var goOn []func()
	var zone []int
	for n, h := range w.hosts {
		if w.zone(n) == "z1" {
			zone, goOn = append(zone, n), append(goOn, h.Hang())
		}
	}
	pause(ctx, max(2*time.Second, over/3))
	for n := range w.processes {
		if s, err := w.actsOn(n); ctx.Err() == nil && (err != nil || len(s.Acting.Left) != 1) {
			w.wrong("balancer %d has not left the zone", n+1)
		}
	}
	for n, h := range zone {
		goOn[n]()
		if err := w.hosts[h].Restart(); err != nil {
			w.wrong("%s does not come back: %v", w.hosts[h].Name, err)
			continue
		}
		w.tell(h, "Ready")
	}
}

// film is what happened over time, by zone.
type film struct {
	mu     sync.Mutex
	frames []frame
}

type frame struct {
	at      float64
	asked   map[string]int
	fetches int
}

const frameEvery = 500 * time.Millisecond

func (f *film) run(ctx context.Context, w *town) {
	began := time.Now()
	for tick := time.NewTicker(frameEvery); ctx.Err() == nil; {
		one := frame{at: time.Since(began).Seconds(), asked: map[string]int{}}
		for n, h := range w.hosts {
			one.asked[w.zone(n)] += h.Figures().Requests
		}
		one.fetches, _ = w.origin.Fetches()
		f.mu.Lock()
		f.frames = append(f.frames, one)
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		}
	}
}

// picture writes trips a second by zone, and fetches, over time.
func (f *film) picture(path string, w *town) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var lines []any
	line := func(name string, of func(frame) int) {
		var points plotter.XYs
		for n := 1; n < len(f.frames); n++ {
			a, b := f.frames[n-1], f.frames[n]
			points = append(points, plotter.XY{X: b.at, Y: float64(of(b)-of(a)) / (b.at - a.at)})
		}
		lines = append(lines, name, points)
	}
	for z := range w.zones {
		zone := fmt.Sprint("z", z)
		line("trips to "+zone, func(f frame) int { return f.asked[zone] })
	}
	line("fetches", func(f frame) int { return f.fetches })
	return picture(path, "Trips by zone, and fetches at the origin", "seconds", "a second", lines, plain)
}
