package main

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"hollylever/fakes"
	"hollylever/fakes/between"
)

// kept looks at what clients have seen: all is answered in time.
func (d *district) kept() {
	d.t.Helper()
	if f := d.quiet(); f.Late+f.Door+f.Wrong > 0 || f.Settled < f.Asked*9/10 || d.origin.Twice() > 0 {
		d.t.Errorf("%+v, %d twice", f, d.origin.Twice())
	}
}

// TestAHostThatHangsIsLeft: all leave it on others' word, also those whose clients do not come there, one at a time tries it, and all come back; also
// when who has the turn is stopped as the host goes on, and with signals that are late, lost, repeated.
func TestAHostThatHangsIsLeft(t *testing.T) {
	t.Parallel()
	d := newDistrict(t, 1, 6, 12, "")
	d.load(60, 500)
	host := d.hosts[4]
	for _, faults := range []between.Faults{{}, {Loss: 0.5, Repeats: 0.5, Delay: 200 * time.Millisecond, Spread: 200 * time.Millisecond}} {
		d.faults(func(int, int) between.Faults { return faults })
		began := time.Now()
		goOn := host.Hang()
		until(t, "all leaving it", func() bool { return d.left(host.Name) == len(d.procs) })
		if n := d.left(""); n > len(d.procs) {
			t.Errorf("others are left too: %d", n-len(d.procs))
		}
		t.Logf("all had left it after %v", time.Since(began))
		var turn *process
		until(t, "a turn", func() bool { _, turn = d.heeding(host.Name); return turn != nil })
		d.stop(turn)
		t.Logf("a turn after %v", time.Since(began))
		goOn()
		until(t, "all but the stopped one coming back", func() bool { return d.left(host.Name) == 0 })
		t.Logf("all but one are back after %v", time.Since(began))
		d.goOn(turn)
		until(t, "all coming back", func() bool { return d.left(host.Name) == 0 })
	}
	d.heal()
	if f := d.quiet(); f.Wrong > 0 || d.origin.Twice() > 0 || f.Settled < f.Asked*8/10 {
		t.Errorf("%+v, %d twice", f, d.origin.Twice())
	}
}

// TestABrokenCableTakesNoHost: to one balancer a third of the hosts is dead. It says so; nobody follows, and all is settled.
func TestABrokenCableTakesNoHost(t *testing.T) {
	t.Parallel()
	d := newDistrict(t, 2, 6, 12, "")
	broken := d.procs[4]
	defer d.unreached(broken, func(h int) bool { return h < 4 }).Close() // A third: where more fail it keeps silent, as it is its own fault.
	d.agree(1)
	d.load(60, 500)
	before := d.procs[0].signalled().Signals.Took
	until(t, "its word", func() bool {
		n := 0
		for _, h := range broken.signalled().Signals.Hosts {
			if h.Own > 0 {
				n++
			}
		}
		return n >= 3 && d.procs[0].signalled().Signals.Took > before+5
	})
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) { // That long nobody follows.
		if n := d.left(""); n > 0 {
			t.Fatalf("%d hosts are left on the word of one", n)
		}
	}
	d.kept()
}

// unreached starts a process anew with a list of its own, in which some hosts are where nobody answers.
func (d *district) unreached(p *process, which func(h int) bool) *fakes.Discovery {
	file, err := os.ReadFile(p.config)
	if err != nil {
		d.t.Fatal(err)
	}
	text, entries := string(file), map[string]string{}
	for h, host := range d.hosts {
		if entries[host.Name] = d.entry(h, "Ready", 0); which(h) {
			dead := free(d.t)
			entries[host.Name] = strings.Replace(entries[host.Name], host.Address, dead, 1)
			text = strings.Replace(text, host.Address, dead, 1)
		}
	}
	list := fakes.NewDiscovery()
	list.Tell(entries)
	d.kill(p)
	if err := os.WriteFile(p.config, []byte(strings.Replace(text, d.list.Address, list.Address, 1)), 0o600); err != nil {
		d.t.Fatal(err)
	}
	d.start(p)
	return list
}

// TestSignalsThatAreNone: bytes that are no signal, or of nobody, change nothing and are counted.
func TestSignalsThatAreNone(t *testing.T) {
	t.Parallel()
	d := newDistrict(t, 3, 3, 6, "")
	text, err := os.ReadFile(d.procs[0].own)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "listen = \"")
	at, _, _ := strings.Cut(rest, "\"")
	c, err := net.Dial("udp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	until(t, "counting them", func() bool {
		for n := range 20 {
			fmt.Fprintf(c, "\x03%s", strings.Repeat(string(rune(n)), n*20))
		}
		return d.procs[0].signalled().Signals.Odd >= 20
	})
	d.load(50, 100)
	until(t, "retrievals all the same", func() bool { return d.clients[0].Figures().Settled > 50 })
	d.kept()
}

// TestBudgetsStayWhole: the fleet goes from twelve to three to twelve to five processes under load, by start, SIGTERM and SIGKILL. The parts that all act
// on are never over the whole, come near it each time, and follow the traffic: one has three times the others'.
func TestBudgetsStayWhole(t *testing.T) {
	t.Parallel()
	w := newTown(t, 9, 12, 3, nil)
	w.agree(1)
	for range 2 {
		go w.ask(w.procs[1])
	}
	up := func(n int) {
		for i, p := range w.procs {
			switch {
			case i < n && p.cmd == nil:
				w.start(p)
			case i >= n && p.cmd != nil && i%2 == 0:
				w.kill(p)
			case i >= n && p.cmd != nil:
				p.cmd.Process.Signal(syscall.SIGTERM)
				p.cmd.Wait()
				p.cmd = nil
			}
		}
		until(t, fmt.Sprint("the parts of ", n), func() bool {
			sum, least, most := 0.0, 1.0, 0.0
			for _, p := range w.procs[:n] {
				s, err := p.status()
				if err != nil || !s.Acting.Leased {
					return false
				}
				sum, least, most = sum+s.Acting.Part, min(least, s.Acting.Part), max(most, s.Acting.Part)
			}
			busy, err := w.procs[1].status()
			return err == nil && sum > 0.98-0.5*float64(12-n)/12 && least >= 0.5/12 && busy.Acting.Part == most && most > 1.3*sum/float64(n)
		})
	}
	for _, n := range []int{12, 3, 12, 5} {
		up(n)
	}
	if _, wrong := check(w.trace(), terms.MaxPause); wrong != "" {
		t.Error(wrong)
	}
}

// TestReadsThatMissForAll: while caches are emptied again and again all processes say so and keep one order; it ends once the caches know most.
func TestReadsThatMissForAll(t *testing.T) {
	t.Parallel()
	d := newDistrict(t, 11, 6, 12, "")
	d.load(100, 500)
	all := func(is bool) bool {
		return !slices.ContainsFunc(d.procs, func(p *process) bool { return p.signalled().Signals.Miss != is })
	}
	for range 2 {
		until(t, "all saying so", func() bool {
			for _, h := range d.hosts {
				h.Flush()
			}
			return all(true)
		})
		until(t, "the end of it", func() bool { return all(false) })
	}
	d.kept()
}
