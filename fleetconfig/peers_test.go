package fleetconfig

import (
	"errors"
	"strings"
	"testing"

	"hollylever/config"
)

// Malformed and duplicate peers must be rejected. Otherwise a peer would be unreachable or counted twice without any
// error being reported.
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
			t.Errorf("%.30q: got error %v, want %v", text, err, want)
		}
	}
}

// Validation errors must identify the field and the kind of error, for callers and in logs. Without these, operators
// have to search through settings with a thousand peers.
func TestValidateNamesTheField(t *testing.T) {
	const common = "[fleet]\non = true\nlisten = \"127.0.0.1:1\"\n"
	for text, want := range map[string]InvalidFieldError{
		common: {Field: "keepers"},
		common + "peers = \"a=127.0.0.1:1, a=127.0.0.1:1\"\n": {Field: "peers", Err: ErrDuplicatePeer},
		common + "lease = \"1s\"\npause = \"2s\"\n":           {Field: "pause"},
	} {
		own, errs := config.Parse("own.toml", []byte(text), []config.Section{ConfigSection})
		if len(errs) > 0 {
			t.Fatal(errs)
		}
		var invalid *InvalidFieldError
		err := Validate(own, "")
		if !errors.As(err, &invalid) || invalid.Field != want.Field || want.Err != nil && !errors.Is(err, want.Err) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
