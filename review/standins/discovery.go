package standins

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Entry is a cache host in the list of discovery.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// List is a list, or a change of one.
type List struct {
	Index     int     `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// Discovery tells a list and its changes. Each watch is given the whole list first, then each change, and an empty line
// every 2 s.
type Discovery struct {
	Address string
	record  *Record

	mu      sync.Mutex
	index   int
	entries map[string]Entry
	order   []string
	watches map[chan List]bool
}

// StartDiscovery starts it with ready hosts.
func StartDiscovery(r *Record, hosts ...*Host) *Discovery {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		CannotRun(err)
	}
	d := &Discovery{Address: listener.Addr().String(), record: r, index: 40, entries: map[string]Entry{}, watches: map[chan List]bool{}}
	for _, h := range hosts {
		d.set(EntryOf(h, "Ready"))
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(d.serve)) }()
	return d
}

// EntryOf is the entry of a host that started long ago.
func EntryOf(h *Host, status string) Entry {
	return Entry{Name: h.Name, Address: h.Address, Zone: "a", Type: "std", Status: status, Weight: 1}
}

func (d *Discovery) set(e Entry) {
	if _, known := d.entries[e.Name]; !known {
		d.order = append(d.order, e.Name)
	}
	d.entries[e.Name] = e
	d.index++
}

// Tell changes entries and tells all watches.
func (d *Discovery) Tell(entries ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range entries {
		d.set(e)
		d.record.Printf("discovery: %s is %s", e.Name, e.Status)
	}
	for w := range d.watches {
		w <- List{Index: d.index, Endpoints: entries}
	}
}

// Whole is the whole list.
func (d *Discovery) Whole() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.whole()
}

func (d *Discovery) whole() List {
	l := List{Index: d.index, Snapshot: true}
	for _, name := range d.order {
		if e := d.entries[name]; e.Status != "Gone" {
			l.Endpoints = append(l.Endpoints, e)
		}
	}
	return l
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Query().Get("follow") != "1" {
		_ = json.NewEncoder(w).Encode(d.Whole())
		return
	}
	news := make(chan List, 100)
	d.mu.Lock()
	first := d.whole()
	d.watches[news] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.watches, news)
		d.mu.Unlock()
	}()
	quiet := time.NewTicker(2 * time.Second)
	defer quiet.Stop()
	_ = json.NewEncoder(w).Encode(first)
	for {
		w.(http.Flusher).Flush()
		select {
		case l := <-news:
			_ = json.NewEncoder(w).Encode(l)
		case <-quiet.C:
			_, _ = io.WriteString(w, "\n")
		case <-r.Context().Done():
			return
		}
	}
}
