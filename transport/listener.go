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
	// sharedAcceptTimeout bounds an accept from a shared socket once a client has connected: another process may have
	// accepted that client first.
	sharedAcceptTimeout = time.Millisecond

	// listenRetryTimeout is how long Listen tries again while the system is short of something: as a restart replaces a
	// process, the old one may still hold what the new one needs.
	listenRetryTimeout  = 2 * time.Second
	listenRetryInterval = 10 * time.Millisecond

	// minAcceptBackoff and maxAcceptBackoff bound the pause after an accept that failed, which doubles each time: the
	// loop must not spin, and must go on soon after a shortage is over.
	minAcceptBackoff = time.Millisecond
	maxAcceptBackoff = 50 * time.Millisecond
)

// Listener accepts clients and keeps them within a number of descriptors.
//
// The exported fields are to be set before Serve and not after.
type Listener struct {
	Budget              *Budget         // for clients' large values; nil: none may send one
	OnAcceptError       func(err error) // called with the first error of each run of accepts that fail
	AdmissionWatchdog   Watchdog        // marks the time for which an accepted connection waits for room
	Stalls              *StallClock     // tells when the process did not run; nil: it is taken to run always
	FirstCommandTimeout time.Duration   // how long a client's first command may take, from when it connected
	CommandTimeout      time.Duration   // how long a usual client's command may take, from its first byte
	listener            net.Listener
	openedAt            time.Time      // connections can come since then
	isShared            bool           // other processes accept from the socket too
	readiness           *os.File       // shared: a second descriptor of the socket, to wait for clients without accepting
	serving             sync.WaitGroup // Serve and its clients
	minLimit            int            // a shortage of descriptors takes the limit no lower; fixed
	mu                  sync.Mutex     // guards the fields below, and those of each client that say so
	roomChanged         sync.Cond      // on mu: a client has gone, or is between commands, or the limit has changed
	isClosed            bool           // accepts no more
	isDraining          bool           // each client closes with its next reply
	clients             map[*Client]bool

	configuredLimit int       // clients, as configured
	limit           int       // clients: configuredLimit, or less while descriptors are short
	shortageLimit   int       // as many clients as there seem to be descriptors for; 0: nothing is short
	shortageAt      time.Time // when the shortage was last seen, or shortageLimit raised
}

// Watchdog is told of the beginning and the end of a span that should not take long, so that a watchdog sees one that
// does.
type Watchdog interface {
	Begin()
	End()
}

// noWatchdog is the Watchdog of a listener without a watchdog.
type noWatchdog struct{}

// Begin does nothing.
func (noWatchdog) Begin() {}

// End does nothing.
func (noWatchdog) End() {}

// Inherit returns a listener on a listening socket that whoever started the program holds too, for up to limit clients.
// The socket is never shut down: others accept from it, before and after.
func Inherit(descriptor int, limit int) (*Listener, error) {
	openedAt := time.Now()
	if listens, err := syscall.GetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", descriptor, err)
	} else if listens == 0 {
		return nil, fmt.Errorf("descriptor %d does not listen", descriptor)
	}
	held := os.NewFile(uintptr(descriptor), "listening socket")
	defer held.Close() // FileListener has a descriptor of its own.
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
	_ = unix.SetNonblock(copied, true) // So that the runtime's poller waits on it, and no thread.
	l := newListener(inner, limit, openedAt)
	l.isShared, l.readiness = true, os.NewFile(uintptr(copied), "listening socket")
	return l, nil
}

// Listen returns a listener on an address of its own, for up to limit clients. The address can be listened on again at
// once after a process has ended, as a restart needs.
func Listen(address string, limit int) (*Listener, error) {
	openedAt := time.Now()
	listener, err := listen(address)
	for err != nil && IsLocalShortage(err) && time.Since(openedAt) < listenRetryTimeout {
		time.Sleep(listenRetryInterval)
		listener, err = listen(address)
	}
	if err != nil {
		return nil, err
	}
	return newListener(listener, limit, openedAt), nil
}

func listen(address string) (net.Listener, error) {
	return (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", address)
}

func newListener(inner net.Listener, limit int, openedAt time.Time) *Listener {
	l := &Listener{listener: inner, openedAt: openedAt, configuredLimit: limit, limit: limit, minLimit: max(1, limit/2),
		clients: map[*Client]bool{}, OnAcceptError: func(error) {}, AdmissionWatchdog: noWatchdog{},
		FirstCommandTimeout: defaultFirstCommandTimeout, CommandTimeout: defaultCommandTimeout}
	l.roomChanged.L = &l.mu
	l.serving.Add(1) // Serve counts too: Close must wait for a client that is just being accepted.
	return l
}

// Address is where it listens.
func (l *Listener) Address() string { return l.listener.Addr().String() }

// Serve accepts clients until StopAccepting or Close, and runs serve for each in a goroutine of its own; it returns
// when it accepts no more. A failed accept does not end it. It must be called once.
func (l *Listener) Serve(serve func(*Client)) {
	defer l.serving.Done()
	backlog := acceptBacklog{stalls: l.Stalls, kernelEmptyAt: l.openedAt}
	failures := acceptFailures{backoff: minAcceptBackoff}
	for {
		called := time.Now()
		if l.isShared {
			isOpen := false
			if called, isOpen = l.awaitShared(&backlog, called); !isOpen {
				return
			}
		}
		inner, err := l.listener.Accept()
		switch {
		case err == nil:
			failures = acceptFailures{backoff: minAcceptBackoff}
			l.admit(inner, &backlog, called, serve)
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded): // Set by awaitConnection or StopAccepting.
			if !l.isShared && !l.acceptRemaining() {
				return
			}
		default:
			backlog.recordDelay(called)
			l.handleAcceptError(err, &failures)
		}
	}
}

// awaitShared waits, before an accept from a shared socket, for room and then for a connection. It guards a client
// against waiting here, accepted but without room, while another process has room for it. It returns since when the
// accept counts as called, and whether the socket is still open.
func (l *Listener) awaitShared(backlog *acceptBacklog, called time.Time) (time.Time, bool) {
	l.mu.Lock()
	l.awaitRoom()
	l.mu.Unlock()
	if time.Since(called) > minBlockedAccept {
		backlog.recordDelay(called)
		called = time.Now()
	}
	return called, l.awaitConnection()
}

// awaitConnection waits until a client has connected to a shared socket; false: the socket is closed. It guards a stop
// against an accept that blocks in the kernel, which only the next client would end: the socket's non-blocking mode
// belongs to all who hold it, and can be switched off at any time.
func (l *Listener) awaitConnection() bool {
	raw, err := l.readiness.SyscallConn()
	if err == nil {
		err = raw.Read(func(fd uintptr) bool { return hasEvent(fd, unix.POLLIN) })
	}
	l.Unblock()
	l.listener.(*net.TCPListener).SetDeadline(time.Now().Add(sharedAcceptTimeout))
	return err == nil
}

// acceptFailures is a run of accepts that failed.
type acceptFailures struct {
	isReported bool
	backoff    time.Duration // before the next accept
}

// handleAcceptError reports the first error of a run, makes room where descriptors are short, and waits a little.
func (l *Listener) handleAcceptError(err error, failures *acceptFailures) {
	if !failures.isReported {
		l.OnAcceptError(err)
	}
	failures.isReported = true
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		l.reduceLimit()
	}
	time.Sleep(failures.backoff)
	failures.backoff = min(2*failures.backoff, maxAcceptBackoff)
}

// admit waits for room for a connection, which an accept called at a time has just returned, and serves it.
func (l *Listener) admit(inner net.Conn, backlog *acceptBacklog, called time.Time, serve func(*Client)) {
	acceptedAt := time.Now()
	pendingSince := backlog.connectedSince(called, acceptedAt)
	c := &Client{Conn: Conn{Conn: inner, budget: l.Budget}, listener: l, connectedAt: acceptedAt, idleSince: acceptedAt}
	l.mu.Lock()
	if l.evictIdle(); len(l.clients) >= l.limit {
		l.AdmissionWatchdog.Begin()
		l.awaitRoom()
		l.AdmissionWatchdog.End()
		backlog.recordDelay(acceptedAt)
	}
	c.arrivalTimes = newArrivalTimes(l.Stalls, pendingSince, time.Now())
	l.clients[c] = true
	l.mu.Unlock()
	l.serving.Add(1)
	go l.serveClient(c, serve)
}

// serveClient serves a client, closes it and makes its room free. The client counts until its descriptor is closed.
func (l *Listener) serveClient(c *Client, serve func(*Client)) {
	defer l.serving.Done()
	serve(c)
	c.Close()
	c.releaseBuffer()
	l.mu.Lock()
	delete(l.clients, c)
	l.roomChanged.Signal()
	l.mu.Unlock()
}

// Unblock restores the socket's non-blocking mode, which all who hold a shared socket share: starting a process with it
// may end that mode, and accepts would then block in the kernel. It reports whether the mode had ended.
func (l *Listener) Unblock() (wasBlocking bool) {
	raw := rawConn(l.listener)
	if raw == nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) { // Fails only on a socket that is closed.
		flags, err := unix.FcntlInt(fd, unix.F_GETFL, 0)
		if wasBlocking = err == nil && flags&unix.O_NONBLOCK == 0; wasBlocking {
			_ = unix.SetNonblock(int(fd), true)
		}
	})
	return wasBlocking
}

// Count returns how many clients are connected.
func (l *Listener) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.clients)
}
