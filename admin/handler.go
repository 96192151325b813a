package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"hollylever/routing"
)

// Balancer is what the endpoint reads and changes. Its methods may be called concurrently; none waits for clients or
// cache hosts.
type Balancer interface {
	// Ready tells whether the balancer takes clients.
	Ready() bool
	// Figures returns counts since the start, and how things stand now.
	Figures() routing.Figures
	// Ban ejects a cache host by hand, or takes it back. The error is routing.ErrNeverListed for an unknown one, or
	// that of the file in which ejections are kept.
	Ban(server string, out bool) error
	// Hosts returns the state of all cache hosts.
	Hosts() []routing.EndpointStatus
}

// handler answers the requests of operators.
type handler struct {
	balancer Balancer
	fleet    http.Handler // nil: the balancer is in none
}

const (
	ejectPrefix   = "/cache-hosts/disable/"
	restorePrefix = "/cache-hosts/enable/"
)

// ServeHTTP answers a request. It dispatches by the escaped path: an id may hold an escaped slash.
func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	markRequestComplete(r)
	if h.fleet != nil && (r.URL.Path == "/fleet" || strings.HasPrefix(r.URL.Path, "/fleet/")) {
		h.serveFleet(w, r)
		return
	}
	if r.ContentLength < 0 || r.ContentLength > maxBodyBytes {
		http.Error(w, "no call has a body", http.StatusRequestEntityTooLarge)
		return
	}
	path := r.URL.EscapedPath()
	id, isEjection := strings.CutPrefix(path, ejectPrefix)
	id, isRestoration := strings.CutPrefix(id, restorePrefix)
	switch {
	case path == "/ready":
		h.serveReady(w, r)
	case path == "/metrics":
		h.serveMetrics(w, r)
	case path == "/cache-hosts":
		h.serveEndpoints(w, r)
	case isEjection || isRestoration:
		h.serveEjection(w, r, id, isEjection)
	default:
		http.Error(w, "unknown call", http.StatusNotFound)
	}
}

// serveFleet hands a request to the fleet, with the time and the size that a proposal needs.
func (h handler) serveFleet(w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(fleetResponseTimeout)) // Fails only on a closed connection.
	r.Body = http.MaxBytesReader(w, r.Body, maxProposalBytes)
	h.fleet.ServeHTTP(w, r)
}

// requireMethod tells whether the request has the method; if not, it answers it.
func requireMethod(w http.ResponseWriter, r *http.Request, method string) bool {
	if r.Method == method {
		return true
	}
	w.Header().Set("Allow", method)
	http.Error(w, "this call is for "+method, http.StatusMethodNotAllowed)
	return false
}

func (h handler) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case !requireMethod(w, r, http.MethodGet):
	case h.balancer.Ready():
		io.WriteString(w, "ready\n")
	default:
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// serveMetrics answers with a line NAME=VALUE for each metric. Names and order are an interface: dashboards read them.
func (h handler) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if !requireMethod(w, r, http.MethodGet) {
		return
	}
	figures := h.balancer.Figures()
	var out strings.Builder
	for _, replies := range figures.Replies {
		fmt.Fprintf(&out, "replies.%[1]s.success=%[2]d\nreplies.%[1]s.overload=%[3]d\nreplies.%[1]s.error=%[4]d\n",
			replies.Workload, replies.Settled, replies.Dismissed, replies.GivenUp)
	}
	fmt.Fprintf(&out, "dispatches=%d\nconcurrent=%d\ntargets=%d\ntargets_disabled=%d\n", figures.Handed, figures.Open, figures.Servers, figures.Avoided)
	for _, rejected := range figures.Rejections {
		fmt.Fprintf(&out, "rejected.%s=%d\n", rejected.Reason, rejected.Count)
	}
	fmt.Fprintf(&out, "requests.late=%d\nrequests.unanswered=%d\n", figures.Late, figures.Unanswered)
	for _, closed := range figures.Closed {
		fmt.Fprintf(&out, "connections.closed.%s=%d\n", closed.End, closed.Count)
	}
	fmt.Fprintf(&out, "memory.clients=%d\nmemory.clients_limit=%d\n", figures.ClientMemory, figures.ClientMemoryLimit)
	fmt.Fprintf(&out, "turns.waits=%d\nturns.waited_ms=%d\nturns.longest_wait_ms=%d\n", figures.Turns.Waits, figures.Turns.Waited.Milliseconds(),
		figures.Turns.LongestWait.Milliseconds())
	fmt.Fprintf(&out, "rejected.unread=%d\nrequests.repeated_ids=%d\n", figures.Unread, figures.Repeated)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	io.WriteString(w, out.String())
}

func (h handler) serveEndpoints(w http.ResponseWriter, r *http.Request) {
	if !requireMethod(w, r, http.MethodGet) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(h.balancer.Hosts()) // Fails only if the client has gone.
}

// serveEjection ejects the cache host with the id, or takes it back.
func (h handler) serveEjection(w http.ResponseWriter, r *http.Request, escapedID string, isEjected bool) {
	if !requireMethod(w, r, http.MethodPost) {
		return
	}
	id, err := url.PathUnescape(escapedID)
	if err != nil || id == "" || len(id) > routing.MaxEndpointName || strings.Contains(escapedID, "/") {
		http.Error(w, "no id of a cache host", http.StatusBadRequest)
		return
	}
	switch err := h.balancer.Ban(id, isEjected); {
	case errors.Is(err, routing.ErrNeverListed):
		http.Error(w, "this id was never listed", http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		fmt.Fprintf(w, "%q out by hand: %t\n", id, isEjected)
	}
}
