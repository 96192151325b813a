package fleetconfig

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hollylever/config"
)

// largeFleet is the number of processes in the tests of a large fleet.
const largeFleet = 1024

// A fleet of the maximum size must be able to start from its settings: the maximum number of peers, with names of the
// maximum length and long addresses, is accepted, and one more is rejected.
func TestLargestFleetConfig(t *testing.T) {
	readSettings := func(peers int) (config.Values, []config.FieldError) {
		var entries []string
		for n := range peers {
			name := fmt.Sprint(n, "-")
			name += strings.Repeat("n", MaxNameBytes-len(name))
			entries = append(entries, fmt.Sprintf("%s=127.100.%d.%d:65000", name, 100+n%100, 100+n/100))
		}
		file := filepath.Join(t.TempDir(), "own.toml")
		text := fmt.Sprintf("[fleet]\non = true\nlisten = \"127.0.0.1:1\"\nkeepers = %q\nmost = %d\npeers = %q\n",
			strings.Split(entries[0], "=")[0], min(peers, MaxMembers), strings.Join(entries, ", "))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return config.Read(file, []config.Section{ConfigSection})
	}
	for _, count := range []int{largeFleet, MaxMembers} {
		values, errs := readSettings(count)
		if len(errs) > 0 {
			t.Fatalf("%d peers: %.200s", count, errs[0])
		}
		if peers, err := ParsePeers(values.Text("fleet.peers")); err != nil || len(peers) != count {
			t.Errorf("parsed %d of %d peers, %v", len(peers), count, err)
		}
		if err := Validate(values, ""); err != nil {
			t.Error(err)
		}
	}
	values, _ := readSettings(largeFleet)
	if rate := SendRate(values, largeFleet); rate < 16_000_000 {
		t.Errorf("send rate is %d bytes per second with %d members", rate, largeFleet)
	}
	if rate := SendRate(config.Defaults([]config.Section{ConfigSection}), 3); rate > 1_100_000 {
		t.Errorf("send rate is %d bytes per second with 3 members", rate)
	}
	values, errs := readSettings(MaxMembers + 1)
	if err := Validate(values, ""); len(errs) == 0 && err == nil {
		t.Error("MaxMembers+1 peers are accepted")
	}
}
