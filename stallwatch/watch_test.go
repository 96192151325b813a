package stallwatch

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

const ms = time.Millisecond

func TestCausesAreToldApart(t *testing.T) {
	for _, c := range []struct {
		what string
		gap  Gap
		want []Cause
	}{
		{"nothing", Gap{Beat: 99 * ms, Lock: 99 * ms}, nil},
		{"stopped by a signal", Gap{Beat: 900 * ms, CPU: 5 * ms, Waited: 20 * ms, Known: true, Resumed: 1}, []Cause{Stopped}},
		{"the machine under it", Gap{Beat: 900 * ms, CPU: 5 * ms, Waited: 20 * ms, Known: true, Stolen: 890 * ms}, []Cause{Frozen}},
		{"others ran", Gap{Beat: 900 * ms, CPU: 300 * ms, Waited: 600 * ms, Known: true}, []Cause{Starved}},
		{"no word of the kernel's", Gap{Beat: 900 * ms, CPU: 5 * ms}, []Cause{NotRun}},
		{"its own work", Gap{Beat: 300 * ms, CPU: 290 * ms, Known: true}, []Cause{Runtime}},
		{"a collector that ran", Gap{Beat: 300 * ms, CPU: 290 * ms, Pause: 262 * ms, Known: true}, []Cause{Collector}},
		{"a collector that was not run", Gap{Beat: 300 * ms, CPU: 9 * ms, Waited: 280 * ms, Pause: 262 * ms, Known: true}, []Cause{Starved}},
		{"the lock", Gap{Beat: 2 * ms, Lock: 400 * ms}, []Cause{Lock}},
		{"all waits of a program that did not run", Gap{Beat: 400 * ms, Waited: 390 * ms, Lock: 410 * ms, Accept: 420 * ms, Log: 400 * ms,
			Known: true}, []Cause{Starved}},
		{"and a lock beside", Gap{Beat: 100 * ms, Waited: 90 * ms, Lock: 410 * ms, Known: true}, []Cause{Starved, Lock}},
		{"an accept and the log", Gap{Accept: 120 * ms, Log: 130 * ms}, []Cause{Accept, Log}},
	} {
		var got []Cause
		for _, f := range Judge(c.gap, Over) {
			got = append(got, f.Cause)
		}
		if len(got) != len(c.want) || len(got) > 0 && got[0] != c.want[0] || len(got) > 1 && got[1] != c.want[1] {
			t.Errorf("%s: %v, want %v", c.what, got, c.want)
		}
	}
}

// lines is a log that can be made to stand still.
type lines struct {
	mu   sync.Mutex
	seen chan []byte
}

func (l *lines) Write(text []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen <- bytes.Clone(text)
	return len(text), nil
}

func (l *lines) cause(t *testing.T) (string, string) {
	t.Helper()
	select {
	case line := <-l.seen:
		var said struct{ Cause, Where string }
		if err := json.Unmarshal(line, &said); err != nil {
			t.Fatal(err)
		}
		return said.Cause, said.Where
	case <-time.After(10 * time.Second):
		t.Fatal("nothing is said")
		panic("unreachable")
	}
}

func holds(lock *sync.Mutex, until <-chan struct{}, held chan<- struct{}) {
	lock.Lock()
	close(held)
	for done := false; !done; {
		select {
		case <-until:
			done = true
		default:
			time.Sleep(ms)
		}
	}
	lock.Unlock()
}

// Each is caused, and only what was caused is said of it.
func TestStandstillsAreSaid(t *testing.T) {
	out, module := &lines{seen: make(chan []byte, 100)}, &sync.Mutex{}
	var wrote Timer
	log := zerolog.New(TimedWriter{out, &wrote})
	w := New(module, log, &wrote)
	ctx, end := context.WithCancel(context.Background())
	defer end()
	go w.Run(ctx)

	free, held := make(chan struct{}), make(chan struct{})
	go holds(module, free, held)
	<-held
	if cause, where := out.cause(t); cause != "lock" || where == "" {
		t.Errorf("a lock that is held: %q at %q", cause, where)
	}
	close(free)
	w.Accept.Begin()
	if cause, _ := out.cause(t); cause != "accept" {
		t.Errorf("an accept in hand: %q", cause)
	}
	w.Accept.End()
	out.mu.Lock() // The log takes nothing; the beat goes on, and says so afterwards.
	go log.Info().Str("cause", "a line").Msg("")
	for len(w.lines) == 0 {
		time.Sleep(ms)
		if wrote.since.Load() > 0 && clock()-wrote.since.Load() > int64(10*time.Second) {
			t.Fatal("a log that takes nothing is not seen")
		}
	}
	out.mu.Unlock()
	for cause := ""; cause != "log"; {
		cause, _ = out.cause(t)
	}
}

const asStopped = "HOLLYLEVER_WATCH_TEST"

// A process that is stopped from outside says so once it goes on.
func TestStoppedFromOutside(t *testing.T) {
	if os.Getenv(asStopped) != "" {
		var wrote Timer
		w := New(&sync.Mutex{}, zerolog.New(os.Stderr), &wrote)
		ctx, end := context.WithTimeout(context.Background(), 20*time.Second)
		defer end()
		go func() { time.Sleep(4 * beatEvery); os.Stderr.WriteString("{}\n") }()
		w.Run(ctx)
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run=TestStoppedFromOutside$")
	cmd.Env = append(os.Environ(), asStopped+"=1")
	said, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Wait()
	defer cmd.Process.Kill()
	read := json.NewDecoder(said)
	var line struct {
		Cause string
		ForMS int `json:"for_ms"`
	}
	if err := read.Decode(&line); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(400 * ms) // The standstill itself.
	cmd.Process.Signal(syscall.SIGCONT)
	for line.Cause == "" || line.ForMS < 200 {
		if err := read.Decode(&line); err != nil {
			t.Fatal(err)
		}
	}
	if line.Cause != string(Stopped) {
		t.Errorf("it says %+v", line)
	}
}
