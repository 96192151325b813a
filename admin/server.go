// Package admin is the operators' endpoint: HTTP/1.1 at an address of its own, one request per connection. It answers
// whether a balancer is ready, with its metrics and the state of its cache hosts, and ejects cache hosts by hand. What
// is under /fleet it hands to the fleet.
//
// It serves while everything else is short: it has few connections, so that it takes few descriptors, and a client that
// sends nothing gives up its connection to one that waits (boundedListener).
package admin

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"
)

const (
	headTimeout     = 2 * time.Second // for a request's head, and its body
	responseTimeout = 3 * time.Second
	maxHeadBytes    = 4 << 10
	maxBodyBytes    = 4 << 10 // no request but a proposal needs one

	// fleetResponseTimeout bounds a response under /fleet: a proposal waits up to 6 s for a majority.
	fleetResponseTimeout = 8 * time.Second
	// maxProposalBytes has room for the 1,024 longest names of cache hosts that a proposal may hold, and more.
	maxProposalBytes = 512 << 10
)

// Open listens at the address and serves from now on, until the process ends. It returns the address at which it
// listens. Requests under /fleet go to fleet; nil: the balancer is in none, and they are unknown.
func Open(address string, balancer Balancer, fleet http.Handler) (string, error) {
	listener, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler{balancer, fleet}, ReadHeaderTimeout: headTimeout, ReadTimeout: headTimeout, WriteTimeout: responseTimeout,
		MaxHeaderBytes: maxHeadBytes, ErrorLog: stdlog.New(io.Discard, "", 0), // Clients' mistakes are answered, not logged.
		ConnContext: withConnection}
	server.SetKeepAlivesEnabled(false)
	go func() {
		_ = server.Serve(&boundedListener{Listener: listener}) // It returns when accepting failed for good: connections are refused then.
	}()
	return listener.Addr().String(), nil
}
