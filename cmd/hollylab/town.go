package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"hollylever/fakes"
)

// What the demo's fleet is.
const (
	hostCount     = 16
	balancerCount = 3
	warmUp        = 8 * time.Second
	fetchTakes    = 15 * time.Millisecond
	fetchAtOnce   = 24
)

// townSettings are the demo's: as the tests', with three kinds of hosts, three balancers, and times to come back.
const townSettings = `{"allowed":{"cancelling":true,"connIdle":5000,"dialTimeout":200,"mostHeld":20000,"mostTrips":3,
"secondCopies":true,"retryAfter":true,"maxRetryAfter":1000},"balancers":3,"hostTypes":["small","std","large"],"zones":["z"],"registryMode":"subscribe",
"weights":"nominal","tenants":[{"name":"acme","quotaRps":100000}],"extra":{"mode":"through"},
"invariants":{"askEvery":10000,"drainGrace":2500,"startCapacity":0.2,"warmUp":8000,"fallMultiple":2.5,"tipAfter":3000},
"workloads":[
{"name":"read","effect":"free","group":"all","expectedTime":400,"hardStop":1500,"value":1,"tardyValue":0.2},
{"name":"report","effect":"guarded","group":"all","dedupWindow":4000,"expectedTime":800,"hardStop":2000,"value":1,"tardyValue":0.2},
{"name":"book","effect":"single_shot","group":"all","expectedTime":800,"hardStop":2000,"value":1,"tardyValue":0.2}]}`

var kinds = []struct {
	name   string
	weight float64
	atOnce int
}{{"small", 0.5, 2}, {"std", 1, 4}, {"large", 2, 8}}

// town is all that the demo begins: close ends all of it.
type town struct {
	folder    string
	origin    *fakes.Origin
	discovery *fakes.Discovery
	hosts     []*fakes.Host
	kinds     []int
	platforms []*fakes.Platform
	accord    *accord // nil: each decides alone
	zones     int     // that hosts and balancers are in, by turns
	killed    int     // the number of a balancer that was killed: what it held is no other's; 0: none was

	mu        sync.Mutex
	processes []*fakes.Process // one that serves for each platform
	ended     []*fakes.Process
	troubles  []string // what went wrong beside the rules
}

func newTown(program string, agree bool, zones int) (w *town, err error) {
	w = &town{zones: max(1, zones), origin: fakes.NewOrigin(fetchTakes, fetchAtOnce), discovery: fakes.NewDiscovery()}
	defer func() {
		if err != nil {
			w.close()
		}
	}()
	if w.folder, err = os.MkdirTemp("", "hollylab-"); err != nil {
		return w, err
	}
	if agree {
		if w.accord, err = newAccord(w.folder, balancerCount); err != nil {
			return w, err
		}
		program = filepath.Join(filepath.Dir(program), "hollyfleet")
	}
	entries := map[string]string{}
	for n := range hostCount {
		k := []int{1, 0, 1, 2}[n%4]
		h, err := fakes.NewHost(fmt.Sprintf("%s-%02d", kinds[k].name, n+1), w.origin, fakes.HostOptions{ServiceTime: 3 * time.Millisecond, Concurrency: kinds[k].atOnce,
			QueueLength: 8 * kinds[k].atOnce, WarmUp: warmUp, ColdCapacity: 0.2, OverloadFactor: 2.5, OverloadTime: 3 * time.Second})
		if err != nil {
			return w, err
		}
		w.hosts, w.kinds = append(w.hosts, h), append(w.kinds, k)
		entries[h.Name] = w.entry(n, "Ready")
	}
	w.discovery.UpdateEntries(entries)
	for n := range balancerCount {
		folder := filepath.Join(w.folder, fmt.Sprint("balancer-", n+1))
		if err := os.Mkdir(folder, 0o700); err != nil {
			return w, err
		}
		var variables []string
		if agree {
			variables = []string{"LB_EXTRA=" + w.accord.owns[n]}
		}
		settings := strings.Replace(townSettings, `"zones":["z"]`, fmt.Sprintf(`"zones":["z0","z1","z2"],"zone":%q`, w.zone(n)), 1)
		p, err := fakes.NewPlatform(folder, fakes.Setup{Variables: variables, Name: fmt.Sprint("n", n+1), Settings: settings, Known: w.discovery.FullList(),
			Discovery: w.discovery.Address, Limits: fakes.Limits{Cores: 1, MemoryMB: 64, Sockets: 512}, Core: -1, Program: program})
		if err != nil {
			return w, err
		}
		w.platforms = append(w.platforms, p)
		s, err := p.Start()
		if err != nil {
			return w, err
		}
		w.processes = append(w.processes, s)
	}
	return w, nil
}

// entry is a host as discovery has it now.
func (w *town) entry(n int, status string) string {
	h, since := w.hosts[n], int64(0)
	if started := h.Figures().Started; !started.IsZero() {
		since = started.UnixMilli()
	}
	k := kinds[w.kinds[n]]
	return fakes.EntryIn(w.zone(n), h.Name, h.Address, k.name, status, k.weight, since)
}

// zone is where a host or a balancer is.
func (w *town) zone(n int) string { return fmt.Sprint("z", n%w.zones) }

func (w *town) tell(n int, status string) {
	w.discovery.UpdateEntries(map[string]string{w.hosts[n].Name: w.entry(n, status)})
}

// doors are the figures of each balancer's door; none for one that does not answer now.
func (w *town) doors() (all []map[string]int) {
	w.mu.Lock()
	serving := append([]*fakes.Process(nil), w.processes...)
	w.mu.Unlock()
	client := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, s := range serving {
		figures := map[string]int{}
		if answer, err := client.Get("http://" + s.Mgmt + "/metrics"); err == nil {
			text, _ := io.ReadAll(io.LimitReader(answer.Body, 1<<16))
			answer.Body.Close()
			for _, line := range strings.Fields(string(text)) {
				name, number, _ := strings.Cut(line, "=")
				figures[name], _ = strconv.Atoi(number)
			}
		}
		all = append(all, figures)
	}
	return all
}

func (w *town) wrong(format string, args ...any) {
	w.mu.Lock()
	w.troubles = append(w.troubles, fmt.Sprintf(format, args...))
	w.mu.Unlock()
}

// close ends all that was begun, however far that came.
func (w *town) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.processes {
		s.Kill()
	}
	for _, p := range w.platforms {
		p.Close()
	}
	for _, h := range w.hosts {
		h.Close()
	}
	w.discovery.Close()
	if w.accord != nil {
		w.accord.close()
	}
	if w.folder != "" {
		_ = os.RemoveAll(w.folder)
	}
}
