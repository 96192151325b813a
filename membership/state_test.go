package membership

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// longListLength is how many hosts drain, zones are evacuated and processes there are in tests of size.
const longListLength = 1024

// paddedName returns a name of so many bytes.
func paddedName(kind string, n, bytes int) string {
	name := fmt.Sprint(kind, "-", n, "-")
	return name + strings.Repeat("x", max(0, bytes-len(name)))
}

// stateWithLongLists returns a state with longListLength drains and evacuations, of names of so many bytes.
func stateWithLongLists(name string, hosts, zones int) MemberState {
	state := MemberState{Name: name, Zone: paddedName("z", 1, zones), Incarnation: 1 << 40, Seq: 1,
		ListIndex: 1 << 40, ListDigest: 1 << 63, SettingsDigest: "0123456789abcdef"}
	for n := range longListLength {
		state.Drains = append(state.Drains, DrainedEndpoint{paddedName("h", n, hosts), 1<<39 + uint64(n)})
		state.Evacuations = append(state.Evacuations, ZoneEvacuation{paddedName("z", n, zones), 1.0 / 3})
	}
	return state
}

// In a release of a large fleet a thousand hosts drain at once. The complete lists, of the longest names, go as one
// message and come back as they were; what goes to all is one datagram with the newest drains, as older ones are known
// already.
func TestLongListsGoCompleteOrCutToADatagram(t *testing.T) {
	complete := stateWithLongLists(paddedName("p", 1, maxNameBytes), 512, maxNameBytes)
	sent := complete.truncate(maxMessageBytes, false)
	received, err := unmarshalState(marshalState(sent))
	if err != nil || sent.CompleteListsDigest != 0 || !slices.Equal(received.Drains, complete.Drains) ||
		!slices.Equal(received.Evacuations, complete.Evacuations) {
		t.Errorf("%v: %d drains, %d zones", err, len(received.Drains), len(received.Evacuations))
	}
	for _, sizes := range [][2]int{{512, maxNameBytes}, {10, 5}, {40, 5}} {
		complete = stateWithLongLists("p", sizes[0], sizes[1])
		short := complete.truncate(maxDatagramBytes-1, true)
		if bytes := len(marshalState(short)); bytes > maxDatagramBytes-1 || short.CompleteListsDigest == 0 ||
			len(short.Drains) == 0 || len(short.Evacuations) == 0 ||
			short.Drains[len(short.Drains)-1] != complete.Drains[longListLength-1] {
			t.Errorf("%v: %d bytes, %d drains, %d zones", sizes, bytes, len(short.Drains), len(short.Evacuations))
		}
	}
	few := MemberState{Name: "p", Drains: []DrainedEndpoint{{"h", 1}}}
	if short := few.truncate(maxDatagramBytes-1, true); short.CompleteListsDigest != 0 || len(short.Drains) != 1 {
		t.Errorf("%+v of a state that fits", short)
	}
	limiter := newRateLimiter(1e6)
	if room := limiter.maxStateBytes(longListLength - 1); room < 300 || room*(longListLength-1) > 1e6/2 {
		t.Errorf("%d bytes to each of %d", room, longListLength-1)
	}
}
