package joining

import (
	"fmt"
	"strings"
	"testing"
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
		p, wrong := ReadProposal("f", []byte(text))
		said := ""
		for _, m := range wrong {
			said += fmt.Sprintln(m)
		}
		if !strings.HasPrefix(said, want) || want == "" && (said != "" || len(p.Out) != 1 || p.Limits["held"] != 5) {
			t.Errorf("%q: %q, not %q; %+v", text, said, want, p)
		}
	}
}

func TestPeers(t *testing.T) {
	if peers, err := Peers(" a=127.0.0.1:1 , b=127.0.0.1:2,"); err != nil || len(peers) != 2 || peers[1] != (Peer{"b", "127.0.0.1:2"}) {
		t.Error(peers, err)
	}
	for _, bad := range []string{"a", "=127.0.0.1:1", "a=nowhere", "a=127.0.0.1:1,a=127.0.0.1:2", strings.Repeat("n", 200) + "=127.0.0.1:1"} {
		if _, err := Peers(bad); err == nil {
			t.Errorf("%.30q is taken", bad)
		}
	}
}
