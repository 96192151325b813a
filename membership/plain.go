package membership

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// maxIncomingConnections bounds the memory of frames that come over connections. A connection beyond it is closed,
	// and its message is lost, which senders expect.
	maxIncomingConnections = 16
	// minLargeInFlight lets a fleet of few processes send several long messages to one of them.
	minLargeInFlight = maxIncomingConnections
	// largeMessageTimeout bounds dialing, and sending or receiving one frame over a connection. A lease does not
	// outlast many of them, so a later message is worth more than a slow one.
	largeMessageTimeout = 2 * time.Second

	datagramRetryInterval = time.Millisecond      // after an ICMP error that an earlier datagram caused
	acceptRetryInterval   = 10 * time.Millisecond // after a failed accept, as when file descriptors run out
)

// Plain is the exchange among peers that are all configured: a datagram for each frame, and a connection for each that
// is too long for one.
type Plain struct {
	exchangeBase
	datagrams *net.UDPConn
	listener  net.Listener
	peers     map[string]*net.UDPAddr // by name, this process among them; not changed once it is open
	done      chan struct{}           // closed by Close
	closeOnce sync.Once
}

// OpenPlain listens at an address for datagrams and connections and calls delegate with what comes. bytesPerSecond
// limits what it sends; 0: no limit. An error says that an address is malformed or cannot be listened at.
func OpenPlain(name, listen string, peers []Peer, bytesPerSecond int, delegate Delegate) (*Plain, error) {
	p := &Plain{
		exchangeBase: exchangeBase{
			name:          name,
			delegate:      delegate,
			limiter:       newRateLimiter(bytesPerSecond),
			largeMessages: largeMessageLimiter{maxInFlight: max(minLargeInFlight, len(peers))},
		},
		peers: map[string]*net.UDPAddr{},
		done:  make(chan struct{}),
	}
	p.send = p.sendFrame
	address, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, fmt.Errorf("resolve listen address: %w", err)
	}
	for _, peer := range peers {
		if p.peers[peer.Name], err = net.ResolveUDPAddr("udp", peer.Address); err != nil {
			return nil, fmt.Errorf("resolve address of peer %q: %w", peer.Name, err)
		}
	}
	if p.datagrams, err = net.ListenUDP("udp", address); err != nil {
		return nil, fmt.Errorf("listen for datagrams: %w", err)
	}
	if p.listener, err = net.Listen("tcp", p.datagrams.LocalAddr().String()); err != nil {
		_ = p.datagrams.Close() // Nothing has used it.
		return nil, fmt.Errorf("listen for connections: %w", err)
	}
	go p.readDatagrams()
	go p.acceptConnections()
	return p, nil
}

func (p *Plain) sendFrame(to string, kind frameKind, payload []byte) error {
	address := p.peers[to]
	switch {
	case address == nil:
		return ErrUnknownPeer
	case len(payload) > maxMessageBytes:
		return ErrMessageTooLarge
	case !p.limiter.take(len(payload), kind, time.Now()):
		return ErrRateLimited
	}
	frame := encodeFrame(kind, payload)
	if len(frame) <= maxDatagramBytes {
		_, err := p.datagrams.WriteToUDP(frame, address)
		return err
	}
	if !p.largeMessages.acquire(len(frame)) {
		return ErrTooManyLargeMessages
	}
	go func() {
		defer p.largeMessages.release(len(frame))
		_ = sendOverConnection(address.String(), frame) // It is lost, as a datagram may be.
	}()
	return nil
}

// sendOverConnection sends a frame and its length, of four bytes in little-endian order, over a connection of its own.
func sendOverConnection(address string, frame []byte) error {
	connection, err := net.DialTimeout("tcp", address, largeMessageTimeout)
	if err != nil {
		return err
	}
	defer connection.Close()
	connection.SetDeadline(time.Now().Add(largeMessageTimeout))
	length := binary.LittleEndian.AppendUint32(nil, uint32(len(frame)))
	_, err = connection.Write(append(length, frame...))
	return err
}

// PublishState implements Exchange.
func (p *Plain) PublishState(state MemberState) {
	p.setOwnState(state)
	p.sendToAll(frameState, marshalState(state.truncate(p.limiter.maxStateBytes(len(p.peers)), true)))
}

// Broadcast implements Exchange.
func (p *Plain) Broadcast(message []byte) { p.sendToAll(frameBroadcast, message) }

// sendToAll sends a frame to each other peer. What cannot be sent is lost: a newer state follows within a second, and
// an outlier report is worth nothing later.
func (p *Plain) sendToAll(kind frameKind, payload []byte) {
	for name := range p.peers {
		if name != p.name {
			_ = p.sendFrame(name, kind, payload)
		}
	}
}

// Close implements Exchange. It may be called again.
func (p *Plain) Close() {
	p.closeOnce.Do(func() {
		close(p.done)
		_ = p.datagrams.Close() // Nothing more is sent on it.
		p.listener.Close()
	})
}

// isClosedWithin waits for so long and reports whether the exchange was closed by then.
func (p *Plain) isClosedWithin(wait time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(wait):
		return false
	}
}

// readDatagrams handles datagrams until Close. A read fails, too, when the network answers an earlier datagram with an
// error, as for a peer that is down; the peers that are up must be heard all the same.
func (p *Plain) readDatagrams() {
	buffer := make([]byte, maxDatagramBytes+1) // A longer datagram is no peer's: what is left of it is no message.
	for {
		n, _, err := p.datagrams.ReadFromUDP(buffer)
		if err == nil {
			p.handleFrame(append([]byte{}, buffer[:n]...))
		} else if p.isClosedWithin(datagramRetryInterval) {
			return
		}
	}
}

// acceptConnections receives one frame from each connection until Close.
func (p *Plain) acceptConnections() {
	places := make(chan struct{}, maxIncomingConnections)
	for {
		connection, err := p.listener.Accept()
		if err != nil {
			if p.isClosedWithin(acceptRetryInterval) {
				return
			}
			continue
		}
		select {
		case places <- struct{}{}:
		default:
			connection.Close()
			continue
		}
		go func() {
			defer func() { connection.Close(); <-places }()
			if frame, err := readFrame(connection); err == nil {
				p.handleFrame(frame)
			}
		}()
	}
}

var errFrameTooLong = errors.New("frame too long")

// readFrame reads a frame as sendOverConnection sends it.
func readFrame(connection net.Conn) ([]byte, error) {
	connection.SetDeadline(time.Now().Add(largeMessageTimeout))
	var length [4]byte
	if _, err := io.ReadFull(connection, length[:]); err != nil {
		return nil, fmt.Errorf("read length of frame: %w", err)
	}
	n := binary.LittleEndian.Uint32(length[:])
	if n > maxMessageBytes+1 {
		return nil, errFrameTooLong
	}
	frame := make([]byte, n)
	if _, err := io.ReadFull(connection, frame); err != nil {
		return nil, fmt.Errorf("read frame: %w", err)
	}
	return frame, nil
}
