// Package protocol reads and writes the bytes of the wire: clients' commands and servers' responses, in RESP2, and the
// lines of the endpoint list, in JSON. It turns them into typed fields and back, bounds every length, and decides
// nothing. The words of the wire stand in one table (words.go).
//
// Readers take what has been received so far and return the length of the first message in it, 0 while it is not
// complete; what they return aliases the bytes they were given. All functions are pure: none locks or keeps state.
package protocol

import (
	"bytes"
	"errors"
	"strconv"

	"hollylever/transport"
)

const (
	// MaxValue is the longest value, in bytes, that is held as a matter of course.
	MaxValue = 64 << 10
	// MaxLargeValue is the longest value, in bytes, that there may be: over MaxValue it is held out of a budget, or
	// passed on as it comes.
	MaxLargeValue = 4 << 20
)

const (
	maxParts   = 16                             // of an array: no message here has as many
	maxFraming = transport.MaxBuffer - MaxValue // bytes of a message beside its value
	maxLine    = 1 << 10                        // bytes of a line: an error with its load report
)

// Errors of a message. After one the connection can't be read any further, since nobody can tell where the next
// message begins. Their texts go to clients.
var (
	ErrMalformed = errors.New("malformed message")
	ErrLength    = errors.New("length out of bounds")
)

// lineKinds are the bytes that a line of RESP2 begins with.
var lineKinds = []byte("*$+-:")

// completeLength returns the length of the first message in what was received, 0 if it is not complete; a string in it
// has maxBulk bytes at most. It stands before redcon's parsers, which bound no length, take negative ones, and do not
// tell a part of a message from a malformed one.
func completeLength(received []byte, maxBulk int) (int, error) {
	length, _, err := frame(received, maxBulk)
	return length, err
}

// frame returns also how long the message is at least, by the lengths that were received; 0 where none tells.
func frame(received []byte, maxBulk int) (length, minLength int, err error) {
	at := 0
	for remaining := 1; remaining > 0; remaining-- {
		line, isComplete, err := nextLine(received[at:])
		if err != nil || !isComplete {
			return 0, 0, err
		}
		isFirst := at == 0
		at += len(line) + len(lineEnd)
		switch line[0] {
		case '+', '-', ':':
		case '*':
			n, err := parseLength(line[1:])
			if err != nil {
				return 0, 0, err
			}
			if n > maxParts || !isFirst {
				return 0, 0, ErrLength // No message here nests arrays or has many parts.
			}
			remaining += max(0, n)
		case '$':
			n, err := parseLength(line[1:])
			if err != nil {
				return 0, 0, err
			}
			if n < 0 {
				continue
			}
			end := at + n + len(lineEnd)
			switch {
			case n > maxBulk, n > MaxValue && remaining > 1, end > max(n, MaxValue)+maxFraming:
				return 0, 0, ErrLength
			case len(received) < end:
				return 0, end, nil
			case string(received[at+n:end]) != lineEnd:
				return 0, 0, ErrMalformed
			}
			at = end
		default:
			return 0, 0, ErrMalformed
		}
	}
	return at, at, nil
}

// nextLine returns the line that the bytes begin with, without its end, and whether it is complete.
func nextLine(received []byte) (line []byte, isComplete bool, err error) {
	end := bytes.IndexByte(received, '\n')
	switch {
	case end < 0 && len(received) > maxLine:
		return nil, false, ErrLength
	case end < 0 && len(received) > 0 && bytes.IndexByte(lineKinds, received[0]) < 0:
		return nil, false, ErrMalformed
	case end < 0:
		return nil, false, nil
	case end < 2 || end > maxLine || received[end-1] != '\r':
		return nil, false, ErrMalformed
	}
	return received[:end-1], true, nil
}

// parseLength reads the length of an array or a string: digits, or -1 for a null.
func parseLength(digits []byte) (int, error) {
	n, err := strconv.Atoi(string(digits))
	if err != nil || n < -1 || digits[0] == '+' || digits[0] == '-' && n != -1 {
		return 0, ErrMalformed
	}
	return n, nil
}
