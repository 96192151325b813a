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
	"hollylever/snapshot"
	"hollylever/tables"
)

// until asks again until it is so.
func until(t *testing.T, what string, so func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !so(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: it does not come", what)
		}
	}
}

func says(t *testing.T, p *fakes.Process, text string) string {
	t.Helper()
	line, err := p.Logged(text, patience)
	if err != nil {
		t.Fatal(err)
	}
	return line
}

// A process that was killed leaves what it learnt; the next one starts from it, and one that finds a damaged file as ever.
func TestWhatWasLearntGoesAlong(t *testing.T) {
	t.Parallel()
	w := newTown(t, 6, -1, townLimits)
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
	until(t, "a snapshot of fifty keys", many)
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
	line := says(t, p, `"message":"snapshot restored"`)
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
		says(t, p, `"message":"snapshot not restored"`)
		if err := p.Ready(patience); err != nil {
			t.Errorf("%s: %v", what, err)
		}
		p.Kill()
	}
}

// A ban that comes at the new door while both run holds for both, and the host that it names is sent nothing more.
func TestABanWhileBothRun(t *testing.T) {
	t.Parallel()
	w := newTown(t, 5, -1, townLimits)
	old := w.start(t)
	ctx, end := context.WithCancel(context.Background())
	defer end()
	clients := fakes.Ask(ctx, w.Address, fakes.Load{Rate: 200, Keys: 300, Seed: 5, Patience: 2 * time.Second})
	until(t, "traffic at the host", func() bool { return w.hosts[1].Figures().Asked > 5 })
	young := w.start(t)
	answer, err := http.Post("http://"+young.Mgmt+"/cache-hosts/disable/s-1", "", nil)
	if err != nil || answer.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", answer, err)
	}
	answer.Body.Close()
	w.hosts[1].Out(true)
	says(t, old, `"message":"ejection by hand"`)
	for _, p := range []*fakes.Process{old, young} {
		until(t, "both avoid it", func() bool {
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
	quiet := w.hosts[1].Figures().Asked
	if old.Stop(3700 * time.Millisecond) {
		t.Error("the old one had to be killed")
	}
	again := w.start(t) // One more beside it: it follows the ban too.
	young.Stop(3700 * time.Millisecond)
	before := w.hosts[2].Figures().Asked
	until(t, "traffic goes on elsewhere", func() bool { return w.hosts[2].Figures().Asked > before+20 })
	end()
	f := clients.Wait()
	if late := w.hosts[1].Figures(); late.Asked-quiet > 3 || late.Late > 0 { // What was decided on before may still arrive.
		t.Errorf("the host that is out was sent %d more", late.Asked-quiet)
	}
	if f.Door+f.Late+f.Wrong > 0 {
		t.Errorf("%+v", f)
	}
	again.Kill()
}

const ownDescriptors = 20 // of a process: the log, files, discovery, the door

// Guards the descriptors of both processes together, and clients at the new door: in a crowd none of them waits there.
func TestLimitsCountTogether(t *testing.T) {
	t.Parallel()
	limits := fakes.Limits{Cores: 0.5, MemoryMB: 64, Sockets: 192}
	w := newTown(t, 3, -1, limits)
	old := w.start(t)
	most := func(ps ...*fakes.Process) (sum int) {
		for _, p := range ps {
			sum += max(0, p.Descriptors())
		}
		return sum
	}
	asks := func(c net.Conn) bool {
		c.SetDeadline(time.Now().Add(patience))
		if _, err := c.Write([]byte(words("PING"))); err != nil {
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
	says(t, young, `"message":"limits divided"`)
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
	until(t, "one holds all", func() bool {
		lines := young.Log(`"message":"limits divided"`)
		return len(lines) > 0 && strings.Contains(lines[len(lines)-1], `"beside":0,"clients":64,"hosts":64`)
	})
	t.Logf("%d descriptors of %d at most", seen, limits.Sockets)
}

// fingerprint is that of the stand-ins' settings.
func fingerprint() uint64 { return routing.Fingerprint(tables.Flat(gjson.Parse(fakes.Settings))) }

// By hand: for how many hosts each key is fetched in the seconds after an upgrade during which three hosts of fifteen come back cold
// and empty, with what was learnt and without it. HOLLYLEVER_MEASURE=1.
func TestMeasureFetchesAfterAnUpgrade(t *testing.T) {
	if os.Getenv("HOLLYLEVER_MEASURE") == "" {
		t.Skip("a measurement")
	}
	for seed := range uint64(6) {
		for _, with := range []bool{false, true} {
			w := newTown(t, 15, -1, townLimits)
			p := w.start(t)
			ctx, end := context.WithCancel(context.Background())
			clients := fakes.Ask(ctx, w.Address, fakes.Load{Rate: 400, Keys: 1500, Seed: seed, Patience: 600 * time.Millisecond})
			time.Sleep(8 * time.Second)
			before := clients.Figures()
			for n := range 3 {
				w.hosts[n].Restart()
				h := w.hosts[n].Figures()
				w.discovery.Tell(map[string]string{w.hosts[n].Name: fakes.Entry(w.hosts[n].Name, w.hosts[n].Address, "Ready", h.Started.UnixMilli())})
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
				pushed += h.Figures().Pushed
			}
			t.Logf("seed %d, with %t: %d fetches of %d keys, %.2f a key; %d settled, %d dismissed, %d late; %d pushed over", seed, with, fetches, keys,
				float64(fetches)/float64(max(1, keys)), f.Settled-before.Settled, f.Dismissed-before.Dismissed, f.Late-before.Late, pushed)
			young.Kill()
		}
	}
}

// A new process that dies before it is ready, at any moment of its start, leaves the old one with all limits and its clients.
func TestANewOneThatDiesBeforeItIsReady(t *testing.T) {
	t.Parallel()
	w := newTown(t, 3, -1, townLimits)
	old := w.start(t)
	ctx, end := context.WithCancel(context.Background())
	defer end()
	clients := fakes.Ask(ctx, w.Address, fakes.Load{Rate: 100, Keys: 50, Seed: 4, Patience: 2 * time.Second})
	settles := func() {
		t.Helper()
		before := clients.Figures().Settled
		until(t, "traffic", func() bool { return clients.Figures().Settled > before+20 })
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
			until(t, "its place", func() bool { return rows() > 1 })
		}
		young.Kill()
	}
	settles()
	until(t, "all limits are the old one's again", func() bool {
		lines := old.Log(`"message":"limits divided"`)
		return len(lines) > 0 && strings.Contains(lines[len(lines)-1], `"beside":0`)
	})
	end()
	if f := clients.Wait(); f.Late+f.Wrong > 0 || f.Settled == 0 {
		t.Errorf("%+v", f)
	}
	if old.Stop(3700*time.Millisecond) || old.Err != nil {
		t.Errorf("the old one ends with %v", old.Err)
	}
}

// Old and new are told to stop at the same time: each answers what it has taken, and exits with 0.
func TestBothAreToldToStop(t *testing.T) {
	t.Parallel()
	w := newTown(t, 3, -1, townLimits)
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
		c.SetDeadline(time.Now().Add(patience))
		c.Write([]byte(fakes.Words("C.GET", "7f3a9c21e0b4d655", strconv.Itoa(n), "c=read,t=acme,d=3000")))
		asked = append(asked, c)
	}
	until(t, "all are taken", func() bool {
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
		says(t, p, `"message":"stopping"`)
	}
	for _, g := range goOn {
		g()
	}
	for n, c := range asked {
		if got, err := message(bufio.NewReader(c)); err != nil || len(got) != 1 {
			t.Errorf("client %d has %q, %v", n, got, err)
		}
	}
	for _, p := range both {
		if p.Stop(3700*time.Millisecond) || p.Err != nil || len(p.Log(`"all_answered":true`)) == 0 {
			t.Errorf("it ends with %v: %q", p.Err, p.Log("stopped"))
		}
	}
}
