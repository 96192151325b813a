package server

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A balancer without a table fleet listens at its clients' address only. With one, a program that is built without
// fleets refuses to start.
func TestProgramWithoutFleet(t *testing.T) {
	t.Parallel()
	p := startProgram(t, endpointList(1, true), nil)
	listens, datagrams := 0, 0
	inodes := map[string]bool{}
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.cmd.Process.Pid))
	for _, file := range files {
		if at, err := os.Readlink(file); err == nil {
			if inode, is := strings.CutPrefix(at, "socket:["); is {
				inodes[strings.TrimSuffix(inode, "]")] = true
			}
		}
	}
	for _, table := range []string{"tcp", "tcp6", "udp", "udp6"} {
		text, _ := os.ReadFile("/proc/net/" + table)
		for _, line := range strings.Split(string(text), "\n") {
			if f := strings.Fields(line); len(f) > 9 && inodes[f[9]] {
				if strings.HasPrefix(table, "udp") {
					datagrams++
				} else if f[3] == "0A" {
					listens++
				}
			}
		}
	}
	if listens != 1 || datagrams != 0 {
		t.Errorf("%d sockets listen, %d are for datagrams", listens, datagrams)
	}
	own := filepath.Join(t.TempDir(), "own.toml")
	os.WriteFile(own, []byte("[fleet]\non = true\nlisten = \"127.0.0.1:1\"\npeers = \"n=127.0.0.1:1\"\nkeepers = \"n\"\n"), 0o600)
	cmd := programCommand(configurationFile(t, map[string]any{"known": json.RawMessage(endpointList(1, true))}), "LB_EXTRA="+own)
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "fleet.on: this program is built without") || strings.Count(string(out), "\n") != 1 {
		t.Errorf("%v, %q", err, out)
	}
}
