package cli

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"hollylever/fields"
	"hollylever/server"
)

func runCommand(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = run(args, &o, &e, nil)
	return code, o.String(), e.String()
}

// However it goes wrong, it is one line and the code that the page says.
func TestCommandsEndWithOneLineAndTheirCode(t *testing.T) {
	door := func(status int, text string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(status); w.Write([]byte(text)) }))
		t.Cleanup(s.Close)
		return "--door=" + s.Listener.Addr().String()
	}
	silent, err := net.Listen("tcp", "127.0.0.1:0") // It takes the call and says nothing.
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
		{3, "answers 502", []string{"ready", door(502, "a proxy")}}, {3, "answers 302", []string{"ready", door(302, "")}},
		{3, "no door of hollylever", []string{"figures", door(200, "<html>")}}, {3, "no door", []string{"hosts", "list", door(200, "[7]")}},
		{4, "no: not ready", []string{"ready", door(503, "not ready\n")}}, {4, "no: ?[2Jthis", []string{"hosts", "back", "x", door(404, "\x1b[2Jthis id")}},
		{1, "no field or table", []string{"config", "explain", "log.volume"}},
	} {
		code, out, wrong := runCommand(c.words...)
		if code != c.code || !strings.Contains(wrong, c.want) || strings.Count(wrong, "\n") != 1 || out != "" {
			t.Errorf("%q: %d, %q, %q; want %d, %q", c.words, code, out, wrong, c.code, c.want)
		}
	}
}

// check reports all mistakes of all files, each with its line and field.
func TestCheck(t *testing.T) {
	place := t.TempDir()
	put := func(name, text string) string {
		file := filepath.Join(place, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	good := configurationFile(t, nil)
	if code, out, wrong := runCommand("check", good, put("good.toml", fields.Example(server.SettingsTables))); code != 0 || strings.Count(out, ": good\n") != 2 || wrong != "" {
		t.Errorf("good files: %d, %q, %q", code, out, wrong)
	}
	var nice bytes.Buffer
	text, _ := os.ReadFile(configurationFile(t, map[string]any{"seed": "none", "listen": "here", "limits": map[string]any{"cores": 0, "memory_mb": 192, "sockets": 3}}))
	json.Indent(&nice, text, "", " ")
	bad := put("bad.json", nice.String())
	own := put("own.toml", "[log]\nlevle = \"info\"\n[watch]\nover = 3\n")
	code, out, wrong := runCommand("check", bad, own, put("noise", "\x00\x01"), place, filepath.Join(place, "none"))
	for _, want := range []string{": seed: not a hexadecimal", `: listen: "here" is not an address`, ": limits.cores: not a number over 0", ": limits.sockets: not a number of at least 64",
		own + ":2:1: log.levle: no such field", own + ":4:1: watch.over: has to be a duration", place + ": not a regular file", "none: no such file"} {
		if !strings.Contains(out, want) {
			t.Errorf("check says nothing of %q in\n%s", want, out)
		}
	}
	for n, line := range strings.Split(nice.String(), "\n") {
		if at := bad + ":" + strconv.Itoa(n+1) + ":"; strings.Contains(line, `"seed"`) && !strings.Contains(out, at) {
			t.Errorf("%s is not where the seed stands, in\n%s", at, out)
		}
	}
	if code != exitMistake || wrong != "" {
		t.Errorf("%d, %q", code, wrong)
	}
}

// The example that comes along is what the program itself would print.
func TestExampleIsTheProgramsOwn(t *testing.T) {
	text, err := os.ReadFile("../deploy/hollylever.toml")
	if err != nil || string(text) != fields.Example(server.SettingsTables) {
		t.Errorf("deploy/hollylever.toml: %v; hollylever config example > deploy/hollylever.toml mends it", err)
	}
}

// A table fleet that does not fit together is a mistake that names its field.
func TestFleetIsChecked(t *testing.T) {
	t.Parallel()
	good := "[fleet]\non = true\nlisten = \"127.0.0.1:1\"\npeers = \"a=127.0.0.1:1, b=127.0.0.1:2, c=127.0.0.1:3\"\nkeepers = \"a, b, c\"\n"
	file := filepath.Join(t.TempDir(), "own.toml")
	for want, text := range map[string]string{
		"good; T is 1.986s":            good,
		"fleet.keepers: names 2":       strings.Replace(good, "a, b, c\"\n", "a, b\"\n", 1),
		"fleet.keepers: \"d\" is none": strings.Replace(good, "a, b, c\"\n", "a, b, d\"\n", 1),
		"fleet.peers: \"a\" stands":    strings.Replace(good, "b=127", "a=127", 1),
		"fleet.peers: \"b 127":         strings.Replace(good, "b=127", "b 127", 1),
		"fleet.listen: missing":        strings.Replace(good, "127.0.0.1:1\"\npeers", "\"\npeers", 1),
		"fleet.pause: ":                good + "pause = \"1m\"\n",
		"fleet.lease: is not":          good + "lease = \"1h\"\n",
		"fleet.rate: is not":           good + "rate = 9999\n",
	} {
		os.WriteFile(file, []byte(text), 0o600)
		var out bytes.Buffer
		run([]string{"check", file}, &out, io.Discard, nil)
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q, not %q", out.String(), want)
		}
	}
}
