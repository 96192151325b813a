package server

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"hollylever/fakes"
	"hollylever/routing"
	"hollylever/settings"
	"hollylever/snapshot"
)

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, what string, so func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !so(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: it does not come", what)
		}
	}
}

func waitForLogLine(t *testing.T, p *fakes.Process, text string) string {
	t.Helper()
	line, err := p.WaitForLog(text, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	return line
}

// A process is killed. The next one starts from its snapshot; one that finds a damaged snapshot starts as without.
func TestSnapshotIsRestoredByNextProcess(t *testing.T) {
	t.Parallel()
	w := newTestBed(t, 6, -1, testBedLimits)
	ctx, end := context.WithCancel(context.Background())
	defer end()
	p := w.start(t)
	if len(p.Log("snapshot restored")) > 0 {
		t.Errorf("the first one has %q", p.Log("snapshot restored"))
	}
	clients := fakes.Ask(ctx, w.Address, fakes.Load{Rate: 200, Keys: 300, Seed: 3, Patience: 2 * time.Second})
	file := filepath.Join(w.Place, "hollylever.learnt")
	many := func() bool {
		s, err := (&snapshot.File{Path: file}).Read("n1", fingerprint(), time.Now(), time.Minute)
		return err == nil && s != nil && len(s.BalancerState.Keys) > 50
	}
	waitUntil(t, "a snapshot of fifty keys", many)
	end()
	clients.Wait()
	p.Kill()
	if err := w.hosts[2].Restart(); err != nil { // While nobody is there: cold, and empty.
		t.Fatal(err)
	}
	p = w.start(t)
	var said struct {
		Endpoints, Keys int
		AgeMS           int `json:"age_ms"`
	}
	line := waitForLogLine(t, p, `"message":"snapshot restored"`)
	if err := json.Unmarshal([]byte(line), &said); err != nil || said.Endpoints != 6 || said.Keys < 50 || said.AgeMS > 20000 {
		t.Errorf("what is restored: %s", line)
	}
	p.Kill()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for what, spoilt := range map[string][]byte{"half written": text[:len(text)/2], "damaged": append(append([]byte{}, text[:len(text)-1]...), text[len(text)-1]^1)} {
		if err := os.WriteFile(file, spoilt, 0o600); err != nil {
			t.Fatal(err)
		}
		p := w.start(t)
		waitForLogLine(t, p, `"message":"snapshot not restored"`)
		if err := p.Ready(testTimeout); err != nil {
			t.Errorf("%s: %v", what, err)
		}
		p.Kill()
	}
}

// During an upgrade an operator ejects a host at the new process: it gets nothing more from either.
func TestEjectionDuringUpgradeHoldsAtBothProcesses(t *testing.T) {
	t.Parallel()
	w := newTestBed(t, 5, -1, testBedLimits)
	old := w.start(t)
	ctx, end := context.WithCancel(context.Background())
	defer end()
	clients := fakes.Ask(ctx, w.Address, fakes.Load{Rate: 200, Keys: 300, Seed: 5, Patience: 2 * time.Second})
	waitUntil(t, "traffic at the host", func() bool { return w.hosts[1].Figures().Requests > 5 })
	young := w.start(t)
	answer, err := http.Post("http://"+young.Mgmt+"/cache-hosts/disable/s-1", "", nil)
	if err != nil || answer.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", answer, err)
	}
	answer.Body.Close()
	w.hosts[1].SetEjected(true)
	waitForLogLine(t, old, `"message":"ejection by hand"`)
	for _, p := range []*fakes.Process{old, young} {
		waitUntil(t, "both avoid it", func() bool {
			answer, err := http.Get("http://" + p.Mgmt + "/metrics")
			if err != nil {
				return false
			}
			defer answer.Body.Close()
			text := make([]byte, 4096)
			n, _ := answer.Body.Read(text)
			return strings.Contains(string(text[:n]), "targets_disabled=1\n")
		})
	}
	quiet := w.hosts[1].Figures().Requests
	if old.Stop(3700 * time.Millisecond) {
		t.Error("the old one had to be killed")
	}
	again := w.start(t) // One more beside it: it follows the ban too.
	young.Stop(3700 * time.Millisecond)
	before := w.hosts[2].Figures().Requests
	waitUntil(t, "traffic goes on elsewhere", func() bool { return w.hosts[2].Figures().Requests > before+20 })
	end()
	f := clients.Wait()
	if late := w.hosts[1].Figures(); late.Requests-quiet > 3 || late.Late > 0 { // What was decided on before may still arrive.
		t.Errorf("the host that is out was sent %d more", late.Requests-quiet)
	}
	if f.Door+f.Late+f.Wrong > 0 {
		t.Errorf("%+v", f)
	}
	again.Kill()
}

const ownDescriptors = 20 // of a process: the log, files, discovery, the door

// Two hundred clients connect during an upgrade: the descriptors of both processes together stay within the limit, and
// no client of the new process waits.
func TestDescriptorsOfBothProcessesStayWithinLimit(t *testing.T) {
	t.Parallel()
	limits := fakes.Limits{Cores: 0.5, MemoryMB: 64, Sockets: 192}
	w := newTestBed(t, 3, -1, limits)
	old := w.start(t)
	most := func(ps ...*fakes.Process) (sum int) {
		for _, p := range ps {
			sum += max(0, p.Descriptors())
		}
		return sum
	}
	asks := func(c net.Conn) bool {
		c.SetDeadline(time.Now().Add(testTimeout))
		if _, err := c.Write([]byte(encodeCommand("PING"))); err != nil {
			return false
		}
		answer := make([]byte, 7)
		n, _ := c.Read(answer)
		return string(answer[:n]) == "+PONG\r\n"
	}
	var all []net.Conn
	crowd := func(n int) {
		for range n {
			c, err := net.Dial("tcp", w.Address)
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, c)
			if !asks(c) {
				t.Fatalf("client %d is not answered", len(all))
			}
		}
	}
	defer func() {
		for _, c := range all {
			c.Close()
		}
	}()
	crowd(100) // Over what one alone may have, idle ones go.
	seen, ended := 0, make(chan struct{})
	young := w.start(t)
	go func() {
		defer close(ended)
		for old.Descriptors() > 0 {
			seen = max(seen, most(old, young))
			time.Sleep(time.Millisecond)
		}
	}()
	waitForLogLine(t, young, `"message":"resource limits changed"`)
	crowd(200)
	began := time.Now()
	old.Cmd.Process.Signal(syscall.SIGTERM)
	crowd(60)
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("sixty clients take %v at the new door", took)
	}
	<-old.Ended
	<-ended
	if clients := 64; seen > clients+2*ownDescriptors {
		t.Errorf("%d descriptors of %d, with %d for clients", seen, limits.Sockets, clients)
	}
	waitUntil(t, "one holds all", func() bool {
		lines := young.Log(`"message":"resource limits changed"`)
		return len(lines) > 0 && strings.Contains(lines[len(lines)-1], `"siblings":0,"max_clients":64,"max_endpoint_connections":64`)
	})
	t.Logf("%d descriptors of %d at most", seen, limits.Sockets)
}

// fingerprint is that of the stand-ins' settings.
func fingerprint() uint64 { return routing.Fingerprint(settings.Flatten(gjson.Parse(fakes.Settings))) }

// A measurement, with HOLLYLEVER_MEASURE=1: to how many hosts each key is fetched in the seconds after an upgrade
// during which three hosts of fifteen restart cold and empty, with the snapshot and without.
func TestMeasureFetchesAfterAnUpgrade(t *testing.T) {
	if os.Getenv("HOLLYLEVER_MEASURE") == "" {
		t.Skip("a measurement")
	}
	for seed := range uint64(6) {
		for _, with := range []bool{false, true} {
			w := newTestBed(t, 15, -1, testBedLimits)
			p := w.start(t)
			ctx, end := context.WithCancel(context.Background())
			clients := fakes.Ask(ctx, w.Address, fakes.Load{Rate: 400, Keys: 1500, Seed: seed, Patience: 600 * time.Millisecond})
			time.Sleep(8 * time.Second)
			before := clients.Figures()
			for n := range 3 {
				w.hosts[n].Restart()
				h := w.hosts[n].Figures()
				w.discovery.UpdateEntries(map[string]string{w.hosts[n].Name: fakes.Entry(w.hosts[n].Name, w.hosts[n].Address, "Ready", h.Started.UnixMilli())})
			}
			if !with {
				os.Remove(filepath.Join(w.Place, "hollylever.learnt"))
			}
			w.origin.Forget()
			young, _, err := w.Upgrade(p)
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(5 * time.Second)
			fetches, keys := w.origin.Fetches()
			f := clients.Figures()
			end()
			clients.Wait()
			pushed := 0
			for _, h := range w.hosts {
				pushed += h.Figures().Overloads
			}
			t.Logf("seed %d, with %t: %d fetches of %d keys, %.2f a key; %d settled, %d dismissed, %d late; %d pushed over", seed, with, fetches, keys,
				float64(fetches)/float64(max(1, keys)), f.Settled-before.Settled, f.Dismissed-before.Dismissed, f.Late-before.Late, pushed)
			young.Kill()
		}
	}
}

// New processes die before they are ready, at any moment of their start: the old one keeps its clients and gets all
// resources back.
func TestNewProcessThatDiesBeforeItIsReadyTakesNothing(t *testing.T) {
	t.Parallel()
	w := newTestBed(t, 3, -1, testBedLimits)
	old := w.start(t)
	ctx, end := context.WithCancel(context.Background())
	defer end()
	clients := fakes.Ask(ctx, w.Address, fakes.Load{Rate: 100, Keys: 50, Seed: 4, Patience: 2 * time.Second})
	settles := func() {
		t.Helper()
		before := clients.Figures().Settled
		waitUntil(t, "traffic", func() bool { return clients.Figures().Settled > before+20 })
	}
	settles()
	rows := func() int {
		list, _ := filepath.Glob(filepath.Join(w.Place, "hollylever.kin.[0-9]"))
		return len(list)
	}
	for n := range 6 {
		young, err := w.Begin()
		if err != nil {
			t.Fatal(err)
		}
		if n%2 == 0 { // Once it has its place among its kin; else at once.
			waitUntil(t, "its place", func() bool { return rows() > 1 })
		}
		young.Kill()
	}
	settles()
	waitUntil(t, "all limits are the old one's again", func() bool {
		lines := old.Log(`"message":"resource limits changed"`)
		return len(lines) > 0 && strings.Contains(lines[len(lines)-1], `"siblings":0`)
	})
	end()
	if f := clients.Wait(); f.Late+f.Wrong > 0 || f.Settled == 0 {
		t.Errorf("%+v", f)
	}
	if old.Stop(3700*time.Millisecond) || old.Err != nil {
		t.Errorf("the old one ends with %v", old.Err)
	}
}

// Both processes of an upgrade get SIGTERM at the same time: each answers the requests that it accepted, and exits with
// 0.
func TestBothProcessesOfAnUpgradeShutDown(t *testing.T) {
	t.Parallel()
	w := newTestBed(t, 3, -1, testBedLimits)
	both := []*fakes.Process{w.start(t), w.start(t)}
	var goOn []func()
	for _, h := range w.hosts {
		goOn = append(goOn, h.Hang())
	}
	answers := make(chan string, 40)
	var asked []net.Conn
	for n := range cap(answers) {
		c, err := net.Dial("tcp", w.Address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(testTimeout))
		c.Write([]byte(fakes.EncodeCommand("C.GET", "7f3a9c21e0b4d655", strconv.Itoa(n), "c=read,t=acme,d=3000")))
		asked = append(asked, c)
	}
	waitUntil(t, "all are taken", func() bool {
		sum := 0
		for _, p := range both {
			answer, err := http.Get("http://" + p.Mgmt + "/metrics")
			if err != nil {
				return false
			}
			text, _ := io.ReadAll(answer.Body)
			answer.Body.Close()
			for _, line := range strings.Split(string(text), "\n") {
				for _, figure := range []string{"concurrent=", "replies.read.overload=", "replies.read.success="} {
					if value, is := strings.CutPrefix(line, figure); is {
						n, _ := strconv.Atoi(value)
						sum += n
					}
				}
			}
		}
		return sum == len(asked)
	})
	for _, p := range both {
		p.Cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range both {
		waitForLogLine(t, p, `"message":"stopping"`)
	}
	for _, g := range goOn {
		g()
	}
	for n, c := range asked {
		if got, err := readMessage(bufio.NewReader(c)); err != nil || len(got) != 1 {
			t.Errorf("client %d has %q, %v", n, got, err)
		}
	}
	for _, p := range both {
		if p.Stop(3700*time.Millisecond) || p.Err != nil || len(p.Log(`"all_answered":true`)) == 0 {
			t.Errorf("it ends with %v: %q", p.Err, p.Log("stopped"))
		}
	}
}
