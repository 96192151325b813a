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

// The tests start the program itself (this binary, by a variable), several of it, with a relay for each ordered pair
// of them between.
const (
	runAsProgram      = "HOLLYFLEET_TEST_AS_PROGRAM"
	clockRateVariable = "HOLLYFLEET_TEST_CLOCK" // how fast a process's clock runs; only this binary reads it
)

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgram) != "" {
		if err := syscalls.Install(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		if rate, err := strconv.ParseFloat(os.Getenv(clockRateVariable), 64); err == nil {
			fleet.SetClockRate(rate)
		}
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// leaseTiming of the tests is shorter than the defaults, so that a plan of faults has room for many leases.
var leaseTiming = fleetconfig.LeaseTiming{LeaseDuration: 700 * time.Millisecond, ClockRateError: 0.01, MaxPause: 150 * time.Millisecond}

type process struct {
	name, configFile, settingsFile, adminAddress, clientAddress string
	clockRate                                                   float64
	cmd                                                         *exec.Cmd
	logFile                                                     string
	isSuspended                                                 bool
	syscallFaults                                               *syscalls.Faults // of its system calls, where the test asked for that; nil: none
	hasSyscallFaults                                            bool             // its system calls can be made to fail
}

// cluster is a fleet of processes, with a relay for each ordered pair of them.
type cluster struct {
	t            testing.TB
	dir          string
	random       *rand.Rand
	processes    []*process
	relays       [][]*between.Relay
	voterCount   int
	stopRequests chan struct{}
	logsShown    bool // what the processes wrote, after a failure
}

func freeAddress(t testing.TB) string {
	at, err := between.Free()
	if err != nil {
		t.Fatal(err)
	}
	return at
}

// newCluster starts n processes, of which the first are voters, and sends them requests; clocks are off by the stated
// error, either way.
func newCluster(t testing.TB, seed uint64, n, voters int, change func(p *process)) *cluster {
	c := newIdleCluster(t, seed, n, voters, change)
	for _, p := range c.processes {
		go c.sendRequests(p)
	}
	return c
}

// newIdleCluster sends no requests.
func newIdleCluster(t testing.TB, seed uint64, n, voters int, change func(p *process)) *cluster {
	c := &cluster{t: t, dir: t.TempDir(), random: rand.New(rand.NewPCG(seed, 1)), voterCount: voters, stopRequests: make(chan struct{})}
	addresses := make([]string, n)
	var names []string
	for i := range n {
		addresses[i] = freeAddress(t)
		c.processes = append(c.processes, &process{name: fmt.Sprint("b", i), adminAddress: freeAddress(t), clientAddress: freeAddress(t), clockRate: []float64{0.99, 1.01}[i%2]})
		names = append(names, c.processes[i].name)
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
		c.relays = append(c.relays, row)
	}
	for i, p := range c.processes {
		var peers []string
		for j := range n {
			at := c.relays[i][j].Address()
			if i == j {
				at = addresses[j]
			}
			peers = append(peers, names[j]+"="+at)
		}
		p.configFile, p.settingsFile, p.logFile = filepath.Join(c.dir, p.name+".json"), filepath.Join(c.dir, p.name+".toml"), filepath.Join(c.dir, p.name+".log")
		config := fmt.Sprintf(`{"name":%q,"listen":%q,"mgmt":%q,"discovery":"127.0.0.1:1","seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":256},
"known":{"index":1,"snapshot":true,"endpoints":[]},"settings":%s}`, p.name, p.clientAddress, p.adminAddress, fakes.Settings)
		own := fmt.Sprintf("[log]\nlevel = \"info\"\n[watch]\non = false\n[fleet]\non = true\nlisten = %q\npeers = %q\nkeepers = %q\nstate = %q\nlease = %q\nrate_error = 10\n"+
			"pause = %q\ntrace = %q\nmost = %d\n", addresses[i], strings.Join(peers, ", "), strings.Join(names[:voters], ", "), filepath.Join(c.dir, p.name+".state"),
			leaseTiming.LeaseDuration, leaseTiming.MaxPause, filepath.Join(c.dir, p.name+".trace"), n)
		if err := os.Mkdir(filepath.Join(c.dir, p.name), 0o700); err != nil {
			t.Fatal(err)
		}
		for file, text := range map[string]string{p.configFile: config, p.settingsFile: own} {
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if change != nil {
			change(p)
		}
		c.start(p)
	}
	t.Cleanup(c.shutDown)
	return c
}

func (c *cluster) start(p *process) {
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	defer log.Close()
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), runAsProgram+"=1", "LB_CONFIG="+p.configFile, "LB_EXTRA="+p.settingsFile, "LB_LISTEN="+p.clientAddress, "LB_DISCOVERY=", "LB_NAME=",
		"LB_MGMT="+p.adminAddress, "TMPDIR="+filepath.Join(c.dir, p.name), fmt.Sprint(clockRateVariable, "=", p.clockRate))
	p.cmd.Stderr = log
	if p.hasSyscallFaults {
		p.syscallFaults, err = syscalls.Start(p.cmd, 1)
	} else {
		err = p.cmd.Start()
	}
	if err != nil {
		c.t.Fatal(err)
	}
	p.isSuspended = false
}

func (c *cluster) kill(p *process) {
	if p.cmd != nil {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
		p.cmd.Wait()
		p.cmd = nil
		if p.syscallFaults != nil {
			p.syscallFaults.Close()
			p.syscallFaults = nil
		}
	}
}

func (c *cluster) suspend(p *process) {
	if p.cmd != nil {
		p.cmd.Process.Signal(syscall.SIGSTOP)
		p.isSuspended = true
	}
}

func (c *cluster) resume(p *process) {
	if p.cmd != nil && p.isSuspended {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.isSuspended = false
	}
}

func (c *cluster) shutDown() {
	close(c.stopRequests)
	for _, p := range c.processes {
		c.kill(p)
	}
	for _, row := range c.relays {
		for _, r := range row {
			r.Close()
		}
	}
}

// sendRequests sends requests to a process, so that it decides: some two hundred a second, one at a time.
func (c *cluster) sendRequests(p *process) {
	beat := time.NewTicker(5 * time.Millisecond * time.Duration(max(1, len(c.processes)/6)))
	defer beat.Stop()
	var connection net.Conn
	var in *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-c.stopRequests:
			if connection != nil {
				connection.Close()
			}
			return
		case <-beat.C:
		}
		if connection == nil {
			var err error
			if connection, err = net.DialTimeout("tcp", p.clientAddress, time.Second); err != nil {
				connection = nil
				continue
			}
			in = bufio.NewReader(connection)
		}
		connection.SetDeadline(time.Now().Add(time.Second))
		io.WriteString(connection, fakes.EncodeCommand("C.GET", fmt.Sprint("k", n%50), fmt.Sprintf("%s-%d-%d", p.name, time.Now().UnixNano(), n), "c=read,d=1000"))
		if _, err := fakes.ReadMessage(in); err != nil && !strings.Contains(err.Error(), "BUSY") && !strings.Contains(err.Error(), "ERR") {
			connection.Close()
			connection = nil
		}
	}
}

// setFaults sets what each relay does.
func (c *cluster) setFaults(of func(i, j int) between.Faults) {
	for i, row := range c.relays {
		for j, r := range row {
			r.Set(of(i, j))
		}
	}
}

func (c *cluster) heal() { c.setFaults(func(int, int) between.Faults { return between.Faults{} }) }

type status struct {
	PeerDrains []string `json:"drains_by_others"`
	Leader     string   `json:"leads"`
	Effective  struct {
		MinRevision      uint64   `json:"Floor"`
		LatestRevision   uint64   `json:"Latest"`
		IsLeased         bool     `json:"Leased"`
		EjectedEndpoints []string `json:"bans"`
		BudgetShare      float64  `json:"Part"`
	} `json:"acting"`
}

func (p *process) status() (s status, err error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + p.adminAddress + "/fleet")
	if err != nil {
		return s, err
	}
	defer answer.Body.Close()
	return s, json.NewDecoder(answer.Body).Decode(&s)
}

// timedStatus returns also how long the process took to answer: from when the request is written on a connection until its first
// byte is read. The test waits for the processor itself more often in a request by net/http, which several goroutines handle.
func (p *process) timedStatus() (s status, took time.Duration, err error) {
	const timeout = time.Second
	c, err := net.DialTimeout("tcp", p.adminAddress, timeout)
	if err != nil {
		return s, 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(timeout))
	in, began := bufio.NewReader(c), time.Now()
	if _, err := io.WriteString(c, "GET /fleet HTTP/1.1\r\nHost: "+p.adminAddress+"\r\nConnection: close\r\n\r\n"); err != nil {
		return s, 0, err
	}
	if _, err := in.Peek(1); err != nil {
		return s, 0, err
	}
	took = time.Since(began)
	answer, err := http.ReadResponse(in, nil)
	if err != nil {
		return s, took, err
	}
	defer answer.Body.Close()
	return s, took, json.NewDecoder(answer.Body).Decode(&s)
}

// propose sends a proposal to a process's admin endpoint, and returns the answer.
func (p *process) propose(proposal fleetconfig.Proposal) (a fleetconfig.ProposalResult, err error) {
	body, _ := json.Marshal(proposal)
	client := http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Post("http://"+p.adminAddress+"/fleet/propose", "application/json", bytes.NewReader(body))
	if err != nil {
		return a, err
	}
	defer answer.Body.Close()
	return a, json.NewDecoder(answer.Body).Decode(&a)
}

// history returns the ids of the proposals that were accepted, as a process knows them.
func (p *process) history(t testing.TB) (ids []string) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + p.adminAddress + "/fleet/history")
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	var all []struct {
		ID string `json:"id"`
	}
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

// waitFor waits until something has happened; the time is only a bound.
func waitFor(t testing.TB, what string, come func() bool) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); !come(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s does not come", what)
		}
	}
}

// waitForAgreement waits until all processes act on this revision or a later one, the same one, under leases.
func (c *cluster) waitForAgreement(version uint64) {
	c.t.Helper()
	c.t.Cleanup(func() {
		if c.t.Failed() && !c.logsShown {
			c.logsShown = true
			c.t.Log(c.logs())
		}
	})
	waitFor(c.t, fmt.Sprintf("agreement on revision %d", version), func() bool {
		latest := uint64(0)
		for _, p := range c.processes {
			s, err := p.status()
			if err != nil || !s.Effective.IsLeased || s.Effective.LatestRevision < version || s.Effective.MinRevision != s.Effective.LatestRevision || latest != 0 && s.Effective.LatestRevision != latest {
				return false
			}
			latest = s.Effective.LatestRevision
		}
		return true
	})
}

// logs are what the processes wrote, for a failure.
func (c *cluster) logs() string {
	var out strings.Builder
	for _, p := range c.processes {
		text, _ := os.ReadFile(p.logFile)
		fmt.Fprintf(&out, "--- %s\n%s\n", p.name, text[max(0, len(text)-2000):])
	}
	return out.String()
}
