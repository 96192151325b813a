package fleetconfig

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hollylever/config"
)

// largeFleet is how many processes the tests of size have.
const largeFleet = 1024

// A fleet that has grown to the largest size must still start from its settings: as many peers as may be, with the
// longest names and addresses, are read, and one more is refused.
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
		values, mistakes := readSettings(count)
		if len(mistakes) > 0 {
			t.Fatalf("%d peers: %.200s", count, mistakes[0])
		}
		if peers, err := ParsePeers(values.Text("fleet.peers")); err != nil || len(peers) != count {
			t.Errorf("%d peers of %d, %v", len(peers), count, err)
		}
		if err := Validate(values, ""); err != nil {
			t.Error(err)
		}
	}
	values, _ := readSettings(largeFleet)
	if rate := SendRate(values, largeFleet); rate < 16_000_000 {
		t.Errorf("%d bytes a second among %d", rate, largeFleet)
	}
	if rate := SendRate(config.Defaults([]config.Section{ConfigSection}), 3); rate > 1_100_000 {
		t.Errorf("%d bytes a second among 3", rate)
	}
	values, mistakes := readSettings(MaxMembers + 1)
	if err := Validate(values, ""); len(mistakes) == 0 && err == nil {
		t.Error("one more than MaxMembers is taken")
	}
}
