package routing

import (
	"maps"
	"slices"
	"strings"

	"github.com/rs/zerolog"

	"hollylever/policy"
	"hollylever/transport"
)

// The names of counters, as the log's summary has them. Operators' figures (Figures) read the same counters.
const (
	counterRequests            = "retrievals"          // admitted
	counterAttempts            = "trips"               // started
	counterAttemptsSent        = "handed"              // attempts whose last byte was sent
	counterAttemptPrefix       = "trip_"               // attempts without an answer, by how their connection ended
	counterDisconnected        = "left"                // requests whose client went before the final answer
	counterDisconnectedWaiting = "left_waiting"        // of these, the ones that had no attempt under way
	counterSentAfterDisconnect = "sent_after_left"     // attempts sent well after that: a fault of this program
	counterWatchesFailed       = "lists_failed"        // watches on the endpoint list that broke or were silent
	counterNotAdmitted         = "sent_back"           // requests rejected at admission, by workload
	counterMalformed           = "sent_back_wrong"     // requests answered with an error at admission
	counterLate                = "requests_late"       // the final answer went out after the client's timeout
	counterUnanswered          = "requests_unanswered" // the client stayed and did not read its final answer
	counterExpired             = "requests_expired"    // ended before their deadline, as the process ends
	counterWithheld            = "attempts_withheld"   // not sent, as a look at the connection showed that the client had gone
	counterClosedPrefix        = "closed_"             // client connections, by how they ended
	counterRejectedMemory      = "rejected_memory"     // at admission: as much is held as may be
	counterRejectedStop        = "rejected_stop"       // at admission: no answer would come before the process ends
)

// How a request ended, as the log has it. The first three count the final answers, by workload.
const (
	outcomeAnswered     = "settled"
	outcomeRejected     = "dismissed"
	outcomeFailed       = "given_up"
	outcomeDisconnected = "left"
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

// counters count what happened since the start. Balancer.mu guards them.
type counters struct {
	sinceStart    map[counterKey]int
	atLastSummary map[counterKey]int
	reads         int // answered
	misses        int // of these, the ones that no cache had
}

// counterKey names a counter of one workload, or of none.
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

// sinceSummary returns what has been counted since it was last called, summed over the workloads; only what happened
// is named. An error at admission counts as a request that was not admitted.
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

// logCounters adds the counters of a summary to its line, in the order of their names.
func logCounters(event *zerolog.Event, since map[string]int) *zerolog.Event {
	for _, name := range slices.Sorted(maps.Keys(since)) {
		event = event.Int(name, since[name])
	}
	return event
}

// rejections lists the requests that were rejected, by reason.
func (c *counters) rejections() []RejectionCount {
	var all []RejectionCount
	for _, reason := range policy.Reasons() {
		all = append(all, RejectionCount{reason.String(), c.total(rejectedCounters[reason])})
	}
	return append(all, RejectionCount{"memory", c.total(counterRejectedMemory)}, RejectionCount{"stop", c.total(counterRejectedStop)})
}

// closes lists the ways in which client connections ended.
func (c *counters) closes() []CloseCount {
	var all []CloseCount
	for _, end := range transport.ClientEnds {
		all = append(all, CloseCount{end.String(), c.total(counterClosedPrefix + end.String())})
	}
	return all
}

// maxCachedResult is the highest cache result of a read that a cache answered by itself; over it the read was a miss.
const maxCachedResult = 1

// countRead counts a read that was answered, by the cache result that the server states.
func (c *counters) countRead(cacheResult int) {
	c.reads++
	if cacheResult > maxCachedResult {
		c.misses++
	}
}
