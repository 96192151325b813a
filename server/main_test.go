package server

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

func TestServes(t *testing.T) {
	at, came := host(t)
	p := start(t, list(0, true, entry("s", at, "Ready")), nil)
	c := p.client().ask("PING")
	c.answers("+PONG")
	c.ask("C.GET", "7f3a9c21e0b4d655", "9b1f03aa5c7e2d41", "c=read,t=acme,d=3000,r=1,h=250,size=7")
	h := next(t, came, "the retrieval")
	wait, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimPrefix(h.Words[3], "c=read,t=acme,d="), ",r=1,h=250,size=7"))
	if h.Words[0] != "C.GET" || h.Words[1] != "7f3a9c21e0b4d655" || h.Words[2] != "9b1f03aa5c7e2d41" || wait < 1 || wait > 3000 {
		t.Fatalf("the host is sent %q", h.Words)
	}
	h.Say(settled("a value"))
	c.answers("a value")
	big := strings.Repeat("v", 64<<10)
	c.ask("C.SET", "not hex", "id2", "c=report,t=nobody,d=3000,k=5c0f", big)
	h = next(t, came, "the write")
	if len(h.Words) != 5 || h.Words[4] != big || !strings.HasSuffix(h.Words[3], ",k=5c0f") {
		t.Fatalf("the host is sent %.100q", h.Words)
	}
	h.Say(settled(big))
	c.answers(big)
	for _, bad := range []struct{ command, want string }{
		{words("HELLO", "3"), `-ERR unknown command "HELLO"`},
		{words("C.GET", "k", "id"), "-ERR wrong number of words"},
		{words("C.GET", "k", "id", "c=novel,d=5"), "-ERR unknown workload"},
		{words("C.GET", "k", "id", "c=read,d=soon"), "-ERR the list of names and values is malformed"},
		{words("C.GET", "k", "id", "c=read"), "-ERR the list needs a workload in c and a time in d"},
		{words("C.GET", "k", "", "c=read,d=5"), "-ERR a key or an id is missing"},
		{words("C.GET", "k", "id", "c=read,d=inf"), "-ERR the list of names and values is malformed"},
		{words("C.GET", strings.Repeat("k", 1000), "id", "c=read,d=5"), "-ERR a key, an id or a list is too long"},
	} {
		io.WriteString(c, bad.command)
		c.answers(bad.want)
	}
	c.ask("PING").answers("+PONG")
	for _, bad := range []struct{ bytes, want string }{
		{"PING\r\n", "-ERR protocol: a command is an array of bulk strings"},
		{"*1\r\n$-7\r\nx\r\n", "-ERR protocol: malformed message"},
		{"*3\r\n$65537\r\n", "-ERR protocol: length out of bounds"},
		{"*1000\r\n", "-ERR protocol: length out of bounds"},
		{words("C.SET", "k", "id", "c=read,d=5", strings.Repeat("v", 1<<23)), "-ERR protocol: length out of bounds"},
		{words("C.SET", "k", "id", strings.Repeat("v", 60000), strings.Repeat("v", 60000)), "-ERR protocol: length out of bounds"},
		{"*1\r\n:5\r\n", "-ERR protocol: a command is an array of bulk strings"},
	} {
		c := p.client()
		io.WriteString(c, bad.bytes)
		c.answers(bad.want)
		if rest, err := io.ReadAll(c.in); err != nil || len(rest) > 0 { // Not reset: that could take the answer with it.
			t.Errorf("%.20q: the connection ends with %q, %v", bad.bytes, rest, err)
		}
	}
	none(t, came)
}

// Each kind of bad client is owed an error or a close and gets no value; a usual client is served beside them.
func TestBadClients(t *testing.T) {
	t.Parallel()
	at, came := host(t)
	p := start(t, list(0, true, entry("s", at, "Ready")), map[string]any{"limits": map[string]any{"cores": 0.3, "memory_mb": 32, "sockets": 256}})
	usual := p.client().ask("C.GET", "k", "open", "c=book,t=acme,d=20000")
	h := next(t, came, "the retrieval")
	good := words("C.GET", "k", "id", "c=read,t=acme,d=3000")
	done := make(chan string)
	for name, text := range map[string]string{
		"silence": "", "half a command": good[:40], "a line without end": strings.Repeat("k", 1<<20),
		"noise": "\x89?d\xfcD\r\n\xcb%mq", "nested": strings.Repeat("*1\r\n", 5000), "a negative number": "*-3\r\n",
		"a huge number": "*1000000000\r\n", "a wrong length": "*4\r\n$5\r\nC.GET\r\n$1\r\nabcdefgh\r\n",
		"a negative length":   "*4\r\n$5\r\nC.GET\r\n$-4\r\nabcd\r\n",
		"60 MB":               "*5\r\n$5\r\nC.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$10\r\nc=read,d=5\r\n$62914560\r\n" + strings.Repeat("v", 60<<20),
		"an unknown workload": words("C.GET", "k", "id", "c=novel,d=5"), "a time that is none": words("C.GET", "k", "id", "c=read,d=soon"),
		"a time that is too long": words("C.GET", "k", "id", "c=read,d=99999999999999999999"), "no id": words("C.GET", "k"),
		"an open id": words("C.GET", "k", "open", "c=read,d=3000"), "hundreds at once": strings.Repeat(words("C.GET", "k", "id", "c=novel,d=5"), 500),
	} {
		go func() {
			for range 3 { // The same again as soon as it is turned away.
				c := p.client()
				go io.WriteString(c, text)
				line, err := c.in.ReadString('\n')
				if err == nil && !strings.HasPrefix(line, "-ERR ") {
					t.Errorf("%s is answered %q", name, line)
				}
				if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("%s has neither an error nor a close", name)
				}
				c.Close()
			}
			done <- name
		}()
	}
	for range 16 {
		next(t, done, "the end of a bad client")
	}
	none(t, came)
	h.Say(settled("v"))
	usual.answers("v")
	usual.ask("PING").answers("+PONG")
}

func TestAnswersKeepTheOrderOfCommands(t *testing.T) {
	at, came := host(t)
	c := start(t, list(0, true, entry("s", at, "Ready")), nil).client()
	const many = 200 // more than are answered side by side
	go func() {
		for n := range many {
			c.ask("C.GET", "k"+strconv.Itoa(n), "id"+strconv.Itoa(n), "c=read,t=acme,d=10000")
		}
	}()
	var first []command
	for range 5 { // What is asked side by side is answered the other way round.
		first = append(first, next(t, came, "a pipelined retrieval"))
	}
	slices.Reverse(first)
	for _, h := range first {
		h.Say(settled(h.Words[1]))
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case h := <-came:
				h.Say(settled(h.Words[1]))
			case <-done:
				return
			}
		}
	}()
	for n := range many {
		got, err := message(c.in)
		if err != nil || got[0] != "k"+strconv.Itoa(n) && got[0] != "-BUSY" {
			t.Fatalf("answer %d is %q, %v", n, got, err)
		}
	}
}

// Every row of the outcome table, with a one-shot: it may be tried again, or dismissed, only if it never ran.
func TestOutcomes(t *testing.T) {
	for _, row := range []struct {
		name, list, want string
		answer           func(command)
		trips            int // 0: any number
	}{
		{"settled", "c=book,t=acme,d=3000", "v", func(c command) { c.Say(settled("v")) }, 1},
		{"error", "c=book,t=acme,d=3000", "-ERR given up", func(c command) { c.Say("-ERR failed inflight=1,util=0.5\r\n") }, 1},
		{"turned away", "c=book,t=acme,d=200", "-BUSY", func(c command) { c.Say("-BUSY\r\n") }, 0},
		{"turned away with a report", "c=book,t=acme,d=200", "-BUSY", func(c command) { c.Say("-BUSY inflight=1,util=0.5\r\n") }, 0},
		{"reset", "c=book,t=acme,d=3000", "-ERR given up", func(c command) { c.SetLinger(0); c.Close() }, 1},
		{"ends", "c=book,t=acme,d=3000", "-ERR given up", func(c command) { c.Close() }, 1},
		{"ends amid the answer", "c=book,t=acme,d=3000", "-ERR given up", func(c command) { c.Say("*3\r\n$5\r\nab"); c.Close() }, 1},
		{"begins and does not end", "c=book,t=acme,d=3000", "-ERR given up", func(c command) { c.Say("*3\r\n$50\r\nab") }, 1},
		{"an error line of its own", "c=book,t=acme,d=3000", "-ERR given up", func(c command) { c.Say("-SYNTAX\r\n") }, 1},
		{"garbled", "c=book,t=acme,d=3000", "-ERR given up", func(c command) { c.Say("HTTP/1.1 400 Bad Request\r\n") }, 1},
		{"a null for a value", "c=book,t=acme,d=3000", "-ERR given up", func(c command) { c.Say("*3\r\n$-1\r\n$3\r\nhit\r\n$-1\r\n") }, 1},
		{"too long", "c=book,t=acme,d=3000", "-ERR given up", func(c command) { c.Say("*3\r\n$4194305\r\n") }, 1},
		{"silent", "c=book,t=acme,d=500", "-ERR given up", func(c command) {}, 1},
		{"a silent read", "c=read,t=acme,d=500", "-BUSY", func(c command) {}, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			at, came := host(t)
			p := start(t, list(0, true, entry("s", at, "Ready")), nil)
			c := p.client().ask("C.SET", "k", "id", row.list, "v")
			answered := make(chan struct{})
			trips := make(chan int, 1)
			go func() {
				n := 0
				for {
					select {
					case h := <-came:
						n++
						row.answer(h)
					case <-answered:
						trips <- n
						return
					}
				}
			}()
			c.answers(row.want)
			close(answered)
			if n := <-trips; n == 0 || row.trips > 0 && n != row.trips {
				t.Errorf("%d trips", n)
			}
			none(t, came)
		})
	}
	t.Run("refused", func(t *testing.T) {
		l, _ := net.Listen("tcp", "127.0.0.1:0")
		l.Close()
		p := start(t, list(0, true, entry("s", l.Addr().String(), "Ready")), nil)
		p.client().ask("C.SET", "k", "id", "c=book,t=acme,d=100", "v").answers("-BUSY")
	})
}

// Guards one-shots against connections that the host closed while they were idle.
func TestStaleConnection(t *testing.T) {
	at, came := host(t)
	c := start(t, list(0, true, entry("s", at, "Ready")), nil).client()
	for n := range 20 {
		c.ask("C.SET", "k", strconv.Itoa(n), "c=book,t=acme,d=3000", "v")
		h := next(t, came, "the write")
		h.Say(settled("v"))
		h.Close()
		c.answers("v")
	}
}

func TestClientLeaves(t *testing.T) {
	at, came := host(t)
	p := start(t, list(0, true, entry("s", at, "Ready")), nil)
	c := p.client().ask("C.GET", "k", "1", "c=read,t=acme,d=3000")
	h := next(t, came, "the retrieval")
	c.Close()
	next(t, h.Ended, "the end of the connection of a trip whose client has gone")
	none(t, came)
	p.client().ask("PING").answers("+PONG")
}

func TestHalfACommandAndSlowReaders(t *testing.T) {
	at, came := host(t)
	p := start(t, list(0, true, entry("s", at, "Ready")), nil)
	whole := words("C.GET", "k", "1", "c=read,t=acme,d=3000")
	c := p.client()
	io.WriteString(c, whole[:len(whole)-5])
	p.client().ask("PING").answers("+PONG")
	none(t, came)
	io.WriteString(c, whole[len(whole)-5:])
	next(t, came, "the retrieval").Say(settled("v"))
	c.answers("v")

	// Clients that ask for large values and read none of them until all have asked.
	big := settled(strings.Repeat("v", 64<<10))
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case h := <-came:
				go h.Say(big)
			case <-done:
				return
			}
		}
	}()
	var slow []client
	const each = 60
	for range 60 {
		c := p.client()
		slow = append(slow, c)
		for n := range each {
			c.ask("C.GET", "k", fmt.Sprint(len(slow), "-", n), "c=read,t=acme,d=3000")
		}
	}
	for _, c := range slow {
		for range each {
			got, err := message(c.in)
			if err != nil || len(got[0]) != 64<<10 && got[0] != "-BUSY" {
				t.Fatalf("%.60q, %v", got, err)
			}
		}
	}
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	_, peak, _ := bytes.Cut(status, []byte("VmHWM:"))
	kb, _ := strconv.Atoi(strings.Fields(string(peak))[0])
	t.Logf("the most memory was %d kB", kb)
	if kb == 0 || kb > 192<<10 {
		t.Fatalf("the most memory was %d kB", kb)
	}
}

func TestListIsFollowed(t *testing.T) {
	t.Parallel()
	a, fromA := host(t)
	b, fromB := host(t)
	d, calls := discovery(t)
	p := start(t, list(4, true, entry("a", a, "Ready")), map[string]any{"discovery": d})
	next(t, calls, "the first watch").Say(unavailable) // Down at the start: the known list serves.
	p.logged("list lost")
	c := p.client().ask("C.GET", "k", "1", "c=read,t=acme,d=3000")
	next(t, fromA, "the retrieval").Say(settled("v"))
	c.answers("v")
	w := next(t, calls, "the second watch")
	if w.Since != "4" {
		t.Fatalf("it is asked for since %s", w.Since)
	}
	w.Say(list(5, true, entry("a", a, "Ready"), entry("b", b, "Ready")))
	p.logged("list followed again")
	w.Say("")
	w.Say(list(6, false, entry("a", a, "Terminating")))
	p.logged(`"index":6,"changed":1,"ready":[],"draining":["a"],"gone":[]`)
	drained := func() {
		t.Helper()
		for n := range 20 {
			c.ask("C.GET", strconv.Itoa(n), "id", "c=read,t=acme,d=3000")
			next(t, fromB, "the retrieval").Say(settled("v"))
			c.answers("v")
		}
		none(t, fromA)
	}
	drained()
	w.Say(list(7, false, entry("a", a, "Ready"))[:60]) // A damaged line changes nothing.
	p.logged("list lost")
	drained()
	w = next(t, calls, "the third watch")
	if w.Since != "6" {
		t.Fatalf("it is asked for since %s", w.Since)
	}
	w.Say(list(8, false, entry("b", b, "Gone"), entry("a", a, "Ready")))
	p.logged(`"index":8,"changed":2,"ready":["a"],"draining":[],"gone":["b"]`)
	c.ask("C.GET", "k", "1", "c=read,t=acme,d=3000")
	next(t, fromA, "the retrieval").Say(settled("v"))
	c.answers("v")
	w.End() // It ends.
	p.logged("list lost")
	w = next(t, calls, "the fourth watch") // It falls silent.
	w.Say("")
	p.logged("list followed again")
	p.logged("discovery is silent")
	next(t, calls, "the fifth watch")
}

func TestDiscoveryThatTakesCallsAndAnswersNone(t *testing.T) {
	t.Parallel()
	at, came := host(t)
	d, calls := discovery(t)
	p := start(t, list(4, true, entry("s", at, "Ready")), map[string]any{"discovery": d})
	next(t, calls, "the first watch")
	c := p.client().ask("C.GET", "k", "1", "c=read,t=acme,d=3000")
	next(t, came, "the retrieval").Say(settled("v"))
	c.answers("v")
	p.logged("discovery is silent")
	next(t, calls, "the second watch")
}

func TestConfigurationIsReadAgain(t *testing.T) {
	t.Parallel()
	at, came := host(t)
	moved, fromMoved := host(t)
	first, calls := discovery(t)
	second, callsThere := discovery(t)
	p := start(t, list(4, true, entry("s", at, "Ready")), nil, "LB_DISCOVERY="+first)
	old := next(t, calls, "the first watch")
	old.Say("")
	c := p.client().ask("C.GET", "k", "1", "c=read,t=acme,d=3000")
	h := next(t, came, "the retrieval")
	good, _ := os.ReadFile(p.file)
	with := func(address string) string {
		return strings.Replace(string(good), `"discovery":"127.0.0.1:1"`, fmt.Sprintf(`"discovery":%q`, address), 1)
	}
	for _, bad := range []string{"", with(second)[:300], with("nowhere"), strings.Replace(with(second), `"known":`, `"other":`, 1)} {
		os.WriteFile(p.file, []byte(bad), 0o600)
		p.cmd.Process.Signal(syscall.SIGHUP)
		p.logged("configuration rejected")
	}
	os.Remove(p.file)
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.logged("configuration rejected")
	old.Say(list(5, false, entry("s", at, "Ready"))) // It is followed still.
	os.WriteFile(p.file, []byte(with(second)), 0o600)
	p.cmd.Process.Signal(syscall.SIGHUP)
	next(t, callsThere, "a watch at the new address").Say(unavailable)
	w := next(t, callsThere, "another watch there")
	if w.Since != "0" {
		t.Errorf("it is asked for since %s", w.Since)
	}
	old.Say(list(9, true, entry("s", at, "Gone"))) // The old one counts no more.
	w.Say(list(2, true, entry("n", moved, "Ready")))
	p.logged(`"index":2,"changed":2,"ready":["n"],"draining":[],"gone":["s"]`)
	h.Say(settled("v"))
	c.answers("v")
	c.ask("C.GET", "k", "2", "c=read,t=acme,d=3000")
	next(t, fromMoved, "the retrieval").Say(settled("v"))
	c.answers("v")
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.logged("stopping")
	p.cmd.Process.Signal(syscall.SIGHUP)
	if err := next(t, p.ended, "the end"); err != nil {
		t.Fatal(err)
	}
	if len(calls) > 0 {
		t.Error("the old address is called again")
	}
}

func TestStop(t *testing.T) {
	at, came := host(t)
	p := start(t, list(0, true, entry("s", at, "Ready")), nil)
	busy, idle, half := p.client(), p.client(), p.client()
	idle.ask("PING").answers("+PONG")
	io.WriteString(half, "*4\r\n$5\r\nC.G")
	busy.ask("C.GET", "k", "1", "c=read,t=acme,d=3000")
	first := next(t, came, "the retrieval")
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.logged("stopping")
	late := p.client().ask("C.GET", "k", "2", "c=read,t=acme,d=3000")
	second := next(t, came, "the straggler's retrieval")
	idle.ends()
	half.ends()
	first.Say(settled("1"))
	second.Say(settled("2"))
	busy.answers("1")
	late.answers("2")
	busy.ends()
	late.ends()
	if err := next(t, p.ended, "the end"); err != nil {
		t.Fatal(err)
	}
	p.logged(`"all_answered":true`)
}

func TestKilledAndStartedAgain(t *testing.T) {
	at, came := host(t)
	p := start(t, list(0, true, entry("s", at, "Ready")), nil)
	c := p.client().ask("C.GET", "k", "1", "c=read,t=acme,d=3000")
	next(t, came, "the retrieval")
	p.cmd.Process.Kill()
	next(t, p.ended, "the end")
	c.ends()
	p = start(t, list(0, true, entry("gone", "127.0.0.1:1", "Gone"), entry("s", at, "Ready")), map[string]any{"listen": p.address})
	c = p.client().ask("C.GET", "k", "2", "c=read,t=acme,d=3000")
	next(t, came, "the retrieval").Say(settled("v"))
	c.answers("v")
}

func TestDescriptorsNearlyUsedUp(t *testing.T) {
	for _, limit := range []int{0, 60} { // by its own count, and by the system's word
		at, came := host(t)
		p := start(t, list(0, true, entry("s", at, "Ready")),
			map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 150}})
		if limit > 0 {
			if err := limitFiles(p.cmd.Process.Pid, limit); err != nil {
				t.Fatal(err)
			}
		}
		for range 300 {
			p.client().ask("PING").answers("+PONG")
		}
		c := p.client()
		c.ask("C.GET", "k", "1", "c=read,t=acme,d=3000")
		next(t, came, "the retrieval").Say(settled("v"))
		c.answers("v")
		open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		p.cmd.Process.Signal(syscall.SIGTERM)
		if err := next(t, p.ended, "the end"); err != nil {
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

// During a move, balancers of the old shape and of the new stand before the same hosts, which take six retrievals at
// a time. All rules hold for them together, with a host that drains and one that comes back cold, and neither kind
// starves the other.
func TestBothShapesBeforeTheSameHosts(t *testing.T) {
	t.Parallel()
	const places, service, clients, asks = 6, 15 * time.Millisecond, 8, 200
	const grace, within = 250 * time.Millisecond, 3 * time.Second
	old := with(`"balancers":4,"invariants":{"askEvery":10000,"drainGrace":250,"startCapacity":0.2,"warmUp":20000,
		"fallMultiple":2.5,"tipAfter":3000}`)
	young := with(`"balancers":4,"invariants":{"askEvery":10000,"drainGrace":250,"startCapacity":0.2,"warmUp":20000,
		"fallMultiple":2.5,"tipAfter":3000},"zones":["z","y"],"zone":"y","weights":"live","registryMode":"automatic",
		"report":{"source":"piggyback","fields":["served_ps","pending","cpu_share"]}`)
	var mu sync.Mutex
	ran, from, drains := map[string]int{}, map[string]int{}, [4]time.Time{}
	var begun [4][]time.Time
	var at [4]string
	for n := range at {
		address, came := host(t)
		at[n] = address
		held := 0
		go func() {
			for c := range came {
				mu.Lock()
				if stop := drains[n]; !stop.IsZero() && time.Since(stop) > grace+50*time.Millisecond {
					t.Errorf("host %d is sent %q after its grace", n, c.Words)
				}
				begun[n] = append(begun[n], time.Now())
				report := fmt.Sprintf("served_ps=%d,pending=%d,cpu_share=%.2f", len(begun[n]), 0, float64(held)/places)
				if held == places {
					mu.Unlock()
					c.Say("-BUSY " + report + "\r\n")
					continue
				}
				held++
				ran[c.Words[2]]++
				from[c.Words[2][:1]]++
				breaks := len(begun[n])%25 == 0 // It has run, and nobody hears of it.
				mu.Unlock()
				time.AfterFunc(service, func() {
					mu.Lock()
					held--
					mu.Unlock()
					if breaks {
						c.Close()
						return
					}
					c.Say(fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$%d\r\n%s\r\n", len(c.Words[2]), c.Words[2], len(report), report))
				})
			}
		}()
	}
	row := func(n int, status string, weight float64, since int64) string {
		return fmt.Sprintf(`{"name":"s%d","address":%q,"zone":%q,"type":"std","group":0,"status":%q,"weight":%g,"since_ms":%d}`,
			n, at[n], []string{"z", "y"}[n%2], status, weight, since)
	}
	finder, calls := discovery(t)
	var watches []call
	known := list(0, true, row(0, "Ready", 1, 0), row(1, "Ready", 1, 0), row(2, "Ready", 1, 0))
	var programs [4]*program
	for n := range programs {
		settings := maps.Clone([]map[string]any{old, young}[n%2])
		settings["discovery"] = finder
		programs[n] = start(t, known, settings)
		watches = append(watches, next(t, calls, "a watch"))
	}
	say := func(index int, whole bool, rows ...string) {
		for _, w := range watches {
			w.Say(list(index, whole, rows...))
		}
	}
	alive := time.NewTicker(time.Second)
	defer alive.Stop()
	go func() {
		for range alive.C { // As discovery does while nothing changes.
			for _, w := range watches {
				w.Say("")
			}
		}
	}()
	say(1, true, row(0, "Ready", 0.4, 0), row(1, "Ready", 0.9, 0), row(2, "Ready", 0.2, 0))

	var settled, asked [2]atomic.Int64
	var everybody sync.WaitGroup
	part := make(chan int, 4*clients)
	for n := range 4 * clients {
		p, shape := programs[n%4], n%4%2
		everybody.Add(1)
		go func() {
			defer everybody.Done()
			c := p.client()
			for k := range asks {
				id := fmt.Sprintf("%d-%d-%d", shape, n, k)
				workload := []string{"read", "read", "report", "book"}[k%4]
				began := time.Now()
				c.ask("C.GET", fmt.Sprintf("%016x", (n*asks+k)*7919), id, "c="+workload+",t=acme,d=3000")
				answer, err := message(c.in)
				asked[shape].Add(1)
				switch {
				case err != nil || len(answer) != 1 || time.Since(began) > within:
					t.Errorf("%s is lost: %q, %v", id, answer, err)
					return
				case answer[0] == id:
					settled[shape].Add(1)
				case strings.HasPrefix(answer[0], "-BUSY"):
					<-time.After(service) // As clients do: one that asks on at once is dismissed until it has asked all.
				case !strings.HasPrefix(answer[0], "-ERR given up"):
					t.Errorf("%s is answered %q", id, answer)
				}
				if k == asks/4 || k == asks/2 {
					part <- k
				}
			}
		}()
	}
	for range 2 * clients {
		next(t, part, "a quarter of the retrievals")
	}
	mu.Lock()
	cold := time.Now()
	mu.Unlock()
	say(2, false, row(3, "Ready", 1, cold.UnixMilli()))
	for range 4 * clients {
		next(t, part, "half of the retrievals")
	}
	mu.Lock()
	drains[0] = time.Now()
	mu.Unlock()
	say(3, false, row(0, "Terminating", 0.4, 0))
	everybody.Wait()

	mu.Lock()
	defer mu.Unlock()
	for id, n := range ran {
		if k, _ := strconv.Atoi(id[strings.LastIndexByte(id, '-')+1:]); k%4 == 3 && n > 1 {
			t.Errorf("the one-shot %s ran %d times", id, n)
		}
	}
	warm, young3 := 0, 0 // begun in the first second after the cold host came
	for n := range begun {
		for _, when := range begun[n] {
			if since := when.Sub(cold); since > 0 && since < time.Second && n == 3 {
				young3++
			} else if since > 0 && since < time.Second {
				warm++
			}
		}
	}
	if can := float64(warm) / 3 * 0.25; float64(young3) > 2.5*can+8 || warm == 0 {
		t.Errorf("%d to a cold host that can do about %.0f, while the others got %d", young3, can, warm)
	}
	for shape, name := range []string{"old", "new"} {
		got, of := settled[shape].Load(), asked[shape].Load()
		t.Logf("%s shape: %d of %d settled; hosts began %d for it", name, got, of, from[strconv.Itoa(shape)])
		if got < of*8/10 || from[strconv.Itoa(shape)] < from[strconv.Itoa(1-shape)]*8/10 {
			t.Errorf("the %s shape starves: %d of %d settled", name, got, of)
		}
	}
	if len(begun[3]) == 0 {
		t.Error("nothing reached the host that came back")
	}
}

func TestBadStart(t *testing.T) {
	good := fileWith(t, map[string]any{"known": json.RawMessage(list(0, true))})
	for _, c := range []struct {
		change   map[string]any
		variable string
		want     string
	}{
		{nil, "LB_CONFIG=", "LB_CONFIG: not set"},
		{nil, "LB_CONFIG=/nowhere", "LB_CONFIG: open /nowhere"},
		{nil, "LB_LISTEN=here", `LB_LISTEN: "here" is not an address`},
		{nil, "LB_MGMT=up", `LB_MGMT: "up" is not an address`}, {map[string]any{"mgmt": "192.0.2.1:1"}, "", "mgmt: "},
		{map[string]any{"mgmt": ""}, "", `mgmt: "" is not an address`},
		{nil, "LB_LISTEN_FD=x", `LB_LISTEN_FD: "x" is not a descriptor`}, {nil, "LB_LISTEN_FD=2", "LB_LISTEN_FD: "},
		{nil, "LB_LISTEN_FD=77", "LB_LISTEN_FD: descriptor 77: "},
		{nil, "LB_DISCOVERY=there", `LB_DISCOVERY: "there" is not an address`},
		{map[string]any{"name": nil}, "", "name: missing"},
		{map[string]any{"listen": 5}, "", `listen: "5" is not an address`},
		{map[string]any{"listen": "192.0.2.1:1"}, "", "listen: "},
		{map[string]any{"seed": "none"}, "", "seed: not a hexadecimal number"},
		{map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 192}}, "", "limits.sockets: not a number"},
		{map[string]any{"limits": map[string]any{"cores": 1, "sockets": 1024}}, "", "limits.memory_mb: not a number"},
		{map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 11, "sockets": 64}}, "", "limits.memory_mb: not a number of at least 12"},
		{map[string]any{"limits": nil}, "", "limits.cores: not a number"},
		{map[string]any{"known": nil}, "", "known: not a list"},
		{map[string]any{"known": json.RawMessage(list(0, true, entry("s", "127.0.0.1:1", "Fine")))}, "", "known: entry 0 of the list: bad status"},
		{map[string]any{"settings": nil}, "", "settings: not an object"},
		{map[string]any{"settings": map[string]any{}}, "", "settings.workloads: names no workload"},
		{map[string]any{"settings": json.RawMessage(strings.Replace(settings, `"mostTrips":3`, `"mostTrips":1e9`, 1))}, "",
			"settings.allowed.mostTrips: not a number from 1 to 1000"},
		{with(`"balancers":0`), "", "settings.balancers: not a number"}, {with(`"balancers":"many"`), "", "settings.balancers: not a number"},
		{with(`"invariants":{"deadlineDrift":-1}`), "", "settings.invariants.deadlineDrift: not milliseconds"},
		{with(`"invariants":{"orderSettle":"50"}`), "", "settings.invariants.orderSettle: not milliseconds"},
		{with(`"invariants":{"bootStampError":1e9}`), "", "settings.invariants.bootStampError: not milliseconds"},
		{with(`"invariants":{"onlyDrainingBinds":1}`), "", "settings.invariants.onlyDrainingBinds: neither"},
		{with(`"goal":{"missShare":2}`), "", "settings.goal.missShare: not a part"},
		{with(`"workloads":[{"name":"read","keepOrder":"yes"}]`), "", "settings.workloads.0.keepOrder: neither"},
		{with(`"workloads":[]`), "", "settings.workloads: names no workload"},
		{with(`"workloads":[{"name":"read","effect":"free","expectedTime":5,"hardStop":0}]`), "", "settings.workloads.0.hardStop: not milliseconds over 0"},
		{with(`"workloads":[{"name":"read","effect":"free","expectedTime":5,"hardStop":"5"}]`), "", "settings.workloads.0.hardStop: not milliseconds over 0"},
		{with(`"workloads":[{"name":"read","effect":"free","hardStop":5}]`), "", "settings.workloads.0.expectedTime: not milliseconds over 0"},
		{with(`"workloads":[{"name":"read","effect":"odd","expectedTime":5,"hardStop":5}]`), "", "settings.workloads.0.effect: none of"},
		{with(`"workloads":[{"name":"read","expectedTime":5,"hardStop":5}]`), "", "settings.workloads.0.effect: none of"},
		{with(`"workloads":[{"effect":"free","expectedTime":5,"hardStop":5}]`), "", "settings.workloads.0.name: not a name of its own"},
		{with(`"workloads":[{"name":"read","effect":"free","expectedTime":5,"hardStop":5},{"name":"read","effect":"free","expectedTime":5,"hardStop":5}]`), "",
			"settings.workloads.1.name: not a name of its own"},
		{with(`"workloads":[{"name":"read","effect":"guarded","dedupWindow":-1,"expectedTime":5,"hardStop":5}]`), "", "settings.workloads.0.dedupWindow: not"},
		{with(`"workloads":[{"name":"read","effect":"free","value":-1,"expectedTime":5,"hardStop":5}]`), "", "settings.workloads.0.value: not"},
		{with(`"tenants":[{"name":"acme","fraction":-0.1}]`), "", "settings.tenants.0.fraction: not a part"},
		{with(`"tenants":[{"name":"acme","quotaRps":-1}]`), "", "settings.tenants.0.quotaRps: not a number"},
		{with(`"tenants":[{"name":"acme"},{"name":"acme"}]`), "", "settings.tenants.1.name: not a name of its own"},
		{with(`"weights":"heavy"`), "", "settings.weights: none of"}, {with(`"weights":3`), "", "settings.weights: none of"},
		{with(`"zone":"nowhere"`), "", "settings.zone: none of settings.zones"},
		{with(`"registryMode":"pigeon"`), "", "settings.registryMode: neither"},
		{with(`"extra":{"mode":"aside","originKind":0}`), "", "settings.extra.mode: not through"},
		{with(`"report":{"source":"rumour"}`), "", "settings.report.source: none of"},
		{with(`"report":{"fields":["a","a"]}`), "", "settings.report.fields: not a list"},
		{with(`"report":{"fields":"pending"}`), "", "settings.report.fields: not a list"},
		{with(`"report":{"fields":[7]}`), "", "settings.report.fields: not a list"},
	} {
		file := good
		if c.change != nil {
			file = fileWith(t, c.change)
		}
		cmd := programWith(file)
		if c.variable != "" {
			cmd = programWith(file, c.variable)
		}
		var out bytes.Buffer
		cmd.Stderr = &out
		stuck := time.AfterFunc(patience, func() { cmd.Process.Kill() }) // It serves: no error was found.
		err := cmd.Run()
		stuck.Stop()
		text := out.String()
		if err == nil || !strings.Contains(text, c.want) || strings.Count(text, "\n") != 1 {
			t.Errorf("%v %s: %v, wrote %q, want %q", c.change, c.variable, err, text, c.want)
		}
	}
}
