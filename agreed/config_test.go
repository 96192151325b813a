package agreed

import (
	"errors"
	"slices"
	"testing"
	"time"
)

// A host that one active revision ejects gets requests, as a later one takes it back: until no lease under the first is left, that contradicts
// those who have not heard. What is strict counts at once, what is loose waits for the min revision, and what is neither is as that has it.
func TestStrictestConfigOfActiveRevisions(t *testing.T) {
	v := Version{Number: 1}
	next := func(c Change) Version {
		c.ID = "x"
		n, err := c.apply(v)
		if err != nil {
			t.Fatal(err)
		}
		v = n
		return n
	}
	text, from := "d2", uint64(7)
	one := next(Change{Out: []string{"a", "b"}, Limits: map[string]int64{"held": 9, "q": 5}})
	two := next(Change{Out: []string{"c"}, Back: []string{"a"}, Limits: map[string]int64{"held": 12, "q": 3}, Digest: &text, From: &from})
	three := next(Change{Limits: map[string]int64{"q": -1}})
	d := strictest([]Version{one, two, three})
	if !slices.Equal(d.Bans, []string{"a", "b", "c"}) || d.Limits["held"] != 9 || d.Limits["q"] != 3 || d.Digest != "" || d.From != 7 {
		t.Errorf("over all: %+v", d)
	}
	if d = strictest([]Version{three}); !slices.Equal(d.Bans, []string{"b", "c"}) || d.Limits["held"] != 12 || len(d.Limits) != 1 || d.Digest != text {
		t.Errorf("the last alone: %+v", d)
	}
	if _, err := (&Change{ID: "x", Base: 1, Out: []string{"z"}}).apply(v); !errors.Is(err, ErrBase) {
		t.Errorf("made for another version: %v", err)
	}
	if _, err := (&Change{ID: "x", Out: []string{"b"}}).apply(v); !errors.Is(err, ErrEmpty) {
		t.Errorf("changes nothing: %v", err)
	}
}

// A lease so short, or clocks so far off, that leases cannot be told apart from silence would leave a fleet without leases. Such timings are
// refused, and the longest contradiction is as it is stated to operators.
func TestLeaseTimingBounds(t *testing.T) {
	terms := Terms{Lease: 1800 * time.Millisecond, RateError: 0.01, Pause: 150 * time.Millisecond}
	if got := terms.T().Round(time.Millisecond); got != 1986*time.Millisecond || terms.Check() != nil {
		t.Errorf("T %v, %v", got, terms.Check())
	}
	for _, bad := range []Terms{{Lease: time.Millisecond}, {Lease: time.Second, RateError: 0.5}, {Lease: time.Second, Pause: time.Minute}} {
		if bad.Check() == nil {
			t.Errorf("%+v is taken", bad)
		}
	}
}
