package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"hollylever/fakes"
)

// district is a fleet before cache hosts in zones, with clients.
type district struct {
	*town
	origin  *fakes.Origin
	hosts   []*fakes.Host
	list    *fakes.Discovery
	entries []string
	zones   int
	clients []*fakes.Clients
	enough  context.CancelFunc
}

const districtSettings = `{"allowed":{"cancelling":true,"connIdle":5000,"dialTimeout":200,"mostHeld":20000,"mostTrips":3,
"secondCopies":true,"retryAfter":true,"maxRetryAfter":1000},"balancers":%d,"hostTypes":["std"],"zones":["z0","z1","z2"],"zone":"z%d","registryMode":"subscribe",
"weights":"nominal","tenants":[{"name":"acme","quotaRps":100000}],"extra":{"mode":"through"},
"invariants":{"askEvery":10000,"drainGrace":2500,"startCapacity":0.2,"warmUp":8000,"fallMultiple":2.5,"tipAfter":3000},
"workloads":[
{"name":"read","effect":"free","group":"all","expectedTime":400,"hardStop":1500,"value":1,"tardyValue":0.2},
{"name":"report","effect":"guarded","group":"all","dedupWindow":4000,"expectedTime":800,"hardStop":2000,"value":1,"tardyValue":0.2},
{"name":"book","effect":"single_shot","group":"all","expectedTime":800,"hardStop":2000,"value":1,"tardyValue":0.2}]}`

// newDistrict starts n processes before so many hosts, in three zones; own is more for their table of the fleet.
func newDistrict(t testing.TB, seed uint64, n, hosts int, own string) *district {
	return newStated(t, seed, n, n, hosts, own)
}

// newStated has the settings state another number of balancers than there are.
func newStated(t testing.TB, seed uint64, n, stated, hosts int, own string) *district {
	d := &district{origin: fakes.NewOrigin(5*time.Millisecond, 64), list: fakes.NewDiscovery(), zones: 3}
	entries := map[string]string{}
	for h := range hosts {
		host, err := fakes.NewHost(fmt.Sprintf("h%02d", h), d.origin, fakes.Manner{Takes: 2 * time.Millisecond, AtOnce: 8, Queue: 64, WarmUp: 8 * time.Second,
			ColdPart: 0.2, Tips: 2.5, TipAfter: 3 * time.Second})
		if err != nil {
			t.Fatal(err)
		}
		d.hosts = append(d.hosts, host)
		entries[host.Name] = d.entry(h, "Ready", 0)
	}
	d.list.Tell(entries)
	var all []string
	for _, e := range entries {
		all = append(all, e)
	}
	at := 0
	d.town = quietTown(t, seed, n, min(3, n), func(p *process) {
		config, err := os.ReadFile(p.config)
		if err != nil {
			t.Fatal(err)
		}
		text := strings.Replace(string(config), fakes.Settings, fmt.Sprintf(districtSettings, stated, at%d.zones), 1)
		text = strings.Replace(text, `"discovery":"127.0.0.1:1"`, fmt.Sprintf(`"discovery":%q`, d.list.Address), 1)
		text = strings.Replace(text, `"known":{"index":1,"snapshot":true,"endpoints":[]}`, `"known":`+fakes.List(1, true, all...), 1)
		table, err := os.ReadFile(p.own)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(p.own, append(table, own...), 0o600); err != nil {
			t.Fatal(err)
		}
		p.clock = 1
		at++
	})
	t.Cleanup(func() {
		d.quiet()
		for _, h := range d.hosts {
			h.Close()
		}
		d.list.Close()
	})
	d.agree(1)
	return d
}

func (d *district) entry(h int, status string, since int64) string {
	return fakes.EntryIn(fmt.Sprint("z", h%d.zones), d.hosts[h].Name, d.hosts[h].Address, "std", status, 1, since)
}

// load has clients ask: so many retrievals a second of each process.
func (d *district) load(rate, keys int) {
	ctx, enough := context.WithCancel(context.Background())
	d.enough = enough
	for n, p := range d.procs {
		d.clients = append(d.clients, fakes.Ask(ctx, p.listen, fakes.Load{Rate: rate, Keys: keys, Seed: uint64(n + 1), Patience: 1500 * time.Millisecond,
			Books: 0.02, Reports: 0.05}))
	}
}

// quiet ends the load, and gives what the clients have seen.
func (d *district) quiet() (all fakes.ClientFigures) {
	if d.enough == nil {
		return all
	}
	d.enough()
	for _, c := range d.clients {
		c.Wait()
		f := c.Figures()
		all.Asked += f.Asked
		all.Settled += f.Settled
		all.Dismissed += f.Dismissed
		all.GivenUp += f.GivenUp
		all.Late += f.Late
		all.Door += f.Door
		all.Wrong += f.Wrong
	}
	d.enough, d.clients = nil, nil
	return all
}

// end ends its processes before the test does: the next ones have the machine to themselves.
func (d *district) end() {
	d.town.close()
	d.asks = make(chan struct{}) // The test's own end closes it too.
}

func (d *district) asked() (n []int) {
	for _, h := range d.hosts {
		n = append(n, h.Figures().Asked)
	}
	return n
}

// signalled is what a process's door shows of signals.
type signalled struct {
	Zones []struct {
		Zone           string
		Hosts, Failing int
		ByHand         bool    `json:"left_by_hand"`
		Fails          bool    `json:"left_as_it_fails"`
		Part           float64 `json:"part_away"`
	}
	Signals struct {
		Odd   int  `json:"of_nobody_or_none"`
		Took  int  `json:"taken"`
		Miss  bool `json:"reads_miss_for_all"`
		Hosts []struct {
			Host         string
			Heeded, Turn bool
			Own          int `json:"own_failures_in_a_row"`
		}
	}
}

func (p *process) signalled() (s signalled) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if answer, err := client.Get("http://" + p.door + "/fleet"); err == nil {
		json.NewDecoder(answer.Body).Decode(&s)
		answer.Body.Close()
	}
	return s
}

// dismissed is how many retrievals were until now.
func (d *district) dismissed() (n int) {
	for _, c := range d.clients {
		n += c.Figures().Dismissed
	}
	return n
}

// heeding is how many processes have left a host on others' word, "" any host; turn: one of those that may try it, nil if there is none.
func (d *district) heeding(host string) (n int, turn *process) {
	for _, p := range d.procs {
		if p.cmd == nil || p.stopped {
			continue
		}
		for _, h := range p.signalled().Signals.Hosts {
			if (h.Host == host || host == "") && h.Heeded {
				if n++; h.Turn {
					turn = p
				}
			}
		}
	}
	return n, turn
}

func (d *district) left(host string) int {
	n, _ := d.heeding(host)
	return n
}

// hang has a host hang for so long, and gives how many trips went there in that time, and how long until all had left it; 0: not all did.
func (d *district) hang(host int, over time.Duration) (trips int, left time.Duration) {
	before, began := d.hosts[host].Figures().Asked, time.Now()
	goOn := d.hosts[host].Hang()
	for time.Since(began) < over {
		if left == 0 && d.left(d.hosts[host].Name) == len(d.procs) {
			left = time.Since(began)
		}
		time.Sleep(50 * time.Millisecond) // The time that it hangs is the fault.
	}
	trips = d.hosts[host].Figures().Asked - before
	goOn()
	return trips, left
}

// TestMeasureSignals is not for CI: HOLLYFLEET_SIGNALS names the numbers of processes.
func TestMeasureSignals(t *testing.T) {
	for _, word := range sizes(t, "HOLLYFLEET_SIGNALS") {
		var n, rate int
		fmt.Sscanf(word, "%dx%d", &n, &rate)
		for _, on := range []bool{false, true} {
			d := newDistrict(t, 1, n, 24, fmt.Sprintf("signals = %t\n", on))
			d.load(rate, 3000)
			time.Sleep(5 * time.Second) // Until the caches know most.
			var trips []int
			var left []time.Duration
			for _, host := range []int{4, 11, 18} {
				n, after := d.hang(host, 10*time.Second)
				trips, left = append(trips, n), append(left, after.Round(10*time.Millisecond))
				time.Sleep(6 * time.Second)
			}
			f := d.quiet()
			t.Logf("%d processes, 24 hosts, %d retrievals a second each, signals %t: trips to a host that hangs for 10 s %v; all had left it after %v; %d asked, %d settled, %d dismissed, %d late",
				n, rate, on, trips, left, f.Asked, f.Settled, f.Dismissed, f.Late+f.Door)
			if held := d.left(d.hosts[18].Name); held > 0 {
				t.Logf("%d still hold it back", held)
			}
			d.end()
		}
	}
}

// TestMeasureFlush is not for CI: fetches a key after all caches are emptied. HOLLYFLEET_FLUSH names the numbers of processes and their rates.
func TestMeasureFlush(t *testing.T) {
	for _, word := range sizes(t, "HOLLYFLEET_FLUSH") {
		var n, rate int
		fmt.Sscanf(word, "%dx%d", &n, &rate)
		d := newDistrict(t, 1, n, 24, "")
		d.load(rate, 3000)
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
		f := d.quiet()
		for _, p := range d.procs {
			text, _ := os.ReadFile(p.log)
			for _, line := range strings.Split(string(text), "\n") {
				if strings.Contains(line, "widespread cache misses") {
					t.Log(line)
				}
			}
		}
		t.Logf("%d asked, %d settled, %d dismissed", f.Asked, f.Settled, f.Dismissed)
		d.end()
	}
}

// TestMeasureCold is not for CI: a third of the hosts comes back cold at once, before processes whose settings state a quarter of their number.
func TestMeasureCold(t *testing.T) {
	for _, word := range sizes(t, "HOLLYFLEET_COLD") {
		var n, rate int
		fmt.Sscanf(word, "%dx%d", &n, &rate)
		for _, most := range []int{0, n} {
			d := newStated(t, 1, n, max(1, n/4), 24, "")
			if most == 0 { // quietTown's own has it.
				for _, p := range d.procs {
					text, _ := os.ReadFile(p.own)
					os.WriteFile(p.own, []byte(strings.Replace(string(text), fmt.Sprintf("most = %d\n", n), "most = 0\n", 1)), 0o600)
					d.kill(p)
					d.start(p)
				}
				d.agree(1)
			}
			d.load(rate, 3000)
			time.Sleep(8 * time.Second)
			before, began := d.asked(), d.spent()
			time.Sleep(5 * time.Second)
			busiest, sum, after := 0, 0, d.asked()
			for h := range after {
				busiest, sum = max(busiest, after[h]-before[h]), sum+after[h]-before[h]
			}
			t.Logf("%d processes, most %d: the busiest of 24 equal hosts has %.2f of the mean; CPU %.1f ms a process and second", n, most, float64(busiest)*24/float64(sum),
				(d.spent()-began)/5/float64(n)*1000)
			entries := map[string]string{}
			for h := 0; h < 24; h += 3 {
				if err := d.hosts[h].Restart(); err != nil {
					t.Fatal(err)
				}
				entries[d.hosts[h].Name] = d.entry(h, "Ready", d.hosts[h].Figures().Started.UnixMilli())
			}
			d.list.Tell(entries)
			for range 4 {
				time.Sleep(2 * time.Second)
				pushed, asked := 0, 0
				for h := 0; h < 24; h += 3 {
					pushed += d.hosts[h].Figures().Pushed
					asked += d.hosts[h].Figures().Asked - after[h]
				}
				t.Logf("cold hosts: %d asked of 8 of them, %d over what they can", asked, pushed)
			}
			f := d.quiet()
			t.Logf("%d asked, %d settled, %d dismissed, %d given up, %d late", f.Asked, f.Settled, f.Dismissed, f.GivenUp, f.Late+f.Door)
			d.end()
		}
	}
}

// TestMeasureZone is not for CI: a zone hangs for 8 s and comes back cold, while the list calls it ready throughout; its part of the trips over time.
func TestMeasureZone(t *testing.T) {
	for _, word := range sizes(t, "HOLLYFLEET_ZONE") {
		var n, rate, parts int // 0: nothing, 1: signals, 2: zones too
		fmt.Sscanf(word, "%dx%dx%d", &n, &rate, &parts)
		d := newDistrict(t, 1, n, 24, fmt.Sprintf("signals = %t\nzones = %t\n", parts > 0, parts > 1))
		if takes, err := time.ParseDuration(os.Getenv("HOLLYFLEET_ORIGIN")); err == nil { // How long a fetch takes.
			d.origin.Takes(takes)
		}
		d.load(rate, 3000)
		time.Sleep(10 * time.Second)
		share := func(over time.Duration) (zone, trips int) {
			before := d.asked()
			time.Sleep(over)
			for h, asked := range d.asked() {
				if trips += asked - before[h]; h%3 == 0 {
					zone += asked - before[h]
				}
			}
			return zone, trips
		}
		zone, trips := share(2 * time.Second)
		t.Logf("%s: the zone has %.1f%% of the trips before", word, 100*float64(zone)/float64(trips))
		var goOn []func()
		for h := 0; h < 24; h += 3 {
			goOn = append(goOn, d.hosts[h].Hang())
		}
		hung, out := time.Now(), make(chan string, 1)
		go func() {
			first := time.Duration(0)
			for time.Since(hung) < 6*time.Second {
				least, most, _, _ := d.parts("z0")
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
			zone, trips = share(2 * time.Second)
			t.Logf("%s: hanging, %d of %d trips in 2 s go there; %d dismissed", word, zone, trips, d.dismissed())
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
		d.list.Tell(entries)
		back := time.Now()
		for time.Since(back) < 40*time.Second {
			zone, trips = share(4 * time.Second)
			pushed := 0
			for h := 0; h < 24; h += 3 {
				pushed += d.hosts[h].Figures().Pushed
			}
			fetches, _ := d.origin.Fetches()
			t.Logf("%s: %2.0f s after its return %.1f%%; %d over what they can; %d fetches in all; left %d; %d dismissed", word, time.Since(back).Seconds(), 100*float64(zone)/float64(trips), pushed, fetches, d.left(""), d.dismissed())
		}
		f := d.quiet()
		t.Logf("%s: %d asked, %d settled, %d dismissed, %d given up, %d late", word, f.Asked, f.Settled, f.Dismissed, f.GivenUp, f.Late+f.Door)
		d.end()
	}
}
