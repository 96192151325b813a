package membership

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

// ears keep what they hear.
type ears struct {
	mu       sync.Mutex
	messages [][]byte
	cards    map[string]MemberState
}

func (e *ears) NotifyMessage(b []byte) {
	e.mu.Lock()
	e.messages = append(e.messages, b)
	e.mu.Unlock()
}

func (e *ears) NotifyBroadcast(bytes []byte) { e.NotifyMessage(append([]byte("signal "), bytes...)) }

func (e *ears) NotifyState(c MemberState) {
	e.mu.Lock()
	if e.cards == nil {
		e.cards = map[string]MemberState{}
	}
	e.cards[c.Name] = c
	e.mu.Unlock()
}

func (e *ears) heard(want []byte) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.messages {
		if bytes.Equal(m, want) {
			return true
		}
	}
	return false
}

func until(t *testing.T, what string, come func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !come(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s does not come", what)
		}
	}
}

func free(t *testing.T) string { return freeAt(t, "127.0.0.1") }

// freeAt is a port of an address that is free for both: an address of its own keeps a process from the ports of all others.
func freeAt(t *testing.T, address string) string {
	for {
		l, err := net.Listen("tcp", address+":0")
		if err != nil {
			t.Fatal(err)
		}
		u, err := net.ListenPacket("udp", l.Addr().String())
		l.Close()
		if err == nil {
			u.Close()
			return l.Addr().String()
		}
	}
}

// Both ways carry messages small and large, and cards: a later one counts, an earlier one that comes late does not.
func TestBothWays(t *testing.T) {
	for _, way := range []string{"plain", "gossip"} {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			var peers []Peer
			for n := range 3 {
				peers = append(peers, Peer{Name: fmt.Sprint("p", n), Address: free(t)})
			}
			heard, all := [3]*ears{}, [3]Exchange{}
			for n, p := range peers {
				heard[n] = &ears{}
				var err error
				if way == "plain" {
					all[n], err = OpenPlain(p.Name, p.Address, peers, 0, heard[n])
				} else {
					all[n], err = OpenGossip(p.Name, p.Address, peers, 0, heard[n])
				}
				if err != nil {
					t.Fatal(err)
				}
				defer all[n].Close()
			}
			large := bytes.Repeat([]byte("large "), 20_000)
			until(t, "a large message", func() bool { all[0].Send("p2", large); return heard[2].heard(large) })
			until(t, "a small message", func() bool { all[1].Send("p0", []byte("small")); return heard[0].heard([]byte("small")) })
			until(t, "a signal everywhere", func() bool {
				all[0].Broadcast([]byte("all"))
				return heard[1].heard([]byte("signal all")) && heard[2].heard([]byte("signal all"))
			})
			card := MemberState{Name: "p1", Incarnation: 5, Seq: 0, LatestRevision: 9}
			until(t, "a card everywhere", func() bool {
				card.Seq++
				all[1].PublishState(card)
				time.Sleep(20 * time.Millisecond)
				return seen(all[0], "p1") == 9 && seen(all[2], "p1") == 9
			})
			if err := all[0].Send("nobody", []byte("x")); err == nil {
				t.Error("nobody is reached")
			}
		})
	}
}

func seen(x Exchange, name string) uint64 {
	for _, m := range x.Members() {
		if m.Name == name {
			return m.LatestRevision
		}
	}
	return 0
}

func TestCardsAreOrdered(t *testing.T) {
	var h heard
	now := time.Now()
	for _, c := range []struct {
		life, seq uint64
		after     time.Duration
		takes     bool
	}{{5, 1, 0, true}, {5, 1, 0, false}, {5, 3, 0, true}, {5, 2, 0, false}, {4, 9, 0, false}, {6, 1, 0, true}, {5, 99, 2 * goneAfter, true}} {
		if h.put(MemberState{Name: "p", Incarnation: c.life, Seq: c.seq}, now.Add(c.after)) != c.takes {
			t.Errorf("%+v", c)
		}
	}
	for n := range 2 * MaxMembers {
		h.put(MemberState{Name: fmt.Sprint("m", n), Incarnation: 1}, now)
	}
	if len(h.cards) != MaxMembers {
		t.Errorf("%d members are kept", len(h.cards))
	}
}

func TestBudget(t *testing.T) {
	b, now, sent := budget{rate: 1000}, time.Now(), 0
	for n := range 100 {
		if b.take(100, isMessage, now.Add(time.Duration(n)*20*time.Millisecond)) {
			sent += 100
		}
	}
	if sent < 2800 || sent > 3000 { // A second's worth saved, and two seconds.
		t.Errorf("%d bytes in two seconds, at 1000 a second", sent)
	}
}

// What comes from a network that is not the fleet's leads nobody astray.
func FuzzTake(f *testing.F) {
	f.Add(append([]byte{isCard}, packCard(MemberState{Name: "p1", Incarnation: 1, Drains: []DrainedEndpoint{{"h", 3}}, Evacuations: []ZoneEvacuation{{"z", 0.5}}})...))
	f.Add([]byte{isMessage, 1})
	f.Fuzz(func(t *testing.T, framed []byte) {
		e := &ears{}
		p := &Plain{name: "p0", ears: e}
		p.take(framed)
		for _, c := range e.cards {
			if c.Name == "" || len(c.Name) > maxName || len(c.Drains) > maxDrains || len(c.Evacuations) > maxWays || c.Name == "p0" {
				t.Fatalf("%+v is taken", c)
			}
		}
	})
}
