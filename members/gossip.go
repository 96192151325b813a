package members

import (
	"io"
	"log"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// Gossip is the exchange between processes that find each other: hashicorp/memberlist, with its cards as broadcasts and as the state that two
// members tell each other now and then.
type Gossip struct {
	name   string
	list   *memberlist.Memberlist
	ears   Ears
	heard  heard
	budget budget
	queue  *memberlist.TransmitLimitedQueue
	named  map[string]string // addresses of peers

	done chan struct{}

	mu  sync.Mutex
	own []byte
}

// OpenGossip listens at the address and joins whoever of the peers answers, in the background.
func OpenGossip(name, listen string, peers []Peer, rate int, ears Ears) (*Gossip, error) {
	host, port, err := net.SplitHostPort(listen)
	if err != nil {
		return nil, err
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return nil, err
	}
	g := &Gossip{name: name, ears: ears, budget: budget{rate: float64(rate)}, named: map[string]string{}, done: make(chan struct{})}
	how := memberlist.DefaultLANConfig()
	how.Name, how.BindAddr, how.BindPort, how.AdvertisePort = name, host, number, number
	how.LogOutput, how.Logger = nil, log.New(io.Discard, "", 0)
	how.Delegate, how.Events = g, g
	how.UDPBufferSize = packet + 200
	how.PushPullInterval = 10 * time.Second
	if g.list, err = memberlist.Create(how); err != nil {
		return nil, err
	}
	g.queue = &memberlist.TransmitLimitedQueue{NumNodes: g.list.NumMembers, RetransmitMult: how.RetransmitMult}
	var others []string
	for _, p := range peers {
		if p.Name != name {
			g.named[p.Name] = p.Address
			others = append(others, p.Address)
		}
	}
	go func() {
		// Whoever is there later joins us; and parts that were cut for long enough to forget each other find together again.
		for every := time.Second; len(others) > 0; every = min(every*2, 30*time.Second) {
			if g.list.NumMembers() <= len(others) {
				g.list.Join(others)
			}
			select {
			case <-g.done:
				return
			case <-time.After(every):
			}
		}
	}()
	return g, nil
}

// Send puts a message on its way: a datagram, or a connection if it is too large for one.
func (g *Gossip) Send(to string, bytes []byte) error {
	if !g.budget.take(len(bytes), time.Now()) {
		return io.ErrShortWrite
	}
	framed := append([]byte{isMessage}, bytes...)
	for _, n := range g.list.Members() {
		if n.Name != to {
			continue
		}
		if len(framed) <= packet {
			return g.list.SendBestEffort(n, framed)
		}
		go g.list.SendReliable(n, framed)
		return nil
	}
	// One that gossip calls dead may be back: it takes seconds to hear of that, and those that are named beforehand can be reached all the same.
	if at := g.named[to]; at != "" && len(framed) <= packet {
		return g.list.SendToAddress(memberlist.Address{Addr: at}, framed)
	}
	return errNoPeer
}

// Tell has a card go round.
func (g *Gossip) Tell(c Card) {
	framed := append([]byte{isCard}, packCard(c)...)
	g.mu.Lock()
	g.own = framed
	g.mu.Unlock()
	g.queue.QueueBroadcast(&card{c.Name, framed})
}

// Signal sends a small message to all members.
func (g *Gossip) Signal(bytes []byte) {
	framed := append([]byte{isSignal}, bytes...)
	for _, n := range g.list.Members() {
		if n.Name != g.name && g.budget.take(len(framed), time.Now()) {
			g.list.SendBestEffort(n, framed)
		}
	}
}

// Members are those that were heard.
func (g *Gossip) Members() []Member { return g.heard.list(time.Now()) }

// Close leaves the others, so that they know, and ends the exchange.
func (g *Gossip) Close() {
	close(g.done)
	g.list.Leave(200 * time.Millisecond)
	g.list.Shutdown()
}

// card is a broadcast: a later one of the same process goes in its place.
type card struct {
	name  string
	bytes []byte
}

func (c *card) Invalidates(other memberlist.Broadcast) bool {
	o, is := other.(*card)
	return is && o.name == c.name
}
func (c *card) Message() []byte { return c.bytes }
func (c *card) Finished()       {}

// NodeMeta and the methods after it are what memberlist asks and tells.
func (g *Gossip) NodeMeta(int) []byte { return nil }

func (g *Gossip) NotifyMsg(framed []byte) {
	framed = append([]byte{}, framed...) // The room is the library's.
	switch {
	case len(framed) < 2 || len(framed) > mostMessage+1:
	case framed[0] == isMessage:
		g.ears.Message(framed[1:])
	case framed[0] == isSignal:
		g.ears.Signal(framed[1:])
	case framed[0] == isCard:
		g.card(framed)
	}
}

func (g *Gossip) card(framed []byte) {
	c, err := unpackCard(framed[1:])
	if err != nil || c.Name == g.name {
		return
	}
	if g.heard.put(c, time.Now()) {
		g.queue.QueueBroadcast(&card{c.Name, framed})
		g.ears.Card(c)
	}
}

func (g *Gossip) GetBroadcasts(overhead, limit int) [][]byte {
	if g.queue == nil {
		return nil
	}
	return g.queue.GetBroadcasts(overhead, limit)
}

func (g *Gossip) LocalState(bool) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.own
}

func (g *Gossip) MergeRemoteState(framed []byte, _ bool) {
	if len(framed) > 1 && framed[0] == isCard {
		g.card(append([]byte{}, framed...))
	}
}

func (g *Gossip) NotifyJoin(*memberlist.Node)    {}
func (g *Gossip) NotifyLeave(n *memberlist.Node) { g.heard.leave(n.Name) }
func (g *Gossip) NotifyUpdate(*memberlist.Node)  {}
