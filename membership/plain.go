package membership

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Plain is the exchange between peers that are all named beforehand: datagrams, and a connection for each message that is too large for one.
type Plain struct {
	name   string
	socket *net.UDPConn
	stream net.Listener
	peers  map[string]*net.UDPAddr
	ears   Delegate
	heard  heard
	budget budget
	large  large // messages that go over connections
	done   chan struct{}
	once   sync.Once

	mu  sync.Mutex
	own MemberState // as it was told last
}

// What a datagram or a connection carries, by its first byte. Versions before know no wants, and pass over them.
const (
	isMessage, isCard, isSignal, isWant byte = 1, 2, 3, 4

	maxTaken = 16 // connections that are taken at once
	largeFor = 2 * time.Second
)

// OpenPlain listens at the address, for datagrams and for connections, and hands to ears what it hears. rate is in bytes a second; 0: no bound.
func OpenPlain(name, listen string, peers []Peer, rate int, ears Delegate) (*Plain, error) {
	at, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, err
	}
	p := &Plain{name: name, peers: map[string]*net.UDPAddr{}, ears: ears, budget: budget{rate: float64(rate)},
		large: large{maxOut: max(maxTaken, len(peers))}, done: make(chan struct{})}
	for _, peer := range peers {
		if p.peers[peer.Name], err = net.ResolveUDPAddr("udp", peer.Address); err != nil {
			return nil, err
		}
	}
	if p.socket, err = net.ListenUDP("udp", at); err != nil {
		return nil, err
	}
	if p.stream, err = net.Listen("tcp", p.socket.LocalAddr().String()); err != nil {
		p.socket.Close()
		return nil, err
	}
	go p.read()
	go p.accept()
	return p, nil
}

// Address is where it listens.
func (p *Plain) Address() string { return p.socket.LocalAddr().String() }

// Send puts a message on its way.
func (p *Plain) Send(to string, bytes []byte) error { return p.send(to, isMessage, bytes) }

var errNoPeer = errors.New("no such peer")

func (p *Plain) send(to string, what byte, bytes []byte) error {
	at := p.peers[to]
	switch {
	case at == nil:
		return errNoPeer
	case len(bytes) > maxMessage:
		return errors.New("too large a message")
	case !p.budget.take(len(bytes), what, time.Now()):
		return errors.New("over the budget of bytes a second")
	}
	framed := append([]byte{what}, bytes...)
	if len(framed) <= packet {
		_, err := p.socket.WriteToUDP(framed, at)
		return err
	}
	if !p.large.begin(len(framed)) {
		return errBusy
	}
	go func() {
		defer p.large.end(len(framed))
		c, err := net.DialTimeout("tcp", at.String(), largeFor)
		if err != nil {
			return
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(largeFor))
		c.Write(append(binary.LittleEndian.AppendUint32(nil, uint32(len(framed))), framed...))
	}()
	return nil
}

// Tell sends a card to all peers, as much of its lists as fits into one datagram each, and into half of what may be sent in a second.
func (p *Plain) PublishState(c MemberState) {
	p.mu.Lock()
	p.own = c
	p.mu.Unlock()
	bytes := packCard(c.within(cardRoom(p.budget.rate, len(p.peers)), true))
	for name := range p.peers {
		if name != p.name {
			p.send(name, isCard, bytes)
		}
	}
}

// cardRoom is how many bytes a card may have that goes to so many at this rate; 0: no bound on that.
func cardRoom(rate float64, to int) int {
	const most = packet - 1 // The first byte tells what it is.
	if rate <= 0 {
		return most
	}
	return min(most, max(leastCard, int(rate/2)/max(1, to)))
}

// Want asks a peer for its card with whole lists.
func (p *Plain) RequestFullState(name string) { p.send(name, isWant, []byte(p.name)) }

// wanted answers a peer that wants the whole card.
func (p *Plain) wanted(by string) {
	p.mu.Lock()
	own := p.own
	p.mu.Unlock()
	if own.Name != "" {
		p.send(by, isCard, packCard(own.within(maxMessage, false)))
	}
}

// Signal sends a small message to all peers.
func (p *Plain) Broadcast(bytes []byte) {
	for name := range p.peers {
		if name != p.name {
			p.send(name, isSignal, bytes)
		}
	}
}

// Members are those that were heard.
func (p *Plain) Members() []Member { return p.heard.list(time.Now()) }

// Close ends the exchange.
func (p *Plain) Close() {
	p.once.Do(func() {
		close(p.done)
		p.socket.Close()
		p.stream.Close()
	})
}

func (p *Plain) read() {
	buffer := make([]byte, packet+1) // One that is longer is no peer's, and what is left of it is no message.
	for {
		n, _, err := p.socket.ReadFromUDP(buffer)
		if err != nil {
			select {
			case <-p.done:
				return
			case <-time.After(time.Millisecond): // An answer of the network to an earlier datagram.
				continue
			}
		}
		p.take(append([]byte{}, buffer[:n]...))
	}
}

func (p *Plain) accept() {
	came := make(chan struct{}, maxTaken)
	for {
		c, err := p.stream.Accept()
		if err != nil {
			select {
			case <-p.done:
				return
			case <-time.After(10 * time.Millisecond):
				continue
			}
		}
		select {
		case came <- struct{}{}:
		default:
			c.Close()
			continue
		}
		go func() {
			defer func() { c.Close(); <-came }()
			c.SetDeadline(time.Now().Add(largeFor))
			var size [4]byte
			if _, err := io.ReadFull(c, size[:]); err != nil {
				return
			}
			if n := binary.LittleEndian.Uint32(size[:]); n <= maxMessage+1 {
				framed := make([]byte, n)
				if _, err := io.ReadFull(c, framed); err == nil {
					p.take(framed)
				}
			}
		}()
	}
}

func (p *Plain) take(framed []byte) {
	switch {
	case len(framed) < 2:
	case framed[0] == isMessage:
		p.ears.NotifyMessage(framed[1:])
	case framed[0] == isSignal:
		p.ears.NotifyBroadcast(framed[1:])
	case framed[0] == isWant:
		p.wanted(string(framed[1:]))
	case framed[0] == isCard:
		if c, err := unpackCard(framed[1:]); err == nil && c.Name != p.name && p.heard.put(c, time.Now()) {
			p.ears.NotifyState(c)
		}
	}
}
