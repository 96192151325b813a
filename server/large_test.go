package server

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const valueReplyEnd = "\r\n$3\r\nhit\r\n$-1\r\n"

// expectBytes reads so many bytes.
func (c client) expectBytes(want string) {
	c.t.Helper()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c.in, got); err != nil || string(got) != want {
		c.t.Fatalf("%.30q, %v; want %.30q and %d bytes", got, err, want, len(want))
	}
}

// A value over 64 KiB is streamed. One whose stream breaks never looks complete to the client, and the request is not
// retried.
func TestLargeValuesAreStreamed(t *testing.T) {
	t.Parallel()
	at, came := startHost(t)
	p := startProgram(t, endpointList(0, true, listEntry("s", at, "Ready")), withAdminEndpoint)
	c, half := p.connect(), strings.Repeat("v", 100<<10)
	c.send("C.GET", "k", "a", "c=read,d=3000")
	h := receive(t, came, "the retrieval")
	h.Reply(valueReplyStart(2*len(half)) + half)
	c.expectBytes(fmt.Sprintf("$%d\r\n", 2*len(half)) + half) // The rest has not been sent.
	p.waitForMetric("concurrent", 1)
	for n := range half {
		if n%2048 == 0 {
			h.Reply(half[n : n+2048])
		}
	}
	for _, piece := range strings.Split(valueReplyEnd, "") {
		h.Reply(piece)
	}
	c.expectBytes(half + "\r\n")
	p.waitForMetric("replies.read.success", 1)
	p.waitForMetric("concurrent", 0)
	for n, end := range []func(h command){func(h command) { h.Close() }, func(h command) { h.Reply(half + "v" + valueReplyEnd) },
		func(h command) { h.Reply(half + "\n\r" + valueReplyEnd) }} {
		c := p.connect().send("C.GET", "k", fmt.Sprint("b", n), "c=read,d=3000")
		h := receive(t, came, "the retrieval")
		h.Reply(valueReplyStart(2*len(half)) + half)
		c.expectBytes(fmt.Sprintf("$%d\r\n", 2*len(half)) + half)
		end(h)
		if rest, _ := io.ReadAll(c.in); len(rest) > len(half) {
			t.Errorf("%d: the client takes a spoilt value for whole: %d bytes more", n, len(rest))
		}
		p.waitForMetric("replies.read.error", n+1)
	}
	expectNoCommand(t, came)
	c = p.connect().send("C.GET", "k", "pieces", "c=read,d=3000")
	h = receive(t, came, "the retrieval")
	pieces := time.NewTicker(150 * time.Millisecond)
	defer pieces.Stop()
	for _, piece := range []string{"*3\r\n", "$2\r\nv", "w\r\n$3\r\nhi", "t\r\n$-1\r\n"} {
		h.Reply(piece)
		<-pieces.C
	}
	c.expectReply("vw")
	gone := p.connect().send("C.GET", "k", "gone", "c=read,d=3000")
	h = receive(t, came, "the retrieval")
	h.Reply(valueReplyStart(2*len(half)) + half)
	gone.expectBytes(fmt.Sprintf("$%d\r\n", 2*len(half)) + half)
	gone.Close()
	h.Reply(half[:50000])
	receive(t, h.Ended, "the end of what nobody reads any more")
}

// Many clients read large values at once, some slowly, from a process with the least memory: it stays within it.
func TestManyLargeValuesInLittleMemory(t *testing.T) {
	t.Parallel()
	at, came := startHost(t)
	p := startProgram(t, endpointList(0, true, listEntry("s", at, "Ready")), withAdminEndpoint)
	const size, many = 4 << 20, 24 // More, and those that asked once are kept only briefly.
	value, clients := strings.Repeat("v", size), []client{}
	for n := range many {
		c := p.connect().send("C.GET", strconv.Itoa(n), strconv.Itoa(n), "c=read,d=3000")
		h := receive(t, came, "the retrieval")
		go h.Reply(valueReplyStart(size) + value + valueReplyEnd)
		c.expectBytes(fmt.Sprintf("$%d\r\nvvv", size))
		clients = append(clients, c)
	}
	for _, c := range clients {
		c.expectBytes(value[3:] + "\r\n")
	}
	p.waitForMetric("replies.read.success", many)
	// Clients' own as well, within the bound on what is held: served or dismissed.
	served := make(chan bool)
	go func() {
		for h := range came {
			h.Reply(valueReply(strconv.Itoa(len(h.Words[4]))))
		}
	}()
	for n, c := range clients {
		go func() {
			go c.send("C.SET", "k", fmt.Sprint("w", n), "c=report,d=3000,k=5c", value)
			got, err := readMessage(c.in)
			ok := err == nil && got[0] == strconv.Itoa(size)
			if !ok && (err != nil || !strings.HasPrefix(got[0], "-BUSY")) {
				t.Errorf("a large write is answered %.40q, %v", got, err)
			}
			served <- ok
		}()
	}
	settledWrites := 0
	for range clients {
		if receive(t, served, "the answer to a large write") {
			settledWrites++
		}
	}
	if settledWrites == 0 {
		t.Error("no large write is settled")
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	_, line, _ := strings.Cut(string(text), "VmHWM:")
	most := 0
	fmt.Sscan(line, &most)
	if err != nil || most == 0 || most > 32<<10 { // What the settings allow; whole values would take 200.
		t.Errorf("%d KiB at the most, %v", most, err)
	}
}

// SIGTERM comes while large values are being streamed: each is complete in time, or its connection is reset so that the
// client can tell.
func TestStreamsEndAtShutdown(t *testing.T) {
	t.Parallel()
	at, came := startHost(t)
	p := startProgram(t, endpointList(0, true, listEntry("s", at, "Ready")), withAdminEndpoint)
	const size = 4 << 20
	value := strings.Repeat("v", size)
	begun := func(id string) client {
		c := p.connect()
		c.SetReadBuffer(32 << 10)
		c.send("C.GET", "k", id, "c=read,d=3000")
		h := receive(t, came, "the retrieval")
		h.SetWriteBuffer(32 << 10)
		go h.Reply(valueReply(value))
		c.expectBytes(fmt.Sprintf("$%d\r\n", size) + value[:1000])
		return c
	}
	reads, stalls := begun("a"), begun("b")
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.waitForLog(`"message":"stopping"`)
	reads.expectBytes(value[1000:] + "\r\n")
	reads.expectClose()
	if err := receive(t, p.exited, "the end"); err != nil {
		t.Error(err)
	}
	if line := p.waitForLog(`"message":"stopped"`); !strings.Contains(line, `"all_answered":false,"cut_off":1`) {
		t.Errorf("it stops with %s", line)
	}
	if rest, err := io.ReadAll(stalls.in); err == nil || len(rest) >= size-1000 {
		t.Errorf("a client that got a part of a value sees %v after %d bytes", err, len(rest))
	}
}
