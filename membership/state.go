package membership

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"math"

	"github.com/fxamacker/cbor/v2"
)

// Bounds of the lists of a MemberState. A state that goes to all is one datagram, so that it takes no connection to
// each member; who needs what is left out asks for it (Exchange.RequestFullState).
const (
	maxDrains      = 4096 // as many endpoints as a balancer knows
	maxEvacuations = 4096 // as many zones

	// A state that goes to all has at most a page of each list, as processes of earlier versions refuse longer ones.
	drainsPerPage      = 64
	evacuationsPerPage = 32

	// minStateBytes is what a state that goes to all may have however low the send rate is: enough for usual names.
	minStateBytes = 256
)

// MemberState is what a process publishes of itself, about once a second. The CBOR keys are on the wire, the JSON keys
// are what operators see. A MemberState is not changed once it is published.
type MemberState struct {
	Name string `cbor:"1,keyasint" json:"name"`
	Zone string `cbor:"2,keyasint,omitempty" json:"zone,omitempty"`

	// Incarnation rises with each start of the process.
	Incarnation uint64 `cbor:"3,keyasint" json:"life"`
	// IsReplica is whether it is one of those whose majority accepts revisions, and IsLeader whether it leads these.
	IsReplica bool `cbor:"4,keyasint,omitempty" json:"keeper,omitempty"`
	IsLeader  bool `cbor:"5,keyasint,omitempty" json:"leads,omitempty"`
	// HasLease is whether it acts under a lease.
	HasLease bool `cbor:"6,keyasint,omitempty" json:"leased,omitempty"`
	// MinRevision is the oldest revision that it knows any process to act on, and LatestRevision the newest that it
	// knows.
	MinRevision    uint64 `cbor:"7,keyasint,omitempty" json:"floor"`
	LatestRevision uint64 `cbor:"8,keyasint,omitempty" json:"latest"`

	// ListIndex, ListDigest and Drains are of its endpoint list; the oldest drains stand first.
	ListIndex  uint64            `cbor:"9,keyasint,omitempty" json:"list_index"`
	ListDigest uint64            `cbor:"10,keyasint,omitempty" json:"list_digest"`
	Drains     []DrainedEndpoint `cbor:"11,keyasint,omitempty" json:"drains,omitempty"`

	// SettingsDigest is of the operators' settings that it runs with.
	SettingsDigest string `cbor:"12,keyasint,omitempty" json:"settings_digest,omitempty"`
	// Evacuations are of zones that do not get all their keys from it.
	Evacuations []ZoneEvacuation `cbor:"14,keyasint,omitempty" json:"zones_away,omitempty"`

	// Seq rises with each state of an incarnation.
	Seq uint64 `cbor:"13,keyasint,omitempty" json:"-"`
	// CompleteListsDigest is the digest of the complete lists where Drains or Evacuations are cut; 0: they are
	// complete.
	CompleteListsDigest uint64 `cbor:"15,keyasint,omitempty" json:"-"`
}

// DrainedEndpoint is an endpoint that an endpoint list called draining or gone.
type DrainedEndpoint struct {
	Host  string `cbor:"1,keyasint" json:"host"`
	Index uint64 `cbor:"2,keyasint" json:"index"` // of the first list that did
}

// ZoneEvacuation is how far a process has evacuated a zone, or has come back to it.
type ZoneEvacuation struct {
	Zone        string  `cbor:"1,keyasint" json:"zone"`
	KeyFraction float64 `cbor:"2,keyasint" json:"part"` // of the keys, 0 to 1: those that do not go there
}

// truncate returns the state in at most maxBytes of CBOR, as far as its lists can be cut; paged, with at most a page of
// each list. The oldest drains are left out first, as most members know them, and the last evacuations. Evacuations
// take at most half of the room, so that some drains always go. The digest of the complete lists tells the receiver
// that something is missing.
func (s MemberState) truncate(maxBytes int, paged bool) MemberState {
	drainLimit, evacuationLimit := maxDrains, maxEvacuations
	if paged {
		drainLimit, evacuationLimit = drainsPerPage, evacuationsPerPage
	}
	if len(s.Drains) <= drainLimit && len(s.Evacuations) <= evacuationLimit && len(marshalState(s)) <= maxBytes {
		return s
	}
	truncated := s
	truncated.Drains, truncated.Evacuations, truncated.CompleteListsDigest = nil, nil, s.listsDigest()
	const listHeaderBytes = 2 * 4 // the key and the length of each of the two lists
	available := maxBytes - len(marshalState(truncated)) - listHeaderBytes
	evacuations, used := countFitting(min(len(s.Evacuations), evacuationLimit), available/2, func(i int) int {
		return len(mustMarshal(s.Evacuations[i]))
	})
	drains, _ := countFitting(min(len(s.Drains), drainLimit), available-used, func(i int) int {
		return len(mustMarshal(s.Drains[len(s.Drains)-1-i]))
	})
	truncated.Evacuations, truncated.Drains = s.Evacuations[:evacuations], s.Drains[len(s.Drains)-drains:]
	return truncated
}

// countFitting returns how many of the first n entries fit into maxBytes, and how many bytes these take.
func countFitting(n, maxBytes int, sizeOf func(i int) int) (count, used int) {
	for count < n {
		size := sizeOf(count)
		if used+size > maxBytes {
			break
		}
		used += size
		count++
	}
	return count, used
}

// listsDigest is a digest of both lists. It is never 0, which stands for lists that are complete.
func (s *MemberState) listsDigest() uint64 {
	digest := fnv.New64a()
	writeNumber := func(n uint64) { digest.Write(binary.LittleEndian.AppendUint64(nil, n)) }
	writeText := func(text string) {
		writeNumber(uint64(len(text)))
		digest.Write([]byte(text))
	}
	for _, drain := range s.Drains {
		writeText(drain.Host)
		writeNumber(drain.Index)
	}
	for _, evacuation := range s.Evacuations {
		writeText(evacuation.Zone)
		writeNumber(math.Float64bits(evacuation.KeyFraction))
	}
	return digest.Sum64() | 1
}

func marshalState(state MemberState) []byte { return mustMarshal(state) }

// mustMarshal encodes one of this package's own types, which can always be encoded.
func mustMarshal(value any) []byte {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

var errInvalidState = errors.New("no name, or over the bounds")

// decodeMode refuses encodings whose decoding could take far more memory than their bytes, as anybody on the network
// can send one.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxDrains, MaxMapPairs: 64, MaxNestedLevels: 6,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // The options are constants.
	}
	return mode
}()

// unmarshalState decodes a state from the network and checks its bounds.
func unmarshalState(encoded []byte) (state MemberState, err error) {
	if err := decodeMode.Unmarshal(encoded, &state); err != nil {
		return state, fmt.Errorf("decode member state: %w", err)
	}
	if !state.isWithinBounds() {
		return state, fmt.Errorf("decode member state: %w", errInvalidState)
	}
	return state, nil
}

func (s *MemberState) isWithinBounds() bool {
	return s.Name != "" && len(s.Name) <= maxNameBytes && len(s.Drains) <= maxDrains && len(s.Evacuations) <= maxEvacuations
}
