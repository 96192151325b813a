package standins

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// MemoryMB and Descriptors are a balancer's limits.
var MemoryMB, Descriptors = 192, 1024

// Object is a JSON object.
type Object map[string]any

// Figures are those of a deployment's brief and site file that the cases need.
type Figures struct {
	Workloads                                                      []Object
	MostTrips, ConnIdle, DialTimeout, DrainGrace, WarmUp, TipAfter int
	SecondCopies, RetryAfter                                       bool
	StartCapacity, FallMultiple                                    float64
}

// Settings are those of a small deployment with such figures: one balancer, one zone, cache hosts that read through.
func Settings(f Figures) Object {
	return Object{
		"workloads": f.Workloads, "registryMode": "subscribe", "balancers": 1, "me": 0, "layer": 0, "hostTypes": []string{"std"},
		"zones": []string{"a"}, "zone": "a", "weights": "nominal", "tenants": []Object{}, "valuePer": "request", "quantum": 5,
		"report": Object{"source": "silent", "fields": []string{}}, "extra": Object{"mode": "through"},
		"allowed": Object{"mostTrips": f.MostTrips, "mostHeld": 20000, "connIdle": f.ConnIdle, "dialTimeout": f.DialTimeout, "cancelling": true,
			"secondCopies": f.SecondCopies, "streamsPerConn": 32, "probing": false, "peers": false, "retryAfter": f.RetryAfter, "maxRetryAfter": 2000},
		"invariants": Object{"answerSlack": 20, "askEvery": 10000, "drainGrace": f.DrainGrace, "startCapacity": f.StartCapacity, "warmUp": f.WarmUp,
			"fallMultiple": f.FallMultiple, "tipAfter": f.TipAfter},
	}
}

// The deployments that the cases are played at.
var (
	KzChargeMap = Figures{MostTrips: 3, ConnIdle: 5000, DialTimeout: 200, DrainGrace: 2500, WarmUp: 23000, TipAfter: 3000, SecondCopies: true, RetryAfter: true,
		StartCapacity: 0.14, FallMultiple: 2.5, Workloads: []Object{
			{"name": "station-lookup", "effect": "free", "group": "all", "expectedTime": 600, "hardStop": 1500, "value": 3, "tardyValue": 0.3},
			{"name": "slot-booking", "effect": "single_shot", "group": "all", "expectedTime": 500, "hardStop": 1200, "value": 8, "tardyValue": 0.3},
			{"name": "fault-report", "effect": "guarded", "group": "all", "dedupWindow": 4000, "expectedTime": 500, "hardStop": 1000, "value": 2, "tardyValue": 0.3}}}
	KingstonCharts = Figures{MostTrips: 5, ConnIdle: 60000, DialTimeout: 200, DrainGrace: 750, WarmUp: 23000, TipAfter: 1000, SecondCopies: true,
		StartCapacity: 0.12, FallMultiple: 3, Workloads: []Object{
			{"name": "tile-read", "effect": "free", "group": "all", "expectedTime": 500, "hardStop": 1500, "value": 1, "tardyValue": 0},
			{"name": "route-save", "effect": "guarded", "group": "all", "dedupWindow": 1500, "expectedTime": 800, "hardStop": 2500, "value": 1, "tardyValue": 0}}}
	RecifeLavanderia = Figures{MostTrips: 6, ConnIdle: 10000, DialTimeout: 250, DrainGrace: 3000, WarmUp: 8800, TipAfter: 1000, RetryAfter: true,
		StartCapacity: 0.3, FallMultiple: 3, Workloads: []Object{
			{"name": "consulta-lote", "effect": "free", "group": "all", "expectedTime": 2500, "hardStop": 5000, "value": 1, "tardyValue": 0},
			{"name": "baixa-entrega", "effect": "single_shot", "group": "all", "expectedTime": 2500, "hardStop": 5000, "value": 8, "tardyValue": 0},
			{"name": "troca-urgente", "effect": "guarded", "group": "all", "dedupWindow": 8000, "expectedTime": 1500, "hardStop": 4000, "value": 10, "tardyValue": 0}}}
)

// Platform starts balancers by the deploy file's command.
type Platform struct {
	Listen    string
	Socket    *os.File // the clients' listening socket, where the platform holds it; else nil
	record    *Record
	folder    string
	file      string
	processes []*Process
}

// Process is one balancer's.
type Process struct {
	Mgmt  string
	cmd   *exec.Cmd
	ended chan struct{}
	name  string
	rec   *Record
	mu    sync.Mutex
	gone  bool // it was to end
}

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		CannotRun(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// NewPlatform writes the configuration. holdsSocket: the platform holds the clients' socket, as for upgrades.
func NewPlatform(r *Record, d *Discovery, settings Object, holdsSocket bool) *Platform {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		CannotRun(err)
	}
	AtEnd(func() { os.RemoveAll(folder) })
	p := &Platform{record: r, folder: folder, file: filepath.Join(folder, "config.json"), Listen: freeAddress()}
	if holdsSocket {
		l, err := net.Listen("tcp", p.Listen)
		if err != nil {
			CannotRun(err)
		}
		if p.Socket, err = l.(*net.TCPListener).File(); err != nil {
			CannotRun(err)
		}
		l.Close()
	}
	text, err := json.MarshalIndent(Object{"name": "n1", "listen": p.Listen, "discovery": d.Address, "seed": "8c1f30d27a5be964",
		"limits": Object{"cores": 1.0, "memory_mb": MemoryMB, "sockets": Descriptors}, "known": d.Whole(), "settings": settings}, "", " ")
	if err != nil {
		CannotRun(err)
	}
	if err := os.WriteFile(p.file, text, 0o600); err != nil {
		CannotRun(err)
	}
	if err := os.Mkdir(filepath.Join(folder, "tmp"), 0o700); err != nil {
		CannotRun(err)
	}
	AtEnd(p.endAll)
	return p
}

// Start starts a balancer and waits until it is ready.
func (p *Platform) Start(name string) *Process {
	s := &Process{Mgmt: freeAddress(), name: name, ended: make(chan struct{}), rec: p.record}
	s.cmd = exec.Command("/bin/sh", "-c", os.Getenv("RUN"))
	s.cmd.Dir = os.Getenv("ROOT")
	s.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "LB_NAME=n1", "LB_LISTEN=" + p.Listen, "LB_CONFIG=" + p.file, "LB_MGMT=" + s.Mgmt,
		"TMPDIR=" + filepath.Join(p.folder, "tmp")}
	if p.Socket != nil {
		s.cmd.ExtraFiles = []*os.File{p.Socket}
		s.cmd.Env = append(s.cmd.Env, "LB_LISTEN_FD=3")
	}
	logs, err := s.cmd.StderrPipe()
	if err != nil {
		CannotRun(err)
	}
	p.record.Printf("platform: starts %s", name)
	if err := s.cmd.Start(); err != nil {
		CannotRun(err)
	}
	p.processes = append(p.processes, s)
	go func() {
		for lines := bufio.NewScanner(logs); lines.Scan(); {
			p.record.Printf("log of %s: %s", name, strings.TrimSpace(lines.Text()))
		}
		_ = s.cmd.Wait()
		p.record.Printf("platform: %s has ended: %s", name, s.cmd.ProcessState)
		close(s.ended)
	}()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if answer, err := client.Get("http://" + s.Mgmt + "/ready"); err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				p.record.Printf("platform: %s is ready", name)
				return s
			}
		}
	}
	CannotRun(name + " is not ready")
	return nil
}

// Terminate sends SIGTERM, and SIGKILL after the longest deadline and 0.7 s.
func (s *Process) Terminate(longest time.Duration) {
	s.rec.Printf("platform: SIGTERM to %s", s.name)
	s.toEnd()
	_ = s.cmd.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-s.ended:
		case <-time.After(min(longest, 3*time.Second) + 700*time.Millisecond):
			s.rec.Printf("platform: SIGKILL to %s", s.name)
			_ = s.cmd.Process.Kill()
		}
	}()
}

func (s *Process) toEnd() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone = true
}

// HasCrashed tells whether the process ended by itself.
func (s *Process) HasCrashed() bool {
	select {
	case <-s.ended:
		s.mu.Lock()
		defer s.mu.Unlock()
		return !s.gone
	default:
		return false
	}
}

func (p *Platform) endAll() {
	for _, s := range p.processes {
		s.toEnd()
		_ = s.cmd.Process.Kill()
		select {
		case <-s.ended:
		case <-time.After(5 * time.Second):
		}
	}
}

// Client is a client's connection.
type Client struct {
	net.Conn
	Reader *bufio.Reader
	record *Record
	name   string
}

// Dial connects a client.
func (p *Platform) Dial(name string) *Client {
	c := p.TryDial(name)
	if c == nil {
		CannotRun(name + " could not connect")
	}
	return c
}

// TryDial connects a client; nil: the balancer takes none.
func (p *Platform) TryDial(name string) *Client {
	conn, err := net.DialTimeout("tcp", p.Listen, 2*time.Second)
	if err != nil {
		p.record.Printf("%s: %v", name, err)
		return nil
	}
	return &Client{Conn: conn, Reader: bufio.NewReader(conn), record: p.record, name: name}
}

// Send writes commands in one piece.
func (c *Client) Send(commands ...[]byte) {
	var all []byte
	for _, command := range commands {
		c.record.Printf("%s sends %s", c.name, Short(string(command)))
		all = append(all, command...)
	}
	if _, err := c.Write(all); err != nil {
		c.record.Printf("%s: %v", c.name, err)
	}
}

// Receive waits for an answer; empty: the connection ended or nothing came in time.
func (c *Client) Receive(id string, most time.Duration) string {
	_ = c.SetReadDeadline(time.Now().Add(most))
	answer, err := ReadReply(c.Reader)
	if err != nil {
		c.record.Printf("%s: no answer to %s: %v", c.name, id, err)
		return ""
	}
	c.record.Printf("%s is answered %s: %s", c.name, id, Short(answer))
	return answer
}

// Answers is how many answers came, and the first of them.
type Answers struct {
	Count int
	First string
}

// CountAnswers reads so many answers, as long as they come.
func (c *Client) CountAnswers(most int, patience time.Duration) (a Answers) {
	for ; a.Count < most; a.Count++ {
		_ = c.SetReadDeadline(time.Now().Add(patience))
		answer, err := ReadReply(c.Reader)
		if err != nil {
			return a
		}
		if a.Count == 0 {
			a.First = answer
		}
	}
	return a
}

// KillOverMemory is the platform's memory limit: it looks at the process's anonymous memory each millisecond or two and
// kills it over the limit. Its files and its program, which a platform may count too, are not counted. The function that
// it returns tells the peak in kB and whether the process was killed.
func (s *Process) KillOverMemory(limitMB int) func() (peak int, killed bool) {
	var mu sync.Mutex
	peak, killed := 0, false
	go func() {
		for !killed {
			time.Sleep(time.Millisecond)
			text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
			if err != nil {
				return
			}
			at := strings.Index(string(text), "RssAnon:")
			if at < 0 {
				continue
			}
			var kb int
			if _, err := fmt.Sscanf(string(text[at:]), "RssAnon: %d", &kb); err != nil {
				continue
			}
			mu.Lock()
			peak = max(peak, kb)
			if killed = kb > limitMB<<10; killed {
				s.rec.Printf("platform: %s has %d kB of memory, and %d kB are allowed: SIGKILL", s.name, kb, limitMB<<10)
				_ = s.cmd.Process.Kill()
			}
			mu.Unlock()
		}
	}()
	return func() (int, bool) {
		mu.Lock()
		defer mu.Unlock()
		return peak, killed
	}
}
