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

// requireAllAnswered ends the load and fails the test if a request was answered late or wrongly, or one in ten was
// not answered with a value.
func (d *deployment) requireAllAnswered() {
	d.t.Helper()
	if f := d.stopLoad(); f.Late+f.Door+f.Wrong > 0 || f.Settled < f.Asked*9/10 || d.origin.Twice() > 0 {
		d.t.Errorf("%+v, %d twice", f, d.origin.Twice())
	}
}

// An endpoint hangs, and each of many processes sees too few of its requests there to notice by itself. All have to
// eject it on their peers' reports, one at a time probes it, and all come back when it recovers: also when the
// process with the probe lease is suspended at that moment, and with reports that are late, lost and repeated.
func TestHungEndpointIsEjectedAndProbed(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1, 6, 12, "")
	d.startLoad(60, 500)
	host := d.hosts[4]
	for _, faults := range []between.Faults{{}, {Loss: 0.5, Repeats: 0.5, Delay: 200 * time.Millisecond, Spread: 200 * time.Millisecond}} {
		d.setFaults(func(int, int) between.Faults { return faults })
		began := time.Now()
		goOn := host.Hang()
		waitFor(t, "ejection at all", func() bool { return d.countEjections(host.Name) == len(d.processes) })
		if n := d.countEjections(""); n > len(d.processes) {
			t.Errorf("others are ejected too: %d", n-len(d.processes))
		}
		t.Logf("all had ejected it after %v", time.Since(began))
		var prober *process
		waitFor(t, "a probe", func() bool { _, prober = d.ejectionsOf(host.Name); return prober != nil })
		d.suspend(prober)
		t.Logf("a probe after %v", time.Since(began))
		goOn()
		waitFor(t, "all but the stopped one coming back", func() bool { return d.countEjections(host.Name) == 0 })
		t.Logf("all but one are back after %v", time.Since(began))
		d.resume(prober)
		waitFor(t, "all coming back", func() bool { return d.countEjections(host.Name) == 0 })
	}
	d.heal()
	if f := d.stopLoad(); f.Wrong > 0 || d.origin.Twice() > 0 || f.Settled < f.Asked*8/10 {
		t.Errorf("%+v, %d twice", f, d.origin.Twice())
	}
}

// The network of one process was broken to a third of the endpoints, and its reports must not take these from all
// others: nobody else ejects any, and all requests are answered.
func TestOneProcessWithABrokenNetworkEjectsNothing(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2, 6, 12, "")
	broken := d.processes[4]
	defer d.restartUnableToReach(broken, func(h int) bool { return h < 4 }).Close() // A third: where more fail it keeps silent, as it is its own fault.
	d.waitForAgreement(1)
	d.startLoad(60, 500)
	before := d.processes[0].adminStatus().Outliers.Accepted
	waitFor(t, "its reports", func() bool {
		n := 0
		for _, h := range broken.adminStatus().Outliers.Hosts {
			if h.OwnConsecutiveFailures > 0 {
				n++
			}
		}
		return n >= 3 && d.processes[0].adminStatus().Outliers.Accepted > before+5
	})
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) { // That long nobody follows.
		if n := d.countEjections(""); n > 0 {
			t.Fatalf("%d hosts are ejected on the reports of one", n)
		}
	}
	d.requireAllAnswered()
}

// restartUnableToReach restarts a process with a list of its own, in which the addresses of some hosts answer
// nothing.
func (d *deployment) restartUnableToReach(p *process, which func(h int) bool) *fakes.Discovery {
	file, err := os.ReadFile(p.configFile)
	if err != nil {
		d.t.Fatal(err)
	}
	text, entries := string(file), map[string]string{}
	for h, host := range d.hosts {
		if entries[host.Name] = d.entry(h, "Ready", 0); which(h) {
			dead := freeAddress(d.t)
			entries[host.Name] = strings.Replace(entries[host.Name], host.Address, dead, 1)
			text = strings.Replace(text, host.Address, dead, 1)
		}
	}
	list := fakes.NewDiscovery()
	list.UpdateEntries(entries)
	d.kill(p)
	if err := os.WriteFile(p.configFile, []byte(strings.Replace(text, d.discovery.Address, list.Address, 1)), 0o600); err != nil {
		d.t.Fatal(err)
	}
	d.start(p)
	return list
}

// Something else on the network sends to the port of the fleet. Bytes that are no report, or come from no member,
// have to be counted and change nothing.
func TestMalformedOutlierMessagesAreCountedAndIgnored(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 3, 3, 6, "")
	text, err := os.ReadFile(d.processes[0].settingsFile)
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
	waitFor(t, "counting them", func() bool {
		for n := range 20 {
			fmt.Fprintf(c, "\x03%s", strings.Repeat(string(rune(n)), n*20))
		}
		return d.processes[0].adminStatus().Outliers.Invalid >= 20
	})
	d.startLoad(50, 100)
	waitFor(t, "retrievals all the same", func() bool { return d.clients[0].Figures().Settled > 50 })
	d.requireAllAnswered()
}

// The fleet shrinks and grows under load, by starts, SIGTERM and SIGKILL. If the shares of the budgets that all act
// on added up to more than the whole, cold endpoints would be overrun: they must not at any time, have to come near
// the whole after each change, and follow the traffic.
func TestBudgetSharesNeverExceedTheWhole(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 9, 12, 3, nil)
	c.waitForAgreement(1)
	for range 2 {
		go c.sendRequests(c.processes[1])
	}
	up := func(n int) {
		for i, p := range c.processes {
			switch {
			case i < n && p.cmd == nil:
				c.start(p)
			case i >= n && p.cmd != nil && i%2 == 0:
				c.kill(p)
			case i >= n && p.cmd != nil:
				p.cmd.Process.Signal(syscall.SIGTERM)
				p.cmd.Wait()
				p.cmd = nil
			}
		}
		waitFor(t, fmt.Sprint("the parts of ", n), func() bool {
			sum, least, most := 0.0, 1.0, 0.0
			for _, p := range c.processes[:n] {
				s, err := p.status()
				if err != nil || !s.Effective.IsLeased {
					return false
				}
				sum, least, most = sum+s.Effective.BudgetShare, min(least, s.Effective.BudgetShare), max(most, s.Effective.BudgetShare)
			}
			busy, err := c.processes[1].status()
			return err == nil && sum > 0.98-0.5*float64(12-n)/12 && least >= 0.5/12 && busy.Effective.BudgetShare == most && most > 1.3*sum/float64(n)
		})
	}
	for _, n := range []int{12, 3, 12, 5} {
		up(n)
	}
	if _, wrong := checkTrace(c.mergedTrace(), leaseTiming.MaxPause); wrong != "" {
		t.Error(wrong)
	}
}

// All caches are emptied again and again, and the origin is asked for each key by each process unless they act
// together. All processes have to detect widespread misses, and the end of them once the caches are full.
func TestWidespreadMissesAreDetectedAndEnd(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 11, 6, 12, "")
	d.startLoad(100, 500)
	all := func(is bool) bool {
		return !slices.ContainsFunc(d.processes, func(p *process) bool { return p.adminStatus().Outliers.WidespreadMisses != is })
	}
	for range 2 {
		waitFor(t, "all saying so", func() bool {
			for _, h := range d.hosts {
				h.Flush()
			}
			return all(true)
		})
		waitFor(t, "the end of it", func() bool { return all(false) })
	}
	d.requireAllAnswered()
}
