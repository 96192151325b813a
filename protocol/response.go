package protocol

import (
	"bytes"
	"strconv"

	"github.com/tidwall/redcon"

	"hollylever/transport"
)

// Response is a server's response. Value and Report alias the bytes it was read from.
type Response struct {
	// End is how the attempt ended by it: Succeeded, Failed, Rejected; Malformed where it is malformed; Open while it
	// is not complete.
	End         transport.End
	Value       []byte      // the value or receipt; not nil with Succeeded
	Report      []byte      // the load report; may be no report at all, which its reader finds out
	CacheResult CacheResult // of a Succeeded response
	Length      int         // in bytes; 0 with Open and Malformed
}

// The parts of a response with a value.
const (
	valuePart = iota + 1
	cacheResultPart
	reportPart
	responseParts = reportPart
)

// ParseResponse reads the first response in what was received.
func ParseResponse(received []byte) Response {
	length, err := completeLength(received, MaxValue)
	if err != nil {
		return Response{End: transport.Malformed}
	}
	if length == 0 {
		return Response{End: transport.Open}
	}
	n, resp := redcon.ReadNextRESP(received[:length])
	switch {
	case n != length:
		return Response{End: transport.Malformed}
	case resp.Type == redcon.Error && isError(resp.Data, wordBusy):
		return Response{End: transport.Rejected, Report: lastWord(resp.Data), Length: length}
	case resp.Type == redcon.Error && isError(resp.Data, wordFailed):
		return Response{End: transport.Failed, Report: lastWord(resp.Data), Length: length}
	case resp.Type != redcon.Array || resp.Count != responseParts:
		return Response{End: transport.Malformed}
	}
	return parseValueResponse(resp, length)
}

// parseValueResponse reads a response of three parts, of which the value is a must.
func parseValueResponse(resp redcon.RESP, length int) Response {
	response := Response{End: transport.Succeeded, Length: length}
	part := 0
	resp.ForEach(func(inner redcon.RESP) bool {
		switch part++; {
		case part == valuePart && inner.Type == redcon.Bulk:
			response.Value = inner.Data // nil for a null
		case part == cacheResultPart:
			response.CacheResult = parseCacheResult(inner.Data)
		case part == reportPart:
			response.Report = inner.Data
		}
		return true
	})
	if response.Value == nil {
		return Response{End: transport.Malformed}
	}
	return response
}

// isError reports whether an error line is the one named, alone or with a load report behind it.
func isError(line []byte, name string) bool {
	rest, is := bytes.CutPrefix(line, []byte(name))
	return is && (len(rest) == 0 || rest[0] == ' ')
}

// lastWord returns the word of an error line in which its load report stands, if it has one.
func lastWord(line []byte) []byte { return line[bytes.LastIndexByte(line, ' ')+1:] }

// ParseLargeValueHeader reports a response that begins with a value over MaxValue: how long that is, and at which byte
// it begins; 0 for any other response.
func ParseLargeValueHeader(received []byte) (size, start int) {
	rest, is := bytes.CutPrefix(received, []byte(firstLargeLine))
	digits, _, isComplete := bytes.Cut(rest, []byte(lineEnd))
	if !is || !isComplete || len(digits) == 0 || digits[0] < '1' || digits[0] > '9' {
		return 0, 0
	}
	n, err := strconv.Atoi(string(digits))
	if err != nil || n <= MaxValue || n > MaxLargeValue {
		return 0, 0
	}
	return n, len(firstLargeLine) + len(digits) + len(lineEnd)
}

// ParseResponseTail reads what stands behind a large value, as ParseResponse does; Value is nil.
func ParseResponseTail(received []byte) Response {
	const before = firstLargeLine + "1" + lineEnd + "v" + lineEnd
	response := ParseResponse(append([]byte(before), received...))
	response.Value, response.Length = nil, max(0, response.Length-len(before))
	return response
}
