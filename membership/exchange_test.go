package membership

import (
	"bytes"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"
)

// recordingDelegate records the messages, broadcasts and states it is notified of.
type recordingDelegate struct {
	mu       sync.Mutex
	messages [][]byte
	states   map[string]MemberState
}

func (d *recordingDelegate) NotifyMessage(message []byte) {
	d.mu.Lock()
	d.messages = append(d.messages, message)
	d.mu.Unlock()
}

func (d *recordingDelegate) NotifyBroadcast(message []byte) {
	d.NotifyMessage(append([]byte("signal "), message...))
}

func (d *recordingDelegate) NotifyState(state MemberState) {
	d.mu.Lock()
	if d.states == nil {
		d.states = map[string]MemberState{}
	}
	d.states[state.Name] = state
	d.mu.Unlock()
}

// hasReceived reports whether a message was received. Broadcasts are recorded with the prefix "signal ", which is part
// of the golden values in gossip.golden.
func (d *recordingDelegate) hasReceived(want []byte) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.messages {
		if bytes.Equal(m, want) {
			return true
		}
	}
	return false
}

// waitFor polls until done returns true and fails the test after 20 s.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out after 20 s waiting for %s", what)
		}
	}
}

// freeAddress returns an address on 127.0.0.1 whose port is free for both UDP and TCP.
func freeAddress(t *testing.T) string { return freeAddressOn(t, "127.0.0.1") }

// freeAddressOn returns an address on a host whose port is free for both UDP and TCP. A separate loopback host for each
// process avoids port conflicts between processes.
func freeAddressOn(t *testing.T, host string) string {
	for {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			t.Fatal(err)
		}
		datagrams, err := net.ListenPacket("udp", listener.Addr().String())
		listener.Close()
		if err == nil {
			datagrams.Close()
			return listener.Addr().String()
		}
	}
}

// openExchange opens an exchange of the given kind for one of the peers, without a rate limit.
func openExchange(t *testing.T, kind string, self Peer, peers []Peer, delegate Delegate) Exchange {
	t.Helper()
	var exchange Exchange
	var err error
	if kind == "plain" {
		exchange, err = OpenPlain(self.Name, self.Address, peers, 0, delegate)
	} else {
		exchange, err = OpenGossip(self.Name, self.Address, peers, 0, delegate)
	}
	if err != nil {
		t.Fatal(err)
	}
	return exchange
}

// latestRevisionOf returns the LatestRevision that an exchange received from a member, or 0 if it received none.
func latestRevisionOf(exchange Exchange, name string) uint64 {
	for _, member := range exchange.Members() {
		if member.Name == name {
			return member.LatestRevision
		}
	}
	return 0
}

// Three processes send each other small and large messages, broadcasts and states over each kind of exchange. Guards
// against messages or states that are never delivered, which would keep leases or drains from a member.
func TestExchangesDeliverMessagesAndStates(t *testing.T) {
	for _, kind := range []string{"plain", "gossip"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			var peers []Peer
			for n := range 3 {
				peers = append(peers, Peer{Name: fmt.Sprint("p", n), Address: freeAddress(t)})
			}
			delegates, exchanges := [3]*recordingDelegate{}, [3]Exchange{}
			for n, p := range peers {
				delegates[n] = &recordingDelegate{}
				exchanges[n] = openExchange(t, kind, p, peers, delegates[n])
				defer exchanges[n].Close()
			}
			large := bytes.Repeat([]byte("large "), 20_000)
			waitFor(t, "a large message", func() bool { exchanges[0].Send("p2", large); return delegates[2].hasReceived(large) })
			waitFor(t, "a small message", func() bool {
				exchanges[1].Send("p0", []byte("small"))
				return delegates[0].hasReceived([]byte("small"))
			})
			waitFor(t, "the broadcast on both other members", func() bool {
				exchanges[0].Broadcast([]byte("all"))
				return delegates[1].hasReceived([]byte("signal all")) && delegates[2].hasReceived([]byte("signal all"))
			})
			state := MemberState{Name: "p1", Incarnation: 5, Seq: 0, LatestRevision: 9}
			waitFor(t, "the state on both other members", func() bool {
				state.Seq++
				exchanges[1].PublishState(state)
				time.Sleep(20 * time.Millisecond)
				return latestRevisionOf(exchanges[0], "p1") == 9 && latestRevisionOf(exchanges[2], "p1") == 9
			})
			if err := exchanges[0].Send("nobody", []byte("x")); err == nil {
				t.Error("Send to an unknown member returned no error")
			}
		})
	}
}

// Forty processes publish states with 1,024 drains each. Guards against states that are too long to be sent, which
// would leave members unknown to each other. A member that requests complete lists receives them.
func TestMembersDiscoverEachOtherWithLongLists(t *testing.T) {
	for _, kind := range []string{"plain", "gossip"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			var peers []Peer
			for n := range 40 {
				peers = append(peers, Peer{Name: fmt.Sprint("p", n), Address: freeAddressOn(t, fmt.Sprintf("127.104.%d.%d", len(kind), 1+n))})
			}
			exchanges := make([]Exchange, len(peers))
			for n, p := range peers {
				exchanges[n] = openExchange(t, kind, p, peers, &recordingDelegate{})
			}
			t.Cleanup(func() {
				var closing sync.WaitGroup
				for _, x := range exchanges {
					closing.Go(x.Close) // Concurrently, as each Close waits until the leave has spread.
				}
				closing.Wait()
			})
			seq := uint64(0)
			waitFor(t, "all members to be known to each other", func() bool {
				seq++
				for n, p := range peers {
					state := stateWithLongLists(p.Name, 20, 8)
					state.Seq = seq
					exchanges[n].PublishState(state)
				}
				time.Sleep(50 * time.Millisecond) // Shorter than the usual second between states, to speed the test up.
				return !slices.ContainsFunc(exchanges, func(x Exchange) bool { return len(x.Members()) < len(peers)-1 })
			})
			waitFor(t, "a state with complete lists", func() bool {
				exchanges[0].RequestFullState("p39")
				time.Sleep(10 * time.Millisecond)
				return slices.ContainsFunc(exchanges[0].Members(), func(m Member) bool {
					return m.Name == "p39" && !m.IsPartial() && len(m.Drains) == longListLength && len(m.Evacuations) == longListLength
				})
			})
			if m := exchanges[0].Members()[0]; !m.IsPartial() {
				t.Errorf("%s has complete lists although none were requested", m.Name)
			}
		})
	}
}

// Any host on the network can send frames. Malformed frames, and states that carry the name of this process, must
// neither reach the member table nor crash the process.
func FuzzHandleFrame(f *testing.F) {
	f.Add(append([]byte{byte(frameState)}, marshalState(MemberState{Name: "p1", Incarnation: 1, Drains: []DrainedEndpoint{{"h", 3}},
		Evacuations: []ZoneEvacuation{{"z", 0.5}}})...))
	f.Add([]byte{byte(frameMessage), 1})
	f.Fuzz(func(t *testing.T, frame []byte) {
		delegate := &recordingDelegate{}
		exchange := &Plain{exchangeBase: exchangeBase{name: "p0", delegate: delegate}}
		exchange.handleFrame(frame)
		for _, state := range delegate.states {
			if state.Name == "" || len(state.Name) > maxNameBytes || len(state.Drains) > maxDrains ||
				len(state.Evacuations) > maxEvacuations || state.Name == "p0" {
				t.Fatalf("invalid state accepted: %+v", state)
			}
		}
	})
}
