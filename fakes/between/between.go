// Package between stands between processes: a relay on loopback for each ordered pair of them, for datagrams and connections, that loses,
// delays, repeats and cuts, by a script or by chance. For tests and trials alike.
package between

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Free gives an address of the loopback for datagrams and connections, on a number of its own, so that nobody else takes its port before
// whoever it is for.
func Free() (string, error) {
	at := fmt.Sprintf("127.%d.%d.%d:0", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(254))
	l, err := net.Listen("tcp", at)
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Faults are what a relay does to what passes.
type Faults struct {
	Cut           bool
	Loss, Repeats float64 // parts of the datagrams
	Delay         time.Duration
	Spread        time.Duration // so much more by chance: what is sent later can come first
}

// Relay passes on what one process sends to another.
type Relay struct {
	socket *net.UDPConn
	stream net.Listener
	to     string

	mu     sync.Mutex
	faults Faults
	chance *rand.Rand
	open   map[net.Conn]bool
	Passed int // datagrams
	Bytes  int
}

const (
	mostOpen = 64
	openFor  = 5 * time.Second
)

// New begins a relay to an address.
func New(to string, seed uint64) (*Relay, error) {
	at, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return nil, err
	}
	r := &Relay{to: to, chance: rand.New(rand.NewPCG(seed, 3)), open: map[net.Conn]bool{}}
	for try := 0; ; try++ { // Both kinds at one port: another program may have the second.
		if r.socket, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
			return nil, err
		}
		if r.stream, err = net.Listen("tcp", r.socket.LocalAddr().String()); err == nil {
			break
		}
		r.socket.Close()
		if try == 20 {
			return nil, err
		}
	}
	go r.datagrams(at)
	go r.connections()
	return r, nil
}

// Address is where the one process is told that the other is.
func (r *Relay) Address() string { return r.socket.LocalAddr().String() }

// Set changes what it does from now on; a cut ends open connections.
func (r *Relay) Set(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
	for c := range r.open {
		if f.Cut {
			c.Close()
		}
	}
}

// Close ends it.
func (r *Relay) Close() {
	r.socket.Close()
	r.stream.Close()
	r.Set(Faults{Cut: true})
}

// draw is what happens to one datagram: how often it passes, and after how long.
func (r *Relay) draw(bytes int) (after []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.faults
	for range 2 {
		if !f.Cut && r.chance.Float64() >= f.Loss {
			wait := f.Delay
			if f.Spread > 0 {
				wait += time.Duration(r.chance.Int64N(int64(f.Spread)))
			}
			after = append(after, wait)
			r.Passed++
			r.Bytes += bytes
		}
		if r.chance.Float64() >= f.Repeats {
			break
		}
	}
	return after
}

// Count tells how much has passed.
func (r *Relay) Count() (datagrams, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Passed, r.Bytes
}

func (r *Relay) datagrams(to *net.UDPAddr) {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := r.socket.ReadFromUDP(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // An answer of the system to an earlier datagram: nobody listened there.
		}
		bytes := append([]byte{}, buffer[:n]...)
		for _, wait := range r.draw(n) {
			if wait == 0 {
				r.socket.WriteToUDP(bytes, to)
			} else {
				time.AfterFunc(wait, func() { r.socket.WriteToUDP(bytes, to) })
			}
		}
	}
}

func (r *Relay) connections() {
	for {
		c, err := r.stream.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		f := r.faults
		full := len(r.open) >= mostOpen
		if !f.Cut && !full {
			r.open[c] = true
		}
		r.mu.Unlock()
		if f.Cut || full {
			c.Close()
			continue
		}
		go func() {
			defer func() {
				c.Close()
				r.mu.Lock()
				delete(r.open, c)
				r.mu.Unlock()
			}()
			time.Sleep(f.Delay)
			out, err := net.DialTimeout("tcp", r.to, time.Second)
			if err != nil {
				return
			}
			defer out.Close()
			c.SetDeadline(time.Now().Add(openFor))
			out.SetDeadline(time.Now().Add(openFor))
			io.Copy(out, c)
		}()
	}
}
