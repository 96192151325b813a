package config

import (
	"bytes"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

var parts = []Section{
	{"log", "What is logged.", []Field{
		{Name: "level", Kind: Option, Default: "info", Options: []string{"debug", "info"}, TakesEffect: OnReload, Help: "From which level on."},
		{Name: "lines", Kind: Integer, Default: "512", Min: "16", Max: "4096", TakesEffect: OnRestart, Help: "Kept back."}}},
	{"keep", "What is kept.", []Field{
		{Name: "on", Kind: Boolean, Default: "true", TakesEffect: OnRestart, Help: "Whether."},
		{Name: "every", Kind: Duration, Default: "1s", Min: "100ms", Max: "1m", TakesEffect: OnReload, Help: "How often."},
		{Name: "most", Kind: Size, Default: "8 MiB", Min: "1 KiB", Max: "8 MiB", TakesEffect: OnReload, Help: "How much."}}},
}

// Who mends a settings file is told of each error in one line that names the place and the field.
func TestErrorsNameTheirPlaceAndField(t *testing.T) {
	for text, want := range map[string]string{
		"[log]\nlevle = \"info\"":                  "f.toml:2:1: log.levle: no such field; there are level, lines",
		"\n[logs]\nlevel = \"info\"":               "f.toml:2:2: logs: no such table; there are log, keep",
		"level = \"info\"":                         "f.toml:1:1: level: no such field: a field has to be in one of the tables log, keep",
		"logs.level = \"info\"":                    "f.toml:1:1: logs: no such table; there are log, keep",
		"[keep]\n  every = 5":                      `f.toml:2:3: keep.every: has to be a duration with its unit, such as "100ms"`,
		"[keep]\nevery = \"5\"":                    `f.toml:2:1: keep.every: "5" is not a duration with its unit, such as "100ms"`,
		"[keep]\nevery = \"5h\"":                   "f.toml:2:1: keep.every: is not from 100ms to 1m",
		"[keep]\nmost = \"5\"":                     `f.toml:2:1: keep.most: "5" has no unit: B, kB, KiB, MB, MiB, GB or GiB`,
		"[keep]\nmost = \"9 MiB\"":                 "f.toml:2:1: keep.most: is not from 1 KiB to 8 MiB",
		"[keep]\nmost = \"99999999999999 GB\"":     `f.toml:2:1: keep.most: "99999999999999 GB" is not a size`,
		"[keep]\non = \"yes\"":                     "f.toml:2:1: keep.on: has to be true or false",
		"[log]\nlines = 15":                        "f.toml:2:1: log.lines: is not from 16 to 4096",
		"[log]\nlines = 16.5":                      "f.toml:2:1: log.lines: has to be a whole number",
		"[log]\nlevel = \"loud\"":                  `f.toml:2:1: log.level: "loud" is none of debug, info`,
		"[log]\nlevel = {a = 1}":                   "f.toml:2:1: log.level: has to be one of debug, info",
		"log = 1":                                  "f.toml:1:1: log: has to be a table",
		"[[log]]\nlevel = \"info\"":                "f.toml:1:3: log: has to be a table",
		"[log]\n[keep]\n[log]":                     "f.toml:3:",
		"[log]\nlines = 16\nlines = 17":            "f.toml:3:",
		"[log]\nlines = 16\n[keep\nevery = \"5s\"": "f.toml:3:",
	} {
		_, wrong := Parse("f.toml", []byte(text), parts)
		if len(wrong) != 1 || !strings.HasPrefix(wrong[0].Error(), want) {
			t.Errorf("%q: %v, want %s", text, wrong, want)
		}
	}
	_, wrong := Parse("f.toml", []byte("[log]\nlines = 1\nlevel = 2\n[keep]\nevery = 3"), parts)
	if len(wrong) != 3 || wrong[0].Line != 2 || wrong[2].Line != 5 {
		t.Errorf("all mistakes, in order: %v", wrong)
	}
}

// Values are the file's, or the defaults; the example file is the defaults, and a change is told by when it takes
// effect.
func TestValuesDefaultsAndChanges(t *testing.T) {
	v, wrong := Parse("f", []byte("keep.every = \"250ms\"\n[log]\nlevel = \"debug\""), parts)
	if len(wrong) > 0 || v.Duration("keep.every") != 250*time.Millisecond || v.Text("log.level") != "debug" || v.Integer("log.lines") != 512 ||
		!v.Boolean("keep.on") || v.Integer("keep.most") != 8<<20 {
		t.Errorf("%+v, %v", v, wrong)
	}
	w := Defaults(parts)
	if now, later := ChangedFields(parts, v, w, OnReload), ChangedFields(parts, v, w, OnRestart); strings.Join(now, " ") != "log.level keep.every" || len(later) > 0 {
		t.Errorf("what changed: %v at once, %v later", now, later)
	}
	if example, wrong := Parse("f", []byte(Example(parts)), parts); len(wrong) > 0 || len(ChangedFields(parts, example, w, OnReload))+len(ChangedFields(parts, example, w, OnRestart)) > 0 {
		t.Errorf("the example is not the defaults: %v\n%s", wrong, Example(parts))
	}
	if text := Explain(parts, "keep.every"); !strings.Contains(text, "100ms to 1m") || !strings.Contains(text, "at once") || Explain(parts, "none") != "" {
		t.Errorf("%q", text)
	}
}

// Whatever a file is, it is refused in one line and changes nothing.
func TestUnreadableFilesAreRefusedInOneLine(t *testing.T) {
	place, noise := t.TempDir(), make([]byte, 10<<20)
	chance := rand.NewChaCha8([32]byte{1})
	chance.Read(noise)
	os.WriteFile(filepath.Join(place, "noise"), noise, 0o600)
	os.WriteFile(filepath.Join(place, "short"), noise[:1000], 0o600)
	os.WriteFile(filepath.Join(place, "zeros"), make([]byte, 1000), 0o600)
	os.WriteFile(filepath.Join(place, "deep"), append([]byte("a = "), bytes.Repeat([]byte("["), 100_000)...), 0o600)
	for _, name := range []string{"noise", "short", "zeros", "deep", "missing", ""} {
		if _, wrong := Read(filepath.Join(place, name), parts); len(wrong) != 1 || strings.Contains(wrong[0].Error(), "\n") {
			t.Errorf("%q: %.200v", name, wrong)
		}
	}
}

// A file that is replaced, written over and cut while it is read gives what was written whole, or mistakes.
func TestFileReplacedWhileItIsReadIsTakenWholeOrRefused(t *testing.T) {
	file := filepath.Join(t.TempDir(), "extra.toml")
	whole := func(n string) []byte {
		return []byte("[keep]\nevery = \"" + n + "\"\n" + strings.Repeat("# long\n", 20_000) + "most = \"" + n[:1] + " KiB\"\n")
	}
	os.WriteFile(file, whole("1s"), 0o600)
	var end atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := 0; !end.Load(); n++ {
			text := whole([]string{"1s", "2s"}[n%2])
			if n%3 == 0 {
				os.WriteFile(file, text, 0o600) // In place: half of it can be seen.
				continue
			}
			os.WriteFile(file+".new", text, 0o600)
			os.Rename(file+".new", file)
		}
	}()
	taken := 0
	for range 300 {
		v, wrong := Read(file, parts)
		if len(wrong) > 0 {
			continue
		}
		taken++
		every, most := v.Duration("keep.every"), v.Integer("keep.most")
		if most != 8<<20 && int64(every/time.Second)<<10 != most {
			t.Fatalf("half of one file and half of another: %v and %d", every, most)
		}
	}
	end.Store(true)
	<-done
	if taken == 0 {
		t.Error("no file was ever taken")
	}
}
