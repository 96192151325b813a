package protocol

import "bytes"

// The words of the wire: of clients' commands, of servers' responses and of the endpoint list. They are spelled here,
// as the protocol of the operators has them, and nowhere else: behind this package stand the types below.
const (
	wordGet  = "C.GET"
	wordSet  = "C.SET"
	wordPing = "PING"
	wordPong = "PONG"

	// The names in a request's list of attributes; any other is passed on as it is.
	attributeWorkload  = "c"
	attributeTenant    = "t"
	attributeTimeout   = "d" // in milliseconds
	attributePredicted = "h" // the work that the client predicts, in microseconds

	wordBusy            = "BUSY"         // an error: rejected before it began, or, to a client, not served
	wordFailed          = "ERR failed"   // an error of a server: the request failed there
	wordGivenUp         = "ERR given up" // an error to a client: no result, and nothing is promised about what ran
	wordError           = "ERR "         // before the text of any other error to a client
	wordHit             = "hit"
	wordMiss            = "miss"
	wordPending         = "pending"
	wordReady           = "Ready"
	wordDraining        = "Terminating"
	wordGone            = "Gone"
	timeoutPrefix       = attributeTimeout + "="
	lineEnd             = "\r\n"
	valueResponsePrefix = "*3\r\n$" // first bytes of a response that carries a value
)

// Verb is what a command asks for.
type Verb int

// The verbs. Get and Set are requests, which servers answer; Ping is answered here.
const (
	VerbUnknown Verb = iota
	VerbGet
	VerbSet
	VerbPing
)

// verbWords are the verbs' words; that of VerbUnknown matches no command.
var verbWords = [...]string{VerbUnknown: "", VerbGet: wordGet, VerbSet: wordSet, VerbPing: wordPing}

// ParseVerb returns the verb of a command, whose first argument names it in any case.
func ParseVerb(arguments [][]byte) Verb {
	for verb := VerbGet; verb <= VerbPing; verb++ {
		if bytes.EqualFold(arguments[0], []byte(verbWords[verb])) {
			return verb
		}
	}
	return VerbUnknown
}

// String returns the verb's word on the wire, "" for VerbUnknown.
func (v Verb) String() string { return verbWords[v] }

// IsRequest reports whether servers answer the verb.
func (v Verb) IsRequest() bool { return v == VerbGet || v == VerbSet }

// EndpointStatus is how the endpoint list states a server.
type EndpointStatus int

// The statuses of servers. One that drains finishes the requests it has and is given no new ones.
const (
	EndpointReady EndpointStatus = iota + 1
	EndpointDraining
	EndpointGone
)

var endpointStatusWords = [...]string{EndpointReady: wordReady, EndpointDraining: wordDraining, EndpointGone: wordGone}

// String returns the status's word in the endpoint list, which logs and the operators' endpoints show too.
func (s EndpointStatus) String() string { return endpointStatusWords[s] }

// parseEndpointStatus returns the status that a word of the list states, 0 for any other word.
func parseEndpointStatus(word string) EndpointStatus {
	for status := EndpointReady; status <= EndpointGone; status++ {
		if word == endpointStatusWords[status] {
			return status
		}
	}
	return 0
}

// CacheResult is what a server's response says of its cache. The numbers are those that the decision module takes.
type CacheResult int

// The results of a server's cache; CacheUnknown where the response says none.
const (
	CacheUnknown CacheResult = iota
	CacheHit
	CacheMiss
	CachePending
)

// parseCacheResult returns the result that a word of a response states.
func parseCacheResult(word []byte) CacheResult {
	switch string(word) {
	case wordHit:
		return CacheHit
	case wordMiss:
		return CacheMiss
	case wordPending:
		return CachePending
	}
	return CacheUnknown
}
