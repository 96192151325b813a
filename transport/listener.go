package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	mostAccept = time.Millisecond // of a shared socket, once a client has connected: another process may have taken it

	listenFor   = 2 * time.Second // at the start, while the system is short of something
	listenPause = 10 * time.Millisecond

	recoverEvery = time.Second / 2 // after a shortage of descriptors: the next step back to what is allowed
	recoverSteps = 8

	lastLook = 10 * time.Millisecond // for an accept of what has connected
)

// Listener accepts clients and keeps them within a number of descriptors.
type Listener struct {
	listener net.Listener
	allowed  int // clients, as told
	most     int // clients, less where descriptors are short
	least    int
	short    int       // so many are all that there are descriptors for, as far as was seen lately; 0: nothing is short
	shortAt  time.Time // when that was seen last, or the number raised
	mu       sync.Mutex
	room     sync.Cond // a client has gone, or is between commands
	closed   bool      // accepts no more
	last     bool      // each client goes with its last answer
	clients  map[*Client]bool
	all      sync.WaitGroup
	Budget   *Budget         // for clients' large values; nil: none
	Odd      func(err error) // told of accepts that went wrong
	InHand   Mark            // around the time for which an accepted connection waits for room
	opened   time.Time       // connections can come since then
	shared   bool            // others accept from the socket too
	Stalls   *StallClock     // notes when the process does not run; nil: it is taken to run. To be set before Serve
	comes    *os.File        // shared: the socket once more, to wait for clients without accepting

	// How long a command that has begun to come may take: a client's first, from when it connected, and a usual client's. To be set
	// before Serve.
	HalfFirst, HalfUsual time.Duration
}

// Mark is told of the beginning and the end of something that should not take long.
type Mark interface {
	Begin()
	End()
}

// unmarked is the Mark of a listener that nobody watches.
type unmarked struct{}

// Begin does nothing.
func (unmarked) Begin() {}

// End does nothing.
func (unmarked) End() {}

// Inherit takes clients from a listening socket that whoever started the program holds. It is never shut down: others
// accept from it too, before and after.
func Inherit(descriptor int, most int) (*Listener, error) {
	opened := time.Now()
	if listens, err := syscall.GetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", descriptor, err)
	} else if listens == 0 {
		return nil, fmt.Errorf("descriptor %d does not listen", descriptor)
	}
	held := os.NewFile(uintptr(descriptor), "listening socket")
	defer held.Close() // Ours is a copy of it.
	inner, err := net.FileListener(held)
	if err != nil {
		return nil, err
	}
	if _, is := inner.(*net.TCPListener); !is {
		return nil, fmt.Errorf("descriptor %d is no TCP socket", descriptor)
	}
	copied, err := unix.FcntlInt(uintptr(descriptor), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		inner.Close()
		return nil, fmt.Errorf("descriptor %d: %w", descriptor, err)
	}
	_ = unix.SetNonblock(copied, true) // So that the runtime waits for it, no thread.
	l := newListener(inner, most, opened)
	l.shared, l.comes = true, os.NewFile(uintptr(copied), "listening socket")
	return l, nil
}

// Listen listens on one address. It allows addresses to be used again at once, as a restart needs.
func Listen(address string, most int) (*Listener, error) {
	opened := time.Now()
	listener, err := listen(address)
	for err != nil && IsLocalShortage(err) && time.Since(opened) < listenFor {
		time.Sleep(listenPause)
		listener, err = listen(address)
	}
	if err != nil {
		return nil, err
	}
	return newListener(listener, most, opened), nil
}

func listen(address string) (net.Listener, error) {
	return (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", address)
}

func newListener(inner net.Listener, most int, opened time.Time) *Listener {
	l := &Listener{listener: inner, opened: opened, allowed: most, most: most, least: max(1, most/2), clients: map[*Client]bool{}, Odd: func(error) {},
		InHand: unmarked{}, HalfFirst: halfFirst, HalfUsual: halfUsual}
	l.room.L = &l.mu
	l.all.Add(1) // Serve counts too: Close must wait for a client that is just being accepted.
	return l
}

// Address is where it listens.
func (l *Listener) Address() string { return l.listener.Addr().String() }

// Serve accepts until Close, and serves each client in a goroutine of its own. An accept that goes wrong ends
// nothing: while descriptors are short it makes room and waits a little, so that it does not spin.
func (l *Listener) Serve(serve func(*Client)) {
	defer l.all.Done()
	pause, odd := time.Millisecond, false
	waiting := backlog{stalls: l.Stalls, emptyAt: l.opened}
	for {
		called := time.Now()
		if l.shared { // Guards a client against waiting here in hand: another process may have room for it.
			l.mu.Lock()
			l.awaitRoom()
			l.mu.Unlock()
			if time.Since(called) > acceptWaits {
				waiting.delay(called)
				called = time.Now()
			}
			if !l.awaitClient() {
				return
			}
		}
		inner, err := l.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded): // Only Leave sets one, and awaitClient.
			if l.shared {
				continue
			}
			if !l.connected() {
				l.listener.Close()
				return
			}
			l.listener.(*net.TCPListener).SetDeadline(time.Now().Add(lastLook))
			continue
		case err != nil:
			waiting.delay(called)
			if !odd {
				l.Odd(err) // Once for a run of them.
			}
			odd = true
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				l.shrink()
			}
			time.Sleep(pause)
			pause = min(2*pause, 50*time.Millisecond)
			continue
		}
		pause, odd = time.Millisecond, false
		accepted := time.Now()
		waitsSince := waiting.accepted(called, accepted)
		c := &Client{Conn: Conn{Conn: inner, budget: l.Budget}, owner: l, came: accepted, since: accepted}
		l.mu.Lock()
		if l.spare(); len(l.clients) >= l.most {
			l.InHand.Begin()
			l.awaitRoom()
			l.InHand.End()
			waiting.delay(accepted)
		}
		c.arrivals = newArrivals(l.Stalls, waitsSince, time.Now())
		l.clients[c] = true
		l.mu.Unlock()
		l.all.Add(1)
		go func() {
			defer l.all.Done()
			serve(c)
			c.Close()
			c.repay()
			l.mu.Lock()
			delete(l.clients, c) // Only now: until here it had its descriptor.
			l.room.Signal()
			l.mu.Unlock()
		}()
	}
}

// awaitClient waits until one has connected, false: the socket is closed. Guards a stop against an accept that waits in the kernel,
// which nothing ends but the next client: the mode in which it does is whoever's who holds the socket, and can change at any time.
func (l *Listener) awaitClient() bool {
	raw, err := l.comes.SyscallConn()
	if err == nil {
		err = raw.Read(func(fd uintptr) bool { return looks(fd, unix.POLLIN) })
	}
	l.Unblock()
	l.listener.(*net.TCPListener).SetDeadline(time.Now().Add(mostAccept))
	return err == nil
}

// awaitRoom waits for it: all may be at work, and the first that has its answer makes some. Under the lock.
func (l *Listener) awaitRoom() {
	for ; len(l.clients) >= l.most && !l.closed; l.spare() {
		l.room.Wait()
	}
}

// shrink guards connections to hosts against clients that take every descriptor where there are fewer than was
// told: the clients' part becomes a tenth less than are connected, at least half of what it was at first.
func (l *Listener) shrink() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most = min(l.most, max(l.least, len(l.clients)*9/10))
	l.short, l.shortAt = l.most, time.Now()
	l.spare()
}

// recover raises the clients' part again, a step at a time: what was short may have been so for a moment. Under the lock.
func (l *Listener) recover(now time.Time) {
	if l.short == 0 || now.Sub(l.shortAt) < recoverEvery {
		return
	}
	l.shortAt = now
	if l.short += max(1, l.allowed/recoverSteps); l.short >= l.allowed {
		l.short = 0
	}
	l.lay()
}

// Allow sets how many clients there may be from now on. Over that, those between commands are asked to go.
func (l *Listener) Allow(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allowed = max(1, most)
	l.lay()
}

// lay applies what is allowed and what is short; under the lock.
func (l *Listener) lay() {
	most := l.allowed
	if l.short > 0 {
		most = min(most, l.short)
	}
	if most == l.most {
		return
	}
	l.most = most
	for n := len(l.clients) - most; n > 0; n-- {
		l.spare()
	}
	l.room.Broadcast()
}

// spare asks a client to go that is between commands, where there is not room for one more and some: the first by rank,
// of like ones the one idle longest. Guards new
// clients against waiting while those asked to go do so.
func (l *Listener) spare() {
	var first *Client
	leaving := 0
	for c := range l.clients {
		switch {
		case c.busy > 0, c.half && c.good > 0:
		case c.going:
			if leaving++; c.half {
				c.goSoon() // It was let stay while there was room.
			}
		case first == nil, c.rank() < first.rank(), c.rank() == first.rank() && c.since.Before(first.since):
			first = c
		}
	}
	if first != nil && len(l.clients)-leaving >= l.most-l.most/16 {
		first.goSoon()
	}
}

// Sweep asks those to go that have been idle too long.
func (l *Listener) Sweep() {
	if l.shared {
		l.Unblock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recover(time.Now())
	for c := range l.clients {
		if c.busy == 0 && !c.going && !c.half && time.Since(c.since) > c.keeps() {
			c.goSoon()
		}
	}
}

// Unblock guards accepts against whoever else holds the socket: the mode in which they do not wait in the kernel is shared
// by all, and starting a process with it may end that mode. It tells whether that was so.
func (l *Listener) Unblock() (was bool) {
	raw := rawOf(l.listener)
	if raw == nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) { // Fails only on a socket that is closed.
		flags, err := unix.FcntlInt(fd, unix.F_GETFL, 0)
		if was = err == nil && flags&unix.O_NONBLOCK == 0; was {
			_ = unix.SetNonblock(int(fd), true)
		}
	})
	return was
}

// Last lets each client go with its next answer: right after that it is least likely to ask.
func (l *Listener) Last() {
	l.mu.Lock()
	l.last = true
	l.mu.Unlock()
}

// Leave stops accepting. Clients that are connected stay. Those that the kernel has connected by then are accepted still, as there
// is room: what they have written counts as taken, and would be reset with the socket.
func (l *Listener) Leave() {
	if !l.shared {
		l.listener.(*net.TCPListener).SetDeadline(time.Now())
		return
	}
	l.comes.Close()
	l.listener.Close()
	l.mu.Lock()
	l.closed = true
	l.room.Signal()
	l.mu.Unlock()
}

// connected tells whether connections wait to be accepted.
func (l *Listener) connected() (some bool) {
	if raw := rawOf(l.listener); raw != nil {
		_ = raw.Control(func(fd uintptr) { some = looks(fd, unix.POLLIN) })
	}
	return some
}

// Close leaves, closes clients between retrievals, and waits until all are gone or the time is over.
func (l *Listener) Close(until time.Time) bool {
	l.Leave()
	gone := make(chan struct{})
	go func() { l.all.Wait(); close(gone) }()
	for {
		l.mu.Lock()
		for c := range l.clients {
			if !c.going {
				c.goSoon()
			}
		}
		l.mu.Unlock()
		select {
		case <-gone:
			return true
		case <-time.After(20 * time.Millisecond):
			if time.Now().After(until) {
				l.mu.Lock()
				l.closed = true
				l.room.Broadcast()
				l.mu.Unlock()
				l.listener.Close()
				return false
			}
		}
	}
}

// Cut resets the connections of clients that something is still on its way to, so that none of them can take it for whole, and
// waits a moment for what was being passed on to end. It tells how many there were.
func (l *Listener) Cut(wait time.Duration) (cut int) {
	l.mu.Lock()
	for c := range l.clients {
		if inner, is := c.Conn.Conn.(*net.TCPConn); is {
			inner.SetLinger(0)
		}
		c.Conn.Close()
		cut++
	}
	l.mu.Unlock()
	for end := time.Now().Add(wait); l.Count() > 0 && time.Now().Before(end); {
		time.Sleep(wait / 50)
	}
	return cut
}

// Count tells how many clients are connected.
func (l *Listener) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.clients)
}
