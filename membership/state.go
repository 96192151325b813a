package membership

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"math"

	"github.com/fxamacker/cbor/v2"
)

// Limits for the lists of a MemberState. A published state is a single datagram, so that it needs no connection to each
// member. Its lists may be truncated; members request the complete state with Exchange.RequestFullState.
const (
	maxDrains      = 4096 // the maximum number of endpoints of a balancer
	maxEvacuations = 4096 // the same for zones

	// Limits for published states: processes of earlier versions reject longer lists.
	maxPublishedDrains      = 64
	maxPublishedEvacuations = 32

	// minStateBytes is the size allowed for a published state even at the lowest send rate. It is enough for names of
	// usual length.
	minStateBytes = 256
)

// MemberState is the state that a process publishes about once a second. The CBOR keys are part of the wire format; the
// JSON keys are shown to operators. A MemberState must not be modified after it was published.
type MemberState struct {
	Name string `cbor:"1,keyasint" json:"name"`
	Zone string `cbor:"2,keyasint,omitempty" json:"zone,omitempty"`

	// Incarnation increases with each start of the process.
	Incarnation uint64 `cbor:"3,keyasint" json:"life"`
	// IsReplica reports whether the process is one of the replicas whose majority accepts revisions, and IsLeader
	// whether it is their leader.
	IsReplica bool `cbor:"4,keyasint,omitempty" json:"keeper,omitempty"`
	IsLeader  bool `cbor:"5,keyasint,omitempty" json:"leads,omitempty"`
	// HasLease reports whether the process acts under a lease.
	HasLease bool `cbor:"6,keyasint,omitempty" json:"leased,omitempty"`
	// MinRevision is the oldest revision that, as far as the process knows, any process acts on. LatestRevision is the
	// newest revision it knows.
	MinRevision    uint64 `cbor:"7,keyasint,omitempty" json:"floor"`
	LatestRevision uint64 `cbor:"8,keyasint,omitempty" json:"latest"`

	// ListIndex, ListDigest and Drains describe the process's endpoint list. Drains are sorted from oldest to newest.
	ListIndex  uint64            `cbor:"9,keyasint,omitempty" json:"list_index"`
	ListDigest uint64            `cbor:"10,keyasint,omitempty" json:"list_digest"`
	Drains     []DrainedEndpoint `cbor:"11,keyasint,omitempty" json:"drains,omitempty"`

	// SettingsDigest is the digest of the operators' settings in effect.
	SettingsDigest string `cbor:"12,keyasint,omitempty" json:"settings_digest,omitempty"`
	// Evacuations lists the zones to which the process does not send all of their keys.
	Evacuations []ZoneEvacuation `cbor:"14,keyasint,omitempty" json:"zones_away,omitempty"`

	// Seq increases with each state published in an incarnation.
	Seq uint64 `cbor:"13,keyasint,omitempty" json:"-"`
	// CompleteListsDigest is the digest of the complete lists if Drains or Evacuations are truncated, and 0 if they are
	// complete.
	CompleteListsDigest uint64 `cbor:"15,keyasint,omitempty" json:"-"`
}

// DrainedEndpoint is an endpoint that an endpoint list reported as draining or gone.
type DrainedEndpoint struct {
	Host  string `cbor:"1,keyasint" json:"host"`
	Index uint64 `cbor:"2,keyasint" json:"index"` // index of the first list that reported it
}

// ZoneEvacuation is the progress of a process in evacuating a zone or in returning to it.
type ZoneEvacuation struct {
	Zone        string  `cbor:"1,keyasint" json:"zone"`
	KeyFraction float64 `cbor:"2,keyasint" json:"part"` // fraction of the zone's keys that are sent elsewhere, from 0 to 1
}

// truncate returns the state with its lists truncated so that its CBOR encoding fits into maxBytes, as far as
// truncating lists can achieve that. With forPublish, the limits for published states apply too. It omits the oldest
// drains, which most members already know, and the last evacuations. Evacuations take at most half of the available
// space, so that some drains are always included. CompleteListsDigest tells the receiver that the lists are truncated.
func (s MemberState) truncate(maxBytes int, forPublish bool) MemberState {
	drainLimit, evacuationLimit := maxDrains, maxEvacuations
	if forPublish {
		drainLimit, evacuationLimit = maxPublishedDrains, maxPublishedEvacuations
	}
	if len(s.Drains) <= drainLimit && len(s.Evacuations) <= evacuationLimit && len(marshalState(s)) <= maxBytes {
		return s
	}
	truncated := s
	truncated.Drains, truncated.Evacuations, truncated.CompleteListsDigest = nil, nil, s.listsDigest()
	const listHeaderBytes = 2 * 4 // key and length of each of the two lists
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

// countFitting returns how many of the first n entries fit into maxBytes, and the bytes they use.
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

// listsDigest returns a digest of both lists. It is never 0, as that marks complete lists in CompleteListsDigest.
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

// mustMarshal encodes values of this package's own types, whose encoding cannot fail.
func mustMarshal(value any) []byte {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

var errStateOutOfBounds = errors.New("name missing or too long, or list too long")

// decodeMode rejects input that would need far more memory to decode than its own size, as any host on the network can
// send frames.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxDrains, MaxMapPairs: 64, MaxNestedLevels: 6,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // Cannot happen, as the options are constant.
	}
	return mode
}()

// unmarshalState decodes a state received from the network and checks its limits.
func unmarshalState(encoded []byte) (state MemberState, err error) {
	if err := decodeMode.Unmarshal(encoded, &state); err != nil {
		return state, fmt.Errorf("decode member state: %w", err)
	}
	if !state.isWithinBounds() {
		return state, fmt.Errorf("decode member state: %w", errStateOutOfBounds)
	}
	return state, nil
}

func (s *MemberState) isWithinBounds() bool {
	return s.Name != "" && len(s.Name) <= maxNameBytes && len(s.Drains) <= maxDrains && len(s.Evacuations) <= maxEvacuations
}
