package server

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"hollylever/fakes"
)

// What the usual clients do beside clients that send at full speed, and what they are owed.
const (
	usualClients   = 30
	usualPause     = 150 * time.Millisecond // between two requests of one of them
	usualDeadline  = 185 * time.Millisecond
	usualSlack     = 50 * time.Millisecond // after the deadline, from which on an answer counts as late
	hostDelay      = 12 * time.Millisecond
	hosts          = 14
	untroubledSpan = time.Second
	crowdedSpan    = 2 * time.Second
	maxLateness    = holdUp // of the test itself: more than the pages allow a process to be held up for does not count
)

// chargeMapSettings are those of a deployment with short deadlines.
const chargeMapSettings = `"workloads":[
{"name":"read","effect":"free","group":"all","expectedTime":600,"hardStop":1500,"value":3,"tardyValue":0.3},
{"name":"book","effect":"single_shot","group":"all","expectedTime":500,"hardStop":1200,"value":8,"tardyValue":0.3},
{"name":"report","effect":"guarded","group":"all","dedupWindow":4000,"expectedTime":500,"hardStop":1000,"value":2,"tardyValue":0.3}]`

// crowd is clients that send without a pause, each on connections of its own.
type crowd struct {
	clients    int
	memoryMB   int  // of the program; 0: crowdedMemory
	isShared   bool // the program shares its processor with a busy process
	command    func(client, number int) string
	batch      int  // commands that are written at once
	awaits     bool // each client reads the replies to a batch before it sends the next one
	reconnects bool // and does so on a new connection
}

func pings(int, int) string { return encodeCommand("PING") }

func readsWithoutID(client, number int) string {
	return encodeCommand("C.GET", fmt.Sprint(client, "-", number), "", "c=read,t=acme,d=185")
}

func unknownCommands(client, number int) string {
	return encodeCommand(fmt.Sprint("NOVEL-", client, "-", number))
}

func unknownClasses(client, number int) string {
	id := fmt.Sprint(client, "-", number)
	return encodeCommand("C.GET", id, id, "c=novel-"+id+",d=185")
}

func admittedReads(client, number int) string {
	id := fmt.Sprint("crowd-", client, "-", number)
	return encodeCommand("C.GET", id, id, "c=read,t=acme,d=185")
}

// crowdVariable names a crowd that this binary sends as a process of its own, so that it takes no processor time from the
// usual clients and the cache hosts, which run in the test's process.
const crowdVariable = "HOLLYLEVER_TEST_CROWD"

// crowdProcessors is how many processors the crowd uses at most.
const crowdProcessors = "2"

// runAsCrowd sends the crowd that the environment names, and prints how many replies it got.
func runAsCrowd() {
	span, _ := time.ParseDuration(os.Getenv("CROWD_SPAN"))
	fmt.Print(crowds[os.Getenv(crowdVariable)].run(os.Getenv("CROWD_ADDRESS"), time.Now().Add(span)))
}

// startCrowd starts a crowd, and returns a function that waits for its end and returns how many replies it got.
func startCrowd(t *testing.T, name, address string, span time.Duration) (wait func() string) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), crowdVariable+"="+name, "CROWD_ADDRESS="+address, "CROWD_SPAN="+span.String(), "GOMAXPROCS="+crowdProcessors)
	var replies strings.Builder
	cmd.Stdout = &replies
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return func() string {
		if err := cmd.Wait(); err != nil {
			t.Error(err)
		}
		return replies.String()
	}
}

func noise(int, int) string { return "\x89?d\xfcD\r\n" }

// singleBytes are PINGs that are written byte by byte.
func singleBytes(_, number int) string {
	ping := encodeCommand("PING")
	return ping[number%len(ping):][:1]
}

// run has the crowd send until the end, and returns how many replies it got.
func (w crowd) run(address string, end time.Time) (replies int64) {
	var all sync.WaitGroup
	var total atomic.Int64
	for client := range w.clients {
		all.Go(func() {
			for number := 0; time.Now().Before(end); {
				number = w.converse(address, client, number, end, &total)
			}
		})
	}
	all.Wait()
	return total.Load()
}

// converse has one client send on one connection, and returns the number of its next command.
func (w crowd) converse(address string, client, number int, end time.Time, total *atomic.Int64) int {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(time.Millisecond)
		return number
	}
	defer c.Close()
	c.SetDeadline(end.Add(time.Second))
	replies := bufio.NewReaderSize(c, 64<<10)
	if !w.awaits {
		go func() {
			for {
				if _, err := replies.ReadSlice('\n'); err != nil {
					return
				}
				total.Add(1)
			}
		}()
	}
	for time.Now().Before(end) {
		var text strings.Builder
		for range w.batch {
			text.WriteString(w.command(client, number))
			number++
		}
		if _, err := io.WriteString(c, text.String()); err != nil {
			return number
		}
		for n := 0; w.awaits && n < w.batch; n++ {
			if _, err := readMessage(replies); err != nil {
				return number
			}
			total.Add(1)
		}
		if w.reconnects {
			return number
		}
	}
	return number
}

// usualFigures is what the usual clients met.
type usualFigures struct {
	answers, late, lost, refused int
	median, p99                  time.Duration
	testLate                     time.Duration // how late the test itself ran
	err                          error         // of one that was lost
}

func (f usualFigures) String() string {
	return fmt.Sprintf("%d answers: median %.1f ms, p99 %.1f ms, %d late, %d lost or half a second late (%v), %d refused; the test late by %v",
		f.answers, f.median.Seconds()*1e3, f.p99.Seconds()*1e3, f.late, f.lost, f.err, f.refused, f.testLate)
}

// connectUsual connects the usual clients.
func (p *program) connectUsual() (all []client) {
	p.t.Helper()
	for range usualClients {
		all = append(all, p.connect())
	}
	return all
}

// askAsUsual has the usual clients ask until the end, from several goroutines.
func (p *program) askAsUsual(clients []client, phase string, end time.Time) (f usualFigures) {
	var all sync.WaitGroup
	var mu sync.Mutex
	var took []time.Duration
	metronome := fakes.StartMetronome()
	for n, c := range clients {
		all.Go(func() {
			time.Sleep(usualPause * time.Duration(n) / usualClients)
			for round := 0; time.Now().Before(end); round++ {
				sent := time.Now()
				got, err := c.ask(p, fmt.Sprint(phase, "-", n, "-", round))
				spent := time.Since(sent)
				mu.Lock()
				if f.count(got, err); err == nil {
					took = append(took, spent)
				}
				mu.Unlock()
				if err != nil {
					return
				}
				time.Sleep(max(0, usualPause-spent))
			}
		})
	}
	all.Wait()
	f.testLate = min(maxLateness, metronome.Stop())
	slices.Sort(took)
	for _, spent := range took {
		if spent > usualDeadline+answerSlack+f.testLate {
			f.lost++
		} else if spent > usualDeadline+usualSlack+f.testLate {
			f.late++
		}
	}
	if f.answers = len(took); f.answers > 0 {
		f.median, f.p99 = took[f.answers/2], took[f.answers*99/100]
	}
	return f
}

// ask asks once, as a usual client does. Between two requests its connection may be closed, which costs it a new one.
func (c *client) ask(p *program, id string) (reply string, err error) {
	end := time.Now().Add(usualDeadline + answerSlack + time.Second)
	for {
		c.SetDeadline(end)
		c.send("C.GET", id, id, fmt.Sprintf("c=read,t=acme,d=%d", usualDeadline.Milliseconds()))
		got, err := readMessage(c.in)
		if err == nil {
			return got[0], nil
		}
		connection, dialErr := net.DialTimeout("tcp", p.address, time.Until(end))
		if errors.Is(err, os.ErrDeadlineExceeded) || dialErr != nil {
			return "", err
		}
		c.Close()
		*c = client{p.t, connection.(*net.TCPConn), bufio.NewReader(connection)}
	}
}

// count counts one reply, but for how late it is: that is known once it is known how late the test was.
func (f *usualFigures) count(reply string, err error) {
	switch {
	case err != nil:
		f.lost++
		f.err = err
	case reply != "v":
		f.refused++
	}
}

// startCrowded starts a program of the size of a small deployment, for a crowd.
func startCrowded(t *testing.T, w crowd) *program {
	t.Helper()
	var entries []string
	for n := range hosts {
		entries = append(entries, listEntry(fmt.Sprint("s-", n), startValueHost(t, hostDelay, 1), "Ready"))
	}
	changes := settingsWith(chargeMapSettings)
	changes["limits"] = map[string]any{"cores": 1.0, "memory_mb": cmp.Or(w.memoryMB, crowdedMemory), "sockets": 512}
	changes["mgmt"] = "127.0.0.1:0"
	p := startProgram(t, endpointList(0, true, entries...), changes)
	if w.isShared {
		p.shareCore(t)
	}
	return p
}

// shareCore moves the program to one core, on which another process's worth of work runs.
func (p *program) shareCore(t *testing.T) {
	t.Helper()
	var allowed, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &allowed); err != nil {
		t.Fatal(err)
	}
	one.Set(lastCore(allowed))
	for _, thread := range p.threads(t) {
		if err := unix.SchedSetaffinity(thread, &one); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(p.startBusyLoop(t))
}

// startBusyLoop starts what keeps the program's core busy, if it shares one.
func (p *program) startBusyLoop(t *testing.T) (stop func()) {
	t.Helper()
	var core unix.CPUSet
	if err := unix.SchedGetaffinity(p.cmd.Process.Pid, &core); err != nil {
		t.Fatal(err)
	}
	return fakes.RunBusyLoop(lastCore(core), 1, time.Minute)
}

// lastCore returns the last core of a set.
func lastCore(set unix.CPUSet) (last int) {
	const maxCores = 1024
	for n := range maxCores {
		if set.IsSet(n) {
			last = n
		}
	}
	return last
}

// crowdedMemory is the program's memory in MB.
const crowdedMemory = 64

var crowds = map[string]crowd{
	"pings":                        {clients: 6, batch: 200, command: pings},
	"pings, shared processor":      {clients: 6, batch: 200, command: pings, isShared: true},
	"pings of 40, shared":          {clients: 40, batch: 200, command: pings, isShared: true},
	"awaited pings of 40":          {clients: 40, batch: 200, command: pings, awaits: true},
	"pings of 40 that reconnect":   {clients: 40, batch: 200, command: pings, awaits: true, reconnects: true},
	"reads without an id":          {clients: 6, batch: 200, command: readsWithoutID},
	"reads without an id of 200":   {clients: 200, batch: 200, command: readsWithoutID, memoryMB: 32},
	"unknown commands":             {clients: 6, batch: 200, command: unknownCommands},
	"unknown classes":              {clients: 6, batch: 200, command: unknownClasses},
	"admitted reads":               {clients: 6, batch: 200, command: admittedReads},
	"admitted reads of 40, shared": {clients: 40, batch: 200, command: admittedReads, isShared: true},
	"awaited reads of 40":          {clients: 40, batch: 200, command: admittedReads, awaits: true},
	"one read after the other":     {clients: 40, batch: 1, command: admittedReads, awaits: true},
	"noise":                        {clients: 40, batch: 200, command: noise},
	"single bytes":                 {clients: 40, batch: 1, command: singleBytes},
}

// Clients that send without a pause use up the processor, and other clients get their replies late or never.
func TestClientsThatSendAtFullSpeedDelayNobodyElse(t *testing.T) {
	for name, w := range crowds {
		t.Run(strings.NewReplacer(" ", "_", ",", "").Replace(name), func(t *testing.T) {
			p := startCrowded(t, w)
			usual := p.connectUsual()
			untroubled := p.askAsUsual(usual, "untroubled", time.Now().Add(untroubledSpan))
			replies := startCrowd(t, name, p.address, crowdedSpan)
			crowded := p.askAsUsual(usual, "crowded", time.Now().Add(crowdedSpan))
			t.Logf("untroubled: %v", untroubled)
			t.Logf("crowded:    %v; the crowd got %s replies", crowded, replies())
			if crowded.late+crowded.lost > untroubled.late+untroubled.lost {
				t.Errorf("%d late and %d lost, want none", crowded.late, crowded.lost)
			}
			if crowded.median > 2*untroubled.median {
				t.Errorf("median %v, want at most twice %v", crowded.median, untroubled.median)
			}
		})
	}
}

// moveDiscovery writes another discovery address into the configuration.
func (p *program) moveDiscovery(address string) {
	p.t.Helper()
	text, err := os.ReadFile(p.file)
	if err != nil {
		p.t.Fatal(err)
	}
	moved := strings.Replace(string(text), `"discovery":"127.0.0.1:1"`, fmt.Sprintf(`"discovery":%q`, address), 1)
	if err := os.WriteFile(p.file, []byte(moved), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// threads returns the threads of the program.
func (p *program) threads(t *testing.T) (threads []int) {
	t.Helper()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range list {
		thread, err := strconv.Atoi(entry.Name())
		if err != nil {
			t.Fatal(err)
		}
		threads = append(threads, thread)
	}
	return threads
}

// A client sends reads at full speed beside a crowd and closes its connection while most of them are unread: none of its
// attempts may begin later than the protocol allows. Seen before: its close waits behind what is unread.
func TestNothingBeginsForClientsThatCloseBehindUnreadRequests(t *testing.T) {
	r := recorder(t, func(fakes.Attempt) fakes.Response { return fakes.Response{After: hostDelay, Text: valueReply("v")} })
	changes := settingsWith(chargeMapSettings)
	changes["limits"] = map[string]any{"cores": 1.0, "memory_mb": crowdedMemory, "sockets": 512}
	p := startProgram(t, endpointList(0, true, listEntry("s", r.Address, "Ready")), changes)
	wait := startCrowd(t, "pings of 40, shared", p.address, crowdedSpan)
	var mu sync.Mutex
	closedAt := map[string]time.Time{}
	var all sync.WaitGroup
	for n := range 8 {
		all.Go(func() {
			for round := 0; round < 3; round++ {
				name := fmt.Sprint("leaves-", n, "-", round, "-")
				c := p.connect()
				go io.Copy(io.Discard, c)
				stop := time.Now().Add(time.Duration(100+60*n) * time.Millisecond)
				c.SetWriteDeadline(stop)
				for number := 0; time.Now().Before(stop); number++ {
					id := fmt.Sprint(name, number)
					if _, err := io.WriteString(c, encodeCommand("C.GET", id, id, "c=read,t=acme,d=1500")); err != nil {
						break
					}
				}
				c.Close()
				mu.Lock()
				closedAt[name] = time.Now()
				mu.Unlock()
			}
		})
	}
	all.Wait()
	wait()
	time.Sleep(usualDeadline)
	begun, late := 0, 0
	for _, a := range r.Attempts() {
		if client := strings.LastIndex(a.ID, "-") + 1; strings.HasPrefix(a.ID, "leaves-") {
			begun++
			if a.Begun.Sub(closedAt[a.ID[:client]]) > afterClose+harnessSlack {
				late++
			}
		}
	}
	if begun == 0 || late > 0 {
		t.Errorf("%d attempts, %d of them later than %v after their client had closed; want some, and none late", begun, late, afterClose)
	}
	t.Logf("%d attempts", begun)
}

// Beside a crowd operators get their answers, a new configuration is followed, and a stop answers what was taken and ends in
// time.
func TestOperatorsAreServedBesideACrowd(t *testing.T) {
	p := startCrowded(t, crowd{})
	usual := p.connectUsual()
	wait := startCrowd(t, "pings of 40, shared", p.address, crowdedSpan)
	end := time.Now().Add(crowdedSpan / 2)
	asked := make(chan usualFigures, 1)
	go func() { asked <- p.askAsUsual(usual, "usual", end) }()
	longest := time.Duration(0)
	for time.Now().Before(end) {
		began := time.Now()
		p.adminRequest("GET", "/metrics")
		longest = max(longest, time.Since(began))
		time.Sleep(usualSlack)
	}
	figures := <-asked
	if figures.late+figures.lost > 0 {
		t.Errorf("%v; want none late", figures)
	}
	if longest > usualSlack+figures.testLate {
		t.Errorf("the admin endpoint takes %v, want at most %v, and %v that the test was late", longest, usualSlack, figures.testLate)
	}
	_, metrics := p.adminRequest("GET", "/metrics")
	if strings.Contains(metrics, "turns.waits=0\n") || !strings.Contains(metrics, "turns.waits=") {
		t.Errorf("the waits of the crowd do not show in\n%s", metrics)
	}
	at, calls := startDiscovery(t)
	p.moveDiscovery(at)
	began := time.Now()
	p.cmd.Process.Signal(syscall.SIGHUP)
	receive(t, calls, "a watch at the new discovery")
	if took := time.Since(began); took > answerSlack {
		t.Errorf("the watch at the new discovery takes %v, want at most %v", took, answerSlack)
	}
	last := p.connect()
	last.send("C.GET", "last", "last", "c=read,t=acme,d=1500")
	began = time.Now()
	p.cmd.Process.Signal(syscall.SIGTERM)
	last.expectReply("v")
	if err := receive(t, p.exited, "the end"); err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took > 1500*time.Millisecond+killSlack { // The longest deadline of chargeMapSettings.
		t.Errorf("the stop takes %v", took)
	}
	wait()
}
