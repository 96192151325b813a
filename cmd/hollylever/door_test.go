package main

import (
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Guards operators against callers that hold the door and say nothing, and it against calls that make no sense.
func TestDoorAnswersInACrowd(t *testing.T) {
	t.Parallel()
	p := start(t, list(0, true, entry("s", "127.0.0.1:1", "Ready")), withDoor)
	for n := range 60 {
		c, err := net.Dial("tcp", p.mgmt)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, []string{"", "GET /ready HT"}[n%2])
	}
	began := time.Now()
	if code, text := p.calls("GET", "/ready"); code != 200 || time.Since(began) > 4*time.Second {
		t.Errorf("ready: %d %q after %v", code, text, time.Since(began))
	}
	for path, want := range map[string]int{"GET /": 404, "GET /metrics/": 404, "POST /metrics": 405, "DELETE /ready": 405,
		"GET /" + strings.Repeat("x", 16<<10): 431, "POST /ready": 405, "GET /%zz": 400} {
		method, path, _ := strings.Cut(path, " ")
		c, err := net.Dial("tcp", p.mgmt)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, method+" "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		if text, _ := io.ReadAll(c); !strings.HasPrefix(string(text), "HTTP/1.1 "+strconv.Itoa(want)) { // It closes.
			t.Errorf("%s %.20s is answered %.40q, want %d", method, path, text, want)
		}
		c.Close()
	}
}

// The figures are what clients and hosts saw; a plain count each, zeros too.
func TestFigures(t *testing.T) {
	t.Parallel()
	at, came := host(t)
	p := start(t, list(0, true, entry("s", at, "Ready"), entry("t", "127.0.0.1:1", "Terminating")), withDoor)
	want := "replies.read.success=0\nreplies.read.overload=0\nreplies.read.error=0\nreplies.report.success=0\nreplies.report.overload=0\n" +
		"replies.report.error=0\nreplies.book.success=0\nreplies.book.overload=0\nreplies.book.error=0\ndispatches=0\nconcurrent=0\n" +
		"targets=2\ntargets_disabled=0\n"
	if code, text := p.calls("GET", "/metrics"); code != 200 || text != want {
		t.Fatalf("%d, %q", code, text)
	}
	c := p.client().ask("C.GET", "k", "a", "c=read,d=3000")
	h := next(t, came, "the retrieval")
	p.figure("concurrent", 1)
	p.figure("dispatches", 1)
	h.say(settled("v"))
	c.answers("v")
	p.figure("replies.read.success", 1)
	p.figure("concurrent", 0)
	c.ask("C.GET", "k", "b", "c=book,d=3000")
	next(t, came, "the one-shot").say("-ERR failed\r\n")
	c.answers("-ERR given up")
	p.figure("replies.book.error", 1)
	p.figure("dispatches", 2)
	go func() {
		for h := range came {
			h.say("-BUSY\r\n")
		}
	}()
	c.ask("C.GET", "k", "c", "c=read,d=3000")
	c.answers("-BUSY")
	p.figure("replies.read.overload", 1)
}
