package fakes

import (
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"
)

// Command is a command that a host has received, with the connection to reply on.
type Command struct {
	Words []string
	*net.TCPConn
	Ended <-chan struct{} // closed once the sender has closed the connection
}

// Reply writes a reply, which may be malformed or a part of one.
func (c Command) Reply(text string) { io.WriteString(c, text) }

// HostOptions describe a host that replies by itself.
type HostOptions struct {
	ServiceTime time.Duration // of one command
	Concurrency int           // commands that are served at the same time
	QueueLength int           // commands that may wait; more are rejected
	ValueSize   int           // of a value in bytes, up to which it is padded

	// While a host warms up after a start it can serve less. It counts as overloaded if it gets more than OverloadFactor times
	// that for OverloadTime.
	WarmUp         time.Duration
	ColdCapacity   float64 // part of its capacity that it has right after its start
	OverloadFactor float64
	OverloadTime   time.Duration
}

// Host is a cache host. It is scripted, and passes each command to Commands, or replies by itself and reads from an origin.
type Host struct {
	Name     string
	Address  string
	Commands chan Command // of a scripted host; nil otherwise

	options HostOptions
	origin  *Origin
	port    *reservedPort // of Address, also while the host is down

	mu        sync.Mutex // guards the fields below
	listener  net.Listener
	conns     map[net.Conn]bool
	startedAt time.Time // of the last restart; zero: it is warm
	cache     map[string]string
	fetching  map[string]chan struct{} // by key: closed once it is fetched
	slots     chan struct{}            // one for each command that is served
	waiting   int                      // commands that are served or wait
	ejectedAt time.Time                // zero: it is in use
	late      int                      // commands that came more than Grace after ejectedAt
	overload  overloadMeter
	requests  int
	resumed   chan struct{} // closed when a host that hangs goes on; nil: it does not hang
	closed    bool
}

// Grace is how long after its ejection commands may still reach a host.
const Grace = 2550 * time.Millisecond

// Scripted starts a host that passes on each command and replies to none by itself.
func Scripted() (*Host, error) { return newHost(&Host{Commands: make(chan Command, 10000)}) }

// NewHost starts a host that replies by itself.
func NewHost(name string, origin *Origin, options HostOptions) (*Host, error) {
	return newHost(&Host{Name: name, origin: origin, options: options, cache: map[string]string{},
		fetching: map[string]chan struct{}{}, slots: make(chan struct{}, max(1, options.Concurrency))})
}

// newHost starts a host on a free port.
func newHost(h *Host) (*Host, error) {
	port, err := reservePort()
	if err != nil {
		return nil, err
	}
	h.conns, h.port, h.Address = map[net.Conn]bool{}, port, port.address
	return h, h.listen()
}

// listen accepts connections at the host's address.
func (h *Host) listen() error {
	l, err := h.port.listen()
	if err != nil {
		return err
	}
	h.listener = l
	go h.serve(l)
	return nil
}

// serve accepts connections until the listener is closed.
func (h *Host) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		h.conns[c] = true
		h.mu.Unlock()
		go h.serveConn(c.(*net.TCPConn))
	}
}

// serveConn handles the commands of one connection, one after the other.
func (h *Host) serveConn(c *net.TCPConn) {
	ended := make(chan struct{})
	defer h.connEnded(c, ended)
	for in := redcon.NewReader(c); ; {
		read, err := in.ReadCommand()
		if err != nil {
			return
		}
		command := Command{make([]string, len(read.Args)), c, ended}
		for n, word := range read.Args {
			command.Words[n] = string(word)
		}
		if h.Commands != nil {
			h.Commands <- command
		} else {
			h.answer(command)
		}
	}
}

// connEnded forgets a connection whose sender has closed it. The test closes that of a scripted host.
func (h *Host) connEnded(c net.Conn, ended chan<- struct{}) {
	close(ended)
	h.mu.Lock()
	delete(h.conns, c)
	h.mu.Unlock()
	if h.Commands == nil {
		c.Close()
	}
}

// answer serves a command, or rejects it if too many wait.
func (h *Host) answer(c Command) {
	if len(c.Words) < 4 || !strings.HasPrefix(c.Words[0], "C.") {
		c.Reply("-ERR\r\n")
		return
	}
	serviceTime, resumed, isAdmitted := h.admit(time.Now())
	if !isAdmitted {
		c.Reply("-BUSY\r\n")
		return
	}
	defer h.release()
	if resumed != nil {
		<-resumed
	}
	slots := h.slots
	slots <- struct{}{}
	time.Sleep(serviceTime)
	<-slots
	c.Reply(h.run(c.Words[0], c.Words[1], c.Words[2], c.Words[3]))
}

// run returns the reply to a command once its service time is over.
func (h *Host) run(verb, key, id, attributes string) string {
	if verb == "C.SET" {
		h.origin.Ran(id, strings.Contains(attributes, "c=book"))
		return valueReply(h.value(key, id), "hit")
	}
	return valueReply(h.value(key, id), h.read(key))
}

// admit counts a command. It returns how long that takes to serve, and a channel to wait for if the host hangs; isAdmitted is false
// if too many commands wait.
func (h *Host) admit(now time.Time) (serviceTime time.Duration, resumed <-chan struct{}, isAdmitted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests++
	if !h.ejectedAt.IsZero() && now.Sub(h.ejectedAt) > Grace {
		h.late++
	}
	serviceTime = h.options.ServiceTime
	if capacity := h.capacity(now); capacity < 1 && h.options.Concurrency > 0 {
		h.overload.count(now, capacity, h.options)
		serviceTime = time.Duration(float64(serviceTime) / capacity)
	}
	if h.waiting >= h.options.Concurrency+h.options.QueueLength {
		return 0, nil, false
	}
	h.waiting++
	return serviceTime, h.resumed, true
}

// release ends a command that was admitted.
func (h *Host) release() {
	h.mu.Lock()
	h.waiting--
	h.mu.Unlock()
}

// value returns the value that is made for one request: no other request has the same.
func (h *Host) value(key, id string) string {
	value := key + "@" + id
	return value + strings.Repeat(".", max(0, h.options.ValueSize-len(value)))
}

// read looks a key up in the cache, or fetches it from the origin, once for all who ask meanwhile. It returns the cache result.
func (h *Host) read(key string) string {
	h.mu.Lock()
	if _, known := h.cache[key]; known {
		h.mu.Unlock()
		return "hit"
	}
	if fetch, out := h.fetching[key]; out {
		h.mu.Unlock()
		<-fetch
		return "pending"
	}
	fetch := make(chan struct{})
	h.fetching[key] = fetch
	cache := h.cache
	h.mu.Unlock()
	value := h.origin.Fetch(key)
	h.mu.Lock()
	cache[key] = value // The cache of before a restart that has happened meanwhile.
	delete(h.fetching, key)
	h.mu.Unlock()
	close(fetch)
	return "miss"
}

// capacity returns which part of its capacity the host has, from ColdCapacity to 1. The caller holds h.mu.
func (h *Host) capacity(now time.Time) float64 {
	if h.startedAt.IsZero() || now.Sub(h.startedAt) >= h.options.WarmUp {
		return 1
	}
	return h.options.ColdCapacity + (1-h.options.ColdCapacity)*float64(now.Sub(h.startedAt))/float64(h.options.WarmUp)
}

// resetAll resets all connections and refuses new ones, as the end of a process does. The caller holds h.mu.
func (h *Host) resetAll() {
	h.listener.Close()
	for c := range h.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Restart resets all connections of the host. It comes back at the same address, cold and with nothing cached.
func (h *Host) Restart() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.resetAll()
	h.cache, h.startedAt, h.overload.recent = map[string]string{}, time.Now(), nil
	return h.listen()
}

// Flush empties the host's cache.
func (h *Host) Flush() {
	h.mu.Lock()
	h.cache = map[string]string{}
	h.mu.Unlock()
}

// Crash ends the host's process until Restart: its connections are reset, and new ones refused.
func (h *Host) Crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.resetAll()
}

// Hang has the host accept commands and reply to none until resume is called.
func (h *Host) Hang() (resume func()) {
	resumed := make(chan struct{})
	h.mu.Lock()
	h.resumed = resumed
	h.mu.Unlock()
	return func() {
		h.mu.Lock()
		h.resumed = nil
		h.mu.Unlock()
		close(resumed)
	}
}

// SetEjected tells the host whether it is ejected: commands that come more than Grace after its ejection count as late.
func (h *Host) SetEjected(isEjected bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ejectedAt = (time.Time{}); isEjected {
		h.ejectedAt = time.Now()
	}
}

// HostFigures count what a host has seen since it was created.
type HostFigures struct {
	Requests   int // commands
	Late       int // of these, the ones that came more than Grace after its ejection
	Overloads  int // of these, the ones that came while it was overloaded as it was cold
	CachedKeys int // in its cache now
	Started    time.Time
}

// Figures returns the host's figures.
func (h *Host) Figures() HostFigures {
	h.mu.Lock()
	defer h.mu.Unlock()
	return HostFigures{h.requests, h.late, h.overload.overloads, len(h.cache), h.startedAt}
}

// Close ends the host and gives its port back.
func (h *Host) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	h.listener.Close()
	h.port.close()
	for c := range h.conns {
		c.Close()
	}
}
