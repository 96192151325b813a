package policy

// Reason is why the balancer itself gave a request its final answer.
type Reason int

// The reasons. Except for AttemptFailed and DeadlineNear, no endpoint is processing the request when it ends.
const (
	OverQuota     Reason = iota // its tenant exceeds its quota
	Overloaded                  // more attempts are in flight than endpoints can answer in time
	QueueFull                   // the queue of its key is full, or it would be dequeued too late
	NoEndpoint                  // the rules allow no attempt at any endpoint
	NoRetryTokens               // no retry token is available, nor would be in time
	EndpointsBusy               // all endpoints reject, or the origin is full, until an answer would have no value
	AttemptsSpent               // it has had all attempts that the settings allow
	DeadlineNear                // no further attempt could be answered in time
	AttemptFailed               // its last attempt failed in a way that a retry cannot correct
	numReasons
)

// reasonNames are the names in logs and at /metrics. They must not change, as operators rely on them.
var reasonNames = [numReasons]string{
	"over_share", "overloaded", "queue_full", "no_server", "no_credit", "servers_busy", "attempts_spent", "deadline",
	"attempt_failed",
}

// String returns the name of a reason in logs and at /metrics.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons in order.
func Reasons() []Reason {
	all := make([]Reason, numReasons)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}
