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

// Whoever is on call looks for the cause that the log names. A machine that did not run, a collector, a lock and a log
// that nobody reads need different people: each observation gets its cause, and what was late because the whole process
// was is not named beside it.
func TestEachObservationGetsItsCause(t *testing.T) {
	for _, c := range []struct {
		name        string
		observation Observation
		want        []Cause
	}{
		{"nothing", Observation{WakeupDelay: 99 * ms, Lock: 99 * ms}, nil},
		{"stopped by a signal",
			Observation{WakeupDelay: 900 * ms, CPU: 5 * ms, RunDelay: 20 * ms, IsRunDelayKnown: true, ResumeSignals: 1}, []Cause{CauseStopped}},
		{"the machine stood still",
			Observation{WakeupDelay: 900 * ms, CPU: 5 * ms, RunDelay: 20 * ms, IsRunDelayKnown: true, Steal: 890 * ms}, []Cause{CauseFrozen}},
		{"other processes ran",
			Observation{WakeupDelay: 900 * ms, CPU: 300 * ms, RunDelay: 600 * ms, IsRunDelayKnown: true}, []Cause{CauseStarved}},
		{"a kernel that does not count run delay",
			Observation{WakeupDelay: 900 * ms, CPU: 5 * ms}, []Cause{CauseNotRun}},
		{"work of its own",
			Observation{WakeupDelay: 300 * ms, CPU: 290 * ms, IsRunDelayKnown: true}, []Cause{CauseRuntime}},
		{"a collector that ran",
			Observation{WakeupDelay: 300 * ms, CPU: 290 * ms, GCPause: 262 * ms, IsRunDelayKnown: true}, []Cause{CauseGCPause}},
		{"a collector that did not run",
			Observation{WakeupDelay: 300 * ms, CPU: 9 * ms, RunDelay: 280 * ms, GCPause: 262 * ms, IsRunDelayKnown: true}, []Cause{CauseStarved}},
		{"the lock is held",
			Observation{WakeupDelay: 2 * ms, Lock: 400 * ms}, []Cause{CauseLock}},
		{"everything late in a process that did not run",
			Observation{WakeupDelay: 400 * ms, RunDelay: 390 * ms, Lock: 410 * ms, Accept: 420 * ms, Log: 400 * ms, IsRunDelayKnown: true},
			[]Cause{CauseStarved}},
		{"a lock held for longer than the process did not run",
			Observation{WakeupDelay: 100 * ms, RunDelay: 90 * ms, Lock: 410 * ms, IsRunDelayKnown: true}, []Cause{CauseStarved, CauseLock}},
		{"an accepted connection and the log",
			Observation{Accept: 120 * ms, Log: 130 * ms}, []Cause{CauseAccept, CauseLog}},
	} {
		var got []Cause
		for _, stall := range Diagnose(c.observation, DefaultThreshold) {
			got = append(got, stall.Cause)
		}
		if len(got) != len(c.want) || len(got) > 0 && got[0] != c.want[0] || len(got) > 1 && got[1] != c.want[1] {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// blockableLog is a log that takes nothing while its lock is held.
type blockableLog struct {
	mu    sync.Mutex
	lines chan []byte
}

func (l *blockableLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines <- bytes.Clone(line)
	return len(line), nil
}

// nextStall returns the next line's cause, and the functions that it names.
func (l *blockableLog) nextStall(t *testing.T) (cause, functions string) {
	t.Helper()
	select {
	case line := <-l.lines:
		var logged struct{ Cause, Functions string }
		if err := json.Unmarshal(line, &logged); err != nil {
			t.Fatal(err)
		}
		return logged.Cause, logged.Functions
	case <-time.After(10 * time.Second):
		t.Fatal("nothing is logged")
		panic("unreachable")
	}
}

// holdLock holds a lock until it is told to release it, without waiting for a channel.
func holdLock(lock *sync.Mutex, release <-chan struct{}, held chan<- struct{}) {
	lock.Lock()
	close(held)
	for isReleased := false; !isReleased; {
		select {
		case <-release:
			isReleased = true
		default:
			time.Sleep(ms)
		}
	}
	lock.Unlock()
}

// A part of the program is held up while the rest runs: a lock, an accepted connection, a log that nobody reads. Each
// is caused here, and has to be logged with its cause; the last one once the log is read again.
func TestStallsOfPartsAreLogged(t *testing.T) {
	out, lock := &blockableLog{lines: make(chan []byte, 100)}, &sync.Mutex{}
	var logWrite Timer
	log := zerolog.New(TimedWriter{out, &logWrite})
	d := New(lock, log, &logWrite)
	ctx, end := context.WithCancel(context.Background())
	defer end()
	go d.Run(ctx)

	release, held := make(chan struct{}), make(chan struct{})
	go holdLock(lock, release, held)
	<-held
	if cause, functions := out.nextStall(t); cause != "lock" || functions == "" {
		t.Errorf("a lock that is held: %q in %q", cause, functions)
	}
	close(release)
	d.Accept.Begin()
	if cause, _ := out.nextStall(t); cause != "accept" {
		t.Errorf("an accept in hand: %q", cause)
	}
	d.Accept.End()
	out.mu.Lock() // The log takes nothing; the detector goes on, and reports it afterwards.
	go log.Info().Str("cause", "a line").Msg("")
	for len(d.reporter.queue) == 0 {
		time.Sleep(ms)
		if logWrite.startedAt.Load() > 0 && nanosSinceStart()-logWrite.startedAt.Load() > int64(10*time.Second) {
			t.Fatal("a log that takes nothing is not detected")
		}
	}
	out.mu.Unlock()
	for cause := ""; cause != "log"; {
		cause, _ = out.nextStall(t)
	}
}

// stoppedEnv makes the test binary the process that is stopped.
const stoppedEnv = "HOLLYLEVER_WATCH_TEST"

// A limit on CPU time, or a person, stops the process by a signal. Requests expire meanwhile, and without its cause
// they would look like a defect of the balancer: the process reports the stop once it goes on.
func TestStopBySignalIsReported(t *testing.T) {
	if os.Getenv(stoppedEnv) != "" {
		var logWrite Timer
		d := New(&sync.Mutex{}, zerolog.New(os.Stderr), &logWrite)
		ctx, end := context.WithTimeout(context.Background(), 20*time.Second)
		defer end()
		go func() { time.Sleep(4 * wakeupInterval); os.Stderr.WriteString("{}\n") }()
		d.Run(ctx)
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run=TestStopBySignalIsReported$")
	cmd.Env = append(os.Environ(), stoppedEnv+"=1")
	output, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Wait()
	defer cmd.Process.Kill()
	read := json.NewDecoder(output)
	var line struct {
		Cause      string
		DurationMS int `json:"duration_ms"`
	}
	if err := read.Decode(&line); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(400 * ms) // The stop itself.
	cmd.Process.Signal(syscall.SIGCONT)
	for line.Cause == "" || line.DurationMS < 200 {
		if err := read.Decode(&line); err != nil {
			t.Fatal(err)
		}
	}
	if line.Cause != string(CauseStopped) {
		t.Errorf("it reports %+v", line)
	}
}
