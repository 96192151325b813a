package server

import (
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// cutValue is a large value that its host does not finish, and when other requests follow it on the client's connection.
type cutValue struct {
	size, given int
	end         func(command)
	follow      time.Duration // after the request for the value
}

var waysToCut = map[string]func(command){
	"reset":  func(h command) { h.SetLinger(0); h.Close() },
	"close":  func(h command) { h.Close() },
	"stalls": func(command) {},
}

const (
	cutAfter      = 150 * time.Millisecond // from when the host has given its part: others follow before
	readsBehind   = 3
	valueHosts    = 4
	valueDeadline = 1500 * time.Millisecond
)

// startValueHosts starts hosts that answer requests for large values by a function, and all others with their ID. It returns the
// endpoint list.
func startValueHosts(t *testing.T, large func(command)) (known string) {
	var entries []string
	for n := range valueHosts {
		at, came := startHost(t)
		entries = append(entries, listEntry(fmt.Sprint("s-", n), at, "Ready"))
		go func() {
			for h := range came {
				if strings.HasPrefix(h.Words[1], "large") {
					go large(h)
				} else {
					h.Reply(valueReply(h.Words[2]))
				}
			}
		}()
	}
	return endpointList(0, true, entries...)
}

// give has the host give its part of the value and end it.
func (v cutValue) give(h command) {
	h.Reply(valueReplyStart(v.size) + strings.Repeat("v", v.given))
	time.Sleep(cutAfter)
	v.end(h)
}

// check fails the test unless the client gets a reply to each of its requests, and no part of the value.
func (v cutValue) check(c client, name string) {
	c.t.Helper()
	fields := fmt.Sprintf("t=acme,d=%d", valueDeadline.Milliseconds())
	sent := time.Now()
	c.send("C.GET", "large-"+name, name, "c=read,"+fields)
	time.Sleep(v.follow)
	for n := range readsBehind {
		c.send("C.GET", fmt.Sprint("k", n), fmt.Sprint(name, "-", n), "c=read,"+fields)
	}
	c.send("C.SET", "k", name+"-booking", "c=book,"+fields, "v")
	if got, err := readMessage(c.in); err != nil || !strings.HasPrefix(got[0], "-") || time.Since(sent) > valueDeadline+answerSlack {
		c.t.Fatalf("%s: the value is answered %.40q, %v after %v; want an error in time", name, got, err, time.Since(sent))
	}
	for n := range readsBehind {
		c.expectReply(fmt.Sprint(name, "-", n))
	}
	c.expectReply(name + "-booking")
}

// A cache host dies, or stands still, in the middle of a value over 64 KiB: the requests behind it on the client's connection
// lost their answers, among them a booking that had run, also those that were sent when the client had the value's beginning.
func TestRequestsBehindACutValueAreAnswered(t *testing.T) {
	for name, end := range waysToCut {
		for _, size := range []int{66 << 10, 200 << 10, 4 << 20} {
			t.Run(fmt.Sprint(name, "/", size), func(t *testing.T) {
				t.Parallel()
				var cut atomic.Pointer[cutValue]
				known := startValueHosts(t, func(h command) { cut.Load().give(h) })
				p := startProgram(t, known, map[string]any{"limits": map[string]any{"cores": 1.0, "memory_mb": 32, "sockets": 256}})
				for _, next := range []cutValue{
					{size, 0, end, 120 * time.Millisecond}, {size, size / 2, end, 0}, {size, size / 2, end, 30 * time.Millisecond},
					{size, size - 10, end, 120 * time.Millisecond},
				} {
					cut.Store(&next)
					next.check(p.connect(), fmt.Sprint(next.given, "-", next.follow.Milliseconds()))
				}
			})
		}
	}
}

// The first host to which a request for a long value goes dies in the middle of it: the client gets the whole value of another
// one, and nothing of the first.
func TestCutValueIsAskedForAgain(t *testing.T) {
	t.Parallel()
	const size = 200 << 10
	var attempts atomic.Int32
	p := startProgram(t, startValueHosts(t, func(h command) {
		if attempts.Add(1) == 1 {
			h.Reply(valueReplyStart(size) + strings.Repeat("x", size/2))
			h.Close()
			return
		}
		h.Reply(valueReply(strings.Repeat("v", size)))
	}), nil)
	p.connect().send("C.GET", "large", "a", "c=read,d=1500").expectReply(strings.Repeat("v", size))
}

// A host dies in the middle of the long receipt of a booking, which has run: the booking gets an error that promises nothing, is
// not sent again, and the read behind it is answered.
func TestCutReceiptOfABookingRunsOnce(t *testing.T) {
	t.Parallel()
	const size = 200 << 10
	var runs atomic.Int32
	p := startProgram(t, startValueHosts(t, func(h command) {
		runs.Add(1)
		h.Reply(valueReplyStart(size) + strings.Repeat("v", size/2))
		h.Close()
	}), nil)
	c := p.connect().send("C.SET", "large", "a", "c=book,d=1500", "v").send("C.GET", "k", "behind", "c=read,d=1500")
	if got, err := readMessage(c.in); err != nil || !strings.HasPrefix(got[0], "-ERR") {
		t.Errorf("the booking is answered %.40q, %v; want -ERR", got, err)
	}
	c.expectReply("behind")
	if n := runs.Load(); n != 1 {
		t.Errorf("the booking is sent %d times, want once", n)
	}
}

// A host gives a long value over more time than its beginning may be held back: the beginning comes before the deadline and
// before two seconds, and the rest as it arrives.
func TestSlowValueBeginsInTime(t *testing.T) {
	const size, pieces = 4 << 20, 32
	for _, deadline := range []time.Duration{valueDeadline, 3 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			value := strings.Repeat("v", size)
			p := startProgram(t, startValueHosts(t, func(h command) {
				h.Reply(valueReplyStart(size))
				pause := time.NewTicker(75 * time.Millisecond)
				defer pause.Stop()
				for n := range pieces {
					h.Reply(value[n*size/pieces : (n+1)*size/pieces])
					<-pause.C
				}
				h.Reply(valueReplyEnd)
			}), nil)
			sent := time.Now()
			c := p.connect().send("C.GET", "large", "a", fmt.Sprintf("c=read,d=%d", deadline.Milliseconds()))
			c.expectBytes(fmt.Sprintf("$%d\r\nvvv", size))
			if took, most := time.Since(sent), min(deadline, 2*time.Second); took > most {
				t.Errorf("the first bytes come after %v, want %v at most", took, most)
			}
			c.expectBytes(value[3:] + "\r\n")
		})
	}
}

// A value that goes on for longer than it may be held back is cut after its beginning was passed on: the log tells that the balancer
// closed the connection of those behind it, and not their client.
func TestLogTellsOfRequestsCutOffByAValue(t *testing.T) {
	t.Parallel()
	const size = 200 << 10
	begun := make(chan struct{})
	p := startProgram(t, startValueHosts(t, func(h command) {
		h.Reply(valueReplyStart(size))
		pause := time.NewTicker(100 * time.Millisecond)
		defer pause.Stop()
		for {
			h.Reply("v")
			select {
			case <-begun:
				h.Close()
				return
			case <-pause.C:
			}
		}
	}), nil)
	c := p.connect().send("C.GET", "large", "a", "c=read,d=1500").send("C.GET", "k", "behind", "c=read,d=1500")
	c.expectBytes(fmt.Sprintf("$%d\r\nv", size))
	close(begun)
	if _, err := io.ReadAll(c.in); err != nil && !strings.Contains(err.Error(), "reset") {
		t.Fatal(err)
	}
	lines := map[string]string{} // by ID; the requests end in any order
	for lines["a"] == "" || lines["behind"] == "" {
		line := p.waitForLog(`"message":"request ended badly"`)
		for _, id := range []string{"a", "behind"} {
			if strings.Contains(line, fmt.Sprintf(`"id":%q`, id)) {
				lines[id] = line
			}
		}
	}
	if line := lines["a"]; !strings.Contains(line, `"problem":"requests_cut"`) || !strings.Contains(line, fmt.Sprintf("value of %d head +", size)) {
		t.Errorf("the log tells %s", line)
	}
	if line := lines["behind"]; !strings.Contains(line, `"cut_off":true`) || !strings.Contains(line, `"problem":"requests_unanswered"`) {
		t.Errorf("the log tells %s", line)
	}
}
