package server

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"hollylever/fakes"
)

const fewDescriptors = 64 // the least that limits.sockets may say

// startWithDescriptors starts the program where the system allows it so many descriptors; 0: as many as it likes.
func startWithDescriptors(t *testing.T, file string, openFiles int) *program {
	t.Helper()
	cmd := programCommand(file, "TMPDIR="+t.TempDir())
	if openFiles > 0 {
		limited := exec.Command("/bin/sh", "-c", "ulimit -n "+strconv.Itoa(openFiles)+` && exec "$0"`, cmd.Path)
		limited.Env = cmd.Env
		cmd = limited
	}
	return startCommand(t, file, cmd)
}

// connectIdleClients connects idle clients, each of which has shown itself a usual one, until no more are served.
func (p *program) connectIdleClients(count int) (clients []net.Conn) {
	p.t.Helper()
	for range count {
		c, err := net.Dial("tcp", p.address)
		if err != nil {
			p.t.Fatal(err)
		}
		p.t.Cleanup(func() { c.Close() })
		io.WriteString(c, encodeCommand("PING")+encodeCommand("PING"))
		clients = append(clients, c)
	}
	return clients
}

// Idle clients fill the descriptors while discovery is down. Discovery, cache hosts, the configuration file and the
// admin endpoint get theirs at once all the same, whether limits.sockets or the system bounds their number.
func TestIdleClientsLeaveDescriptorsForTheRest(t *testing.T) {
	for name, bounds := range map[string]struct{ sockets, atStart, later int }{
		"by limits.sockets":         {sockets: fewDescriptors},
		"by the system":             {sockets: 1024, atStart: fewDescriptors},
		"by the system, once it is": {sockets: 1024, later: fewDescriptors},
	} {
		t.Run(name, func(t *testing.T) {
			down, calls := startDiscovery(t)
			moved, movedCalls := startDiscovery(t)
			at, came := startHost(t)
			var after []string // Hosts that discovery lists when it is back.
			afterCame := make(chan command, 100)
			for n := range 4 {
				address, came := startHost(t)
				after = append(after, listEntry("after-"+strconv.Itoa(n), address, "Ready"))
				go func() {
					for one := range came {
						afterCame <- one
					}
				}()
			}
			changes := map[string]any{"mgmt": "127.0.0.1:0", "discovery": down,
				"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": bounds.sockets},
				"known":  json.RawMessage(endpointList(1, true, listEntry("s", at, "Ready")))}
			file := configurationFile(t, changes)
			p := startWithDescriptors(t, file, bounds.atStart)
			receive(t, calls, "the first call").SendLine(unavailable)
			busy := p.connect().send("C.GET", "k", "busy", "c=read,t=acme,d=3000")
			held := receive(t, came, "the request before the crowd")
			p.connectIdleClients(150)
			for range 12 { // Callers that say nothing take all that the admin endpoint has.
				caller, err := net.Dial("tcp", p.mgmt)
				if err != nil {
					t.Fatal(err)
				}
				defer caller.Close()
			}
			if bounds.later > 0 {
				if err := limitDescriptors(p.cmd.Process.Pid, bounds.later); err != nil {
					t.Fatal(err)
				}
				p.connectIdleClients(1)
			}
			call := receive(t, calls, "a call while the crowd is there")
			began := time.Now()
			call.SendLine(endpointList(2, true, append(after, listEntry("s", at, "Terminating"))...))
			p.waitForLog(`"message":"servers changed"`)
			c := p.connect()
			const each = (fewDescriptors-reservedDescriptors)/2 - 1 // One is the busy client's.
			for n := range each {                                   // No connection to these hosts is open yet; each is one more.
				c.send("C.GET", "k", strconv.Itoa(n), "c=read,t=acme,d=3000")
			}
			var asked []command
			for range each {
				asked = append(asked, receive(t, afterCame, "the request"))
			}
			changes["discovery"] = moved
			text, err := os.ReadFile(configurationFile(t, changes))
			if err == nil {
				err = os.WriteFile(file, text, 0o600)
			}
			if err != nil {
				t.Fatal(err)
			}
			p.cmd.Process.Signal(syscall.SIGHUP)
			p.waitForLog(`"message":"configuration reloaded"`)
			receive(t, movedCalls, "a call to the new discovery").SendLine(endpointList(1, true, after...))
			if code, text := p.adminRequest("GET", "/ready"); code != 200 {
				t.Errorf("ready: %d %q", code, text)
			}
			for _, one := range asked {
				one.Reply(valueReply("v"))
			}
			for range each {
				c.expectReply("v")
			}
			held.Reply(valueReply("busy"))
			busy.expectReply("busy")
			expectNoCommand(t, came)
			if took := time.Since(began); took > 5*time.Second {
				t.Errorf("it took %v", took)
			}
			open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
			if len(open) > fewDescriptors {
				t.Errorf("%d descriptors are open", len(open))
			}
			for len(p.log) > 0 {
				if line := <-p.log; strings.Contains(line, "too many open files") && !strings.Contains(line, "accept failed") {
					t.Error(line)
				}
			}
		})
	}
}

// The reserved descriptors are kept from clients and hosts, but of few descriptors at most half.
func TestDescriptorsAreDivided(t *testing.T) {
	for _, c := range []struct{ total, kept, clients, hosts int }{
		{1024, reservedDescriptors, 496, 496},
		{1024, reservedDescriptors + fleetDescriptors, 484, 484},
		{65, reservedDescriptors, 17, 16},
		{64, reservedDescriptors + fleetDescriptors, 16, 16},
		{20, reservedDescriptors, 5, 5},
	} {
		if clients, hosts := divideDescriptors(c.total, c.kept); clients != c.clients || hosts != c.hosts {
			t.Errorf("%d, %d kept: %d clients, %d hosts; want %d and %d", c.total, c.kept, clients, hosts, c.clients, c.hosts)
		}
	}
}

// During an upgrade two processes share limits.sockets, while the system allows each far fewer: each keeps within the
// system's limit.
func TestUpgradeKeepsWithinSystemDescriptorLimit(t *testing.T) {
	t.Parallel()
	at, came := startHost(t)
	down, calls := startDiscovery(t)
	limited := filepath.Join(t.TempDir(), "limited")
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d && exec %q\n", fewDescriptors, os.Args[0])
	if err := os.WriteFile(limited, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	platform, err := fakes.NewPlatform(t.TempDir(), fakes.Setup{Program: limited, Variables: []string{programVariable + "=1"}, Core: -1,
		Known: endpointList(1, true, listEntry("s", at, "Ready")), Discovery: down, Limits: fakes.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	most := (fewDescriptors - reservedDescriptors) / 2
	var young *fakes.Process
	for range 2 { // The old one, and a new one beside it.
		if young, err = platform.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(young.Kill)
		line, err := young.WaitForLog(`"message":"resource limits changed"`, testTimeout)
		if err != nil {
			t.Fatal(err)
		}
		var limits struct {
			Clients   int `json:"max_clients"`
			Endpoints int `json:"max_endpoint_connections"`
		}
		if json.Unmarshal([]byte(line), &limits); limits.Clients > most || limits.Endpoints > most || limits.Clients < 1 || limits.Endpoints < 1 {
			t.Errorf("%s; the system allows %d for each", line, most)
		}
		receive(t, calls, "a call").SendLine(unavailable)
		(&program{t: t, address: platform.Address}).connectIdleClients(150)
	}
	receive(t, calls, "a call while the crowd is there").SendLine(endpointList(2, true, listEntry("s", at, "Ready")))
	c := (&program{t: t, address: platform.Address}).connect().send("C.GET", "k", "1", "c=read,t=acme,d=3000")
	receive(t, came, "the request").Reply(valueReply("v"))
	c.expectReply("v")
}

// Three hundred clients connect to a process with 150 descriptors, or 60 by the system: a request still gets a
// connection to its host, and clients do not take what hosts need.
func TestHostsGetDescriptorsBesideManyClients(t *testing.T) {
	for _, limit := range []int{0, 60} { // by its own count, and by the system's word
		at, came := startHost(t)
		p := startProgram(t, endpointList(0, true, listEntry("s", at, "Ready")),
			map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 150}})
		if limit > 0 {
			if err := limitDescriptors(p.cmd.Process.Pid, limit); err != nil {
				t.Fatal(err)
			}
		}
		for range 300 {
			p.connect().send("PING").expectReply("+PONG")
		}
		c := p.connect()
		c.send("C.GET", "k", "1", "c=read,t=acme,d=3000")
		receive(t, came, "the retrieval").Reply(valueReply("v"))
		c.expectReply("v")
		open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		p.cmd.Process.Signal(syscall.SIGTERM)
		if err := receive(t, p.exited, "the end"); err != nil {
			t.Error(err)
		}
		failed := 0
		for len(p.log) > 0 {
			if strings.Contains(<-p.log, "accept failed") {
				failed++
			}
		}
		if failed > 5 {
			t.Errorf("%d accepts failed: clients go on taking what hosts need", failed)
		}
		if len(open) > 150 {
			t.Errorf("%d descriptors are open", len(open))
		}
	}
}
