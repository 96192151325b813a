package routing

import (
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"hollylever/transport"
)

const (
	// lateTolerance is how long after a request's deadline its reply may be written without counting as late: it may have
	// been sent in time and still be on its way.
	lateTolerance = 20 * time.Millisecond

	// maxWarningsPerSecond bounds the log lines about requests at level warn. Lines beyond it are suppressed; the next
	// line states how many.
	maxWarningsPerSecond = 10
)

// attemptRecord is what the request log states about an attempt.
type attemptRecord struct {
	server  string
	decided time.Duration // since the request was received
	took    time.Duration
	// firstByte and lastByte are when its first byte was about to be handed to the kernel, and when its last byte had
	// been, since the request was received; 0: not at all.
	firstByte, lastByte time.Duration
	value               valueRecord
	end                 transport.End // Open until it has ended
}

// requestRecord is what the request log states about a request. Only the request's goroutine writes it.
type requestRecord struct {
	receivedAt time.Time     // when its last byte had arrived
	waited     time.Duration // from receipt until it was handled
	timeout    time.Duration // as stated by its client
	outcome    string        // one of the outcome constants
	answered   time.Duration // from receipt until delivery of its reply ended
	attempts   []attemptRecord
}

// String lists the attempts, each with its server, when it was decided on, when its first and last byte were sent, what
// arrived of a large value, how it ended and how long it took.
func (r *requestRecord) String() string {
	var all []string
	for _, a := range r.attempts {
		all = append(all, a.describe(r.receivedAt))
	}
	return strings.Join(all, "; ")
}

func (a attemptRecord) describe(receivedAt time.Time) string {
	text := a.server + " +" + milliseconds(a.decided)
	if a.firstByte > 0 {
		text += " first byte +" + milliseconds(a.firstByte)
	}
	if a.lastByte > 0 {
		text += " last byte +" + milliseconds(a.lastByte)
	}
	return text + a.value.describe(receivedAt) + " " + a.end.String() + " " + milliseconds(a.took)
}

// milliseconds returns a duration rounded to milliseconds, with its unit.
func milliseconds(d time.Duration) string { return d.Round(time.Millisecond).String() }

// warnings limits the rate of warn lines to maxWarningsPerSecond.
type warnings struct {
	mu          sync.Mutex // guards the fields below
	windowStart time.Time  // start of the current one-second window
	written     int        // lines in the current window
	suppressed  int        // lines since the last one that was written
}

// allow reports whether a line may be written now, and if so, how many were suppressed since the last one.
func (w *warnings) allow(now time.Time) (suppressed int, isAllowed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.windowStart) >= time.Second {
		w.windowStart, w.written = now, 0
	}
	if w.written >= maxWarningsPerSecond {
		w.suppressed++
		return 0, false
	}
	w.written++
	suppressed, w.suppressed = w.suppressed, 0
	return suppressed, true
}

// logEnd logs a finished request: at level warn if there was a problem with its end, else at level debug.
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

// problem returns the counter for what was wrong with a request's end, or "" if nothing was.
func (x *exchange) problem(result delivery) string {
	record := &x.record
	switch {
	case result == valueIncomplete && x.isDisconnected:
	case result == valueIncomplete:
		return counterCut
	case result != delivered && x.client.wasCutOff():
		return counterUnanswered
	case record.outcome == outcomeDisconnected:
	case result == delivered && x.replyTime() > record.timeout+lateTolerance && record.timeout > 0:
		return counterLate
	}
	return ""
}

// replyTime returns the time from the request's receipt to its reply: to the first byte of a large value, as the client determines
// how long the rest takes, and to the last byte of any other reply.
func (x *exchange) replyTime() time.Duration {
	beganAt := x.reply.beganAt
	switch {
	case x.largeReply != nil:
		beganAt = x.largeReply.beganAt
	case x.heldReply == nil:
		return x.record.answered
	}
	if waited := x.reply.turnAt.Sub(x.client.receivedAt) - x.record.timeout; waited > 0 {
		beganAt = beganAt.Add(-waited) // Replies to other commands took that long beyond its timeout.
	}
	return beganAt.Sub(x.client.receivedAt)
}

func (x *exchange) describe(event *zerolog.Event) *zerolog.Event {
	record := &x.record
	if x.client.wasCutOff() {
		event = event.Bool("cut_off", true)
	}
	return event.Str("id", x.id).Int("workload", x.workload).Str("outcome", record.outcome).Int64("timeout_ms", record.timeout.Milliseconds()).
		Int64("waited_ms", record.waited.Milliseconds()).Int64("answered_ms", record.answered.Milliseconds()).Str("attempts", record.String())
}

// logClosed counts a client connection that has ended, and logs it at level debug.
func (b *Balancer) logClosed(c *transport.Client, end transport.End) {
	b.mu.Lock()
	b.counters.increment(counterClosedPrefix + end.String())
	b.mu.Unlock()
	if event := b.log.Debug(); event.Enabled() {
		event.Stringer("client", c.RemoteAddr()).Stringer("end", end).Int64("age_ms", c.Age().Milliseconds()).Int("commands", c.Commands()).
			Msg("client connection closed")
	}
}
