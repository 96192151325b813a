package membership

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// longListLength is the number of drains, evacuations and processes in tests with large states or fleets.
const longListLength = 1024

// paddedName returns a name that is padded to the given number of bytes.
func paddedName(kind string, n, bytes int) string {
	name := fmt.Sprint(kind, "-", n, "-")
	return name + strings.Repeat("x", max(0, bytes-len(name)))
}

// stateWithLongLists returns a state with longListLength drains and evacuations. hostBytes and zoneBytes are the
// lengths of their names.
func stateWithLongLists(name string, hostBytes, zoneBytes int) MemberState {
	state := MemberState{Name: name, Zone: paddedName("z", 1, zoneBytes), Incarnation: 1 << 40, Seq: 1,
		ListIndex: 1 << 40, ListDigest: 1 << 63, SettingsDigest: "0123456789abcdef"}
	for n := range longListLength {
		state.Drains = append(state.Drains, DrainedEndpoint{paddedName("h", n, hostBytes), 1<<39 + uint64(n)})
		state.Evacuations = append(state.Evacuations, ZoneEvacuation{paddedName("z", n, zoneBytes), 1.0 / 3})
	}
	return state
}

// During a rollout in a large fleet, a thousand endpoints drain at the same time. The complete lists, even with the
// longest names, must fit into one message and survive encoding. A published state must fit into one datagram and
// contain the newest drains, as older ones are already known.
func TestLongListsFitIntoMessageOrDatagram(t *testing.T) {
	complete := stateWithLongLists(paddedName("p", 1, maxNameBytes), 512, maxNameBytes)
	sent := complete.truncate(maxMessageBytes, false)
	received, err := unmarshalState(marshalState(sent))
	if err != nil || sent.CompleteListsDigest != 0 || !slices.Equal(received.Drains, complete.Drains) ||
		!slices.Equal(received.Evacuations, complete.Evacuations) {
		t.Errorf("%v: %d drains, %d zones", err, len(received.Drains), len(received.Evacuations))
	}
	for _, sizes := range [][2]int{{512, maxNameBytes}, {10, 5}, {40, 5}} {
		complete = stateWithLongLists("p", sizes[0], sizes[1])
		truncated := complete.truncate(maxDatagramBytes-1, true)
		if bytes := len(marshalState(truncated)); bytes > maxDatagramBytes-1 || truncated.CompleteListsDigest == 0 ||
			len(truncated.Drains) == 0 || len(truncated.Evacuations) == 0 ||
			truncated.Drains[len(truncated.Drains)-1] != complete.Drains[longListLength-1] {
			t.Errorf("%v: %d bytes, %d drains, %d zones", sizes, bytes, len(truncated.Drains), len(truncated.Evacuations))
		}
	}
	few := MemberState{Name: "p", Drains: []DrainedEndpoint{{"h", 1}}}
	if truncated := few.truncate(maxDatagramBytes-1, true); truncated.CompleteListsDigest != 0 || len(truncated.Drains) != 1 {
		t.Errorf("truncated a state that fits: %+v", truncated)
	}
	limiter := newRateLimiter(1e6)
	if maxBytes := limiter.maxStateBytes(longListLength - 1); maxBytes < 300 || maxBytes*(longListLength-1) > 1e6/2 {
		t.Errorf("maximum state size is %d bytes for each of %d receivers", maxBytes, longListLength-1)
	}
}
