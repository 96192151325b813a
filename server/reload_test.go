package server

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// An operator changes the balancer's own settings and sends SIGHUP. A file with a mistake changes nothing, and the log names its place; of a
// good one each field that changed is logged, and a shorter interval of the summary holds at once.
func TestSettingsAreReloaded(t *testing.T) {
	own := filepath.Join(t.TempDir(), "own.toml")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(own, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("[log]\nsummary = \"1h\"\n")
	file := fileWith(t, nil)
	p := started(t, file, programWith(file, "LB_EXTRA="+own))
	reload := func(text, want string) {
		t.Helper()
		write(text)
		p.cmd.Process.Signal(syscall.SIGHUP)
		p.logged(want)
	}
	reload("[log]\nsummary = \"soon\"\n", `own.toml:2:1: log.summary: \"soon\" is not a duration`)
	reload("[log]\nsummary = \"1s\"\nform = \"console\"\n", `"field":"log.form"`)
	p.logged(`"field":"log.summary"`)
	p.logged(`"message":"summary"`)
	reload("[log]\nsummary = \"1s\"\nlevel = \"warn\"\n", `"log.level"`) // The last that is logged at info.
	reload("[log]\nsummary = 1\n", "configuration rejected")
}
