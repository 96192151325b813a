package soak

import (
	"fmt"
	"time"

	"hollylever/fakes"
)

// What the protocol allows.
const (
	answerSlack  = 500 * time.Millisecond  // a final answer may come so late
	closeSlack   = 100 * time.Millisecond  // an attempt may begin so late after its client went
	toldSlack    = 150 * time.Millisecond  // a server may be told so much more than is left
	drainGrace   = 2500 * time.Millisecond // an attempt may begin so late after a drain was told
	networkSlack = 50 * time.Millisecond   // each time limit is so much longer on sockets
)

// request is one that a client sent, and what came of it.
type request struct {
	id, key, class string
	process        int
	sent           time.Time
	deadline       time.Duration
	isFirst        bool // of its connection
	answered       time.Time
	answer         string
	left           time.Time // its client went, before an answer
	ended          time.Time // its connection ended, with no answer
	err            error
}

// Breach is one broken rule.
type Breach struct {
	Rule string
	Why  string
}

func (b Breach) String() string { return b.Rule + ": " + b.Why }

// Result is what a run saw.
type Result struct {
	Requests, Served, Rejected, Failed, Left, Crossed, Attempts int
	HarnessLate                                                 time.Duration // the longest time for which the harness itself did not run
	Breaches                                                    []Breach
}

func (r Result) String() string {
	return fmt.Sprintf("%d requests: %d served, %d rejected, %d failed, %d left, %d crossed a close; %d attempts; harness late by %v; %d breaches",
		r.Requests, r.Served, r.Rejected, r.Failed, r.Left, r.Crossed, r.Attempts, r.HarnessLate.Round(time.Millisecond), len(r.Breaches))
}

// check holds requests and attempts against the rules.
func check(plan Plan, begin time.Time, requests []*request, servers []*server, harnessLate time.Duration) Result {
	result := Result{Requests: len(requests), HarnessLate: harnessLate}
	slack := networkSlack + harnessLate
	breach := func(rule, format string, args ...any) {
		result.Breaches = append(result.Breaches, Breach{rule, fmt.Sprintf(format, args...)})
	}
	since := func(t time.Time) time.Duration { return t.Sub(begin).Round(time.Millisecond) }
	byID, ran := map[string]*request{}, map[string]int{}
	attempts := map[string]int{}
	for _, r := range requests {
		byID[r.id] = r
	}
	for _, s := range servers {
		for _, a := range s.Attempts() {
			result.Attempts++
			attempts[a.ID]++
			if a.Ran {
				ran[a.ID]++
			}
			r := byID[a.ID]
			if r == nil {
				breach("lost", "an attempt of %q, which nobody asked for", a.ID)
				continue
			}
			checkAttempt(a, r, slack, since, breach)
			if drained := s.drainedAt(a.Begun); !drained.IsZero() && a.Begun.Sub(drained) > drainGrace+slack {
				breach("drain", "%s begins at %s %v after it was told to drain", r.id, a.Server, a.Begun.Sub(drained))
			}
		}
	}
	for _, r := range requests {
		if r.class == "book" && ran[r.id] > 1 {
			breach("duplicate", "%s ran %d times", r.id, ran[r.id])
		}
		if plan.Crowd > 0 && attempts[r.id] == 0 {
			r.isFirst = false // Where idle clients fill the descriptors a new connection may be shut unread.
		}
		result.count(r, attempts[r.id], slack, since, breach)
	}
	return result
}

func checkAttempt(a fakes.Attempt, r *request, slack time.Duration, since func(time.Time) time.Duration, breach func(string, string, ...any)) {
	if !r.left.IsZero() && a.Begun.Sub(r.left) > closeSlack+slack {
		breach("lost", "%s (process %d): an attempt at %s begins at %v, %v after its client went", r.id, r.process, a.Server, since(a.Begun), a.Begun.Sub(r.left))
	}
	if !r.answered.IsZero() && a.Begun.Sub(r.answered) > closeSlack+slack {
		breach("lost", "%s (process %d): an attempt at %s begins at %v, %v after its answer", r.id, r.process, a.Server, since(a.Begun), a.Begun.Sub(r.answered))
	}
	if left := r.deadline - a.Whole.Sub(r.sent); a.Told-left > toldSlack+slack {
		breach("lost", "%s (process %d): %s is told %v at %v, %v are left", r.id, r.process, a.Server, a.Told, since(a.Whole), left)
	}
}

// count says how a request ended, and breaks a rule where it has no end.
func (r *Result) count(one *request, attempts int, slack time.Duration, since func(time.Time) time.Duration, breach func(string, string, ...any)) {
	limit := one.sent.Add(one.deadline + answerSlack + slack)
	switch {
	case !one.left.IsZero():
		r.Left++
	case one.answered.IsZero() && !one.ended.IsZero() && attempts == 0 && !one.isFirst:
		r.Crossed++ // It was not read: its client sends it again.
	case one.answered.IsZero() && !one.ended.IsZero():
		breach("lost", "%s (process %d, first of its connection: %t, %d attempts), sent at %v: the connection ends at %v with no answer: %v", one.id,
			one.process, one.isFirst, attempts, since(one.sent), since(one.ended), one.err)
	case one.answered.IsZero():
		breach("lost", "%s (process %d, %d attempts), sent at %v: no answer to %v: %v", one.id, one.process, attempts, since(one.sent), one.deadline, one.err)
	case one.answered.After(limit):
		breach("lost", "%s (process %d), sent at %v: answered %v after its deadline of %v", one.id, one.process, since(one.sent),
			one.answered.Sub(one.sent)-one.deadline, one.deadline)
	case len(one.answer) > 0 && one.answer[0] != '-':
		r.Served++
		if one.answer != fakes.ValueFor(one.key, one.id) {
			breach("lost", "%s (process %d): its answer is %.60q", one.id, one.process, one.answer)
		}
	case len(one.answer) >= 5 && one.answer[:5] == "-BUSY":
		r.Rejected++
	default:
		r.Failed++
	}
}
