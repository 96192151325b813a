package consensus

import (
	"errors"
	"slices"
	"testing"
	"time"
)

// A host that one active revision ejects gets requests, as a later one takes it back: until no lease under the first
// is left, that contradicts those who have not heard. What is strict counts at once, what is loose waits for the min
// revision, and what is neither is as that has it.
func TestStrictestConfigOfActiveRevisions(t *testing.T) {
	v := Revision{Number: 1}
	next := func(c Proposal) Revision {
		c.ID = "x"
		n, err := c.apply(v)
		if err != nil {
			t.Fatal(err)
		}
		v = n
		return n
	}
	text, from := "d2", uint64(7)
	one := next(Proposal{EjectEndpoints: []string{"a", "b"}, Limits: map[string]int64{"held": 9, "q": 5}})
	two := next(Proposal{EjectEndpoints: []string{"c"}, UnejectEndpoints: []string{"a"},
		Limits: map[string]int64{"held": 12, "q": 3}, SettingsDigest: &text, MinListIndex: &from})
	three := next(Proposal{Limits: map[string]int64{"q": -1}})
	d := strictest([]Revision{one, two, three})
	if !slices.Equal(d.EjectedEndpoints, []string{"a", "b", "c"}) || d.Limits["held"] != 9 || d.Limits["q"] != 3 ||
		d.SettingsDigest != "" || d.MinListIndex != 7 {
		t.Errorf("over all: %+v", d)
	}
	if d = strictest([]Revision{three}); !slices.Equal(d.EjectedEndpoints, []string{"b", "c"}) ||
		d.Limits["held"] != 12 || len(d.Limits) != 1 || d.SettingsDigest != text {
		t.Errorf("the last alone: %+v", d)
	}
	if _, err := (&Proposal{ID: "x", BaseRevision: 1, EjectEndpoints: []string{"z"}}).apply(v); !errors.Is(err,
		ErrBaseRevision) {
		t.Errorf("made for another version: %v", err)
	}
	if _, err := (&Proposal{ID: "x", EjectEndpoints: []string{"b"}}).apply(v); !errors.Is(err, ErrNoChange) {
		t.Errorf("changes nothing: %v", err)
	}
}

// A lease so short, or clocks so far off, that leases cannot be told apart from silence would leave a fleet without
// leases. Such timings are refused, and the longest contradiction is as it is stated to operators.
func TestLeaseTimingBounds(t *testing.T) {
	terms := LeaseTiming{LeaseDuration: 1800 * time.Millisecond, ClockRateError: 0.01, MaxPause: 150 * time.Millisecond}
	if got := terms.MaxDisagreement().Round(time.Millisecond); got != 1986*time.Millisecond || terms.Validate() != nil {
		t.Errorf("T %v, %v", got, terms.Validate())
	}
	for _, bad := range []LeaseTiming{{LeaseDuration: time.Millisecond}, {LeaseDuration: time.Second,
		ClockRateError: 0.5}, {LeaseDuration: time.Second, MaxPause: time.Minute}} {
		if bad.Validate() == nil {
			t.Errorf("%+v is taken", bad)
		}
	}
}
