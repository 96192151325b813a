package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hollylever/fakes"
)

var program string // the real one, built for the tests

func TestMain(m *testing.M) {
	os.Exit(func() int {
		place, err := os.MkdirTemp("", "hollylab-test-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(place)
		program = filepath.Join(place, "hollylever")
		if out, err := exec.Command("go", "build", "-o", place, "hollylever/cmd/hollylever", "hollylever/cmd/hollyfleet").CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
			return 1
		}
		return m.Run()
	}())
}

// running counts processes of the program.
func running() (n int) {
	all, _ := filepath.Glob("/proc/[0-9]*/exe")
	for _, exe := range all {
		if at, err := os.Readlink(exe); err == nil && at == program {
			n++
		}
	}
	return n
}

func short(t *testing.T, trouble string) plan {
	p := plan{program: program, over: 2500 * time.Millisecond, rate: 300, keys: 500, seed: 1, at: 300 * time.Millisecond, every: 100 * time.Millisecond,
		view: shows(io.Discard, true)}
	for _, one := range troubles {
		if one.name == trouble {
			p.trouble = one
			return p
		}
	}
	t.Fatal("no trouble", trouble)
	return p
}

// A host that dies in the first second, and processes that are replaced, break no rule; nothing of it is left.
func TestDemoKeepsTheRules(t *testing.T) {
	for _, trouble := range []string{"crash", "upgrade", "cut", "pause"} {
		v, err := play(context.Background(), short(t, trouble))
		if err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		if v.print(&out); v.broken() || v.figures.Settled < v.figures.Asked*8/10 {
			t.Errorf("%s: %s", trouble, out.String())
		}
		if n := running(); n > 0 {
			t.Errorf("%s: %d processes are left", trouble, n)
		}
	}
}

// Whatever is broken on purpose is found by the verdict, each by its own rule.
func TestBrokenRulesAreFound(t *testing.T) {
	p := short(t, "none")
	p.over = 4 * time.Second
	p.town = func(w *town) {
		for n := range 2 { // An effect twice: the same one-shot straight to two hosts.
			c, err := net.Dial("tcp", w.hosts[n].Address)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			io.WriteString(c, fakes.EncodeCommand("C.SET", "k", "the same", "c=book,d=1000", "v"))
		}
		w.hosts[6].SetEjected(true) // Ejected, and nobody is told.
		time.AfterFunc(2*time.Second, func() { w.processes[2].Cmd.Process.Kill() })
	}
	v, err := play(context.Background(), p)
	if err != nil {
		t.Fatal(err)
	}
	if v.twice != 1 || v.late == 0 || v.lost == 0 || len(v.wrong) != 1 || v.pushed != 0 {
		t.Errorf("%+v", v)
	}
	var out bytes.Buffer
	v.print(&out)
	for _, want := range []string{"BROKEN  no retrieval lost", "BROKEN  no effect twice", "BROKEN  drains kept", "kept    no cold host", "WRONG   balancer 3 ended with signal: killed"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the verdict has no %q:\n%s", want, out.String())
		}
	}
}

// Ctrl-C, at the start too, leaves no process, no port and no file behind.
func TestInterruptedLeavesNothing(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	for _, after := range []time.Duration{0, 50 * time.Millisecond, 700 * time.Millisecond} {
		ctx, end := context.WithCancel(context.Background())
		stop := time.AfterFunc(after, end)
		var out, wrong bytes.Buffer
		code := commands(ctx, []string{"demo", "--hollylever", program, "--for=30s", "--trouble=upgrade"}, &out, &wrong)
		stop.Stop()
		end()
		if code != exitEnded || !strings.Contains(wrong.String(), "interrupted") {
			t.Errorf("after %v: %d, %s", after, code, wrong.String())
		}
		left, _ := os.ReadDir(os.TempDir())
		if n := running(); n > 0 || len(left) > 0 {
			t.Errorf("after %v: %d processes and %v are left", after, n, left)
		}
	}
}

func TestWrongUse(t *testing.T) {
	for want, words := range map[string][]string{"is none of": {"demo", "--trouble=rain"}, "not from 1s": {"demo", "--for=1ms"}, "not on loopback": {"load", "--to=192.0.2.1:80"},
		"not an address": {"load"}, "unknown command": {"dem"}, "needs a command": {}, "no such file": {"demo", "--hollylever=/nowhere"}} {
		var out, wrong bytes.Buffer
		if code := commands(context.Background(), words, &out, &wrong); code == 0 || !strings.Contains(wrong.String(), want) || strings.Count(wrong.String(), "\n") != 1 {
			t.Errorf("%v: %d, %q", words, code, wrong.String())
		}
	}
}

// load counts what it is answered, from when each was to be asked.
func TestLoad(t *testing.T) {
	origin := fakes.NewOrigin(time.Millisecond, 8)
	h, err := fakes.NewHost("s", origin, fakes.HostOptions{ServiceTime: time.Millisecond, Concurrency: 8, QueueLength: 100})
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	goOn := h.Hang()
	time.AfterFunc(400*time.Millisecond, goOn) // What should have been asked meanwhile has waited.
	ctx, end := context.WithTimeout(context.Background(), time.Second)
	defer end()
	clients := fakes.Ask(ctx, h.Address, fakes.Load{Rate: 100, Keys: 50, Seed: 9, Patience: 3 * time.Second, Books: 0.2, Reports: 0.2})
	f := clients.Wait()
	if sum := f.Settled + f.Wrong + f.Late + f.Door + f.Dismissed + f.GivenUp; sum != f.Asked || f.Asked < 90 {
		t.Errorf("%+v", f)
	}
	if most := merged([]*fakes.Clients{clients}, 0).Max(); most < 300_000 {
		t.Errorf("a standstill of 400 ms shows as %d us", most)
	}
}
