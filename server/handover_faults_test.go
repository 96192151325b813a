package server

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"hollylever/fakes"
)

// planCount is the number of seeds: a few here, more by hand with HOLLYLEVER_PLANS.
func planCount() int {
	if n, err := strconv.Atoi(os.Getenv("HOLLYLEVER_PLANS")); err == nil {
		return n
	}
	return 3
}

// Upgrades under load while hosts hang, crash, restart cold and drain, the holder of the socket changes its mode, and
// processes reload, are killed at their start and told to stop in any order: each request has one reply of its own in
// time, no write happens twice, drains are kept and no cold host is overloaded.
func TestUpgradesAmidFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(planCount()) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runUpgrades(t, seed)
		})
	}
}

// startAndKill starts a process that waits for its configuration (a pipe that nobody fills), and kills it when
// meanwhile returns.
func startAndKill(t *testing.T, w *testBed, meanwhile func()) {
	t.Helper()
	file := w.File
	defer func() { w.File = file }()
	w.File = filepath.Join(t.TempDir(), "pipe")
	if err := unix.Mkfifo(w.File, 0o600); err != nil {
		t.Fatal(err)
	}
	p, err := w.Begin()
	if err != nil {
		t.Fatal(err)
	}
	meanwhile()
	p.Kill()
	if len(p.Log("serving")) > 0 {
		t.Error("it serves without a configuration")
	}
}

func runUpgrades(t *testing.T, seed uint64) {
	chance := rand.New(rand.NewPCG(seed, 38))
	w := newTestBed(t, 6, -1, testBedLimits)
	p := w.start(t)
	ctx, end := context.WithCancel(context.Background())
	defer end()
	clients := fakes.Ask(ctx, w.Address, fakes.Load{Rate: 120, Keys: 500, Seed: seed, Patience: 2 * time.Second, Books: 0.15, Reports: 0.15})
	settles := func(n int) {
		t.Helper()
		before := clients.Figures().Settled
		waitUntil(t, "answers", func() bool { return clients.Figures().Settled >= before+n })
	}
	out := -1 // the host that drains
	settles(20)
	for step := range 4 {
		var after []func()
		h := w.hosts[chance.IntN(len(w.hosts))]
		fault := chance.IntN(5)
		switch {
		case fault == 0:
			after = append(after, h.Hang())
		case fault == 1 && (out < 0 || h != w.hosts[out]):
			if err := h.Restart(); err != nil {
				t.Fatal(err)
			}
			w.discovery.UpdateEntries(map[string]string{h.Name: fakes.Entry(h.Name, h.Address, "Ready", h.Figures().Started.UnixMilli())})
		case fault == 2 && out < 0:
			out = chance.IntN(len(w.hosts))
			w.discovery.UpdateEntries(map[string]string{w.hosts[out].Name: fakes.Entry(w.hosts[out].Name, w.hosts[out].Address, "Terminating")})
			w.hosts[out].SetEjected(true)
		case fault == 3:
			h.Flush()
		}
		if chance.IntN(2) == 0 {
			w.Block()
		}
		if chance.IntN(2) == 0 {
			startAndKill(t, w, func() { settles(1 + chance.IntN(5)) })
		}
		early := chance.IntN(3) == 0
		if early { // Clients wait at the socket until the new one is there.
			p.Cmd.Process.Signal(syscall.SIGTERM)
		}
		young := w.start(t)
		if chance.IntN(2) == 0 {
			w.Block()
		}
		for n := range chance.IntN(3) {
			[]*fakes.Process{p, young}[n].Cmd.Process.Signal(syscall.SIGHUP)
		}
		if !early {
			settles(1 + chance.IntN(20))
		}
		if p.Stop(3700*time.Millisecond) || p.Err != nil || len(p.Log(`"all_answered":true`)) == 0 {
			t.Errorf("step %d, fault %d: the old one ends with %v: %q", step, fault, p.Err, p.Log(`"message":"stopped"`))
		}
		settles(10)
		for _, undo := range after {
			undo()
		}
		p = young
	}
	end()
	f := clients.Wait()
	pushed, late := 0, 0
	for _, h := range w.hosts {
		pushed, late = pushed+h.Figures().Overloads, late+h.Figures().Late
	}
	t.Logf("%+v", f)
	if f.Door+f.Wrong+f.Late+w.origin.Twice()+pushed+late > 0 {
		t.Errorf("%+v; %d effects twice, %d pushed over, %d after a drain", f, w.origin.Twice(), pushed, late)
	}
	if p.Stop(3700*time.Millisecond) || p.Err != nil {
		t.Errorf("the last one ends with %v", p.Err)
	}
}
