package server

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Guards operators against callers that hold the door and say nothing, and it against calls that make no sense.
func TestDoorAnswersInACrowd(t *testing.T) {
	t.Parallel()
	p := start(t, list(0, true, entry("s", "127.0.0.1:1", "Ready")), map[string]any{"mgmt": "127.0.0.1:0",
		"limits": map[string]any{"cores": 0.3, "memory_mb": 16, "sockets": 128}}) // Half of the smallest days.
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
	for _, reason := range []string{"over_share", "overloaded", "queue_full", "no_server", "no_credit", "servers_busy", "attempts_spent", "deadline",
		"attempt_failed", "memory", "stop"} {
		want += "rejected." + reason + "=0\n"
	}
	want += "requests.late=0\nrequests.unanswered=0\n"
	for _, end := range []string{"left", "spared", "garbled", "stuck", "cut_short"} {
		want += "connections.closed." + end + "=0\n"
	}
	if code, text := p.calls("GET", "/metrics"); code != 200 || text != want {
		t.Fatalf("%d, %q", code, text)
	}
	c := p.client().ask("C.GET", "k", "a", "c=read,d=3000")
	h := next(t, came, "the retrieval")
	p.figure("concurrent", 1)
	p.figure("dispatches", 1)
	h.Say(settled("v"))
	c.answers("v")
	p.figure("replies.read.success", 1)
	p.figure("concurrent", 0)
	c.ask("C.GET", "k", "b", "c=book,d=3000")
	next(t, came, "the one-shot").Say("-ERR failed\r\n")
	c.answers("-ERR given up")
	p.figure("replies.book.error", 1)
	p.figure("dispatches", 2)
	go func() {
		for h := range came {
			h.Say("-BUSY\r\n")
		}
	}()
	c.ask("C.GET", "k", "c", "c=read,d=3000")
	c.answers("-BUSY")
	p.figure("replies.read.overload", 1)
}

// Guards hosts that are out by hand, whatever discovery says meanwhile, at either process of an upgrade, and over a
// file that somebody spoilt.
func TestHostsOutByHand(t *testing.T) {
	t.Parallel()
	a, atA := host(t)
	b, atB := host(t)
	found, calls := discovery(t)
	place := t.TempDir()
	with := map[string]any{"mgmt": "127.0.0.1:0", "discovery": found}
	known := list(4, true, entry("a/1", a, "Ready"), entry("b", b, "Ready"))
	p := start(t, known, with, "TMPDIR="+place)
	watch := next(t, calls, "a watch")
	other := start(t, known, with, "TMPDIR="+place)
	next(t, calls, "the other's watch")
	for call, want := range map[string]int{"POST /cache-hosts/disable/": 400, "POST /cache-hosts/enable/c": 404,
		"GET /cache-hosts/disable/b": 405, "POST /cache-hosts/disable/c": 404, "POST /cache-hosts/disable/a/1": 400,
		"POST /cache-hosts/enable/b": 200, "POST /cache-hosts/disable/" + strings.Repeat("b", 600): 400} {
		method, path, _ := strings.Cut(call, " ")
		if code, text := p.calls(method, path); code != want {
			t.Errorf("%s: %d %q, want %d", call, code, text, want)
		}
	}
	says := func(to *program, path string) {
		t.Helper()
		if code, text := to.calls("POST", path); code != 200 {
			t.Fatalf("%s: %d %q", path, code, text)
		}
	}
	c, n := p.client(), 0
	ask := func(from <-chan command) {
		t.Helper()
		n++
		c.ask("C.GET", strconv.Itoa(n), strconv.Itoa(n), "c=read,d=3000")
		next(t, from, "the retrieval").Say(settled("v"))
		c.answers("v")
	}
	says(p, "/cache-hosts/disable/b")
	says(p, "/cache-hosts/disable/b") // Twice is one ban.
	p.figure("targets_disabled", 1)
	other.figure("targets_disabled", 1)
	for range 30 {
		ask(atA)
	}
	watch.Say(list(5, false, entry("b", b, "Gone")))
	p.figure("targets", 1)
	p.figure("targets_disabled", 0)
	watch.Say(list(6, true, entry("a/1", a, "Ready"), entry("b", b, "Ready")))
	p.figure("targets_disabled", 1)
	if err := os.WriteFile(filepath.Join(place, "hollylever.bans"), []byte(`["b"`), 0o600); err != nil {
		t.Fatal(err)
	}
	p.logged(`"message":"ejections not read"`)
	for range 30 {
		ask(atA)
	}
	none(t, atB)
	says(other, "/cache-hosts/disable/a%2F1")
	p.figure("targets_disabled", 2)
	c.ask("C.GET", "k", "none", "c=read,d=3000").answers("-BUSY") // At once: nobody is left.
	says(other, "/cache-hosts/enable/b")
	p.figure("targets_disabled", 1)
	for range 30 {
		ask(atB)
	}
	third := start(t, known, with, "TMPDIR="+place) // One that starts later follows them too.
	third.figure("targets_disabled", 1)
}
