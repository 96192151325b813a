package server

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"hollylever/fakes"
	"hollylever/fakes/syscalls"
)

// The tests start the program itself (this binary, by a variable) and speak to it over loopback, between clients,
// cache hosts and a discovery of their own.
const programVariable = "HOLLYLEVER_TEST_AS_PROGRAM"

const testTimeout = 20 * time.Second // for anything that has to come

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		if err := syscalls.Install(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		Main(nil)
		os.Exit(0)
	}
	if os.Getenv(crowdVariable) != "" {
		runAsCrowd()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const defaultSettings = fakes.Settings

// The stand-ins, under the names that the tests use.
type (
	command = fakes.Command
	call    = fakes.Call
)

const unavailable = fakes.Unavailable

var encodeCommand, valueReply, valueReplyStart, endpointList, readMessage = fakes.EncodeCommand, fakes.ValueReply, fakes.ValueReplyStart, fakes.List, fakes.ReadMessage

func listEntry(name, address, status string) string { return fakes.Entry(name, address, status) }

// startHost is a scripted cache host.
func startHost(t *testing.T) (string, <-chan command) {
	h, err := fakes.Scripted()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h.Address, h.Commands
}

func receive[T any](t *testing.T, from <-chan T, what string) T {
	t.Helper()
	select {
	case x := <-from:
		return x
	case <-time.After(testTimeout):
		t.Fatalf("%s does not come", what)
		panic("unreachable")
	}
}

func startDiscovery(t *testing.T) (string, <-chan call) {
	d := fakes.ScriptedDiscovery()
	t.Cleanup(d.Close)
	return d.Address, d.Calls
}

type program struct {
	t       *testing.T
	file    string
	cmd     *exec.Cmd
	address string
	mgmt    string // the operators' door
	place   string // its $TMPDIR, where a test needs it
	log     chan string
	exited  chan error
}

// configurationFile writes a good configuration with changes; a nil takes a field out.
func configurationFile(t *testing.T, changes map[string]any) string {
	all := map[string]any{"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": json.RawMessage(defaultSettings), "known": json.RawMessage(endpointList(0, true))}
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

func programCommand(file string, variables ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), programVariable+"=1", "LB_CONFIG="+file, "LB_LISTEN=", "LB_DISCOVERY=", "LB_NAME=", "TMPDIR=")
	cmd.Env = append(cmd.Env, variables...)
	return cmd
}

func startProgram(t *testing.T, known string, changes map[string]any, variables ...string) *program {
	t.Helper()
	all := map[string]any{"known": json.RawMessage(known)}
	for field, value := range changes {
		all[field] = value
	}
	file := configurationFile(t, all)
	return startCommand(t, file, programCommand(file, variables...))
}

func startCommand(t *testing.T, file string, cmd *exec.Cmd) *program {
	t.Helper()
	return startCommandBy(t, file, cmd, cmd.Start)
}

// startCommandBy is started with another way to start the command.
func startCommandBy(t *testing.T, file string, cmd *exec.Cmd, start func() error) *program {
	t.Helper()
	p := launchBy(t, file, cmd, start)
	var line struct{ Listen, Mgmt string }
	json.Unmarshal([]byte(p.waitForLog(`"message":"serving"`)), &line)
	p.address, p.mgmt = line.Listen, line.Mgmt
	return p
}

// launch starts the program and waits for nothing.
func launch(t *testing.T, file string, cmd *exec.Cmd) *program {
	t.Helper()
	return launchBy(t, file, cmd, cmd.Start)
}

func launchBy(t *testing.T, file string, cmd *exec.Cmd, start func() error) *program {
	t.Helper()
	p := &program{t: t, file: file, cmd: cmd, log: make(chan string, 10000), exited: make(chan error, 1)}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			p.log <- lines.Text()
		}
		p.exited <- p.cmd.Wait()
	}()
	t.Cleanup(func() { p.cmd.Process.Kill() })
	return p
}

// logged waits for a line of the log that holds the text.
func (p *program) waitForLog(text string) string {
	p.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		if line := receive(p.t, p.log, "the log line "+text); strings.Contains(line, text) {
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

func (p *program) connect() client {
	p.t.Helper()
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		p.t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(testTimeout))
	p.t.Cleanup(func() { c.Close() })
	return client{p.t, c.(*net.TCPConn), bufio.NewReader(c)}
}

func (c client) send(list ...string) client { io.WriteString(c, encodeCommand(list...)); return c }

func (c client) expectReply(want string) {
	c.t.Helper()
	got, err := readMessage(c.in)
	if err != nil || len(got) != 1 || got[0] != want {
		c.t.Fatalf("the answer is %.60q, %v; want %.60q", got, err, want)
	}
}

func (c client) expectClose() {
	c.t.Helper()
	if rest, err := io.ReadAll(c.in); err != nil && !strings.Contains(err.Error(), "reset") || len(rest) > 0 {
		c.t.Fatalf("the connection does not end: %q, %v", rest, err)
	}
}

func expectNoCommand(t *testing.T, came <-chan command) {
	t.Helper()
	select {
	case c := <-came:
		t.Fatalf("a host is sent %q again", c.Words)
	default:
	}
}

// settingsWith is the settings with further fields, which go before those that are there.
func settingsWith(fields string) map[string]any {
	var all, more map[string]any
	json.Unmarshal([]byte(defaultSettings), &all)
	json.Unmarshal([]byte("{"+fields+"}"), &more)
	maps.Copy(all, more)
	return map[string]any{"settings": all}
}

// limitDescriptors takes descriptors away from a program that runs.
func limitDescriptors(pid, most int) error {
	limit := syscall.Rlimit{Cur: uint64(most), Max: uint64(most)}
	_, _, failed := syscall.Syscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE,
		uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if failed != 0 {
		return failed
	}
	return nil
}

// adminRequest makes a call at the operators' door.
func (p *program) adminRequest(method, path string) (int, string) {
	p.t.Helper()
	call, err := http.NewRequest(method, "http://"+p.mgmt+path, nil)
	if err != nil {
		p.t.Fatal(err)
	}
	answer, err := (&http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}).Do(call)
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

// waitForMetric reads a figure until it is as wanted: answers reach clients a moment before or after they are counted.
func (p *program) waitForMetric(name string, want int) {
	p.t.Helper()
	var text string
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		if _, text = p.adminRequest("GET", "/metrics"); strings.Contains("\n"+text, "\n"+name+"="+strconv.Itoa(want)+"\n") {
			return
		}
	}
	p.t.Fatalf("%s is not %d in\n%s", name, want, text)
}

var withAdminEndpoint = map[string]any{"mgmt": "127.0.0.1:0", "limits": map[string]any{"cores": 0.3, "memory_mb": 32, "sockets": 256}}
