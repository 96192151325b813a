package fleetconfig

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"hollylever/config"
)

var goField = regexp.MustCompile(`struct field \S+`)

var update = flag.Bool("update", false, "rewrite testdata/fleet.golden")

// The keys of proposals and of their results, and the texts of validation errors, are interfaces: if one changes,
// operators' scripts and the files they wrote for an earlier version stop working.
func TestProposalsAndChecksGolden(t *testing.T) {
	var lines bytes.Buffer
	writeLine := func(value any) {
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&lines, "%s\n", text)
	}
	for _, text := range []string{
		"",
		"by = \"b\"\nwhy = \"w\"\nmade_for = 3\nout = [\"h1\"]\nback = [\"h2\"]\nsettings_digest = \"d\"\nlist_of = \"l\"\nlist_from = 4\n" +
			"leave = [\"z1\"]\nreturn = [\"z2\"]\n[limits]\nheld = 5\n",
		"settings_digest = \"\"\nlist_of = \"\"\nlist_from = 0\n",
		"outs = 1\nid = \"x\"\n", "made_for = -1\n", "out = \"h\"\n", "why = \"", "[limits]\nheld = \"many\"\n", "why = 1\nwhy = 2\n",
	} {
		p, errs := ParseProposal("f", []byte(text))
		p.ID = "id"
		writeLine(p)
		for _, err := range errs { // Error texts of the TOML library contain the Go field, which may be renamed.
			fmt.Fprintln(&lines, goField.ReplaceAllString(err.Error(), "struct field"))
		}
	}
	writeLine(ProposalResult{ID: "1"})
	writeLine(ProposalResult{ID: "1", Revision: 2, Reason: "w", IsFinal: true})
	const common = "on = true\nlisten = \"127.0.0.1:1\"\n"
	const peers, replica = "peers = \"a=127.0.0.1:1,b=127.0.0.1:2\"\n", "keepers = \"a\"\n"
	for _, text := range []string{
		"", common, common + peers + replica, common + peers + replica + "rate = 9999\n", "on = true\n" + peers + replica, common + peers + "keepers = \"a,b\"\n",
		common + peers + "keepers = \"a,b,a\"\n", common + peers + "keepers = \"c\"\n", common + replica + "peers = \"b=127.0.0.1:2\"\n",
		common + replica + "peers = \"b=127.0.0.1:2\"\nway = \"gossip\"\n", common + replica + "peers = \"a\"\n", common + replica + "peers = \"a=nowhere\"\n",
		common + replica + "peers = \"a=127.0.0.1:1,a=127.0.0.1:1\"\n", common + peers + replica + "lease = \"200ms\"\npause = \"201ms\"\n",
		common + peers + replica + "rate_error = 100\nlease = \"1m\"\npause = \"1m\"\nmost = 4096\nrate = 12345\n", "way = \"c\"\n", "most = 4097\n",
	} {
		file := filepath.Join(t.TempDir(), "own.toml")
		if err := os.WriteFile(file, []byte("[fleet]\n"+text), 0o600); err != nil {
			t.Fatal(err)
		}
		own, errs := config.Read(file, []config.Section{ConfigSection})
		for _, err := range errs {
			fmt.Fprintln(&lines, strings.ReplaceAll(err.Error(), file, "own.toml"))
		}
		timing := ParseLeaseTiming(own)
		fmt.Fprintln(&lines, Validate(own, "p"), Validate(own, ""), Validate(own, "a"), SendRate(own, 3), int64(timing.GranterTimeout()), int64(timing.MaxDisagreement()), timing.MaxMembers)
	}
	for _, timing := range []LeaseTiming{{}, {LeaseDuration: 1e11}, {LeaseDuration: 1e9, ClockRateError: 0.2}, {LeaseDuration: 1e9, ClockRateError: -1}, {LeaseDuration: 1e9, MaxPause: 2e9}, {LeaseDuration: 1e9, MaxPause: -1}} {
		fmt.Fprintln(&lines, timing.Validate())
	}
	fmt.Fprint(&lines, config.Example([]config.Section{ConfigSection}))
	const file = "testdata/fleet.golden"
	if *update {
		if err := os.WriteFile(file, lines.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(lines.Bytes(), want) {
		t.Errorf("output differs from %s\ngot:\n%s\nwant:\n%s", file, lines.Bytes(), want)
	}
}
