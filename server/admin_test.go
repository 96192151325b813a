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

// Sixty clients hold connections to the admin endpoint and send nothing or half a request: an operator gets an answer
// all the same. Requests that make no sense get the status for it.
func TestAdminEndpointAnswersBesideSilentClients(t *testing.T) {
	t.Parallel()
	p := startProgram(t, endpointList(0, true, listEntry("s", "127.0.0.1:1", "Ready")), map[string]any{"mgmt": "127.0.0.1:0",
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
	if code, text := p.adminRequest("GET", "/ready"); code != 200 || time.Since(began) > 4*time.Second {
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

// Operators read the metrics: a line each, zeros too, and each request, attempt and rejection that clients and hosts
// saw is counted.
func TestMetricsCountWhatClientsAndHostsSaw(t *testing.T) {
	t.Parallel()
	at, came := startHost(t)
	p := startProgram(t, endpointList(0, true, listEntry("s", at, "Ready"), listEntry("t", "127.0.0.1:1", "Terminating")), withAdminEndpoint)
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
	want += "memory.clients=0\nmemory.clients_limit=16777216\n" // Half of the 32 MB.
	want += "turns.waits=0\nturns.waited_ms=0\nturns.longest_wait_ms=0\nrejected.unread=0\nrequests.repeated_ids=0\n"
	if code, text := p.adminRequest("GET", "/metrics"); code != 200 || text != want {
		t.Fatalf("%d, %q", code, text)
	}
	c := p.connect().send("C.GET", "k", "a", "c=read,d=3000")
	h := receive(t, came, "the retrieval")
	p.waitForMetric("concurrent", 1)
	p.waitForMetric("dispatches", 1)
	h.Reply(valueReply("v"))
	c.expectReply("v")
	p.waitForMetric("replies.read.success", 1)
	p.waitForMetric("concurrent", 0)
	c.send("C.GET", "k", "b", "c=book,d=3000")
	receive(t, came, "the one-shot").Reply("-ERR failed\r\n")
	c.expectReply("-ERR given up")
	p.waitForMetric("replies.book.error", 1)
	p.waitForMetric("dispatches", 2)
	go func() {
		for h := range came {
			h.Reply("-BUSY\r\n")
		}
	}()
	c.send("C.GET", "k", "c", "c=read,d=3000")
	c.expectReply("-BUSY")
	p.waitForMetric("replies.read.overload", 1)
}

// An operator ejects a cache host at one of two processes of a balancer. It gets nothing more from either, whatever
// discovery lists meanwhile and though somebody damages the file of ejections, until it is taken back.
func TestHostsEjectedByHandGetNothing(t *testing.T) {
	t.Parallel()
	a, atA := startHost(t)
	b, atB := startHost(t)
	found, calls := startDiscovery(t)
	place := t.TempDir()
	with := map[string]any{"mgmt": "127.0.0.1:0", "discovery": found}
	known := endpointList(4, true, listEntry("a/1", a, "Ready"), listEntry("b", b, "Ready"))
	p := startProgram(t, known, with, "TMPDIR="+place)
	watch := receive(t, calls, "a watch")
	other := startProgram(t, known, with, "TMPDIR="+place)
	receive(t, calls, "the other's watch")
	for call, want := range map[string]int{"POST /cache-hosts/disable/": 400, "POST /cache-hosts/enable/c": 404,
		"GET /cache-hosts/disable/b": 405, "POST /cache-hosts/disable/c": 404, "POST /cache-hosts/disable/a/1": 400,
		"POST /cache-hosts/enable/b": 200, "POST /cache-hosts/disable/" + strings.Repeat("b", 600): 400} {
		method, path, _ := strings.Cut(call, " ")
		if code, text := p.adminRequest(method, path); code != want {
			t.Errorf("%s: %d %q, want %d", call, code, text, want)
		}
	}
	says := func(to *program, path string) {
		t.Helper()
		if code, text := to.adminRequest("POST", path); code != 200 {
			t.Fatalf("%s: %d %q", path, code, text)
		}
	}
	c, n := p.connect(), 0
	ask := func(from <-chan command) {
		t.Helper()
		n++
		c.send("C.GET", strconv.Itoa(n), strconv.Itoa(n), "c=read,d=3000")
		receive(t, from, "the retrieval").Reply(valueReply("v"))
		c.expectReply("v")
	}
	says(p, "/cache-hosts/disable/b")
	says(p, "/cache-hosts/disable/b") // Twice is one ban.
	p.waitForMetric("targets_disabled", 1)
	other.waitForMetric("targets_disabled", 1)
	for range 30 {
		ask(atA)
	}
	watch.SendLine(endpointList(5, false, listEntry("b", b, "Gone")))
	p.waitForMetric("targets", 1)
	p.waitForMetric("targets_disabled", 0)
	watch.SendLine(endpointList(6, true, listEntry("a/1", a, "Ready"), listEntry("b", b, "Ready")))
	p.waitForMetric("targets_disabled", 1)
	if err := os.WriteFile(filepath.Join(place, "hollylever.bans"), []byte(`["b"`), 0o600); err != nil {
		t.Fatal(err)
	}
	p.waitForLog(`"message":"ejections not read"`)
	for range 30 {
		ask(atA)
	}
	expectNoCommand(t, atB)
	says(other, "/cache-hosts/disable/a%2F1")
	p.waitForMetric("targets_disabled", 2)
	c.send("C.GET", "k", "none", "c=read,d=3000").expectReply("-BUSY") // At once: nobody is left.
	says(other, "/cache-hosts/enable/b")
	p.waitForMetric("targets_disabled", 1)
	for range 30 {
		ask(atB)
	}
	third := startProgram(t, known, with, "TMPDIR="+place) // One that starts later follows them too.
	third.waitForMetric("targets_disabled", 1)
}
