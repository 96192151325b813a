// Package members is who is in the fleet, and the exchange of messages between its processes. All talk between instances goes through
// here. There are two ways behind one interface: a plain list of peers, and gossip. Neither promises that a message arrives, once, or in
// order; both are bounded in size, rate and number.
package members

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hollylever/joining"
)

// Bounds of the exchange.
const (
	MostMembers = 1024
	mostMessage = 1 << 20
	packet      = 1200 // bytes that go as one datagram; more goes over a connection
	mostName    = 128
	mostDrains  = 64
	MostWays    = 32 // in a card
	cardEvery   = time.Second
	goneAfter   = 5 * time.Second // without a card, a member counts as gone
)

// Peer is one that is named beforehand.
type Peer = joining.Peer

// Card is what a process tells of itself.
type Card struct {
	Name    string  `cbor:"1,keyasint" json:"name"`
	Zone    string  `cbor:"2,keyasint,omitempty" json:"zone,omitempty"`
	Life    uint64  `cbor:"3,keyasint" json:"life"` // which of its lives
	Keeper  bool    `cbor:"4,keyasint,omitempty" json:"keeper,omitempty"`
	Leads   bool    `cbor:"5,keyasint,omitempty" json:"leads,omitempty"`
	Leased  bool    `cbor:"6,keyasint,omitempty" json:"leased,omitempty"`
	Floor   uint64  `cbor:"7,keyasint,omitempty" json:"floor"`
	Latest  uint64  `cbor:"8,keyasint,omitempty" json:"latest"`
	Index   uint64  `cbor:"9,keyasint,omitempty" json:"list_index"`
	Digest  uint64  `cbor:"10,keyasint,omitempty" json:"list_digest"`
	Drains  []Drain `cbor:"11,keyasint,omitempty" json:"drains,omitempty"` // the last ones of its list
	Version string  `cbor:"12,keyasint,omitempty" json:"settings_digest,omitempty"`
	Ways    []Way   `cbor:"14,keyasint,omitempty" json:"zones_away,omitempty"` // zones to which not all keys go
	Seq     uint64  `cbor:"13,keyasint,omitempty" json:"-"`                    // of this life's cards
}

// Drain is a host that a list called draining or gone, from an index on.
type Drain struct {
	Host  string `cbor:"1,keyasint" json:"host"`
	Index uint64 `cbor:"2,keyasint" json:"index"`
}

// Way is how far a process has come out of a zone, or is on its way back: the part of the keys that does not go there.
type Way struct {
	Zone string  `cbor:"1,keyasint" json:"zone"`
	Part float64 `cbor:"2,keyasint" json:"part"`
}

// Member is a process that was heard.
type Member struct {
	Card
	Heard time.Time
}

// Exchange carries messages between processes, or loses them. No call blocks for long.
type Exchange interface {
	Send(to string, bytes []byte) error
	Tell(Card)           // to all, as often as it is good for the way
	Signal(bytes []byte) // to all, at once; small
	Members() []Member
	Close()
}

// Ears are what an exchange calls with what it hears, from goroutines of its own.
type Ears interface {
	Message(bytes []byte)
	Card(Card)
	Signal(bytes []byte)
}

var strict = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1024, MaxMapPairs: 64, MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // The options are constants.
	}
	return mode
}()

func packCard(c Card) []byte {
	bytes, err := cbor.Marshal(c)
	if err != nil {
		panic(err) // Its type is our own.
	}
	return bytes
}

func unpackCard(bytes []byte) (c Card, err error) {
	if err = strict.Unmarshal(bytes, &c); err == nil && (c.Name == "" || len(c.Name) > mostName || len(c.Drains) > mostDrains || len(c.Ways) > MostWays) {
		err = fmt.Errorf("a card without a name, or too large")
	}
	return c, err
}
