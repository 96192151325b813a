package fakes

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Platform holds a listening socket and a place for files that outlive each process, and starts the program on them.
type Platform struct {
	Address string
	Place   string // $TMPDIR of its processes
	File    string // the configuration

	program []string // what to run, then variables for it
	socket  *os.File
	core    int // all run on it; -1: on any
}

// Limits of a process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Setup is what a platform's processes are told.
type Setup struct {
	Name, Settings   string // empty: n1, and Settings
	Known, Discovery string
	Limits           Limits
	Core             int      // all run on it; -1: on any
	Program          string   // the path of what to run
	Variables        []string // for its environment
}

// NewPlatform makes one in an empty folder.
func NewPlatform(folder string, s Setup) (*Platform, error) {
	p := &Platform{Place: filepath.Join(folder, "tmp"), File: filepath.Join(folder, "config.json"),
		program: append([]string{s.Program}, s.Variables...), core: s.Core}
	if err := os.Mkdir(p.Place, 0o700); err != nil {
		return nil, err
	}
	text, err := json.Marshal(map[string]any{"name": cmp.Or(s.Name, "n1"), "listen": "127.0.0.1:0", "discovery": s.Discovery,
		"seed": "8c1f30d27a5be964", "limits": s.Limits, "known": json.RawMessage(s.Known),
		"settings": json.RawMessage(cmp.Or(s.Settings, Settings))})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(p.File, text, 0o600); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer l.Close()
	p.Address = l.Addr().String()
	held, err := l.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	defer held.Close()
	// Wrapped anew, so that starting a process does not change the mode that it shares with those that run.
	copied, err := unix.FcntlInt(held.Fd(), unix.F_DUPFD_CLOEXEC, 3)
	if err != nil {
		return nil, err
	}
	p.socket = os.NewFile(uintptr(copied), "listening socket")
	return p, nil
}

// Block puts the socket into the mode in which accepts wait in the kernel, for all who hold it.
func (p *Platform) Block() error { return unix.SetNonblock(int(p.socket.Fd()), false) }

// Close gives the socket back.
func (p *Platform) Close() { p.socket.Close() }

// Process is one that was started.
type Process struct {
	Cmd   *exec.Cmd
	Mgmt  string
	Ended chan struct{}
	Err   error // once Ended is closed

	mu    sync.Mutex
	log   []string
	fresh sync.Cond
}

const startFor = 10 * time.Second

// Begin starts the program and waits for nothing.
func (p *Platform) Begin() (*Process, error) {
	s := &Process{Ended: make(chan struct{})}
	s.fresh.L = &s.mu
	s.Cmd = exec.Command(p.program[0])
	s.Cmd.Env = append(os.Environ(), "LB_CONFIG="+p.File, "LB_LISTEN=", "LB_DISCOVERY=", "LB_NAME=", "TMPDIR="+p.Place,
		"LB_LISTEN_FD=3", "LB_MGMT=127.0.0.1:0")
	s.Cmd.Env = append(s.Cmd.Env, p.program[1:]...)
	s.Cmd.ExtraFiles = []*os.File{p.socket}
	stderr, err := s.Cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := onCore(p.core, s.Cmd.Start); err != nil {
		return nil, err
	}
	go func() {
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			s.mu.Lock()
			s.log = append(s.log, lines.Text())
			s.fresh.Broadcast()
			s.mu.Unlock()
		}
		s.Err = s.Cmd.Wait()
		close(s.Ended)
		s.wakeWaiting()
	}()
	return s, nil
}

// Start starts the program, and waits until it serves.
func (p *Platform) Start() (*Process, error) {
	s, err := p.Begin()
	if err != nil {
		return nil, err
	}
	line, err := s.WaitForLog(`"message":"serving"`, startFor)
	if err != nil {
		s.Cmd.Process.Kill()
		return nil, err
	}
	var said struct{ Mgmt string }
	if err := json.Unmarshal([]byte(line), &said); err != nil {
		return nil, fmt.Errorf("line %q of the log: %w", line, err)
	}
	s.Mgmt = said.Mgmt
	return s, nil
}

// wakeWaiting has WaitForLog look again. It takes the lock, as a call that is about to wait would miss it otherwise.
func (s *Process) wakeWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fresh.Broadcast()
}

// WaitForLog returns the first line of the log that holds the text, and waits for it if there is none yet.
func (s *Process) WaitForLog(text string, most time.Duration) (string, error) {
	end := time.Now().Add(most)
	timer := time.AfterFunc(most, s.wakeWaiting)
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := 0; ; s.fresh.Wait() {
		for ; n < len(s.log); n++ {
			if strings.Contains(s.log[n], text) {
				return s.log[n], nil
			}
		}
		select {
		case <-s.Ended:
			return "", fmt.Errorf("it has ended (%v) without %s", s.Cmd.ProcessState, text)
		default:
		}
		if !time.Now().Before(end) {
			return "", fmt.Errorf("the log has no %s", text)
		}
	}
}

// Log gives the lines so far that hold the text.
func (s *Process) Log(text string) (found []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, line := range s.log {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// Ready waits until its door says so.
func (s *Process) Ready(most time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if answer, err := client.Get("http://" + s.Mgmt + "/ready"); err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return errors.New("it is not ready")
}

// Stop sends SIGTERM, and SIGKILL if it has not ended after so long; it tells whether that was needed.
func (s *Process) Stop(most time.Duration) (killed bool) {
	s.Cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-s.Ended:
		return false
	case <-time.After(most):
		s.Kill()
		return true
	}
}

// Kill ends it at once.
func (s *Process) Kill() {
	s.Cmd.Process.Kill()
	<-s.Ended
}

// Upgrade starts a new process beside the old one, and once it is ready stops the old one.
func (p *Platform) Upgrade(old *Process) (young *Process, killed bool, err error) {
	if young, err = p.Start(); err != nil {
		return nil, false, err
	}
	if err = young.Ready(startFor); err != nil {
		return young, false, err
	}
	return young, old.Stop(3700 * time.Millisecond), nil // The longest hard stop and 0.7 s.
}

// CPU is what the process has used so far.
func (s *Process) CPU() (sum time.Duration) {
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", s.Cmd.Process.Pid))
	for _, task := range tasks {
		var ran int64
		if text, err := os.ReadFile(task); err == nil {
			_, _ = fmt.Sscan(string(text), &ran) // A task that has just ended counts as 0.
		}
		sum += time.Duration(ran)
	}
	return sum
}

// Descriptors counts those that a process holds open, -1 if it is gone.
func (s *Process) Descriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.Cmd.Process.Pid))
	if err != nil {
		return -1
	}
	return len(list)
}

// onCore calls a function on one core; what it starts stays there.
func onCore(core int, call func() error) error {
	if core < 0 {
		return call()
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return err
	}
	one.Set(core)
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return err
	}
	defer func() { _ = unix.SchedSetaffinity(0, &before) }()
	return call()
}

// RunBusyLoop uses a core for a part of each 20 ms, until it is stopped or the time is over.
func RunBusyLoop(core int, part float64, most time.Duration) (stop func()) {
	ended := make(chan struct{})
	go func() {
		_ = onCore(core, func() error {
			for end := time.Now().Add(most); time.Now().Before(end); {
				select {
				case <-ended:
					return nil
				default:
				}
				for began := time.Now(); time.Since(began) < time.Duration(part*float64(20*time.Millisecond)); {
				}
				time.Sleep(time.Duration((1 - part) * float64(20*time.Millisecond)))
			}
			return nil
		})
	}()
	return sync.OnceFunc(func() { close(ended) })
}
