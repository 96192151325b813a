package routing

import (
	"time"

	"hollylever/transport"
)

// event is sent to an exchange: a decision of the policy, or the progress of one of its attempts. The request's
// goroutine handles its events one at a time.
type event interface{ handle(x *exchange) }

// Decisions of the policy.
type (
	attemptStarted   struct{ attempt }
	attemptCancelled struct{ number int }
	requestRejected  struct{ retryAfter int64 } // ns until the client may send it again; 0: not stated
	requestFailed    struct{}
)

// Progress of an attempt.
type (
	// responseStarted reports that an attempt has received the beginning of a large value.
	responseStarted struct {
		number int
		value  *largeValue
	}
	// clientDisconnected reports that an attempt was not sent because the client had disconnected.
	clientDisconnected struct{}
	// clientUnread reports that an attempt was not sent because the client may have disconnected behind bytes that wait to
	// be read.
	clientUnread struct{}
	// attemptEnded is the last event of an attempt.
	attemptEnded struct{ attemptResult }
)

// attempt is one try of a request at an endpoint.
type attempt struct {
	number    int // among the request's attempts, from 0
	endpoint  int
	name      string         // of the endpoint when the attempt was decided on
	peer      transport.Peer // its process then
	startedAt int64          // by the policy's clock
	deadline  int64          // by the policy's clock
}

// attemptResult is how an attempt ended.
type attemptResult struct {
	attempt
	end            transport.End
	firstByteAt    time.Time   // when its first byte was about to be handed to the kernel; zero: not at all
	lastByteAt     time.Time   // when its last byte had been handed to the kernel; zero: not at all
	answer         []byte      // for the client; nil without one
	reservedMemory int64       // bytes of the memory account that the attempt still holds
	value          *largeValue // nil unless a large value is streamed
	held           *heldValue  // nil unless a large value was held until it was whole
	valueRecord    valueRecord // of value, of held, or of a large value that broke
	latency        int64       // in ns, until a large value began; 0 otherwise: then measured when the event is handled
	cacheResult    int         // as stated by the server
	load           []float64   // the server's load report; nil without one
}
