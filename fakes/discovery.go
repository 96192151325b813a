package fakes

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Entry returns the entry of a host that started at sinceMS; 0 or absent: long ago.
func Entry(name, address, status string, sinceMS ...int64) string {
	since := int64(0)
	if len(sinceMS) > 0 {
		since = sinceMS[0]
	}
	return EntryOf(name, address, "std", status, 1, since)
}

// EntryOf is Entry with a machine type and a weight.
func EntryOf(name, address, kind, status string, weight float64, sinceMS int64) string {
	return EntryIn("z", name, address, kind, status, weight, sinceMS)
}

// EntryIn is EntryOf with a zone.
func EntryIn(zone, name, address, kind, status string, weight float64, sinceMS int64) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":0,"status":%q,"weight":%g,"since_ms":%d}`,
		name, address, zone, kind, status, weight, sinceMS)
}

// List returns an endpoint list, full or with changes only.
func List(index int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[%s]}`, index, whole, strings.Join(entries, ","))
}

// Unavailable has a watch answered with 503 if it is sent in place of the first line.
const Unavailable = "503"

// Call is one watch of a scripted discovery service.
type Call struct {
	Since string
	Ended <-chan struct{} // closed once the caller has ended the watch
	texts chan string     // to send
}

// SendLine sends a line, or answers with 503 if it is Unavailable.
func (c Call) SendLine(line string) {
	if line != Unavailable {
		line += "\n"
	}
	c.texts <- line
}

// SendText sends a part of the response body as it is; an empty one sends the header alone.
func (c Call) SendText(text string) { c.texts <- text }

// End ends the watch.
func (c Call) End() { close(c.texts) }

// Discovery stands in for the discovery service. It is scripted, and passes each watch to Calls, or answers by itself with the entries
// that UpdateEntries has set.
type Discovery struct {
	Address string
	Calls   chan Call // of a scripted service; nil otherwise

	server *httptest.Server

	mu       sync.Mutex // guards the fields below
	index    int
	entries  map[string]string      // by name
	watchers map[chan struct{}]bool // signalled after a change
}

// keepAlive is the interval of empty lines while nothing changes.
const keepAlive = 2 * time.Second

// ScriptedDiscovery starts a scripted service.
func ScriptedDiscovery() *Discovery { return newDiscovery(&Discovery{Calls: make(chan Call, 100)}) }

// NewDiscovery starts a service that answers by itself.
func NewDiscovery() *Discovery { return newDiscovery(&Discovery{}) }

func newDiscovery(d *Discovery) *Discovery {
	d.entries, d.watchers = map[string]string{}, map[chan struct{}]bool{}
	d.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.Calls != nil {
			d.scripted(w, r)
		} else {
			d.follow(w, r)
		}
	}))
	d.Address = d.server.Listener.Addr().String()
	return d
}

func (d *Discovery) scripted(w http.ResponseWriter, r *http.Request) {
	c := Call{r.URL.Query().Get("since"), r.Context().Done(), make(chan string, 100)}
	d.Calls <- c
	for {
		select {
		case text, isOpen := <-c.texts:
			if text == Unavailable {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			if text == Unavailable || !isOpen {
				return
			}
			io.WriteString(w, text)
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// UpdateEntries sets entries, by name, as Entry returns them, and sends the list to all watches.
func (d *Discovery) UpdateEntries(entries map[string]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for name, entry := range entries {
		d.entries[name] = entry
	}
	for watcher := range d.watchers {
		select {
		case watcher <- struct{}{}:
		default: // It is signalled already.
		}
	}
}

// SetIndex sets the index of the list. It may go back, as that of a service that was rebuilt.
func (d *Discovery) SetIndex(index int) {
	d.mu.Lock()
	d.index = index
	d.mu.Unlock()
}

// FullList returns the list with all entries.
func (d *Discovery) FullList() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []string
	for _, entry := range d.entries {
		all = append(all, entry)
	}
	return List(d.index, true, all...)
}

// follow sends the full list after each change, as a watch may.
func (d *Discovery) follow(w http.ResponseWriter, r *http.Request) {
	changed := make(chan struct{}, 1)
	d.mu.Lock()
	d.watchers[changed] = true
	index := d.index
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.watchers, changed)
		d.mu.Unlock()
	}()
	if since, _ := strconv.Atoi(r.URL.Query().Get("since")); since != index {
		changed <- struct{}{}
	} else {
		io.WriteString(w, "\n")
		w.(http.Flusher).Flush()
	}
	for alive := time.NewTicker(keepAlive); ; {
		line := ""
		select {
		case <-changed:
			line = d.FullList()
		case <-alive.C:
		case <-r.Context().Done():
			alive.Stop()
			return
		}
		if _, err := io.WriteString(w, line+"\n"); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

// EndWatches ends all watches.
func (d *Discovery) EndWatches() { d.server.CloseClientConnections() }

// Close ends the service and all watches.
func (d *Discovery) Close() { d.server.CloseClientConnections(); d.server.Close() }
