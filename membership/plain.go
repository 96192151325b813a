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
	// maxIncomingConnections limits the memory held by frames received over connections. Further connections are closed
	// and their messages lost, which senders tolerate.
	maxIncomingConnections = 16
	// minLargeInFlight allows several large messages in flight to the same peer even if the fleet is small.
	minLargeInFlight = maxIncomingConnections
	// largeMessageTimeout limits dialing, and sending or receiving one frame over a connection. A lease lasts for only
	// a few such timeouts, so it is better to give up on a slow message and send a newer one.
	largeMessageTimeout = 2 * time.Second

	datagramRetryInterval = time.Millisecond      // after a read error, for example an ICMP error
	acceptRetryInterval   = 10 * time.Millisecond // after a failed accept, for example when file descriptors run out
)

// Plain is the exchange for a fixed list of configured peers. It sends each frame as a datagram, or over a connection
// of its own if the frame is too long for a datagram.
type Plain struct {
	exchangeBase
	datagrams *net.UDPConn
	listener  net.Listener
	peers     map[string]*net.UDPAddr // by name, including this process; read-only after OpenPlain
	done      chan struct{}           // closed by Close
	closeOnce sync.Once
}

// OpenPlain listens on an address for datagrams and connections and passes what it receives to delegate. bytesPerSecond
// is the send rate limit; 0 means unlimited. It returns an error if an address is malformed or cannot be listened on.
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
		_ = p.datagrams.Close() // The socket has not been used yet.
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
		_ = sendOverConnection(address.String(), frame) // A lost message is acceptable, as with datagrams.
	}()
	return nil
}

// sendOverConnection opens a connection and sends the length of a frame as a little-endian uint32, then the frame.
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

// sendToAll sends a frame to each other peer. Frames that cannot be sent are dropped: a newer state follows within a
// second, and an outlier report is useless if it arrives late.
func (p *Plain) sendToAll(kind frameKind, payload []byte) {
	for name := range p.peers {
		if name != p.name {
			_ = p.sendFrame(name, kind, payload)
		}
	}
}

// Close implements Exchange. Further calls have no effect.
func (p *Plain) Close() {
	p.closeOnce.Do(func() {
		close(p.done)
		_ = p.datagrams.Close() // Nothing is sent on it any more.
		p.listener.Close()
	})
}

// isClosedWithin waits until the exchange is closed or the wait time has passed, and reports whether it was closed.
func (p *Plain) isClosedWithin(wait time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(wait):
		return false
	}
}

// readDatagrams handles datagrams until Close. It continues after read errors, because an ICMP error for an earlier
// datagram, for example to a peer that is down, also makes a read fail.
func (p *Plain) readDatagrams() {
	buffer := make([]byte, maxDatagramBytes+1) // Peers send nothing longer; other datagrams may be truncated.
	for {
		n, _, err := p.datagrams.ReadFromUDP(buffer)
		if err == nil {
			p.handleFrame(append([]byte{}, buffer[:n]...))
		} else if p.isClosedWithin(datagramRetryInterval) {
			return
		}
	}
}

// acceptConnections accepts connections until Close and reads one frame from each.
func (p *Plain) acceptConnections() {
	slots := make(chan struct{}, maxIncomingConnections)
	for {
		connection, err := p.listener.Accept()
		if err != nil {
			if p.isClosedWithin(acceptRetryInterval) {
				return
			}
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			connection.Close()
			continue
		}
		go func() {
			defer func() { connection.Close(); <-slots }()
			if frame, err := readFrame(connection); err == nil {
				p.handleFrame(frame)
			}
		}()
	}
}

var errFrameTooLong = errors.New("frame exceeds the maximum message size")

// readFrame reads a frame in the format of sendOverConnection.
func readFrame(connection net.Conn) ([]byte, error) {
	connection.SetDeadline(time.Now().Add(largeMessageTimeout))
	var length [4]byte
	if _, err := io.ReadFull(connection, length[:]); err != nil {
		return nil, fmt.Errorf("read frame length: %w", err)
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
