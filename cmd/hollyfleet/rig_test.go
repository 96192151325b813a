package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"hollylever/fakes"
	"hollylever/fakes/between"
	"hollylever/fakes/syscalls"
	"hollylever/fleet"
	"hollylever/fleetconfig"
)

// The tests start the program itself (this binary, by a variable), several of it, with a relay for each ordered pair of them between.
const (
	asProgram = "HOLLYFLEET_TEST_AS_PROGRAM"
	clockOff  = "HOLLYFLEET_TEST_CLOCK" // how fast a process's clock runs; only this binary reads it
)

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		if err := syscalls.Install(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		if rate, err := strconv.ParseFloat(os.Getenv(clockOff), 64); err == nil {
			fleet.SetClockRate(rate)
		}
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// terms of the tests: shorter than the defaults, so that a plan of faults has room for many leases.
var terms = fleetconfig.LeaseTiming{LeaseDuration: 700 * time.Millisecond, ClockRateError: 0.01, MaxPause: 150 * time.Millisecond}

type process struct {
	name, config, own, door, listen string
	clock                           float64
	cmd                             *exec.Cmd
	log                             string
	stopped                         bool
	system                          *syscalls.Faults // of its system calls, where the test asked for that; nil: none
	isFaulty                        bool             // its system calls can be made to fail
}

// town is a fleet of processes.
type town struct {
	t       testing.TB
	dir     string
	chance  *rand.Rand
	procs   []*process
	relays  [][]*between.Relay
	keepers int
	asks    chan struct{}
	told    bool // what the processes wrote, after a failure
}

func free(t testing.TB) string {
	at, err := between.Free()
	if err != nil {
		t.Fatal(err)
	}
	return at
}

// newTown starts n processes, of which the first are keepers, and asks them; clocks are off by the stated error, either way.
func newTown(t testing.TB, seed uint64, n, keepers int, change func(p *process)) *town {
	w := quietTown(t, seed, n, keepers, change)
	for _, p := range w.procs {
		go w.ask(p)
	}
	return w
}

// quietTown asks nothing of them.
func quietTown(t testing.TB, seed uint64, n, keepers int, change func(p *process)) *town {
	w := &town{t: t, dir: t.TempDir(), chance: rand.New(rand.NewPCG(seed, 1)), keepers: keepers, asks: make(chan struct{})}
	addresses := make([]string, n)
	var names []string
	for i := range n {
		addresses[i] = free(t)
		w.procs = append(w.procs, &process{name: fmt.Sprint("b", i), door: free(t), listen: free(t), clock: []float64{0.99, 1.01}[i%2]})
		names = append(names, w.procs[i].name)
	}
	for i := range n {
		var row []*between.Relay
		for j := range n {
			r, err := between.New(addresses[j], seed+uint64(i*n+j))
			if err != nil {
				t.Fatal(err)
			}
			row = append(row, r)
		}
		w.relays = append(w.relays, row)
	}
	for i, p := range w.procs {
		var peers []string
		for j := range n {
			at := w.relays[i][j].Address()
			if i == j {
				at = addresses[j]
			}
			peers = append(peers, names[j]+"="+at)
		}
		p.config, p.own, p.log = filepath.Join(w.dir, p.name+".json"), filepath.Join(w.dir, p.name+".toml"), filepath.Join(w.dir, p.name+".log")
		config := fmt.Sprintf(`{"name":%q,"listen":%q,"mgmt":%q,"discovery":"127.0.0.1:1","seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":256},
"known":{"index":1,"snapshot":true,"endpoints":[]},"settings":%s}`, p.name, p.listen, p.door, fakes.Settings)
		own := fmt.Sprintf("[log]\nlevel = \"info\"\n[watch]\non = false\n[fleet]\non = true\nlisten = %q\npeers = %q\nkeepers = %q\nstate = %q\nlease = %q\nrate_error = 10\n"+
			"pause = %q\ntrace = %q\nmost = %d\n", addresses[i], strings.Join(peers, ", "), strings.Join(names[:keepers], ", "), filepath.Join(w.dir, p.name+".state"),
			terms.LeaseDuration, terms.MaxPause, filepath.Join(w.dir, p.name+".trace"), n)
		if err := os.Mkdir(filepath.Join(w.dir, p.name), 0o700); err != nil {
			t.Fatal(err)
		}
		for file, text := range map[string]string{p.config: config, p.own: own} {
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if change != nil {
			change(p)
		}
		w.start(p)
	}
	t.Cleanup(w.close)
	return w
}

func (w *town) start(p *process) {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		w.t.Fatal(err)
	}
	defer log.Close()
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), asProgram+"=1", "LB_CONFIG="+p.config, "LB_EXTRA="+p.own, "LB_LISTEN="+p.listen, "LB_DISCOVERY=", "LB_NAME=",
		"LB_MGMT="+p.door, "TMPDIR="+filepath.Join(w.dir, p.name), fmt.Sprint(clockOff, "=", p.clock))
	p.cmd.Stderr = log
	if p.isFaulty {
		p.system, err = syscalls.Start(p.cmd, 1)
	} else {
		err = p.cmd.Start()
	}
	if err != nil {
		w.t.Fatal(err)
	}
	p.stopped = false
}

func (w *town) kill(p *process) {
	if p.cmd != nil {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
		p.cmd.Wait()
		p.cmd = nil
		if p.system != nil {
			p.system.Close()
			p.system = nil
		}
	}
}

func (w *town) stop(p *process) {
	if p.cmd != nil {
		p.cmd.Process.Signal(syscall.SIGSTOP)
		p.stopped = true
	}
}

func (w *town) goOn(p *process) {
	if p.cmd != nil && p.stopped {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.stopped = false
	}
}

func (w *town) close() {
	close(w.asks)
	for _, p := range w.procs {
		w.kill(p)
	}
	for _, row := range w.relays {
		for _, r := range row {
			r.Close()
		}
	}
}

// ask sends retrievals to a process, so that it decides: some two hundred a second, one out at a time.
func (w *town) ask(p *process) {
	beat := time.NewTicker(5 * time.Millisecond * time.Duration(max(1, len(w.procs)/6)))
	defer beat.Stop()
	var c net.Conn
	var in *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-w.asks:
			if c != nil {
				c.Close()
			}
			return
		case <-beat.C:
		}
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", p.listen, time.Second); err != nil {
				c = nil
				continue
			}
			in = bufio.NewReader(c)
		}
		c.SetDeadline(time.Now().Add(time.Second))
		io.WriteString(c, fakes.Words("C.GET", fmt.Sprint("k", n%50), fmt.Sprintf("%s-%d-%d", p.name, time.Now().UnixNano(), n), "c=read,d=1000"))
		if _, err := fakes.Message(in); err != nil && !strings.Contains(err.Error(), "BUSY") && !strings.Contains(err.Error(), "ERR") {
			c.Close()
			c = nil
		}
	}
}

// faults sets what all relays do.
func (w *town) faults(of func(i, j int) between.Faults) {
	for i, row := range w.relays {
		for j, r := range row {
			r.Set(of(i, j))
		}
	}
}

func (w *town) heal() { w.faults(func(int, int) between.Faults { return between.Faults{} }) }

type status struct {
	News   []string `json:"drains_by_others"`
	Leads  string
	Acting struct {
		Floor, Latest uint64
		Leased        bool
		Bans          []string `json:"bans"`
		Part          float64
	}
}

func (p *process) status() (s status, err error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + p.door + "/fleet")
	if err != nil {
		return s, err
	}
	defer answer.Body.Close()
	return s, json.NewDecoder(answer.Body).Decode(&s)
}

// propose asks through a process's door, and gives the answer.
func (p *process) propose(c fleetconfig.Proposal) (a fleetconfig.ProposalResult, err error) {
	body, _ := json.Marshal(c)
	client := http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Post("http://"+p.door+"/fleet/propose", "application/json", bytes.NewReader(body))
	if err != nil {
		return a, err
	}
	defer answer.Body.Close()
	return a, json.NewDecoder(answer.Body).Decode(&a)
}

// history is the ids of the proposals that became versions, as a process has them.
func (p *process) history(t testing.TB) (ids []string) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + p.door + "/fleet/history")
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	var all []struct{ ID string }
	if err := json.NewDecoder(answer.Body).Decode(&all); err != nil || len(all) == 0 {
		t.Fatal(all, err)
	}
	for _, v := range all {
		if v.ID != "" {
			ids = append(ids, v.ID)
		}
	}
	return ids
}

// until waits for something that has to come; the time is only a bound.
func until(t testing.TB, what string, come func() bool) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); !come(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s does not come", what)
		}
	}
}

// agree waits until all processes act on at least this version, under leases, with nothing waiting.
func (w *town) agree(version uint64) {
	w.t.Helper()
	w.t.Cleanup(func() {
		if w.t.Failed() && !w.told {
			w.told = true
			w.t.Log(w.logs())
		}
	})
	until(w.t, fmt.Sprintf("agreement on version %d", version), func() bool {
		latest := uint64(0)
		for _, p := range w.procs {
			s, err := p.status()
			if err != nil || !s.Acting.Leased || s.Acting.Latest < version || s.Acting.Floor != s.Acting.Latest || latest != 0 && s.Acting.Latest != latest {
				return false
			}
			latest = s.Acting.Latest
		}
		return true
	})
}

// decision is a line of a trace.
type decision struct {
	at            int64
	name          string
	floor, latest uint64
	leased        bool
	part          float64
	digest        string
}

// trace merges what all wrote.
func (w *town) trace() (all []decision) {
	for _, p := range w.procs {
		text, _ := os.ReadFile(filepath.Join(w.dir, p.name+".trace"))
		lines := strings.Split(string(text), "\n")
		for _, line := range lines[:max(0, len(lines)-1)] {
			var d decision
			if n, _ := fmt.Sscan(line, &d.at, &d.name, &d.floor, &d.latest, &d.leased, &d.part, &d.digest); n >= 6 {
				all = append(all, d)
			}
		}
	}
	slices.SortFunc(all, func(a, b decision) int { return int(a.at - b.at) })
	return all
}

// check finds the longest contradiction in a merged trace, and what must not be at all: anybody acting on what a version loosens while
// another is under a lease that does not know it, two versions of one number, or parts of budgets that are more than the whole. slack is for the look that a decision was made by: it may
// lie a pause before what is written.
func check(all []decision, slack time.Duration) (worst time.Duration, wrong string) {
	heard, loose, digests := map[uint64]int64{}, map[uint64]int64{}, map[uint64]string{}
	last, parts := uint64(0), map[string]decision{}
	for _, d := range all {
		parts[d.name] = d
		sum := 0.0
		for _, p := range parts {
			if d.at-p.at < int64(50*time.Millisecond) { // What it acts on now: it decides more often than that.
				sum += p.part
			}
		}
		if sum > 1+1e-9 {
			wrong = fmt.Sprintf("the parts that all act on are %v of the whole", sum)
		}
		for v := d.latest; v > 0 && heard[v] == 0; v-- {
			heard[v] = d.at
		}
		for v := d.floor; v > 0 && loose[v] == 0; v-- {
			loose[v] = d.at
		}
		last = max(last, d.latest)
		if was, known := digests[d.latest]; known && was != d.digest {
			wrong = fmt.Sprintf("version %d is %s and %s", d.latest, was, d.digest)
		}
		digests[d.latest] = d.digest
		if !d.leased || d.latest >= last {
			continue
		}
		if since := d.at - heard[d.latest+1]; heard[d.latest+1] != 0 {
			worst = max(worst, time.Duration(since))
		}
		if since := loose[d.latest+1]; since != 0 && d.at-since > int64(slack) {
			wrong = fmt.Sprintf("%s is under a lease knowing %d, and %d is loose already for %v", d.name, d.latest, d.latest+1, time.Duration(d.at-since))
		}
	}
	return worst, wrong
}

// logs are what the processes wrote, for a failure.
func (w *town) logs() string {
	var out strings.Builder
	for _, p := range w.procs {
		text, _ := os.ReadFile(p.log)
		fmt.Fprintf(&out, "--- %s\n%s\n", p.name, text[max(0, len(text)-2000):])
	}
	return out.String()
}
