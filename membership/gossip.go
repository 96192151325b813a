package membership

import (
	"fmt"
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

const (
	// maxPacketOverheadBytes is room for what memberlist adds to a datagram.
	maxPacketOverheadBytes = 200
	// pushPullInterval is how often a member exchanges its full state with another over a connection: what gossip lost
	// is known by then.
	pushPullInterval = 10 * time.Second
	// joinMinInterval and joinMaxInterval bound the backoff between attempts to join the configured peers.
	joinMinInterval = time.Second
	joinMaxInterval = 30 * time.Second
	// leaveTimeout is how long Close waits for the others to hear of it.
	leaveTimeout = 200 * time.Millisecond
)

// Gossip is the exchange among processes that find each other through hashicorp/memberlist. A member's state goes to
// each member it knows as a datagram, is relayed by those for whom it is news, and is part of memberlist's push/pull.
type Gossip struct {
	exchangeBase
	list       *memberlist.Memberlist
	broadcasts *memberlist.TransmitLimitedQueue
	peers      map[string]string // addresses of configured peers by name, without this process; not changed once it is open
	done       chan struct{}     // closed by Close

	mu         sync.Mutex                  // guards all below
	stateFrame []byte                      // this process's state as all get it
	nodes      map[string]*memberlist.Node // reachable members by name; copies, as memberlist changes its own
}

// OpenGossip listens at an address for datagrams and connections, calls delegate with what comes, and joins the peers
// in the background. bytesPerSecond limits what it sends; 0: no limit. An error says that the address is malformed or
// cannot be listened at.
func OpenGossip(name, listen string, peers []Peer, bytesPerSecond int, delegate Delegate) (*Gossip, error) {
	g := &Gossip{
		exchangeBase: exchangeBase{
			name:          name,
			delegate:      delegate,
			limiter:       newRateLimiter(bytesPerSecond),
			largeMessages: largeMessageLimiter{maxInFlight: MaxMembers},
		},
		peers: map[string]string{},
		nodes: map[string]*memberlist.Node{},
		done:  make(chan struct{}),
	}
	g.send, g.relay = g.sendFrame, g.relayState
	config, err := g.listConfig(listen)
	if err != nil {
		return nil, err
	}
	if g.list, err = memberlist.Create(config); err != nil {
		return nil, fmt.Errorf("start gossip: %w", err)
	}
	g.broadcasts = &memberlist.TransmitLimitedQueue{NumNodes: g.list.NumMembers, RetransmitMult: config.RetransmitMult}
	var addresses []string
	for _, peer := range peers {
		if peer.Name != name {
			g.peers[peer.Name] = peer.Address
			addresses = append(addresses, peer.Address)
		}
	}
	if len(addresses) > 0 {
		go g.joinPeers(addresses)
	}
	return g, nil
}

func (g *Gossip) listConfig(listen string) (*memberlist.Config, error) {
	host, portText, err := net.SplitHostPort(listen)
	if err != nil {
		return nil, fmt.Errorf("parse listen address: %w", err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, fmt.Errorf("parse port of listen address: %w", err)
	}
	config := memberlist.DefaultLANConfig()
	config.Name, config.BindAddr, config.BindPort, config.AdvertisePort = g.name, host, port, port
	config.LogOutput, config.Logger = nil, log.New(io.Discard, "", 0)
	callbacks := &memberlistDelegate{g}
	config.Delegate, config.Events = callbacks, callbacks
	config.UDPBufferSize = maxDatagramBytes + maxPacketOverheadBytes
	config.PushPullInterval = pushPullInterval
	return config, nil
}

// joinPeers joins the configured peers until Close, as long as there may be some that are not known. Guards a fleet
// whose parts were cut off from each other for long enough that memberlist gave the others up: no part would ever look
// for the others again.
func (g *Gossip) joinPeers(addresses []string) {
	for interval := joinMinInterval; ; interval = min(interval*2, joinMaxInterval) {
		if g.list.NumMembers() <= len(addresses) {
			_, _ = g.list.Join(addresses) // Peers that are down now are tried again.
		}
		select {
		case <-g.done:
			return
		case <-time.After(interval):
		}
	}
}

func (g *Gossip) sendFrame(to string, kind frameKind, payload []byte) error {
	if !g.limiter.take(len(payload), kind, time.Now()) {
		return ErrRateLimited
	}
	frame := encodeFrame(kind, payload)
	g.mu.Lock()
	node := g.nodes[to]
	g.mu.Unlock()
	switch {
	case node == nil && g.peers[to] != "" && len(frame) <= maxDatagramBytes:
		// A configured peer that memberlist calls dead may be back: it takes seconds until that is known, and a lease
		// may not wait.
		return g.list.SendToAddress(memberlist.Address{Addr: g.peers[to]}, frame)
	case node == nil:
		return ErrUnknownPeer
	case len(frame) <= maxDatagramBytes:
		return g.list.SendBestEffort(node, frame)
	case !g.largeMessages.acquire(len(frame)):
		return ErrTooManyLargeMessages
	}
	go func() {
		defer g.largeMessages.release(len(frame))
		_ = g.list.SendReliable(node, frame) // It is lost, as a datagram may be.
	}()
	return nil
}

// PublishState implements Exchange.
func (g *Gossip) PublishState(state MemberState) {
	g.setOwnState(state)
	frame := encodeFrame(frameState, marshalState(state.truncate(g.limiter.maxStateBytes(g.list.NumMembers()), true)))
	g.mu.Lock()
	g.stateFrame = frame
	g.mu.Unlock()
	// It goes to each member at once, as among hundreds of members only a few states a second spread by relays; these
	// reach the members that this one does not.
	g.broadcasts.QueueBroadcast(&stateBroadcast{state.Name, frame})
	g.sendToAll(frameState, frame)
}

// Broadcast implements Exchange.
func (g *Gossip) Broadcast(message []byte) {
	g.sendToAll(frameBroadcast, encodeFrame(frameBroadcast, message))
}

// sendToAll sends a frame to each other member as a datagram. What cannot be sent is lost: a newer state follows within
// a second, and an outlier report is worth nothing later.
func (g *Gossip) sendToAll(kind frameKind, frame []byte) {
	g.mu.Lock()
	nodes := slices.Collect(maps.Values(g.nodes))
	g.mu.Unlock()
	for _, node := range nodes {
		if node.Name != g.name && g.limiter.take(len(frame), kind, time.Now()) {
			_ = g.list.SendBestEffort(node, frame)
		}
	}
}

// relayState has memberlist pass a state on. One that came over a connection is left out: its complete lists are for
// this process alone.
func (g *Gossip) relayState(state MemberState, frame []byte) {
	if len(frame) <= maxDatagramBytes {
		g.broadcasts.QueueBroadcast(&stateBroadcast{state.Name, frame})
	}
}

// Close implements Exchange. It tells the others first, so that they need not find out.
func (g *Gossip) Close() {
	close(g.done)
	_ = g.list.Leave(leaveTimeout) // Those that do not hear of it find out.
	_ = g.list.Shutdown()
}
