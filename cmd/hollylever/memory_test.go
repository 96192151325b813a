package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"hollylever/fakes"
)

// maxStart is how much of memory the program takes before it has a list, whatever the size of the fleet that the
// settings state, in KiB.
const maxStart = 12 << 10

// The program as the deploy file builds it, one of 1,024 balancers, takes no more than that at the start. The
// collector's state differs by some hundred KiB from start to start: the least of three counts.
func TestMemoryAtTheStart(t *testing.T) {
	root := filepath.Join("..", "..")
	program := filepath.Join(t.TempDir(), "hollylever")
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", program, "./cmd/hollylever")
	build.Dir, build.Env = root, append(os.Environ(), "CGO_ENABLED=1")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	settings := strings.Replace(fakes.Settings, `"balancers":1,`, `"balancers":1024,`, 1)
	config := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":512},
"known":{"index":0,"snapshot":true,"endpoints":[]},"settings":%s}`, settings)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	least := 1 << 30
	for range 3 {
		least = min(least, resident(t, program, config))
	}
	if t.Logf("%d KiB", least); least > maxStart {
		t.Errorf("%d KiB are over %d", least, maxStart)
	}
}

// resident starts the program, and gives what it has of memory once it serves.
func resident(t *testing.T, program, config string) (kib int) {
	t.Helper()
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+config, "LB_LISTEN=", "LB_DISCOVERY=", "LB_NAME=", "LB_MGMT=", "LB_EXTRA=", "TMPDIR="+t.TempDir())
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Wait()
	defer cmd.Process.Kill()
	for lines := bufio.NewScanner(log); lines.Scan(); {
		if strings.Contains(lines.Text(), `"message":"serving"`) {
			break
		}
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	_, line, _ := strings.Cut(string(text), "VmRSS:")
	if fmt.Sscan(line, &kib); err != nil || kib == 0 {
		t.Fatalf("%d KiB, %v", kib, err)
	}
	return kib
}
