package routing

import (
	"maps"
	"slices"
	"strings"

	"github.com/rs/zerolog"

	"hollylever/policy"
	"hollylever/transport"
)

// Names of counters in the log's summary. Figures reads the same counters.
const (
	counterRequests            = "retrievals"          // admitted
	counterRepeated            = "repeated_ids"        // of these, the ones that get the result of an earlier one of their ID
	counterContested           = "contested_ids"       // requests whose ID a request has whose client still waits
	counterAttempts            = "trips"               // started
	counterAttemptsSent        = "handed"              // attempts sent completely
	counterAttemptPrefix       = "trip_"               // attempts without a reply, by how their connection ended
	counterDisconnected        = "left"                // requests whose client disconnected before the final answer
	counterDisconnectedWaiting = "left_waiting"        // of these, the ones with no attempt in flight
	counterSentAfterDisconnect = "sent_after_left"     // attempts sent well after the client disconnected: a bug
	counterWatchesFailed       = "lists_failed"        // watches on the endpoint list that broke or fell silent
	counterNotAdmitted         = "sent_back"           // requests rejected at admission, by workload
	counterMalformed           = "sent_back_wrong"     // requests answered with an error at admission
	counterLate                = "requests_late"       // the final answer, or the first byte of a large value, was sent after the client's timeout
	counterCut                 = "requests_cut"        // a large value had begun to be passed on, and the rest did not come
	counterUnanswered          = "requests_unanswered" // the client stayed connected and did not get its final answer: it did not read, or its connection was cut off
	counterExpired             = "requests_expired"    // ended before their deadline by the shutdown of the process
	counterWithheld            = "attempts_withheld"   // not sent, as a check found the client disconnected
	counterClosedPrefix        = "closed_"             // client connections, by how they ended
	counterRejectedMemory      = "rejected_memory"     // at admission: the memory limit for requests is reached
	counterRejectedUnread      = "rejected_unread"     // at admission: more bytes of the client wait to be read for so long that it may have disconnected
	counterRejectedStop        = "rejected_stop"       // at admission: no answer would come before the shutdown
)

// How a request ended, by its name in the log. The first three also name counters of final answers, by workload.
const (
	outcomeAnswered     = "settled"
	outcomeRejected     = "dismissed"
	outcomeFailed       = "given_up"
	outcomeDisconnected = "left"
	outcomeMalformed    = "malformed"
)

// Counters of requests that the policy rejected or failed, by reason.
var (
	rejectedCounters = reasonCounters("rejected_")
	failedCounters   = reasonCounters("failed_")
)

func reasonCounters(prefix string) map[policy.Reason]string {
	names := map[policy.Reason]string{}
	for _, reason := range policy.Reasons() {
		names[reason] = prefix + reason.String()
	}
	return names
}

// counters holds the counts since the start. Balancer.mu guards it.
type counters struct {
	sinceStart    map[counterKey]int
	atLastSummary map[counterKey]int
	reads         int                   // answered
	misses        int                   // of these, the ones that no cache could answer
	turns         transport.TurnFigures // since the start
	recentTurns   transport.TurnFigures // since the last summary
}

// addTurns adds waits of clients for turns.
func (c *counters) addTurns(figures transport.TurnFigures) {
	c.turns.Add(figures)
	c.recentTurns.Add(figures)
}

// counterKey identifies a counter, of one workload or of none (noWorkload).
type counterKey struct {
	name     string
	workload int
}

const noWorkload = -1

func (c *counters) increment(name string) { c.incrementFor(name, noWorkload) }
func (c *counters) incrementFor(name string, workload int) {
	c.sinceStart[counterKey{name, workload}]++
}
func (c *counters) total(name string) int { return c.totalFor(name, noWorkload) }
func (c *counters) totalFor(name string, workload int) int {
	return c.sinceStart[counterKey{name, workload}]
}

// sinceSummary returns the counts since its last call, summed over the workloads, without those that are 0. Errors at
// admission (counterMalformed) are included in counterNotAdmitted.
func (c *counters) sinceSummary() map[string]int {
	since := map[string]int{}
	for key, n := range c.sinceStart {
		if n -= c.atLastSummary[key]; n > 0 {
			name, _ := strings.CutSuffix(key.name, "_wrong")
			since[name] += n
		}
	}
	c.atLastSummary = maps.Clone(c.sinceStart)
	return since
}

// logCounters adds the counts of a summary to a log event, sorted by name.
func logCounters(event *zerolog.Event, since map[string]int) *zerolog.Event {
	for _, name := range slices.Sorted(maps.Keys(since)) {
		event = event.Int(name, since[name])
	}
	return event
}

// rejections returns the numbers of rejected requests by reason.
func (c *counters) rejections() []RejectionCount {
	var all []RejectionCount
	for _, reason := range policy.Reasons() {
		all = append(all, RejectionCount{reason.String(), c.total(rejectedCounters[reason])})
	}
	return append(all, RejectionCount{"memory", c.total(counterRejectedMemory)}, RejectionCount{"stop", c.total(counterRejectedStop)})
}

// closes returns the numbers of closed client connections by how they ended.
func (c *counters) closes() []CloseCount {
	var all []CloseCount
	for _, end := range transport.ClientEnds {
		all = append(all, CloseCount{end.String(), c.total(counterClosedPrefix + end.String())})
	}
	return all
}

// maxHitResult is the highest cache result that means a read was answered from the cache. Higher ones are misses.
const maxHitResult = 1

// countRead counts an answered read by the cache result that the server reports.
func (c *counters) countRead(cacheResult int) {
	c.reads++
	if cacheResult > maxHitResult {
		c.misses++
	}
}
