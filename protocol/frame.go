// Package protocol knows the bytes: clients' commands, hosts' answers and the lines of discovery's list. It
// turns them into plain fields and back, bounds every length, and decides nothing.
package protocol

import (
	"bytes"
	"errors"
	"strconv"

	"hollylever/transport"
)

// MostValue is the longest value that is held as a matter of course; MostLarge the longest there may be.
const (
	MostValue = 64 << 10
	MostLarge = 4 << 20
)

const (
	mostParts = 16
	around    = transport.MostBuffer - MostValue // what may stand around a value
	mostLine  = 1 << 10
)

var (
	errForm   = errors.New("malformed message")
	errLength = errors.New("length out of bounds")
)

// whole gives the length of the first message in what has come, no string in it over most, 0 if it is not all there yet. It stands before
// redcon's parsers, which bound no length, take negative ones, and do not tell a part from a malformed whole.
func whole(came []byte, most int) (int, error) {
	length, _, err := frame(came, most)
	return length, err
}

// frame tells also how long the message must be at least, by the lengths that have come.
func frame(came []byte, most int) (length, need int, err error) {
	at, parts := 0, 1
	for ; parts > 0; parts-- {
		line := came[at:]
		end := bytes.IndexByte(line, '\n')
		switch {
		case end < 0 && len(line) > mostLine:
			return 0, 0, errLength
		case end < 0:
			if len(line) > 0 && !bytes.ContainsRune([]byte("*$+-:"), rune(line[0])) {
				return 0, 0, errForm
			}
			return 0, 0, nil
		case end < 2 || end > mostLine || line[end-1] != '\r':
			return 0, 0, errForm
		}
		at += end + 1
		kind, rest := line[0], line[1:end-1]
		switch kind {
		case '+', '-', ':':
			continue
		case '*', '$':
		default:
			return 0, 0, errForm
		}
		n, err := strconv.Atoi(string(rest))
		if err != nil || n < -1 || rest[0] == '+' || rest[0] == '-' && n != -1 {
			return 0, 0, errForm
		}
		switch {
		case kind == '*' && (n > mostParts || parts > 1 || at != end+1):
			return 0, 0, errLength // No message here nests arrays or has many parts.
		case kind == '*':
			parts += max(0, n)
		case n < 0:
		case n > most, n > MostValue && parts > 1, at+n+2 > max(n, MostValue)+around:
			return 0, 0, errLength
		case len(came) < at+n+2:
			return 0, at + n + 2, nil
		case came[at+n] != '\r' || came[at+n+1] != '\n':
			return 0, 0, errForm
		default:
			at += n + 2
		}
	}
	return at, at, nil
}
