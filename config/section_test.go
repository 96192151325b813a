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

var testSections = []Section{
	{"log", "What is logged.", []Field{
		{Name: "level", Kind: Option, Default: "info", Options: []string{"debug", "info"}, TakesEffect: OnReload, Help: "From which level on."},
		{Name: "lines", Kind: Integer, Default: "512", Min: "16", Max: "4096", TakesEffect: OnRestart, Help: "Kept back."}}},
	{"keep", "What is kept.", []Field{
		{Name: "on", Kind: Boolean, Default: "true", TakesEffect: OnRestart, Help: "Whether."},
		{Name: "every", Kind: Duration, Default: "1s", Min: "100ms", Max: "1m", TakesEffect: OnReload, Help: "How often."},
		{Name: "most", Kind: Size, Default: "8 MiB", Min: "1 KiB", Max: "8 MiB", TakesEffect: OnReload, Help: "How much."}}},
}

// Each error in a settings file is one line with the position and the field, so that the mistake can be found.
func TestErrorsNamePositionAndField(t *testing.T) {
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
		_, errs := Parse("f.toml", []byte(text), testSections)
		if len(errs) != 1 || !strings.HasPrefix(errs[0].Error(), want) {
			t.Errorf("%q: %v, want %s", text, errs, want)
		}
	}
	_, errs := Parse("f.toml", []byte("[log]\nlines = 1\nlevel = 2\n[keep]\nevery = 3"), testSections)
	if len(errs) != 3 || errs[0].Line != 2 || errs[2].Line != 5 {
		t.Errorf("got %v, want three errors in the order of the lines", errs)
	}
}

// Fields that a file leaves out have their defaults, the example file has every field at its default, and changed fields
// are listed by when they take effect.
func TestValuesDefaultsAndChanges(t *testing.T) {
	v, errs := Parse("f", []byte("keep.every = \"250ms\"\n[log]\nlevel = \"debug\""), testSections)
	if len(errs) > 0 || v.Duration("keep.every") != 250*time.Millisecond || v.Text("log.level") != "debug" || v.Integer("log.lines") != 512 ||
		!v.Boolean("keep.on") || v.Integer("keep.most") != 8<<20 {
		t.Errorf("%+v, %v", v, errs)
	}
	defaults := Defaults(testSections)
	if onReload, onRestart := ChangedFields(testSections, v, defaults, OnReload), ChangedFields(testSections, v, defaults, OnRestart); strings.Join(onReload, " ") != "log.level keep.every" || len(onRestart) > 0 {
		t.Errorf("changed fields: %v on reload, %v on restart", onReload, onRestart)
	}
	if example, errs := Parse("f", []byte(Example(testSections)), testSections); len(errs) > 0 || len(ChangedFields(testSections, example, defaults, OnReload))+len(ChangedFields(testSections, example, defaults, OnRestart)) > 0 {
		t.Errorf("example file differs from the defaults: %v\n%s", errs, Example(testSections))
	}
	if text := Explain(testSections, "keep.every"); !strings.Contains(text, "100ms to 1m") || !strings.Contains(text, "at once") || Explain(testSections, "none") != "" {
		t.Errorf("%q", text)
	}
}

// Binary, deeply nested and missing files, and a directory, are each rejected with one error on one line.
func TestInvalidFilesGiveOneErrorOnOneLine(t *testing.T) {
	dir, noise := t.TempDir(), make([]byte, 10<<20)
	random := rand.NewChaCha8([32]byte{1})
	random.Read(noise)
	os.WriteFile(filepath.Join(dir, "noise"), noise, 0o600)
	os.WriteFile(filepath.Join(dir, "short"), noise[:1000], 0o600)
	os.WriteFile(filepath.Join(dir, "zeros"), make([]byte, 1000), 0o600)
	os.WriteFile(filepath.Join(dir, "deep"), append([]byte("a = "), bytes.Repeat([]byte("["), 100_000)...), 0o600)
	for _, name := range []string{"noise", "short", "zeros", "deep", "missing", ""} {
		if _, errs := Read(filepath.Join(dir, name), testSections); len(errs) != 1 || strings.Contains(errs[0].Error(), "\n") {
			t.Errorf("%q: %.200v", name, errs)
		}
	}
}

// A file is replaced, overwritten in place and truncated while it is read. Read has to return the values of one complete
// version or an error, never a mix of two versions. A truncated version, where "most" has its default, is accepted.
func TestFileChangedDuringReadIsReadWholeOrRejected(t *testing.T) {
	file := filepath.Join(t.TempDir(), "extra.toml")
	content := func(every string) []byte {
		return []byte("[keep]\nevery = \"" + every + "\"\n" + strings.Repeat("# long\n", 20_000) + "most = \"" + every[:1] + " KiB\"\n")
	}
	os.WriteFile(file, content("1s"), 0o600)
	var stop atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := 0; !stop.Load(); n++ {
			written := content([]string{"1s", "2s"}[n%2])
			if n%3 == 0 {
				os.WriteFile(file, written, 0o600) // In place: a reader can see a part of it.
				continue
			}
			os.WriteFile(file+".new", written, 0o600)
			os.Rename(file+".new", file)
		}
	}()
	accepted := 0
	for range 300 {
		v, errs := Read(file, testSections)
		if len(errs) > 0 {
			continue
		}
		accepted++
		every, most := v.Duration("keep.every"), v.Integer("keep.most")
		if most != 8<<20 && int64(every/time.Second)<<10 != most {
			t.Fatalf("values of two versions of the file: every = %v, most = %d", every, most)
		}
	}
	stop.Store(true)
	<-done
	if accepted == 0 {
		t.Error("no read succeeded")
	}
}
