package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"
)

// The tests start the program itself (this binary, by a variable) and speak to it over loopback, between clients,
// cache hosts and a discovery of their own.
const asProgram = "HOLLYLEVER_TEST_AS_PROGRAM"

const patience = 20 * time.Second // for anything that has to come

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const settings = `{"allowed":{"cancelling":true,"connIdle":5000,"dialTimeout":200,"mostHeld":20000,"mostTrips":3,
"secondCopies":true,"retryAfter":false},"balancers":1,"hostTypes":["std"],"zones":["z"],"registryMode":"subscribe",
"tenants":[{"name":"acme","quotaRps":100000}],"extra":{"mode":"through"},
"invariants":{"askEvery":10000,"drainGrace":2500,"startCapacity":0.2,"warmUp":20000,"fallMultiple":2.5,"tipAfter":3000},
"workloads":[
{"name":"read","effect":"free","group":"all","expectedTime":5000,"hardStop":3000,"value":1,"tardyValue":0.2},
{"name":"report","effect":"guarded","group":"all","dedupWindow":4000,"expectedTime":5000,"hardStop":3000,"value":1,"tardyValue":0.2},
{"name":"book","effect":"single_shot","group":"all","expectedTime":5000,"hardStop":3000,"value":1,"tardyValue":0.2}]}`

// command is what a host was sent, and the connection to answer on.
type command struct {
	words []string
	*net.TCPConn
	ended <-chan struct{} // the program has closed it
}

func (c command) say(text string) { io.WriteString(c, text) }

func settled(value string) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(value), value)
}

// host is a stand-in for a cache host: it hands over each command that it has got whole.
func host(t *testing.T) (string, <-chan command) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	came := make(chan command, 10000)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				ended := make(chan struct{})
				defer close(ended)
				for in := bufio.NewReader(c); ; {
					words, err := message(in)
					if err != nil {
						return
					}
					came <- command{words, c.(*net.TCPConn), ended}
				}
			}()
		}
	}()
	return l.Addr().String(), came
}

// message reads one message: its words, or the one line or string that it is.
func message(in *bufio.Reader) ([]string, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return nil, err
	}
	line = strings.TrimRight(line, "\r\n")
	n, _ := strconv.Atoi(line[1:])
	switch line[0] {
	case '$':
		text := make([]byte, n+2)
		_, err := io.ReadFull(in, text)
		return []string{string(text[:n])}, err
	case '*':
		var words []string
		for range n {
			word, err := message(in)
			if err != nil {
				return nil, err
			}
			words = append(words, word...)
		}
		return words, nil
	}
	return []string{line}, nil
}

func next[T any](t *testing.T, from <-chan T, what string) T {
	t.Helper()
	select {
	case x := <-from:
		return x
	case <-time.After(patience):
		t.Fatalf("%s does not come", what)
		panic("unreachable")
	}
}

// call is a watch that the program asked for at the stand-in for discovery: what it is to say, line by line.
type call struct {
	since string
	lines chan string
}

const unavailable = "503" // in place of the first line

func (c call) say(line string) { c.lines <- line }
func (c call) end()            { close(c.lines) }

func discovery(t *testing.T) (string, <-chan call) {
	calls := make(chan call, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := call{r.URL.Query().Get("since"), make(chan string, 100)}
		calls <- c
		for {
			select {
			case line, more := <-c.lines:
				if line == unavailable {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				if line == unavailable || !more {
					return
				}
				io.WriteString(w, line+"\n")
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String(), calls
}

func entry(name, address, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"z","type":"std","group":0,"status":%q,"weight":1.0,"since_ms":0}`,
		name, address, status)
}

func list(index int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[%s]}`, index, whole, strings.Join(entries, ","))
}

type program struct {
	t       *testing.T
	file    string
	cmd     *exec.Cmd
	address string
	mgmt    string // the operators' door
	log     chan string
	ended   chan error
}

// fileWith writes a good configuration with changes; a nil takes a field out.
func fileWith(t *testing.T, changes map[string]any) string {
	all := map[string]any{"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": json.RawMessage(settings), "known": json.RawMessage(list(0, true))}
	for field, value := range changes {
		if all[field] = value; value == nil {
			delete(all, field)
		}
	}
	text, err := json.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func programWith(file string, variables ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), asProgram+"=1", "LB_CONFIG="+file, "LB_LISTEN=", "LB_DISCOVERY=", "LB_NAME=", "TMPDIR=")
	cmd.Env = append(cmd.Env, variables...)
	return cmd
}

func start(t *testing.T, known string, changes map[string]any, variables ...string) *program {
	t.Helper()
	all := map[string]any{"known": json.RawMessage(known)}
	for field, value := range changes {
		all[field] = value
	}
	file := fileWith(t, all)
	return started(t, file, programWith(file, variables...))
}

func started(t *testing.T, file string, cmd *exec.Cmd) *program {
	t.Helper()
	p := &program{t: t, file: file, cmd: cmd, log: make(chan string, 10000), ended: make(chan error, 1)}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			p.log <- lines.Text()
		}
		p.ended <- p.cmd.Wait()
	}()
	t.Cleanup(func() { p.cmd.Process.Kill() })
	var line struct{ Listen, Mgmt string }
	json.Unmarshal([]byte(p.logged(`"message":"serving"`)), &line)
	p.address, p.mgmt = line.Listen, line.Mgmt
	return p
}

// logged waits for a line of the log that holds the text.
func (p *program) logged(text string) string {
	p.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); {
		if line := next(p.t, p.log, "the log line "+text); strings.Contains(line, text) {
			return line
		}
	}
	p.t.Fatalf("the log line %s does not come", text)
	return ""
}

type client struct {
	t *testing.T
	*net.TCPConn
	in *bufio.Reader
}

func (p *program) client() client {
	p.t.Helper()
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		p.t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(patience))
	p.t.Cleanup(func() { c.Close() })
	return client{p.t, c.(*net.TCPConn), bufio.NewReader(c)}
}

func words(list ...string) string {
	out := fmt.Sprintf("*%d\r\n", len(list))
	for _, word := range list {
		out += fmt.Sprintf("$%d\r\n%s\r\n", len(word), word)
	}
	return out
}

func (c client) ask(list ...string) client { io.WriteString(c, words(list...)); return c }

func (c client) answers(want string) {
	c.t.Helper()
	got, err := message(c.in)
	if err != nil || len(got) != 1 || got[0] != want {
		c.t.Fatalf("the answer is %.60q, %v; want %.60q", got, err, want)
	}
}

func (c client) ends() {
	c.t.Helper()
	if rest, err := io.ReadAll(c.in); err != nil && !strings.Contains(err.Error(), "reset") || len(rest) > 0 {
		c.t.Fatalf("the connection does not end: %q, %v", rest, err)
	}
}

func none(t *testing.T, came <-chan command) {
	t.Helper()
	select {
	case c := <-came:
		t.Fatalf("a host is sent %q again", c.words)
	default:
	}
}

// with is the settings with further fields, which go before those that are there.
func with(fields string) map[string]any {
	var all, more map[string]any
	json.Unmarshal([]byte(settings), &all)
	json.Unmarshal([]byte("{"+fields+"}"), &more)
	maps.Copy(all, more)
	return map[string]any{"settings": all}
}

// limitFiles takes descriptors away from a program that runs.
func limitFiles(pid, most int) error {
	limit := syscall.Rlimit{Cur: uint64(most), Max: uint64(most)}
	_, _, failed := syscall.Syscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE,
		uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if failed != 0 {
		return failed
	}
	return nil
}

// calls makes a call at the operators' door.
func (p *program) calls(method, path string) (int, string) {
	p.t.Helper()
	call, err := http.NewRequest(method, "http://"+p.mgmt+path, nil)
	if err != nil {
		p.t.Fatal(err)
	}
	answer, err := (&http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}).Do(call)
	if err != nil {
		p.t.Fatal(err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		p.t.Fatal(err)
	}
	return answer.StatusCode, string(text)
}

// figure reads a figure until it is as wanted: answers reach clients a moment before or after they are counted.
func (p *program) figure(name string, want int) {
	p.t.Helper()
	var text string
	for end := time.Now().Add(patience); time.Now().Before(end); {
		if _, text = p.calls("GET", "/metrics"); strings.Contains("\n"+text, "\n"+name+"="+strconv.Itoa(want)+"\n") {
			return
		}
	}
	p.t.Fatalf("%s is not %d in\n%s", name, want, text)
}

var withDoor = map[string]any{"mgmt": "127.0.0.1:0", "limits": map[string]any{"cores": 0.3, "memory_mb": 32, "sockets": 256}}
