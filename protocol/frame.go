// Package protocol parses and encodes the wire formats: clients' commands and servers' responses, in RESP2, and the
// endpoint list, in JSON, one list per line. It converts them to typed fields and back, bounds every length, and makes
// no routing decisions. The words of the protocol are defined in one place, words.go.
//
// Parsers of RESP2 messages take the bytes received so far and return the length of the first message in them, which is
// 0 while the message is incomplete; the slices they return alias the input. All functions are pure: none locks or
// keeps state.
package protocol

import (
	"bytes"
	"errors"
	"strconv"

	"hollylever/transport"
)

const (
	// MaxValue is the longest value, in bytes, that is always buffered, without a budget.
	MaxValue = 64 << 10
	// MaxLargeValue is the longest value, in bytes, that is accepted. A value longer than MaxValue is either buffered
	// within a budget or forwarded as it arrives.
	MaxLargeValue = 4 << 20
)

const (
	maxElements = 16                             // elements of an array; every valid message has fewer
	maxFraming  = transport.MaxBuffer - MaxValue // bytes of a message other than its value
	maxLine     = 1 << 10                        // bytes in a line; the longest is an error with its load report
)

// Errors of framing. After one the rest of the connection's input cannot be parsed, because the start of the next
// message is unknown. Clients receive their texts in an error reply.
var (
	ErrMalformed = errors.New("malformed message")
	ErrLength    = errors.New("length out of bounds")
)

// typeBytes are the first bytes of RESP2 lines; each stands for one data type.
var typeBytes = []byte("*$+-:")

// completeLength returns the length of the first message in received, or 0 if the message is incomplete. A bulk string
// in it may have at most maxBulk bytes. It checks the input before redcon's parsers see it, because they do not bound
// lengths, accept negative ones, and do not tell an incomplete message from a malformed one.
func completeLength(received []byte, maxBulk int) (int, error) {
	length, _, err := frameLength(received, maxBulk)
	return length, err
}

// expectedLength is what is known of the length of a message before all of it is received.
type expectedLength struct {
	min     int  // bytes, derived from the lengths received so far; 0 if it is not known yet
	isExact bool // the message has min bytes: the length of its last element has been received
}

// frameLength does what completeLength does and also returns the expected length of the message.
func frameLength(received []byte, maxBulk int) (length int, expected expectedLength, err error) {
	at := 0
	for remaining := 1; remaining > 0; remaining-- {
		line, isComplete, err := nextLine(received[at:])
		if err != nil || !isComplete {
			return 0, expectedLength{}, err
		}
		isFirst := at == 0
		at += len(line) + len(lineEnd)
		switch line[0] {
		case '+', '-', ':':
		case '*':
			n, err := parseLength(line[1:])
			if err != nil {
				return 0, expectedLength{}, err
			}
			if n > maxElements || !isFirst {
				return 0, expectedLength{}, ErrLength // No valid message nests arrays or has this many elements.
			}
			remaining += max(0, n)
		case '$':
			n, err := parseLength(line[1:])
			if err != nil {
				return 0, expectedLength{}, err
			}
			if n < 0 {
				continue
			}
			end := at + n + len(lineEnd)
			switch {
			case n > maxBulk, n > MaxValue && remaining > 1, end > max(n, MaxValue)+maxFraming:
				return 0, expectedLength{}, ErrLength
			case len(received) < end:
				return 0, expectedLength{min: end, isExact: remaining == 1}, nil
			case string(received[at+n:end]) != lineEnd:
				return 0, expectedLength{}, ErrMalformed
			}
			at = end
		default:
			return 0, expectedLength{}, ErrMalformed
		}
	}
	return at, expectedLength{min: at, isExact: true}, nil
}

// nextLine returns the first line of received, without its line end, and whether the line is complete.
func nextLine(received []byte) (line []byte, isComplete bool, err error) {
	end := bytes.IndexByte(received, '\n')
	switch {
	case end < 0 && len(received) > maxLine:
		return nil, false, ErrLength
	case end < 0 && len(received) > 0 && bytes.IndexByte(typeBytes, received[0]) < 0:
		return nil, false, ErrMalformed
	case end < 0:
		return nil, false, nil
	case end < 2 || end > maxLine || received[end-1] != '\r':
		return nil, false, ErrMalformed
	}
	return received[:end-1], true, nil
}

// parseLength parses the length of an array or bulk string: a non-negative number, or -1 for null.
func parseLength(digits []byte) (int, error) {
	n, err := strconv.Atoi(string(digits))
	if err != nil || n < -1 || digits[0] == '+' || digits[0] == '-' && n != -1 {
		return 0, ErrMalformed
	}
	return n, nil
}
