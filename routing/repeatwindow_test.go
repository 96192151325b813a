package routing

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"hollylever/fakes"
	"hollylever/transport"
)

const (
	testDedupWindow = time.Second
	windowSlack     = 50 * time.Millisecond // the protocol extends each time limit by it
	lateReadDelay   = testDedupWindow + 300*time.Millisecond
	resetDelay      = 300 * time.Millisecond
	writeHeader     = "*5\r\n$5\r\nC.SET"
)

// writeRole is how a server treats one write, from its first bytes on. It returns an error if the connection is of no
// further use.
type writeRole func(s *writeServers, c *net.TCPConn, in *bufio.Reader) error

// writeServers are servers that answer reads, and treat the writes that they are sent together by the given roles, in
// the order in which the writes begin. A role that returns an error ends the connection.
type writeServers struct {
	addresses []string
	ended     chan struct{} // one for each write that was read to its end or to the end of its connection
	closing   chan struct{}

	mu       sync.Mutex
	roles    []writeRole
	complete []time.Time // when the last byte of a write was read
}

// newWriteServers starts two servers with a receive buffer of so many bytes.
func newWriteServers(t *testing.T, receiveBuffer int, roles ...writeRole) *writeServers {
	s := &writeServers{roles: roles, ended: make(chan struct{}, 10), closing: make(chan struct{})}
	listen := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		return errors.Join(raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		}), err)
	}}
	for range 2 {
		l, err := listen.Listen(context.Background(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		s.addresses = append(s.addresses, l.Addr().String())
		go func() {
			for c, err := l.Accept(); err == nil; c, err = l.Accept() {
				go s.serve(c.(*net.TCPConn))
			}
		}()
	}
	t.Cleanup(func() { close(s.closing) })
	return s
}

func (s *writeServers) serve(c *net.TCPConn) {
	defer c.Close()
	for in := bufio.NewReader(c); ; {
		header, err := in.Peek(len(writeHeader))
		if err != nil {
			return
		}
		if string(header) != writeHeader {
			if _, err := fakes.ReadMessage(in); err != nil {
				return
			}
			io.WriteString(c, fakes.ValueReply("v"))
			continue
		}
		err = s.nextRole()(s, c, in)
		s.ended <- struct{}{}
		if err != nil {
			return
		}
	}
}

func (s *writeServers) nextRole() writeRole {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.roles) == 0 {
		return hangAfterWrite
	}
	role := s.roles[0]
	s.roles = s.roles[1:]
	return role
}

// read reads a write and notes when its last byte came.
func (s *writeServers) read(in *bufio.Reader) error {
	if _, err := fakes.ReadMessage(in); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.complete = append(s.complete, time.Now())
	return nil
}

// completeWrites returns how many writes came whole, and the time between the first and the last of them.
func (s *writeServers) completeWrites() (count int, span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.complete) == 0 {
		return 0, 0
	}
	return len(s.complete), s.complete[len(s.complete)-1].Sub(s.complete[0])
}

// pause waits unless the test ends.
func (s *writeServers) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.closing:
	}
}

func answerWrite(s *writeServers, c *net.TCPConn, in *bufio.Reader) error {
	if err := s.read(in); err != nil {
		return err
	}
	io.WriteString(c, fakes.ValueReply("stored"))
	return nil
}

func hangAfterWrite(s *writeServers, _ *net.TCPConn, in *bufio.Reader) error {
	if err := s.read(in); err != nil {
		return err
	}
	go func() { <-s.closing }()
	return nil
}

func resetAfterWrite(s *writeServers, c *net.TCPConn, in *bufio.Reader) error {
	if err := s.read(in); err != nil {
		return err
	}
	s.pause(resetDelay)
	c.SetLinger(0)
	c.Close()
	return nil
}

// readLate reads nothing until a server that got the write before would no longer drop it as a duplicate.
func readLate(s *writeServers, c *net.TCPConn, in *bufio.Reader) error {
	s.pause(lateReadDelay)
	return answerWrite(s, c, in)
}

// readSteadily returns a role that reads a write of a length at a steady pace and takes so long for all of it.
func readSteadily(length int, takes time.Duration) writeRole {
	const pieces = 20
	return func(s *writeServers, c *net.TCPConn, in *bufio.Reader) error {
		pipe, out := io.Pipe()
		go func() {
			for range pieces {
				s.pause(takes / pieces)
				if _, err := io.CopyN(out, in, int64(length/pieces)); err != nil {
					out.CloseWithError(err)
					return
				}
			}
			io.Copy(out, in)
			out.Close()
		}()
		return errors.Join(answerWrite(s, c, bufio.NewReader(pipe)), io.EOF) // The goroutine may have read on.
	}
}

// newWriteBalancer returns a balancer before the servers, with a deduplication window of testDedupWindow, that sends a
// second attempt early. It has been used, so that it may send second attempts.
func newWriteBalancer(t *testing.T, s *writeServers, changes map[string]any) (b *Balancer, address string) {
	all := map[string]any{"workloads.1.dedupWindow": float64(testDedupWindow.Milliseconds()), "workloads.1.expectedTime": 300.0,
		"allowed.mostTrips": 2.0}
	for name, value := range changes {
		all[name] = value
	}
	b = newBalancerBefore(t, s.addresses[0], all)
	b.applyTestList(t, fakes.List(2, true, fakes.Entry("s", s.addresses[0], "Ready"), fakes.Entry("other", s.addresses[1], "Ready")))
	address = serveClients(t, b, func(l *transport.Listener) { l.Budget = transport.NewBudget(64 << 20) })
	c := dial(t, address)
	for n := range 40 {
		io.WriteString(c, fakes.EncodeCommand("C.GET", fmt.Sprint("key-", n), fmt.Sprint("read-", n), "c=read,t=acme,d=3000"))
		readReply(t, c)
	}
	return b, address
}

// A server that remembers an idempotency key for dedupWindow runs a write a second time if a second copy of it arrives
// later. Whatever delays either of two attempts, their last bytes arrive within the window of each other or not at all,
// and a write that the servers take in time is answered.
func TestCopiesOfAWriteArriveWithinDedupWindow(t *testing.T) {
	for _, size := range []struct{ length, receiveBuffer int }{{60_000, 4 << 10}, {1 << 20, 64 << 10}, {4 << 20, 128 << 10}} {
		for _, c := range []struct {
			name    string
			changes map[string]any
			roles   []writeRole
			want    string
			copies  int // that arrive whole
		}{
			{"second attempt is late", nil, []writeRole{hangAfterWrite, readLate}, "-BUSY", 1},
			{"second attempt is late, in a zone", map[string]any{"workloads.1.group": "zone"}, []writeRole{hangAfterWrite, readLate}, "-ERR given up", 1},
			{"second attempt is late, in a cell", map[string]any{"workloads.1.group": "cell"}, []writeRole{hangAfterWrite, readLate}, "-ERR given up", 1},
			{"retry after a reset is late", map[string]any{"allowed.secondCopies": false}, []writeRole{resetAfterWrite, readLate}, "-BUSY", 1},
			{"first attempt is late", nil, []writeRole{readLate, hangAfterWrite}, "-BUSY", 1},
			{"first attempt is late and loses", nil, []writeRole{readLate, answerWrite}, "stored", 1},
			{"second attempt is late and loses", nil, []writeRole{readSteadily(size.length, 500*time.Millisecond), readLate}, "stored", 1},
			{"the only attempt is given up", map[string]any{"allowed.mostTrips": 1.0}, []writeRole{readLate}, "-BUSY", 0},
			{"second attempt is slow, but in time", nil, []writeRole{hangAfterWrite, readSteadily(size.length, 400*time.Millisecond)}, "stored", 2},
			{"the only attempt is slow", map[string]any{"allowed.secondCopies": false}, []writeRole{readSteadily(size.length, 1400*time.Millisecond)}, "stored", 1},
		} {
			t.Run(fmt.Sprint(c.name, ", ", size.length, " bytes"), func(t *testing.T) {
				t.Parallel()
				s := newWriteServers(t, size.receiveBuffer, c.roles...)
				timeout := 2500
				if c.copies == 0 {
					timeout = 900 // Less than lateReadDelay.
				}
				expectCopies(t, s, c.changes, size.length, timeout, c.want, c.copies)
			})
		}
	}
}

// A large receive buffer takes a write long before its server reads it. A copy counts when it is read.
func TestCopiesInServersBufferArriveWithinDedupWindow(t *testing.T) {
	const length = 4 << 20
	for name, roles := range map[string][]writeRole{
		"second attempt": {hangAfterWrite, readSteadily(length, 1100*time.Millisecond)},
		"first attempt":  {readSteadily(length, 1450*time.Millisecond), hangAfterWrite},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			expectCopies(t, newWriteServers(t, 1<<20, roles...), nil, length, 2500, "-BUSY", 1)
		})
	}
}

// expectCopies sends a write of a length, and expects a reply and so many copies that arrive whole, within the
// deduplication window of each other.
func expectCopies(t *testing.T, s *writeServers, changes map[string]any, length, timeoutMillis int, reply string, copies int) {
	t.Helper()
	attempts := len(s.roles)
	b, address := newWriteBalancer(t, s, changes)
	client := dial(t, address)
	attributes := fmt.Sprintf("c=report,t=acme,d=%d,k=mark", timeoutMillis)
	io.WriteString(client, fakes.EncodeCommand("C.SET", "key", "write", attributes, strings.Repeat("v", length)))
	if got := readReply(t, client); got != reply {
		t.Errorf("got reply %q, want %q", got, reply)
	}
	for range attempts {
		receive(t, s.ended, "the end of a write")
	}
	count, span := s.completeWrites()
	if count != copies {
		t.Errorf("%d copies arrived whole, want %d", count, copies)
	}
	if span > testDedupWindow+windowSlack {
		t.Errorf("a copy arrived %v after another one, with a window of %v", span, testDedupWindow)
	}
	until(t, "the release of the request", func() bool { return b.requestsHeld() == 0 })
}

// Any of a request's attempts may arrive first, so the window spans all that may have run, and none that did not.
func TestRepeatWindowSpansAttemptsThatMayHaveRun(t *testing.T) {
	const length = 100
	start := time.Now()
	for _, c := range []struct {
		name                      string
		arrival                   time.Duration // of an earlier attempt, from start, when it is sent
		isForgotten               bool
		repeatedAt, repeatArrival time.Duration
		want                      bool
	}{
		{name: "within the window", repeatedAt: 99, repeatArrival: 99, want: true},
		{name: "at its end", repeatedAt: 100, repeatArrival: 100},
		{name: "arrives after it", repeatedAt: 50, repeatArrival: 100},
		{name: "the earlier one arrives long after the repeat is sent", arrival: 100, repeatedAt: 10, repeatArrival: 10},
		{name: "the earlier one did not run", isForgotten: true, repeatedAt: 500, repeatArrival: 900, want: true},
	} {
		w := &repeatWindow{length: length}
		if !w.admit(0, start, start.Add(c.arrival)) {
			t.Errorf("%s: the first attempt is not admitted", c.name)
		}
		if c.isForgotten {
			w.forget(0)
		}
		if got := w.admit(1, start.Add(c.repeatedAt), start.Add(c.repeatArrival)); got != c.want {
			t.Errorf("%s: admitted %v, want %v", c.name, got, c.want)
		}
		if got, want := w.isShared(), c.want && !c.isForgotten; got != want {
			t.Errorf("%s: shared %v, want %v", c.name, got, want)
		}
	}
}
