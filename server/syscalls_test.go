package server

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"hollylever/fakes"
	"hollylever/fakes/syscalls"
)

// startedWithFaults is start with a process whose system calls can be made to fail.
func startedWithFaults(t *testing.T, known string, changes map[string]any, atFirst ...syscalls.Rule) (*program, *syscalls.Faults) {
	t.Helper()
	all := map[string]any{"known": json.RawMessage(known)}
	maps.Copy(all, changes)
	file := fileWith(t, all)
	cmd := programWith(file)
	var faults *syscalls.Faults
	p := startedBy(t, file, cmd, func() (err error) {
		faults, err = syscalls.Start(cmd, 1, atFirst...)
		if len(atFirst) > 0 {
			time.AfterFunc(shortAtStart, func() {
				for n := range atFirst {
					faults.Fail(fmt.Sprint(syscalls.AtFirst, n), syscalls.Rule{}, 0)
				}
			})
		}
		return err
	})
	t.Cleanup(func() {
		cmd.Process.Kill()
		faults.Close()
	})
	return p, faults
}

// The system calls fail for a moment, each with each of its errors, every time: all that clients ask meanwhile and after it gets its answer in time.
func TestSystemCallsThatFailForAMoment(t *testing.T) {
	const moment, deadline = 300 * time.Millisecond, time.Second
	for name, rule := range map[string]syscalls.Rule{
		"accepts":             syscalls.Accepts,
		"sockets":             syscalls.Sockets,
		"connects":            syscalls.Connect,
		"connects, refused":   {Calls: []int{unix.SYS_CONNECT}, Errors: []unix.Errno{unix.ECONNREFUSED, unix.EHOSTUNREACH, unix.ETIMEDOUT}},
		"polls and peeks":     {Calls: []int{unix.SYS_POLL, unix.SYS_RECVFROM}, Errors: []unix.Errno{unix.EINTR}},
		"reads and writes":    {Calls: []int{unix.SYS_READ, unix.SYS_WRITE}, Errors: []unix.Errno{unix.EINTR}},
		"accepts, badly sent": {Calls: []int{unix.SYS_ACCEPT4}, Errors: []unix.Errno{unix.ENETDOWN, unix.EPROTO, unix.EHOSTUNREACH, unix.EPERM}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			part := 1.0
			if rule.Errors[0] == unix.EINTR {
				part = 0.7 // An interrupted call is made again: always interrupted, it never ends.
			}
			r := recorder(t, fakes.Serving)
			p, faults := startedWithFaults(t, list(0, true, entry("s", r.Address, "Ready")), deadlines(deadline*2/5, deadline))
			faults.Fail("all", rule, part)
			end := time.Now().Add(moment)
			time.AfterFunc(moment, func() { faults.Fail("all", rule, 0) })
			for n := 0; time.Now().Before(end) || n < 20; n++ {
				sent := time.Now()
				c := p.client().ask("C.GET", "k", fmt.Sprint(n), "c=read,t=acme,d=1000")
				got, err := message(c.in)
				if took := time.Since(sent); err != nil || took > deadline+answerSlack || got[0] != fakes.ValueFor("k", fmt.Sprint(n)) && got[0] != "-BUSY" {
					t.Fatalf("request %d: %q, %v after %v", n, got, err, took)
				}
				c.Close()
			}
			if faults.Failed() == 0 {
				t.Error("no call has failed")
			}
			until(t, "an answer once all goes well again", func() bool {
				c := p.client().ask("C.GET", "k", fmt.Sprint("after-", time.Now().UnixNano()), "c=read,t=acme,d=1000")
				defer c.Close()
				got, err := message(c.in)
				return err == nil && got[0][0] == 'k'
			})
			p.cmd.Process.Signal(syscall.SIGTERM)
			if err := next(t, p.ended, "the end"); err != nil {
				t.Error(err)
			}
		})
	}
}

// No socket can be made, and no file opened, for the first moment of a process: it starts once they can.
func TestStartAmidAShortage(t *testing.T) {
	t.Parallel()
	r := recorder(t, fakes.Serving)
	p, faults := startedWithFaults(t, list(0, true, entry("s", r.Address, "Ready")), nil, syscalls.Sockets, syscalls.Opens)
	if faults.Failed() == 0 {
		t.Error("no call has failed")
	}
	p.client().ask("C.GET", "k", "1", "c=read,t=acme,d=3000").answers(fakes.ValueFor("k", "1"))
}

const shortAtStart = 400 * time.Millisecond

// An accept that fails for want of descriptors lowers how many clients there may be; once nothing is short any more they may be as many as before.
func TestRoomForClientsComesBackAfterAShortage(t *testing.T) {
	t.Parallel()
	const sockets = 256
	const clients = sockets - reservedDescriptors - (sockets-reservedDescriptors)/2
	r := recorder(t, fakes.Hanging)
	changes := deadlines(8*time.Second, 20*time.Second)
	changes["limits"] = map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": sockets}
	p, faults := startedWithFaults(t, list(0, true, entry("s", r.Address, "Ready")), changes)
	var all []client
	for range clients - 12 {
		c := p.client().ask("PING")
		c.answers("+PONG")
		c.ask("PING").answers("+PONG")
		all = append(all, c)
	}
	faults.Fail("accepts", syscalls.Rule{Calls: []int{unix.SYS_ACCEPT4}, Errors: []unix.Errno{unix.ENFILE}}, 1)
	c := p.client().ask("PING")
	p.logged("accept failed")
	faults.Fail("accepts", syscalls.Accepts, 0)
	c.answers("+PONG")
	time.Sleep(shortageOver)
	busy := 0
	for n := range clients { // Each keeps its place, as it is amid a command.
		c := p.client()
		c.SetDeadline(time.Now().Add(2 * time.Second))
		c.ask("PING")
		io.WriteString(c, words("C.GET", "k", fmt.Sprint("busy-", n), "c=read,t=acme,d=20000")[:30])
		if _, err := message(c.in); err != nil {
			break
		}
		busy++
	}
	if busy < clients-1 {
		t.Errorf("%d clients are taken at once, %d before the shortage", busy, clients)
	}
	for _, c := range all {
		c.Close()
	}
}

const shortageOver = 2 * time.Second // for it to be known that nothing is short any more
