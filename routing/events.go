package routing

import "hollylever/transport"

// event is sent to an exchange: a decision of the policy, or the progress of one of its attempts. The goroutine of
// the request handles its events one after the other.
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
	// responseStarted says that an attempt has the beginning of a large value.
	responseStarted struct {
		number int
		value  *largeValue
	}
	// clientDisconnected says that an attempt was not sent, as the client had gone.
	clientDisconnected struct{}
	// attemptEnded is the last event of an attempt.
	attemptEnded struct{ attemptResult }
)

// attempt is one sending of a request to an endpoint.
type attempt struct {
	number        int // among the request's attempts, from 0
	endpoint      int
	name, address string // of the endpoint when the attempt was decided on
	startedAt     int64  // by the policy's clock
	deadline      int64  // by the policy's clock
}

// attemptResult is how an attempt ended.
type attemptResult struct {
	attempt
	end         transport.End
	answer      []byte      // for the client; nil without one
	value       *largeValue // nil unless a large value began
	latency     int64       // in ns until a large value began; else 0, and it is taken when the event is handled
	cacheResult int         // as the server states it
	load        []float64   // the server's load report; nil without one
}
