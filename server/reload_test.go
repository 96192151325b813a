package server

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// Discovery moves. A file that is empty, cut short, wrong or missing changes nothing; a good one has the balancer
// follow the list at the new address alone, without an interruption for clients. SIGHUP during the shutdown is ignored.
func TestConfigurationIsReloaded(t *testing.T) {
	t.Parallel()
	at, came := startHost(t)
	moved, fromMoved := startHost(t)
	first, calls := startDiscovery(t)
	second, callsThere := startDiscovery(t)
	p := startProgram(t, endpointList(4, true, listEntry("s", at, "Ready")), nil, "LB_DISCOVERY="+first)
	old := receive(t, calls, "the first watch")
	old.SendLine("")
	c := p.connect().send("C.GET", "k", "1", "c=read,t=acme,d=3000")
	h := receive(t, came, "the retrieval")
	good, _ := os.ReadFile(p.file)
	with := func(address string) string {
		return strings.Replace(string(good), `"discovery":"127.0.0.1:1"`, fmt.Sprintf(`"discovery":%q`, address), 1)
	}
	for _, bad := range []string{"", with(second)[:300], with("nowhere"), strings.Replace(with(second), `"known":`, `"other":`, 1)} {
		os.WriteFile(p.file, []byte(bad), 0o600)
		p.cmd.Process.Signal(syscall.SIGHUP)
		p.waitForLog("configuration rejected")
	}
	os.Remove(p.file)
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.waitForLog("configuration rejected")
	old.SendLine(endpointList(5, false, listEntry("s", at, "Ready"))) // It is followed still.
	os.WriteFile(p.file, []byte(with(second)), 0o600)
	p.cmd.Process.Signal(syscall.SIGHUP)
	receive(t, callsThere, "a watch at the new address").SendLine(unavailable)
	w := receive(t, callsThere, "another watch there")
	if w.Since != "0" {
		t.Errorf("it is asked for since %s", w.Since)
	}
	old.SendLine(endpointList(9, true, listEntry("s", at, "Gone"))) // The old one counts no more.
	w.SendLine(endpointList(2, true, listEntry("n", moved, "Ready")))
	p.waitForLog(`"index":2,"changed":2,"ready":["n"],"draining":[],"gone":["s"]`)
	h.Reply(valueReply("v"))
	c.expectReply("v")
	c.send("C.GET", "k", "2", "c=read,t=acme,d=3000")
	receive(t, fromMoved, "the retrieval").Reply(valueReply("v"))
	c.expectReply("v")
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.waitForLog("stopping")
	p.cmd.Process.Signal(syscall.SIGHUP)
	if err := receive(t, p.exited, "the end"); err != nil {
		t.Fatal(err)
	}
	if len(calls) > 0 {
		t.Error("the old address is called again")
	}
}

// An operator changes the balancer's own settings and sends SIGHUP. A file with a mistake changes nothing, and the log
// names its place; of a good one each field that changed is logged, and a shorter interval of the summary holds at
// once.
func TestSettingsAreReloaded(t *testing.T) {
	own := filepath.Join(t.TempDir(), "own.toml")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(own, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("[log]\nsummary = \"1h\"\n")
	file := configurationFile(t, nil)
	p := startCommand(t, file, programCommand(file, "LB_EXTRA="+own))
	reload := func(text, want string) {
		t.Helper()
		write(text)
		p.cmd.Process.Signal(syscall.SIGHUP)
		p.waitForLog(want)
	}
	reload("[log]\nsummary = \"soon\"\n", `own.toml:2:1: log.summary: \"soon\" is not a duration`)
	reload("[log]\nsummary = \"1s\"\nform = \"console\"\n", `"field":"log.form"`)
	p.waitForLog(`"field":"log.summary"`)
	p.waitForLog(`"message":"summary"`)
	reload("[log]\nsummary = \"1s\"\nlevel = \"warn\"\n", `"log.level"`) // The last that is logged at info.
	reload("[log]\nsummary = 1\n", "configuration rejected")
}
