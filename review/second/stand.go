// Command review-2 plays the cases of the second independent review: one balancer or two as separate processes, with
// stand-ins of its own for cache hosts, discovery, clients and the platform, on loopback addresses and the real clock.
// The number of the case is the argument. TROUBLE=0 leaves the disruption out.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

// stage is what a case runs on.
type stage struct {
	root, folder string // of the repository; of temporary files
	trouble      bool
	start        time.Time

	mu        sync.Mutex
	record    *bufio.Writer
	processes []*process
	closers   []func()
}

// say writes a line to the record.
func (s *stage) say(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%9.3f  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, values...))
}

// at is a time in the record's seconds.
func (s *stage) at(t time.Time) float64 { return t.Sub(s.start).Seconds() }

// onEnd has something closed when the case ends.
func (s *stage) onEnd(f func()) {
	s.mu.Lock()
	s.closers = append(s.closers, f)
	s.mu.Unlock()
}

// end ends all processes and stand-ins.
func (s *stage) end() {
	for _, p := range s.processes {
		p.kill()
	}
	for n := len(s.closers) - 1; n >= 0; n-- {
		s.closers[n]()
	}
	s.mu.Lock()
	s.record.Flush()
	s.mu.Unlock()
	os.RemoveAll(s.folder)
}

// check ends a case that cannot run.
func check(err error, what string) {
	if err != nil {
		panic(fmt.Errorf("%s: %w", what, err))
	}
}

// --- RESP2

// words is a command on the wire.
func words(list ...string) string {
	var out strings.Builder
	fmt.Fprintf(&out, "*%d\r\n", len(list))
	for _, word := range list {
		fmt.Fprintf(&out, "$%d\r\n%s\r\n", len(word), word)
	}
	return out.String()
}

// bulk is a value on the wire.
func bulk(value string) string { return fmt.Sprintf("$%d\r\n%s\r\n", len(value), value) }

// value is a cache host's answer with a value.
func value(text string) string { return "*3\r\n" + bulk(text) + "$3\r\nhit\r\n$-1\r\n" }

// readMessage reads one message: an array's strings, or the one line or string. firstByte is called when it begins.
func readMessage(in *bufio.Reader, firstByte func()) ([]string, error) {
	if _, err := in.Peek(1); err != nil {
		return nil, err
	}
	if firstByte != nil {
		firstByte()
	}
	line, err := in.ReadString('\n')
	if err != nil {
		return nil, err
	}
	if line = strings.TrimRight(line, "\r\n"); line == "" {
		return nil, errors.New("an empty line")
	}
	n, _ := strconv.Atoi(line[1:])
	switch {
	case line[0] == '$' && n < 0:
		return []string{line}, nil
	case line[0] == '$':
		text := make([]byte, n+2)
		if _, err := io.ReadFull(in, text); err != nil {
			return nil, err
		}
		return []string{string(text[:n])}, nil
	case line[0] == '*':
		var all []string
		for range n {
			word, err := readMessage(in, nil)
			if err != nil {
				return nil, err
			}
			all = append(all, word...)
		}
		return all, nil
	}
	return []string{line}, nil
}

// --- cache hosts

// command is one that a cache host got.
type command struct {
	host        string
	words       []string // verb, key, id, names and values, value
	begun, come time.Time
	answered    time.Time // set right before the answer is written
	answer      string
	conn        net.Conn
}

func (c *command) key() string { return c.words[1] }
func (c *command) id() string  { return c.words[2] }

// host stands in for a cache host. answer returns what to write, and may take its time; "" closes the connection.
type host struct {
	s       *stage
	name    string
	address string
	answer  func(c *command) string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	commands []*command
}

// newHost starts a cache host at an address, or at a free one if that is empty.
func (s *stage) newHost(name, address string, answer func(c *command) string) *host {
	h := &host{s: s, name: name, answer: answer, conns: map[net.Conn]bool{}}
	if address == "" {
		address = "127.0.0.1:0"
	}
	var err error
	for range 100 {
		if h.listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	check(err, "listen for a cache host")
	h.address = h.listener.Addr().String()
	go h.serve()
	s.onEnd(h.stop)
	return h
}

func (h *host) serve() {
	for {
		c, err := h.listener.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		h.conns[c] = true
		h.mu.Unlock()
		go h.converse(c)
	}
}

func (h *host) converse(c net.Conn) {
	defer func() {
		c.Close()
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
	}()
	in := bufio.NewReaderSize(c, 64<<10)
	for {
		var begun time.Time
		got, err := readMessage(in, func() { begun = time.Now() })
		if err != nil {
			return
		}
		if len(got) < 4 { // PING and the like.
			io.WriteString(c, "+PONG\r\n")
			continue
		}
		cmd := &command{host: h.name, words: got, begun: begun, come: time.Now(), conn: c}
		h.mu.Lock()
		h.commands = append(h.commands, cmd)
		h.mu.Unlock()
		text := h.answer(cmd)
		if text == "" {
			return
		}
		h.mu.Lock()
		cmd.answered, cmd.answer = time.Now(), text
		h.mu.Unlock()
		_, err = io.WriteString(c, text)
		if err != nil {
			return
		}
	}
}

// got returns copies of the commands so far.
func (h *host) got() []command {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []command
	for _, c := range h.commands {
		all = append(all, *c)
	}
	return all
}

// stop ends the process: connections are reset, and new ones refused.
func (h *host) stop() {
	h.listener.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// --- discovery

// entry is a cache host in the list.
type entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// list is a whole list or changes.
type list struct {
	Index     int     `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []entry `json:"endpoints"`
}

// discovery stands in for discovery: HTTP/1.1, whole lists and watches.
type discovery struct {
	s       *stage
	address string

	mu      sync.Mutex
	server  *http.Server
	index   int
	entries map[string]entry
	changed map[string]int // index of the last change of each
	news    chan struct{}  // closed at each change
	told    map[int]time.Time
}

func (s *stage) newDiscovery(entries ...entry) *discovery {
	d := &discovery{s: s, index: 1, entries: map[string]entry{}, changed: map[string]int{}, news: make(chan struct{}), told: map[int]time.Time{}}
	for _, e := range entries {
		d.entries[e.Name], d.changed[e.Name] = e, 1
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err, "listen for discovery")
	d.address = l.Addr().String()
	d.serve(l)
	s.onEnd(d.down)
	return d
}

func (d *discovery) serve(l net.Listener) {
	server := &http.Server{Handler: d}
	d.mu.Lock()
	d.server = server
	d.mu.Unlock()
	go server.Serve(l)
}

// down ends discovery: watches end, and new calls are refused.
func (d *discovery) down() {
	d.mu.Lock()
	server := d.server
	d.server = nil
	d.mu.Unlock()
	if server != nil {
		server.Close()
	}
}

// up starts it again at its address.
func (d *discovery) up() {
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp", d.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	check(err, "listen for discovery again")
	d.serve(l)
}

// change changes entries, and tells all watches.
func (d *discovery) change(entries ...entry) (index int) {
	d.mu.Lock()
	d.index++
	for _, e := range entries {
		d.entries[e.Name], d.changed[e.Name] = e, d.index
		d.s.say("discovery: version %d: %s at %s is %s since %d", d.index, e.Name, e.Address, e.Status, e.SinceMS)
	}
	close(d.news)
	d.news = make(chan struct{})
	index = d.index
	d.mu.Unlock()
	return index
}

// whole is the list as it stands.
func (d *discovery) whole() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := list{Index: d.index, Snapshot: true, Endpoints: []entry{}}
	for _, e := range d.entries {
		if e.Status != "Gone" {
			all.Endpoints = append(all.Endpoints, e)
		}
	}
	return all
}

// toldAt returns when a version was written to a watch for the first time; zero: not yet.
func (d *discovery) toldAt(index int) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.told[index]
}

// awaitTold waits until a version has been written.
func (d *discovery) awaitTold(index int, most time.Duration) time.Time {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if at := d.toldAt(index); !at.IsZero() {
			return at
		}
	}
	panic(fmt.Errorf("version %d of the list was not asked for within %v", index, most))
}

// ServeHTTP implements http.Handler.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("follow") == "" {
		json.NewEncoder(w).Encode(d.whole())
		return
	}
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	d.s.say("discovery: a watch from version %d", since)
	for isFirst := true; ; isFirst = false {
		d.mu.Lock()
		news, index, changes := d.news, d.index, list{Index: d.index, Endpoints: []entry{}}
		for name, at := range d.changed {
			if at > since {
				changes.Endpoints = append(changes.Endpoints, d.entries[name])
			}
		}
		d.mu.Unlock()
		text := []byte("\n")
		if isFirst || index > since {
			text, _ = json.Marshal(changes)
			text = append(text, '\n')
		}
		if _, err := w.Write(text); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		d.mu.Lock()
		if d.told[index].IsZero() {
			d.told[index] = time.Now()
		}
		d.mu.Unlock()
		since = index
		select {
		case <-news:
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
			return
		}
	}
}

// --- the balancer's processes

// platform starts the balancer as the deploy file says.
type platform struct {
	s             *stage
	run           string // command
	file          string // configuration
	listen        string
	socket        *os.File // the clients' listening socket, if the platform holds it
	place         string   // $TMPDIR
	configuration map[string]any
}

// process is one process of the balancer.
type process struct {
	s     *stage
	name  string
	cmd   *exec.Cmd
	mgmt  string
	ended chan struct{}
	once  sync.Once
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// newPlatform prepares a balancer. holdsSocket has the platform hold the listening socket, as on days of upgrades.
func (s *stage) newPlatform(settings map[string]any, known list, discovery string, holdsSocket bool) *platform {
	text, err := os.ReadFile(filepath.Join(s.root, "deploy/balancer.toml"))
	check(err, "read the deploy file")
	match := runLine.FindSubmatch(text)
	if match == nil {
		panic(errors.New("the deploy file has no run"))
	}
	p := &platform{s: s, run: string(match[1]), file: filepath.Join(s.folder, "config.json"), place: filepath.Join(s.folder, "tmp")}
	check(os.Mkdir(p.place, 0o700), "make a folder")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err, "listen for clients")
	p.listen = l.Addr().String()
	if holdsSocket {
		p.socket, err = l.(*net.TCPListener).File()
		check(err, "hold the listening socket")
		s.onEnd(func() { p.socket.Close() })
	}
	l.Close()
	p.configuration = map[string]any{"name": "n1", "listen": p.listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings}
	p.write()
	return p
}

// write writes the configuration.
func (p *platform) write() {
	text, err := json.Marshal(p.configuration)
	check(err, "encode the configuration")
	check(os.WriteFile(p.file+".new", text, 0o600), "write the configuration")
	check(os.Rename(p.file+".new", p.file), "write the configuration")
}

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err, "find a free port")
	defer l.Close()
	return l.Addr().String()
}

// begin starts a process, and waits until it is ready. Where another program has taken a free port in between it tries again.
func (p *platform) begin(name string) *process {
	for try := 1; ; try++ {
		q, err := p.tryBegin(name)
		if err == nil {
			return q
		}
		if try == 5 || !strings.Contains(err.Error(), "address already in use") {
			panic(err)
		}
		if p.socket == nil {
			p.listen = freeAddress()
			p.configuration["listen"] = p.listen
			p.write()
		}
	}
}

func (p *platform) tryBegin(name string) (*process, error) {
	q := &process{s: p.s, name: name, mgmt: freeAddress(), ended: make(chan struct{})}
	q.cmd = exec.Command("/bin/sh", "-c", p.run)
	q.cmd.Dir = p.s.root
	q.cmd.Env = append(os.Environ(), "LB_CONFIG="+p.file, "LB_NAME=n1", "LB_LISTEN="+p.listen, "LB_DISCOVERY=", "LB_EXTRA=", "LB_LISTEN_FD=", "LB_MGMT="+q.mgmt, "TMPDIR="+p.place)
	if p.socket != nil {
		q.cmd.ExtraFiles = []*os.File{p.socket}
		q.cmd.Env = append(q.cmd.Env, "LB_LISTEN_FD=3")
	}
	log, err := os.Create(filepath.Join(p.s.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	q.cmd.Stdout, q.cmd.Stderr = log, log
	if err := q.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start the balancer: %w", err)
	}
	p.s.mu.Lock()
	p.s.processes = append(p.s.processes, q)
	p.s.mu.Unlock()
	p.s.say("platform: started process %s", name)
	go func() {
		q.cmd.Wait()
		log.Close()
		p.s.say("platform: process %s has ended: %v", name, q.cmd.ProcessState)
		close(q.ended)
	}()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if answer, err := client.Get("http://" + q.mgmt + "/ready"); err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				p.s.say("platform: process %s says that it is ready", name)
				return q, nil
			}
		}
		if q.hasEnded() {
			return nil, fmt.Errorf("process %s has ended: %s", name, q.log())
		}
	}
	return nil, fmt.Errorf("process %s is not ready", name)
}

// call sends an operators' call and returns whether the answer is yes.
func (q *process) call(path string) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Post("http://"+q.mgmt+path, "", nil)
	if err != nil {
		q.s.say("operator: %s at %s: %v", path, q.name, err)
		return false
	}
	answer.Body.Close()
	q.s.say("operator: %s at %s: %s", path, q.name, answer.Status)
	return answer.StatusCode == http.StatusOK
}

// signal sends a signal to the process that run started.
func (q *process) signal(signal syscall.Signal) {
	q.s.say("platform: %v to process %s", signal, q.name)
	q.cmd.Process.Signal(signal)
}

// kill ends it at once.
func (q *process) kill() {
	q.once.Do(func() {
		select {
		case <-q.ended:
			return
		default:
		}
		q.cmd.Process.Kill()
		<-q.ended
	})
}

// hasEnded tells whether it has ended.
func (q *process) hasEnded() bool {
	select {
	case <-q.ended:
		return true
	default:
		return false
	}
}

// log returns what it has written.
func (q *process) log() string {
	text, _ := os.ReadFile(filepath.Join(q.s.folder, q.name+".log"))
	return string(text)
}

// --- clients

// client is one client's connection.
type client struct {
	net.Conn
	in *bufio.Reader
}

func dial(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{c, bufio.NewReaderSize(c, 64<<10)}, nil
}

// ask sends a command, and returns the answer: its first string, or its error line.
func (c *client) ask(text string, most time.Duration) (string, error) {
	c.SetDeadline(time.Now().Add(most))
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	return c.reply(most)
}

// caller is a client that keeps a connection, and opens another one when that is closed.
type caller struct {
	address string
	c       *client
}

// ask sends a command, and returns the answer. Where the connection was closed between requests, as the balancer may, it sends
// the command once more on a new one.
func (r *caller) ask(text string, most time.Duration) (got string, err error) {
	for range 2 {
		isNew := r.c == nil
		if isNew {
			if r.c, err = dial(r.address); err != nil {
				r.c = nil
				return "", err
			}
		}
		if got, err = r.c.ask(text, most); err == nil {
			return got, nil
		}
		r.c.Close()
		r.c = nil
		if isNew || errors.Is(err, os.ErrDeadlineExceeded) {
			return "", err
		}
	}
	return "", err
}

// close closes its connection.
func (r *caller) close() {
	if r.c != nil {
		r.c.Close()
		r.c = nil
	}
}

// reply reads one answer.
func (c *client) reply(most time.Duration) (string, error) {
	c.SetReadDeadline(time.Now().Add(most))
	got, err := readMessage(c.in, nil)
	if err != nil {
		return "", err
	}
	return got[0], nil
}

// awaitPong waits until the balancer answers PING.
func (s *stage) awaitPong(address string) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if c, err := dial(address); err == nil {
			got, err := c.ask(words("PING"), time.Second)
			c.Close()
			if err == nil && got == "+PONG" {
				return
			}
		}
	}
	panic(errors.New("the balancer does not answer PING"))
}

var ids atomic.Int64

// newID returns a new id for a request.
func newID() string { return fmt.Sprintf("%016x", 0x7f3a9c0000000000+ids.Add(1)) }

// key returns the n-th key.
func key(n int) string { return fmt.Sprintf("%016x", uint64(n+1)*0x9e3779b97f4a7c15) }
