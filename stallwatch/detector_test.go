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

// Engineers on call act on the cause in the log: a paused machine, the garbage collector, a lock and a log that nobody
// reads each need a different response. Each observation must yield its cause, and parts that were delayed only because
// the whole process was must not be reported as well.
func TestEachObservationGetsItsCause(t *testing.T) {
	for _, c := range []struct {
		name        string
		observation Observation
		want        []Cause
	}{
		{"nothing", Observation{WakeupDelay: 99 * ms, Lock: 99 * ms}, nil},
		{"stopped by a signal",
			Observation{WakeupDelay: 900 * ms, CPU: 5 * ms, RunDelay: 20 * ms, IsRunDelayKnown: true, ResumeSignals: 1}, []Cause{CauseStopped}},
		{"the machine was paused",
			Observation{WakeupDelay: 900 * ms, CPU: 5 * ms, RunDelay: 20 * ms, IsRunDelayKnown: true, Steal: 890 * ms}, []Cause{CauseFrozen}},
		{"other processes ran",
			Observation{WakeupDelay: 900 * ms, CPU: 300 * ms, RunDelay: 600 * ms, IsRunDelayKnown: true}, []Cause{CauseStarved}},
		{"a kernel that does not count run delay",
			Observation{WakeupDelay: 900 * ms, CPU: 5 * ms}, []Cause{CauseNotRun}},
		{"CPU used by the process itself",
			Observation{WakeupDelay: 300 * ms, CPU: 290 * ms, IsRunDelayKnown: true}, []Cause{CauseRuntime}},
		{"a garbage collector pause with CPU time used",
			Observation{WakeupDelay: 300 * ms, CPU: 290 * ms, GCPause: 262 * ms, IsRunDelayKnown: true}, []Cause{CauseGCPause}},
		{"a garbage collector pause while other processes ran",
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

// blockingLog is a log whose writes block while its mutex is held.
type blockingLog struct {
	mu    sync.Mutex
	lines chan []byte
}

func (l *blockingLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines <- bytes.Clone(line)
	return len(line), nil
}

// nextStall waits for the next line and returns its cause and functions.
func (l *blockingLog) nextStall(t *testing.T) (cause, functions string) {
	t.Helper()
	select {
	case line := <-l.lines:
		var logged struct{ Cause, Functions string }
		if err := json.Unmarshal(line, &logged); err != nil {
			t.Fatal(err)
		}
		return logged.Cause, logged.Functions
	case <-time.After(10 * time.Second):
		t.Fatal("nothing was logged within 10 s")
		panic("unreachable")
	}
}

// holdLock holds a lock until release is closed. It polls the channel, as the detector does not report functions of
// goroutines that wait for a channel.
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

// One part of the program can stall while the rest runs: at a lock, an accepted connection, or a log that nobody reads.
// Each such stall must be logged with its cause, that of the log once the log is read again.
func TestStallsOfPartsAreLogged(t *testing.T) {
	out, lock := &blockingLog{lines: make(chan []byte, 100)}, &sync.Mutex{}
	var logWrite Timer
	log := zerolog.New(TimedWriter{out, &logWrite})
	d := New(lock, log, &logWrite)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.Run(ctx)

	release, held := make(chan struct{}), make(chan struct{})
	go holdLock(lock, release, held)
	<-held
	if cause, functions := out.nextStall(t); cause != "lock" || functions == "" {
		t.Errorf("a held lock is reported as cause %q in functions %q", cause, functions)
	}
	close(release)
	d.Accept.Begin()
	if cause, _ := out.nextStall(t); cause != "accept" {
		t.Errorf("a waiting accepted connection is reported as cause %q", cause)
	}
	d.Accept.End()
	out.mu.Lock() // Writes to the log block; the detector continues, and reports the stall afterwards.
	go log.Info().Str("cause", "a line").Msg("")
	for len(d.reporter.queue) == 0 {
		time.Sleep(ms)
		if logWrite.startedAt.Load() > 0 && nanosSinceStart()-logWrite.startedAt.Load() > int64(10*time.Second) {
			t.Fatal("a blocked log is not detected")
		}
	}
	out.mu.Unlock()
	for cause := ""; cause != "log"; {
		cause, _ = out.nextStall(t)
	}
}

// stoppedEnv is the environment variable that makes the test binary run as the process to be stopped.
const stoppedEnv = "HOLLYLEVER_WATCH_TEST"

// A CPU limiter or a person can stop the process by a signal. Requests that expire meanwhile would look like a defect
// of the balancer, so the process must report the stop when it resumes.
func TestStopBySignalIsReported(t *testing.T) {
	if os.Getenv(stoppedEnv) != "" {
		var logWrite Timer
		d := New(&sync.Mutex{}, zerolog.New(os.Stderr), &logWrite)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
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
	decoder := json.NewDecoder(output)
	var line struct {
		Cause      string
		DurationMS int `json:"duration_ms"`
	}
	if err := decoder.Decode(&line); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(400 * ms) // The stop itself.
	cmd.Process.Signal(syscall.SIGCONT)
	for line.Cause == "" || line.DurationMS < 200 {
		if err := decoder.Decode(&line); err != nil {
			t.Fatal(err)
		}
	}
	if line.Cause != string(CauseStopped) {
		t.Errorf("the stop is reported as %+v", line)
	}
}
