package protocol

import (
	"bytes"
	"strconv"

	"github.com/tidwall/redcon"

	"hollylever/transport"
)

// Response is a parsed response of a server. Value and Report alias the bytes it was parsed from.
type Response struct {
	// End is how this response ends the attempt: Succeeded, Failed, Rejected or Malformed; Open while the response is
	// incomplete.
	End         transport.End
	Value       []byte      // the value or receipt; non-nil if End is Succeeded
	Report      []byte      // the load report, unvalidated: without one, an error line gives its last word here
	CacheResult CacheResult // set if End is Succeeded
	Length      int         // in bytes; 0 if End is Open or Malformed
}

// Elements of a response that carries a value, numbered from 1.
const (
	valueElement = iota + 1
	cacheResultElement
	reportElement
	responseElements = reportElement
)

// ParseResponse parses the first response in received.
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
	case resp.Type != redcon.Array || resp.Count != responseElements:
		return Response{End: transport.Malformed}
	}
	return parseValueResponse(resp, length)
}

// MinResponseLength returns the minimum length in bytes of an incomplete response, or 0 if it is not known yet.
func MinResponseLength(received []byte) int {
	_, expected, _ := frameLength(received, MaxValue)
	return expected.min
}

// parseValueResponse parses a response that is an array of responseElements elements. Only the value is required.
func parseValueResponse(resp redcon.RESP, length int) Response {
	response := Response{End: transport.Succeeded, Length: length}
	element := 0
	resp.ForEach(func(inner redcon.RESP) bool {
		switch element++; {
		case element == valueElement && inner.Type == redcon.Bulk:
			response.Value = inner.Data // nil for a null bulk string
		case element == cacheResultElement:
			response.CacheResult = parseCacheResult(inner.Data)
		case element == reportElement:
			response.Report = inner.Data
		}
		return true
	})
	if response.Value == nil {
		return Response{End: transport.Malformed}
	}
	return response
}

// isError reports whether an error line consists of name, optionally followed by a load report.
func isError(line []byte, name string) bool {
	rest, found := bytes.CutPrefix(line, []byte(name))
	return found && (len(rest) == 0 || rest[0] == ' ')
}

// lastWord returns the last word of an error line, which is its load report if it has one.
func lastWord(line []byte) []byte { return line[bytes.LastIndexByte(line, ' ')+1:] }

// ParseLargeValueHeader returns the size of the value and the offset of its first byte if received begins with a
// response whose value is longer than MaxValue. For any other response it returns 0, 0.
func ParseLargeValueHeader(received []byte) (size, start int) {
	rest, found := bytes.CutPrefix(received, []byte(valueResponsePrefix))
	digits, _, isComplete := bytes.Cut(rest, []byte(lineEnd))
	if !found || !isComplete || len(digits) == 0 || digits[0] < '1' || digits[0] > '9' {
		return 0, 0
	}
	n, err := strconv.Atoi(string(digits))
	if err != nil || n <= MaxValue || n > MaxLargeValue {
		return 0, 0
	}
	return n, len(valueResponsePrefix) + len(digits) + len(lineEnd)
}

// ParseResponseTail parses the remainder of a response, after its large value and the line end of that value. The
// result is that of ParseResponse, except that Value is nil and Length counts the remainder only.
func ParseResponseTail(received []byte) Response {
	// A one-byte value stands in for the large one, which ParseResponse would reject.
	const prefix = valueResponsePrefix + "1" + lineEnd + "v" + lineEnd
	response := ParseResponse(append([]byte(prefix), received...))
	response.Value, response.Length = nil, max(0, response.Length-len(prefix))
	return response
}
