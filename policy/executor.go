package policy

// Executor carries out what the module decides. Its methods do not call the Balancer back. Requests and endpoints are
// known by their index, attempts by their number: the place in the order of a request's Sends, from 0. Times are
// nanoseconds.
type Executor interface {
	// Send starts an attempt, which ends by the time until. HandleAttemptEnded is called for each Send.
	Send(request, endpoint int, until int64)
	// Reject gives the final answer that the request may be sent again without harm, after retryAfter if that is not 0.
	Reject(request int, reason Reason, retryAfter int64)
	// Fail gives the final answer that the request failed; it may have had its effect.
	Fail(request int, reason Reason)
	// Cancel ends an attempt whose answer nobody needs. HandleAttemptEnded is still called for it.
	Cancel(request, attempt int)
	// SetTimer has HandleTimer called with the tag after so long. Timers are not cancelled.
	SetTimer(tag int, after int64)
	// WatchEndpoints has changes of the endpoint list told from now on.
	WatchEndpoints()
}

// Outcome tells how an attempt ended.
type Outcome int

// The outcomes of an attempt. Rejected, ConnectFailed, NotSent and CacheMiss prove that it never ran.
const (
	OK            Outcome = iota
	Errored               // the endpoint answered with an error
	Rejected              // the endpoint answered that it is full
	TimedOut              // no answer came until its deadline
	ConnectFailed         // no connection came about
	Reset                 // the connection broke after the request was sent
	Cancelled             // the balancer ended it
	NotSent               // withdrawn, or no connection was free here
	CacheMiss             // cache-aside: the cache lacks the key
	outcomes
)

// outcomeNames are for people who read logs or failed tests.
var outcomeNames = [outcomes]string{"ok", "errored", "rejected", "timed out", "connect failed", "reset", "cancelled", "not sent", "cache miss"}

// String names an outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// executionState is what is known of whether an attempt ran at its endpoint.
type executionState int8

// The states of execution.
const (
	inFlight executionState = iota
	mayHaveRun
	neverRan
	completed
)

// executionState is what an outcome proves of whether its attempt ran.
func (o Outcome) executionState() executionState {
	switch o {
	case OK:
		return completed
	case Rejected, ConnectFailed, NotSent, CacheMiss:
		return neverRan
	default:
		return mayHaveRun
	}
}

// UpdateKind tells what an update of the endpoint list holds.
type UpdateKind int

// The kinds of an update.
const (
	IncrementalList UpdateKind = iota // changed entries only
	FullList                          // all entries: one that is missing has been removed
	SavedList                         // all entries as this balancer last knew them, perhaps stale
	UpdateFailed                      // no list: a call failed or a watch broke
)

// Health is an endpoint's state by the list.
type Health int

// The states that a list knows.
const (
	Ready    Health = iota
	Draining        // it finishes its work; nothing new is sent
	Removed
)

// Effect says whether a request may run again.
type Effect int

// The effects of a request class.
const (
	Safe          Effect = iota // any number of runs does no harm
	Idempotent                  // repeats are dropped, by a group of endpoints and for a time
	NonIdempotent               // it may run once
)
