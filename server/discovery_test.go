package server

import (
	"strconv"
	"testing"
)

// Discovery is down at the start, comes back with changes, sends a damaged line, ends the watch and falls silent: the
// balancer serves from the last good list, calls again, and takes each change. A host that drains gets no new request.
func TestEndpointListIsFollowed(t *testing.T) {
	t.Parallel()
	a, fromA := startHost(t)
	b, fromB := startHost(t)
	d, calls := startDiscovery(t)
	p := startProgram(t, endpointList(4, true, listEntry("a", a, "Ready")), map[string]any{"discovery": d})
	receive(t, calls, "the first watch").SendLine(unavailable) // Down at the start: the known list serves.
	p.waitForLog("list lost")
	c := p.connect().send("C.GET", "k", "1", "c=read,t=acme,d=3000")
	receive(t, fromA, "the retrieval").Reply(valueReply("v"))
	c.expectReply("v")
	w := receive(t, calls, "the second watch")
	if w.Since != "4" {
		t.Fatalf("it is asked for since %s", w.Since)
	}
	w.SendLine(endpointList(5, true, listEntry("a", a, "Ready"), listEntry("b", b, "Ready")))
	p.waitForLog("list followed again")
	w.SendLine("")
	w.SendLine(endpointList(6, false, listEntry("a", a, "Terminating")))
	p.waitForLog(`"index":6,"changed":1,"ready":[],"draining":["a"],"gone":[]`)
	drained := func() {
		t.Helper()
		for n := range 20 {
			c.send("C.GET", strconv.Itoa(n), "id", "c=read,t=acme,d=3000")
			receive(t, fromB, "the retrieval").Reply(valueReply("v"))
			c.expectReply("v")
		}
		expectNoCommand(t, fromA)
	}
	drained()
	w.SendLine(endpointList(7, false, listEntry("a", a, "Ready"))[:60]) // A damaged line changes nothing.
	p.waitForLog("list lost")
	drained()
	w = receive(t, calls, "the third watch")
	if w.Since != "6" {
		t.Fatalf("it is asked for since %s", w.Since)
	}
	w.SendLine(endpointList(8, false, listEntry("b", b, "Gone"), listEntry("a", a, "Ready")))
	p.waitForLog(`"index":8,"changed":2,"ready":["a"],"draining":[],"gone":["b"]`)
	c.send("C.GET", "k", "1", "c=read,t=acme,d=3000")
	receive(t, fromA, "the retrieval").Reply(valueReply("v"))
	c.expectReply("v")
	w.End() // It ends.
	p.waitForLog("list lost")
	w = receive(t, calls, "the fourth watch") // It falls silent.
	w.SendLine("")
	p.waitForLog("list followed again")
	p.waitForLog("discovery is silent")
	receive(t, calls, "the fifth watch")
}

// Discovery accepts the watch and never answers it: the balancer serves from the list of its configuration and calls
// again.
func TestSilentDiscoveryIsCalledAgain(t *testing.T) {
	t.Parallel()
	at, came := startHost(t)
	d, calls := startDiscovery(t)
	p := startProgram(t, endpointList(4, true, listEntry("s", at, "Ready")), map[string]any{"discovery": d})
	receive(t, calls, "the first watch")
	c := p.connect().send("C.GET", "k", "1", "c=read,t=acme,d=3000")
	receive(t, came, "the retrieval").Reply(valueReply("v"))
	c.expectReply("v")
	p.waitForLog("discovery is silent")
	receive(t, calls, "the second watch")
}
