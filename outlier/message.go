package outlier

import (
	"errors"
	"fmt"
	"hash/fnv"

	"github.com/fxamacker/cbor/v2"
)

const (
	// MaxMessageBytes limits the size of an encoded message, because each member sends several per second to all others
	// while an endpoint fails.
	MaxMessageBytes = 256
	// maxReportsPerMessage is the number of reports of maximum size that fit into MaxMessageBytes.
	maxReportsPerMessage = 18
)

// ErrMessageTooLarge is returned by DecodeMessage for a message that exceeds MaxMessageBytes or has too many reports.
var ErrMessageTooLarge = errors.New("outlier message exceeds its size limit")

// Report is one balancer's observation of one endpoint.
type Report struct {
	_                   struct{} `cbor:",toarray"`
	Endpoint            uint32   // HashName of the endpoint's name
	ConsecutiveFailures uint8    // since the last success; 0: the endpoint has recovered
	AgeMillis           uint16   // since the end of the last failure, or of the success
}

// Message carries the reports of one balancer's own observations to the others. An endpoint without a report is
// unchanged since its previous report.
type Message struct {
	_           struct{} `cbor:",toarray"`
	From        uint32   // the sender's Member.ID
	Incarnation uint64   // of the sender's process; a larger one supersedes all smaller ones
	Seq         uint32   // of the message within the incarnation, from 1
	Zone        uint16   // the sender's, or UnknownZone
	Reports     []Report
	MissPercent uint8 // cache misses among the sender's recent reads; 0 while the rate is low
}

// decodeMode rejects input that Encode never produces before memory is allocated for it, as a peer may send arbitrary
// bytes.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 32,
		MaxNestedLevels:  4,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constant, so this can only fail at start-up.
	}
	return mode
}()

// Encode returns the CBOR encoding in which a message is sent between processes.
func (m *Message) Encode() []byte {
	encoded, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // Every field of Message can be encoded.
	}
	return encoded
}

// DecodeMessage decodes a message from a peer. For input that Encode cannot have produced it returns ErrMessageTooLarge
// or an error that wraps one of the cbor package.
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

// HashName returns the 32-bit hash that identifies an endpoint or a member in messages. Two names collide with a
// probability of one in some billions; their evidence is then combined.
func HashName(name string) uint32 {
	sum := fnv.New32a()
	sum.Write([]byte(name))
	return sum.Sum32()
}

// ageMillis converts an age in nanoseconds to the milliseconds of a report, limited to the range of uint16.
func ageMillis(age int64) uint16 { return uint16(min(max(0, age/millisecond), 1<<16-1)) }
