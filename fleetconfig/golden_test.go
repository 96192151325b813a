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

var update = flag.Bool("update", false, "write testdata/fleet.golden anew")

// Operators' files, what the endpoint for proposals takes and what a start says of settings that do not fit together
// are interfaces: a script that reads a proposal's answer, or a file written for the version before, stops working if a
// key or a text of theirs changes.
func TestProposalsAndChecksGolden(t *testing.T) {
	var lines bytes.Buffer
	show := func(value any) {
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
		p, mistakes := ParseProposal("f", []byte(text))
		p.ID = "id"
		show(p)
		for _, mistake := range mistakes { // The TOML library names the Go field, which may be renamed.
			fmt.Fprintln(&lines, goField.ReplaceAllString(mistake.Error(), "struct field"))
		}
	}
	show(ProposalResult{ID: "1"})
	show(ProposalResult{ID: "1", Revision: 2, Reason: "w", IsFinal: true})
	const common = "on = true\nlisten = \"127.0.0.1:1\"\n"
	const peers, keeper = "peers = \"a=127.0.0.1:1,b=127.0.0.1:2\"\n", "keepers = \"a\"\n"
	for _, text := range []string{
		"", common, common + peers + keeper, common + peers + keeper + "rate = 9999\n", "on = true\n" + peers + keeper, common + peers + "keepers = \"a,b\"\n",
		common + peers + "keepers = \"a,b,a\"\n", common + peers + "keepers = \"c\"\n", common + keeper + "peers = \"b=127.0.0.1:2\"\n",
		common + keeper + "peers = \"b=127.0.0.1:2\"\nway = \"gossip\"\n", common + keeper + "peers = \"a\"\n", common + keeper + "peers = \"a=nowhere\"\n",
		common + keeper + "peers = \"a=127.0.0.1:1,a=127.0.0.1:1\"\n", common + peers + keeper + "lease = \"200ms\"\npause = \"201ms\"\n",
		common + peers + keeper + "rate_error = 100\nlease = \"1m\"\npause = \"1m\"\nmost = 4096\nrate = 12345\n", "way = \"c\"\n", "most = 4097\n",
	} {
		file := filepath.Join(t.TempDir(), "own.toml")
		if err := os.WriteFile(file, []byte("[fleet]\n"+text), 0o600); err != nil {
			t.Fatal(err)
		}
		own, mistakes := config.Read(file, []config.Section{ConfigSection})
		for _, mistake := range mistakes {
			fmt.Fprintln(&lines, strings.ReplaceAll(mistake.Error(), file, "own.toml"))
		}
		terms := ParseLeaseTiming(own)
		fmt.Fprintln(&lines, Validate(own, "p"), Validate(own, ""), Validate(own, "a"), SendRate(own, 3), int64(terms.GranterTimeout()), int64(terms.MaxDisagreement()), terms.MaxMembers)
	}
	for _, terms := range []LeaseTiming{{}, {LeaseDuration: 1e11}, {LeaseDuration: 1e9, ClockRateError: 0.2}, {LeaseDuration: 1e9, ClockRateError: -1}, {LeaseDuration: 1e9, MaxPause: 2e9}, {LeaseDuration: 1e9, MaxPause: -1}} {
		fmt.Fprintln(&lines, terms.Validate())
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
		t.Errorf("what operators see changed.\nGot:\n%s\nWant:\n%s", lines.Bytes(), want)
	}
}
