package protocol

import (
	"bytes"
	"errors"
	"strconv"

	"github.com/tidwall/redcon"
)

// Errors of commands. Their texts go to clients.
var (
	ErrNotCommand          = errors.New("a command is an array of bulk strings")
	ErrMalformedAttributes = errors.New("the list of names and values is malformed")
	ErrMissingAttribute    = errors.New("the list needs a workload in c and a time in d")
	ErrArgumentCount       = errors.New("wrong number of words")
	ErrArgumentTooLong     = errors.New("a key, an id or a list is too long")
	ErrArgumentMissing     = errors.New("a key or an id is missing")
)

const (
	maxArgument  = 512    // bytes of a key, an id or a list of attributes
	maxTimeNanos = 3600e9 // of an attribute: an hour, which nobody waits for
	keyDigits    = 16     // of a key that is a number of 64 bits

	// The parameters of FNV-1a with 64 bits, which hashes keys that are no numbers. All instances place keys by it, so
	// it must be the same in each version.
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// The places of a request's arguments: verb, key, id, attributes, and in a Set the value.
const (
	argumentKey        = 1
	argumentID         = 2
	argumentAttributes = 3
	argumentValue      = 4

	getArguments = 4
	setArguments = 5
)

// ParseCommand reads the first command: its arguments, and its length, 0 if it is not complete. After an error the
// connection can't be read any further.
func ParseCommand(received []byte) (arguments [][]byte, length int, err error) {
	if len(received) > 0 && received[0] != '*' {
		return nil, 0, ErrNotCommand
	}
	if length, err = completeLength(received, MaxLargeValue); err != nil || length == 0 {
		return nil, 0, err
	}
	if len(received) > 1 && (received[1] < '1' || received[1] > '9') {
		return nil, 0, ErrNotCommand
	}
	complete, arguments, kind, _, err := redcon.ReadNextCommand(received[:length], nil)
	if err != nil || !complete || kind != redcon.Redis {
		return nil, 0, ErrNotCommand
	}
	return arguments, length, nil
}

// MinCommandLength returns how long a command that is not complete is at least, 0 where that is not known.
func MinCommandLength(received []byte) int {
	_, minLength, _ := frame(received, MaxLargeValue)
	return minLength
}

// ParseRequest returns a command's verb, and what is wrong with its arguments where it is a request: ErrArgumentCount,
// ErrArgumentTooLong, ErrArgumentMissing.
func ParseRequest(arguments [][]byte) (Verb, error) {
	verb := ParseVerb(arguments)
	if !verb.IsRequest() {
		return verb, nil
	}
	expected := getArguments
	if verb == VerbSet {
		expected = setArguments
	}
	if len(arguments) != expected {
		return verb, ErrArgumentCount
	}
	key, id, attributes := arguments[argumentKey], arguments[argumentID], arguments[argumentAttributes]
	switch {
	case len(key) > maxArgument, len(id) > maxArgument, len(attributes) > maxArgument:
		return verb, ErrArgumentTooLong
	case len(key) == 0, len(id) == 0:
		return verb, ErrArgumentMissing
	}
	return verb, nil
}

// Attributes are what a request's list of names and values states. Workload and Tenant alias the list.
type Attributes struct {
	Workload, Tenant []byte // Tenant: nil where none is stated
	TimeoutNanos     int64  // how long the client waits for the response
	PredictedNanos   int64  // the work that the client predicts; 0: not stated
}

// ParseAttributes reads a request's list of names and values. Names that are not known are skipped. The error is
// ErrMalformedAttributes or ErrMissingAttribute.
func ParseAttributes(list []byte) (Attributes, error) {
	attributes := Attributes{TimeoutNanos: -1}
	for len(list) > 0 {
		var pair []byte
		pair, list, _ = bytes.Cut(list, []byte{','})
		name, value, found := bytes.Cut(pair, []byte{'='})
		if !found {
			return Attributes{}, ErrMalformedAttributes
		}
		if err := attributes.set(string(name), value); err != nil {
			return Attributes{}, err
		}
	}
	if attributes.Workload == nil || attributes.TimeoutNanos < 0 {
		return Attributes{}, ErrMissingAttribute
	}
	return attributes, nil
}

// set takes one pair of the list; the last of several with one name counts.
func (a *Attributes) set(name string, value []byte) (err error) {
	switch name {
	case attributeWorkload:
		a.Workload = value
	case attributeTenant:
		a.Tenant = value
	case attributeTimeout:
		a.TimeoutNanos, err = parseTime(value, 1e6)
	case attributePredicted:
		a.PredictedNanos, err = parseTime(value, 1e3)
	}
	return err
}

// parseTime reads a time of maxTimeNanos at most, in a unit of so many nanoseconds: digits, with a fraction perhaps. It
// guards against what else strconv takes for a number, such as inf or 0x1p4, and against servers' rejecting a time that
// nobody can wait for.
func parseTime(value []byte, unit float64) (int64, error) {
	for i, c := range value {
		if (c < '0' || c > '9') && (c != '.' || i == 0) {
			return 0, ErrMalformedAttributes
		}
	}
	x, err := strconv.ParseFloat(string(value), 64)
	if err != nil || x*unit > maxTimeNanos {
		return 0, ErrMalformedAttributes
	}
	return int64(x * unit), nil
}

// ParseKey returns the number by which a key is placed: that of a key of 16 hexadecimal digits, else its hash.
func ParseKey(key []byte) uint64 {
	if len(key) == keyDigits {
		if n, err := strconv.ParseUint(string(key), 16, 64); err == nil {
			return n
		}
	}
	hash := uint64(fnvOffset)
	for _, c := range key {
		hash = (hash ^ uint64(c)) * fnvPrime
	}
	return hash
}

// HasLargeValue reports whether a request carries a value over MaxValue.
func HasLargeValue(arguments [][]byte) bool {
	return len(arguments) > argumentValue && len(arguments[argumentValue]) > MaxValue
}

// AppendRequest writes a request as it was received, except that it states how long this attempt is waited for, in
// nanoseconds. A value over MaxValue and the line end behind it are not copied: they are to follow the message, and
// alias the command that the arguments were read from.
func AppendRequest(out []byte, arguments [][]byte, timeoutNanos int64) (message, follows []byte) {
	out = redcon.AppendArray(out, len(arguments))
	for i, argument := range arguments {
		switch {
		case i == argumentValue && HasLargeValue(arguments):
			return AppendLargeValueHeader(out, len(argument)), argument[:len(argument)+len(lineEnd)]
		case i == argumentAttributes:
			out = redcon.AppendBulk(out, withTimeout(argument, timeoutNanos))
		default:
			out = redcon.AppendBulk(out, argument)
		}
	}
	return out, nil
}

// withTimeout returns a list of attributes with another timeout, rounded up to whole milliseconds.
func withTimeout(list []byte, timeoutNanos int64) (changed []byte) {
	for len(list) > 0 {
		var pair []byte
		pair, list, _ = bytes.Cut(list, []byte{','})
		if len(changed) > 0 {
			changed = append(changed, ',')
		}
		if bytes.HasPrefix(pair, []byte(timeoutPrefix)) {
			pair = strconv.AppendInt([]byte(timeoutPrefix), roundUpMillis(timeoutNanos), 10)
		}
		changed = append(changed, pair...)
	}
	return changed
}

// roundUpMillis returns whole milliseconds, so that a wait is never stated as shorter than it is.
func roundUpMillis(nanos int64) int64 { return (nanos + 1e6 - 1) / 1e6 }
