package soak

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"hollylever/fakes"
	loopback "hollylever/fakes/between"
)

// Program is how the program under test is started.
type Program struct {
	Path      string
	Variables []string
	// Start starts a process so that its system calls can be made to fail; nil: they can't.
	Start func(*exec.Cmd) (SystemFaults, error)
}

// SystemFaults makes system calls of one process fail.
type SystemFaults interface {
	Fail(kind Kind, chance float64) // from now on; 0: no more
	Close()
}

const (
	readyWithin = 10 * time.Second
	killAfter   = 700 * time.Millisecond // the longest deadline and so long after SIGTERM comes SIGKILL
	killCap     = 3 * time.Second        // the longest deadline counts as so much there at most
	keptLines   = 400                    // of a process's log
)

// process is one balancer at an address that outlasts its restarts.
type process struct {
	index   int
	program Program
	file    string
	address string

	mu         sync.Mutex
	cmd        *exec.Cmd
	faults     SystemFaults
	exited     chan struct{}
	inRotation bool // clients make new connections to it
	isStopping bool
	log        []string
	crashes    []string
}

// newProcess writes the configuration of a process and starts it.
func newProcess(index int, plan Plan, program Program, folder, known, discovery string) (*process, error) {
	address, err := loopback.Free()
	if err != nil {
		return nil, err
	}
	p := &process{index: index, program: program, file: filepath.Join(folder, fmt.Sprintf("process-%d.json", index)), address: address}
	sockets := 1024
	if plan.Crowd > 0 {
		sockets = 256
	}
	text, err := json.Marshal(map[string]any{"name": fmt.Sprint("n", index), "listen": address, "discovery": discovery,
		"seed": fmt.Sprintf("%016x", plan.Seed*31+uint64(index)+1), "limits": map[string]any{"cores": 1.0, "memory_mb": 96, "sockets": sockets},
		"known": json.RawMessage(known), "settings": json.RawMessage(settings(plan))})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(p.file, text, 0o600); err != nil {
		return nil, err
	}
	return p, p.start()
}

// settings are the usual ones with the plan's deadline.
func settings(plan Plan) string {
	ms := plan.Deadline.Milliseconds()
	text := strings.ReplaceAll(fakes.Settings, `"hardStop":3000`, fmt.Sprintf(`"hardStop":%d`, ms))
	text = strings.ReplaceAll(text, `"expectedTime":5000`, fmt.Sprintf(`"expectedTime":%d`, ms*2/5))
	return strings.Replace(text, `"balancers":1`, fmt.Sprintf(`"balancers":%d`, plan.Processes), 1)
}

// start starts the program and waits until it answers PING.
func (p *process) start() error {
	cmd := exec.Command(p.program.Path)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+p.file, "LB_LISTEN=", "LB_DISCOVERY=", "LB_NAME=", "TMPDIR=")
	cmd.Env = append(cmd.Env, p.program.Variables...)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	var faults SystemFaults
	if p.program.Start != nil {
		faults, err = p.program.Start(cmd)
	} else {
		err = cmd.Start()
	}
	if err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.faults, p.exited, p.isStopping = cmd, faults, exited, false
	p.mu.Unlock()
	go p.wait(cmd, stderr, exited, faults)
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if p.ping() {
			p.rotate(true)
			return nil
		}
	}
	return fmt.Errorf("process %d is not ready within %v", p.index, readyWithin)
}

// wait keeps the log until the process has ended, and notes a crash.
func (p *process) wait(cmd *exec.Cmd, stderr io.Reader, exited chan struct{}, faults SystemFaults) {
	for lines := bufio.NewScanner(stderr); lines.Scan(); {
		p.mu.Lock()
		if p.log = append(p.log, lines.Text()); len(p.log) > keptLines {
			p.log = p.log[len(p.log)-keptLines:]
		}
		p.mu.Unlock()
	}
	err := cmd.Wait()
	p.mu.Lock()
	if state := cmd.ProcessState; !p.isStopping || state.ExitCode() > 0 {
		p.crashes = append(p.crashes, fmt.Sprintf("process %d ended: %v, %v", p.index, state, err))
	}
	p.mu.Unlock()
	if faults != nil {
		faults.Close()
	}
	close(exited)
}

func (p *process) ping() bool {
	c, err := net.DialTimeout("tcp", p.address, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(c, fakes.EncodeCommand("PING"))
	answer := make([]byte, 7)
	_, err = io.ReadFull(c, answer)
	return err == nil && string(answer) == "+PONG\r\n"
}

func (p *process) rotate(in bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inRotation = in
}

func (p *process) isInRotation() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inRotation
}

func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd.Process.Signal(s)
}

// fail has system calls of the process fail.
func (p *process) fail(kind Kind, chance float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults != nil {
		p.faults.Fail(kind, chance)
	}
}

// stop sends SIGTERM, takes the process out of rotation some time after, and sends SIGKILL as early as the protocol allows.
func (p *process) stop(deadline time.Duration, chance *rand.Rand) {
	p.mu.Lock()
	p.isStopping = true
	exited := p.exited
	p.cmd.Process.Signal(syscall.SIGTERM)
	told := time.Now()
	p.mu.Unlock()
	kill := time.NewTimer(min(deadline, killCap) + killAfter)
	defer kill.Stop()
	time.Sleep(between(chance, 200*time.Millisecond, 400*time.Millisecond) - time.Since(told))
	p.rotate(false)
	<-kill.C
	p.signal(syscall.SIGKILL)
	<-exited
}

// holdUp stops the process for a while.
func (p *process) holdUp(span time.Duration) {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd.Process.Signal(syscall.SIGSTOP) != nil {
		return
	}
	time.Sleep(span)
	if err := cmd.Process.Signal(syscall.SIGCONT); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.mu.Lock()
		p.crashes = append(p.crashes, err.Error())
		p.mu.Unlock()
	}
}
