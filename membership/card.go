package membership

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"

	"github.com/fxamacker/cbor/v2"
)

// Bounds of a card's lists. A card that goes to all is one datagram, so that it takes no connection to each; what of the lists does not fit is
// asked for by who needs it (Want). A page is what versions before took at most of each list.
const (
	maxDrains  = 4096 // as many hosts as a balancer knows
	maxWays    = 4096
	pageDrains = 64
	pageWays   = 32
	leastCard  = 256 // bytes
)

// Card is what a process tells of itself.
type MemberState struct {
	Name           string            `cbor:"1,keyasint" json:"name"`
	Zone           string            `cbor:"2,keyasint,omitempty" json:"zone,omitempty"`
	Incarnation    uint64            `cbor:"3,keyasint" json:"life"` // which of its lives
	IsReplica      bool              `cbor:"4,keyasint,omitempty" json:"keeper,omitempty"`
	IsLeader       bool              `cbor:"5,keyasint,omitempty" json:"leads,omitempty"`
	HasLease       bool              `cbor:"6,keyasint,omitempty" json:"leased,omitempty"`
	MinRevision    uint64            `cbor:"7,keyasint,omitempty" json:"floor"`
	LatestRevision uint64            `cbor:"8,keyasint,omitempty" json:"latest"`
	ListIndex      uint64            `cbor:"9,keyasint,omitempty" json:"list_index"`
	ListDigest     uint64            `cbor:"10,keyasint,omitempty" json:"list_digest"`
	Drains         []DrainedEndpoint `cbor:"11,keyasint,omitempty" json:"drains,omitempty"` // of its list, the oldest first
	SettingsDigest string            `cbor:"12,keyasint,omitempty" json:"settings_digest,omitempty"`
	Evacuations    []ZoneEvacuation  `cbor:"14,keyasint,omitempty" json:"zones_away,omitempty"` // zones to which not all keys go
	Seq            uint64            `cbor:"13,keyasint,omitempty" json:"-"`                    // of this life's cards
	More           uint64            `cbor:"15,keyasint,omitempty" json:"-"`                    // the digest of the whole lists, where these are a part of them
}

// Drain is a host that a list called draining or gone, from an index on.
type DrainedEndpoint struct {
	Host  string `cbor:"1,keyasint" json:"host"`
	Index uint64 `cbor:"2,keyasint" json:"index"`
}

// Way is how far a process has come out of a zone, or is on its way back: the part of the keys that does not go there.
type ZoneEvacuation struct {
	Zone        string  `cbor:"1,keyasint" json:"zone"`
	KeyFraction float64 `cbor:"2,keyasint" json:"part"`
}

// within gives the card in so many bytes, with no more of each list than a page where paged. What is left out is the oldest drains, and
// the last ways; More tells that something is.
func (c MemberState) within(room int, paged bool) MemberState {
	mostDrains, mostWays := maxDrains, maxWays
	if paged {
		mostDrains, mostWays = pageDrains, pageWays
	}
	if len(c.Drains) <= mostDrains && len(c.Evacuations) <= mostWays && len(packCard(c)) <= room {
		return c
	}
	short := c
	short.Drains, short.Evacuations, short.More = nil, nil, c.lists()
	const heads = 2 * 4 // of the two lists, with their lengths
	left := room - len(packCard(short)) - heads
	ways, size := 0, 0
	for ; ways < min(len(c.Evacuations), mostWays); ways++ {
		if size += len(pack(c.Evacuations[ways])); size > left/2 {
			break
		}
	}
	drains := len(c.Drains)
	size = 0
	for _, way := range c.Evacuations[:ways] {
		size += len(pack(way))
	}
	for ; drains > max(0, len(c.Drains)-mostDrains); drains-- {
		if size += len(pack(c.Drains[drains-1])); size > left {
			break
		}
	}
	short.Evacuations, short.Drains = c.Evacuations[:ways], c.Drains[drains:]
	return short
}

// lists is a digest of the whole lists, never 0.
func (c *MemberState) lists() uint64 {
	of := fnv.New64a()
	number := func(n uint64) { of.Write(binary.LittleEndian.AppendUint64(nil, n)) }
	for _, d := range c.Drains {
		number(uint64(len(d.Host)))
		of.Write([]byte(d.Host))
		number(d.Index)
	}
	for _, w := range c.Evacuations {
		number(uint64(len(w.Zone)))
		of.Write([]byte(w.Zone))
		number(math.Float64bits(w.KeyFraction))
	}
	return of.Sum64() | 1
}

func pack(x any) []byte {
	bytes, err := cbor.Marshal(x)
	if err != nil {
		panic(err) // All that is packed is our own types.
	}
	return bytes
}

func packCard(c MemberState) []byte { return pack(c) }

func unpackCard(bytes []byte) (c MemberState, err error) {
	if err = strict.Unmarshal(bytes, &c); err == nil && (c.Name == "" || len(c.Name) > maxName || len(c.Drains) > maxDrains || len(c.Evacuations) > maxWays) {
		err = fmt.Errorf("a card without a name, or too large")
	}
	return c, err
}
