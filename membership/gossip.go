package membership

import (
	"io"
	"log"
	"maps"
	"net"
	"slices"
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
	ears   Delegate
	heard  heard
	budget budget
	large  large // messages that go over connections
	queue  *memberlist.TransmitLimitedQueue
	named  map[string]string // addresses of peers

	done chan struct{}

	mu    sync.Mutex
	own   MemberState                 // as it was told last
	state []byte                      // the same, framed, in as much as goes to all
	nodes map[string]*memberlist.Node // where members are; copies, as the library changes its own
}

// OpenGossip listens at the address and joins whoever of the peers answers, in the background.
func OpenGossip(name, listen string, peers []Peer, rate int, ears Delegate) (*Gossip, error) {
	host, port, err := net.SplitHostPort(listen)
	if err != nil {
		return nil, err
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return nil, err
	}
	g := &Gossip{name: name, ears: ears, budget: budget{rate: float64(rate)}, large: large{maxOut: MaxMembers}, named: map[string]string{}, nodes: map[string]*memberlist.Node{},
		done: make(chan struct{})}
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
func (g *Gossip) Send(to string, bytes []byte) error { return g.send(to, isMessage, bytes) }

func (g *Gossip) send(to string, what byte, bytes []byte) error {
	if !g.budget.take(len(bytes), what, time.Now()) {
		return io.ErrShortWrite
	}
	framed := append([]byte{what}, bytes...)
	g.mu.Lock()
	node := g.nodes[to]
	g.mu.Unlock()
	switch {
	case node == nil && g.named[to] != "" && len(framed) <= packet:
		// One that gossip calls dead may be back: it takes seconds to hear of that, and those that are named beforehand can be reached all the same.
		return g.list.SendToAddress(memberlist.Address{Addr: g.named[to]}, framed)
	case node == nil:
		return errNoPeer
	case len(framed) <= packet:
		return g.list.SendBestEffort(node, framed)
	case !g.large.begin(len(framed)):
		return errBusy
	}
	go func() {
		defer g.large.end(len(framed))
		g.list.SendReliable(node, framed)
	}()
	return nil
}

// Tell sends a card to all members, and has it go round for those that this one does not reach: what goes round in a second is few cards
// where there are hundreds of members.
func (g *Gossip) PublishState(c MemberState) {
	bytes := packCard(c.within(cardRoom(g.budget.rate, g.list.NumMembers()), true))
	framed := append([]byte{isCard}, bytes...)
	g.mu.Lock()
	g.own, g.state = c, framed
	g.mu.Unlock()
	g.queue.QueueBroadcast(&card{c.Name, framed})
	g.toAll(isCard, framed)
}

// toAll sends a datagram to each member.
func (g *Gossip) toAll(what byte, framed []byte) {
	g.mu.Lock()
	nodes := slices.Collect(maps.Values(g.nodes))
	g.mu.Unlock()
	for _, node := range nodes {
		if node.Name != g.name && g.budget.take(len(framed), what, time.Now()) {
			g.list.SendBestEffort(node, framed)
		}
	}
}

// Want asks a member for its card with whole lists.
func (g *Gossip) RequestFullState(name string) { g.send(name, isWant, []byte(g.name)) }

// wanted answers a member that wants the whole card.
func (g *Gossip) wanted(by string) {
	g.mu.Lock()
	own := g.own
	g.mu.Unlock()
	if own.Name != "" {
		g.send(by, isCard, packCard(own.within(maxMessage, false)))
	}
}

// Signal sends a small message to all members.
func (g *Gossip) Broadcast(bytes []byte) { g.toAll(isSignal, append([]byte{isSignal}, bytes...)) }

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
	case len(framed) < 2 || len(framed) > maxMessage+1:
	case framed[0] == isMessage:
		g.ears.NotifyMessage(framed[1:])
	case framed[0] == isSignal:
		g.ears.NotifyBroadcast(framed[1:])
	case framed[0] == isWant:
		g.wanted(string(framed[1:]))
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
		if len(framed) <= packet { // Whole lists came to this one alone.
			g.queue.QueueBroadcast(&card{c.Name, framed})
		}
		g.ears.NotifyState(c)
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
	return g.state
}

func (g *Gossip) MergeRemoteState(framed []byte, _ bool) {
	if len(framed) > 1 && framed[0] == isCard {
		g.card(append([]byte{}, framed...))
	}
}

func (g *Gossip) NotifyJoin(n *memberlist.Node)   { g.is(n) }
func (g *Gossip) NotifyUpdate(n *memberlist.Node) { g.is(n) }

func (g *Gossip) NotifyLeave(n *memberlist.Node) {
	g.mu.Lock()
	delete(g.nodes, n.Name)
	g.mu.Unlock()
	g.heard.leave(n.Name)
}

// is takes where a member is. There are as many as the library knows, and no more than a fleet may have.
func (g *Gossip) is(n *memberlist.Node) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.nodes[n.Name] != nil || len(g.nodes) < MaxMembers {
		g.nodes[n.Name] = &memberlist.Node{Name: n.Name, Addr: slices.Clone(n.Addr), Port: n.Port, PMin: n.PMin, PMax: n.PMax, PCur: n.PCur}
	}
}
