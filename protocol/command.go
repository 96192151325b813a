package protocol

import (
	"bytes"
	"errors"
	"strconv"

	"github.com/tidwall/redcon"
)

// Errors of commands. Clients receive their texts in an error reply.
var (
	ErrNotCommand          = errors.New("a command is an array of bulk strings")
	ErrMalformedAttributes = errors.New("the list of names and values is malformed")
	ErrMissingAttribute    = errors.New("the list needs a workload in c and a time in d")
	ErrArgumentCount       = errors.New("wrong number of words")
	ErrArgumentTooLong     = errors.New("a key, an id or a list is too long")
	ErrArgumentMissing     = errors.New("a key or an id is missing")
)

const (
	maxArgumentBytes = 512    // in a key, an ID or an attribute list
	maxTimeNanos     = 3600e9 // upper bound of a time attribute: one hour, longer than any client waits
	keyDigits        = 16     // hexadecimal digits in a key that is a 64-bit number

	// Parameters of 64-bit FNV-1a, which hashes keys that are not 64-bit numbers. All balancers place keys by this hash,
	// so it must not change between versions.
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// AttributesIndex is the index of the attribute list among a request's arguments.
const AttributesIndex = argumentAttributes

// Indexes of a request's arguments: verb, key, ID, attributes and, for VerbSet only, the value.
const (
	argumentKey        = 1
	argumentID         = 2
	argumentAttributes = 3
	argumentValue      = 4

	getArgumentCount = 4
	setArgumentCount = 5
)

// ParseCommand parses the first command in received. It returns the command's arguments and its length in bytes, which
// is 0 if the command is incomplete. After an error the rest of the connection's input cannot be parsed.
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

// MinCommandLength returns the minimum length in bytes of an incomplete command, or 0 if it is not known yet. isExact
// reports that it is the length of the whole command.
func MinCommandLength(received []byte) (length int, isExact bool) {
	_, expected, _ := frameLength(received, MaxLargeValue)
	return expected.min, expected.isExact
}

// ParseRequest returns a command's verb. If the command is a request, it also validates the arguments and returns
// ErrArgumentCount, ErrArgumentTooLong or ErrArgumentMissing if they are invalid.
func ParseRequest(arguments [][]byte) (Verb, error) {
	verb := ParseVerb(arguments)
	if !verb.IsRequest() {
		return verb, nil
	}
	expected := getArgumentCount
	if verb == VerbSet {
		expected = setArgumentCount
	}
	if len(arguments) != expected {
		return verb, ErrArgumentCount
	}
	key, id, attributes := arguments[argumentKey], arguments[argumentID], arguments[argumentAttributes]
	switch {
	case len(key) > maxArgumentBytes, len(id) > maxArgumentBytes, len(attributes) > maxArgumentBytes:
		return verb, ErrArgumentTooLong
	case len(key) == 0, len(id) == 0:
		return verb, ErrArgumentMissing
	}
	return verb, nil
}

// Attributes holds the parsed attribute list of a request. Workload and Tenant alias the list.
type Attributes struct {
	Workload, Tenant []byte // Tenant is nil if the list has none
	TimeoutNanos     int64  // how long the client waits for the reply
	PredictedNanos   int64  // the client's estimate of the work; 0 if the list has none
}

// ParseAttributes parses a request's attribute list: name=value pairs separated by commas. Unknown names are skipped.
// The error is ErrMalformedAttributes or ErrMissingAttribute.
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

// set stores one name=value pair. If a name occurs more than once, the last value is used.
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

// AppendLastingAttributes appends those pairs of an attribute list that a request has in common with its repeat by the same
// client: all but the timeout and the mark of a retry.
func AppendLastingAttributes(out, list []byte) []byte {
	for len(list) > 0 {
		var pair []byte
		pair, list, _ = bytes.Cut(list, []byte{','})
		name, _, _ := bytes.Cut(pair, []byte{'='})
		if string(name) != attributeTimeout && string(name) != attributeRetry {
			out = append(append(out, pair...), ',')
		}
	}
	return out
}

// parseTime parses a decimal number, optionally with a fraction, of units that are unit nanoseconds long, and returns
// nanoseconds. It rejects the other formats that strconv accepts, such as inf or 0x1p4, and times over maxTimeNanos,
// which are longer than any client waits and which servers would reject.
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

// ParseKey returns the number by which a key is placed: its value if it is 16 hexadecimal digits, otherwise its hash.
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

// HasLargeValue reports whether a request carries a value longer than MaxValue.
func HasLargeValue(arguments [][]byte) bool {
	return len(arguments) > argumentValue && len(arguments[argumentValue]) > MaxValue
}

// AppendRequest appends a request as it was received, except that its timeout is replaced by timeoutNanos, the time
// limit of this attempt. A value longer than MaxValue and its line end are not copied: they are returned as tail, to be
// sent after message, and alias the command that the arguments were parsed from.
func AppendRequest(out []byte, arguments [][]byte, timeoutNanos int64) (message, tail []byte) {
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

// withTimeout returns a copy of an attribute list with its timeout replaced, rounded up to whole milliseconds.
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

// roundUpMillis converts nanoseconds to milliseconds, rounding up so that a wait is never reported as too short.
func roundUpMillis(nanos int64) int64 { return (nanos + 1e6 - 1) / 1e6 }
