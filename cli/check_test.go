package cli

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"hollylever/config"
	"hollylever/server"
)

// Files have several mistakes each: check reports all of them, each with its line and field.
func TestCheckReportsEveryMistake(t *testing.T) {
	place := t.TempDir()
	put := func(name, text string) string {
		file := filepath.Join(place, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	good := configurationFile(t, nil)
	if code, out, wrong := runCommand("check", good, put("good.toml", config.Example(server.SettingsTables))); code != 0 || strings.Count(out, ": good\n") != 2 || wrong != "" {
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

// A setting is added and the example file is forgotten: it has to be what the program prints.
func TestExampleFileIsUpToDate(t *testing.T) {
	text, err := os.ReadFile("../deploy/hollylever.toml")
	if err != nil || string(text) != config.Example(server.SettingsTables) {
		t.Errorf("deploy/hollylever.toml: %v; hollylever config example > deploy/hollylever.toml mends it", err)
	}
}

// The fields of a table fleet contradict each other: check names the field.
func TestCheckNamesTheFieldOfAFleetsMistake(t *testing.T) {
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
