package policy

// Reason is why a request got a final answer that no endpoint gave.
type Reason int

// The reasons. All but AttemptFailed and DeadlineNear end a request while no endpoint is at work on it.
const (
	OverQuota     Reason = iota // its tenant asks for more than its quota
	Overloaded                  // more is in flight than endpoints answer in time
	QueueFull                   // its key's queue is full, or its turn would come too late
	NoEndpoint                  // the rules allow no attempt at any endpoint
	NoRetryTokens               // no tokens pay for a retry, and none would in time
	EndpointsBusy               // all endpoints reject, or the origin is full, too long for an answer to have value
	AttemptsSpent               // it has had all the attempts that the settings allow
	DeadlineNear                // no further attempt could be answered in time
	AttemptFailed               // its last attempt failed in a way that a retry does not mend
	reasons
)

// reasonNames are the names of reasons in logs and at /metrics. Operators rely on them: they stay.
var reasonNames = [reasons]string{"over_share", "overloaded", "queue_full", "no_server", "no_credit", "servers_busy", "attempts_spent", "deadline", "attempt_failed"}

// String returns a reason's name in logs and at /metrics.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons, in order.
func Reasons() []Reason {
	all := make([]Reason, reasons)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}
