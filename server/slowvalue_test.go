package server

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// clientPatience is for how long a client takes what its host has given before it counts as held back.
const clientPatience = 2 * time.Second

// lookupObjective and lookupDeadline are those of the class lookup, whose late answers have no value.
const (
	lookupObjective = 600 * time.Millisecond
	lookupDeadline  = 1500 * time.Millisecond
)

const lookupWorkloads = `"workloads":[
{"name":"lookup","effect":"free","group":"all","expectedTime":600,"hardStop":1500,"value":3,"tardyValue":0},
{"name":"read","effect":"free","group":"all","expectedTime":600,"hardStop":3000,"value":1,"tardyValue":0.2},
{"name":"report","effect":"guarded","group":"all","dedupWindow":4000,"expectedTime":600,"hardStop":1500,"value":2,"tardyValue":0},
{"name":"book","effect":"single_shot","group":"all","expectedTime":600,"hardStop":1500,"value":8,"tardyValue":0}]`

// slowValue is a value that its host gives in parts.
type slowValue struct {
	class    string
	size     int
	deadline time.Duration
	memoryMB int
	before   time.Duration // the header
	parts    []valuePart
	behind   int // requests that follow at once on the connection
}

// valuePart is a part of a value, and the pause before it.
type valuePart struct {
	pause time.Duration
	size  int
}

// evenParts divides a value into parts with pauses between them.
func evenParts(size, count int, pause time.Duration) (parts []valuePart) {
	for range count {
		parts = append(parts, valuePart{pause, size / count})
	}
	parts[0].pause = 0
	return parts
}

// withDefaults sets what the value leaves open.
func (v slowValue) withDefaults() slowValue {
	v.class, v.size, v.deadline = cmp.Or(v.class, "lookup"), cmp.Or(v.size, 500<<10), cmp.Or(v.deadline, lookupDeadline)
	v.memoryMB = cmp.Or(v.memoryMB, 192)
	return v
}

// give has the host give its parts. A value that these complete is followed by the rest of the response.
func (v slowValue) give(h command) {
	time.Sleep(v.before)
	h.Reply(valueReplyStart(v.size))
	given := 0
	for _, part := range v.parts {
		time.Sleep(part.pause)
		h.Reply(strings.Repeat("v", part.size))
		given += part.size
	}
	if given == v.size {
		h.Reply(valueReplyEnd)
	}
}

// start starts a program whose hosts all give the value, and counts the attempts.
func (v slowValue) start(t *testing.T, attempts *atomic.Int32) *program {
	changes := settingsWith(lookupWorkloads)
	changes["limits"] = map[string]any{"cores": 1.0, "memory_mb": v.memoryMB, "sockets": 256}
	return startProgram(t, startValueHosts(t, func(h command) {
		attempts.Add(1)
		go v.give(h)
	}), changes)
}

// send sends the request for the value and those behind it.
func (v slowValue) send(c client) {
	fields := fmt.Sprintf("t=acme,d=%d", v.deadline.Milliseconds())
	switch v.class {
	case "report", "book":
		c.send("C.SET", "large", "a", "c="+v.class+",k=5c,"+fields, "v")
	default:
		c.send("C.GET", "large", "a", "c="+v.class+","+fields)
	}
	for n := range v.behind {
		c.send("C.GET", "k", fmt.Sprint("behind-", n), "c=lookup,"+fields)
	}
}

// expectBehind fails the test unless the requests behind the value are answered.
func (v slowValue) expectBehind(c client) {
	c.t.Helper()
	for n := range v.behind {
		c.expectReply(fmt.Sprint("behind-", n))
	}
}

// expectErrorInTime fails the test unless the client gets an error instead of the value, by its deadline.
func (v slowValue) expectErrorInTime(c client) {
	c.t.Helper()
	sent := time.Now()
	v.send(c)
	got, err := readMessage(c.in)
	if took := time.Since(sent); err != nil || !strings.HasPrefix(got[0], "-") || took > v.deadline+answerSlack {
		c.t.Fatalf("%.40q, %v after %v; want an error in %v", got, err, took, v.deadline)
	}
	v.expectBehind(c)
}

func TestValueWithoutItsFirstByteIsAnsweredInTime(t *testing.T) {
	for name, v := range map[string]slowValue{
		"short":         {size: 70 << 10},
		"long":          {size: 4 << 20},
		"brief":         {deadline: 600 * time.Millisecond},
		"others behind": {behind: readsBehind},
		"little memory": {size: 4 << 20, memoryMB: 32, behind: readsBehind},
		"late header":   {before: lookupDeadline - 20*time.Millisecond},
		"late value":    {class: "read"},
		"idempotent":    {class: "report"},
		"single shot":   {class: "book"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			v := v.withDefaults()
			var attempts atomic.Int32
			v.expectErrorInTime(v.start(t, &attempts).connect())
			if n := attempts.Load(); v.class == "book" && n != 1 {
				t.Errorf("the booking is sent %d times, want once", n)
			}
		})
	}
}

// expectValue reads the value, and fails the test unless it is whole and its first byte comes within a time.
func (v slowValue) expectValue(c client, most time.Duration) {
	c.t.Helper()
	sent := time.Now()
	v.send(c)
	head, err := c.in.ReadString('\n')
	if took := time.Since(sent); err != nil || head != fmt.Sprintf("$%d\r\n", v.size) || took > most {
		c.t.Fatalf("%.40q, %v after %v; want the head of the value in %v", head, err, took, most)
	}
	if n, err := io.CopyN(io.Discard, c.in, int64(v.size+len("\r\n"))); err != nil {
		c.t.Fatalf("the value ends after %d bytes: %v", n, err)
	}
	v.expectBehind(c)
}

func TestValueWhoseHostPausesIsServedWithOthersBehind(t *testing.T) {
	const size, pause = 500 << 10, 600 * time.Millisecond
	for name, v := range map[string]slowValue{
		"begins late":    {deadline: 600 * time.Millisecond, before: 400 * time.Millisecond, parts: evenParts(size, 10, 60*time.Millisecond)},
		"worthless late": {},
		"late value":     {class: "read"},
		"little memory":  {memoryMB: 32},
		"long deadline":  {class: "read", deadline: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			v := v.withDefaults()
			v.behind = readsBehind
			if v.parts == nil {
				v.parts = evenParts(size, 5, pause)
			}
			var attempts atomic.Int32
			p := v.start(t, &attempts)
			for range 3 {
				v.expectValue(p.connect(), min(v.deadline+answerSlack, clientPatience))
			}
		})
	}
}

func TestValueThatStopsIsNotPassedOnBeforeOthers(t *testing.T) {
	const size = 500 << 10
	for name, v := range map[string]slowValue{
		"worthless late": {},
		"late value":     {class: "read"},
		"paused before":  {parts: []valuePart{{0, size / 4}, {100 * time.Millisecond, size / 4}}},
		"begins late":    {parts: []valuePart{{550 * time.Millisecond, size / 2}}},
		"brief":          {deadline: 600 * time.Millisecond},
		"idempotent":     {class: "report"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			v := v.withDefaults()
			v.behind = readsBehind
			if v.parts == nil {
				v.parts = []valuePart{{0, size / 2}}
			}
			var attempts atomic.Int32
			p := v.start(t, &attempts)
			for range 4 {
				v.expectErrorInTime(p.connect())
			}
		})
	}
}

func TestStopAnswersARequestWhoseValueHasNoFirstByte(t *testing.T) {
	t.Parallel()
	const deadline = 3 * time.Second
	at, came := startHost(t)
	p := startProgram(t, endpointList(0, true, listEntry("s", at, "Ready")), nil)
	c, sent := p.connect(), time.Now()
	c.send("C.GET", "large", "a", fmt.Sprintf("c=read,d=%d", deadline.Milliseconds()))
	receive(t, came, "the request").Reply(valueReplyStart(500 << 10))
	p.cmd.Process.Signal(syscall.SIGTERM)
	if got, err := readMessage(c.in); err != nil || !strings.HasPrefix(got[0], "-") || time.Since(sent) > deadline+answerSlack {
		t.Errorf("%.40q, %v after %v; want an error in %v", got, err, time.Since(sent), deadline)
	}
	if err := receive(t, p.exited, "the end of the process"); err != nil {
		t.Error(err)
	}
}

func TestBookingWhoseReceiptPausesIsServed(t *testing.T) {
	t.Parallel()
	const size = 60_000
	v := slowValue{class: "book", size: size, parts: evenParts(size, 3, 400*time.Millisecond)}.withDefaults()
	var attempts atomic.Int32
	v.expectValue(v.start(t, &attempts).connect(), v.deadline)
	if n := attempts.Load(); n != 1 {
		t.Errorf("the booking is sent %d times, want once", n)
	}
}

func TestBookingWhoseLongReceiptPausesIsServedWithOthersBehind(t *testing.T) {
	t.Parallel()
	const size = 500 << 10
	v := slowValue{class: "book", size: size, deadline: 3 * time.Second, behind: readsBehind}.withDefaults()
	v.parts = []valuePart{{0, size / 2}, {2500 * time.Millisecond, size / 2}}
	var attempts atomic.Int32
	v.expectValue(v.start(t, &attempts).connect(), v.deadline+answerSlack)
	if n := attempts.Load(); n != 1 {
		t.Errorf("the booking is sent %d times, want once", n)
	}
}

// payForHedging sends requests whose successes pay for a hedged one.
func payForHedging(c client) {
	c.t.Helper()
	for n := range 20 * valueHosts {
		c.send("C.GET", fmt.Sprint("k", n), fmt.Sprint(n), "c=lookup,t=acme,d=1500").expectReply(fmt.Sprint(n))
	}
}

func TestStalledValueIsNotPassedOnBeforeAHedgedAttemptAnswers(t *testing.T) {
	t.Parallel()
	v := slowValue{}.withDefaults()
	stalled, slow := v, v
	stalled.parts = []valuePart{{0, 1}}
	slow.before, slow.parts = 500*time.Millisecond, []valuePart{{0, v.size}}
	var attempts atomic.Int32
	p := startProgram(t, startValueHosts(t, func(h command) {
		if attempts.Add(1) == 1 {
			stalled.give(h)
		} else {
			slow.give(h)
		}
	}), settingsWith(lookupWorkloads))
	c := p.connect()
	payForHedging(c)
	v.expectValue(c, v.deadline)
}

func TestFailedHedgedAttemptDoesNotHoldUpAValue(t *testing.T) {
	t.Parallel()
	v := slowValue{}.withDefaults()
	v.parts = []valuePart{{0, 1}, {lookupDeadline, v.size - 1}}
	var attempts atomic.Int32
	p := startProgram(t, startValueHosts(t, func(h command) {
		if attempts.Add(1) == 1 {
			go v.give(h)
		} else {
			h.Reply("-BUSY\r\n")
		}
	}), settingsWith(lookupWorkloads))
	c := p.connect()
	payForHedging(c)
	v.expectValue(c, lookupObjective+answerSlack)
	if n := attempts.Load(); n < 2 {
		t.Errorf("%d attempts, want a hedged one too", n)
	}
}

func TestRepeatedBookingIsAnsweredByItsOwnDeadline(t *testing.T) {
	for name, start := range map[string]string{"silent host": "", "value without its first byte": valueReplyStart(500 << 10)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const deadline = 400 * time.Millisecond
			at, came := startHost(t)
			p := startProgram(t, endpointList(0, true, listEntry("s", at, "Ready")), nil)
			first := p.connect().send("C.SET", "k", "a", "c=book,t=acme,d=3000", "v")
			receive(t, came, "the booking").Reply(start)
			first.Close()
			c, sent := p.connect(), time.Now()
			c.send("C.SET", "k", "a", fmt.Sprintf("c=book,t=acme,d=%d", deadline.Milliseconds()), "v")
			if got, err := readMessage(c.in); err != nil || !strings.HasPrefix(got[0], "-ERR") || time.Since(sent) > deadline+answerSlack {
				t.Errorf("%.40q, %v after %v; want an error in %v", got, err, time.Since(sent), deadline)
			}
			expectNoCommand(t, came)
		})
	}
}
