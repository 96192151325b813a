package routing

import (
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"hollylever/transport"
)

const (
	// lateTolerance is how long after a request's deadline its answer counts as late: one that is sent in time may
	// still be on its way.
	lateTolerance = 20 * time.Millisecond

	// maxWarningsPerSecond bounds the lines of requests at the level warn; what is over it is counted and said with
	// the next one.
	maxWarningsPerSecond = 10
)

// attemptRecord is what the log has of an attempt.
type attemptRecord struct {
	server string
	sent   time.Duration // since the request was received
	took   time.Duration
	end    transport.End // Open: it has not ended
}

// requestRecord is what the log has of a request. The request's own goroutine alone writes it.
type requestRecord struct {
	waited   time.Duration // until it was handled
	timeout  time.Duration // of its client
	outcome  string        // one of the outcome constants
	answered time.Duration // until its answer was written
	attempts []attemptRecord
}

// String lists the attempts: server, when it was sent, how and after which time it ended.
func (r *requestRecord) String() string {
	var all []string
	for _, a := range r.attempts {
		all = append(all, a.server+" +"+a.sent.Round(time.Millisecond).String()+" "+a.end.String()+" "+a.took.Round(time.Millisecond).String())
	}
	return strings.Join(all, "; ")
}

// warnings bounds how many lines are written a second.
type warnings struct {
	mu         sync.Mutex // guards the fields below
	second     time.Time  // when the present second began
	written    int        // in it
	suppressed int        // since the last line
}

// allow reports whether a line may be written now, and how many were not since the last one.
func (w *warnings) allow(now time.Time) (suppressed int, isAllowed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.second) >= time.Second {
		w.second, w.written = now, 0
	}
	if w.written >= maxWarningsPerSecond {
		w.suppressed++
		return 0, false
	}
	w.written++
	suppressed, w.suppressed = w.suppressed, 0
	return suppressed, true
}

// logEnd logs a request: at the level debug, or at warn where it ended as it should not.
func (x *exchange) logEnd(result delivery) {
	b := x.balancer
	problem := x.problem(result)
	if problem == "" {
		if event := b.log.Debug(); event.Enabled() {
			x.describe(event).Msg("request")
		}
		return
	}
	b.mu.Lock()
	b.counters.increment(problem)
	b.mu.Unlock()
	if suppressed, isAllowed := b.warnings.allow(time.Now()); isAllowed {
		x.describe(b.log.Warn()).Str("problem", problem).Int("suppressed", suppressed).Msg("request ended badly")
	}
}

// problem is the counter of what was wrong with a request's end; "" where nothing was.
func (x *exchange) problem(result delivery) string {
	record := &x.record
	switch {
	case record.outcome == outcomeDisconnected:
	case result == writeTimedOut:
		return counterUnanswered
	case result == delivered && record.answered > record.timeout+lateTolerance && record.timeout > 0 && x.largeReply == nil:
		return counterLate
	}
	return ""
}

func (x *exchange) describe(event *zerolog.Event) *zerolog.Event {
	record := &x.record
	return event.Str("id", x.id).Int("workload", x.workload).Str("outcome", record.outcome).Int64("timeout_ms", record.timeout.Milliseconds()).
		Int64("waited_ms", record.waited.Milliseconds()).Int64("answered_ms", record.answered.Milliseconds()).Str("attempts", record.String())
}

// logClosed counts a client's connection that has ended, and logs it at the level debug.
func (b *Balancer) logClosed(c *transport.Client, end transport.End) {
	b.mu.Lock()
	b.counters.increment(counterClosedPrefix + end.String())
	b.mu.Unlock()
	if event := b.log.Debug(); event.Enabled() {
		event.Stringer("client", c.RemoteAddr()).Stringer("end", end).Int64("age_ms", c.Age().Milliseconds()).Int("commands", c.Commands()).
			Msg("client connection closed")
	}
}
