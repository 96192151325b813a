package server

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// SIGTERM comes while one client waits for a reply, one is idle and one has sent half a command, and another still
// connects: each request has its reply, all connections are closed, and the process exits with 0.
func TestShutdown(t *testing.T) {
	at, came := startHost(t)
	p := startProgram(t, endpointList(0, true, listEntry("s", at, "Ready")), nil)
	busy, idle, half := p.connect(), p.connect(), p.connect()
	idle.send("PING").expectReply("+PONG")
	io.WriteString(half, "*4\r\n$5\r\nC.G")
	busy.send("C.GET", "k", "1", "c=read,t=acme,d=3000")
	first := receive(t, came, "the retrieval")
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.waitForLog("stopping")
	late := p.connect().send("C.GET", "k", "2", "c=read,t=acme,d=3000")
	second := receive(t, came, "the straggler's retrieval")
	idle.expectClose()
	half.expectClose()
	first.Reply(valueReply("1"))
	second.Reply(valueReply("2"))
	busy.expectReply("1")
	late.expectReply("2")
	busy.expectClose()
	late.expectClose()
	if err := receive(t, p.exited, "the end"); err != nil {
		t.Fatal(err)
	}
	p.waitForLog(`"all_answered":true`)
}

// A client keeps requesting on a connection that always has a request in flight. After SIGTERM it ends all the same,
// with a reply to each accepted request: what would be too late is rejected at once.
func TestShutdownWithClientsThatKeepRequesting(t *testing.T) {
	t.Parallel()
	at, _ := startHost(t) // It hangs: each retrieval lasts for all of its time.
	p := startProgram(t, endpointList(0, true, listEntry("s", at, "Ready")), settingsWith(`"workloads":[{"name":"read","effect":"free","group":"all","expectedTime":300,
		"hardStop":400,"value":1,"tardyValue":0}]`))
	c := p.connect()
	asks, stop := make(chan int), make(chan struct{})
	go func() {
		n := 0
		for tick := time.NewTicker(20 * time.Millisecond); ; n++ {
			select {
			case <-tick.C:
				if _, err := io.WriteString(c, encodeCommand("C.GET", "k", fmt.Sprint(n), "c=read,t=acme,d=400")); err == nil {
					continue
				}
			case <-stop:
			}
			asks <- n
			return
		}
	}()
	for range 3 {
		if got, err := readMessage(c.in); err != nil || got[0] != "-BUSY" {
			t.Fatalf("%q, %v", got, err)
		}
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	answers := 3
	for {
		got, err := readMessage(c.in)
		if err != nil {
			break // Its end crossed what the client had written by then.
		}
		if answers++; got[0] != "-BUSY" && got[0] != "-ERR given up" {
			t.Fatalf("%q", got)
		}
	}
	close(stop)
	t.Logf("%d of %d have an answer", answers, <-asks)
	p.waitForLog(`"all_answered":true,"cut_off":0`)
	if err := receive(t, p.exited, "the end"); err != nil {
		t.Error(err)
	}
}

// Operators and the platform send signals in any order: the process exits with 0 after the line `stopped`, and later
// signals change nothing.
func TestSignalsInAnyOrder(t *testing.T) {
	for _, c := range []struct {
		name    string
		signals []os.Signal
	}{
		{"twice", []os.Signal{syscall.SIGTERM, syscall.SIGTERM}},
		{"with SIGHUP before", []os.Signal{syscall.SIGHUP, syscall.SIGTERM}},
		{"with SIGHUP twice before", []os.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM}},
		{"with SIGHUP between and behind", []os.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP}},
		{"with an interrupt", []os.Signal{os.Interrupt, syscall.SIGTERM}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			at, came := startHost(t)
			p := startProgram(t, endpointList(0, true, listEntry("s", at, "Ready")), nil)
			client := p.connect().send("C.GET", "k", "1", "c=read,t=acme,d=3000")
			h := receive(t, came, "the retrieval")
			for _, s := range c.signals {
				p.cmd.Process.Signal(s)
			}
			p.waitForLog("stopping")
			p.cmd.Process.Signal(syscall.SIGTERM)
			h.Reply(valueReply("v"))
			client.expectReply("v")
			client.expectClose()
			if line := p.waitForLog(`"message":"stopped"`); !strings.Contains(line, `"all_answered":true`) {
				t.Error(line)
			}
			if err := receive(t, p.exited, "the end"); err != nil {
				t.Error(err)
			}
		})
	}
}

// SIGTERM comes while the process reads its configuration (a pipe that the test fills after the signal): it starts, and
// shuts down at once.
func TestShutdownDuringStart(t *testing.T) {
	t.Parallel()
	good, err := os.ReadFile(configurationFile(t, nil))
	if err != nil {
		t.Fatal(err)
	}
	pipe := filepath.Join(t.TempDir(), "config.json")
	if err := unix.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	p := launch(t, pipe, programCommand(pipe))
	into, err := os.OpenFile(pipe, os.O_WRONLY, 0) // Until it reads.
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	into.Write(good)
	into.Close()
	p.waitForLog(`"message":"serving"`)
	p.waitForLog("stopping")
	p.waitForLog(`"all_answered":true`)
	if err := receive(t, p.exited, "the end"); err != nil {
		t.Error(err)
	}
}

// The process is killed with a request in flight and started again at the same address, with a list in which one host
// is gone: it serves at once.
func TestRestartAfterKill(t *testing.T) {
	at, came := startHost(t)
	p := startProgram(t, endpointList(0, true, listEntry("s", at, "Ready")), nil)
	c := p.connect().send("C.GET", "k", "1", "c=read,t=acme,d=3000")
	receive(t, came, "the retrieval")
	p.cmd.Process.Kill()
	receive(t, p.exited, "the end")
	c.expectClose()
	p = startProgram(t, endpointList(0, true, listEntry("gone", "127.0.0.1:1", "Gone"), listEntry("s", at, "Ready")), map[string]any{"listen": p.address})
	c = p.connect().send("C.GET", "k", "2", "c=read,t=acme,d=3000")
	receive(t, came, "the retrieval").Reply(valueReply("v"))
	c.expectReply("v")
}
