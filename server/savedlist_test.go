package server

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"hollylever/fakes"
)

// tell has discovery change entries, and waits until a process logs what it has been told.
func (w *testBed) tell(t *testing.T, p *fakes.Process, entries map[string]string, logged string) {
	t.Helper()
	w.discovery.UpdateEntries(entries)
	waitForLogLine(t, p, logged)
}

func (w *testBed) entry(host int, status string, sinceMS ...int64) map[string]string {
	h := w.hosts[host]
	return map[string]string{h.Name: fakes.Entry(h.Name, h.Address, status, sinceMS...)}
}

// ask has clients send many requests, a few at once, and returns how many of them each host got.
func (w *testBed) ask(t *testing.T, count int) (requests []int) {
	t.Helper()
	sum := func() (all int) {
		for _, h := range w.hosts {
			all += h.Figures().Requests
		}
		return all
	}
	for _, h := range w.hosts {
		requests = append(requests, -h.Figures().Requests)
	}
	before := sum()
	ctx, end := context.WithCancel(context.Background())
	clients := fakes.Ask(ctx, w.Address, fakes.Load{Rate: 400, Keys: 300, Seed: 9, Patience: 2 * time.Second, MaxInFlight: 4})
	waitUntil(t, "requests at the hosts", func() bool { return sum() >= before+count })
	end()
	if f := clients.Wait(); f.Wrong+f.Late > 0 || f.Settled < f.Asked*9/10 {
		t.Errorf("clients are served %+v", f)
	}
	for n, h := range w.hosts {
		requests[n] += h.Figures().Requests
	}
	return requests
}

// changeConfiguration changes the file that the next process is started with.
func (w *testBed) changeConfiguration(t *testing.T, old, changed string) {
	t.Helper()
	text, err := os.ReadFile(w.File)
	if err != nil || !strings.Contains(string(text), old) {
		t.Fatalf("%v: no %s in %s", err, old, text)
	}
	if err := os.WriteFile(w.File, []byte(strings.ReplaceAll(string(text), old, changed)), 0o600); err != nil {
		t.Fatal(err)
	}
}

// A process is told that a host drains or is gone, and the next one starts while discovery is down. Guards against a
// drain that is known to one process only: the next one would send to the host until discovery is back.
func TestDrainHoldsAtNextProcessWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	upgrade := func(t *testing.T, w *testBed, old *fakes.Process) {
		t.Helper()
		young := w.start(t)
		if err := young.Ready(testTimeout); err != nil {
			t.Fatal(err)
		}
		old.Stop(3700 * time.Millisecond)
	}
	for _, c := range []struct {
		name    string
		isAsked bool                                               // requests come while the host drains
		tell    func(w *testBed) map[string]string                 // nil: host 1 drains
		change  func(t *testing.T, w *testBed)                     // of the configuration
		replace func(t *testing.T, w *testBed, old *fakes.Process) // nil: an upgrade
	}{
		{name: "in a quiet time"},
		{name: "while clients ask", isAsked: true},
		{name: "removed", tell: func(w *testBed) map[string]string { return w.entry(1, "Gone") }},
		{name: "other settings", change: func(t *testing.T, w *testBed) { w.changeConfiguration(t, `"expectedTime":5000`, `"expectedTime":4000`) }},
		{name: "two upgrades in a row", replace: func(t *testing.T, w *testBed, old *fakes.Process) {
			between := w.start(t)
			old.Stop(3700 * time.Millisecond)
			upgrade(t, w, between)
		}},
		{name: "killed before the next starts", replace: func(t *testing.T, w *testBed, old *fakes.Process) {
			waitUntil(t, "the saved list", func() bool { return isListSaved(w, "Terminating") })
			old.Kill()
			w.start(t)
		}},
		{name: "ended before the next starts", replace: func(t *testing.T, w *testBed, old *fakes.Process) {
			old.Stop(3700 * time.Millisecond)
			w.start(t)
		}},
		{name: "another drains at its address", tell: func(w *testBed) map[string]string {
			all := w.entry(1, "Gone")
			all["s-new"] = fakes.Entry("s-new", w.hosts[1].Address, "Terminating", time.Now().UnixMilli())
			return all
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newTestBed(t, 5, -1, testBedLimits)
			old := w.start(t)
			waitForLogLine(t, old, `"message":"serving"`)
			w.ask(t, 100)
			if c.isAsked {
				ctx, end := context.WithCancel(context.Background())
				defer end()
				clients := fakes.Ask(ctx, w.Address, fakes.Load{Rate: 200, Keys: 300, Seed: 3, Patience: 2 * time.Second})
				defer func() { end(); clients.Wait() }()
			}
			told := w.entry(1, "Terminating")
			if c.tell != nil {
				told = c.tell(w)
			}
			w.tell(t, old, told, `["s-1"]`)
			w.discovery.Close()
			if c.change != nil {
				c.change(t, w)
			}
			if c.replace == nil {
				c.replace = upgrade
			}
			c.replace(t, w, old)
			if got := w.ask(t, 400); got[1] > 0 {
				t.Errorf("the next process sends %d requests to the host that drains; each of %v", got[1], got)
			}
		})
	}
}

// A host is added, and another one's drain is taken back, in a quiet time; the next process starts while discovery is
// down. Guards against hosts that serve nothing until discovery is back.
func TestHostsThatMayServeAreUsedAtNextProcess(t *testing.T) {
	t.Parallel()
	w := newTestBed(t, 5, -1, testBedLimits)
	w.changeConfiguration(t, w.entry(4, "Ready")["s-4"], w.entry(4, "Terminating")["s-4"])
	old := w.start(t)
	w.tell(t, old, w.entry(1, "Terminating"), `"draining":["s-1"]`)
	w.ask(t, 100)
	w.tell(t, old, w.entry(1, "Ready"), `"ready":["s-1"]`)
	w.discovery.Close()
	w.start(t)
	old.Stop(3700 * time.Millisecond)
	if got := w.ask(t, 400); got[1] < 20 || got[4] < 20 {
		t.Errorf("the next process sends %v, want some to each", got)
	}
}

// isListSaved reports whether a process has saved a list with this text.
func isListSaved(w *testBed, text string) bool {
	files, _ := filepath.Glob(filepath.Join(w.Place, "hollylever.list.?"))
	for _, file := range files {
		if content, err := os.ReadFile(file); err == nil && strings.Contains(string(content), text) {
			return true
		}
	}
	return false
}

// Discovery takes no new watches, and tells the old process's watch of a drain after SIGTERM. Guards against news that
// only the old process of an upgrade hears: the new one would send to the host until discovery takes its call.
func TestDrainToldToOldProcessHoldsAtNewProcess(t *testing.T) {
	t.Parallel()
	a, fromA := startHost(t)
	b, fromB := startHost(t)
	d, calls := startDiscovery(t)
	platform, err := fakes.NewPlatform(t.TempDir(), fakes.Setup{Discovery: d, Limits: testBedLimits, Core: -1, Program: os.Args[0],
		Known: endpointList(4, true, listEntry("a", a, "Ready"), listEntry("b", b, "Ready")), Variables: []string{programVariable + "=1"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	w := &testBed{Platform: platform}
	old := w.start(t)
	watch := receive(t, calls, "the old process's watch")
	watch.SendLine("")
	p := &program{t: t, address: platform.Address}
	open := p.connect().send("C.GET", "k", "1", "c=read,t=acme,d=3000") // Keeps the old process from ending.
	var held command
	select {
	case held = <-fromA:
	case held = <-fromB:
	}
	young := w.start(t)
	receive(t, calls, "the new process's watch")
	old.Cmd.Process.Signal(syscall.SIGTERM)
	waitForLogLine(t, old, `"message":"stopping"`)
	watch.SendLine(endpointList(5, false, listEntry("a", a, "Terminating")))
	waitForLogLine(t, young, `"index":5,"changed":1,"ready":[],"draining":["a"],"gone":[]`)
	c := p.connect()
	for n := range 20 {
		c.send("C.GET", fmt.Sprint(n), "id", "c=read,t=acme,d=3000")
		receive(t, fromB, "the request").Reply(valueReply("v"))
		c.expectReply("v")
	}
	expectNoCommand(t, fromA)
	held.Reply(valueReply("held"))
	open.expectReply("held")
}

// A host drains and is then removed, where the settings have only drains bind: a host that is merely missing may still be
// sent to. Guards against a next process that knows that the host is gone and not that it drained, also with discovery up.
func TestHostThatDrainedAndIsGoneStaysOutAtNextProcess(t *testing.T) {
	t.Parallel()
	for _, isDown := range []bool{true, false} {
		t.Run(fmt.Sprint("discovery_down_", isDown), func(t *testing.T) {
			t.Parallel()
			w := newTestBed(t, 5, -1, testBedLimits)
			w.changeConfiguration(t, `"invariants":{`, `"invariants":{"onlyDrainingBinds":true,`)
			old := w.start(t)
			w.tell(t, old, w.entry(1, "Terminating"), `"draining":["s-1"]`)
			w.tell(t, old, w.entry(1, "Gone"), `"gone":["s-1"]`)
			w.ask(t, 100)
			if isDown {
				w.discovery.Close()
			}
			w.start(t)
			old.Stop(3700 * time.Millisecond)
			if got := w.ask(t, 400); got[1] > 0 {
				t.Errorf("the next process sends %d requests to the host that drained; each of %v", got[1], got)
			}
		})
	}
}

// A host starts anew, cold, in a quiet time, and the next process starts while discovery is down. Guards against a start
// that is known to one process only: the next one would push the cold host over with a warm host's share.
func TestStartOfHostIsKnownAtNextProcessWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	w := newTestBed(t, 5, -1, testBedLimits)
	old := w.start(t)
	w.ask(t, 100)
	if err := w.hosts[1].Restart(); err != nil {
		t.Fatal(err)
	}
	started := w.hosts[1].Figures().Started.UnixMilli()
	w.discovery.UpdateEntries(w.entry(1, "Ready", started))
	waitUntil(t, "the old process is told", func() bool {
		answer, err := http.Get("http://" + old.Mgmt + "/cache-hosts")
		if err != nil {
			return false
		}
		defer answer.Body.Close()
		text, _ := io.ReadAll(answer.Body)
		return strings.Contains(string(text), fmt.Sprintf(`"since_ms":%d`, started))
	})
	w.discovery.Close()
	w.start(t)
	old.Stop(3700 * time.Millisecond)
	got := w.ask(t, 500)
	warm := (got[0] + got[2] + got[3] + got[4]) / 4
	if got[1] > warm/4 { // It can do a fifth at its start, and warms up in 20 s.
		t.Errorf("the cold host gets %d requests, a warm one %d; each of %v", got[1], warm, got)
	}
}

// Discovery is rebuilt while no process runs, and its index starts again. Guards against a saved list of the server
// before, whose index is higher, that hides the lists of the new one from this process or from the next.
func TestRebuiltDiscoveryIsFollowedDespiteSavedList(t *testing.T) {
	t.Parallel()
	w := newTestBed(t, 3, -1, testBedLimits)
	w.discovery.SetIndex(50)
	old := w.start(t)
	w.tell(t, old, w.entry(1, "Terminating"), `"draining":["s-1"]`)
	waitUntil(t, "the saved list", func() bool { return isListSaved(w, "Terminating") })
	old.Kill()
	w.discovery.SetIndex(2)
	w.discovery.UpdateEntries(w.entry(1, "Ready"))
	w.discovery.UpdateEntries(w.entry(2, "Terminating"))
	second := w.start(t)
	waitForLogLine(t, second, `"index":4,"changed":2`)
	if got := w.ask(t, 100); got[1] == 0 || got[2] > 0 {
		t.Errorf("the process that is told by the rebuilt server sends %v", got)
	}
	waitUntil(t, "the saved list", func() bool { return isListSaved(w, `"index":4`) })
	second.Kill()
	w.discovery.Close()
	w.start(t)
	if got := w.ask(t, 100); got[1] == 0 || got[2] > 0 {
		t.Errorf("the next process, without discovery, sends %v", got)
	}
}

// The saved list is damaged, truncated, not a regular file or too large, or can't be written. Guards against a process
// that does not start or serve because of it: each is one line of the log.
func TestUnusableSavedListDoesNotStopService(t *testing.T) {
	t.Parallel()
	w := newTestBed(t, 3, -1, testBedLimits)
	old := w.start(t)
	w.tell(t, old, w.entry(1, "Terminating"), `"draining":["s-1"]`)
	waitUntil(t, "the saved list", func() bool { return isListSaved(w, "Terminating") })
	old.Kill()
	w.discovery.Close()
	file := filepath.Join(w.Place, "hollylever.list.0")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	damaged := append([]byte{}, text...)
	damaged[len(text)/2] ^= 1
	for what, content := range map[string][]byte{"truncated": text[:len(text)/2], "damaged": damaged, "foreign": []byte("{}"), "empty": {}, "too large": make([]byte, 9<<20)} {
		if err := os.WriteFile(file, content, 0o600); err != nil {
			t.Fatal(err)
		}
		p := w.start(t)
		if lines := p.Log(`"message":"endpoint list not read"`); len(lines) != 1 || !strings.Contains(lines[0], "hollylever.list.0") {
			t.Errorf("%s: the log has %q", what, lines)
		}
		if got := w.ask(t, 30); got[0]+got[2] == 0 {
			t.Errorf("%s: requests go to %v", what, got)
		}
		p.Kill()
	}
}

// The list can't be written for a while. Guards against a change that is given up: it is saved once that is possible.
func TestListIsSavedOnceItCanBeWritten(t *testing.T) {
	t.Parallel()
	w := newTestBed(t, 3, -1, testBedLimits)
	blocked := filepath.Join(w.Place, "hollylever.list.0.new")
	if err := os.Mkdir(blocked, 0o700); err != nil {
		t.Fatal(err)
	}
	p := w.start(t)
	w.tell(t, p, w.entry(1, "Terminating"), `"draining":["s-1"]`)
	waitForLogLine(t, p, `"message":"endpoint list not saved"`)
	w.tell(t, p, w.entry(2, "Terminating"), `"draining":["s-2"]`)
	if err := os.Remove(blocked); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the saved list", func() bool { return isListSaved(w, `"s-2"`) })
	if lines := p.Log(`"message":"endpoint list not saved"`); len(lines) != 1 {
		t.Errorf("the log has %q, want one line", lines)
	}
}
