package policy

// Reason tells why a request got a final answer that no endpoint gave.
type Reason int

// The reasons. All but AttemptFailed and DeadlineNear end requests before they cost an endpoint anything more.
const (
	OverQuota     Reason = iota // its tenant asks for more than its quota
	Overloaded                  // more is in flight than endpoints answer in time
	QueueFull                   // its turn in its key's queue would come too late
	NoEndpoint                  // no endpoint may be sent an attempt
	NoRetryTokens               // no endpoint has tokens for a retry, and none would have any in time
	EndpointsBusy               // all endpoints reject, or the origin has no room, for longer than an answer has value
	AttemptsSpent               // it has had all the attempts that the settings allow
	DeadlineNear                // no further attempt could be answered in time
	AttemptFailed               // its last attempt failed in a way that a retry does not mend
	reasons
)

// reasonNames are part of logs and of /metrics.
var reasonNames = [reasons]string{"over_share", "overloaded", "queue_full", "no_server", "no_credit", "servers_busy", "attempts_spent", "deadline", "attempt_failed"}

// String names a reason as logs and counts do.
func (r Reason) String() string { return reasonNames[r] }

// Reasons lists all of them.
func Reasons() []Reason {
	all := make([]Reason, reasons)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}
