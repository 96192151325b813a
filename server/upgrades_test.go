package server

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"hollylever/fakes"
)

// upgradeCount is the number of upgrades: a few here, hundreds by hand with HOLLYLEVER_UPGRADES.
func upgradeCount() int {
	if n, err := strconv.Atoi(os.Getenv("HOLLYLEVER_UPGRADES")); err == nil {
		return n
	}
	return 3
}

// testBed is cache hosts before one origin, with discovery and a platform.
type testBed struct {
	*fakes.Platform
	origin    *fakes.Origin
	hosts     []*fakes.Host
	discovery *fakes.Discovery
}

var testBedLimits = fakes.Limits{Cores: 0.5, MemoryMB: 64, Sockets: 384}

func newTestBed(t *testing.T, hosts, core int, limits fakes.Limits, variables ...string) *testBed {
	t.Helper()
	w := &testBed{origin: fakes.NewOrigin(20*time.Millisecond, 16), discovery: fakes.NewDiscovery()}
	t.Cleanup(w.discovery.Close)
	manner := fakes.HostOptions{ServiceTime: time.Millisecond, Concurrency: 4, QueueLength: 64, WarmUp: 20 * time.Second, ColdCapacity: 0.2, OverloadFactor: 2.5}
	entries := map[string]string{}
	for n := range hosts {
		h, err := fakes.NewHost(fmt.Sprint("s-", n), w.origin, manner)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(h.Close)
		w.hosts = append(w.hosts, h)
		entries[h.Name] = fakes.Entry(h.Name, h.Address, "Ready")
	}
	w.discovery.UpdateEntries(entries)
	var err error
	if w.Platform, err = fakes.NewPlatform(t.TempDir(), fakes.Setup{Known: w.discovery.FullList(), Discovery: w.discovery.Address,
		Limits: limits, Core: core, Program: os.Args[0], Variables: append([]string{programVariable + "=1"}, variables...)}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w
}

func (w *testBed) start(t *testing.T) *fakes.Process {
	t.Helper()
	p, err := w.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Cmd.Process.Kill() })
	return p
}

// Upgrades under load, by hand on one core that something else uses too: no client is refused, no write happens twice,
// and no process stalls.
func TestUpgrades(t *testing.T) {
	t.Parallel()
	core := -1
	if n, err := strconv.Atoi(os.Getenv("HOLLYLEVER_CORE")); err == nil {
		core = n // By hand: all processes and a neighbour on it.
		defer fakes.RunBusyLoop(core, 0.5, time.Hour)()
	}
	w := newTestBed(t, 6, core, testBedLimits)
	p := w.start(t)
	ctx, end := context.WithCancel(context.Background())
	defer end()
	clients := fakes.Ask(ctx, w.Address, fakes.Load{Rate: 150, Keys: 2000, Seed: 7, Patience: 2 * time.Second, Books: 0.1})
	most, stood := 0, 0
	for n := range upgradeCount() {
		time.Sleep(300 * time.Millisecond) // Some load on it; nothing is waited for.
		young, err := w.Start()
		if err != nil {
			t.Fatal(err)
		}
		if err := young.Ready(testTimeout); err != nil {
			t.Fatal(err)
		}
		most = max(most, p.Descriptors()+young.Descriptors())
		if p.Stop(3700 * time.Millisecond) {
			t.Errorf("%d: the old process had to be killed", n)
		}
		if p.Err != nil {
			t.Errorf("%d: the old process ends with %v", n, p.Err)
		}
		for _, line := range p.Log("stall detected") {
			stood++
			t.Log(n, line)
		}
		if f := clients.Figures(); len(f.Standstills) > 0 && n%20 == 0 {
			t.Logf("%d: %+v", n, f)
		}
		p = young
	}
	end()
	f := clients.Wait()
	t.Logf("%+v; %d lines of standstills, %d descriptors at most", f, stood, most)
	if f.Door > 0 || f.Wrong > 0 || f.Late > 0 || w.origin.Twice() > 0 || most > testBedLimits.Sockets {
		t.Errorf("%+v, %d effects twice, %d descriptors", f, w.origin.Twice(), most)
	}
	if settled := f.Settled; settled < f.Asked*9/10 {
		t.Errorf("%d of %d retrievals settled", settled, f.Asked)
	}
}
