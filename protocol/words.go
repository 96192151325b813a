package protocol

import "bytes"

// The words of the wire: of clients' commands, of servers' responses and of the endpoint list. They are defined by the
// operators' protocol. The packages that serve requests do not spell them again but use the types below.
const (
	wordGet  = "C.GET"
	wordSet  = "C.SET"
	wordPing = "PING"
	wordPong = "PONG"

	// Names in a request's attribute list. Attributes with other names are forwarded unchanged.
	attributeWorkload  = "c"
	attributeTenant    = "t"
	attributeTimeout   = "d" // in milliseconds
	attributePredicted = "h" // the client's estimate of the work, in microseconds
	attributeRetry     = "r" // marks a client's retry

	wordBusy            = "BUSY"         // error: in a response, rejected before it began; in a reply, not served
	wordFailed          = "ERR failed"   // error in a response: the request failed on the server
	wordGivenUp         = "ERR given up" // error in a reply: no result; an attempt may or may not have run
	wordError           = "ERR "         // prefix of any other error in a reply
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

// Verb is the operation that a command requests.
type Verb int

// Verbs. VerbGet and VerbSet are requests, which are forwarded to servers; the balancer itself replies to VerbPing.
const (
	VerbUnknown Verb = iota
	VerbGet
	VerbSet
	VerbPing
)

// verbWords maps verbs to their words on the wire. The empty word of VerbUnknown matches no command.
var verbWords = [...]string{VerbUnknown: "", VerbGet: wordGet, VerbSet: wordSet, VerbPing: wordPing}

// ParseVerb returns the verb that the first argument of a command names, ignoring case.
func ParseVerb(arguments [][]byte) Verb {
	for verb := VerbGet; verb <= VerbPing; verb++ {
		if bytes.EqualFold(arguments[0], []byte(verbWords[verb])) {
			return verb
		}
	}
	return VerbUnknown
}

// String returns the verb's word on the wire, or "" for VerbUnknown.
func (v Verb) String() string { return verbWords[v] }

// IsRequest reports whether commands with the verb are requests, which are forwarded to servers.
func (v Verb) IsRequest() bool { return v == VerbGet || v == VerbSet }

// EndpointStatus is the status of a server in the endpoint list.
type EndpointStatus int

// Statuses of servers. A draining server finishes its open requests and receives no new ones.
const (
	EndpointReady EndpointStatus = iota + 1
	EndpointDraining
	EndpointGone
)

var endpointStatusWords = [...]string{EndpointReady: wordReady, EndpointDraining: wordDraining, EndpointGone: wordGone}

// String returns the status's word in the endpoint list. Logs and the admin endpoints show the same word.
func (s EndpointStatus) String() string { return endpointStatusWords[s] }

// parseEndpointStatus returns the status for a word of the endpoint list, or 0 if the word is unknown.
func parseEndpointStatus(word string) EndpointStatus {
	for status := EndpointReady; status <= EndpointGone; status++ {
		if word == endpointStatusWords[status] {
			return status
		}
	}
	return 0
}

// CacheResult is the cache result in a server's response. The numbers are those of
// policy.AttemptResult.CacheResult.
type CacheResult int

// Cache results. CacheUnknown means that the response has none or an unknown one.
const (
	CacheUnknown CacheResult = iota
	CacheHit
	CacheMiss
	CachePending
)

// parseCacheResult returns the cache result for a word of a response, or CacheUnknown if the word is unknown.
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
