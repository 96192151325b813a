package protocol

import (
	"bytes"
	"strconv"

	"github.com/tidwall/redcon"

	"hollylever/transport"
)

// Notes of how a read went, as the module counts them.
const (
	noteHit = iota + 1
	noteMiss
	notePending
)

// Answer takes a host's answer off what has come: how the trip ended by it, the value or receipt, which aliases
// what has come, as the load report does, the note on how it went, and its length; Open and 0 while it is not all
// there.
func Answer(came []byte) (end transport.End, value, report []byte, note, length int) {
	length, err := whole(came, MostValue)
	if err != nil {
		return transport.Garbled, nil, nil, 0, 0
	}
	if length == 0 {
		return transport.Open, nil, nil, 0, 0
	}
	n, resp := redcon.ReadNextRESP(came[:length])
	switch {
	case n != length:
		return transport.Garbled, nil, nil, 0, 0
	case resp.Type == redcon.Error && says(resp.Data, "BUSY"):
		return transport.TurnedAway, nil, lastWord(resp.Data), 0, length
	case resp.Type == redcon.Error && says(resp.Data, "ERR failed"):
		return transport.Errored, nil, lastWord(resp.Data), 0, length
	case resp.Type != redcon.Array || resp.Count != 3:
		return transport.Garbled, nil, nil, 0, 0
	}
	part := 0
	resp.ForEach(func(inner redcon.RESP) bool {
		switch part++; {
		case part == 1 && inner.Type == redcon.Bulk:
			value = inner.Data // nil for a null
		case part == 2:
			switch string(inner.Data) {
			case "hit":
				note = noteHit
			case "miss":
				note = noteMiss
			case "pending":
				note = notePending
			}
		case part == 3:
			report = inner.Data
		}
		return true
	})
	if value == nil {
		return transport.Garbled, nil, nil, 0, 0
	}
	return transport.Settled, value, report, note, length
}

// Large tells of an answer that begins with a value over MostValue: how long that is, and how far in it begins; 0 for
// any other.
func Large(came []byte) (size, from int) {
	rest, is := bytes.CutPrefix(came, []byte("*3\r\n$"))
	digits, _, ended := bytes.Cut(rest, []byte("\r\n"))
	if !is || !ended || len(digits) == 0 || digits[0] < '1' || digits[0] > '9' {
		return 0, 0
	}
	n, err := strconv.Atoi(string(digits))
	if err != nil || n <= MostValue || n > MostLarge {
		return 0, 0
	}
	return n, len("*3\r\n$\r\n") + len(digits)
}

// Rest takes off what stands behind a large value, as Answer does.
func Rest(came []byte) (end transport.End, report []byte, note, length int) {
	const before = "*3\r\n$1\r\nv\r\n"
	end, _, report, note, length = Answer(append([]byte(before), came...))
	return end, report, note, max(0, length-len(before))
}

// AppendBegun writes what stands before a large value.
func AppendBegun(out []byte, size int) []byte {
	return append(appendWhole(append(out, '$'), int64(size)), "\r\n"...)
}

// says tells whether an error line is the one named, alone or with a load report behind it. Any other is noise.
func says(line []byte, what string) bool {
	rest, is := bytes.CutPrefix(line, []byte(what))
	return is && (len(rest) == 0 || rest[0] == ' ')
}

// lastWord is where an error line has its load report, if any.
func lastWord(line []byte) []byte { return line[bytes.LastIndexByte(line, ' ')+1:] }

// AppendSettled writes the final answer of a retrieval that succeeded: its value.
func AppendSettled(out, value []byte) []byte { return redcon.AppendBulk(out, value) }

// AppendDismissed tells when to come back, in whole milliseconds, where that is known.
func AppendDismissed(out []byte, comeBack int64) []byte {
	if comeBack <= 0 {
		return redcon.AppendError(out, "BUSY")
	}
	out = append(out, "-BUSY "...)
	return append(appendWhole(out, (comeBack+1e6-1)/1e6), "\r\n"...)
}

// AppendGivenUp promises nothing.
func AppendGivenUp(out []byte) []byte { return redcon.AppendError(out, "ERR given up") }

// AppendPong answers a PING.
func AppendPong(out []byte) []byte { return redcon.AppendString(out, "PONG") }

// AppendWrong answers a command that makes no sense here.
func AppendWrong(out []byte, why string) []byte { return redcon.AppendError(out, "ERR "+why) }
