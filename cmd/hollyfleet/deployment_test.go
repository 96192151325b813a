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

// deployment is a fleet in front of cache hosts in three zones, with clients.
type deployment struct {
	*cluster
	origin      *fakes.Origin
	hosts       []*fakes.Host
	discovery   *fakes.Discovery
	zoneCount   int
	clients     []*fakes.Clients
	stopClients context.CancelFunc
}

const deploymentSettings = `{"allowed":{"cancelling":true,"connIdle":5000,"dialTimeout":200,"mostHeld":20000,"mostTrips":3,
"secondCopies":true,"retryAfter":true,"maxRetryAfter":1000},"balancers":%d,"hostTypes":["std"],"zones":["z0","z1","z2"],"zone":"z%d","registryMode":"subscribe",
"weights":"nominal","tenants":[{"name":"acme","quotaRps":100000}],"extra":{"mode":"through"},
"invariants":{"askEvery":10000,"drainGrace":2500,"startCapacity":0.2,"warmUp":8000,"fallMultiple":2.5,"tipAfter":3000},
"workloads":[
{"name":"read","effect":"free","group":"all","expectedTime":400,"hardStop":1500,"value":1,"tardyValue":0.2},
{"name":"report","effect":"guarded","group":"all","dedupWindow":4000,"expectedTime":800,"hardStop":2000,"value":1,"tardyValue":0.2},
{"name":"book","effect":"single_shot","group":"all","expectedTime":800,"hardStop":2000,"value":1,"tardyValue":0.2}]}`

// newDeployment starts n processes in front of so many hosts; own is more for the table fleet of their settings.
func newDeployment(t testing.TB, seed uint64, n, hosts int, own string) *deployment {
	return newDeploymentStating(t, seed, n, n, hosts, own)
}

// newDeploymentStating has the settings state another number of balancers than there are.
func newDeploymentStating(t testing.TB, seed uint64, n, stated, hosts int, own string) *deployment {
	d := &deployment{origin: fakes.NewOrigin(5*time.Millisecond, 64), discovery: fakes.NewDiscovery(), zoneCount: 3}
	entries := map[string]string{}
	for h := range hosts {
		host, err := fakes.NewHost(fmt.Sprintf("h%02d", h), d.origin, fakes.HostOptions{ServiceTime: 2 * time.Millisecond, Concurrency: 8, QueueLength: 64, WarmUp: 8 * time.Second,
			ColdCapacity: 0.2, OverloadFactor: 2.5, OverloadTime: 3 * time.Second})
		if err != nil {
			t.Fatal(err)
		}
		d.hosts = append(d.hosts, host)
		entries[host.Name] = d.entry(h, "Ready", 0)
	}
	d.discovery.UpdateEntries(entries)
	var all []string
	for _, e := range entries {
		all = append(all, e)
	}
	at := 0
	d.cluster = newIdleCluster(t, seed, n, min(3, n), func(p *process) {
		config, err := os.ReadFile(p.configFile)
		if err != nil {
			t.Fatal(err)
		}
		text := strings.Replace(string(config), fakes.Settings, fmt.Sprintf(deploymentSettings, stated, at%d.zoneCount), 1)
		text = strings.Replace(text, `"discovery":"127.0.0.1:1"`, fmt.Sprintf(`"discovery":%q`, d.discovery.Address), 1)
		text = strings.Replace(text, `"known":{"index":1,"snapshot":true,"endpoints":[]}`, `"known":`+fakes.List(1, true, all...), 1)
		table, err := os.ReadFile(p.settingsFile)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(p.configFile, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(p.settingsFile, append(table, own...), 0o600); err != nil {
			t.Fatal(err)
		}
		p.clockRate = 1
		at++
	})
	t.Cleanup(func() {
		d.stopLoad()
		for _, h := range d.hosts {
			h.Close()
		}
		d.discovery.Close()
	})
	d.waitForAgreement(1)
	return d
}

func (d *deployment) entry(h int, status string, since int64) string {
	return fakes.EntryIn(fmt.Sprint("z", h%d.zoneCount), d.hosts[h].Name, d.hosts[h].Address, "std", status, 1, since)
}

// startLoad has clients send so many requests a second to each process.
func (d *deployment) startLoad(rate, keys int) {
	ctx, enough := context.WithCancel(context.Background())
	d.stopClients = enough
	for n, p := range d.processes {
		d.clients = append(d.clients, fakes.Ask(ctx, p.clientAddress, fakes.Load{Rate: rate, Keys: keys, Seed: uint64(n + 1), Patience: 1500 * time.Millisecond,
			Books: 0.02, Reports: 0.05}))
	}
}

// stopLoad ends the load, and returns what the clients have seen.
func (d *deployment) stopLoad() (all fakes.ClientFigures) {
	if d.stopClients == nil {
		return all
	}
	d.stopClients()
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
	d.stopClients, d.clients = nil, nil
	return all
}

// endProcesses ends its processes before the test does: the next ones have the machine to themselves.
func (d *deployment) endProcesses() {
	d.cluster.shutDown()
	d.stopRequests = make(chan struct{}) // The test's own end closes it too.
}

func (d *deployment) requestsPerHost() (n []int) {
	for _, h := range d.hosts {
		n = append(n, h.Figures().Requests)
	}
	return n
}

// adminStatus is what a process's admin endpoint shows of zones and outliers.
type adminStatus struct {
	Zones []struct {
		Zone                   string  `json:"zone"`
		EvacuatedByOperator    bool    `json:"left_by_hand"`
		EvacuatedAutomatically bool    `json:"left_as_it_fails"`
		Share                  float64 `json:"part_away"`
	} `json:"zones"`
	Outliers struct {
		Invalid          int  `json:"of_nobody_or_none"`
		Accepted         int  `json:"taken"`
		WidespreadMisses bool `json:"reads_miss_for_all"`
		Hosts            []struct {
			Endpoint               string `json:"host"`
			Ejected                bool   `json:"heeded"`
			HasProbeLease          bool   `json:"turn"`
			OwnConsecutiveFailures int    `json:"own_failures_in_a_row"`
		} `json:"hosts"`
	} `json:"signals"`
}

func (p *process) adminStatus() (s adminStatus) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if answer, err := client.Get("http://" + p.adminAddress + "/fleet"); err == nil {
		json.NewDecoder(answer.Body).Decode(&s)
		answer.Body.Close()
	}
	return s
}

// dismissed returns how many requests were rejected until now.
func (d *deployment) dismissed() (n int) {
	for _, c := range d.clients {
		n += c.Figures().Dismissed
	}
	return n
}

// ejectionsOf returns how many processes have ejected a host, "" any host; prober: one of those that have its probe
// lease, nil if none has.
func (d *deployment) ejectionsOf(host string) (n int, prober *process) {
	for _, p := range d.processes {
		if p.cmd == nil || p.isSuspended {
			continue
		}
		for _, h := range p.adminStatus().Outliers.Hosts {
			if (h.Endpoint == host || host == "") && h.Ejected {
				if n++; h.HasProbeLease {
					prober = p
				}
			}
		}
	}
	return n, prober
}

func (d *deployment) countEjections(host string) int {
	n, _ := d.ejectionsOf(host)
	return n
}
