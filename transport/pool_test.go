package transport

import (
	"errors"
	"io"
	"testing"
	"time"
)

// The limit is lowered while connections are in use. Those that are given back are closed until no more than the limit
// are open.
func TestLoweredLimitHoldsForConnectionsGivenBack(t *testing.T) {
	address, _ := startPeer(t)
	p := NewPool(8, time.Minute, time.Second)
	var lines []*PooledConn
	for range 4 {
		lines = append(lines, connect(t, p, address))
	}
	p.SetLimit(2)
	for _, line := range lines {
		line.Release(true)
	}
	if n := p.Count(); n != 2 {
		t.Errorf("%d are open, 2 are allowed", n)
	}
}

// A server closes an idle connection. A request written to it would end as a reset, after which one that is not
// idempotent may not be sent again: the pool must dial a new one.
func TestIdleConnectionClosedByTheServerIsNotUsed(t *testing.T) {
	address, accepted := startPeer(t)
	p := NewPool(2, time.Minute, time.Second)
	p.minReuseIdle = 0
	line := connect(t, p, address)
	first := <-accepted
	line.Release(true)
	line = connect(t, p, address)
	if len(accepted) != 0 || p.Count() != 1 {
		t.Fatal("an idle connection that stands is not used again")
	}
	conn := line.Conn
	line.Release(true)
	first.Close()
	for ended := false; !ended; _, ended = conn.peek() {
	}
	line = connect(t, p, address)
	if line.Conn == conn || p.Count() != 1 {
		t.Fatal("a connection that the host has closed is used again")
	}
	second := <-accepted
	if line.Send([]byte("x"), testDeadline()) != Open {
		t.Fatal("the new one does not take anything")
	}
	readByte(second)
	line.Release(true)
	p.idleTimeout = 0
	p.Sweep()
	if p.Count() != 0 {
		t.Fatal("idle for too long, and still open")
	}
}

// The pool is full and another server is needed: the connection that has been idle longest is closed for it.
func TestOldestIdleConnectionMakesRoom(t *testing.T) {
	a, fromA := startPeer(t)
	b, _ := startPeer(t)
	p := NewPool(1, time.Minute, time.Second)
	connect(t, p, a).Release(true)
	connect(t, p, b)
	host := <-fromA
	host.SetReadDeadline(testDeadline())
	if n, err := host.Read(make([]byte, 1)); n != 0 || err == nil || p.Count() != 1 {
		t.Fatal("the idle one still stands")
	}
}

// Over an upgrade two processes hold connections, which servers count together. The one that stops keeps idle ones for
// a moment only.
func TestFadeClosesIdleConnectionsAfterAMoment(t *testing.T) {
	address, _ := startPeer(t)
	p := NewPool(8, time.Minute, time.Second)
	old, young := connect(t, p, address), connect(t, p, address)
	conn := old.Conn
	old.Release(true)
	young.Release(true)
	conn.idleAt = conn.idleAt.Add(-time.Second)
	if p.Sweep(); p.Count() != 2 {
		t.Fatal("idle connections are not kept")
	}
	if p.CloseIdle(); p.Count() != 1 {
		t.Fatalf("%d idle connections are kept by one that goes", p.Count())
	}
}

// A faulty server sends a second copy of a response, or a new server has an old one's address. A connection that has
// not rested, or belongs to another server, must not carry the next request.
func TestConnectionIsReusedOnlyForItsServerAndRested(t *testing.T) {
	address, accepted := startPeer(t)
	p := NewPool(8, time.Minute, time.Second)
	p.minReuseIdle = time.Minute
	first := connect(t, p, address)
	conn := first.Conn
	first.Release(true)
	if second := connect(t, p, address); second.Conn == conn {
		t.Fatal("a connection that has not rested is used again")
	}
	p.minReuseIdle = 0
	other := p.NewConn()
	if end := other.Connect(Peer{1, address}, testDeadline()); end != Open || other.Conn == conn {
		t.Fatal("another server's connection is used", end)
	}
	if third := connect(t, p, address); third.Conn != conn {
		t.Fatal("a connection that has rested is not used again")
	} else {
		third.Release(true)
	}
	host := <-accepted
	p.DropPeer(Peer{0, address})
	host.SetReadDeadline(testDeadline())
	if _, err := host.Read(make([]byte, 1)); !errors.Is(err, io.EOF) || p.Count() != 2 {
		t.Fatal("a connection to a server that is gone stands", err, p.Count())
	}
}

// Other instances look after a server. Idle connections to it are closed after a moment, well before the rest.
func TestConnectionsToServersOfOthersEndSooner(t *testing.T) {
	address, accepted := startPeer(t)
	p := NewPool(4, time.Minute, time.Second)
	for server := range 2 {
		line := p.NewConn()
		if end := line.Connect(Peer{Server: server, Address: address}, time.Now().Add(time.Second)); end != Open {
			t.Fatal(end)
		}
		defer (<-accepted).Close()
		line.Release(true)
	}
	p.mu.Lock()
	for _, list := range p.idle { // As if that much time had passed.
		list[0].idleAt = list[0].idleAt.Add(-2 * briefIdleTimeout)
	}
	p.mu.Unlock()
	if p.Sweep(); p.Count() != 2 {
		t.Errorf("%d are open", p.Count())
	}
	p.SetBriefServers(map[int]bool{1: true})
	if p.Sweep(); p.Count() != 1 || len(p.idle[Peer{0, address}]) != 1 {
		t.Errorf("%d are open", p.Count())
	}
}
