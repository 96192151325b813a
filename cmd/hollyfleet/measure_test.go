package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"hollylever/fakes/between"
	"hollylever/fleet"
	"hollylever/fleetconfig"
)

// TestMeasure is not for CI: how long a revision takes to reach the last process, and what the exchange costs.
// HOLLYFLEET_MEASURE names the sizes.
func TestMeasure(t *testing.T) {
	for _, word := range sizesFrom(t, "HOLLYFLEET_MEASURE") {
		n, err := strconv.Atoi(word)
		if err != nil {
			t.Fatal(err)
		}
		for _, loss := range []float64{0, 0.1} {
			t.Run(fmt.Sprint(n, " at ", loss), func(t *testing.T) { measure(t, n, loss) })
		}
	}
}

// sizesFrom returns the sizes that a variable names; without it the measurement is skipped.
func sizesFrom(t *testing.T, variable string) []string {
	words := os.Getenv(variable)
	if words == "" {
		t.Skip("only where it is asked for")
	}
	return strings.Split(words, ",")
}

func measure(t *testing.T, n int, loss float64) {
	c := newCluster(t, 1, n, 3, func(p *process) { p.clockRate = 1 })
	c.waitForAgreement(1)
	c.setFaults(func(int, int) between.Faults { return between.Faults{Loss: loss} })
	cpu, datagrams, bytes, began := c.cpuSeconds(), 0, 0, time.Now()
	count := func() (d, b int) {
		for _, row := range c.relays {
			for _, r := range row {
				x, y := r.Count()
				d, b = d+x, b+y
			}
		}
		return d, b
	}
	datagrams, bytes = count()
	time.Sleep(5 * time.Second) // The exchange at rest: a length, not a wait for something.
	d, b := count()
	seconds := time.Since(began).Seconds()
	t.Logf("%d processes, loss %v, at rest: %.0f bytes and %.1f datagrams a process and second; CPU with the tests' retrievals %.1f ms a process and second",
		n, loss, float64(b-bytes)/seconds/float64(n), float64(d-datagrams)/seconds/float64(n), (c.cpuSeconds()-cpu)/seconds/float64(n)*1000)
	at := map[uint64]int64{}
	for v := range 40 {
		began := fleet.Now()
		a, err := c.processes[v%n].propose(fleetconfig.Proposal{ID: fmt.Sprint("m", v), EjectEndpoints: []string{fmt.Sprint("h", v)}})
		if err == nil && a.Revision != 0 {
			at[a.Revision] = began
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.waitForAgreement(uint64(len(at)))
	last, heard := map[uint64]int64{}, map[string]uint64{}
	for _, x := range c.mergedTrace() {
		for v := heard[x.name] + 1; v <= x.latestRevision; v++ {
			last[v] = max(last[v], x.at-at[v])
			heard[x.name] = v
		}
	}
	var took []int64
	for v := range at {
		took = append(took, last[v])
	}
	slices.Sort(took)
	t.Logf("%d processes, loss %v: from propose to the last of them acting on it, median %v, 99%% %v, over %d revisions", n, loss,
		time.Duration(took[len(took)/2]).Round(time.Millisecond), time.Duration(took[len(took)*99/100]).Round(time.Millisecond), len(took))
	if worst, wrong := checkTrace(c.mergedTrace(), leaseTiming.MaxPause); wrong != "" || worst > leaseTiming.MaxDisagreement() {
		t.Errorf("longest contradiction %v; %s", worst, wrong)
	}
}

// cpuSeconds returns the CPU time of all processes.
func (c *cluster) cpuSeconds() (seconds float64) {
	for _, p := range c.processes {
		text, _ := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "stat"))
		if f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:])); len(f) > 13 {
			for _, word := range f[11:13] {
				ticks, _ := strconv.ParseFloat(word, 64)
				seconds += ticks / 100
			}
		}
	}
	return seconds
}

// measureHang has a host hang for so long, and returns how many attempts went there meanwhile, and after which time
// all processes had ejected it; 0: not all did.
func (d *deployment) measureHang(host int, over time.Duration) (attempts int, ejectedAfter time.Duration) {
	before, began := d.hosts[host].Figures().Requests, time.Now()
	goOn := d.hosts[host].Hang()
	for time.Since(began) < over {
		if ejectedAfter == 0 && d.countEjections(d.hosts[host].Name) == len(d.processes) {
			ejectedAfter = time.Since(began)
		}
		time.Sleep(50 * time.Millisecond) // The time that it hangs is the fault.
	}
	attempts = d.hosts[host].Figures().Requests - before
	goOn()
	return attempts, ejectedAfter
}

// TestMeasureSignals is not for CI: HOLLYFLEET_SIGNALS names the numbers of processes.
func TestMeasureSignals(t *testing.T) {
	for _, word := range sizesFrom(t, "HOLLYFLEET_SIGNALS") {
		var n, rate int
		fmt.Sscanf(word, "%dx%d", &n, &rate)
		for _, on := range []bool{false, true} {
			d := newDeployment(t, 1, n, 24, fmt.Sprintf("signals = %t\n", on))
			d.startLoad(rate, 3000)
			time.Sleep(5 * time.Second) // Until the caches know most.
			var attempts []int
			var left []time.Duration
			for _, host := range []int{4, 11, 18} {
				n, after := d.measureHang(host, 10*time.Second)
				attempts, left = append(attempts, n), append(left, after.Round(10*time.Millisecond))
				time.Sleep(6 * time.Second)
			}
			f := d.stopLoad()
			t.Logf("%d processes, 24 hosts, %d retrievals a second each, signals %t: attempts at a host that hangs for 10 s %v; all had ejected it after %v; %d asked, %d settled, %d dismissed, %d late",
				n, rate, on, attempts, left, f.Asked, f.Settled, f.Dismissed, f.Late+f.Door)
			if held := d.countEjections(d.hosts[18].Name); held > 0 {
				t.Logf("%d still hold it back", held)
			}
			d.endProcesses()
		}
	}
}

// TestMeasureFlush is not for CI: fetches a key after all caches are emptied. HOLLYFLEET_FLUSH names the numbers of
// processes and their rates.
func TestMeasureFlush(t *testing.T) {
	for _, word := range sizesFrom(t, "HOLLYFLEET_FLUSH") {
		var n, rate int
		fmt.Sscanf(word, "%dx%d", &n, &rate)
		d := newDeployment(t, 1, n, 24, "")
		d.startLoad(rate, 3000)
		time.Sleep(10 * time.Second) // Until the caches know most.
		d.origin.Forget()
		time.Sleep(4 * time.Second)
		calm, _ := d.origin.Fetches()
		for _, h := range d.hosts {
			h.Flush()
		}
		d.origin.Forget()
		for _, after := range []time.Duration{time.Second, 3 * time.Second} {
			time.Sleep(after)
			fetches, keys := d.origin.Fetches()
			t.Logf("%d processes, %d retrievals a second each: %v after a flush %d fetches of %d keys, %.2f a key; %d fetches in 4 s before", n, rate, after, fetches, keys,
				float64(fetches)/float64(keys), calm)
		}
		f := d.stopLoad()
		for _, p := range d.processes {
			text, _ := os.ReadFile(p.logFile)
			for _, line := range strings.Split(string(text), "\n") {
				if strings.Contains(line, "widespread cache misses") {
					t.Log(line)
				}
			}
		}
		t.Logf("%d asked, %d settled, %d dismissed", f.Asked, f.Settled, f.Dismissed)
		d.endProcesses()
	}
}

// TestMeasureCold is not for CI: a third of the hosts comes back cold at once, before processes whose settings state
// a quarter of their number.
func TestMeasureCold(t *testing.T) {
	for _, word := range sizesFrom(t, "HOLLYFLEET_COLD") {
		var n, rate int
		fmt.Sscanf(word, "%dx%d", &n, &rate)
		for _, most := range []int{0, n} {
			d := newDeploymentStating(t, 1, n, max(1, n/4), 24, "")
			if most == 0 { // quietTown's own has it.
				for _, p := range d.processes {
					text, _ := os.ReadFile(p.settingsFile)
					os.WriteFile(p.settingsFile, []byte(strings.Replace(string(text), fmt.Sprintf("most = %d\n", n), "most = 0\n", 1)), 0o600)
					d.kill(p)
					d.start(p)
				}
				d.waitForAgreement(1)
			}
			d.startLoad(rate, 3000)
			time.Sleep(8 * time.Second)
			before, began := d.requestsPerHost(), d.cpuSeconds()
			time.Sleep(5 * time.Second)
			busiest, sum, after := 0, 0, d.requestsPerHost()
			for h := range after {
				busiest, sum = max(busiest, after[h]-before[h]), sum+after[h]-before[h]
			}
			t.Logf("%d processes, most %d: the busiest of 24 equal hosts has %.2f of the mean; CPU %.1f ms a process and second", n, most, float64(busiest)*24/float64(sum),
				(d.cpuSeconds()-began)/5/float64(n)*1000)
			entries := map[string]string{}
			for h := 0; h < 24; h += 3 {
				if err := d.hosts[h].Restart(); err != nil {
					t.Fatal(err)
				}
				entries[d.hosts[h].Name] = d.entry(h, "Ready", d.hosts[h].Figures().Started.UnixMilli())
			}
			d.discovery.UpdateEntries(entries)
			for range 4 {
				time.Sleep(2 * time.Second)
				pushed, asked := 0, 0
				for h := 0; h < 24; h += 3 {
					pushed += d.hosts[h].Figures().Overloads
					asked += d.hosts[h].Figures().Requests - after[h]
				}
				t.Logf("cold hosts: %d asked of 8 of them, %d over what they can", asked, pushed)
			}
			f := d.stopLoad()
			t.Logf("%d asked, %d settled, %d dismissed, %d given up, %d late", f.Asked, f.Settled, f.Dismissed, f.GivenUp, f.Late+f.Door)
			d.endProcesses()
		}
	}
}

// TestMeasureZone is not for CI: a zone hangs for 8 s and comes back cold, while the list calls it ready throughout;
// its share of the attempts over time.
func TestMeasureZone(t *testing.T) {
	for _, word := range sizesFrom(t, "HOLLYFLEET_ZONE") {
		var n, rate, parts int // 0: nothing, 1: signals, 2: zones too
		fmt.Sscanf(word, "%dx%dx%d", &n, &rate, &parts)
		d := newDeployment(t, 1, n, 24, fmt.Sprintf("signals = %t\nzones = %t\n", parts > 0, parts > 1))
		if takes, err := time.ParseDuration(os.Getenv("HOLLYFLEET_ORIGIN")); err == nil { // How long a fetch takes.
			d.origin.Takes(takes)
		}
		d.startLoad(rate, 3000)
		time.Sleep(10 * time.Second)
		share := func(over time.Duration) (zone, attempts int) {
			before := d.requestsPerHost()
			time.Sleep(over)
			for h, asked := range d.requestsPerHost() {
				if attempts += asked - before[h]; h%3 == 0 {
					zone += asked - before[h]
				}
			}
			return zone, attempts
		}
		zone, attempts := share(2 * time.Second)
		t.Logf("%s: the zone has %.1f%% of the attempts before", word, 100*float64(zone)/float64(attempts))
		var goOn []func()
		for h := 0; h < 24; h += 3 {
			goOn = append(goOn, d.hosts[h].Hang())
		}
		hung, out := time.Now(), make(chan string, 1)
		go func() {
			first := time.Duration(0)
			for time.Since(hung) < 6*time.Second {
				least, most, _, _ := d.evacuation("z0")
				if most == 1 && first == 0 {
					first = time.Since(hung)
				}
				if least == 1 {
					out <- fmt.Sprintf("the first had left after %v, all after %v", first.Round(10*time.Millisecond), time.Since(hung).Round(10*time.Millisecond))
					return
				}
			}
			out <- "not left as a zone"
		}()
		for range 4 {
			zone, attempts = share(2 * time.Second)
			t.Logf("%s: hanging, %d of %d attempts in 2 s go there; %d dismissed", word, zone, attempts, d.dismissed())
		}
		t.Log(<-out)
		entries := map[string]string{}
		for h := 0; h < 24; h += 3 {
			goOn[h/3]()
			if err := d.hosts[h].Restart(); err != nil {
				t.Fatal(err)
			}
			entries[d.hosts[h].Name] = d.entry(h, "Ready", d.hosts[h].Figures().Started.UnixMilli())
		}
		d.discovery.UpdateEntries(entries)
		back := time.Now()
		for time.Since(back) < 40*time.Second {
			zone, attempts = share(4 * time.Second)
			pushed := 0
			for h := 0; h < 24; h += 3 {
				pushed += d.hosts[h].Figures().Overloads
			}
			fetches, _ := d.origin.Fetches()
			t.Logf("%s: %2.0f s after its return %.1f%%; %d over what they can; %d fetches in all; left %d; %d dismissed", word, time.Since(back).Seconds(), 100*float64(zone)/float64(attempts), pushed, fetches, d.countEjections(""), d.dismissed())
		}
		f := d.stopLoad()
		t.Logf("%s: %d asked, %d settled, %d dismissed, %d given up, %d late", word, f.Asked, f.Settled, f.Dismissed, f.GivenUp, f.Late+f.Door)
		d.endProcesses()
	}
}
