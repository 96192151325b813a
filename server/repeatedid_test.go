package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hollylever/fakes"
)

// What clients do that give up and ask again under the same id.
const (
	bookingTakes = 200 * time.Millisecond
	comesAgain   = 10 * time.Millisecond // after its client has left
	bookings     = 20
	leavesWithin = 100 * time.Millisecond // of the booking, evenly spread
)

// bookingHosts answer each booking with a value of its own, however often it comes.
type bookingHosts struct {
	entries []string // of the endpoint list

	mu   sync.Mutex
	runs map[string]int // by ID
}

func startBookingHosts(t *testing.T) *bookingHosts {
	h := &bookingHosts{runs: map[string]int{}}
	for n := range hosts {
		r := recorder(t, func(a fakes.Attempt) fakes.Response {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.runs[a.ID]++
			return fakes.Response{After: bookingTakes, Text: valueReply(fmt.Sprint(a.ID, " run ", h.runs[a.ID]))}
		})
		h.entries = append(h.entries, listEntry(fmt.Sprint("s-", n), r.Address, "Ready"))
	}
	return h
}

// count returns how often bookings were run, of all IDs.
func (h *bookingHosts) count() (total int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, runs := range h.runs {
		total += runs
	}
	return total
}

// runsOf returns how often a booking was run.
func (h *bookingHosts) runsOf(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[id]
}

// book sends a booking.
func (c client) book(id string) client {
	return c.send("C.SET", "k-"+id, id, "c=book,t=acme,d=1000", "v")
}

// check fails the test if a booking was sent to the host more than once, or has not the reply of its run.
func (h *bookingHosts) check(t *testing.T, replies map[string]string) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	twice, wrong := 0, 0
	for id, reply := range replies {
		if h.runs[id] > 1 {
			twice++
		}
		if want := id + " run 1"; reply != want {
			if wrong++; wrong == 1 {
				t.Errorf("the reply of %s is %q, want %q", id, reply, want)
			}
		}
	}
	if twice > 0 || wrong > 0 {
		t.Errorf("of %d bookings %d ran twice and %d had another reply than that of their run", len(replies), twice, wrong)
	}
}

// leaveAndAskAgain has a client leave after a time and ask again on a new connection, and returns the reply.
func (p *program) leaveAndAskAgain(first client, id string, after time.Duration, leave func(*net.TCPConn)) (string, error) {
	time.Sleep(after)
	leave(first.TCPConn)
	time.Sleep(comesAgain)
	for { // A connection may be to a process that ends.
		again := p.connect().book(id)
		got, err := readMessage(again.in)
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			return strings.Join(got, " "), err
		}
	}
}

var waysToLeave = map[string]func(*net.TCPConn){
	"close": func(c *net.TCPConn) { c.Close() },
	"reset": func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
}

// A booking comes again under its id after its client has left: it must not run twice, and gets the reply of its run.
func TestIDThatComesAgainRunsOnce(t *testing.T) {
	for name, leave := range waysToLeave {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			host := startBookingHosts(t)
			p := startProgram(t, endpointList(0, true, host.entries...), nil)
			replies := askAllAgain(t, func(n int) (client, string) {
				id := fmt.Sprint("booking-", n)
				return p.connect().book(id), id
			}, p, leave)
			host.check(t, replies)
			for id := range replies { // Once more, after all are answered.
				p.connect().book(id).expectReply(id + " run 1")
			}
			host.check(t, replies)
		})
	}
}

// askAllAgain has all bookings come again at a process, and returns the replies.
func askAllAgain(t *testing.T, first func(n int) (client, string), second *program, leave func(*net.TCPConn)) map[string]string {
	t.Helper()
	var all sync.WaitGroup
	var mu sync.Mutex
	replies := map[string]string{}
	for n := range bookings {
		c, id := first(n)
		all.Go(func() {
			reply, err := second.leaveAndAskAgain(c, id, time.Duration(n)*leavesWithin/bookings, leave)
			if err != nil {
				reply = err.Error()
			}
			mu.Lock()
			replies[id] = reply
			mu.Unlock()
		})
	}
	all.Wait()
	return replies
}

// The same at the other process of an upgrade.
func TestIDThatComesAgainAtTheOtherProcessRunsOnce(t *testing.T) {
	for name, leave := range waysToLeave {
		for _, end := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
			t.Run(fmt.Sprint(name, "/", end), func(t *testing.T) {
				t.Parallel()
				host := startBookingHosts(t)
				old, firsts, young := startUpgrade(t, host, bookings)
				sentAll := make(chan struct{})
				replies := askAllAgain(t, func(n int) (client, string) {
					id := fmt.Sprint("booking-", n)
					firsts[n].book(id)
					if n == bookings-1 {
						waitUntil(t, "all bookings are at the host", func() bool { return host.count() >= bookings })
						old.cmd.Process.Signal(end)
						close(sentAll)
					}
					return firsts[n], id
				}, young, leave)
				<-sentAll
				if end == syscall.SIGTERM {
					host.check(t, replies)
					return
				}
				for id, reply := range replies { // Nobody has the result: it may have run, and must not run again.
					if strings.HasPrefix(reply, "-BUSY") || host.count() > bookings {
						t.Errorf("the reply of %s is %q, %d attempts; want no refusal, %d attempts", id, reply, host.count(), bookings)
					}
				}
			})
		}
	}
}

// startUpgrade starts two processes of a balancer, with clients that are connected to the first one.
func startUpgrade(t *testing.T, host *bookingHosts, clients int) (old *program, connected []client, young *program) {
	return startUpgradeWith(t, host, clients, map[string]any{})
}

// startUpgradeWith is startUpgrade with changes of the configuration.
func startUpgradeWith(t *testing.T, host *bookingHosts, clients int, changes map[string]any) (old *program, connected []client, young *program) {
	socket, shared := openListeningSocket(t), "TMPDIR="+t.TempDir()
	changes["known"] = json.RawMessage(endpointList(0, true, host.entries...))
	start := func() *program {
		file := configurationFile(t, changes)
		cmd := programCommand(file, "LB_LISTEN_FD=3", shared, "LB_MGMT=127.0.0.1:0")
		cmd.ExtraFiles = append(cmd.ExtraFiles, socket)
		return startCommand(t, file, cmd)
	}
	old = start()
	for range clients {
		c := old.connect().send("PING")
		c.expectReply("+PONG")
		connected = append(connected, c)
	}
	return old, connected, start()
}

// A stamped write may have run, and comes again at the other process of an upgrade after the time in which its host knows
// it. Guards against a window that begins anew at the process that did not send it first: the write would run twice.
func TestStampedWriteIsNotRunAgainAfterItsWindowAtTheOtherProcess(t *testing.T) {
	const window = 600 * time.Millisecond
	for _, isKilled := range []bool{true, false} {
		t.Run(fmt.Sprint("killed_", isKilled), func(t *testing.T) {
			t.Parallel()
			at, came := startHost(t) // It never answers.
			changes := settingsWith(fmt.Sprintf(`"workloads":[{"name":"report","effect":"guarded","group":"all","dedupWindow":%d,"expectedTime":400,"hardStop":400,"value":1,"tardyValue":0.2}]`,
				window.Milliseconds()))
			old, clients, young := startUpgradeWith(t, &bookingHosts{entries: []string{listEntry("s", at, "Ready")}}, 1, changes)
			report := func(c client) client { return c.send("C.SET", "k", "report-1", "c=report,t=acme,d=400,k=mark", "v") }
			first := report(clients[0])
			receive(t, came, "the write")
			firstAt := time.Now()
			if isKilled {
				old.cmd.Process.Kill()
				receive(t, old.exited, "the end of the old process")
			} else if got, err := readMessage(first.in); err != nil || !strings.HasPrefix(got[0], "-") {
				t.Fatalf("the answer is %q, %v; want none of a host that does not answer", got, err)
			}
			time.Sleep(time.Until(firstAt.Add(window)))
			for len(came) > 0 {
				<-came // An attempt within the window, which the host knows for the same.
			}
			got, err := readMessage(report(young.connect()).in)
			if err != nil || !strings.HasPrefix(got[0], "-ERR") {
				t.Errorf("the answer is %q, %v; want an error, as it may have run", got, err)
			}
			expectNoCommand(t, came)
		})
	}
}
