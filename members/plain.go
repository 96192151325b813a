package members

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
	ears   Ears
	heard  heard
	budget budget
	large  chan struct{} // how many connections may be made or taken at once
	done   chan struct{}
	once   sync.Once
}

const (
	isMessage, isCard, isSignal byte = 1, 2, 3
	mostLarge                        = 16
	largeFor                         = 2 * time.Second
)

// OpenPlain listens at the address, for datagrams and for connections, and hands to ears what it hears. rate is in bytes a second; 0: no bound.
func OpenPlain(name, listen string, peers []Peer, rate int, ears Ears) (*Plain, error) {
	at, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, err
	}
	p := &Plain{name: name, peers: map[string]*net.UDPAddr{}, ears: ears, budget: budget{rate: float64(rate)},
		large: make(chan struct{}, mostLarge), done: make(chan struct{})}
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
	case len(bytes) > mostMessage:
		return errors.New("too large a message")
	case !p.budget.take(len(bytes), time.Now()):
		return errors.New("over the budget of bytes a second")
	}
	framed := append([]byte{what}, bytes...)
	if len(framed) <= packet {
		_, err := p.socket.WriteToUDP(framed, at)
		return err
	}
	select {
	case p.large <- struct{}{}:
	default:
		return errors.New("too many large messages on their way")
	}
	go func() {
		defer func() { <-p.large }()
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

// Tell sends a card to all peers.
func (p *Plain) Tell(c Card) {
	bytes := packCard(c)
	for name := range p.peers {
		if name != p.name {
			p.send(name, isCard, bytes)
		}
	}
}

// Signal sends a small message to all peers.
func (p *Plain) Signal(bytes []byte) {
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
	buffer := make([]byte, 64<<10)
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
	came := make(chan struct{}, mostLarge)
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
			if n := binary.LittleEndian.Uint32(size[:]); n <= mostMessage+1 {
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
		p.ears.Message(framed[1:])
	case framed[0] == isSignal:
		p.ears.Signal(framed[1:])
	case framed[0] == isCard:
		if c, err := unpackCard(framed[1:]); err == nil && c.Name != p.name && p.heard.put(c, time.Now()) {
			p.ears.Card(c)
		}
	}
}
