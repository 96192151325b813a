package fakes

import (
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"
)

// Command is what a host was sent whole, and the connection to answer on.
type Command struct {
	Words []string
	*net.TCPConn
	Ended <-chan struct{} // the other side has closed it
}

// Say answers, with whatever bytes.
func (c Command) Say(text string) { io.WriteString(c, text) }

// Manner is how a host that answers by itself does.
type Manner struct {
	Takes    time.Duration // for one command
	AtOnce   int           // commands in work
	Queue    int           // commands that may wait; more are turned away
	Size     int           // of a value; it is filled up to that
	WarmUp   time.Duration // after a start it can do less
	ColdPart float64       // what it can do at first
	Tips     float64       // over so many times what it can do while cold,
	TipAfter time.Duration // for so long, it counts as pushed over
}

// Host is a cache host: scripted, with each command handed over by Came, or by a manner of its own before an origin.
type Host struct {
	Name    string
	Address string
	Came    chan Command // scripted

	manner Manner
	origin *Origin
	port   *reservedPort // of Address, also while it is down

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	started  time.Time
	cache    map[string]string
	fetching map[string]chan struct{}
	work     chan struct{}
	waiting  int
	outSince time.Time // zero: it is in use
	late     int       // commands that came more than the grace after it went out
	since    []time.Time
	over     time.Time // cold: since when it is asked for too much
	pushed   int
	asked    int
	hangs    chan struct{} // closed when it goes on
	closed   bool
}

// Grace is how long after a host went out commands may still come.
const Grace = 2550 * time.Millisecond

// Scripted is a host that hands over each command and answers nothing by itself.
func Scripted() (*Host, error) { return newHost(&Host{Came: make(chan Command, 10000)}) }

// NewHost is a host that answers by itself.
func NewHost(name string, origin *Origin, manner Manner) (*Host, error) {
	return newHost(&Host{Name: name, origin: origin, manner: manner, cache: map[string]string{},
		fetching: map[string]chan struct{}{}, work: make(chan struct{}, max(1, manner.AtOnce))})
}

func newHost(h *Host) (*Host, error) {
	port, err := reservePort()
	if err != nil {
		return nil, err
	}
	h.conns, h.port, h.Address = map[net.Conn]bool{}, port, port.address
	return h, h.listen()
}

func (h *Host) listen() error {
	l, err := h.port.listen()
	if err != nil {
		return err
	}
	h.listener = l
	go h.serve(l)
	return nil
}

func (h *Host) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		h.conns[c] = true
		h.mu.Unlock()
		go func() {
			ended := make(chan struct{})
			defer func() {
				close(ended)
				h.mu.Lock()
				delete(h.conns, c)
				h.mu.Unlock()
				if h.Came == nil {
					c.Close()
				}
			}()
			for in := redcon.NewReader(c); ; {
				read, err := in.ReadCommand()
				if err != nil {
					return
				}
				command := Command{make([]string, len(read.Args)), c.(*net.TCPConn), ended}
				for n, word := range read.Args {
					command.Words[n] = string(word)
				}
				if h.Came != nil {
					h.Came <- command
				} else {
					h.answer(command)
				}
			}
		}()
	}
}

// answer is how it does by itself.
func (h *Host) answer(c Command) {
	if len(c.Words) < 4 || !strings.HasPrefix(c.Words[0], "C.") {
		c.Say("-ERR\r\n")
		return
	}
	verb, key, id, fields := c.Words[0], c.Words[1], c.Words[2], c.Words[3]
	now := time.Now()
	h.mu.Lock()
	h.asked++
	hangs, work := h.hangs, h.work
	if !h.outSince.IsZero() && now.Sub(h.outSince) > Grace {
		h.late++
	}
	takes := h.manner.Takes
	if cold := h.coldNow(now); cold < 1 && h.manner.AtOnce > 0 {
		h.since = append(h.since, now)
		for now.Sub(h.since[0]) > time.Second {
			h.since = h.since[1:]
		}
		can := cold * float64(h.manner.AtOnce) / h.manner.Takes.Seconds()
		switch {
		case h.manner.Tips == 0 || float64(len(h.since)) <= h.manner.Tips*can:
			h.over = time.Time{}
		case h.over.IsZero():
			h.over = now
		case now.Sub(h.over) >= h.manner.TipAfter:
			h.pushed++
		}
		takes = time.Duration(float64(takes) / cold)
	}
	full := h.waiting >= h.manner.AtOnce+h.manner.Queue
	if !full {
		h.waiting++
	}
	h.mu.Unlock()
	if full {
		c.Say("-BUSY\r\n")
		return
	}
	defer func() {
		h.mu.Lock()
		h.waiting--
		h.mu.Unlock()
	}()
	if hangs != nil {
		<-hangs
	}
	work <- struct{}{}
	time.Sleep(takes)
	<-work
	if verb == "C.SET" {
		h.origin.Ran(id, strings.Contains(fields, "c=book"))
		c.Say(settled(h.value(key, id), "hit"))
		return
	}
	c.Say(settled(h.value(key, id), h.read(key)))
}

// value is what is made for one retrieval: no other's will do.
func (h *Host) value(key, id string) string {
	value := key + "@" + id
	return value + strings.Repeat(".", max(0, h.manner.Size-len(value)))
}

// read finds a key in the cache, or fetches it, once for all who ask meanwhile.
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
	cache[key] = value // Of the process that fetched it: a restart lost it.
	delete(h.fetching, key)
	h.mu.Unlock()
	close(fetch)
	return "miss"
}

// coldNow is the part of its usual speed that it has; under the lock.
func (h *Host) coldNow(now time.Time) float64 {
	if h.started.IsZero() || now.Sub(h.started) >= h.manner.WarmUp {
		return 1
	}
	return h.manner.ColdPart + (1-h.manner.ColdPart)*float64(now.Sub(h.started))/float64(h.manner.WarmUp)
}

// hangUp resets all connections and takes no more, as a process that dies does. Under the lock.
func (h *Host) hangUp() {
	h.listener.Close()
	for c := range h.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Restart ends all its connections and comes back at the same address, cold and with nothing cached.
func (h *Host) Restart() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hangUp()
	h.cache, h.started, h.since = map[string]string{}, time.Now(), nil
	return h.listen()
}

// Flush empties its cache.
func (h *Host) Flush() {
	h.mu.Lock()
	h.cache = map[string]string{}
	h.mu.Unlock()
}

// Down ends it as a crash does, until Restart.
func (h *Host) Down() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hangUp()
}

// Hang makes it take commands and answer none, until the function that it gives is called.
func (h *Host) Hang() (goOn func()) {
	hangs := make(chan struct{})
	h.mu.Lock()
	h.hangs = hangs
	h.mu.Unlock()
	return func() {
		h.mu.Lock()
		h.hangs = nil
		h.mu.Unlock()
		close(hangs)
	}
}

// Out tells it that from now on, and the grace, it is owed nothing new; and again that it is in use.
func (h *Host) Out(out bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outSince = (time.Time{}); out {
		h.outSince = time.Now()
	}
}

// HostFigures are what a host has seen.
type HostFigures struct {
	Asked   int // commands that came
	Late    int // of them, more than the grace after it went out
	Pushed  int // of them, over what a cold host can take
	Kept    int // keys in its cache
	Started time.Time
}

// Figures tells them.
func (h *Host) Figures() HostFigures {
	h.mu.Lock()
	defer h.mu.Unlock()
	return HostFigures{h.asked, h.late, h.pushed, len(h.cache), h.started}
}

// Close ends it.
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
