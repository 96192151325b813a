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
	// maxPacketOverheadBytes allows for the headers that memberlist adds to a datagram.
	maxPacketOverheadBytes = 200
	// pushPullInterval is the interval between push/pull syncs with another member over a connection. They bound how
	// long a state lost by gossip stays unknown.
	pushPullInterval = 10 * time.Second
	// joinMinInterval and joinMaxInterval bound the backoff between attempts to join the configured peers.
	joinMinInterval = time.Second
	joinMaxInterval = 30 * time.Second
	// leaveTimeout is how long Close waits for the leave message to spread.
	leaveTimeout = 200 * time.Millisecond
)

// Gossip is the exchange for processes that discover each other through hashicorp/memberlist. A member sends its state
// as a datagram to each member it knows. Receivers relay states that are new to them, and memberlist's push/pull syncs
// carry them as well.
type Gossip struct {
	exchangeBase
	memberlist *memberlist.Memberlist
	broadcasts *memberlist.TransmitLimitedQueue
	peers      map[string]string // addresses by name, excluding this process; read-only after OpenGossip
	done       chan struct{}     // closed by Close

	mu         sync.Mutex                  // guards the fields below
	stateFrame []byte                      // this process's state as sent to all members
	nodes      map[string]*memberlist.Node // reachable members by name; copies, because memberlist modifies its own
}

// OpenGossip listens on an address for datagrams and connections, passes what it receives to delegate, and joins the
// peers in the background. bytesPerSecond is the send rate limit; 0 means unlimited. It returns an error if the address
// is malformed or cannot be listened on.
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
	config, err := g.memberlistConfig(listen)
	if err != nil {
		return nil, err
	}
	if g.memberlist, err = memberlist.Create(config); err != nil {
		return nil, fmt.Errorf("start gossip: %w", err)
	}
	g.broadcasts = &memberlist.TransmitLimitedQueue{NumNodes: g.memberlist.NumMembers, RetransmitMult: config.RetransmitMult}
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

func (g *Gossip) memberlistConfig(listen string) (*memberlist.Config, error) {
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

// joinPeers keeps trying to join the configured peers until Close, whenever the member list is too short to hold them
// all. Without it, a network partition that lasts until memberlist gives up on the unreachable members would be
// permanent, as neither side would contact the other again.
func (g *Gossip) joinPeers(addresses []string) {
	for interval := joinMinInterval; ; interval = min(interval*2, joinMaxInterval) {
		if g.memberlist.NumMembers() <= len(addresses) {
			_, _ = g.memberlist.Join(addresses) // Unreachable peers are retried in the next iteration.
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
		// A configured peer that memberlist considers dead may be back up. memberlist takes seconds to notice, which
		// is too long for lease messages.
		return g.memberlist.SendToAddress(memberlist.Address{Addr: g.peers[to]}, frame)
	case node == nil:
		return ErrUnknownPeer
	case len(frame) <= maxDatagramBytes:
		return g.memberlist.SendBestEffort(node, frame)
	case !g.largeMessages.acquire(len(frame)):
		return ErrTooManyLargeMessages
	}
	go func() {
		defer g.largeMessages.release(len(frame))
		_ = g.memberlist.SendReliable(node, frame) // A lost message is acceptable, as with datagrams.
	}()
	return nil
}

// PublishState implements Exchange.
func (g *Gossip) PublishState(state MemberState) {
	g.setOwnState(state)
	frame := encodeFrame(frameState, marshalState(state.truncate(g.limiter.maxStateBytes(g.memberlist.NumMembers()), true)))
	g.mu.Lock()
	g.stateFrame = frame
	g.mu.Unlock()
	// With hundreds of members, relaying spreads only a few states per second, so the state is also sent directly to
	// each member. Relaying reaches the members that this process cannot.
	g.broadcasts.QueueBroadcast(&stateBroadcast{state.Name, frame})
	g.sendToAll(frameState, frame)
}

// Broadcast implements Exchange.
func (g *Gossip) Broadcast(message []byte) {
	g.sendToAll(frameBroadcast, encodeFrame(frameBroadcast, message))
}

// sendToAll sends a frame to each other member as a datagram. Frames that cannot be sent are dropped: a newer state
// follows within a second, and an outlier report is useless if it arrives late.
func (g *Gossip) sendToAll(kind frameKind, frame []byte) {
	g.mu.Lock()
	nodes := slices.Collect(maps.Values(g.nodes))
	g.mu.Unlock()
	for _, node := range nodes {
		if node.Name != g.name && g.limiter.take(len(frame), kind, time.Now()) {
			_ = g.memberlist.SendBestEffort(node, frame)
		}
	}
}

// relayState queues a state for relaying by memberlist. A state that was received over a connection is not relayed: it
// is a complete state that only this process requested.
func (g *Gossip) relayState(state MemberState, frame []byte) {
	if len(frame) <= maxDatagramBytes {
		g.broadcasts.QueueBroadcast(&stateBroadcast{state.Name, frame})
	}
}

// Close implements Exchange. It announces the leave first, so that the other members need not detect a failure.
func (g *Gossip) Close() {
	close(g.done)
	_ = g.memberlist.Leave(leaveTimeout) // Members that miss the announcement detect the failure themselves.
	_ = g.memberlist.Shutdown()
}
