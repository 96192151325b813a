package cli

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// runCommand runs a command in this process.
func runCommand(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = run(args, &o, &e, nil)
	return code, o.String(), e.String()
}

// Scripts go by the exit code: however a command fails, it prints one line and ends with the code of docs/commands.md.
func TestFailedCommandsPrintOneLineAndExitWithTheirCode(t *testing.T) {
	respondWith := func(status int, text string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(status); w.Write([]byte(text)) }))
		t.Cleanup(s.Close)
		return "--door=" + s.Listener.Addr().String()
	}
	silent, err := net.Listen("tcp", "127.0.0.1:0") // It accepts the connection and sends nothing.
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	noise, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer noise.Close()
	go func() {
		for {
			c, err := noise.Accept()
			if err != nil {
				return
			}
			c.Write([]byte("\x1b[2Jnoise\r\n\r\n"))
			c.Close()
		}
	}()
	t.Setenv("LB_MGMT", "")
	for _, c := range []struct {
		code  int
		want  string
		words []string
	}{
		{2, "unknown command", []string{"nonsense"}}, {2, "needs a command", []string{"hosts"}}, {2, "needs a command", []string{"config"}},
		{2, "unknown flag", []string{"ready", "--loud"}}, {2, "not given", []string{"ready"}}, {2, "arg", []string{"hosts", "out"}},
		{2, "not an address", []string{"ready", "--door", "a b"}}, {2, "under 10ms", []string{"figures", "--every", "1ms"}},
		{3, "does not answer", []string{"ready", "--door", "127.0.0.1:1"}},
		{3, "does not answer", []string{"figures", "--door", silent.Addr().String()}},
		{3, "does not answer", []string{"hosts", "list", "--door", noise.Addr().String()}},
		{3, "answers 502", []string{"ready", respondWith(502, "a proxy")}}, {3, "answers 302", []string{"ready", respondWith(302, "")}},
		{3, "no door of hollylever", []string{"figures", respondWith(200, "<html>")}}, {3, "no door", []string{"hosts", "list", respondWith(200, "[7]")}},
		{4, "no: not ready", []string{"ready", respondWith(503, "not ready\n")}}, {4, "no: ?[2Jthis", []string{"hosts", "back", "x", respondWith(404, "\x1b[2Jthis id")}},
		{1, "no field or table", []string{"config", "explain", "log.volume"}},
	} {
		code, out, wrong := runCommand(c.words...)
		if code != c.code || !strings.Contains(wrong, c.want) || strings.Count(wrong, "\n") != 1 || out != "" {
			t.Errorf("%q: %d, %q, %q; want %d, %q", c.words, code, out, wrong, c.code, c.want)
		}
	}
}
