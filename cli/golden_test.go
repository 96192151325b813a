package cli

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"hollylever/config"
	"hollylever/server"
)

var update = flag.Bool("update", false, "write the golden files in testdata anew")

// compareGolden compares a text with a file of testdata.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil || got != string(want) {
		t.Errorf("%s: %v; got\n%s", path, err, got)
	}
}

// fixEnvironment keeps the environment of this test run out of what is printed.
func fixEnvironment(t *testing.T) {
	for name, value := range map[string]string{"LB_MGMT": "", "LB_EXTRA": "", "USER": "ann"} {
		t.Setenv(name, value)
	}
}

// Runbooks and completions hold the commands and flags by name: one that is renamed with a Go name fails at night.
func TestGoldenUsage(t *testing.T) {
	fixEnvironment(t)
	var out strings.Builder
	for _, command := range []string{"", "serve", "check", "hosts", "hosts list", "hosts out", "hosts back", "ready", "figures", "fleet", "fleet propose", "fleet history",
		"zones", "zones list", "zones plan", "zones leave", "zones return", "config", "config example", "config explain", "version", "completion", "help"} {
		code, said, wrong := runCommand(append(strings.Fields(command), "--help")...)
		fmt.Fprintf(&out, "$ hollylever %s --help\n%s%sexit %d\n\n", command, said, wrong, code)
	}
	compareGolden(t, "usage.golden", out.String())
}

// A file of own settings that an operator has written must mean the same: fields, defaults, bounds and when a change
// counts.
func TestGoldenSettings(t *testing.T) {
	_, out, wrong := runCommand("config", "explain")
	_, example, _ := runCommand("config", "example")
	compareGolden(t, "settings.golden", out+wrong+example+strings.Join(config.Names(server.SettingsTables), "\n"))
}

// What the commands make of a door's answers, and the code with which each ends, is what scripts build on. The door
// answers with the JSON of the fleet's own golden file, so that neither side's fields can be renamed alone.
func TestGoldenCommands(t *testing.T) {
	fixEnvironment(t)
	asked := []string{}
	answers := map[string]string{"GET /ready": "ready\n", "GET /metrics": "replies.read.success=1\nreplies.read.overload=2\nreplies.read.error=3\ndispatches=4\nconcurrent=5\ntargets=6\n" +
		"targets_disabled=7\nrejected.deadline=8\nrequests.late=9\nconnections.closed.left=10\n",
		"GET /cache-hosts": `[{"id":"s/1","address":"10.0.0.1:70","kind":"std","zone":"z","listed":"Ready","by_hand":true,"avoided":true,"trips":3,"since_ms":1700000000000},` +
			`{"id":"s2","address":"10.0.0.2:70","kind":"std","zone":"z","listed":"Ready","by_hand":false,"avoided":true,"trips":0,"since_ms":0},{"id":"s3"}]`,
		"POST /cache-hosts/disable/s%2F1": "ok", "POST /cache-hosts/enable/s%2F1": "ok",
		"GET /fleet": readFile(t, "../fleet/testdata/status.json"), "GET /fleet/history": readFile(t, "../fleet/testdata/history.json")}
	answer := `{"id":"p","version":7,"sure":true}`
	id := regexp.MustCompile(`"id":"[A-Z0-9]+"`)
	door := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		call := r.Method + " " + r.URL.EscapedPath()
		asked = append(asked, call+" "+id.ReplaceAllString(string(body), `"id":"DRAWN"`))
		text, known := answers[call]
		switch {
		case call == "POST /fleet/propose":
			io.WriteString(w, answer)
		case !known:
			http.Error(w, "this id was never listed", http.StatusNotFound)
		default:
			io.WriteString(w, text)
		}
	}))
	defer door.Close()
	place := t.TempDir()
	proposal, bad := filepath.Join(place, "proposal.toml"), filepath.Join(place, "bad.toml")
	for at, text := range map[string]string{proposal: "by = \"eve\"\nwhy = \"disk\"\nmade_for = 3\nout = [\"a\"]\nback = [\"b\"]\nsettings_digest = \"0123456789abcdef\"\n" +
		"list_of = \"10.0.0.1:7000\"\nlist_from = 4\nleave = [\"z1\"]\nreturn = [\"z2\"]\n[limits]\nheld = 5\n", bad: "outs = [\"a\"]\nwhy = \"x\"\n"} {
		if err := os.WriteFile(at, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var out strings.Builder
	run := func(words ...string) {
		asked = asked[:0]
		if words[0] != "config" && words[0] != "nonsense" {
			words = append(words, "--door="+door.Listener.Addr().String())
		}
		code, said, wrong := runCommand(words...)
		line := fmt.Sprintf("$ hollylever %s\n%s%sexit %d; asked %q\n\n", strings.Join(words, " "), said, wrong, code, asked)
		out.WriteString(strings.NewReplacer(place, "PLACE", door.Listener.Addr().String(), "DOOR").Replace(line))
	}
	for _, words := range []string{"ready", "ready --json", "figures", "figures --json", "figures --watch --times=2 --every=10ms", "figures --every=1ms", "hosts list", "hosts list --json",
		"hosts out s/1", "hosts out s/1 --json", "hosts back s/1", "hosts back s/1 --json", "hosts back s9", "hosts out s9 --json", "hosts out s/1 --fleet --why=disk", "hosts back s/1 --fleet",
		"fleet", "fleet --json", "fleet history", "fleet history --json", "fleet propose " + proposal, "fleet propose " + proposal + " --json", "fleet propose " + bad, "fleet propose " + place + "/none",
		"zones list", "zones list --json", "zones plan z1", "zones plan z3", "zones plan z9", "zones leave z3 --why=test", "zones leave z9", "zones return z1", "hosts", "zones", "config", "nonsense",
		"hosts out", "ready now", "config explain none"} {
		run(strings.Fields(words)...)
	}
	for _, answer = range []string{`{"id":"p","wrong":"made for another version","sure":true}`, `{"id":"p","wrong":"no word of a majority","sure":false}`, "noise"} {
		run("zones", "return", "z1")
		run("zones", "return", "z1", "--json")
	}
	answers["GET /fleet"] = readFile(t, "../fleet/testdata/status_empty.json")
	run("fleet")
	run("zones", "list")
	answers["GET /fleet"], answers["GET /metrics"] = "noise", "noise"
	run("fleet")
	run("figures")
	door.Close()
	run("ready")
	code, said, wrong := runCommand("ready")
	fmt.Fprintf(&out, "$ hollylever ready, without a door\n%s%sexit %d\n", said, wrong, code)
	compareGolden(t, "commands.golden", out.String())
}

// readFile returns the text of a file that is not empty.
func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil || len(bytes.TrimSpace(text)) == 0 {
		t.Fatal(path, err)
	}
	return string(text)
}
