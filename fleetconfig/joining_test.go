package fleetconfig

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hollylever/fields"
)

// A proposal that is wrong is said so with file, line and field, before anybody votes.
func TestReadProposal(t *testing.T) {
	for text, want := range map[string]string{
		"why = \"w\"\nouts = [\"h\"]\n":       "f:2:1: outs: no such field",
		"why = \"w\"\nout = \"h\"\n":          "f:2:7: out: ",
		"[limits]\nheld = \"many\"\n":         "f:2:8: limits.held: ",
		"why = \"w\"\nwhy = \"v\"\n":          "f:2:",
		"made_for = -1\n":                     "f:1:",
		"out = [\"h\"]\n[limits]\nheld = 5\n": "",
	} {
		p, wrong := ParseProposal("f", []byte(text))
		said := ""
		for _, m := range wrong {
			said += fmt.Sprintln(m)
		}
		if !strings.HasPrefix(said, want) || want == "" && (said != "" || len(p.EjectEndpoints) != 1 || p.Limits["held"] != 5) {
			t.Errorf("%q: %q, not %q; %+v", text, said, want, p)
		}
	}
}

func TestPeers(t *testing.T) {
	if peers, err := ParsePeers(" a=127.0.0.1:1 , b=127.0.0.1:2,"); err != nil || len(peers) != 2 || peers[1] != (Peer{"b", "127.0.0.1:2"}) {
		t.Error(peers, err)
	}
	for _, bad := range []string{"a", "=127.0.0.1:1", "a=nowhere", "a=127.0.0.1:1,a=127.0.0.1:2", strings.Repeat("n", 200) + "=127.0.0.1:1"} {
		if _, err := ParsePeers(bad); err == nil {
			t.Errorf("%.30q is taken", bad)
		}
	}
}

const thousand = 1024

// As many peers as a fleet may have, with the longest names and addresses, fit into a file of settings, and one more is refused.
func TestAsManyPeersAsMayBe(t *testing.T) {
	own := func(peers int) (fields.Values, []fields.FieldError) {
		var all []string
		for n := range peers {
			name := fmt.Sprint(n, "-")
			all = append(all, fmt.Sprintf("%s=127.100.%d.%d:65000", name+strings.Repeat("n", MaxNameBytes-len(name)), 100+n%100, 100+n/100))
		}
		file := filepath.Join(t.TempDir(), "own.toml")
		text := fmt.Sprintf("[fleet]\non = true\nlisten = \"127.0.0.1:1\"\nkeepers = %q\nmost = %d\npeers = %q\n", strings.Split(all[0], "=")[0], min(peers, MaxMembers), strings.Join(all, ", "))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return fields.Read(file, []fields.Part{ConfigSection})
	}
	for _, many := range []int{thousand, MaxMembers} {
		values, wrong := own(many)
		if len(wrong) > 0 {
			t.Fatalf("%d peers: %.200s", many, wrong[0])
		}
		if peers, err := ParsePeers(values.Word("fleet.peers")); err != nil || len(peers) != many {
			t.Errorf("%d peers of %d, %v", len(peers), many, err)
		}
		if err := Validate(values, ""); err != nil {
			t.Error(err)
		}
	}
	values, _ := own(thousand)
	if rate := SendRate(values, thousand); rate < 16_000_000 || SendRate(fields.Standard([]fields.Part{ConfigSection}), 3) > 1_100_000 {
		t.Errorf("%d bytes a second among %d", rate, thousand)
	}
	values, wrong := own(MaxMembers + 1)
	if err := Validate(values, ""); len(wrong) == 0 && err == nil {
		t.Error("one more is taken")
	}
}
