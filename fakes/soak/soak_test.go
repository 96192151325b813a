package soak

import (
	"reflect"
	"testing"
	"time"

	"hollylever/fakes"
)

const ms = time.Millisecond

// Each way to break a rule is found, and what is just within it is not.
func TestBreachesAreFound(t *testing.T) {
	begin := time.Now()
	at := func(n int) time.Time { return begin.Add(time.Duration(n) * ms) }
	for _, c := range []struct {
		what    string
		request request
		attempt *fakes.Attempt
		want    int
	}{
		{"served", request{answered: at(100), answer: "k@1"}, &fakes.Attempt{Begun: at(1), Whole: at(1), Told: 299 * ms}, 0},
		{"another's value", request{answered: at(100), answer: "k@2"}, nil, 1},
		{"late, within the slack", request{answered: at(800), answer: "-BUSY"}, nil, 0},
		{"too late", request{answered: at(860), answer: "-BUSY"}, nil, 1},
		{"never answered", request{}, nil, 1},
		{"its used connection ends unread", request{ended: at(50)}, nil, 0},
		{"its used connection ends after it was read", request{ended: at(50)}, &fakes.Attempt{Begun: at(1), Whole: at(1)}, 1},
		{"its new connection ends", request{ended: at(50), isFirst: true}, nil, 1},
		{"sent in time after its client left", request{left: at(50)}, &fakes.Attempt{Begun: at(199), Whole: at(199)}, 0},
		{"sent late after its client left", request{left: at(50)}, &fakes.Attempt{Begun: at(201), Whole: at(201)}, 1},
		{"sent after its answer", request{answered: at(50), answer: "-BUSY"}, &fakes.Attempt{Begun: at(201), Whole: at(201)}, 1},
		{"told as much as is left", request{answered: at(100), answer: "k@1"}, &fakes.Attempt{Begun: at(1), Whole: at(100), Told: 400 * ms}, 0},
		{"told more", request{answered: at(100), answer: "k@1"}, &fakes.Attempt{Begun: at(1), Whole: at(100), Told: 401 * ms}, 1},
	} {
		one := c.request
		one.id, one.key, one.class, one.sent, one.deadline = "1", "k", "read", begin, 300*ms
		s, err := newServer("s", 1, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if c.attempt != nil {
			c.attempt.ID = "1"
			s.Note(*c.attempt)
		}
		if got := check(Plan{}, begin, []*request{&one}, []*server{s}, 0); len(got.Breaches) != c.want {
			t.Errorf("%s: %v", c.what, got.Breaches)
		}
		s.Close()
	}
}

// An effect that must come once comes once, and a drain is kept once its grace is over; within these bounds nothing is reported.
func TestEffectsAndDrainsAreHeld(t *testing.T) {
	begin := time.Now().Add(-time.Minute)
	for _, c := range []struct {
		what, class string
		attempts    []fakes.Attempt
		drained     time.Duration // before the last attempt begins; 0: it does not drain
		want        string
	}{
		{"a one-shot that ran once", "book", []fakes.Attempt{{Ran: true}, {}}, 0, ""},
		{"a one-shot that ran twice", "book", []fakes.Attempt{{Ran: true}, {Ran: true}}, 0, "duplicate"},
		{"a harmless one that ran twice", "read", []fakes.Attempt{{Ran: true}, {Ran: true}}, 0, ""},
		{"sent in the grace of a drain", "read", []fakes.Attempt{{}}, drainGrace + networkSlack, ""},
		{"sent after the grace of a drain", "read", []fakes.Attempt{{}}, drainGrace + networkSlack + ms, "drain"},
	} {
		one := request{id: "1", key: "k", class: c.class, sent: begin, deadline: 300 * ms, answered: begin.Add(100 * ms), answer: "k@1"}
		s, err := newServer("s", 1, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range c.attempts {
			a.ID, a.Begun, a.Whole = "1", begin.Add(ms), begin.Add(ms)
			s.Note(a)
		}
		if c.drained > 0 {
			s.drains = append(s.drains, drain{from: begin.Add(ms).Add(-c.drained)})
		}
		rule := ""
		for _, breach := range check(Plan{}, begin, []*request{&one}, []*server{s}, 0).Breaches {
			rule += breach.Rule
		}
		if rule != c.want {
			t.Errorf("%s: %q, not %q", c.what, rule, c.want)
		}
		s.Close()
	}
}

// A seed is a plan, and a plan that fails for one event shrinks to it.
func TestPlans(t *testing.T) {
	plan := NewPlan(7, 6*time.Second, true)
	if !reflect.DeepEqual(plan, NewPlan(7, 6*time.Second, true)) {
		t.Fatal("the same seed draws another plan")
	}
	guilty := plan.Events[len(plan.Events)/2]
	small := Shrink(plan, 100, func(p Plan) bool {
		for _, e := range p.Events {
			if e == guilty {
				return true
			}
		}
		return false
	})
	if len(small.Events) != 1 || small.Events[0] != guilty {
		t.Errorf("it shrinks to %v", small)
	}
}
