// Package admin is the operators' door: HTTP/1.1 at an address of its own, one call to a connection. It reads calls
// and words answers; what they are about it asks the balancer.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"hollylever/routing"
)

const (
	mostCallers = 12                     // connections, of which callers without a whole call can take all
	letCome     = 100 * time.Millisecond // so long a caller has to send a whole call while others wait
	headFor     = 2 * time.Second
	answerFor   = 3 * time.Second
	mostHead    = 4 << 10
	mostBody    = 4 << 10
	maxID       = routing.MaxEndpointName
	fleetFor    = 8 * time.Second
	maxPropose  = 512 << 10 // 1,024 names as long as may be, and more
)

// Balancer is what the door asks. No call may wait on clients or hosts.
type Balancer interface {
	Ready() bool
	Figures() routing.Figures
	Ban(server string, out bool) error
	Hosts() []routing.EndpointStatus
}

// Open listens at the address and answers calls from now on. It gives where it listens.
// What stands under /fleet is asked of fleet, if there is one.
func Open(address string, b Balancer, fleet http.Handler) (string, error) {
	inner, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: door{b, fleet}, ReadHeaderTimeout: headFor, ReadTimeout: headFor, WriteTimeout: answerFor,
		MaxHeaderBytes: mostHead, ErrorLog: stdlog.New(io.Discard, "", 0), // Callers' mistakes are answered, not logged.
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, callerOf, c) }}
	server.SetKeepAlivesEnabled(false)
	go func() {
		_ = server.Serve(&callers{Listener: inner}) // It returns when the process ends, or when accepting failed for good: calls are refused then.
	}()
	return inner.Addr().String(), nil
}

type door struct {
	Balancer
	fleet http.Handler
}

// ServeHTTP answers a call.
func (d door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, is := r.Context().Value(callerOf).(*caller); is {
		c.whole()
	}
	if d.fleet != nil && (r.URL.Path == "/fleet" || strings.HasPrefix(r.URL.Path, "/fleet/")) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(fleetFor)) // Fails only on a connection that is closed. A proposal waits for a majority.
		r.Body = http.MaxBytesReader(w, r.Body, maxPropose)
		d.fleet.ServeHTTP(w, r)
		return
	}
	if r.ContentLength < 0 || r.ContentLength > mostBody {
		http.Error(w, "no call has a body", http.StatusRequestEntityTooLarge)
		return
	}
	path := r.URL.EscapedPath()
	id, disable := strings.CutPrefix(path, "/cache-hosts/disable/")
	id, enable := strings.CutPrefix(id, "/cache-hosts/enable/")
	switch {
	case path == "/ready":
		d.ready(w, r)
	case path == "/metrics":
		d.metrics(w, r)
	case path == "/cache-hosts":
		d.hosts(w, r)
	case disable || enable:
		d.byHand(w, r, id, disable)
	default:
		http.Error(w, "unknown call", http.StatusNotFound)
	}
}

// meant tells whether the call has the method that it is for; if not, it is answered.
func meant(w http.ResponseWriter, r *http.Request, method string) bool {
	if r.Method == method {
		return true
	}
	w.Header().Set("Allow", method)
	http.Error(w, "this call is for "+method, http.StatusMethodNotAllowed)
	return false
}

func (d door) ready(w http.ResponseWriter, r *http.Request) {
	switch {
	case !meant(w, r, http.MethodGet):
	case d.Ready():
		io.WriteString(w, "ready\n")
	default:
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

func (d door) metrics(w http.ResponseWriter, r *http.Request) {
	if !meant(w, r, http.MethodGet) {
		return
	}
	f := d.Figures()
	var out strings.Builder
	for _, replies := range f.Replies {
		fmt.Fprintf(&out, "replies.%[1]s.success=%[2]d\nreplies.%[1]s.overload=%[3]d\nreplies.%[1]s.error=%[4]d\n",
			replies.Workload, replies.Settled, replies.Dismissed, replies.GivenUp)
	}
	fmt.Fprintf(&out, "dispatches=%d\nconcurrent=%d\ntargets=%d\ntargets_disabled=%d\n", f.Handed, f.Open, f.Servers, f.Avoided)
	for _, rejected := range f.Rejections {
		fmt.Fprintf(&out, "rejected.%s=%d\n", rejected.Reason, rejected.Count)
	}
	fmt.Fprintf(&out, "requests.late=%d\nrequests.unanswered=%d\n", f.Late, f.Unanswered)
	for _, closed := range f.Closed {
		fmt.Fprintf(&out, "connections.closed.%s=%d\n", closed.End, closed.Count)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	io.WriteString(w, out.String())
}

func (d door) hosts(w http.ResponseWriter, r *http.Request) {
	if !meant(w, r, http.MethodGet) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d.Hosts()) // Who does not read it to the end has gone.
}

func (d door) byHand(w http.ResponseWriter, r *http.Request, escaped string, out bool) {
	if !meant(w, r, http.MethodPost) {
		return
	}
	id, err := url.PathUnescape(escaped)
	if err != nil || id == "" || len(id) > maxID || strings.Contains(escaped, "/") {
		http.Error(w, "no id of a cache host", http.StatusBadRequest)
		return
	}
	switch err := d.Ban(id, out); {
	case errors.Is(err, routing.ErrNeverListed):
		http.Error(w, "this id was never listed", http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		fmt.Fprintf(w, "%q out by hand: %t\n", id, out)
	}
}

type key int

const callerOf key = 0

// callers accepts few connections. Guards the door, and the descriptors of clients and hosts, against callers that hold a
// connection and send no whole call: where it is full, the oldest of them makes room.
type callers struct {
	net.Listener
	mu   sync.Mutex
	open []*caller // the oldest first
}

type caller struct {
	net.Conn
	of    *callers
	came  time.Time
	asked bool // its call is whole
}

// Accept waits for the next caller, and for room.
func (l *callers) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for !l.room() {
		time.Sleep(letCome / 10) // Guards a call that is just being read against the crowd that came with it.
	}
	c := &caller{Conn: inner, of: l, came: time.Now()}
	l.mu.Lock()
	l.open = append(l.open, c)
	l.mu.Unlock()
	return c, nil
}

// room tells whether there is some, and closes who has had time enough to send a whole call if there is none.
func (l *callers) room() bool {
	l.mu.Lock()
	full := len(l.open) >= mostCallers
	var oldest *caller
	for _, c := range l.open {
		if full && !c.asked && time.Since(c.came) > letCome {
			oldest = c
			break
		}
	}
	l.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close() // It sent no whole call.
	}
	return !full || oldest != nil
}

func (c *caller) whole() {
	c.of.mu.Lock()
	c.asked = true
	c.of.mu.Unlock()
}

// Close ends the connection and gives its place back.
func (c *caller) Close() error {
	c.of.mu.Lock()
	for n, other := range c.of.open {
		if other == c {
			c.of.open = append(c.of.open[:n], c.of.open[n+1:]...)
			break
		}
	}
	c.of.mu.Unlock()
	return c.Conn.Close()
}
