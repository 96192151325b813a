package policy

// Executor carries out the decisions of a Balancer. Its methods must not call the Balancer back. Requests and endpoints
// are identified by their indices, and the attempts of a request by their position in the order of Sends, from 0. Times
// are in nanoseconds.
type Executor interface {
	// Send starts an attempt that ends by the time until. HandleAttemptEnded must be called once for each Send.
	Send(request, endpoint int, until int64)
	// Reject gives the request its final answer: it may safely be sent again, after retryAfter unless that is 0.
	Reject(request int, reason Reason, retryAfter int64)
	// Fail gives the request its final answer: it failed, but may have taken effect.
	Fail(request int, reason Reason)
	// Cancel ends an attempt whose answer is no longer needed. HandleAttemptEnded must still be called for it.
	Cancel(request, attempt int)
	// SetTimer has HandleTimer called with the tag after the given time. Timers are never cancelled.
	SetTimer(tag int, after int64)
	// WatchEndpoints has the Balancer informed of changes of the endpoint list from now on.
	WatchEndpoints()
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt. Rejected, ConnectFailed, NotSent and CacheMiss prove that it did not run.
const (
	OK            Outcome = iota
	Errored               // the endpoint answered with an error
	Rejected              // the endpoint rejected it because it is full
	TimedOut              // no answer arrived before the attempt's deadline
	ConnectFailed         // no connection could be established
	Reset                 // the connection broke after the request was sent
	Cancelled             // the balancer cancelled it
	NotSent               // it was withdrawn, or this balancer had no free connection
	CacheMiss             // cache-aside: the cache does not hold the key
	numOutcomes
)

// outcomeNames are the names in logs and test failures.
var outcomeNames = [numOutcomes]string{
	"ok", "errored", "rejected", "timed out", "connect failed", "reset", "cancelled", "not sent", "cache miss",
}

// String returns the name of an outcome in logs and test failures.
func (o Outcome) String() string { return outcomeNames[o] }

// executionState is whether an attempt is in flight, and what its outcome proves about whether it ran.
type executionState int8

// The execution states.
const (
	inFlight executionState = iota
	mayHaveRun
	neverRan
	completed
)

// provenExecution returns what an outcome proves about whether its attempt ran.
func (o Outcome) provenExecution() executionState {
	switch o {
	case OK:
		return completed
	case Rejected, ConnectFailed, NotSent, CacheMiss:
		return neverRan
	default:
		return mayHaveRun
	}
}

// UpdateKind is what an update of the endpoint list contains.
type UpdateKind int

// The kinds of updates.
const (
	IncrementalList UpdateKind = iota // only the entries that changed
	FullList                          // all entries: an endpoint without one has been removed
	SavedList                         // all entries as this balancer last saved them, possibly stale
	UpdateFailed                      // no entries: a call for the list failed or a watch broke
)

// Health is the state of an endpoint in the endpoint list.
type Health int

// The states of an endpoint.
const (
	Ready    Health = iota
	Draining        // it finishes its requests and is sent no new ones
	Removed
)

// Effect is whether a request may run more than once.
type Effect int

// The effects of a request class.
const (
	Safe          Effect = iota // it may run any number of times
	Idempotent                  // repeats are dropped, within a group of endpoints and a time window
	NonIdempotent               // it may run only once
)
