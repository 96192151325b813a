package fleetconfig

import (
	"errors"
	"strings"
	"testing"

	"hollylever/config"
)

// A peer that is listed wrongly or twice would be unreachable, or counted twice, without a word; a start is refused
// instead.
func TestParsePeers(t *testing.T) {
	peers, err := ParsePeers(" a=127.0.0.1:1 , b=127.0.0.1:2,")
	if err != nil || len(peers) != 2 || peers[1] != (Peer{"b", "127.0.0.1:2"}) {
		t.Error(peers, err)
	}
	for text, want := range map[string]error{
		"a":                           ErrPeerForm,
		"=127.0.0.1:1":                ErrPeerForm,
		"a=nowhere":                   ErrPeerAddress,
		"a=127.0.0.1:1,a=127.0.0.1:2": ErrDuplicatePeer,
		strings.Repeat("n", 200) + "=127.0.0.1:1": ErrPeerForm,
	} {
		if _, err := ParsePeers(text); !errors.Is(err, want) {
			t.Errorf("%.30q: %v, not %v", text, err, want)
		}
	}
}

// What is wrong in a table is looked for by its field and its kind, in code as in logs: an operator who sees neither
// searches a file of a thousand peers.
func TestValidateNamesTheField(t *testing.T) {
	const common = "[fleet]\non = true\nlisten = \"127.0.0.1:1\"\n"
	for text, want := range map[string]InvalidFieldError{
		common: {Field: "keepers"},
		common + "peers = \"a=127.0.0.1:1, a=127.0.0.1:1\"\n": {Field: "peers", Err: ErrDuplicatePeer},
		common + "lease = \"1s\"\npause = \"2s\"\n":           {Field: "pause"},
	} {
		own, mistakes := config.Parse("own.toml", []byte(text), []config.Section{ConfigSection})
		if len(mistakes) > 0 {
			t.Fatal(mistakes)
		}
		var invalid *InvalidFieldError
		err := Validate(own, "")
		if !errors.As(err, &invalid) || invalid.Field != want.Field || want.Err != nil && !errors.Is(err, want.Err) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
