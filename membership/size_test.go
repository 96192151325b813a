package membership

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// thousand is how many hosts drain, zones are away and processes there are in the tests of size.
const thousand = 1024

func long(kind string, n, bytes int) string {
	name := fmt.Sprint(kind, "-", n, "-")
	return name + strings.Repeat("x", max(0, bytes-len(name)))
}

// full is a card with long lists, of names of so many bytes.
func full(name string, hosts, zones int) MemberState {
	c := MemberState{Name: name, Zone: long("z", 1, zones), Incarnation: 1 << 40, Seq: 1, ListIndex: 1 << 40, ListDigest: 1 << 63, SettingsDigest: "0123456789abcdef"}
	for n := range thousand {
		c.Drains = append(c.Drains, DrainedEndpoint{long("h", n, hosts), 1<<39 + uint64(n)})
		c.Evacuations = append(c.Evacuations, ZoneEvacuation{long("z", n, zones), 1.0 / 3})
	}
	return c
}

// A card with 1,024 drains and 1,024 zones, all of the longest names, goes whole as one message and comes back as it was; what goes to all is one datagram
// with the newest drains.
func TestCardsOfAThousand(t *testing.T) {
	c := full(long("p", 1, maxName), 512, maxName)
	whole := c.within(maxMessage, false)
	back, err := unpackCard(packCard(whole))
	if err != nil || whole.More != 0 || !slices.Equal(back.Drains, c.Drains) || !slices.Equal(back.Evacuations, c.Evacuations) {
		t.Errorf("%v: %d drains, %d zones", err, len(back.Drains), len(back.Evacuations))
	}
	for _, sizes := range [][2]int{{512, maxName}, {10, 5}, {40, 5}} {
		c = full("p", sizes[0], sizes[1])
		short := c.within(packet-1, true)
		if bytes := len(packCard(short)); bytes > packet-1 || short.More == 0 || len(short.Drains) == 0 || len(short.Evacuations) == 0 ||
			short.Drains[len(short.Drains)-1] != c.Drains[thousand-1] {
			t.Errorf("%v: %d bytes, %d drains, %d zones", sizes, bytes, len(short.Drains), len(short.Evacuations))
		}
	}
	few := MemberState{Name: "p", Drains: []DrainedEndpoint{{"h", 1}}}
	if short := few.within(packet-1, true); short.More != 0 || len(short.Drains) != 1 {
		t.Errorf("%+v of a card that fits", short)
	}
	if room := cardRoom(1e6, thousand-1); room < 300 || room*(thousand-1) > 1e6/2 {
		t.Errorf("%d bytes to each of %d", room, thousand-1)
	}
}

// Between forty processes, each with 1,024 drains, all hear of all by both ways, and who wants a card whole has it.
func TestLongListsReachAll(t *testing.T) {
	for _, way := range []string{"plain", "gossip"} {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			var peers []Peer
			for n := range 40 {
				peers = append(peers, Peer{Name: fmt.Sprint("p", n), Address: freeAt(t, fmt.Sprintf("127.104.%d.%d", len(way), 1+n))})
			}
			all := make([]Exchange, len(peers))
			for n, p := range peers {
				var err error
				if way == "plain" {
					all[n], err = OpenPlain(p.Name, p.Address, peers, 0, &ears{})
				} else {
					all[n], err = OpenGossip(p.Name, p.Address, peers, 0, &ears{})
				}
				if err != nil {
					t.Fatal(err)
				}
			}
			t.Cleanup(func() {
				var ends sync.WaitGroup
				for _, x := range all {
					ends.Go(x.Close) // One takes as long as telling the others does.
				}
				ends.Wait()
			})
			seq := uint64(0)
			until(t, "each card everywhere", func() bool {
				seq++
				for n, p := range peers {
					c := full(p.Name, 20, 8)
					c.Seq = seq
					all[n].PublishState(c)
				}
				time.Sleep(50 * time.Millisecond) // They tell every second; this is only sooner.
				return !slices.ContainsFunc(all, func(x Exchange) bool { return len(x.Members()) < len(peers)-1 })
			})
			until(t, "a card with whole lists", func() bool {
				all[0].RequestFullState("p39")
				time.Sleep(10 * time.Millisecond)
				return slices.ContainsFunc(all[0].Members(), func(m Member) bool {
					return m.Name == "p39" && !m.IsPartial() && len(m.Drains) == thousand && len(m.Evacuations) == thousand
				})
			})
			if m := all[0].Members()[0]; !m.IsPartial() {
				t.Errorf("%s has whole lists, and nobody wanted them", m.Name)
			}
		})
	}
}

// Whole lists stay with a member for as long as its cards tell of the same ones, and are kept of few.
func TestWholeLists(t *testing.T) {
	var h heard
	now := time.Now()
	stands := func(name string) Member {
		for _, m := range h.list(now) {
			if m.Name == name {
				return m
			}
		}
		return Member{}
	}
	for n := range maxWhole + 2 {
		c := full(fmt.Sprint("p", n), 20, 8)
		h.put(c.within(packet-1, true), now)
		if m := stands(c.Name); !m.IsPartial() {
			t.Fatalf("%s is whole before it is wanted", c.Name)
		}
		if !h.put(c, now) || stands(c.Name).IsPartial() || len(stands(c.Name).Drains) != thousand {
			t.Fatalf("%s: %d drains, partial %t", c.Name, len(stands(c.Name).Drains), stands(c.Name).IsPartial())
		}
	}
	last := fmt.Sprint("p", maxWhole+1)
	if m := stands("p0"); !m.IsPartial() || len(m.Drains) != 0 {
		t.Errorf("%d drains are kept of the first", len(m.Drains))
	}
	c := full(last, 20, 8)
	c.Seq = 2
	if h.put(c.within(packet-1, true), now); stands(last).IsPartial() || len(stands(last).Drains) != thousand {
		t.Error("whole lists are lost with the next card")
	}
	c.Seq, c.Drains = 3, c.Drains[1:]
	if h.put(c.within(packet-1, true), now); !stands(last).IsPartial() {
		t.Error("other lists are taken for whole")
	}
}

// Where a fleet has as many members as may be, one that comes has the place of one that is gone.
func TestWhoComesHasThePlaceOfWhoIsGone(t *testing.T) {
	var h heard
	now := time.Now()
	for n := range MaxMembers {
		if !h.put(MemberState{Name: fmt.Sprint("p", n), Incarnation: 1}, now.Add(time.Duration(n)*time.Millisecond)) {
			t.Fatalf("member %d is not taken", n)
		}
	}
	if h.put(MemberState{Name: "new", Incarnation: 1}, now) {
		t.Error("one more is taken while all are there")
	}
	if now = now.Add(goneAfter + 10*time.Millisecond); !h.put(MemberState{Name: "new", Incarnation: 1}, now) || len(h.cards) != MaxMembers {
		t.Error("one that comes is not taken, though others are gone")
	}
	if _, stays := h.cards["p0"]; stays {
		t.Error("the one that is gone for longest stays")
	}
}

// With 1,023 peers, and more signals and cards than may be sent, what leases and versions need goes all the same.
func TestMessagesGoBeforeCardsAndSignals(t *testing.T) {
	var peers []Peer
	for n := range thousand {
		peers = append(peers, Peer{Name: fmt.Sprint("p", n), Address: fmt.Sprintf("127.105.%d.%d:9", n/200, 1+n%200)}) // Nobody is there.
	}
	peers[0].Address = free(t)
	p, err := OpenPlain("p0", peers[0].Address, peers, 1_000_000, &ears{})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	c := full("p0", 20, 8)
	for range 20 {
		c.Seq++
		p.PublishState(c)
		p.Broadcast(make([]byte, 256))
	}
	for n := range 1000 { // As many asks for a lease as come to who leads at once, each granted.
		if err := p.Send(fmt.Sprint("p", 1+n), make([]byte, 200)); err != nil {
			t.Fatalf("message %d: %v", n, err)
		}
	}
}
