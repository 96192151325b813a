package server

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"hollylever/fakes"
)

// What the protocol allows.
const (
	afterClose   = 100 * time.Millisecond // no attempt may begin later after its client has gone
	toldSlack    = 150 * time.Millisecond // a server may be told so much more than its client has left
	answerSlack  = 500 * time.Millisecond // a final answer may come so late
	killSlack    = 700 * time.Millisecond // SIGKILL may come the longest deadline and so long after SIGTERM
	cappedAt     = 3 * time.Second        // the longest deadline counts so much there at most
	holdUp       = 150 * time.Millisecond // a process may be held up for so long
	harnessSlack = 50 * time.Millisecond  // what the test itself may be late
)

func recorder(t *testing.T, respond func(fakes.Attempt) fakes.Response) *fakes.Recorder {
	t.Helper()
	r, err := fakes.NewRecorder("s", respond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// deadlines are settings with one class of a deadline.
func deadlines(expected, deadline time.Duration) map[string]any {
	return settingsWith(fmt.Sprintf(`"workloads":[{"name":"read","effect":"free","group":"all","expectedTime":%d,"hardStop":%d,"value":1,"tardyValue":0.2}]`,
		expected.Milliseconds(), deadline.Milliseconds()))
}

// holdUpFor stops the process, does something meanwhile, and lets it go on after the time. It tells when.
func (p *program) holdUpFor(span time.Duration, meanwhile func()) (resumed time.Time) {
	p.cmd.Process.Signal(syscall.SIGSTOP)
	end := time.Now().Add(span)
	p.awaitState("T")
	meanwhile()
	time.Sleep(time.Until(end))
	resumed = time.Now()
	p.cmd.Process.Signal(syscall.SIGCONT)
	return resumed
}

// awaitState waits until the system shows the process in a state.
func (p *program) awaitState(state string) {
	p.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		if processState(p.cmd.Process.Pid) == state {
			return
		}
	}
	p.t.Fatalf("the process does not come to state %s", state)
}

// The process is stopped while requests wait for a retry, and their clients disconnect meanwhile. When it goes on, the
// disconnects and the retry timers are due at once: nothing may be sent for these clients.
func TestNothingIsSentForClientsThatLeftDuringAHoldUp(t *testing.T) {
	const clients, rounds = 10, 12
	for name, leaves := range map[string]func(*net.TCPConn){
		"close": func(c *net.TCPConn) { c.Close() },
		"reset": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			r := recorder(t, func(a fakes.Attempt) fakes.Response {
				if strings.HasPrefix(a.ID, "left") {
					return fakes.Response{Text: "-BUSY\r\n"}
				}
				return fakes.Serving(a)
			})
			p := startProgram(t, endpointList(0, true, listEntry("s", r.Address, "Ready")), settingsWith(`"allowed":{"cancelling":true,"connIdle":5000,"dialTimeout":200,
				"mostHeld":20000,"mostTrips":30,"secondCopies":true,"retryAfter":false}`))
			leftAt := map[string]time.Time{}
			resumedAt := map[string]time.Time{}
			for round := range rounds {
				waiting := map[string]client{}
				for n := range clients {
					id := fmt.Sprintf("left-%d-%d", round, n)
					c := p.connect().send("C.GET", "k", id, "c=read,t=acme,d=3000")
					if begins(r, id, c) {
						waiting[id] = c
					}
				}
				resumed := p.holdUpFor(holdUp, func() {
					for id, c := range waiting {
						leaves(c.TCPConn)
						leftAt[id] = time.Now()
					}
				})
				for id := range waiting {
					resumedAt[id] = resumed
				}
				c := p.connect()
				for n := range 10 {
					c.send("C.GET", "k", fmt.Sprintf("stays-%d-%d", round, n), "c=read,t=acme,d=3000")
					readMessage(c.in)
				}
				c.Close()
			}
			if len(leftAt) < rounds {
				t.Fatalf("only %d requests waited as their clients left", len(leftAt))
			}
			late := 0
			for _, a := range r.Attempts() {
				// Sent before the process was stopped, it can be read here a little later on a busy machine.
				if left, is := leftAt[a.ID]; is && a.Begun.Sub(left) > afterClose && a.Begun.After(resumedAt[a.ID]) {
					late++
				}
			}
			if late > 0 {
				t.Errorf("%d attempts for %d clients began more than %v after these had gone", late, len(leftAt), afterClose)
			}
		})
	}
}

func countBegun(r *fakes.Recorder, prefix string) int {
	ids := map[string]bool{}
	for _, a := range r.Attempts() {
		if strings.HasPrefix(a.ID, prefix) {
			ids[a.ID] = true
		}
	}
	return len(ids)
}

// A request waits behind others of its connection, or in the kernel while the process is stopped: its deadline counts
// from its last byte.
func TestDeadlineCountsFromLastByte(t *testing.T) {
	for _, commands := range []int{40, 200, 600} {
		t.Run(fmt.Sprint("of ", commands, " commands at once"), func(t *testing.T) {
			t.Parallel()
			timeOfPipelinedCommands(t, commands)
		})
	}
	for _, connections := range []string{"kept", "new"} {
		t.Run("while the process is held up, connections "+connections, func(t *testing.T) {
			t.Parallel()
			timeWhileHeldUp(t, connections == "kept")
		})
	}
}

func timeOfPipelinedCommands(t *testing.T, commands int) {
	const deadline = time.Second
	r := recorder(t, fakes.Hanging)
	p := startProgram(t, endpointList(0, true, listEntry("s", r.Address, "Ready")), deadlines(400*time.Millisecond, deadline))
	var all strings.Builder
	for n := range commands {
		all.WriteString(encodeCommand("C.GET", "k", fmt.Sprint("p-", n), "c=read,t=acme,d=1000"))
	}
	c := p.connect()
	sent := time.Now()
	io.WriteString(c, all.String())
	answeredInTime(t, []client{c}, commands, sent, deadline)
	checkTold(t, r, sent, deadline)
}

func timeWhileHeldUp(t *testing.T, isKept bool) {
	const deadline, stopped, requests = time.Second, 600 * time.Millisecond, 20
	r := recorder(t, fakes.Hanging)
	p := startProgram(t, endpointList(0, true, listEntry("s", r.Address, "Ready")), deadlines(400*time.Millisecond, deadline))
	clients := make([]client, requests)
	if isKept {
		for n := range clients {
			clients[n] = p.connect().send("PING")
			clients[n].expectReply("+PONG")
		}
	}
	var sent time.Time
	p.holdUpFor(stopped, func() {
		sent = time.Now()
		for n := range clients {
			if !isKept {
				clients[n] = p.connect()
			}
			clients[n].send("C.GET", "k", fmt.Sprint("h-", n), "c=read,t=acme,d=1000")
		}
	})
	answeredInTime(t, clients, 1, sent, deadline)
	checkTold(t, r, sent, deadline)
}

// answeredInTime reads so many answers of each client, all of which are due.
func answeredInTime(t *testing.T, clients []client, each int, sent time.Time, deadline time.Duration) {
	t.Helper()
	late, last := 0, time.Duration(0)
	for n, c := range clients {
		for range each {
			if _, err := readMessage(c.in); err != nil {
				t.Fatalf("client %d: %v", n, err)
			}
			if last = time.Since(sent); last > deadline+answerSlack {
				late++
			}
		}
	}
	if late > 0 {
		t.Errorf("%d of %d answers came over %v after their time, the last after %v", late, len(clients)*each, answerSlack, last)
	}
}

// begins waits until an attempt of a request has begun, or it has its answer; it tells which.
func begins(r *fakes.Recorder, id string, c client) bool {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		if countBegun(r, id) > 0 {
			return true
		}
		c.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := c.in.Peek(1); err == nil {
			return false
		}
	}
	return false
}

// checkTold holds the time that each attempt states against what its client has left.
func checkTold(t *testing.T, r *fakes.Recorder, sent time.Time, deadline time.Duration) {
	t.Helper()
	over, most := 0, time.Duration(0)
	for _, a := range r.Attempts() {
		left := deadline - a.Whole.Sub(sent)
		if much := a.Told - left; much > toldSlack+harnessSlack {
			over, most = over+1, max(most, much)
		}
	}
	if over > 0 {
		t.Errorf("%d of %d attempts were told over %v too much, up to %v", over, len(r.Attempts()), toldSlack, most)
	}
}

// SIGKILL may come the longest deadline, of 3 s at most, and 0.7 s after SIGTERM. By then each accepted request has its
// reply, also where a deadline is longer, hosts hang, the process is stopped as the signal comes, and clients keep
// requesting on each connection.
func TestAllRequestsAreAnsweredBeforeSIGKILL(t *testing.T) {
	for _, deadline := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 5 * time.Second} {
		for _, held := range []time.Duration{0, holdUp} {
			t.Run(fmt.Sprint(deadline, ", held up for ", held), func(t *testing.T) {
				t.Parallel()
				r := recorder(t, fakes.Hanging)
				p := startProgram(t, endpointList(0, true, listEntry("s", r.Address, "Ready")), deadlines(deadline*2/5, deadline))
				early := p.connect().send("C.GET", "k", "early", fmt.Sprint("c=read,t=acme,d=", deadline.Milliseconds()))
				waitUntil(t, "the attempt", func() bool { return countBegun(r, "early") > 0 })
				kill := min(deadline, cappedAt) + killSlack
				late := p.connect().send("PING")
				late.expectReply("+PONG")
				told := time.Now()
				p.cmd.Process.Signal(syscall.SIGTERM)
				if held > 0 {
					p.holdUpFor(held, func() {})
				}
				late.send("C.GET", "k", "late", fmt.Sprint("c=read,t=acme,d=", deadline.Milliseconds()))
				for name, c := range map[string]client{"the request before the signal": early, "the one after it": late} {
					c.SetReadDeadline(told.Add(kill))
					if _, err := readMessage(c.in); err != nil {
						t.Errorf("%s has no answer %v after SIGTERM: %v", name, kill, err)
					}
				}
			})
		}
	}
}

// processState is the letter by which the system shows a process: R, S, T and others.
func processState(pid int) string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return ""
	}
	_, rest, _ := bytes.Cut(text, []byte(") "))
	if len(rest) == 0 {
		return ""
	}
	return string(rest[:1])
}
