package rules

import "testing"

const (
	ms     = int64(1e6)
	second = int64(1e9)
)

var limits = Limits{Grace: 2500 * ms, Remembers: 4 * second, WarmUp: 20 * second, StartPart: 0.2, Multiple: 2.5, TipAfter: 3 * second, SecondCopy: true}

// Each way to break a rule is found at the event that breaks it, and what is just within it is not.
func TestEachRuleIsFoundWhereItBreaks(t *testing.T) {
	for _, c := range []struct {
		what  string
		rule  Rule
		event int64
		play  func(r *Rules) *Breach
	}{
		{"sent after the answer", Lost, 5, func(r *Rules) *Breach {
			r.Asked(0, 1, Harmless, second)
			r.Answered(ms, 1)
			return r.Sent(2*ms, 0, 1, 0)
		}},
		{"sent after the stop", Lost, 4, func(r *Rules) *Breach { r.Asked(0, 1, Harmless, second); return r.Sent(second, 0, 1, 0) }},
		{"sent in time", "", 0, func(r *Rules) *Breach { r.Asked(0, 1, Harmless, second); return r.Sent(second-1, 0, 1, 0) }},
		{"two answers", Lost, 5, func(r *Rules) *Breach { r.Asked(0, 1, Harmless, second); r.Answered(ms, 1); return r.Answered(ms, 1) }},
		{"answered late", Lost, 4, func(r *Rules) *Breach { r.Asked(0, 1, Harmless, second); return r.Answered(second+1, 1) }},
		{"never answered", Lost, 3, func(r *Rules) *Breach { r.Asked(0, 1, Harmless, second); return r.Last(second + 1) }},
		{"its time is not over", "", 0, func(r *Rules) *Breach { r.Asked(0, 1, Harmless, second); return r.Last(second) }},
		{"a copy of a one-shot", Twice, 5, func(r *Rules) *Breach { r.Asked(0, 1, OneShot, second); r.Sent(0, 0, 1, 0); return r.Sent(ms, 0, 1, 1) }},
		{"a copy of a harmless one", "", 0, func(r *Rules) *Breach {
			r.Asked(0, 1, Harmless, second)
			r.Sent(0, 0, 1, 0)
			return r.Sent(ms, 0, 1, 1)
		}},
		{"a one-shot that ran twice", Twice, 8, func(r *Rules) *Breach {
			r.Asked(0, 1, OneShot, second)
			r.Sent(0, 0, 1, 0)
			r.Ran(ms, 1, 0, false)
			r.Ended(ms, 1)
			r.Sent(2*ms, 0, 1, 1)
			return r.Ran(3*ms, 1, 1, false)
		}},
		{"a stamped one, remembered", "", 0, func(r *Rules) *Breach {
			r.Asked(0, 1, Stamped, 9*second)
			r.Ran(0, 1, 0, false)
			return r.Ran(4*second, 1, 1, false)
		}},
		{"a stamped one, forgotten", Twice, 5, func(r *Rules) *Breach {
			r.Asked(0, 1, Stamped, 9*second)
			r.Ran(0, 1, 0, false)
			return r.Ran(4*second+1, 1, 1, false)
		}},
		{"a drain, in the grace", "", 0, func(r *Rules) *Breach {
			r.Told(0, 0, 0, true)
			r.Asked(0, 1, Harmless, 9*second)
			return r.Sent(2500*ms, 0, 1, 0)
		}},
		{"a drain, told again", Drains, 6, func(r *Rules) *Breach {
			r.Told(0, 0, 0, true)
			r.Told(second, 0, 0, true)
			r.Asked(0, 1, Harmless, 9*second)
			return r.Sent(2501*ms, 0, 1, 0)
		}},
		{"a drain that another was told", "", 0, func(r *Rules) *Breach {
			r.Told(0, 7, 0, true)
			r.Asked(0, 1, Harmless, 9*second)
			return r.Sent(8*second, 0, 1, 0)
		}},
		{"a drain that ended", "", 0, func(r *Rules) *Breach {
			r.Told(0, 0, 0, true)
			r.Told(second, 0, 0, false)
			r.Asked(0, 1, Harmless, 9*second)
			return r.Sent(8*second, 0, 1, 0)
		}},
	} {
		r := New(limits)
		r.Host(0, 0, 100, 0)
		r.Host(0, 1, 100, 0)
		got := c.play(r)
		if c.rule == "" && got != nil || c.rule != "" && (got == nil || got.Rule != c.rule || got.Event != c.event) {
			t.Errorf("%s: %v, want %q at event %d", c.what, got, c.rule, c.event)
		}
	}
}

// pushed asks a host that has just started for so many a second, and gives the breach.
func pushed(rate int64, started int64) *Breach {
	r := New(limits)
	r.Host(0, 0, 100, started)
	for n := range 6 * rate {
		now := second + n*second/rate
		r.Asked(now, n, Harmless, now+second)
		if b := r.Sent(now, 0, n, 0); b != nil {
			return b
		}
		r.Ended(now, n)
		r.Answered(now, n)
	}
	if r.Open() > 0 {
		return &Breach{Why: "what has ended is kept"}
	}
	return nil
}

func TestAColdHostPushedOver(t *testing.T) {
	if b := pushed(45, second); b != nil { // 100 of 0.2 and 2.5 times that, and more as it warms.
		t.Errorf("within what it can: %v", b)
	}
	if b := pushed(150, 0); b != nil {
		t.Errorf("a warm one: %v", b)
	}
	if b := pushed(150, second); b == nil || b.Rule != Pushed || b.At < second+limits.TipAfter || b.At > second+limits.TipAfter+2*second {
		t.Errorf("over what it can for three seconds: %v", b)
	}
}
