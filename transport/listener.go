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
	// sharedAcceptTimeout bounds an accept from a shared socket that has become readable: another process may have
	// accepted the connection first.
	sharedAcceptTimeout = time.Millisecond

	// listenRetryTimeout is how long Listen retries after an error caused by a local shortage: during a restart the old
	// process may still hold the resources that the new one needs.
	listenRetryTimeout  = 2 * time.Second
	listenRetryInterval = 10 * time.Millisecond

	// minAcceptBackoff and maxAcceptBackoff bound the pause after a failed accept, which doubles with each failure. The
	// loop must not spin, and must continue soon after a shortage is over.
	minAcceptBackoff = time.Millisecond
	maxAcceptBackoff = 50 * time.Millisecond
)

// Listener accepts clients and limits how many are connected.
//
// The exported fields must be set before Serve is called and not changed after that.
type Listener struct {
	Budget              *Budget         // for clients' large values; if nil, clients can't send any
	Memory              *MemoryAccount  // bounds what clients make the process hold; if nil, unlimited
	OnAcceptError       func(err error) // called with the first error of each series of failed accepts
	AdmissionWatchdog   Watchdog        // tracks how long an accepted connection waits for the client limit
	Stalls              *StallClock     // records when the process did not run; if nil, it is assumed to run always
	FirstCommandTimeout time.Duration   // time from a client's connect until its first command must be complete
	CommandTimeout      time.Duration   // time from the first byte of each later command until it must be complete
	StallTimeout        time.Duration   // longest pause in the middle of a later command
	listener            net.Listener
	openedAt            time.Time      // when the socket was opened: connections may have arrived since
	isShared            bool           // other processes accept from the same socket
	readiness           *os.File       // shared sockets: a duplicate descriptor, to wait for clients without accepting
	serving             sync.WaitGroup // counts Serve and the goroutines of its clients
	scheduler           *scheduler     // of the work that clients cause; immutable
	accepts             workAccount    // of accepting clients; used by Serve only
	minLimit            int            // lower bound of the limit during a shortage of descriptors; immutable
	mu                  sync.Mutex     // guards the fields below, and the fields of Client that say so
	capacityChanged     sync.Cond      // on mu: a client has closed or is between commands, or the limit has changed
	isClosed            bool           // no more connections are accepted
	isDraining          bool           // each client is closed after its next reply
	clients             map[*Client]bool

	configuredLimit int       // clients, as configured
	limit           int       // clients: configuredLimit, or less during a shortage of descriptors
	shortageLimit   int       // clients for which there seem to be descriptors; 0 if there is no shortage
	shortageAt      time.Time // when the shortage was last seen or shortageLimit was last raised
}

// Watchdog is notified of the beginning and the end of an operation that should be short, so that it can report one
// that is not.
type Watchdog interface {
	Begin()
	End()
}

// noWatchdog is the default Watchdog, which does nothing.
type noWatchdog struct{}

// Begin does nothing.
func (noWatchdog) Begin() {}

// End does nothing.
func (noWatchdog) End() {}

// Inherit returns a listener, for up to limit clients, on a listening socket that the parent process holds as well. The
// socket is never shut down: other processes accept from it before and after this one.
func Inherit(descriptor int, limit int) (*Listener, error) {
	openedAt := time.Now()
	if listens, err := syscall.GetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", descriptor, err)
	} else if listens == 0 {
		return nil, fmt.Errorf("descriptor %d does not listen", descriptor)
	}
	held := os.NewFile(uintptr(descriptor), "listening socket")
	defer held.Close() // FileListener duplicates the descriptor.
	inner, err := net.FileListener(held)
	if err != nil {
		return nil, err
	}
	if _, ok := inner.(*net.TCPListener); !ok {
		return nil, fmt.Errorf("descriptor %d is not a TCP socket", descriptor)
	}
	copied, err := unix.FcntlInt(uintptr(descriptor), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		inner.Close()
		return nil, fmt.Errorf("descriptor %d: %w", descriptor, err)
	}
	_ = unix.SetNonblock(copied, true) // Lets the runtime's poller wait on it instead of a thread.
	l := newListener(inner, limit, openedAt)
	l.isShared, l.readiness = true, os.NewFile(uintptr(copied), "listening socket")
	return l, nil
}

// Listen returns a listener, for up to limit clients, on a new socket at the address. The address can be listened on
// again immediately after the process has ended, as a restart needs.
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
		scheduler: newScheduler(), accepts: newAcceptAccount(openedAt), clients: map[*Client]bool{}, OnAcceptError: func(error) {}, AdmissionWatchdog: noWatchdog{},
		FirstCommandTimeout: defaultFirstCommandTimeout, CommandTimeout: defaultCommandTimeout, StallTimeout: defaultStallTimeout}
	l.capacityChanged.L = &l.mu
	l.serving.Add(1) // Serve is counted as well: Close must wait for a client that is being accepted.
	return l
}

// Address returns the address that the listener listens on.
func (l *Listener) Address() string { return l.listener.Addr().String() }

// Serve accepts clients until StopAccepting or Close, and runs serve for each in a new goroutine. It returns once no
// more clients are accepted; a failed accept does not end it. It must be called exactly once.
func (l *Listener) Serve(serve func(*Client)) {
	defer l.serving.Done()
	backlog := acceptBacklog{stalls: l.Stalls, kernelEmptyAt: l.openedAt}
	failures := acceptFailures{backoff: minAcceptBackoff}
	for {
		l.awaitAcceptTurn(&backlog)
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

// awaitAcceptTurn waits for a turn after many clients were accepted at once.
func (l *Listener) awaitAcceptTurn(backlog *acceptBacklog) {
	l.accepts.charge(acceptWork)
	if !l.accepts.needsTurn() {
		return
	}
	began, isPending := time.Now(), l.hasPendingConnections()
	l.scheduler.await(&l.accepts)
	if isPending && time.Since(began) > minBlockedAccept {
		backlog.recordDelay(began)
	}
}

// awaitShared waits, before an accept from a shared socket, until the client limit allows one more and then until a
// connection is pending. Otherwise a client could be accepted here and wait for the limit while another process could
// serve it at once. It returns the time from which the accept counts as called, and whether the socket is still open.
func (l *Listener) awaitShared(backlog *acceptBacklog, called time.Time) (time.Time, bool) {
	l.mu.Lock()
	l.awaitCapacity()
	l.mu.Unlock()
	if time.Since(called) > minBlockedAccept {
		backlog.recordDelay(called)
		called = time.Now()
	}
	return called, l.awaitConnection()
}

// awaitConnection waits until a connection is pending on a shared socket, and returns false if the socket is closed.
// The non-blocking mode of the socket is shared with all processes that hold it and can be switched off at any time; an
// accept would then block in the kernel until the next client connects, and hold up a stop.
func (l *Listener) awaitConnection() bool {
	raw, err := l.readiness.SyscallConn()
	if err == nil {
		err = raw.Read(func(fd uintptr) bool { return hasEvent(fd, unix.POLLIN) })
	}
	l.Unblock()
	l.listener.(*net.TCPListener).SetDeadline(time.Now().Add(sharedAcceptTimeout))
	return err == nil
}

// acceptFailures is the state of a series of failed accepts.
type acceptFailures struct {
	isReported bool
	backoff    time.Duration // before the next accept
}

// handleAcceptError reports the first error of a series, reduces the client limit if descriptors are short, and waits
// for the backoff.
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

// admit waits until the client limit allows the accepted connection, and serves it. called is when the accept that
// returned it was called.
func (l *Listener) admit(inner net.Conn, backlog *acceptBacklog, called time.Time, serve func(*Client)) {
	acceptedAt := time.Now()
	pendingSince := backlog.connectedSince(called, acceptedAt)
	stream := newClientStream(inner)
	c := &Client{stream: stream, Conn: Conn{Conn: stream, budget: l.Budget, memory: l.Memory}, listener: l, connectedAt: acceptedAt, idleSince: acceptedAt,
		work: newWorkAccount(acceptedAt), sendWork: newWorkAccount(acceptedAt), hiddenEnd: hiddenEnd{base: acceptedAt}}
	l.mu.Lock()
	if l.evictIdle(); len(l.clients) >= l.limit {
		l.AdmissionWatchdog.Begin()
		l.awaitCapacity()
		l.AdmissionWatchdog.End()
		backlog.recordDelay(acceptedAt)
	}
	c.arrivalTimes = newArrivalTimes(l.Stalls, pendingSince, time.Now())
	l.clients[c] = true
	l.mu.Unlock()
	l.Memory.Add(memoryPerClient)
	l.serving.Add(1)
	go l.serveClient(c, serve)
}

// serveClient serves a client, closes it and removes it. The client counts towards the limit until its descriptor is
// closed.
func (l *Listener) serveClient(c *Client, serve func(*Client)) {
	defer l.serving.Done()
	serve(c)
	c.Close()
	c.releaseBuffer()
	l.Memory.Release(memoryPerClient)
	l.mu.Lock()
	delete(l.clients, c)
	l.capacityChanged.Signal()
	l.mu.Unlock()
}

// Unblock restores the non-blocking mode of the socket, which is shared by all processes that hold it. Passing the
// socket to a child process may switch the mode off, and accepts would then block in the kernel. It reports whether the
// socket was in blocking mode.
func (l *Listener) Unblock() (wasBlocking bool) {
	raw := rawConn(l.listener)
	if raw == nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) { // Fails only if the socket is closed.
		flags, err := unix.FcntlInt(fd, unix.F_GETFL, 0)
		if wasBlocking = err == nil && flags&unix.O_NONBLOCK == 0; wasBlocking {
			_ = unix.SetNonblock(int(fd), true)
		}
	})
	return wasBlocking
}

// CountPartial returns how many clients are in the middle of a command.
func (l *Listener) CountPartial() (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.clients {
		if c.hasPartialCommand && c.pendingReplies == 0 {
			count++
		}
	}
	return count
}

// TakeTurnFigures returns how clients have waited for turns since the last call.
func (l *Listener) TakeTurnFigures() TurnFigures { return l.scheduler.takeFigures() }

// Count returns how many clients are connected.
func (l *Listener) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.clients)
}
