package outlier

import (
	"errors"
	"fmt"
	"hash/fnv"

	"github.com/fxamacker/cbor/v2"
)

const (
	// MaxMessageBytes bounds an encoded message: while something fails, each member sends several a second to all
	// others.
	MaxMessageBytes = 256
	// maxReportsPerMessage is how many of the largest reports fit into MaxMessageBytes.
	maxReportsPerMessage = 18
)

// ErrMessageTooLarge is returned by DecodeMessage for a message with more bytes or reports than one may have.
var ErrMessageTooLarge = errors.New("outlier message exceeds its size limit")

// Report is what one balancer observed of one endpoint.
type Report struct {
	_                   struct{} `cbor:",toarray"`
	Endpoint            uint32   // HashName of its name
	ConsecutiveFailures uint8    // with no success since; 0: the endpoint succeeds again
	AgeMillis           uint16   // since the last of these ended
}

// Message is what one balancer tells the others: reports of its own observations. An endpoint without a report is
// unchanged since the last one.
type Message struct {
	_           struct{} `cbor:",toarray"`
	From        uint32   // the sender's Member.ID
	Incarnation uint64   // of the sender's process; a larger one replaces all smaller ones
	Seq         uint32   // of the message within the incarnation, from 1
	Zone        uint16   // the sender's, or UnknownZone
	Reports     []Report
	MissPercent uint8 // of the sender's recent reads; 0 while it is low
}

// decodeMode refuses whatever no sender writes, before it is allocated: a peer may send any bytes.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 32,
		MaxNestedLevels:  4,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constants: this fails at start-up or never.
	}
	return mode
}()

// Encode returns the form in which a message travels between processes.
func (m *Message) Encode() []byte {
	encoded, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // Message has no field that cannot be encoded.
	}
	return encoded
}

// DecodeMessage reads a message that a peer sent. It returns ErrMessageTooLarge, or an error of the cbor package, for
// anything that no Encode wrote.
func DecodeMessage(encoded []byte) (*Message, error) {
	if len(encoded) > MaxMessageBytes {
		return nil, ErrMessageTooLarge
	}
	message := &Message{}
	if err := decodeMode.Unmarshal(encoded, message); err != nil {
		return nil, fmt.Errorf("decode outlier message: %w", err)
	}
	if len(message.Reports) > maxReportsPerMessage {
		return nil, ErrMessageTooLarge
	}
	return message, nil
}

// HashName returns the number that stands for the name of an endpoint or a member in messages. Two names share one in
// some billions of pairs; their evidence is mixed up then.
func HashName(name string) uint32 {
	sum := fnv.New32a()
	sum.Write([]byte(name))
	return sum.Sum32()
}

// ageMillis is the form of an age of so many nanoseconds in a report.
func ageMillis(age int64) uint16 { return uint16(min(max(0, age/millisecond), 1<<16-1)) }
