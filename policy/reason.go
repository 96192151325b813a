package policy

// Reason tells why a request gets a final answer that no server gave.
type Reason int

// The reasons. All but AttemptFailed and DeadlineNear end requests before they cost a server anything more.
const (
	OverQuota     Reason = iota // its tenant sends more than its share
	Overloaded                  // more is in flight than servers answer in time
	QueueFull                   // its turn in its key's queue would come too late
	NoEndpoint                  // no server may be sent an attempt
	NoRetryTokens               // no server has credit for a retry, and none would have any in time
	EndpointsBusy               // all servers answer busy, or the origin has no room, for longer than an answer has value
	AttemptsSpent               // it has had all the attempts that the settings allow
	DeadlineNear                // no further attempt could be answered in time
	AttemptFailed               // its last attempt failed in a way that a retry does not mend
	reasons
)

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
